"""Bound how often requests are sent again, over all gateways together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Of what is allowed, so much is used: other schedulers may allow some at the
# same time, and a window may be cut unluckily.
_USED = 0.6


@dataclass
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def drop_before(self, start_s: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < start_s:
                times.popleft()


class RetryBudget:
    """Allow repeated sends to a service in proportion to its requests.

    Parameters
    ----------
    ratio
        Repeated sends allowed per request.
    extra
        Repeated sends allowed beside those, in each window.
    window_s
        Length of the sliding window, in seconds.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.share = 1.0
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._windows: dict[str, _Window] = {}

    def _get_window(self, service: str, now_s: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.drop_before(now_s - self._window_s)
        return window

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request's first send."""
        self._get_window(service, now_s).requests.append(now_s)

    def take(self, service: str, now_s: float) -> bool:
        """Count a repeated send and tell whether it is allowed."""
        window = self._get_window(service, now_s)
        allowed = self._ratio * len(window.requests) + self._extra * self.share
        if len(window.repeats) + 1 > allowed * _USED:
            return False
        window.repeats.append(now_s)
        return True
