"""Queue requests for a busy target if an open one would answer late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.speed import PrefillFit, PrefillSpeed
from troutstand.core.targetstate import RunningRequest
from troutstand.generated.messages import Hold, RoutedWork
from troutstand.tests.steps.dispatch import GATEWAY

if TYPE_CHECKING:
    from behave.runner import Context


@given("the first target reads {slow:d} tokens a second and the second {fast:d}")
def set_speeds(context: Context, slow: int, fast: int) -> None:
    targets = context.desk.dispatcher.pools["work"].targets
    targets["t1"].prefill = PrefillFit(PrefillSpeed(0.0, 1.0 / slow))
    targets["t2"].prefill = PrefillFit(PrefillSpeed(0.0, 1.0 / fast))


@given("the first target streams to {count:d} callers that bear pauses of {pause_s:g} s")
def stream_first(context: Context, count: int, pause_s: float) -> None:
    desk = context.desk
    state = desk.dispatcher.pools["work"].targets["t1"]
    for number in range(count):
        work = RoutedWork(f"stream{number}", "work", 1.0, 8.0, prompt_tokens=10, pause_s=pause_s)
        run = RunningRequest(work, GATEWAY, desk.now_s, 10.0, 0.1, has_first_byte=True)
        state.start(run)
        desk.placed[work.request] = "t1"


@given("the target reads {speed:d} tokens a second and its slot is taken")
def take_only_slot(context: Context, speed: int) -> None:
    pool = context.desk.dispatcher.pools["work"]
    pool.targets["t1"].prefill = PrefillFit(PrefillSpeed(0.0, 1.0 / speed))
    pool.hold_s = 0.05
    context.first = [context.desk.arrive()]


@when(
    "a request of {long:d} tokens with an objective of {first_s:g} s arrives, "
    "then one of {short:d} with {second_s:g} s"
)
def arrive_long_and_short(
    context: Context, long: int, first_s: float, short: int, second_s: float
) -> None:
    desk = context.desk
    fields = {"output_tokens": 1}
    context.later = [
        desk.arrive(prompt_tokens=long, objective_s=first_s, **fields),
        desk.arrive(prompt_tokens=short, objective_s=second_s, **fields),
    ]


@when("the slot gets free after {after_s:g} s")
def free_later(context: Context, after_s: float) -> None:
    context.desk.pass_time(after_s)
    context.desk.end(context.first[0])


@then("the later request has the target and the earlier one waits")
def check_later_first(context: Context) -> None:
    earlier, later = context.later
    assert later in context.desk.placed, context.desk.placed
    assert earlier not in context.desk.placed
    assert earlier not in context.desk.declined


@given("the second target is full and ends a request every {gap_s:g} s")
def fill_second(context: Context, gap_s: float) -> None:
    desk = context.desk
    desk.dispatcher.pools["work"].hold_s = 2 * gap_s
    context.first = []
    slots = desk.listed[1].slots
    while desk.count("t2") < slots:
        request = desk.arrive(prompt_tokens=10, output_tokens=1)
        context.first.append(request)
    context.first = [r for r in context.first if desk.placed[r] == "t2"]


@when("a request of {tokens:d} tokens with an objective of {objective_s:g} s arrives")
def arrive_large(context: Context, tokens: int, objective_s: float) -> None:
    fields = {"prompt_tokens": tokens, "output_tokens": 1, "objective_s": objective_s}
    context.later = [context.desk.arrive(**fields)]


@then("it waits, and gets the second target when a slot is free there")
def check_waits(context: Context) -> None:
    desk, request = context.desk, context.later[0]
    assert request not in desk.placed, desk.placed
    assert request not in desk.declined, desk.declined
    desk.pass_time(0.05)
    desk.end(context.first[0])
    assert desk.placed.get(request) == "t2", desk.placed


@given("the target's slot is taken for long")
def take_slot_for_long(context: Context) -> None:
    context.desk.arrive()
    assert len(context.desk.placed) == 1


@when("a request with an objective of {objective_s:g} s and {left_s:g} s left waits")
def wait_for_slot(context: Context, objective_s: float, left_s: float) -> None:
    desk = context.desk
    began_s = desk.now_s
    request = desk.arrive(objective_s=objective_s, remaining_s=left_s)
    while request not in desk.declined and desk.now_s < began_s + left_s:
        desk.pass_time(0.05)
    context.waited_s = desk.now_s - began_s
    context.refusal = desk.declined[request]


@then("it is refused with {code:d} after {least_s:g} to {most_s:g} s, with a time to come back")
def check_refused_late(context: Context, code: int, least_s: float, most_s: float) -> None:
    assert context.refusal.code == code, context.refusal
    assert context.refusal.retry_after_s > 0, context.refusal
    assert least_s <= context.waited_s <= most_s, context.waited_s


@given("every ending frees the slot after {hold_s:g} s and the slot is taken")
def take_slot_with_hold(context: Context, hold_s: float) -> None:
    context.desk.dispatcher.merge_holds([Hold("work", hold_s)])
    take_slot_for_long(context)


@when("a request of tier {tier:d} has waited {waited_s:g} s of an objective of {objective_s:g} s")
def wait_low(context: Context, tier: int, waited_s: float, objective_s: float) -> None:
    context.low = context.desk.arrive(tier=tier, objective_s=objective_s)
    context.desk.pass_time(waited_s)
    assert context.low not in context.desk.declined


@when("{count:d} requests of tier {tier:d} with an objective of {objective_s:g} s arrive before it")
def overtake(context: Context, count: int, tier: int, objective_s: float) -> None:
    for _ in range(count):
        context.desk.arrive(tier=tier, objective_s=objective_s, remaining_s=40.0)


@then("it is refused with {code:d} within {limit_s:g} s")
def check_overtaken(context: Context, code: int, limit_s: float) -> None:
    context.desk.pass_time(limit_s)
    declined = context.desk.declined.get(context.low)
    assert declined is not None, "it still waits"
    assert declined.code == code, declined
