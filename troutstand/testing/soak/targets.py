"""Inject faults into the stand-in targets of a soak and clear them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from troutstand.testing.soak.check import DrainInterval
from troutstand.testing.soak.plan import EventKind
from troutstand.testing.standins import Fault

if TYPE_CHECKING:
    from troutstand.testing.soak.check import SoakRecord
    from troutstand.testing.soak.plan import SoakEvent
    from troutstand.testing.standins import StandInTarget

_FAULTS = [fault for fault in Fault if fault is not Fault.NONE]
# Faults with which a target announces a limit in requests per second.
_FAULTS_WITH_LIMIT = (Fault.SLOW, Fault.ERRORS, Fault.CUT_ANSWERS)
_MIN_LIMIT = 0.5
_LIMIT_COUNT = 40
_LIMIT_STEPS_PER_UNIT = 4
# Added to the duration of a fault to get the duration of a drain.
EXTRA_DRAIN_S = 3.0


async def inject_target_fault(target: StandInTarget, event: SoakEvent, record: SoakRecord) -> None:
    """Crash a target, drain it or make it return faulty responses."""
    match event.kind:
        case EventKind.TARGET_CRASH:
            await _crash(target, event.duration_s)
        case EventKind.TARGET_DRAIN:
            await _drain(target, event.duration_s + EXTRA_DRAIN_S, record)
        case _:
            await _apply_fault(target, event)


async def _crash(target: StandInTarget, duration_s: float) -> None:
    await target.crash()
    await asyncio.sleep(duration_s)
    if target._server is None:
        await target.start()


async def _drain(target: StandInTarget, duration_s: float, record: SoakRecord) -> None:
    """Announce in the list and in responses that a target leaves, then restart it.

    Of overlapping drains, the last one to end starts the new incarnation, so that the target is
    listed as draining during every recorded interval.
    """
    target.is_draining, from_s = True, time.monotonic()
    target.is_leaving = True
    target.drains += 1
    await asyncio.sleep(duration_s)
    record.drains.append(DrainInterval(target.target, from_s, time.monotonic()))
    target.drains -= 1
    if not target.drains:
        _start_incarnation(target)


def _start_incarnation(target: StandInTarget) -> None:
    target.is_draining = target.is_leaving = False
    # A target that left returns only as a new incarnation.
    target.born_ms = max(target.born_ms + 1, int(time.time() * 1000))


async def _apply_fault(target: StandInTarget, event: SoakEvent) -> None:
    fault = _FAULTS[event.second_choice % len(_FAULTS)]
    if fault is Fault.SHED:
        target.backoff_s = event.duration_s
    if fault in _FAULTS_WITH_LIMIT:
        target.limit = f"{_MIN_LIMIT + event.choice % _LIMIT_COUNT / _LIMIT_STEPS_PER_UNIT:g}"
    target.fault = fault
    await asyncio.sleep(event.duration_s)
    target.fault = target.permanent_fault
    target.limit = ""


def clear_target_fault(target: StandInTarget) -> None:
    """Make a target serve normally again."""
    target.fault = target.permanent_fault
    target.limit = ""
    if target.is_draining:
        _start_incarnation(target)
