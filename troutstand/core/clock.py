"""Stamp events so that those of all processes sort in causal order.

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
    """Order an event: wall milliseconds first, then a counter."""

    wall_ms: int
    counter: int

    def pack(self) -> int:
        """Pack the stamp into one integer that sorts alike."""
        return (self.wall_ms << _COUNTER_BITS) | self.counter


def unpack_stamp(packed: int) -> Stamp:
    """Undo `Stamp.pack`."""
    return Stamp(packed >> _COUNTER_BITS, packed & ((1 << _COUNTER_BITS) - 1))


class HybridClock:
    """Issue stamps that never go back, and pass those received."""

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
        """Pass a received stamp and return that of the receipt."""
        self._last = max(self._last, unpack_stamp(packed))
        return self.tick()
