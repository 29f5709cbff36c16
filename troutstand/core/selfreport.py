"""State that a target reports about itself, and the restrictions that follow from it.

Gateways and schedulers keep one `SelfReport` per target. All rules for target notices are here.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.backoff import Backoff
from troutstand.core.limits.ratelimiter import RateLimiter
from troutstand.generated.messages import TargetNotice

if TYPE_CHECKING:
    import random

_NEVER_S = float("-inf")


class BlockReason(Enum):
    """Say why no requests may be sent to a target."""

    BACKOFF = "resting"
    LEAVING = "leaving"


@dataclass
class LimitShare:
    """Describe the share of the targets' rate limits that one holder may use.

    Parameters
    ----------
    fraction
        0 to 1; the fractions of all concurrent schedulers add up to 1.
    rng
        Draws the initial permits where a limit has many holders; without it they start at 0.
    """

    fraction: float = 1.0
    rng: random.Random | None = None


@dataclass
class SelfReport:
    """Hold what one incarnation of a target reported about itself; times in seconds."""

    is_leaving: bool = False
    backoff: Backoff = field(default_factory=Backoff)
    rate_limiter: RateLimiter | None = None
    # Time of the last answer that carried a limit.
    _limit_reported_s: float = _NEVER_S

    # Reports

    def apply_notice(
        self, gateway: str, notice: TargetNotice, now_s: float, share: LimitShare | None = None
    ) -> bool:
        """Apply the notice of an answer to a gateway; return whether anything changed."""
        is_changed = notice.is_leaving and not self.is_leaving
        self.is_leaving = self.is_leaving or notice.is_leaving
        if notice.rest_s > 0.0:
            self.backoff.start(gateway, notice.rest_s, now_s)
            is_changed = True
        if notice.limit_per_s is not None:
            return self._apply_limit(notice.limit_per_s, share or LimitShare(), now_s) or is_changed
        if notice.asked_age_s is not None:
            return self.clear_stale_limit(now_s - notice.asked_age_s) or is_changed
        return is_changed

    def _apply_limit(self, limit_per_s: float, share: LimitShare, now_s: float) -> bool:
        """Apply a rate limit; return whether it changed."""
        self._limit_reported_s = now_s
        if self.rate_limiter is None:
            self.rate_limiter = RateLimiter(limit_per_s, share.fraction, now_s)
            if self.rate_limiter.is_widely_shared and share.rng is not None:
                self.rate_limiter.permits = share.rng.random()
            return True
        is_changed = limit_per_s != self.rate_limiter.limit_per_s
        self.rate_limiter.update(limit_per_s, share.fraction, now_s)
        return is_changed

    def record_answer(self, sent_s: float) -> bool:
        """Record an answer without back-off or limit; return whether it ended a limit.

        Parameters
        ----------
        sent_s
            Time when the request was sent. Answers to requests older than the last notice
            are ignored.
        """
        self.backoff.record_answer(sent_s)
        return self.clear_stale_limit(sent_s)

    def clear_stale_limit(self, sent_s: float) -> bool:
        """Remove the limit if a request sent after the last report of it was answered without."""
        if self.rate_limiter is None or sent_s <= self._limit_reported_s:
            return False
        self.rate_limiter = None
        return True

    # Restrictions

    def get_block_reason(self, gateway: str, now_s: float) -> BlockReason | None:
        """Return why a gateway must not send requests now, or None."""
        if self.is_leaving:
            return BlockReason.LEAVING
        return BlockReason.BACKOFF if self.backoff.is_active(gateway, now_s) else None

    def may_send(self, now_s: float) -> bool:
        """Return whether the rate limit allows a request now.

        Applies to all requests: first attempts, retries, probes and resumed streams.
        """
        return self.rate_limiter is None or self.rate_limiter.has_permit(now_s)

    def count_permits(self, now_s: float) -> int:
        """Return the number of requests that the rate limit allows now."""
        return sys.maxsize if self.rate_limiter is None else self.rate_limiter.count_permits(now_s)

    def record_sent(self, now_s: float) -> None:
        """Count a request that is sent to the target."""
        if self.rate_limiter is not None:
            self.rate_limiter.acquire(now_s)

    @property
    def limit_per_s(self) -> float | None:
        """Return the limit over all gateways, in requests per second."""
        return None if self.rate_limiter is None else self.rate_limiter.limit_per_s

    @property
    def rate_per_s(self) -> float:
        """Return the rate of this holder, in requests per second; infinite without a limit."""
        return float("inf") if self.rate_limiter is None else self.rate_limiter.rate_per_s

    # Handover

    def set_share(self, share: LimitShare, now_s: float) -> None:
        """Change the share of the limit."""
        if self.rate_limiter is not None:
            self.rate_limiter.update(self.rate_limiter.limit_per_s, share.fraction, now_s)

    def has_restrictions(self, gateway: str, now_s: float) -> bool:
        """Return whether another scheduler needs a notice of this target."""
        return self.get_block_reason(gateway, now_s) is not None or self.rate_limiter is not None

    def build_notice(self, target: str, born_ms: int, gateway: str, now_s: float) -> TargetNotice:
        """Return the notice that is sent to a scheduler."""
        return TargetNotice(
            target,
            born_ms,
            self.is_leaving,
            max(0.0, self.backoff.get_end_s(gateway) - now_s),
            self.limit_per_s,
        )
