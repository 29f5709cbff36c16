"""Count what the targets of a version on trial answer, beside those of the one in force."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Answers are counted by seconds of arrival for so long; older ones are summed up. A version
# that turns bad later is judged by its last seconds, not by the good ones before.
_KEPT_S = 10


@dataclass(frozen=True)
class Outcome:
    """Tell how one answer came.

    Parameters
    ----------
    is_failed
        Whether the target failed it or broke it off.
    is_slow
        Whether it took several times what the version in force would typically need.
    """

    route: str
    target: str
    is_canary: bool
    is_failed: bool
    is_slow: bool


@dataclass
class Tally:
    """Count the answers of one target on one route."""

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
    """Name what a tally counts."""

    route: str
    target: str
    is_trial: bool


Tallies = dict[TallyKey, Tally]


@dataclass
class OutcomeCounts:
    """Hold the tallies of one order, by second."""

    number: int
    _older: Tallies = field(default_factory=dict)
    _recent: deque[tuple[int, Tallies]] = field(default_factory=deque)

    def record(self, outcome: Outcome, now_s: float) -> None:
        """Count an answer."""
        second = int(now_s)
        if not self._recent or self._recent[-1][0] != second:
            self._recent.append((second, {}))
            self._sum_up(second)
        key = TallyKey(outcome.route, outcome.target, outcome.is_canary)
        tally = self._recent[-1][1].setdefault(key, Tally())
        tally.add(Tally(1, int(outcome.is_failed), int(outcome.is_slow)))

    def _sum_up(self, second: int) -> None:
        while self._recent and self._recent[0][0] < second - _KEPT_S:
            _merge(self._older, self._recent.popleft()[1])

    def collect(self) -> Tallies:
        """Return all that was counted."""
        merged: Tallies = {}
        _merge(merged, self._older)
        for _, tallies in self._recent:
            _merge(merged, tallies)
        return merged

    def collect_since(self, since_s: float) -> Tallies:
        """Return what was counted lately; at most the last seconds are kept apart."""
        merged: Tallies = {}
        for second, tallies in self._recent:
            if second >= int(since_s):
                _merge(merged, tallies)
        return merged


def _merge(into: Tallies, other: Tallies) -> None:
    for key, tally in other.items():
        into.setdefault(key, Tally()).add(tally)
