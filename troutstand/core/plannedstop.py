"""Decide which requests a stopping process still takes, from how long answers took before."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import NamedTuple

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
# Until when streams are taken that may be cut, in seconds and as a share of the stop timeout.
# Callers that send later have been told of the stop, or can send elsewhere at once.
_CUT_S = 2.75
_CUT_SHARE = 0.34


class AnsweredRoute(NamedTuple):
    """Name a route and the service that answers it; another service takes other times."""

    route: str
    service: str


class AnswerLengths:
    """Keep the lengths of the last answers of each route, from a request's arrival to its end."""

    def __init__(self) -> None:
        self._lengths_s: OrderedDict[AnsweredRoute, deque[float]] = OrderedDict()

    def record(self, route: str, service: str, length_s: float) -> None:
        """Record the length of a whole answer, in seconds."""
        key = AnsweredRoute(route, service)
        lengths_s = self._lengths_s.get(key)
        if lengths_s is None:
            lengths_s = self._lengths_s[key] = deque(maxlen=_WINDOW_ANSWERS)
        lengths_s.append(length_s)
        self._lengths_s.move_to_end(key)
        if len(self._lengths_s) > _MAX_ROUTES:
            self._lengths_s.popitem(last=False)

    def count(self) -> dict[AnsweredRoute, int]:
        """Return the number of answers that are kept of each route."""
        return {key: len(lengths_s) for key, lengths_s in self._lengths_s.items()}

    def estimate_s(self, route: str, service: str) -> float | None:
        """Return a length that few answers of a route exceed, or None without answers."""
        lengths_s = sorted(self._lengths_s.get(AnsweredRoute(route, service), ()))
        if not lengths_s:
            return None
        return lengths_s[min(len(lengths_s) - 1, int(_QUANTILE * len(lengths_s)))]


@dataclass(frozen=True)
class PlannedStop:
    """Hold the times of a stop, in seconds on the steady clock.

    Parameters
    ----------
    cut_until_s
        Until when streams are taken that may not have ended when open requests are aborted.
    unknown_until_s
        Until when requests are taken whose length is unknown.
    aborted_s
        When open requests are aborted.
    """

    cut_until_s: float
    unknown_until_s: float
    aborted_s: float

    @classmethod
    def begin(cls, now_s: float, stop_s: float) -> PlannedStop:
        """Return the times of a stop that begins now, from its timeout in seconds."""
        return cls(
            cut_until_s=now_s + min(_CUT_S, _CUT_SHARE * stop_s),
            unknown_until_s=now_s + _UNKNOWN_SHARE * stop_s,
            aborted_s=now_s + _ABORT_SHARE * stop_s,
        )

    def can_answer(
        self, now_s: float, deadline_s: float, length_s: float | None, is_stream: bool
    ) -> bool:
        """Return whether a request that arrives now ends before open requests are aborted.

        Parameters
        ----------
        deadline_s
            When the request ends at the latest.
        length_s
            How long answers of its route take; None if unknown.
        is_stream
            Whether its response is relayed as it arrives. An abort cuts such a response, and
            refuses a request whose response has not begun.
        """
        latest_s = self.aborted_s - _MARGIN_S
        if deadline_s <= latest_s:
            return True
        if is_stream and now_s >= self.cut_until_s:
            return False
        if length_s is None:
            return now_s < self.unknown_until_s
        return now_s + _LENGTH_MARGIN * length_s <= latest_s
