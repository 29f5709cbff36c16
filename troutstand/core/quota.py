"""Limit what each workspace takes, over all gateways together.

A bucket says what a workspace is owed: its rate, and its burst at once. What
goes beyond may still be served where room is free, as long as all that was
taken within a window of the settings' length stays in the excess that does no
harm. One
scheduler sees all admissions and holds the whole limit; where gateways are
split between schedulers, each holds the share of the gateways it serves, so
that the shares add up to the limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.window import SlidingWindow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.configuration import RoutedWorkspace

# Of the excess that does no harm, so much counts as owed, and so much may be taken
# at all; the rest is kept, since what was taken may arrive a little bunched.
_OWED_EXCESS = 0.3
_TAKEN_EXCESS = 0.8
_WINDOW_MARGIN_S = 0.5
_MIN_RATE = 1e-9


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

    def find_limit(self, rate_per_s: float, burst: float) -> float:
        """Return what a window may hold without any excess."""
        return rate_per_s * self.window_s + burst

    def find_excess(self, rate_per_s: float, burst: float) -> float:
        """Return what a window may hold beyond the limit."""
        return self.excess * self.find_limit(rate_per_s, burst) + self.extra


class Verdict(Enum):
    """Say whether a request may be served."""

    OWED = "owed"
    SPARE = "spare"
    REFUSED = "refused"


@dataclass(frozen=True)
class Judgement:
    """Carry a verdict, and for how long a refused request should wait, in seconds."""

    verdict: Verdict
    wait_s: float = 0.0


@dataclass(frozen=True)
class LimitLevel:
    """Tell how full a bucket is, as a share, and what its window's parts hold."""

    level: float
    taken: list[int]


@dataclass
class Bucket:
    """Hold a workspace's tokens, and all that it took within the window."""

    rate_per_s: float
    capacity: float
    most: float
    level: float
    filled_s: float
    window: SlidingWindow

    def advance(self, now_s: float, share: float) -> None:
        """Add what came since the last call, and drop what left the window."""
        passed_s = max(0.0, now_s - self.filled_s)
        self.filled_s = now_s
        self.level = min(self.capacity * share, self.level + passed_s * self.rate_per_s * share)
        self.window.advance(now_s)


class Quotas:
    """Admit requests within the limits of their workspaces."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._window_s = bounds.window_s + _WINDOW_MARGIN_S
        self._buckets: dict[str, Bucket] = {}
        self.share = 1.0

    def _advance(self, workspace: str, now_s: float) -> Bucket | None:
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.advance(now_s, self.share)
        return bucket

    def use_workspaces(self, workspaces: Iterable[RoutedWorkspace], now_s: float) -> None:
        """Take new limits; what was taken before still counts."""
        limited = {w.name: w for w in workspaces if w.tokens_per_s > 0}
        for name in set(self._buckets) - set(limited):
            del self._buckets[name]
        for name, workspace in limited.items():
            self._use_limit(name, workspace.tokens_per_s, workspace.burst_tokens, now_s)

    def _use_limit(self, name: str, rate_per_s: float, burst: float, now_s: float) -> None:
        excess = self._bounds.find_excess(rate_per_s, burst)
        capacity = burst + _OWED_EXCESS * excess
        most = self._bounds.find_limit(rate_per_s, burst) + _TAKEN_EXCESS * excess
        held = self._advance(name, now_s)
        if held is None:
            level = capacity * self.share
            window = SlidingWindow(self._window_s)
            self._buckets[name] = Bucket(rate_per_s, capacity, most, level, now_s, window)
            return
        held.rate_per_s, held.capacity, held.most = rate_per_s, capacity, most
        held.level = min(held.level, capacity * self.share)

    def take(self, workspace: str, amount: float, now_s: float) -> Judgement:
        """Take tokens where the limit allows it."""
        bucket = self._advance(workspace, now_s)
        if bucket is None or amount <= 0:
            return Judgement(Verdict.OWED)
        most = bucket.most * self.share
        # One request may be larger than the limit: an empty window lets it pass.
        within = min(amount, most)
        if bucket.window.total + within > most:
            return Judgement(Verdict.REFUSED, bucket.window.find_room(within, most, now_s))
        # Nor may the burst be smaller than a request: a full bucket lets it pass.
        enough = min(amount, bucket.capacity * self.share)
        bucket.window.note(amount, now_s)
        if bucket.level >= enough:
            bucket.level -= amount
            return Judgement(Verdict.OWED)
        missing_s = (enough - bucket.level) / max(bucket.rate_per_s * self.share, _MIN_RATE)
        return Judgement(Verdict.SPARE, missing_s)

    def give_back(
        self, workspace: str, amount: float, verdict: Verdict, taken_s: float, now_s: float
    ) -> None:
        """Return the tokens of a request that was not run, taken at an earlier time."""
        bucket = self._advance(workspace, now_s)
        if bucket is None or amount <= 0:
            return
        bucket.window.take_back(amount, taken_s)
        if verdict is Verdict.OWED:
            bucket.level = min(bucket.capacity * self.share, bucket.level + amount)

    # Handing over

    def read_level(self, workspace: str) -> float:
        """Return the tokens that a workspace could take as of the last call."""
        bucket = self._buckets.get(workspace)
        return bucket.level if bucket is not None else float("inf")

    def list_levels(self, now_s: float) -> dict[str, LimitLevel]:
        """Return how full the limits are of which something is taken."""
        levels: dict[str, LimitLevel] = {}
        for name, bucket in self._buckets.items():
            bucket.advance(now_s, self.share)
            full = bucket.capacity * self.share
            if bucket.level < full or bucket.window.total > 0:
                most = max(bucket.most * self.share, _MIN_RATE)
                parts = bucket.window.list_parts(most, now_s)
                levels[name] = LimitLevel(bucket.level / full, parts)
        return levels

    def inherit(self, workspace: str, held: LimitLevel, now_s: float) -> None:
        """Take over how full a limit was under another holder; the stricter word counts."""
        bucket = self._advance(workspace, now_s)
        if bucket is None:
            return
        bucket.level = min(bucket.level, held.level * bucket.capacity * self.share)
        bucket.window.take_over(held.taken, bucket.most * self.share, now_s)
