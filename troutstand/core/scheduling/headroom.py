"""Estimate the slots to reserve for expected requests of higher tiers.

Keeps long requests of a low tier from occupying every slot of a small service. No slot is
reserved where slots become free faster than higher tiers need them.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from itertools import accumulate

# Time constant of the decayed arrival counts.
_LONG_WINDOW_S = 5.0
# Margin on the expected load and on the expected releases, in standard deviations of a
# Poisson process; covers 0.98 of the cases.
_MARGIN_DEVIATIONS = 2.0
# Time constant of the recent arrival counts, about the length of a burst.
_SHORT_WINDOW_S = 1.0
_SLOT_TIME_EWMA = 0.1
# A tier with fewer arrivals in the long window is dropped.
_MIN_ARRIVALS = 0.05


@dataclass
class TierLoad:
    """Track the arrivals of one tier; times in seconds.

    Parameters
    ----------
    arrivals, recent
        Exponentially decayed arrival counts of the long and the short window.
    hold_s
        Average time that a request occupies its slot; None until one is recorded.
    slack_s
        Time that a request may wait for a slot and still meet its objective.
    """

    arrivals: float = 0.0
    recent: float = 0.0
    updated_s: float = 0.0
    hold_s: float | None = None
    slack_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Decay the arrival counts by the time since the last update."""
        age_s = max(0.0, now_s - self.updated_s)
        self.arrivals *= math.exp(-age_s / _LONG_WINDOW_S)
        self.recent *= math.exp(-age_s / _SHORT_WINDOW_S)
        self.updated_s = now_s

    def estimate_rate(self) -> float:
        """Return the expected requests per second.

        The lower rate of the two windows: a burst is not expected to last, and traffic that
        has stopped is not expected to return.
        """
        return min(self.arrivals / _LONG_WINDOW_S, self.recent / _SHORT_WINDOW_S)

    def estimate_demand(self) -> float:
        """Return the average number of slots that the tier occupies."""
        return self.arrivals / _LONG_WINDOW_S * (self.hold_s or 0.0)


@dataclass(frozen=True)
class _CumulativeLoad:
    """Aggregate a tier and all higher tiers."""

    demand: float
    slack_s: float
    rate_per_s: float
    arrivals_per_s: float


@dataclass
class Headroom:
    """Track the load of each tier of a service and estimate the slots to reserve for it."""

    _loads: dict[int, TierLoad] = field(default_factory=dict)
    # The tiers in ascending order and their cumulative loads, rebuilt by update().
    _tiers: list[int] = field(default_factory=list)
    _sums: list[_CumulativeLoad] = field(default_factory=list)

    @property
    def lowest_tier(self) -> int:
        """Return the lowest tier with recent arrivals; 0 if there is none."""
        return self._tiers[-1] if self._tiers else 0

    def record_arrival(self, tier: int, slack_s: float, now_s: float) -> None:
        """Count an arriving request and store its slack."""
        load = self._loads.setdefault(tier, TierLoad(updated_s=now_s))
        load.decay(now_s)
        load.arrivals += 1.0
        load.recent += 1.0
        load.slack_s = slack_s

    def record_slot_time(self, tier: int, hold_s: float, now_s: float) -> None:
        """Update the average slot time of a tier."""
        load = self._loads.get(tier)
        if load is None:
            return
        if load.hold_s is None:
            load.hold_s = hold_s
            # The demand is 0 until the slot time is known.
            self.update(now_s)
        else:
            load.hold_s += _SLOT_TIME_EWMA * (hold_s - load.hold_s)

    def get_slot_time(self, tier: int) -> float | None:
        """Return the average slot time of a tier, in seconds; None without samples."""
        load = self._loads.get(tier)
        return load.hold_s if load is not None else None

    def update(self, now_s: float) -> None:
        """Rebuild the cumulative loads and drop tiers without recent arrivals."""
        for tier, load in list(self._loads.items()):
            load.decay(now_s)
            if load.arrivals < _MIN_ARRIVALS:
                del self._loads[tier]
        self._tiers = sorted(self._loads)
        above = [
            _CumulativeLoad(
                load.estimate_demand(),
                load.slack_s,
                load.estimate_rate(),
                load.arrivals / _LONG_WINDOW_S,
            )
            for load in (self._loads[tier] for tier in self._tiers)
        ]
        self._sums = list(accumulate(above, _add))

    def estimate_rate(self, tier: int) -> float:
        """Return the expected requests per second of a tier and all higher ones."""
        position = bisect_right(self._tiers, tier)
        return self._sums[position - 1].rate_per_s if position else 0.0

    def estimate_slot_time_above(self, tier: int) -> float:
        """Return the average slot time of the higher tiers, in seconds; 0 without any."""
        position = bisect_left(self._tiers, tier)
        above = self._sums[position - 1] if position else None
        return above.demand / above.arrivals_per_s if above is not None else 0.0

    def estimate_needed_slots(self, tier: int, slot_interval_s: float) -> float:
        """Return the slots that higher tiers need beyond those released within their slack.

        Parameters
        ----------
        slot_interval_s
            Seconds between two slots that become free.
        """
        position = bisect_left(self._tiers, tier)
        if not position or slot_interval_s <= 0.0:
            return 0.0
        above = self._sums[position - 1]
        needed = above.demand + _MARGIN_DEVIATIONS * math.sqrt(above.demand)
        releases = above.slack_s / slot_interval_s
        return max(0.0, needed - max(0.0, releases - _MARGIN_DEVIATIONS * math.sqrt(releases)))


def _add(above: _CumulativeLoad, own: _CumulativeLoad) -> _CumulativeLoad:
    """Add a tier to the higher tiers; the smallest slack applies to all."""
    return _CumulativeLoad(
        above.demand + own.demand,
        min(above.slack_s, own.slack_s),
        above.rate_per_s + own.rate_per_s,
        above.arrivals_per_s + own.arrivals_per_s,
    )
