"""Remember which refused requests were told to come back, and when."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

# A caller that was told to come back later than this rarely does.
_MAX_WAIT_S = 5.0


@dataclass
class Promises:
    """Hold the amounts that callers were told to come back for.

    Without them all who are refused would be told the moment at which one of them fits.
    """

    total: float = 0.0
    _due: list[tuple[float, float]] = field(default_factory=list)

    def count(self, now_s: float) -> float:
        """Return the amount of all whose time has not come."""
        while self._due and self._due[0][0] <= now_s:
            self.total -= heapq.heappop(self._due)[1]
        if not self._due:
            self.total = 0.0
        return self.total

    def add(self, amount: float, wait_s: float, now_s: float) -> float:
        """Record that a caller is told to wait, unless too long, and return the wait."""
        if 0.0 < wait_s <= _MAX_WAIT_S:
            heapq.heappush(self._due, (now_s + wait_s, amount))
            self.total += amount
        return wait_s
