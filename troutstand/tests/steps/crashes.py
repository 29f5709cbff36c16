"""Crash targets while they run requests, and check which requests are suspected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import then, when

from troutstand.core.codes import ResultCode
from troutstand.core.crashes.crashtracker import CrashTracker
from troutstand.generated.messages import Ended, Ending
from troutstand.tests.steps.dispatch import Desk

if TYPE_CHECKING:
    from behave.runner import Context

_RUN_S = 0.1
_LATE_REPORT_S = 0.02
# Longer than a list shows a crashed target, and than a lost answer is counted.
_BACK_S = 6.0
_OBJECTIVE_S = 20.0
_REMAINING_S = 60.0


def _arrive(desk: Desk, body: str) -> str:
    return desk.arrive(
        fingerprint=body,
        objective_s=_OBJECTIVE_S,
        remaining_s=_REMAINING_S,
        is_repeatable=True,
    )


def _end(desk: Desk, request: str, body: str, ending: Ending, is_gone: bool) -> None:
    target = desk.placed.pop(request)
    ended = Ended(
        request,
        target,
        ending,
        total_s=_RUN_S,
        is_target_gone=is_gone,
        fingerprint=body if ending is Ending.broken else "",
    )
    desk.dispatcher.finish(ended, desk.now_s)
    desk.collect()


def _refuse_connection(desk: Desk, target: str) -> None:
    ended = Ended("other", target, Ending.unsent, total_s=0.0, is_target_gone=True)
    desk.dispatcher.finish(ended, desk.now_s)


def _run(desk: Desk, body: str) -> str:
    """Run a request for a while, and return it."""
    request = _arrive(desk, body)
    assert request in desk.placed, desk.declined
    desk.pass_time(_RUN_S)
    return request


@when("{count:d} targets end in turn under the body {body}")
def end_in_turn(context: Context, count: int, body: str) -> None:
    for _ in range(count):
        desk = context.desk
        _end(desk, _run(desk, body), body, Ending.broken, is_gone=True)
        desk.pass_time(_BACK_S)
    # The last crash is evaluated at its own time.
    context.desk.now_s -= _BACK_S


@when("{count:d} answers in turn break off for the body {body} at targets that live")
def break_in_turn(context: Context, count: int, body: str) -> None:
    desk = context.desk
    for _ in range(count):
        _end(desk, _run(desk, body), body, Ending.broken, is_gone=False)
        desk.pass_time(_BACK_S)


@when(
    "{count:d} answers in turn break off for the body {body}, "
    "and {wait_s:d} s later the target refuses a connection"
)
def break_then_refuse(context: Context, count: int, body: str, wait_s: int) -> None:
    desk = context.desk
    for _ in range(count):
        request = _run(desk, body)
        target = desk.placed[request]
        _end(desk, request, body, Ending.broken, is_gone=False)
        desk.pass_time(wait_s)
        _refuse_connection(desk, target)
        desk.pass_time(_BACK_S)
    desk.now_s -= _BACK_S


@when("a request with the body {body} ends as {ending}")
def end_as(context: Context, body: str, ending: str) -> None:
    _end(context.desk, _run(context.desk, body), body, Ending(ending), is_gone=False)


@when("a request with the body {body} runs at each target, and all of them end at once")
def end_all(context: Context, body: str) -> None:
    desk = context.desk
    requests = [_arrive(desk, body) for _ in range(24)]
    assert {desk.placed[r] for r in requests} == {t.target for t in desk.listed}
    desk.pass_time(_RUN_S)
    for request in requests:
        _end(desk, request, body, Ending.broken, is_gone=True)


@then("a request with the body {body} waits or has a target")
def check_not_refused(context: Context, body: str) -> None:
    request = _arrive(context.desk, body)
    assert request not in context.desk.declined, context.desk.declined


@when("the bodies {first} and {second} run at one target as it ends, twice")
def end_both(context: Context, first: str, second: str) -> None:
    desk = context.desk
    for turn in range(2):
        mine, other = _run_together(desk, turn, first, second)
        _end(desk, mine, first, Ending.broken, is_gone=True)
        _end(desk, other, second, Ending.broken, is_gone=True)
        desk.pass_time(_BACK_S)


def _run_together(desk: Desk, turn: int, first: str, second: str) -> tuple[str, str]:
    """Run two bodies at one target, the only one in the list meanwhile."""
    only = desk.listed[turn : turn + 1]
    desk.dispatcher.update_targets(only, desk.now_s)
    pair = _arrive(desk, first), _arrive(desk, second)
    assert {desk.placed[request] for request in pair} == {only[0].target}, desk.placed
    desk.dispatcher.update_targets(desk.listed, desk.now_s)
    desk.pass_time(_RUN_S)
    return pair


@when("requests with the bodies {first} and {second} arrive")
def arrive_both(context: Context, first: str, second: str) -> None:
    context.pair = {body: _arrive(context.desk, body) for body in (first, second)}
    context.body = first
    context.running = [context.pair[first]]


@then("they run at different targets")
def check_apart(context: Context) -> None:
    targets = {context.desk.placed[request] for request in context.pair.values()}
    assert len(targets) == 2, targets


@when("the target of {body} ends")
def end_target(context: Context, body: str) -> None:
    desk = context.desk
    desk.pass_time(_RUN_S)
    _end(desk, context.running[0], body, Ending.broken, is_gone=True)


@then("the request with the body {body} ends whole, and the next one has a target")
def check_sound(context: Context, body: str) -> None:
    desk = context.desk
    _end(desk, context.pair[body], body, Ending.whole, is_gone=False)
    assert _arrive(desk, body) in desk.placed, desk.declined


@when("{count:d} requests with the body {body} arrive")
def arrive_alike(context: Context, count: int, body: str) -> None:
    desk = context.desk
    desk.pass_time(_BACK_S)
    context.alike = [_arrive(desk, body) for _ in range(count)]
    context.running = [r for r in context.alike if r in desk.placed]


@then("one of them runs and one waits")
def check_one_runs(context: Context) -> None:
    desk = context.desk
    assert len(context.running) == 1, desk.placed
    assert not set(context.alike) & set(desk.declined), desk.declined


@then("the waiting one is refused with {code:d}")
def check_waiting_refused(context: Context, code: int) -> None:
    waiting = next(r for r in context.alike if r not in context.running)
    assert context.desk.declined[waiting].code == code, context.desk.declined


@then("at most {most:d} of them run or wait, and the others come back in {wait_s:d} s")
def check_bounded(context: Context, most: int, wait_s: int) -> None:
    declined = [context.desk.declined[r] for r in context.alike if r in context.desk.declined]
    assert len(context.alike) - len(declined) <= most, context.desk.declined
    assert {d.code for d in declined} == {ResultCode.REQUEST_QUARANTINED}, declined
    assert {d.retry_after_s for d in declined} == {float(wait_s)}, declined


@when("all other targets but the last break an answer")
def break_others(context: Context) -> None:
    desk = context.desk
    desk.pass_time(_BACK_S)
    for _ in range(24):
        _arrive(desk, "")
    last = desk.listed[-1].target
    while desk.placed:
        request, target = next(iter(desk.placed.items()))
        _end(desk, request, "", Ending.left if target == last else Ending.broken, is_gone=False)


@then("a request with the body {body} runs at the last target")
def check_last(context: Context, body: str) -> None:
    desk = context.desk
    request = _arrive(desk, body)
    assert desk.placed.get(request) == desk.listed[-1].target, (desk.placed, desk.declined)


@when("{length_s:d} s pass for a scheduler")
def pass_long(context: Context, length_s: int) -> None:
    context.desk.now_s += length_s


@when("another scheduler takes over what gateways stored")
def take_over(context: Context) -> None:
    _take_over(context, 1)


@when("another scheduler takes over what gateways stored twice")
def take_over_twice(context: Context) -> None:
    _take_over(context, 2)


def _take_over(context: Context, times: int) -> None:
    before = context.desk
    after = Desk(len(before.listed), before.listed[0].slots)
    after.now_s = before.now_s + 1000.0
    told = before.dispatcher.crashes.list_histories(before.now_s)
    for _ in range(times):
        after.dispatcher.crashes.merge(told, after.now_s)
    assert after.dispatcher.crashes.version == before.dispatcher.crashes.version
    context.desk = after


@when("a target ends under each of {count:d} bodies")
def end_under_many(context: Context, count: int) -> None:
    book = context.book = CrashTracker()
    for number in range(count):
        for turn in range(1 + number % 2):
            now_s = 0.001 * number + 0.0001 * turn
            book.record_broken(f"f{number}", f"t{number}.{turn}", now_s, 0.0, now_s)
            book.record_target_gone(f"t{number}.{turn}", now_s)


@then("at most {most:d} bodies are kept, and at most {told:d} are reported to others")
def check_kept(context: Context, most: int, told: int) -> None:
    kept = sum(context.book.is_suspected(f"f{number}") for number in range(3000))
    assert 0 < kept <= most, kept
    assert 0 < len(context.book.list_histories(10.0)) <= told


@then(
    "a request with the body {body} is refused with {code:d} and told to come back in {wait_s:d} s"
)
def check_refused(context: Context, body: str, code: int, wait_s: int) -> None:
    desk = context.desk
    request = _arrive(desk, body)
    assert request in desk.declined, desk.placed
    declined = desk.declined[request]
    assert declined.code == code, declined
    assert abs(declined.retry_after_s - wait_s) < 1.0, declined


@then("a request with the body {body} has a target")
@then("one with the body {body} has a target")
def check_placed(context: Context, body: str) -> None:
    desk = context.desk
    desk.pass_time(_BACK_S)
    request = _arrive(desk, body)
    assert request in desk.placed, desk.declined
    _end(desk, request, body, Ending.left, is_gone=False)


@when("an answer to the body {body} breaks off, and {count:d} targets end in turn under it")
def break_then_end(context: Context, body: str, count: int) -> None:
    desk = context.desk
    request = _run(desk, body)
    context.target = desk.placed[request]
    _end(desk, request, body, Ending.broken, is_gone=False)
    for _ in range(count):
        desk.pass_time(0.1)
        _end(desk, _run(desk, body), body, Ending.broken, is_gone=True)


@when(
    "{count:d} answers to the body {body} break off within a second at one target, "
    "which then crashes"
)
def break_then_crash(context: Context, count: int, body: str) -> None:
    desk = context.desk
    for number in range(count):
        request, target = f"broken-{number}", desk.listed[0].target
        ended = Ended(request, target, Ending.broken, total_s=_RUN_S, fingerprint=body)
        desk.dispatcher.finish(ended, desk.now_s)
        desk.pass_time(2 * _RUN_S)
    _refuse_connection(desk, desk.listed[0].target)


@when("the first target refuses a connection {wait_s:g} s later")
def refuse_later(context: Context, wait_s: float) -> None:
    context.desk.pass_time(wait_s)
    _refuse_connection(context.desk, context.target)


@when("two crashes in turn under the body {body} are reported after both, and one at once")
def end_with_late_reports(context: Context, body: str) -> None:
    desk = context.desk
    # The first run ends before the second request arrives.
    first = _run(desk, body)
    desk.pass_time(_LATE_REPORT_S)
    second = _run(desk, body)
    for request in (first, second):
        _end(desk, request, body, Ending.broken, is_gone=True)
        desk.pass_time(_LATE_REPORT_S)
    _end(desk, _run(desk, body), body, Ending.broken, is_gone=True)
