"""Sum amounts over a sliding time window that are added in any order of time."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.limits.slidingwindow import Expiry

if TYPE_CHECKING:
    from collections.abc import Iterator

# Amounts of one bin expire together, up to this much late.
_BIN_S = 0.1


@dataclass
class BinnedWindow:
    """Sum amounts that expire after the window's length; times in seconds."""

    length_s: float
    total: float = 0.0
    _bins: dict[int, float] = field(default_factory=dict)
    _oldest: float = math.inf

    def __len__(self) -> int:
        return len(self._bins)

    def add(self, amount: float, at_s: float) -> None:
        """Add an amount of a time."""
        number = math.ceil(at_s / _BIN_S)
        self._bins[number] = self._bins.get(number, 0.0) + amount
        self._oldest = min(self._oldest, number)
        self.total += amount

    def subtract(self, amount: float, at_s: float) -> None:
        """Take back an amount that was added, unless it has expired."""
        number = math.ceil(at_s / _BIN_S)
        if number in self._bins:
            self._bins[number] -= amount
            self.total -= amount

    def advance(self, now_s: float) -> None:
        """Drop the expired amounts."""
        newest_expired = math.floor((now_s - self.length_s) / _BIN_S)
        if self._oldest > newest_expired:
            return
        for number in [n for n in self._bins if n <= newest_expired]:
            self.total -= self._bins.pop(number)
        self._oldest = min(self._bins, default=math.inf)
        if not self._bins:
            # Drops the rounding errors of the sums.
            self.total = 0.0

    def list_expiries(self, weight: float) -> Iterator[Expiry]:
        """Yield when each amount leaves, soonest first, multiplied by a weight."""
        for number in sorted(self._bins):
            yield Expiry(number * _BIN_S + self.length_s, weight * self._bins[number])
