"""Log the findings about requests that crash targets with the same fields in every process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.crashes.crashtracker import Suspicion

if TYPE_CHECKING:
    from troutstand.core.crashes.crashtracker import SuspicionChange
    from troutstand.core.crashes.partcrashes import PartChange
    from troutstand.util.events import EventBus

# Names the deciding process in log lines.
SCHEDULER = "scheduler"


def emit_suspicion_changes(events: EventBus, changes: list[SuspicionChange], decider: str) -> None:
    """Log each request that is suspected of crashing targets, or cleared."""
    for change in changes:
        events.emit(
            "request_cleared" if change.suspicion is Suspicion.NONE else "request_blamed",
            fingerprint=change.fingerprint,
            target=change.target or None,
            targets_ended=change.crash_count,
            blame=change.suspicion.value,
            decider=decider,
        )


def emit_part_changes(events: EventBus, changes: list[PartChange], decider: str) -> None:
    """Log each finding about prompt parts that may crash targets."""
    for change in changes:
        events.emit(
            change.verdict.value,
            parts="+".join(change.parts),
            target=change.target or None,
            targets_crashed=change.crash_count,
            decider=decider,
        )
