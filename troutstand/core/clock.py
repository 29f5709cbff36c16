"""Timestamp events so that the events of all processes sort in causal order.

The hybrid logical clock is that of Kulkarni et al., "Logical Physical Clocks"
(OPODIS 2014).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

WallClock = Callable[[], float]

_MILLISECONDS = 1000
_COUNTER_BITS = 16


class Stamp(NamedTuple):
    """Represent a hybrid timestamp: wall-clock milliseconds and a counter."""

    wall_ms: int
    counter: int

    def pack(self) -> int:
        """Pack the stamp into one integer with the same order."""
        return (self.wall_ms << _COUNTER_BITS) | self.counter


def unpack_stamp(packed: int) -> Stamp:
    """Unpack an integer made by `Stamp.pack`."""
    return Stamp(packed >> _COUNTER_BITS, packed & ((1 << _COUNTER_BITS) - 1))


class HybridClock:
    """Issue strictly increasing stamps that are later than all received ones."""

    def __init__(self, read_wall_s: WallClock) -> None:
        self._read_wall_s = read_wall_s
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return the stamp of a local event."""
        wall_ms = int(self._read_wall_s() * _MILLISECONDS)
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def receive(self, packed: int) -> Stamp:
        """Advance past a received stamp and return the stamp of its receipt."""
        self._last = max(self._last, unpack_stamp(packed))
        return self.tick()
