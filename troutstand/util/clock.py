"""Read the clock that all times of a process are compared by.

A host may be suspended. The steady clock stands still meanwhile, so that a lease, a contact
or a deadline would seem younger than it is: others have given it up. The clock read here
never goes back and counts that time, and the event loop's timers go by it as well.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Counts the time in which the host was suspended; where a system has no such clock, the
# steady one is all there is.
_SOURCE = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

# Two reads of the two clocks lie this much apart at most, in seconds, on a machine that is
# awake (the process may be held up between them).
MIN_SUSPEND_S = 0.05
_WATCH_S = 0.1


def read_clock_s() -> float:
    """Return seconds since some moment before the process began, suspended ones too."""
    return time.clock_gettime(_SOURCE)


def read_monotonic_s() -> float:
    """Return seconds that stand still while the host is suspended."""
    return time.monotonic()


class SuspendWatch:
    """Notice that the host was suspended, by two clocks that part."""

    def __init__(self) -> None:
        self._apart_s = self._measure()

    def _measure(self) -> float:
        return read_clock_s() - read_monotonic_s()

    def peek_suspended_s(self) -> float:
        """Return the same, and go on counting from the call before."""
        return max(0.0, self._measure() - self._apart_s)

    def pop_suspended_s(self) -> float:
        """Return for how many seconds the host was suspended since the last call."""
        before_s, self._apart_s = self._apart_s, self._measure()
        return max(0.0, self._apart_s - before_s)


async def watch_suspends(note: Callable[[float], None]) -> None:
    """Tell each time after which the host was awake again, by its seconds, until cancelled."""
    watch = SuspendWatch()
    while True:
        await asyncio.sleep(_WATCH_S)
        suspended_s = watch.pop_suspended_s()
        if suspended_s > MIN_SUSPEND_S:
            note(suspended_s)


class ClockLoop(asyncio.SelectorEventLoop):
    """Run timers by the clock that counts time in which the host was suspended.

    The system wakes the loop by the steady clock. A timer that ran out meanwhile is seen at
    the loop's next step, which other timers cause within a quarter of a second.
    """

    def time(self) -> float:
        """Return the time that timers are set by, in seconds."""
        return read_clock_s()
