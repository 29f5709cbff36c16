"""Keep slots free for the requests of higher tiers that are expected.

Answers long requests of a low tier that fill a small service: without it a request of a
higher tier finds no slot until one of them ends. Where slots become free faster than
higher tiers ask for them nothing is kept.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from itertools import accumulate

# Length over which arrivals of a tier are averaged, in seconds: long enough for some
# arrivals of a rare tier, short enough to follow a burst.
_AVERAGED_S = 5.0
# How far above the mean the expected load, and below it the expected ends, are taken, in
# standard deviations: 0.98 of the cases of a Poisson process.
_DEVIATIONS = 2.0
# The same for how many come just now, in seconds: a burst lasts for a few.
_RECENT_S = 1.0
_HOLD_EWMA = 0.1
# A tier with fewer arrivals in the averaged time is no longer expected.
_LEAST_ARRIVALS = 0.05


@dataclass
class TierLoad:
    """Follow the arrivals of one tier; times in seconds.

    Parameters
    ----------
    arrivals, recent
        Arrivals within the longer and the shorter averaged time, older ones weighted less.
    hold_s
        How long a request keeps its slot; None is not known.
    patience_s
        How long a request may wait for a slot and still be in time.
    """

    arrivals: float = 0.0
    recent: float = 0.0
    noted_s: float = 0.0
    hold_s: float | None = None
    slack_s: float = 0.0

    def fade(self, now_s: float) -> None:
        """Weight the arrivals so far by their age."""
        age_s = max(0.0, now_s - self.noted_s)
        self.arrivals *= math.exp(-age_s / _AVERAGED_S)
        self.recent *= math.exp(-age_s / _RECENT_S)
        self.noted_s = now_s

    def measure_rate(self) -> float:
        """Return the requests a second that are to be expected.

        A burst is taken to end, and what has ended is not awaited.
        """
        return min(self.arrivals / _AVERAGED_S, self.recent / _RECENT_S)

    def measure_demand(self) -> float:
        """Return how many slots the tier's requests take on average."""
        return self.arrivals / _AVERAGED_S * (self.hold_s or 0.0)


@dataclass(frozen=True)
class _Above:
    """Sum up a tier and all above it."""

    demand: float
    slack_s: float
    per_s: float


@dataclass
class Headroom:
    """Learn what each tier of a service asks for, and how many slots to keep free for it."""

    _loads: dict[int, TierLoad] = field(default_factory=dict)
    # The tiers in order, and what each with those above it asks for; made at each update.
    _tiers: list[int] = field(default_factory=list)
    _sums: list[_Above] = field(default_factory=list)

    @property
    def lowest_tier(self) -> int:
        """Return the lowest tier that is expected; 0 where none is."""
        return self._tiers[-1] if self._tiers else 0

    def record_arrival(self, tier: int, patience_s: float, now_s: float) -> None:
        """Count a request that may wait for a time and still be in time."""
        load = self._loads.setdefault(tier, TierLoad(noted_s=now_s))
        load.fade(now_s)
        load.arrivals += 1.0
        load.recent += 1.0
        load.slack_s = patience_s

    def record_slot_time(self, tier: int, hold_s: float, now_s: float) -> None:
        """Learn for how long a request of a tier kept its slot."""
        load = self._loads.get(tier)
        if load is None:
            return
        if load.hold_s is None:
            load.hold_s = hold_s
            # The slot that it frees may be the first to keep.
            self.update(now_s)
        else:
            load.hold_s += _HOLD_EWMA * (hold_s - load.hold_s)

    def update(self, now_s: float) -> None:
        """Sum the tiers up, and forget those that no longer come."""
        for tier, load in list(self._loads.items()):
            load.fade(now_s)
            if load.arrivals < _LEAST_ARRIVALS:
                del self._loads[tier]
        self._tiers = sorted(self._loads)
        above = [
            _Above(load.measure_demand(), load.slack_s, load.measure_rate())
            for load in (self._loads[tier] for tier in self._tiers)
        ]
        self._sums = list(accumulate(above, _add))

    def estimate_rate(self, tier: int) -> float:
        """Return the requests a second that come of a tier and those above, at the update."""
        position = bisect_right(self._tiers, tier)
        return self._sums[position - 1].per_s if position else 0.0

    def estimate_needed_slots(self, tier: int, turn_s: float) -> float:
        """Return the slots that tiers above one want beside those that become free in time.

        Parameters
        ----------
        turn_s
            Seconds between two slots that become free.
        """
        position = bisect_left(self._tiers, tier)
        if not position or turn_s <= 0.0:
            return 0.0
        above = self._sums[position - 1]
        wanted = above.demand + _DEVIATIONS * math.sqrt(above.demand)
        ends = above.slack_s / turn_s
        return max(0.0, wanted - max(0.0, ends - _DEVIATIONS * math.sqrt(ends)))


def _add(above: _Above, own: _Above) -> _Above:
    """Add a tier to those above it; the least patient of them sets the time."""
    return _Above(
        above.demand + own.demand,
        min(above.slack_s, own.slack_s),
        above.per_s + own.per_s,
    )
