"""Limit what each workspace takes, over all gateways together.

One scheduler sees all admissions and holds the whole limit. Where gateways
are split between schedulers, each holds the share of the gateways it serves,
so that the shares add up to the limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.configuration import RoutedWorkspace

# Of the allowed excess, so much is used, to refuse nothing that is owed.
_EXTRA_USED = 0.7


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

    def find_capacity(self, rate_per_s: float, burst: float) -> float:
        """Return how much may be taken at once: the burst and part of the excess."""
        limit = rate_per_s * self.window_s + burst
        return burst + _EXTRA_USED * (self.excess * limit + self.extra)


@dataclass
class Bucket:
    """Hold a workspace's tokens, filled at its rate up to its burst."""

    rate_per_s: float
    burst: float
    level: float
    filled_s: float

    def fill(self, now_s: float, share: float) -> None:
        """Add what came since the last call."""
        passed_s = max(0.0, now_s - self.filled_s)
        self.filled_s = now_s
        self.level = min(self.burst * share, self.level + passed_s * self.rate_per_s * share)


class Quotas:
    """Admit requests within the limits of their workspaces."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._buckets: dict[str, Bucket] = {}
        self.share = 1.0

    def use_workspaces(self, workspaces: Iterable[RoutedWorkspace], now_s: float) -> None:
        """Take new limits; what was taken before still counts."""
        limited = {w.name: w for w in workspaces if w.tokens_per_s > 0}
        for name in set(self._buckets) - set(limited):
            del self._buckets[name]
        for name, workspace in limited.items():
            burst = self._bounds.find_capacity(workspace.tokens_per_s, workspace.burst_tokens)
            held = self._buckets.get(name)
            if held is None:
                level = burst * self.share
                self._buckets[name] = Bucket(workspace.tokens_per_s, burst, level, now_s)
                continue
            held.fill(now_s, self.share)
            held.rate_per_s, held.burst = workspace.tokens_per_s, burst
            held.level = min(held.level, burst * self.share)

    def take(self, workspace: str, amount: float, now_s: float) -> float:
        """Take tokens and return 0, or the seconds until there are enough."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0.0
        bucket.fill(now_s, self.share)
        # One request may be larger than the burst: a full bucket lets it pass.
        enough = min(amount, bucket.burst * self.share)
        if bucket.level >= enough:
            bucket.level -= amount
            return 0.0
        rate = max(bucket.rate_per_s * self.share, 1e-9)
        return (enough - bucket.level) / rate

    def list_levels(self, now_s: float) -> dict[str, float]:
        """Return how full the limits are that are not full, as shares."""
        levels: dict[str, float] = {}
        for name, bucket in self._buckets.items():
            bucket.fill(now_s, self.share)
            full = bucket.burst * self.share
            if bucket.level < full:
                levels[name] = bucket.level / full
        return levels

    def inherit(self, workspace: str, level: float, now_s: float) -> None:
        """Take over how full a limit was under another holder; the lower level counts."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.fill(now_s, self.share)
            bucket.level = min(bucket.level, level * bucket.burst * self.share)

    def give_back(self, workspace: str, amount: float) -> None:
        """Return the tokens of a request that was not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level = min(bucket.burst * self.share, bucket.level + amount)
