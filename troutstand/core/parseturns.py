"""Share the processor time of parsing between connections, turn by turn."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines that may be parsed in one turn of the event loop; a line takes a few microseconds.
TURN_LINES = 4096
# Data with at most this many lines do not wait for a turn.
_FEW_LINES = 128


class ParseTurns:
    """Limit the lines that are parsed in one turn of the event loop.

    Parameters
    ----------
    call_soon
        Calls a function in the next turn.
    """

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._call_soon = call_soon
        self._left = TURN_LINES
        self._is_scheduled = False
        # The lines that each wants to parse, and what is called for it.
        self._waiting: deque[tuple[int, Callable[[], None]]] = deque()

    def take(self, lines: int) -> bool:
        """Return whether data with this many lines may be parsed now."""
        if lines <= _FEW_LINES:
            return True
        if self._waiting or self._left < min(lines, TURN_LINES):
            return False
        self._spend(lines)
        return True

    def wait(self, lines: int, resume: Callable[[], None]) -> None:
        """Call a function once these lines may be parsed."""
        self._waiting.append((lines, resume))
        self._schedule()

    def _spend(self, lines: int) -> None:
        self._left -= lines
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._left = TURN_LINES
        for _ in range(len(self._waiting)):
            lines, resume = self._waiting[0]
            if self._left < min(lines, TURN_LINES):
                break
            self._waiting.popleft()
            self._spend(lines)
            resume()
        if self._waiting:
            self._schedule()
