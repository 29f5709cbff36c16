"""Hand over the limit usage of gateways to schedulers in memory."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from unittest.mock import patch

from behave import given, then, when

from troutstand.core.ids import ProcessId
from troutstand.core.limits.quota import QuotaBounds, Quotas
from troutstand.generated.configuration import RoutedWorkspace
from troutstand.generated.messages import AttachAsk, Attached, UsageSnapshot
from troutstand.tests.steps.attaching import make_scheduler

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.routing.scheduler import RoutingScheduler

_WORKSPACE = RoutedWorkspace("one", tokens_per_s=1000.0)
_WINDOW_S = 8.0
_PERIOD_S = 0.05
_HEARTBEAT_S = 0.1
_ABSENCE_S = 1.5
_ROUNDED = 0.05
# Gateways spread their heartbeats around the period that they are told.
_LONGEST_PERIOD_SHARE = 1.1


@dataclass
class HeldPart:
    """Hold one gateway's share of the limits."""

    name: ProcessId
    usage: list[UsageSnapshot]
    gateways: int
    incarnation: str = "i1"
    attachment: int = 0
    # The last reply of each scheduler.
    echoes: dict[int, int] = field(default_factory=dict)


class Clock:
    """Provide the clock of the schedulers."""

    now_s = 1000.0

    def read(self) -> float:
        """Return the time."""
        return self.now_s


def _take_alone(number: int, count: int, share: float, clock: Clock) -> list[UsageSnapshot]:
    """Return the usage of a gateway that decided locally and used part of its share."""
    quotas = Quotas(QuotaBounds(_WINDOW_S), f"gateway-{number}|i1|0", is_private=True)
    quotas.set_share(1.0 / count)
    quotas.update_workspaces([_WORKSPACE], clock.now_s)
    quotas.take(_WORKSPACE.name, share * 1000.0 * _WINDOW_S / count, clock.now_s)
    return quotas.export_usage(clock.now_s)


@given("{count:d} gateways that took {share:g} of a workspace's limit together")
def use_gateways(context: Context, count: int, share: float) -> None:
    context.clock = Clock()
    context.parts = [
        HeldPart(ProcessId(f"gateway-{n}"), _take_alone(n, count, share, context.clock), count)
        for n in range(count)
    ]
    context.schedulers = []
    for _ in range(2):
        make_scheduler(context, 2)
        context.scheduler.quotas.update_workspaces([_WORKSPACE], context.clock.now_s)
        context.schedulers.append(context.scheduler)
    context.scheduler = context.schedulers[0]


def _beat(
    context: Context, scheduler: RoutingScheduler, part: HeldPart, asked: str, is_first: bool
) -> Attached:
    is_attached = asked == "here"
    ask = AttachAsk(
        process=part.name,
        incarnation=part.incarnation,
        is_attached=is_attached,
        is_first=is_first,
        attachment=part.attachment,
        asks=asked,
        usage=part.usage if is_first else [],
        gateways=part.gateways,
        echo=part.echoes.get(id(scheduler), 0),
    )
    with patch("troutstand.routing.scheduler.read_clock_s", context.clock.read):
        reply = scheduler.handle(part.name, ask)
    assert isinstance(reply, Attached), reply
    part.echoes[id(scheduler)] = reply.number
    if is_attached:
        own = [snapshot for snapshot in part.usage if snapshot.is_private]
        part.usage, part.gateways = [*own, *reply.usage], reply.gateways
    return reply


def _attach_all(context: Context, scheduler: RoutingScheduler, parts: list[HeldPart]) -> None:
    others = [other for other in context.schedulers if other is not scheduler]
    context.told = []
    for part in parts:
        context.clock.now_s += _PERIOD_S / len(parts)
        part.attachment += 1
        context.told.append(_beat(context, scheduler, part, "here", True))
        for other in others:
            _beat(context, other, part, "elsewhere", False)


@when("all of them attach to a scheduler that has just started")
def attach(context: Context) -> None:
    _attach_all(context, context.scheduler, context.parts)


@when("all of them attach to one scheduler and to another by turns, {times:d} times")
def attach_by_turns(context: Context, times: int) -> None:
    for turn in range(times):
        context.scheduler = context.schedulers[turn % 2]
        _attach_all(context, context.scheduler, context.parts)


