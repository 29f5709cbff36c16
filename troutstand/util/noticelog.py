"""Log the notices of targets with the same fields in every process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.generated.messages import TargetNotice
    from troutstand.util.events import EventBus


def emit_notice_received(events: EventBus, request: str, notice: TargetNotice) -> None:
    """Log a new notice that a target sent with its response to a request."""
    events.emit(
        "target_notice_heard",
        request,
        target=notice.target,
        leaving=notice.is_leaving,
        rest_s=notice.rest_s,
        limit_per_s=notice.limit_per_s,
    )


def emit_notice_accepted(events: EventBus, peer: str, notice: TargetNotice) -> None:
    """Log a new notice of a target that a scheduler accepted from a peer."""
    events.emit(
        "target_notice_taken",
        target=notice.target,
        peer=peer,
        leaving=notice.is_leaving,
        rest_s=notice.rest_s,
        limit_per_s=notice.limit_per_s,
    )
