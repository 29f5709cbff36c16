"""Count the responses of targets, for the canary version and the version in force."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Counts are kept per second of arrival for this long, then merged into one total. Recent
# counts show a version that starts to fail late in its rollout.
_RECENT_S = 10


@dataclass(frozen=True)
class Outcome:
    """Describe the outcome of one request.

    Parameters
    ----------
    is_failed
        Whether the response was an error, broke off or timed out.
    is_slow
        Whether it took several times the typical time of the version in force.
    """

    route: str
    target: str
    is_canary: bool
    is_failed: bool
    is_slow: bool


@dataclass
class Tally:
    """Count the responses of one target on one route."""

    responses: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: Tally) -> None:
        """Add another tally."""
        self.responses += other.responses
        self.failed += other.failed
        self.slow += other.slow


@dataclass(frozen=True)
class TallyKey:
    """Identify what a tally counts."""

    route: str
    target: str
    is_canary: bool


Tallies = dict[TallyKey, Tally]


@dataclass
class OutcomeCounts:
    """Hold the tallies of one order."""

    number: int
    _older: Tallies = field(default_factory=dict)
    _recent: deque[tuple[int, Tallies]] = field(default_factory=deque)

    def record(self, outcome: Outcome, now_s: float) -> None:
        """Count an outcome."""
        second = int(now_s)
        if not self._recent or self._recent[-1][0] != second:
            self._recent.append((second, {}))
            self._merge_older(second)
        key = TallyKey(outcome.route, outcome.target, outcome.is_canary)
        tally = self._recent[-1][1].setdefault(key, Tally())
        tally.add(Tally(1, int(outcome.is_failed), int(outcome.is_slow)))

    def _merge_older(self, second: int) -> None:
        while self._recent and self._recent[0][0] < second - _RECENT_S:
            _merge(self._older, self._recent.popleft()[1])

    def collect(self) -> Tallies:
        """Return the tallies of the whole order."""
        merged: Tallies = {}
        _merge(merged, self._older)
        for _, tallies in self._recent:
            _merge(merged, tallies)
        return merged

    def collect_since(self, since_s: float) -> Tallies:
        """Return the tallies since a time, at most of the last `_RECENT_S` seconds."""
        merged: Tallies = {}
        for second, tallies in self._recent:
            if second >= int(since_s):
                _merge(merged, tallies)
        return merged


def _merge(into: Tallies, other: Tallies) -> None:
    for key, tally in other.items():
        into.setdefault(key, Tally()).add(tally)
