"""Enforce the token limits of workspaces over all gateways together.

A limit is the workspace's rate times the window length, plus its burst, in every sliding
window. Every run of a request counts, from when it is sent. Requests beyond the limit are
served only if capacity is spare, up to a tolerated excess. Each decider enforces the share of
the limit that belongs to the gateways it serves, and counts what others used by
`troutstand.core.limits.sharedusage`.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.limits.assumedusage import name_assumed, name_continued
from troutstand.core.limits.promises import Promises
from troutstand.core.limits.sharedusage import SharedUsage, sum_tokens
from troutstand.core.limits.slidingwindow import spread_evenly
from troutstand.generated.messages import Level, UsageSnapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.limits.usagebook import HeldSnapshot
    from troutstand.generated.configuration import RoutedWorkspace
    from troutstand.generated.routing import RoutingSettings

# Shares of the tolerated excess that first and further runs may use. The rest covers usage that
# a process could not tell anybody before it ended.
_FIRST_RUN_EXCESS_SHARE = 0.8
_FURTHER_RUN_EXCESS_SHARE = 0.9
# From this share of its limit on a workspace may have asked for more than it got.
_NEAR_LIMIT_SHARE = 0.8
# Longest time from sending a request to its run.
WINDOW_MARGIN_S = 0.5


@dataclass(frozen=True)
class QuotaBounds:
    """Define the window of the limits and the tolerated excess.

    Parameters
    ----------
    window_s
        Length of the sliding window, in seconds.
    excess
        Tolerated excess as a share of the limit.
    extra
        Tokens tolerated in addition to that share.
    """

    window_s: float = 8.0
    excess: float = 0.0
    extra: float = 0.0

    @property
    def counted_s(self) -> float:
        """Return the seconds for which usage counts."""
        return self.window_s + WINDOW_MARGIN_S

    def compute_limit(self, rate_per_s: float, burst: float) -> float:
        """Return the tokens of a window without any excess."""
        return rate_per_s * self.window_s + burst

    def compute_excess(self, rate_per_s: float, burst: float) -> float:
        """Return the tokens of a window that are tolerated beyond the limit."""
        return self.excess * self.compute_limit(rate_per_s, burst) + self.extra


def make_bounds(settings: RoutingSettings) -> QuotaBounds:
    """Return the bounds that the settings define."""
    return QuotaBounds(settings.quota_window_s, settings.quota_excess, settings.quota_extra)


class Verdict(Enum):
    """Classify a request by its workspace's limit."""

    WITHIN_LIMIT = "within_limit"
    EXCESS = "excess"
    REFUSED = "refused"


@dataclass(frozen=True)
class QuotaDecision:
    """Hold a verdict and the seconds until the request fits."""

    verdict: Verdict
    wait_s: float = 0.0


@dataclass
class LimitCounts:
    """Count what happened to a workspace's limit since the counts were read; in tokens."""

    charged: float = 0.0
    charged_again: float = 0.0
    refunded: float = 0.0
    refused: float = 0.0


@dataclass
class Limit:
    """Hold a workspace's limit.

    Parameters
    ----------
    limit_tokens, excess_tokens
        Tokens of a window within the limit, and tolerated beyond it.
    reserved
        Tokens of admitted requests that were not sent yet.
    untold
        Tokens charged or taken over since the keepers were told.
    """

    limit_tokens: float
    excess_tokens: float
    reserved: float = 0.0
    untold: float = 0.0
    counts: LimitCounts = field(default_factory=LimitCounts)
    promises: Promises = field(default_factory=Promises)


@dataclass(frozen=True)
class LimitUsage:
    """Describe the usage of a workspace's limit, for the log; in tokens.

    Parameters
    ----------
    used, of_others
        The usage that counts here, and the part of it that other deciders counted.
    assumed
        What gateways may have used beyond it; it takes from the excess only.
    max_tokens
        The most that this decider lets run in a window.
    """

    workspace: str
    used: float
    of_others: float
    assumed: float
    reserved: float
    max_tokens: float
    share: float
    counts: LimitCounts


