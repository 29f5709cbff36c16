"""Trouble the stand-in targets of a soak, and mend them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from troutstand.testing.soak.check import Drained
from troutstand.testing.soak.plan import Kind
from troutstand.testing.standins import Fault

if TYPE_CHECKING:
    from troutstand.testing.soak.check import SoakRecord
    from troutstand.testing.soak.plan import Event
    from troutstand.testing.standins import StandInTarget

_FAULTS = [fault for fault in Fault if fault is not Fault.NONE]
# With these it names a limit, of 0.5 to 10.25 requests a second.
_IN_NEED = (Fault.SLOW, Fault.ERRORS, Fault.CUT_ANSWERS)
_LEAST_LIMIT = 0.5
_LIMITS = 40
_LIMIT_STEPS = 4
# How much longer than its trouble a target is drained, in seconds.
DRAINED_LONGER_S = 3.0


async def trouble_target(target: StandInTarget, event: Event, record: SoakRecord) -> None:
    """Crash a target, let it leave, or let it misbehave."""
    match event.kind:
        case Kind.TARGET_CRASH:
            await _crash(target, event.length_s)
        case Kind.TARGET_DRAIN:
            await _drain(target, event.length_s + DRAINED_LONGER_S, record)
        case _:
            await _misbehave(target, event)


async def _crash(target: StandInTarget, length_s: float) -> None:
    await target.crash()
    await asyncio.sleep(length_s)
    if target._server is None:
        await target.start()


async def _drain(target: StandInTarget, length_s: float, record: SoakRecord) -> None:
    """Let a target say that it leaves, in the list and in its answers, then begin anew.

    Of drains that overlap the last one to end lets it begin anew: what is recorded as drained
    is listed as draining all that time.
    """
    target.is_draining, from_s = True, time.monotonic()
    target.is_leaving = True
    target.drains += 1
    await asyncio.sleep(length_s)
    record.drained.append(Drained(target.target, from_s, time.monotonic()))
    target.drains -= 1
    if not target.drains:
        _begin_anew(target)


def _begin_anew(target: StandInTarget) -> None:
    target.is_draining = target.is_leaving = False
    # It never comes back within one life.
    target.born_ms = max(target.born_ms + 1, int(time.time() * 1000))


async def _misbehave(target: StandInTarget, event: Event) -> None:
    fault = _FAULTS[event.other % len(_FAULTS)]
    if fault is Fault.SHED:
        target.backoff_s = event.length_s
    if fault in _IN_NEED:
        target.limit = f"{_LEAST_LIMIT + event.pick % _LIMITS / _LIMIT_STEPS:g}"
    target.fault = fault
    await asyncio.sleep(event.length_s)
    target.fault = target.permanent_fault
    target.limit = ""


def heal_target(target: StandInTarget) -> None:
    """Let a target serve as it should."""
    target.fault = target.permanent_fault
    target.limit = ""
    if target.is_draining:
        _begin_anew(target)
