"""Log placement decisions of schedulers and gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.generated.messages import Declined, Placed

if TYPE_CHECKING:
    from troutstand.core.decision import Decision, PlacedInputs
    from troutstand.core.reachability import LinkChange
    from troutstand.util.events import EventBus

LOCAL = "alone"
_MS_PER_S = 1000.0


def emit_decision(
    events: EventBus, decision: Decision, decider: str, version: int, targets_version: str
) -> None:
    """Log a decision with its inputs."""
    match decision.answer:
        case Placed():
            if decision.inputs is not None:
                _emit_placed(
                    events, decision.answer, decision.inputs, decider, version, targets_version
                )
        case Declined(request, code, retry_after_s, reason):
            events.emit(
                "request_declined",
                request,
                code=ResultCode(code),
                retry_after_s=retry_after_s,
                reason=reason,
                decider=decider,
                version=version,
            )


def emit_link_changes(events: EventBus, changes: list[LinkChange], decider: str) -> None:
    """Log each link between failure domains that is blocked or open again."""
    for change in changes:
        events.emit(
            "way_regained" if change.is_open else "way_lost",
            source=change.link.source,
            destination=change.link.destination,
            targets=",".join(change.targets),
            decider=decider,
        )


def _emit_placed(
    events: EventBus,
    placed: Placed,
    inputs: PlacedInputs,
    decider: str,
    version: int,
    targets_version: str,
) -> None:
    events.emit(
        "request_placed",
        placed.request,
        target=placed.target,
        waited_ms=placed.waited_ms,
        expected_ms=_MS_PER_S * inputs.expected_first_s,
        token_ms=_MS_PER_S * inputs.token_s,
        running=inputs.running,
        uncached=inputs.uncached_tokens,
        sign_age_s=inputs.last_response_age_s,
        open=inputs.open_targets,
        limit_per_s=inputs.limit_per_s,
        workspace=inputs.workspace,
        charge=inputs.charge,
        tier=inputs.tier,
        late=inputs.is_late,
        promoted=inputs.is_promoted,
        fingerprint=inputs.fingerprint,
        software=placed.software_version or None,
        decider=decider,
        list=targets_version[:8],
        version=version,
    )
