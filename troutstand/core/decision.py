"""Hold the decision on a request and its inputs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.generated.messages import Declined

if TYPE_CHECKING:
    from troutstand.core.crashes.crashtracker import Quarantine
    from troutstand.generated.messages import Placed


@dataclass(frozen=True)
class Decision:
    """Hold the decision on a gateway's request."""

    owner: str
    answer: Placed | Declined
    inputs: PlacedInputs | None = None


@dataclass(frozen=True)
class PlacedInputs:
    """Hold the inputs of a placement, for the log.

    Parameters
    ----------
    expected_first_s
        Expected time to first byte, in seconds.
    running
        Requests that were running at the target.
    uncached_tokens
        Prompt tokens that are not in the target's cache.
    last_response_age_s
        Seconds since the target's last response.
    open_targets
        Number of targets that could take a request.
    workspace, charge
        The workspace whose limit was charged, and the tokens charged.
    fingerprint
        Hash that is equal for requests of a caller with the same path and body.
    token_s
        Expected time per output token, in seconds.
    limit_per_s
        Rate limit that the target reported, in requests per second; None without one.
    tier
        Rank of the request for placement; 0 is the highest.
    is_late
        Whether the request could no longer meet its objective.
    is_promoted
        Whether the request was placed with the highest tier, since its own is underserved.
    """

    expected_first_s: float
    running: int
    uncached_tokens: float
    last_response_age_s: float
    open_targets: int
    workspace: str
    charge: float
    fingerprint: str
    token_s: float
    limit_per_s: float | None = None
    tier: int = 0
    is_late: bool = False
    is_promoted: bool = False


def decline_quarantined(request: str, quarantine: Quarantine) -> Declined:
    """Build the refusal of a quarantined request."""
    return Declined(
        request,
        int(ResultCode.REQUEST_QUARANTINED),
        quarantine.wait_s,
        quarantine.reason,
        crashes=[quarantine.history] if quarantine.history is not None else [],
    )
