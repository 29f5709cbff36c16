"""Parsing of the Retry-After header."""

from __future__ import annotations

import math

# Limits the effect of a wrong value, which would exclude the server indefinitely.
MAX_RETRY_AFTER_S = 3600.0


def parse_retry_after(text: str | None) -> float:
    """Return the delay of a Retry-After header in seconds; 0 if missing or malformed."""
    try:
        delay_s = float(text or 0.0)
    except ValueError:
        # Dates are ignored, since the clocks may differ.
        return 0.0
    return min(MAX_RETRY_AFTER_S, delay_s) if math.isfinite(delay_s) and delay_s > 0.0 else 0.0
