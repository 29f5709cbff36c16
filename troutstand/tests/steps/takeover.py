"""Start dispatchers with the state of others."""

from __future__ import annotations

import dataclasses
import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.core.configuration import RouteTable
from troutstand.core.dispatch import Dispatcher
from troutstand.core.limits.quota import QuotaBounds, Quotas
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.core.observedspeeds import ObservedSpeeds
from troutstand.generated.messages import (
    Declined,
    Ended,
    Ending,
    Hold,
    ListedState,
    ListedTarget,
    Placed,
    PlacedWork,
    RoutedWork,
)
from troutstand.routing.calls import parse_call
from troutstand.routing.dialect import Dialect
from troutstand.tests.steps.configuration import make_configuration, make_route

if TYPE_CHECKING:
    from behave.runner import Context

_SERVICE = "engine"
_SLOTS = 4
_NOW_S = 100.0
_TICK_S = 0.05


def _make_dispatcher(targets: int, seed: int | None, slots: int = _SLOTS) -> Dispatcher:
    spread = random.Random(seed) if seed is not None else None
    dispatcher = Dispatcher(Quotas(QuotaBounds()), RetryBudget(0.2, 50, 10.0), spread)
    listed = [
        ListedTarget(f"t{n}", _SERVICE, f"127.0.0.1:{n + 1}", "north", slots, ListedState.ready)
        for n in range(targets)
    ]
    dispatcher.update_targets(listed, _NOW_S)
    return dispatcher


def _make_work(request: str, prompt_tokens: int) -> RoutedWork:
    return RoutedWork(
        request=request,
        service=_SERVICE,
        objective_s=1.0,
        remaining_s=8.0,
        prompt_tokens=prompt_tokens,
        output_tokens=10,
        failure_domain="north",
    )


def _place(dispatcher: Dispatcher, request: str, prompt_tokens: int) -> str:
    """Place a request and return its target."""
    dispatcher.place(_make_work(request, prompt_tokens), "gateway-1", _NOW_S)
    answer = dispatcher.drain_decisions()[-1].answer
    assert isinstance(answer, Placed), answer
    return answer.target


@given("a scheduler that takes over a prompt of {tokens:d} tokens at each target")
def use_taken_over(context: Context, tokens: int) -> None:
    context.dispatcher = _make_dispatcher(2, None)
    context.tokens = tokens


@given("the first target has begun to answer, the second has not")
def adopt(context: Context) -> None:
    for target, has_first in (("t0", True), ("t1", False)):
        work = _make_work(f"taken over at {target}", context.tokens)
        run = PlacedWork(work, target, elapsed_s=0.1, has_first=has_first)
        context.dispatcher.adopt(run, "gateway-2", _NOW_S)


@when("a request of {tokens:d} tokens arrives there")
def arrive(context: Context, tokens: int) -> None:
    context.target = _place(context.dispatcher, "new", tokens)


@then("the first target gets it")
def check_first(context: Context) -> None:
    assert context.target == "t0", context.target


@then("the second target has {tokens:d} tokens before it")
def check_backlog(context: Context, tokens: int) -> None:
    state = context.dispatcher.pools[_SERVICE].targets["t1"]
    assert state.backlog_tokens == tokens, state.backlog_tokens


@given("{gateways:d} gateways that decide locally for {targets:d} equal targets")
def use_alone(context: Context, gateways: int, targets: int) -> None:
    context.dispatchers = [_make_dispatcher(targets, seed) for seed in range(gateways)]


@when("each of them places one request")
def place_each(context: Context) -> None:
    context.counts = Counter(_place(d, "one", 1000) for d in context.dispatchers)


@then("no target gets more than {most:d} of them")
def check_spread(context: Context, most: int) -> None:
    assert max(context.counts.values()) <= most, context.counts


@given("a scheduler of {targets:d} equal targets")
def use_scheduler(context: Context, targets: int) -> None:
    context.count = targets


@when("it places one request twice from the beginning")
def place_twice(context: Context) -> None:
    context.got = [_place(_make_dispatcher(context.count, None), "one", 1000) for _ in range(2)]


@then("both went to the same target")
def check_same(context: Context) -> None:
    assert context.got[0] == context.got[1], context.got


_SLOW_TOKEN_S = 4e-4
_FAST_TOKEN_S = 4e-5


def _see(target: str, token_s: float) -> ObservedSpeeds:
    seen = ObservedSpeeds()
    for tokens in (500.0, 1000.0, 2000.0, 4000.0):
        seen.record_first_byte(_SERVICE, target, 0, tokens, 0.05 + token_s * tokens, _NOW_S)
    return seen


@given(
    "{count:d} gateways that saw the first of {targets:d} targets read ten times slower "
    "than the second"
)
def use_seen(context: Context, count: int, targets: int) -> None:
    context.count = targets
    context.seen = [
        seen
        for _ in range(count)
        for seen in (_see("t0", _SLOW_TOKEN_S), _see("t1", _FAST_TOKEN_S))
    ]


