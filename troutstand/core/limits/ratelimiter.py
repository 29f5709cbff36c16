"""Token bucket that enforces the request rate limit reported by a target."""

from __future__ import annotations

from dataclasses import dataclass

# Bucket size as time at the limit. Several permits are needed at once, since decisions are
# made in ticks.
_BURST_S = 0.25
_MIN_BURST = 1.0
# Even a limit of zero is probed at this rate, since only an answer shows that it has ended.
_MIN_RATE_PER_S = 0.25
# With more holders than this an unused permit expires after some intervals of the limit.
# Otherwise all holders could send their saved permits at once: 73 gateways 73 requests to a
# target that takes 2 a second.
_MAX_SAVING_HOLDERS = 3
_PERMIT_TTL_INTERVALS = 2.0
_ROUNDING = 1e-9


@dataclass
class RateLimiter:
    """Limit requests to one holder's share of a target's rate limit; times in seconds.

    The bucket starts empty, since requests that another holder sent before are unknown.

    Parameters
    ----------
    limit_per_s
        Limit over all gateways, in requests per second.
    share
        Share of the limit that this holder may use, 0 to 1.
    last_refill_s
        Time of the last refill.
    permits
        Requests that may be sent. With many holders the initial value is random between 0
        and 1, so that they don't send at the same time.
    """

    limit_per_s: float
    share: float
    last_refill_s: float
    permits: float = 0.0
    # Time at which an expiring permit became available.
    _available_since_s: float | None = None

    @property
    def rate_per_s(self) -> float:
        """Return the rate of this holder, in requests per second."""
        return max(self.limit_per_s, _MIN_RATE_PER_S) * self.share

    @property
    def is_widely_shared(self) -> bool:
        """Return whether the limit has so many holders that unused permits expire."""
        return self.share * _MAX_SAVING_HOLDERS < 1.0

    def update(self, limit_per_s: float, share: float, now_s: float) -> None:
        """Change the limit and the share."""
        self._refill(now_s)
        self.limit_per_s, self.share = limit_per_s, share
        self.permits = min(self.permits, self._get_burst())

    def has_permit(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        self._refill(now_s)
        return self.permits >= 1.0 - _ROUNDING

    def count_permits(self, now_s: float) -> int:
        """Return the number of requests that may be sent now."""
        self._refill(now_s)
        return int(self.permits + _ROUNDING)

    def acquire(self, now_s: float) -> None:
        """Consume a permit."""
        self._refill(now_s)
        self.permits = max(0.0, self.permits - 1.0)
        self._available_since_s = None

    def _get_burst(self) -> float:
        return max(_MIN_BURST, _BURST_S * self.rate_per_s)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.last_refill_s)
        self.last_refill_s = max(self.last_refill_s, now_s)
        self.permits = min(self._get_burst(), self.permits + elapsed_s * self.rate_per_s)
        if not self.is_widely_shared or self.permits < 1.0:
            return
        if self._available_since_s is None:
            self._available_since_s = now_s
        elif now_s - self._available_since_s > _PERMIT_TTL_INTERVALS / max(
            self.limit_per_s, _MIN_RATE_PER_S
        ):
            self.permits, self._available_since_s = 0.0, None
