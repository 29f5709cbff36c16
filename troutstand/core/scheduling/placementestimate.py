"""Tell what is expected to come of a placement, and of waiting for another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.core.speed import ReadingSpeed

# Up to this share of a limit an expected time keeps it, and from this share on it
# misses it; first bytes take 0.5 to 2 times what is expected (10 and 90 in 100).
_SAFE_SHARE = 0.6
_LOST_SHARE = 1.4


@dataclass(frozen=True)
class BusyTargets:
    """Tell what waiting for a busy target would bring; times in seconds."""

    count: int
    slot_interval_s: float
    reading: ReadingSpeed
    service_s: float


@dataclass(slots=True)
class PlacementEstimate:
    """Tell what is expected to come of a placement; times in seconds.

    Parameters
    ----------
    first_s
        Until the first byte.
    held_s
        How long the slot is held behind it.
    first_risk
        The chance that the first byte is late, 0 to 1.
    rest_risk
        The chance that the stream pauses for too long or is cut by its deadline.
    others_risk
        Streams at the target that the prompt would make pause for too long.
    """

    first_s: float
    occupancy_s: float
    first_byte_risk: float
    stream_risk: float = 0.0
    others_risk: float = 0.0


def estimate_miss_risk(expected_s: float, limit_s: float) -> float:
    """Return the chance that a limit is missed, from an expected time; 0 is no limit."""
    if limit_s == 0.0:
        return 0.0
    if limit_s < 0.0:
        return 1.0
    share = expected_s / limit_s
    if share <= _SAFE_SHARE:
        return 0.0
    return min(1.0, (share - _SAFE_SHARE) / (_LOST_SHARE - _SAFE_SHARE))
