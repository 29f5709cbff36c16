"""Limit retries in proportion to requests, over all gateways together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Share of the budget used here: other schedulers may spend from it at the same time, and
# the window boundary may fall unfavorably.
_USED_SHARE = 0.6
# Share of the budget that is open to retries which will probably fail.
_UNRESERVED_SHARE = 0.5


@dataclass
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def drop_before(self, start_s: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < start_s:
                times.popleft()


class RetryBudget:
    """Limit the retries to a service in proportion to its requests.

    Parameters
    ----------
    ratio
        Retries allowed per request.
    extra
        Retries allowed in addition in each window.
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
        """Count the first attempt of a request."""
        self._get_window(service, now_s).requests.append(now_s)

    def take(self, service: str, now_s: float, is_reserved: bool = True) -> bool:
        """Return whether a retry is allowed, and count it if so.

        Parameters
        ----------
        is_reserved
            Whether the retry may use the part of the budget that is kept for those that are
            likely to succeed.
        """
        window = self._get_window(service, now_s)
        allowed = self._ratio * len(window.requests) + self._extra * self.share
        used_share = _USED_SHARE if is_reserved else _USED_SHARE * _UNRESERVED_SHARE
        if len(window.retries) + 1 > allowed * used_share:
            return False
        window.retries.append(now_s)
        return True
