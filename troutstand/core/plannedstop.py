"""Decide which requests a stopping process still takes, from how long answers took before."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

_WINDOW_ANSWERS = 64
_MAX_ROUTES = 1000
# Tolerates a few slow answers in the window, so that they don't refuse all that follow.
_QUANTILE = 0.95
_LENGTH_MARGIN = 1.25
# Covers the transfer of the answer and a busy event loop.
_MARGIN_S = 0.1
# Shares of the stop timeout. Open requests are aborted at the first one, so that what is left
# is enough to end the process; until the second one, requests of unknown length are taken.
_ABORT_SHARE = 0.92
_UNKNOWN_SHARE = 0.5


class AnswerLengths:
    """Keep the lengths of the last answers of each route, from a request's arrival to its end."""

    def __init__(self) -> None:
        self._lengths_s: OrderedDict[str, deque[float]] = OrderedDict()

    def record(self, route: str, length_s: float) -> None:
        """Record the length of a whole answer, in seconds."""
        lengths_s = self._lengths_s.get(route)
        if lengths_s is None:
            lengths_s = self._lengths_s[route] = deque(maxlen=_WINDOW_ANSWERS)
        lengths_s.append(length_s)
        self._lengths_s.move_to_end(route)
        if len(self._lengths_s) > _MAX_ROUTES:
            self._lengths_s.popitem(last=False)

    def count(self) -> dict[str, int]:
        """Return the number of answers that are kept of each route."""
        return {route: len(lengths_s) for route, lengths_s in self._lengths_s.items()}

    def estimate_s(self, route: str) -> float | None:
        """Return a length that few answers of a route exceed, or None without answers."""
        lengths_s = sorted(self._lengths_s.get(route, ()))
        if not lengths_s:
            return None
        return lengths_s[min(len(lengths_s) - 1, int(_QUANTILE * len(lengths_s)))]


@dataclass(frozen=True)
class PlannedStop:
    """Hold the times of a stop, in seconds on the steady clock.

    Parameters
    ----------
    unknown_until_s
        Until when requests are taken whose length is unknown.
    aborted_s
        When open requests are aborted.
    """

    unknown_until_s: float
    aborted_s: float

    @classmethod
    def begin(cls, now_s: float, stop_s: float) -> PlannedStop:
        """Return the times of a stop that begins now, from its timeout in seconds."""
        return cls(now_s + _UNKNOWN_SHARE * stop_s, now_s + _ABORT_SHARE * stop_s)

    def can_answer(self, now_s: float, deadline_s: float, length_s: float | None) -> bool:
        """Return whether a request that arrives now ends before open requests are aborted.

        Parameters
        ----------
        deadline_s
            When the request ends at the latest.
        length_s
            How long answers of its route take; None if unknown.
        """
        latest_s = self.aborted_s - _MARGIN_S
        if deadline_s <= latest_s:
            return True
        if length_s is None:
            return now_s < self.unknown_until_s
        return now_s + _LENGTH_MARGIN * length_s <= latest_s