@when("half of them disconnect, decide locally and attach again")
def come_back(context: Context) -> None:
    half = context.parts[: len(context.parts) // 2]
    kept = context.parts[len(context.parts) // 2 :]
    for _ in range(int(_ABSENCE_S / _HEARTBEAT_S)):
        context.clock.now_s += _HEARTBEAT_S
        for part in kept:
            _beat(context, context.scheduler, part, "here", False)
        context.scheduler._detach_silent(context.clock.now_s)
    _attach_all(context, context.scheduler, half)
    for part in kept:
        _beat(context, context.scheduler, part, "here", False)


@when("half of them restart and attach")
def start_again(context: Context) -> None:
    half = context.parts[: len(context.parts) // 2]
    for part in half:
        part.incarnation, part.usage, part.gateways = "i2", [], 8
    _attach_all(context, context.scheduler, half)


@when("{length_s:d} s later {count:d} of them are left")
def leave_some(context: Context, length_s: int, count: int) -> None:
    for _ in range(length_s):
        context.clock.now_s += 1.0
        for part in context.parts[:count]:
            context.told.append(_beat(context, context.scheduler, part, "here", False))
        context.scheduler._detach_silent(context.clock.now_s)


def _read_taken(context: Context) -> float:
    quotas = context.scheduler.quotas
    quotas.export_usage(context.clock.now_s)
    return quotas.get_usage_share(_WORKSPACE.name)


@then("it counts {share:g} of the limit as taken")
def check_taken(context: Context, share: float) -> None:
    found = _read_taken(context)
    assert abs(found - share) <= _ROUNDED, found


@then("the last one counts {share:g} of the limit as taken")
def check_last(context: Context, share: float) -> None:
    check_taken(context, share)


@then("it told the first of them that there are {count:d} gateways")
def check_first_told(context: Context, count: int) -> None:
    assert context.told[0].gateways == count, context.told[0].gateways


@then("it tells that there are {count:d} gateways")
def check_told_count(context: Context, count: int) -> None:
    assert context.told[-1].gateways == count, context.told[-1].gateways


@when("the longest time between two of their heartbeats passes")
def pass_period(context: Context) -> None:
    longest_s = _LONGEST_PERIOD_SHARE * context.told[-1].period_s
    end_s = context.clock.now_s + longest_s
    while context.clock.now_s < end_s:
        context.clock.now_s += _PERIOD_S
        context.scheduler._detach_silent(context.clock.now_s)


@then("it detaches none of them")
def check_attached(context: Context) -> None:
    attached = context.scheduler._gateways.count_attached()
    assert attached == len(context.parts), attached


def _beat_for(context: Context, parts: list[HeldPart], length_s: float) -> None:
    for _ in range(round(length_s / _HEARTBEAT_S)):
        context.clock.now_s += _HEARTBEAT_S
        for part in parts:
            _beat(context, context.scheduler, part, "here", False)
        context.scheduler._detach_silent(context.clock.now_s)


@when("{count:d} of them attach to a scheduler that counts {share:g} of the limit itself")
def attach_and_count(context: Context, count: int, share: float) -> None:
    context.kept = context.parts[:count]
    _attach_all(context, context.scheduler, context.kept)
    _beat_for(context, context.kept, 1.0)
    context.counted = share * 1000.0 * _WINDOW_S
    quotas = context.scheduler.quotas
    quotas.charge(_WORKSPACE.name, context.counted, context.clock.now_s)
    _beat_for(context, context.kept, 1.0)
    context.before = quotas._usage.count(_WORKSPACE.name).used


@when("the first heartbeat of another arrives late, and nothing more of it")
def beat_late(context: Context) -> None:
    late = context.parts[len(context.kept)]
    late.usage, late.attachment = [], 1
    _beat(context, context.scheduler, late, "here", True)
    _beat_for(context, context.kept, 1.5)


@then("it counts all that it has counted itself")
def check_own(context: Context) -> None:
    used = context.scheduler.quotas._usage.count(_WORKSPACE.name).used
    assert used >= context.before - _ROUNDED, f"{used} of {context.before}"
