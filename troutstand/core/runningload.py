"""Sum up what runs, by tier and by what was asked for."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.core.targetestimate import Running


@dataclass(frozen=True)
class QueueKey:
    """Name one queue: a tier's rank and what is asked for."""

    rank: int
    serves: str


@dataclass(frozen=True)
class TierCount:
    """Tell how many requests of a tier wait and run."""

    tier: str
    waiting: int
    running: int


@dataclass
class _PoolLoad:
    count: int = 0
    ends_s: float = 0.0


@dataclass
class RunningLoad:
    """Follow the granted requests without a look at each."""

    _loads: dict[QueueKey, _PoolLoad] = field(default_factory=dict)

    def update(self, run: Running, change: int) -> None:
        """Count a request in (1) or out (-1) for every pool of its target."""
        for serves in run.pools:
            load = self._loads.setdefault(QueueKey(run.rank, serves), _PoolLoad())
            load.count += change
            load.ends_s += change * (run.granted_s + run.expected_s)

    def estimate_remaining_s(self, serves: str, rank: int, now_s: float) -> float:
        """Return the run time left of the same and higher tiers, all together."""
        return sum(
            max(0.0, load.ends_s - load.count * now_s)
            for key, load in self._loads.items()
            if key.serves == serves and key.rank <= rank
        )
