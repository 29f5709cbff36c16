"""Run the requests of a failure domain with suspected prompt parts isolated."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.crashes.partcrashes import MAX_EXCLUSIVE_S, SETTLED_S, make_part_ids
from troutstand.core.targetestimate import Health

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.crashes.partcrashes import PartTracker
    from troutstand.core.fairqueue import WaitingRequest
    from troutstand.core.ids import PartId
    from troutstand.core.targetestimate import Running, TargetEstimate
    from troutstand.generated.messages import Finished, PlacementAsk

_MS_PER_S = 1000.0


def list_ask_parts(ask: PlacementAsk) -> list[PartId]:
    """Return the parts of a prompt that other requests may have too."""
    return make_part_ids(ask.serves, ask.shared_parts)


def list_crash_parts(finished: Finished, serves: str) -> list[PartId]:
    """Return the parts of a request that broke off which may have crashed its target."""
    began_ms = finished.first_token_ms
    has_settled = began_ms and finished.total_ms - began_ms >= SETTLED_S * _MS_PER_S
    return [] if has_settled else make_part_ids(serves, finished.shared_parts)


def record_answer(tracker: PartTracker, run: Running, finished: Finished) -> None:
    """Record that a target answered a request."""
    begun_s = run.granted_s + finished.first_token_ms / _MS_PER_S
    tracker.record_answer(list_ask_parts(run.ask), begun_s)


def list_isolation_targets(
    waiting: WaitingRequest,
    suspects: frozenset[PartId],
    free: list[TargetEstimate],
    running: Iterable[Running],
    now_s: float,
) -> list[TargetEstimate]:
    """Return the free targets for a request with suspected parts.

    One such request runs at a time for each part, on a target of its own if one becomes idle
    soon.
    """
    if any(is_exclusive(run, now_s) and run.suspects & suspects for run in running):
        return []
    trusted = [target for target in free if target.health is Health.TRUSTED]
    idle = [target for target in trusted if not target.running]
    has_waited = now_s - waiting.submitted_s > MAX_EXCLUSIVE_S
    return idle or (trusted if has_waited else [])


def is_exclusive(run: Running, now_s: float) -> bool:
    """Return whether an isolated run keeps other requests away from its target."""
    return run.is_isolated and now_s - run.granted_s < MAX_EXCLUSIVE_S
