"""Read the process clock, which includes time in which the host is suspended.

The monotonic clock stops during a suspend, so a lease or deadline would seem valid after
peers have let it expire. The event loop's timers use the same clock.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Falls back to the monotonic clock on systems without a clock that includes suspends.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

# Shorter differences come from a delay between the reads of the two clocks.
MIN_SUSPEND_S = 0.05
_CHECK_INTERVAL_S = 0.1


def read_clock_s() -> float:
    """Return seconds since an arbitrary start, including suspended time."""
    return time.clock_gettime(_CLOCK_ID)


def read_monotonic_s() -> float:
    """Return seconds since an arbitrary start, excluding suspended time."""
    return time.monotonic()


class SuspendWatch:
    """Detect suspends of the host by comparing two clocks."""

    def __init__(self) -> None:
        self._offset_s = self._measure_offset()

    def _measure_offset(self) -> float:
        return read_clock_s() - read_monotonic_s()

    def peek_suspended_s(self) -> float:
        """Return the suspended seconds since the last pop, without resetting them."""
        return max(0.0, self._measure_offset() - self._offset_s)

    def pop_suspended_s(self) -> float:
        """Return the suspended seconds since the last pop, and reset them."""
        previous_offset_s, self._offset_s = self._offset_s, self._measure_offset()
        return max(0.0, self._offset_s - previous_offset_s)


async def watch_suspends(on_suspend: Callable[[float], None]) -> None:
    """Call a function with the length of each suspend in seconds, until cancelled."""
    watch = SuspendWatch()
    while True:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        suspended_s = watch.pop_suspended_s()
        if suspended_s > MIN_SUSPEND_S:
            on_suspend(suspended_s)


class ClockLoop(asyncio.SelectorEventLoop):
    """Run timers by the clock that includes suspended time.

    The selector still waits by the monotonic clock, so a timer that expires during a suspend
    fires at the next iteration of the loop, at the latest when another timer ends the wait.
    """

    def time(self) -> float:
        """Return the current time of the loop's timers in seconds."""
        return read_clock_s()
