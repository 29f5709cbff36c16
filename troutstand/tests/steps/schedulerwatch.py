"""Evaluate heartbeats on a fixed clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.ids import ProcessId
from troutstand.routing.schedulerwatch import (
    Decider,
    LocalDecider,
    SchedulerHealth,
    choose_decider,
    update_standby_periods,
)
from troutstand.testing.coldstart import ColdStartSimulation, measure_local_s, measure_overlap_s

if TYPE_CHECKING:
    from behave.runner import Context

_NOW_S = 100.0
_LONG_S = 60.0
_DRAWS = 50
_PLAYED_S = 6.0


def _make_watch(age_s: float) -> SchedulerHealth:
    return SchedulerHealth(
        last_heard_s=_NOW_S - age_s, live_since_s=_NOW_S - _LONG_S, is_ready=True
    )


def _read_decider(name: str) -> Decider:
    return LocalDecider.LOCAL if name == "nobody" else ProcessId(name)


@given("schedulers a, b and c that answered {first:g}, {second:g} and {third:g} s ago")
def use_three(context: Context, first: float, second: float, third: float) -> None:
    ages = zip("abc", (first, second, third), strict=True)
    context.watches = {ProcessId(name): _make_watch(age_s) for name, age_s in ages}


@given("schedulers a, b, c, d and e that all answered {age_s:g} s ago")
def use_five(context: Context, age_s: float) -> None:
    context.watches = {ProcessId(name): _make_watch(age_s) for name in "abcde"}


@given("{name} has been live for {length_s:g} s and is used by {count:d} gateways")
@when("{name} has been live for {length_s:g} s and is used by {count:d} gateways")
def set_live(context: Context, name: str, length_s: float, count: int) -> None:
    watch = context.watches[ProcessId(name)]
    watch.live_since_s = _NOW_S - length_s
    watch.gateway_count = count


@given("{name} has been live for {length_s:g} s and reports that {count:d} gateways use {asked}")
@when("{name} has been live for {length_s:g} s and reports that {count:d} gateways use {asked}")
def set_told(context: Context, name: str, length_s: float, count: int, asked: str) -> None:
    watch = context.watches[ProcessId(name)]
    watch.live_since_s = _NOW_S - length_s
    watch.most_used, watch.most_used_count = asked, count


@given("{name} sends a heartbeat every {period_s:g} s and has not answered for {silent_s:g} s")
@when("{name} sends a heartbeat every {period_s:g} s and has not answered for {silent_s:g} s")
def set_unanswered(context: Context, name: str, period_s: float, silent_s: float) -> None:
    watch = context.watches[ProcessId(name)]
    watch.period_s = period_s
    watch.record_response()
    watch.record_request(_NOW_S - silent_s)


@given("{name} was switched to {moved_s:g} s ago and has not answered for {silent_s:g} s")
@when("{name} was switched to {moved_s:g} s ago and has not answered for {silent_s:g} s")
def set_moved(context: Context, name: str, moved_s: float, silent_s: float) -> None:
    watch = context.watches[ProcessId(name)]
    watch.last_heard_s = _NOW_S - silent_s
    watch.record_switch(_NOW_S - moved_s)
    watch.record_response()
    watch.record_request(_NOW_S - silent_s)


@when("{name} answers")
def answer(context: Context, name: str) -> None:
    context.watches[ProcessId(name)].record_response()


@when("the gateway itself stalled for {stall_s:g} s")
def stand_still(context: Context, stall_s: float) -> None:
    for watch in context.watches.values():
        watch.discount_stall(stall_s)


@when("{name} was marked as lost")
def leave(context: Context, name: str) -> None:
    context.watches[ProcessId(name)].mark_lost()


def _check_choice(context: Context, current: Decider, expected: str) -> None:
    for name, watch in context.watches.items():
        watch.is_attached = name == current
    chosen = choose_decider(context.watches, current, _NOW_S)
    assert chosen == _read_decider(expected), chosen


@then("a gateway that decides locally chooses {expected}")
def check_alone(context: Context, expected: str) -> None:
    _check_choice(context, LocalDecider.LOCAL, expected)


@then("a gateway that uses {current} chooses {expected}")
def check_asked(context: Context, current: str, expected: str) -> None:
    _check_choice(context, _read_decider(current), expected)


@when("a gateway that uses {current} sets its heartbeat periods")
def space(context: Context, current: str) -> None:
    update_standby_periods(context.watches, _read_decider(current), _NOW_S)


def _list_periods(context: Context, names: str) -> list[float]:
    return [context.watches[ProcessId(name)].standby_period_s for name in names]


@then("b and c get more frequent heartbeats than d and e")
def check_spaced(context: Context) -> None:
    assert max(_list_periods(context, "bc")) < min(_list_periods(context, "de"))


@then("d and e get heartbeats as often as b and c, and are woken")
def check_woken(context: Context) -> None:
    assert len(set(_list_periods(context, "bcde"))) == 1
    assert all(context.watches[ProcessId(name)].wake.is_set() for name in "de")


@given("{name} has been ready for {ready_s:g} s and is used by {count:d} gateways")
def set_ready(context: Context, name: str, ready_s: float, count: int) -> None:
    watch = context.watches[ProcessId(name)]
    watch.ready_since_s = _NOW_S - ready_s
    watch.gateway_count = count


@when("{gateways:d} gateways and schedulers that are ready after {ready} s start in 50 random runs")
def begin_anew(context: Context, gateways: int, ready: str) -> None:
    ready_s = [float(at_s) for at_s in ready.split(", ")]
    plays = [ColdStartSimulation(seed, gateways, ready_s).play(_PLAYED_S) for seed in range(_DRAWS)]
    context.shared = [measure_overlap_s(asked) for asked in plays]
    context.alone = [measure_local_s(asked, ready_s) for asked in plays]
    assert all(len(asked[-1]) == 1 for asked in plays), "some ended with two schedulers"


@then("two schedulers are used for {mean_s:g} s on average and {most_s:g} s at most")
def check_shared(context: Context, mean_s: float, most_s: float) -> None:
    mean = sum(context.shared) / len(context.shared)
    most = max(context.shared)
    assert mean <= mean_s and most <= most_s, f"{mean:.2f} s in the mean, {most:.2f} s at most"


@then("the first one is used within {most_s:g} s of being ready, on average")
def check_alone_time(context: Context, most_s: float) -> None:
    mean = sum(context.alone) / len(context.alone)
    assert mean <= most_s, f"{mean:.2f} s in the mean"
