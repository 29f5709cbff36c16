"""Carry what was decided on a request, with what it rested on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.generated.messages import Declined

if TYPE_CHECKING:
    from troutstand.core.crashtracker import Quarantine
    from troutstand.generated.messages import Placed


@dataclass(frozen=True)
class Decision:
    """Tell a gateway what becomes of its request."""

    owner: str
    answer: Placed | Declined
    inputs: PlacedInputs | None = None


@dataclass(frozen=True)
class PlacedInputs:
    """Tell what a placement rested on, for the log.

    Parameters
    ----------
    expected_first_s
        Seconds that the target's first byte should take.
    running
        Requests that the target had already.
    uncached_tokens
        Prompt tokens that the target does not hold.
    last_response_age_s
        Age of the target's last answer, in seconds.
    open_targets
        Targets that could have been given the request.
    workspace, charge
        Whose limit was charged, and with how many tokens.
    fingerprint
        The same for all requests of a caller with one path and body.
    token_s
        Seconds that the target is expected to take for a token of an answer.
    limit_per_s
        Requests a second that the target says it takes; None is not told.
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


def decline_quarantined(request: str, quarantine: Quarantine) -> Declined:
    """Write the refusal of a request under which targets ended."""
    return Declined(
        request,
        int(ResultCode.REQUEST_QUARANTINED),
        quarantine.wait_s,
        quarantine.reason,
        crashes=[quarantine.history],
    )
