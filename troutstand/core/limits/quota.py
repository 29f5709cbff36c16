"""Enforce the token limits of workspaces over all gateways together.

A limit is the workspace's rate times the window length, plus its burst, in every sliding
window. Requests beyond it are served only if capacity is spare, up to a tolerated excess.
Each scheduler enforces the share of the limit that belongs to the gateways it serves.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.limits.slidingwindow import SlidingWindow

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from troutstand.generated.configuration import RoutedWorkspace

# Shares of the tolerated excess that first and further runs may use. The rest covers usage that
# a process could not tell anybody before it ended.
_FIRST_RUN_EXCESS_SHARE = 0.8
_FURTHER_RUN_EXCESS_SHARE = 0.9
# Longest time from sending a request to its run.
_WINDOW_MARGIN_S = 0.5
_MIN_LIMIT_TOKENS = 1e-9


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

    def compute_limit(self, rate_per_s: float, burst: float) -> float:
        """Return the tokens of a window without any excess."""
        return rate_per_s * self.window_s + burst

    def compute_excess(self, rate_per_s: float, burst: float) -> float:
        """Return the tokens of a window that are tolerated beyond the limit."""
        return self.excess * self.compute_limit(rate_per_s, burst) + self.extra


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
    taken_over: float = 0.0
    handed_over: float = 0.0


@dataclass(frozen=True)
class LimitUsage:
    """Describe the usage of a workspace's limit, for the log; in tokens.

    Parameters
    ----------
    max_tokens
        The most that this decider lets run in a window.
    """

    workspace: str
    used: float
    reserved: float
    max_tokens: float
    share: float
    counts: LimitCounts


@dataclass
class Limit:
    """Hold a workspace's limit and its use in the current window.

    Parameters
    ----------
    limit_tokens
        Tokens of a window within the limit.
    max_tokens, further_tokens
        Tokens of a window including the excess that first and further runs may use.
    reserved
        Tokens of admitted requests that were not sent yet.
    """

    limit_tokens: float
    max_tokens: float
    further_tokens: float
    window: SlidingWindow
    reserved: float = 0.0
    counts: LimitCounts = field(default_factory=LimitCounts)


class Quotas:
    """Admit requests within the limits of their workspaces."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._window_s = bounds.window_s + _WINDOW_MARGIN_S
        self._limits: dict[str, Limit] = {}
        self.share = 1.0

    def update_workspaces(self, workspaces: Iterable[RoutedWorkspace], now_s: float) -> None:
        """Apply new limits; usage in the current window still counts."""
        limited = {w.name: w for w in workspaces if w.tokens_per_s > 0}
        for name in set(self._limits) - set(limited):
            del self._limits[name]
        for name, workspace in limited.items():
            self._set_limit(name, workspace.tokens_per_s, workspace.burst_tokens)

    def _set_limit(self, name: str, rate_per_s: float, burst: float) -> None:
        limit_tokens = self._bounds.compute_limit(rate_per_s, burst)
        excess_tokens = self._bounds.compute_excess(rate_per_s, burst)
        max_tokens = limit_tokens + _FIRST_RUN_EXCESS_SHARE * excess_tokens
        further_tokens = limit_tokens + _FURTHER_RUN_EXCESS_SHARE * excess_tokens
        limit = self._limits.get(name)
        if limit is None:
            window = SlidingWindow(self._window_s)
            self._limits[name] = Limit(limit_tokens, max_tokens, further_tokens, window)
            return
        limit.limit_tokens, limit.max_tokens = limit_tokens, max_tokens
        limit.further_tokens = further_tokens

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
        window = limit.window
        window.advance(now_s)
        # A request larger than the limit passes if the window is empty.
        max_tokens = self.share * (limit.max_tokens if is_first else limit.further_tokens)
        capped = min(amount, max_tokens)
        if window.total + limit.reserved + capped > max_tokens:
            limit.counts.refused += amount
            wait_s = window.compute_wait(capped + limit.reserved, max_tokens, now_s)
            return QuotaDecision(Verdict.REFUSED, wait_s)
        limit_tokens = limit.limit_tokens * self.share
        capped_to_limit = min(amount, limit_tokens)
        wait_s = window.compute_wait(capped_to_limit + limit.reserved, limit_tokens, now_s)
        limit.reserved += amount
        return (
            QuotaDecision(Verdict.EXCESS, wait_s) if wait_s else QuotaDecision(Verdict.WITHIN_LIMIT)
        )

    def release(self, workspace: str, amount: float) -> None:
        """Return the reservation of a request that is not sent."""
        limit = self._limits.get(workspace)
        if limit is not None and amount > 0:
            limit.reserved = max(0.0, limit.reserved - amount)

    def charge(self, workspace: str, amount: float, now_s: float, is_first: bool = True) -> None:
        """Charge the reservation of a request that is sent now."""
        limit = self._limits.get(workspace)
        if limit is None or amount <= 0:
            return
        limit.reserved = max(0.0, limit.reserved - amount)
        limit.window.advance(now_s)
        limit.window.add(amount, now_s)
        limit.counts.charged += amount
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
        limit.window.advance(now_s)
        limit.window.remove(amount, charged_s)
        limit.counts.refunded += amount

    def drain_usage(self, now_s: float) -> list[LimitUsage]:
        """Return the usage of each limit that was used or asked for since the last call."""
        usage: list[LimitUsage] = []
        for name, limit in self._limits.items():
            if limit.counts == LimitCounts():
                continue
            limit.window.advance(now_s)
            max_tokens = limit.max_tokens * self.share
            usage.append(
                LimitUsage(
                    name, limit.window.total, limit.reserved, max_tokens, self.share, limit.counts
                )
            )
            limit.counts = LimitCounts()
        return usage

    # Handover between schedulers

    def get_usage_share(self, workspace: str) -> float:
        """Return a workspace's usage as a share of its limit, without advancing the window."""
        limit = self._limits.get(workspace)
        if limit is None:
            return 0.0
        return limit.window.total / max(limit.limit_tokens * self.share, _MIN_LIMIT_TOKENS)

    def export_usage(self, now_s: float) -> dict[str, list[int]]:
        """Return the non-empty windows as parts, in thousandths of the limit with excess."""
        usage: dict[str, list[int]] = {}
        for name, limit in self._limits.items():
            limit.window.advance(now_s)
            if limit.window.total > 0:
                max_tokens = max(limit.max_tokens * self.share, _MIN_LIMIT_TOKENS)
                usage[name] = limit.window.export_parts(max_tokens, now_s)
        return usage

    def import_usage(
        self, workspace: str, parts: Sequence[int], portion: float, now_s: float
    ) -> None:
        """Add the usage that another scheduler counted against a portion of the limit.

        Parameters
        ----------
        parts
            The exported window, in thousandths of the other scheduler's share.
        portion
            The portion of the whole limit that is handed over, such as one gateway's.
        """
        limit = self._limits.get(workspace)
        if limit is None:
            return
        limit.window.advance(now_s)
        before = limit.window.total
        limit.window.import_parts(parts, limit.max_tokens * portion, now_s)
        limit.counts.taken_over += limit.window.total - before

    def release_share(self, share: float) -> None:
        """Drop a share of the usage that was handed over, so that it is not counted twice."""
        for limit in self._limits.values():
            limit.counts.handed_over += share * limit.window.total
            limit.window.scale(1.0 - share)
