"""Enforce the limits of workspaces within a failure domain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.generated.table import Workspace

# Capacity of the token bucket, in seconds of the workspace's rate.
BURST_S = 5.0


@dataclass
class WorkspaceUsage:
    """Track one workspace's running requests and its token bucket.

    A request is charged its estimated tokens on submission; it is admitted, whatever its
    size, if the bucket is not empty.

    Parameters
    ----------
    started_s
        When the scheduler started. What its predecessor granted just before is unknown, so that
        the bucket is empty then.
    """

    row: Workspace
    started_s: float = float("-inf")
    running: int = 0
    _bucket_tokens: float = 0.0
    _refilled_at_s: float | None = None

    def is_full(self) -> bool:
        """Return whether the limit of running requests is reached."""
        return 0 < self.row.running_requests <= self.running

    def charge(self, tokens: int, now_s: float) -> float:
        """Charge tokens and return 0, or return the seconds until a retry can succeed."""
        rate = self.row.tokens_per_s
        if rate <= 0:
            return 0.0
        self._refill(now_s)
        if self._bucket_tokens <= 0:
            return (1 - self._bucket_tokens) / rate
        self._bucket_tokens -= tokens
        return 0.0

    def _refill(self, now_s: float) -> None:
        rate = self.row.tokens_per_s
        capacity = rate * BURST_S
        last_s = self.started_s if self._refilled_at_s is None else self._refilled_at_s
        refill = (now_s - last_s) * rate
        self._bucket_tokens = min(capacity, self._bucket_tokens + refill)
        self._refilled_at_s = now_s
