"""Space what is sent to a target, so that it gets no more than it says it takes."""

from __future__ import annotations

from dataclasses import dataclass

# After a pause as many may be sent at once as the limit allows in this time, in seconds, and
# one always: decisions are made each 50 ms, and those of a limit of 100 a second come by fives.
_BURST_S = 0.25
_LEAST_BURST = 1.0
# A target that takes less is tried so many times a second all the same, since nothing but an
# answer tells that its limit has ended (chosen: one try in 4 s).
_LEAST_RATE_PER_S = 0.25
# What more holders of one limit than these have saved while nobody asked could come at once:
# 73 gateways that decide alone would send 73 requests to a target that takes 2 a second. A
# holder of a smaller share loses what it does not use within so many turns of the limit.
_MOST_SAVING = 3
_KEPT_TURNS = 2.0
_ROUNDING = 1e-9


@dataclass
class RateLimiter:
    """Hold one holder's share of a target's limit; times in seconds.

    It begins without room: what others sent before is not known here, and a decider that has
    just taken over must not add to it.

    Parameters
    ----------
    limit_per_s
        What the target takes from all gateways together, in requests a second.
    share
        The part of it that is spent here, 0 to 1.
    at_s
        When the room was counted last.
    room
        Requests that may be sent. Where many holders begin at once it is drawn from 0 to 1,
        since those that begin alike would send alike.
    """

    limit_per_s: float
    share: float
    at_s: float
    permits: float = 0.0
    # Since when a request might be sent, where that may not be saved up.
    _full_s: float | None = None

    @property
    def rate_per_s(self) -> float:
        """Return how many requests a second may be sent from here."""
        return max(self.limit_per_s, _LEAST_RATE_PER_S) * self.share

    @property
    def is_widely_shared(self) -> bool:
        """Tell whether so many hold the limit that none may save its part."""
        return self.share * _MOST_SAVING < 1.0

    def update(self, limit_per_s: float, share: float, now_s: float) -> None:
        """Go by another limit, or another share of it, from now on."""
        self._advance(now_s)
        self.limit_per_s, self.share = limit_per_s, share
        self.permits = min(self.permits, self._find_burst())

    def has_permit(self, now_s: float) -> bool:
        """Tell whether a request may be sent now."""
        self._advance(now_s)
        return self.permits >= 1.0 - _ROUNDING

    def count_permits(self, now_s: float) -> int:
        """Return how many requests may be sent now."""
        self._advance(now_s)
        return int(self.permits + _ROUNDING)

    def acquire(self, now_s: float) -> None:
        """Count a request that is sent now."""
        self._advance(now_s)
        self.permits = max(0.0, self.permits - 1.0)
        self._full_s = None

    def _find_burst(self) -> float:
        return max(_LEAST_BURST, _BURST_S * self.rate_per_s)

    def _advance(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.at_s)
        self.at_s = max(self.at_s, now_s)
        self.permits = min(self._find_burst(), self.permits + passed_s * self.rate_per_s)
        if not self.is_widely_shared or self.permits < 1.0:
            return
        if self._full_s is None:
            self._full_s = now_s
        elif now_s - self._full_s > _KEPT_TURNS / max(self.limit_per_s, _LEAST_RATE_PER_S):
            self.permits, self._full_s = 0.0, None
