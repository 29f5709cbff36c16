"""Hold what a target said of itself, and tell what that allows.

Gateways and deciders of both kinds of site keep one `SelfReport` for each target. Whatever a
target may say has its rule here and nowhere else.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.backoff import Backoff
from troutstand.core.ratelimiter import RateLimiter
from troutstand.generated.messages import TargetNotice

if TYPE_CHECKING:
    import random

_NEVER_S = float("-inf")


class BlockReason(Enum):
    """Say why nothing may be sent to a target."""

    BACKOFF = "resting"
    LEAVING = "leaving"


@dataclass
class LimitShare:
    """Tell which part of targets' limits one holder spends.

    Parameters
    ----------
    part
        0 to 1; the parts of all that decide at the same time add up to 1.
    draws
        Draws where in its turn a holder begins, where there are many; without it all begin
        at the start.
    """

    fraction: float = 1.0
    rng: random.Random | None = None


@dataclass
class SelfReport:
    """Hold what one life of a target said of itself; times in seconds."""

    is_leaving: bool = False
    backoff: Backoff = field(default_factory=Backoff)
    rate_limiter: RateLimiter | None = None
    # When an answer last named the limit.
    _named_s: float = _NEVER_S

    # What answers say

    def apply_notice(
        self, gateway: str, notice: TargetNotice, now_s: float, share: LimitShare | None = None
    ) -> bool:
        """Take what an answer to a gateway said; tell whether it is news."""
        is_news = notice.is_leaving and not self.is_leaving
        self.is_leaving = self.is_leaving or notice.is_leaving
        if notice.rest_s > 0.0:
            self.backoff.start(gateway, notice.rest_s, now_s)
            is_news = True
        if notice.limit_per_s is not None:
            return self._name_limit(notice.limit_per_s, share or LimitShare(), now_s) or is_news
        if notice.asked_age_s is not None:
            return self.clear_stale_limit(now_s - notice.asked_age_s) or is_news
        return is_news

    def _name_limit(self, limit_per_s: float, share: LimitShare, now_s: float) -> bool:
        """Keep to a limit; tell whether it is another than before."""
        self._named_s = now_s
        if self.rate_limiter is None:
            self.rate_limiter = RateLimiter(limit_per_s, share.fraction, now_s)
            if self.rate_limiter.is_widely_shared and share.rng is not None:
                self.rate_limiter.permits = share.rng.random()
            return True
        is_changed = limit_per_s != self.rate_limiter.limit_per_s
        self.rate_limiter.update(limit_per_s, share.fraction, now_s)
        return is_changed

    def record_answer(self, asked_s: float) -> bool:
        """Take an answer that named neither rest nor limit; tell whether a limit ended by it.

        Parameters
        ----------
        asked_s
            When its request was sent: one that was sent before the target last spoke of
            itself tells nothing.
        """
        self.backoff.record_answer(asked_s)
        return self.clear_stale_limit(asked_s)

    def clear_stale_limit(self, asked_s: float) -> bool:
        """End the limit where a request sent after it was named got an answer without it."""
        if self.rate_limiter is None or asked_s <= self._named_s:
            return False
        self.rate_limiter = None
        return True

    # What it allows

    def get_block_reason(self, gateway: str, now_s: float) -> BlockReason | None:
        """Return why a gateway may send nothing now, or None."""
        if self.is_leaving:
            return BlockReason.LEAVING
        return BlockReason.BACKOFF if self.backoff.is_active(gateway, now_s) else None

    def may_send(self, now_s: float) -> bool:
        """Tell whether the limit leaves room for a request now.

        The decider that gives the target a request asks this, for first tries, repeats,
        probes and resumed streams alike. Two engines that named 1.7 and 1.9 a second got 3.3
        and 3.2 before (33 and 32 requests in 10 s of a recorded day).
        """
        return self.rate_limiter is None or self.rate_limiter.has_permit(now_s)

    def count_permits(self, now_s: float) -> int:
        """Return how many requests the limit leaves room for now."""
        return sys.maxsize if self.rate_limiter is None else self.rate_limiter.count_permits(now_s)

    def record_sent(self, now_s: float) -> None:
        """Count a request that the target is given."""
        if self.rate_limiter is not None:
            self.rate_limiter.acquire(now_s)

    @property
    def limit_per_s(self) -> float | None:
        """Return the limit that holds, in requests a second over all gateways."""
        return None if self.rate_limiter is None else self.rate_limiter.limit_per_s

    @property
    def rate_per_s(self) -> float:
        """Return how many requests a second may be sent from here; infinite without a limit."""
        return float("inf") if self.rate_limiter is None else self.rate_limiter.rate_per_s

    # Handing over

    def set_share(self, share: LimitShare, now_s: float) -> None:
        """Spend another share of the limit from now on."""
        if self.rate_limiter is not None:
            self.rate_limiter.update(self.rate_limiter.limit_per_s, share.fraction, now_s)

    def has_restrictions(self, gateway: str, now_s: float) -> bool:
        """Tell whether whoever decides next must know anything of it."""
        return self.get_block_reason(gateway, now_s) is not None or self.rate_limiter is not None

    def build_notice(self, target: str, born_ms: int, gateway: str, now_s: float) -> TargetNotice:
        """Return what a decider is told of the target."""
        return TargetNotice(
            target,
            born_ms,
            self.is_leaving,
            max(0.0, self.backoff.get_end_s(gateway) - now_s),
            self.limit_per_s,
        )
