"""Sum the running requests by tier and by the model or service they ask for."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.core.targetestimate import Running


@dataclass(frozen=True)
class QueueKey:
    """Identify a queue by tier rank and requested model or service."""

    rank: int
    serves: str


@dataclass(frozen=True)
class TierCount:
    """Count the waiting and running requests of a tier."""

    tier: str
    waiting: int
    running: int


@dataclass
class _PoolLoad:
    count: int = 0
    end_sum_s: float = 0.0


@dataclass
class RunningLoad:
    """Maintain sums over the granted requests, so that estimates need not visit each."""

    _loads: dict[QueueKey, _PoolLoad] = field(default_factory=dict)

    def update(self, run: Running, change: int) -> None:
        """Add (1) or remove (-1) a request for every model or service of its target."""
        for serves in run.pools:
            load = self._loads.setdefault(QueueKey(run.rank, serves), _PoolLoad())
            load.count += change
            load.end_sum_s += change * (run.granted_s + run.expected_s)

    def estimate_remaining_s(self, serves: str, rank: int, now_s: float) -> float:
        """Return the summed remaining run time of the same and higher tiers."""
        return sum(
            max(0.0, load.end_sum_s - load.count * now_s)
            for key, load in self._loads.items()
            if key.serves == serves and key.rank <= rank
        )
