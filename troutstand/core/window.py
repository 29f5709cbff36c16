"""Sum what was taken within a sliding window of time."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# A window is handed over as so many parts of equal length, in thousandths.
PARTS = 9
_THOUSANDTHS = 1000


@dataclass
class SlidingWindow:
    """Hold amounts with their times; those older than the window's length fall out."""

    length_s: float
    total: float = 0.0
    _taken: deque[tuple[float, float]] = field(default_factory=deque)

    def advance(self, now_s: float) -> None:
        """Drop what left the window."""
        while self._taken and self._taken[0][0] <= now_s - self.length_s:
            self.total -= self._taken.popleft()[1]

    def note(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        self._taken.append((now_s, amount))
        self.total += amount

    def take_back(self, amount: float, taken_s: float) -> None:
        """Remove an amount that was noted at an earlier time.

        It leaves the window together with what it cancels; counted later it
        would still make room when that has long gone.
        """
        if not self._taken or self._taken[0][0] > taken_s:
            return
        index = len(self._taken)
        while self._taken[index - 1][0] > taken_s:
            index -= 1
        self._taken.insert(index, (taken_s, -amount))
        self.total -= amount

    def find_room(self, amount: float, most: float, now_s: float) -> float:
        """Return the seconds until an amount fits beside what is held."""
        excess = self.total + amount - most
        if excess <= 0:
            return 0.0
        for taken_s, taken in self._taken:
            excess -= taken
            if excess <= 0:
                return max(0.0, taken_s + self.length_s - now_s)
        return self.length_s

    def list_parts(self, unit: float, now_s: float) -> list[int]:
        """Return the sums of the window's parts, newest first, in thousandths of a unit.

        They are rounded up, and all of a part counts as its newest moment when
        it is taken over, so that a hand-over never makes room.
        """
        sums = [0.0] * PARTS
        part_s = self.length_s / PARTS
        for taken_s, taken in self._taken:
            age = int((now_s - taken_s) / part_s)
            sums[min(PARTS - 1, max(0, age))] += taken
        return [max(0, math.ceil(_THOUSANDTHS * part / unit)) for part in sums]

    def add_parts(self, parts: Sequence[int], unit: float, now_s: float) -> None:
        """Add the parts of another holder's window to one's own."""
        part_s = self.length_s / PARTS
        added = [
            (now_s - index * part_s, part * unit / _THOUSANDTHS)
            for index, part in enumerate(parts[:PARTS])
            if part
        ]
        self._taken = deque(sorted([*self._taken, *added]))
        self.total = sum(taken for _, taken in self._taken)