@given("a scheduler that takes over what they saw")
def inherit_speeds(context: Context) -> None:
    context.dispatcher = _make_dispatcher(context.count, None)
    for seen in context.seen:
        context.dispatcher.merge_speeds(seen.list_recent(_NOW_S))


@then("the second target gets it, expected within {limit_s:g} s")
def check_second(context: Context, limit_s: float) -> None:
    assert context.target == "t1", context.target
    pool = context.dispatcher.pools[_SERVICE]
    expected_s = pool.get_prefill_speed(pool.targets["t1"]).estimate(4000)
    assert expected_s < limit_s, expected_s


@given("a gateway that saw {count:d} targets, the first {old:d} of them {age_s:g} s ago")
def use_many(context: Context, count: int, old: int, age_s: float) -> None:
    context.speeds = ObservedSpeeds()
    for number in range(count):
        seen_s = _NOW_S - age_s if number < old else _NOW_S
        context.speeds.record_service_time(_SERVICE, f"t{number}", 0, 0.1, seen_s)


@then("it passes {count:d} of them on, the latest first")
def check_passed_on(context: Context, count: int) -> None:
    passed = [seen.target for seen in context.speeds.list_recent(_NOW_S)]
    assert len(passed) == count, passed
    assert passed[0] == "t39", passed


@then("nothing {later_s:g} s later")
def check_forgotten(context: Context, later_s: float) -> None:
    assert not context.speeds.list_recent(_NOW_S + later_s)


@given("a scheduler whose only slot is taken")
def use_taken_slot(context: Context) -> None:
    context.dispatcher = _make_dispatcher(1, None, slots=1)
    context.runs = _place(context.dispatcher, "first", 10)


@when(
    "a request moves there with {spent_s:g} of {objective_s:g} s spent, "
    "after a new one with {other_s:g} s"
)
def move(context: Context, spent_s: float, objective_s: float, other_s: float) -> None:
    new = msgspec.structs.replace(_make_work("new", 10), objective_s=other_s)
    moved = msgspec.structs.replace(
        _make_work("moved", 10), objective_s=objective_s, spent_s=spent_s
    )
    for work in (new, moved):
        context.dispatcher.place(work, "gateway-1", _NOW_S)
    assert not context.dispatcher.drain_decisions()


@when("the slot gets free there")
def free_taken_slot(context: Context) -> None:
    context.dispatcher.finish(Ended("first", context.runs, Ending.left), _NOW_S)


@then("the request that moved gets it")
def check_moved(context: Context) -> None:
    placed = [d.answer.request for d in context.dispatcher.drain_decisions()]
    assert placed == ["moved"], placed


@given("a call that arrived {age_s:g} s ago")
def use_call(context: Context, age_s: float) -> None:
    route = make_route("r", "/")
    table = RouteTable(make_configuration([route]))
    names = Dialect().headers
    headers = {"host": route.host, names.request: "one"}
    call = parse_call(table, names, headers, "/")
    context.call = dataclasses.replace(call, arrived_s=_NOW_S - age_s)


@when("it asks for a second target")
def ask_second(context: Context) -> None:
    context.work = context.call.create_work(_NOW_S, 2, ["t0"], "north")


@then("it reports that {spent_s:g} s are spent")
def check_spent(context: Context, spent_s: float) -> None:
    assert abs(context.work.spent_s - spent_s) < 1e-6, context.work.spent_s


@given("a scheduler whose only slot is taken and gets free every {hold_s:g} s")
def use_held_slot(context: Context, hold_s: float) -> None:
    use_taken_slot(context)
    context.dispatcher.merge_holds([Hold(_SERVICE, hold_s)])


@when("a request moves there with {spent_s:g} of {objective_s:g} s spent")
def move_late(context: Context, spent_s: float, objective_s: float) -> None:
    work = msgspec.structs.replace(
        _make_work("moved", 10), objective_s=objective_s, spent_s=spent_s
    )
    context.dispatcher.place(work, "gateway-1", _NOW_S)


@then("it waits there")
def check_waits(context: Context) -> None:
    assert not context.dispatcher.drain_decisions()


@then("it is refused there")
def check_refused(context: Context) -> None:
    (decision,) = context.dispatcher.drain_decisions()
    assert isinstance(decision.answer, Declined), decision


@given("a scheduler that takes over from an older list of {targets:d} targets")
def use_old_list(context: Context, targets: int) -> None:
    context.dispatcher = _make_dispatcher(targets, None)


@when("a gateway reports that the first target is draining, and asks twice")
def tell_leaving(context: Context) -> None:
    context.dispatcher.mark_leaving(["t0", "a target that is gone"])
    context.got = [_place(context.dispatcher, name, 10) for name in ("one", "two")]


@then("both requests go to the second target")
def check_not_leaving(context: Context) -> None:
    assert context.got == ["t1", "t1"], context.got


@when("{length_s:g} s pass at that scheduler")
def pass_there(context: Context, length_s: float) -> None:
    for step in range(round(length_s / _TICK_S)):
        context.dispatcher.tick(_NOW_S + (step + 1) * _TICK_S)
