"""Add jitter to the Retry-After of refused callers, so that they do not return at once."""

from __future__ import annotations

import random

MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0


class RetryJitter:
    """Add random jitter to retry delays.

    Parameters
    ----------
    seed
        Seed of the random generator.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def add_jitter_s(self, wait_s: float) -> float:
        """Return a delay between the clamped wait and twice that."""
        base_s = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
        return base_s * (1 + self._random.random())
