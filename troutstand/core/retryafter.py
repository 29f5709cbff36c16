"""Read how long a server wants to be left alone."""

from __future__ import annotations

import math

# A longer time is cut to this, in seconds: a slip of the server would leave it out for good
# (chosen, not measured).
MAX_RETRY_AFTER_S = 3600.0


def parse_retry_after(text: str | None) -> float:
    """Return the seconds that a Retry-After header asks for; what cannot be read asks for none."""
    try:
        rest_s = float(text or 0.0)
    except ValueError:
        # A date says nothing that this side could go by: the time of day may differ.
        return 0.0
    return min(MAX_RETRY_AFTER_S, rest_s) if math.isfinite(rest_s) and rest_s > 0.0 else 0.0