class Quotas:
    """Admit requests within the limits of their workspaces.

    Parameters
    ----------
    name
        Names this decider among all that ever count usage.
    is_private
        Whether this decider is a gateway, which hands over its usage itself.
    """

    def __init__(
        self, bounds: QuotaBounds, name: str = "decider", is_private: bool = False
    ) -> None:
        self._bounds = bounds
        self._limits: dict[str, Limit] = {}
        self._usage = SharedUsage(bounds.counted_s, name, is_private)
        self._excess_from_s = float("-inf")

    # Limits

    def update_workspaces(self, workspaces: Iterable[RoutedWorkspace], now_s: float) -> None:
        """Apply new limits; usage in the current window still counts."""
        limited = {w.name: w for w in workspaces if w.tokens_per_s > 0}
        for name in set(self._limits) - set(limited):
            del self._limits[name]
        for name, workspace in limited.items():
            rate_per_s, burst = workspace.tokens_per_s, workspace.burst_tokens
            limit_tokens = self._bounds.compute_limit(rate_per_s, burst)
            excess_tokens = self._bounds.compute_excess(rate_per_s, burst)
            limit = self._limits.setdefault(name, Limit(limit_tokens, excess_tokens))
            limit.limit_tokens, limit.excess_tokens = limit_tokens, excess_tokens

    @property
    def limit_count(self) -> int:
        """Return the number of workspaces with a limit."""
        return len(self._limits)

    @property
    def share(self) -> float:
        """Return the share of all limits that this decider may use, 0 to 1."""
        return self._usage.share

    def set_share(
        self, share: float, told_until_s: float = float("inf"), told_share: float = 1.0
    ) -> None:
        """Set the share of all limits that this decider may use.

        Parameters
        ----------
        told_until_s
            If the share falls: the time until which those who leave know this decider's usage.
            They count their part of it; later usage counts here alone.
        told_share
            The part of the share whose holders are known to be told of usage.
        """
        self._usage.set_share(share, told_until_s, told_share)

    def hold_back_excess(self, until_s: float) -> None:
        """Admit no excess until a time, while another decider may still use the same share."""
        self._excess_from_s = max(self._excess_from_s, until_s)

    # Charges

    def reserve(
        self, workspace: str, amount: float, now_s: float, is_first: bool = True
    ) -> QuotaDecision:
        """Reserve tokens for a request if its limit allows it, until it is sent.

        Parameters
        ----------
        is_first
            Whether the request has not run yet.
        """
        limit = self._limits.get(workspace)
        if limit is None or amount <= 0:
            return QuotaDecision(Verdict.WITHIN_LIMIT)
        total = self._usage.count(workspace, now_s)
        used = total.used + limit.reserved
        whole_tokens = self._compute_max(limit, now_s, is_first)
        max_tokens = self.share * whole_tokens
        limit_tokens = self.share * limit.limit_tokens
        # A request larger than the whole limit passes if the window is empty.
        is_within = used + min(amount, limit.limit_tokens) <= limit_tokens
        # Assumed usage takes from the excess only: it must not refuse what the limit allows.
        if not is_within and used + total.assumed + min(amount, whole_tokens) > max_tokens:
            limit.counts.refused += amount
            wait_s = min(
                self._compute_wait(workspace, limit, amount, limit_tokens, now_s),
                self._compute_wait(workspace, limit, amount, max_tokens, now_s, with_assumed=True),
            )
            return QuotaDecision(Verdict.REFUSED, limit.promises.add(amount, wait_s, now_s))
        wait_s = self._compute_wait(workspace, limit, amount, limit_tokens, now_s)
        limit.reserved += amount
        return (
            QuotaDecision(Verdict.EXCESS, wait_s) if wait_s else QuotaDecision(Verdict.WITHIN_LIMIT)
        )

    def is_over(self, workspace: str, now_s: float) -> bool:
        """Return whether more is reserved than the limit allows, after a share has fallen."""
        limit = self._limits.get(workspace)
        if limit is None or limit.reserved <= 0:
            return False
        used = self._usage.count(workspace, now_s).used + limit.reserved
        return used > self.share * self._compute_max(limit, now_s, is_first=False)

    def release(self, workspace: str, amount: float) -> None:
        """Return the reservation of a request that is not sent."""
        limit = self._limits.get(workspace)
        if limit is not None and amount > 0:
            limit.reserved = max(0.0, limit.reserved - amount)

    def charge(self, workspace: str, amount: float, now_s: float, is_first: bool = True) -> None:
        """Charge the reservation of a request that is sent now."""
        if amount <= 0:
            return
        self._usage.add(workspace, amount, now_s)
        limit = self._limits.get(workspace)
        if limit is None:
            return
        limit.reserved = max(0.0, limit.reserved - amount)
        limit.counts.charged += amount
        limit.untold += amount
        if not is_first:
            limit.counts.charged_again += amount

    def take(
        self, workspace: str, amount: float, now_s: float, is_first: bool = True
    ) -> QuotaDecision:
        """Charge tokens for a request that is sent now, if the limit allows it."""
        decision = self.reserve(workspace, amount, now_s, is_first)
        if decision.verdict is not Verdict.REFUSED:
            self.charge(workspace, amount, now_s, is_first)
        return decision

    def refund(self, workspace: str, amount: float, charged_s: float, now_s: float) -> None:
        """Refund the tokens of a request that was sent and did not run."""
        limit = self._limits.get(workspace)
        if limit is None or amount <= 0:
            return
        if self._usage.subtract(workspace, amount, charged_s, now_s):
            limit.counts.refunded += amount

    def _compute_max(self, limit: Limit, now_s: float, is_first: bool) -> float:
        """Return the tokens of a window with the excess that may be used now."""
        if now_s < self._excess_from_s:
            return limit.limit_tokens
        share = _FIRST_RUN_EXCESS_SHARE if is_first else _FURTHER_RUN_EXCESS_SHARE
        return limit.limit_tokens + share * limit.excess_tokens

    # Usage

    def _compute_wait(
        self,
        workspace: str,
        limit: Limit,
        amount: float,
        max_tokens: float,
        now_s: float,
        with_assumed: bool = False,
    ) -> float:
        """Return the seconds until an amount fits, behind those who were told to come back."""
        amount = min(amount, max_tokens)
        total = self._usage.count(workspace, now_s)
        used = total.used + (total.assumed if with_assumed else 0.0)
        excess = used + limit.reserved + amount - max_tokens
        if excess <= 0:
            return 0.0
        excess += limit.promises.count(now_s)
        for expiry in heapq.merge(*self._usage.list_expiries(workspace, with_assumed)):
            excess -= expiry.amount
            if excess <= 0:
                return max(0.0, expiry.at_s - now_s)
        return self._bounds.counted_s

    def get_usage_share(self, workspace: str) -> float:
        """Return a workspace's usage as a share of its limit, without advancing the windows."""
        limit = self._limits.get(workspace)
        if limit is None:
            return 0.0
        used = self._usage.count(workspace).used
        return (used + limit.reserved) / (limit.limit_tokens * self.share)

    def drain_usage(self, now_s: float) -> list[LimitUsage]:
        """Return the usage of each limit that was asked for since the last call."""
        self._usage.prune(now_s)
        usage: list[LimitUsage] = []
        for name, limit in self._limits.items():
            if limit.counts == LimitCounts():
                continue
            total = self._usage.count(name, now_s)
            usage.append(
                LimitUsage(
                    workspace=name,
                    used=total.used,
                    of_others=total.of_others,
                    assumed=total.assumed,
                    reserved=limit.reserved,
                    max_tokens=self.share * self._compute_max(limit, now_s, is_first=True),
                    share=self.share,
                    counts=limit.counts,
                )
            )
            limit.counts = LimitCounts()
        return usage

    # Handover between deciders

    def export_usage(self, now_s: float) -> list[UsageSnapshot]:
        """Return all usage that is known here, for those who share the limits with this decider."""
        return self._usage.export(now_s)

    def assume_usage(
        self, source: str, known: Iterable[UsageSnapshot], absent_s: float
    ) -> list[UsageSnapshot]:
        """Return what a decider with this share may have used without telling anybody.

        A workspace is assumed to have gone on as before, or as its limit allows if it was near it.
        What more it may have used takes from its excess only.

        Parameters
        ----------
        known
            What all deciders used within the window, as far as it is known.
        absent_s
            Seconds for which nobody heard from the decider.
        """
        totals = sum_tokens(known)
        absent_share = min(1.0, absent_s / self._bounds.counted_s)
        counted: list[Level] = []
        assumed: list[Level] = []
        for name, limit in self._limits.items():
            most = math.ceil(self.share * (limit.limit_tokens + limit.excess_tokens))
            before = totals.get(name, 0.0)
            if before >= _NEAR_LIMIT_SHARE * limit.limit_tokens:
                before = limit.limit_tokens + limit.excess_tokens
            parts = spread_evenly(min(most, self.share * before * absent_share), absent_share)
            counted.append(Level(name, parts))
            assumed.append(Level(name, [max(0, most - sum(parts))]))
        snapshots = [
            UsageSnapshot(name_continued(source), 1, self.share, levels=counted, is_private=True),
            UsageSnapshot(
                name_assumed(source),
                1,
                self.share,
                levels=assumed,
                is_private=True,
                is_assumed=True,
            ),
        ]
        return [snapshot for snapshot in snapshots if snapshot.levels]

    def get_untold_share(self) -> float:
        """Return the largest share of a limit of which the keepers were not told."""
        return max((x.untold / x.limit_tokens for x in self._limits.values()), default=0.0)

    def mark_told(self) -> None:
        """Record that the keepers are told of all usage."""
        for limit in self._limits.values():
            limit.untold = 0.0

    def merge_usage(self, snapshots: Iterable[UsageSnapshot], now_s: float) -> list[HeldSnapshot]:
        """Count the usage that other deciders counted; return what was not known."""
        changed = self._usage.merge(snapshots, now_s)
        for level in (level for held in changed for level in held.snapshot.levels):
            limit = self._limits.get(level.workspace)
            if limit is not None:
                limit.untold += sum(level.taken)
        return changed
