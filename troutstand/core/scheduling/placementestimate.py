"""Estimates of the latency and risk of placing a request or waiting for another target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.core.speed import PrefillSpeed

# The risk of missing a limit rises linearly from 0 to 1 between these ratios of the expected
# time to the limit. The 10th and 90th percentile of the first bytes are 0.5 and 2 times the
# expected time.
_NO_RISK_RATIO = 0.6
_FULL_RISK_RATIO = 1.4


@dataclass(frozen=True)
class BusyTargets:
    """Summarize the targets without a free slot; times in seconds."""

    count: int
    slot_interval_s: float
    prefill_speed: PrefillSpeed
    service_s: float


@dataclass(slots=True)
class PlacementEstimate:
    """Estimate the effects of placing a request at a target; times in seconds.

    Parameters
    ----------
    first_s
        Time to first byte.
    occupancy_s
        Time that the slot stays occupied after the first byte.
    first_byte_risk
        Probability that the first byte is late, 0 to 1.
    stream_risk
        Probability that the stream exceeds its pause limit or its deadline, 0 to 1.
    others_risk
        Expected number of other streams at the target that exceed their pause limit.
    """

    first_s: float
    occupancy_s: float
    first_byte_risk: float
    stream_risk: float = 0.0
    others_risk: float = 0.0


def estimate_miss_risk(expected_s: float, limit_s: float) -> float:
    """Return the probability that a limit is missed, 0 to 1; a limit of 0 is no limit."""
    if limit_s == 0.0:
        return 0.0
    if limit_s < 0.0:
        return 1.0
    ratio = expected_s / limit_s
    if ratio <= _NO_RISK_RATIO:
        return 0.0
    return min(1.0, (ratio - _NO_RISK_RATIO) / (_FULL_RISK_RATIO - _NO_RISK_RATIO))
