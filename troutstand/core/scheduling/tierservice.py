"""Measure how often the requests of each tier of a service are served."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Time constant of the decayed counts; longer than most bursts.
_WINDOW_S = 10.0
# Tiers with fewer recent requests have no share of their own.
_MIN_COUNT = 3.0


@dataclass
class _TierCounts:
    """Count placed and refused requests, exponentially decayed."""

    placed: float = 0.0
    refused: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Decay the counts by the time since the last update."""
        factor = math.exp(-max(0.0, now_s - self.updated_s) / _WINDOW_S)
        self.placed *= factor
        self.refused *= factor
        self.updated_s = now_s

    @property
    def total(self) -> float:
        """Return the number of requests that were placed or refused."""
        return self.placed + self.refused


@dataclass
class TierService:
    """Track the share of requests that get a slot, by tier; times in seconds."""

    _counts: dict[int, _TierCounts] = field(default_factory=dict)

    def record_placed(self, tier: int, now_s: float) -> None:
        """Count a request that got a slot."""
        self._get_counts(tier, now_s).placed += 1.0

    def cancel_placed(self, tier: int, now_s: float) -> None:
        """Take back the count of a request that got no slot after all."""
        counts = self._get_counts(tier, now_s)
        counts.placed = max(0.0, counts.placed - 1.0)

    def record_refused(self, tier: int, now_s: float) -> None:
        """Count a request that was refused."""
        self._get_counts(tier, now_s).refused += 1.0

    def _get_counts(self, tier: int, now_s: float) -> _TierCounts:
        counts = self._counts.setdefault(tier, _TierCounts(updated_s=now_s))
        counts.decay(now_s)
        return counts

    def get_share(self, tier: int, now_s: float) -> float:
        """Return the share of a tier's requests that got a slot; 1 without recent requests."""
        counts = self._get_counts(tier, now_s)
        return counts.placed / counts.total if counts.total >= _MIN_COUNT else 1.0

    def list_shares(self, now_s: float) -> dict[int, float]:
        """Return the share of requests that got a slot, 0 to 1, by tier with recent requests."""
        recent = {tier: self._get_counts(tier, now_s) for tier in sorted(self._counts)}
        return {
            tier: counts.placed / counts.total
            for tier, counts in recent.items()
            if counts.total >= _MIN_COUNT
        }

    def compute_share_above(self, tier: int, now_s: float) -> float | None:
        """Return the share of all higher tiers together; None without recent requests."""
        above = [self._get_counts(other, now_s) for other in self._counts if other < tier]
        total = sum(counts.total for counts in above)
        return sum(counts.placed for counts in above) / total if total >= _MIN_COUNT else None
