"""Tell refused callers when to come back, so that they do not come as a wave."""

from __future__ import annotations

import random

MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0


class RetryJitter:
    """Spread times to come back.

    Parameters
    ----------
    seed
        Fixes the times.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def add_jitter_s(self, wait_s: float) -> float:
        """Return a time between the wait and twice the wait."""
        base_s = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
        return base_s * (1 + self._random.random())
