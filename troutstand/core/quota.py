"""Limit what each workspace takes, over all gateways together.

A limit says what a workspace may take within every window of the settings' length:
its rate for that long, and its burst. What goes beyond may still be served where
room is free, as long as it stays in the excess that does no harm. One scheduler
sees all admissions and holds the whole limit; where gateways are split between
schedulers, each holds the share of the gateways it serves, so that the shares add
up to the limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.slidingwindow import SlidingWindow

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from troutstand.generated.configuration import RoutedWorkspace

# Of the excess that does no harm, so much may be taken; the rest is kept, since what
# was taken may arrive a little bunched (chosen, not measured).
_TAKEN_EXCESS = 0.8
_WINDOW_MARGIN_S = 0.5
_MIN_LIMIT = 1e-9


@dataclass(frozen=True)
class QuotaBounds:
    """Tell how a limit is judged: over which window, with which excess.

    Parameters
    ----------
    window_s
        Length of every window that is looked at, in seconds.
    excess
        Share beyond the limit that does no harm.
    extra
        Tokens beyond the limit and its share that do no harm.
    """

    window_s: float = 8.0
    excess: float = 0.0
    extra: float = 0.0

    def compute_limit(self, rate_per_s: float, burst: float) -> float:
        """Return what a window may hold without any excess."""
        return rate_per_s * self.window_s + burst

    def compute_excess(self, rate_per_s: float, burst: float) -> float:
        """Return what a window may hold beyond the limit."""
        return self.excess * self.compute_limit(rate_per_s, burst) + self.extra


class Verdict(Enum):
    """Say whether a request may be served."""

    WITHIN_LIMIT = "within_limit"
    EXCESS = "excess"
    REFUSED = "refused"


@dataclass(frozen=True)
class QuotaDecision:
    """Carry a verdict, and for how long a refused request should wait, in seconds."""

    verdict: Verdict
    wait_s: float = 0.0


@dataclass
class Limit:
    """Hold what a workspace may take in a window, and what it took.

    Parameters
    ----------
    limit_tokens
        Tokens of a window that the workspace is entitled to.
    max_tokens
        Tokens of a window that may be taken at all.
    """

    limit_tokens: float
    max_tokens: float
    window: SlidingWindow


class Quotas:
    """Admit requests within the limits of their workspaces."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._window_s = bounds.window_s + _WINDOW_MARGIN_S
        self._limits: dict[str, Limit] = {}
        self.share = 1.0

    def update_workspaces(self, workspaces: Iterable[RoutedWorkspace], now_s: float) -> None:
        """Take new limits; what was taken before still counts."""
        limited = {w.name: w for w in workspaces if w.tokens_per_s > 0}
        for name in set(self._limits) - set(limited):
            del self._limits[name]
        for name, workspace in limited.items():
            self._use_limit(name, workspace.tokens_per_s, workspace.burst_tokens)

    def _use_limit(self, name: str, rate_per_s: float, burst: float) -> None:
        owed = self._bounds.compute_limit(rate_per_s, burst)
        most = owed + _TAKEN_EXCESS * self._bounds.compute_excess(rate_per_s, burst)
        held = self._limits.get(name)
        if held is None:
            self._limits[name] = Limit(owed, most, SlidingWindow(self._window_s))
            return
        held.limit_tokens, held.max_tokens = owed, most

    def take(self, workspace: str, amount: float, now_s: float) -> QuotaDecision:
        """Take tokens where the limit allows it."""
        limit = self._limits.get(workspace)
        if limit is None or amount <= 0:
            return QuotaDecision(Verdict.WITHIN_LIMIT)
        window = limit.window
        window.advance(now_s)
        # One request may be larger than the limit: an empty window lets it pass.
        most = limit.max_tokens * self.share
        within = min(amount, most)
        if window.total + within > most:
            return QuotaDecision(Verdict.REFUSED, window.find_room(within, most, now_s))
        owed = limit.limit_tokens * self.share
        enough = min(amount, owed)
        wait_s = window.find_room(enough, owed, now_s)
        window.note(amount, now_s)
        return (
            QuotaDecision(Verdict.EXCESS, wait_s) if wait_s else QuotaDecision(Verdict.WITHIN_LIMIT)
        )

    def refund(self, workspace: str, amount: float, taken_s: float, now_s: float) -> None:
        """Return the tokens of a request that was not run, taken at an earlier time."""
        limit = self._limits.get(workspace)
        if limit is None or amount <= 0:
            return
        limit.window.advance(now_s)
        limit.window.take_back(amount, taken_s)

    # Handing over

    def get_usage_share(self, workspace: str) -> float:
        """Return the share of its limit that a workspace's window held at the last call."""
        limit = self._limits.get(workspace)
        if limit is None:
            return 0.0
        return limit.window.total / max(limit.limit_tokens * self.share, _MIN_LIMIT)

    def export_usage(self, now_s: float) -> dict[str, list[int]]:
        """Return the parts of the windows that hold anything, in thousandths of the limit."""
        taken: dict[str, list[int]] = {}
        for name, limit in self._limits.items():
            limit.window.advance(now_s)
            if limit.window.total > 0:
                most = max(limit.max_tokens * self.share, _MIN_LIMIT)
                taken[name] = limit.window.list_parts(most, now_s)
        return taken

    def import_usage(
        self, workspace: str, parts: Sequence[int], portion: float, now_s: float
    ) -> None:
        """Take over a portion of a limit together with what another holder took of it.

        Parameters
        ----------
        parts
            What the other holder's window held, in thousandths of its share.
        portion
            The portion of the whole limit that comes from it, such as one gateway's.
        """
        limit = self._limits.get(workspace)
        if limit is None:
            return
        limit.window.advance(now_s)
        limit.window.add_parts(parts, limit.max_tokens * portion, now_s)

    def release_share(self, share: float) -> None:
        """Hand a share of what was taken here over to another holder.

        Without it what a gateway brought counts here and there, and again when it comes
        back: limits were full six times over after some moves between two schedulers.
        """
        for limit in self._limits.values():
            limit.window.scale(1.0 - share)
