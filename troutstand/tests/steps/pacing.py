"""Let targets announce a rate limit, on a virtual clock."""

from __future__ import annotations

import random
from bisect import bisect_left
from typing import TYPE_CHECKING

from behave import then, when

from troutstand.core.selfreport import LimitShare, SelfReport
from troutstand.generated.messages import Ending, TargetNotice
from troutstand.tests.steps.rest import hear, tell

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.core.limits.ratelimiter import RateLimiter
    from troutstand.tests.steps.dispatch import Desk

_WINDOW_S = 4.0
_STEP_S = 0.05
_TOGETHER = 3
_SEED = 7
_BEGAN_S = 100.0


@when("{target} names a limit of {limit_per_s:g} a second to {gateway}")
def name_limit(context: Context, target: str, limit_per_s: float, gateway: str) -> None:
    desk = context.desk
    names = [t.target for t in desk.listed] if target == "each target" else [target]
    tell(desk, gateway, *(TargetNotice(name, limit_per_s=limit_per_s) for name in names))


@when("the dispatcher decides for {part:g} of the gateways")
def use_part(context: Context, part: float) -> None:
    context.desk.dispatcher.set_rate_limit_share(part, context.desk.now_s)


@when("gateway-1 and gateway-2 ask for all places for {length_s:g} s")
def ask_all(context: Context, length_s: float) -> None:
    """Place more requests than there are slots, while t1 keeps announcing its limit."""
    desk: Desk = context.desk
    context.sent_s = []
    state = desk.dispatcher.pools["work"].targets["t1"]
    end_s = desk.now_s + length_s
    while desk.now_s < end_s:
        for number in range(_TOGETHER * 2):
            name = desk.arrive(f"gateway-{1 + number % 2}", objective_s=60.0, remaining_s=60.0)
            if desk.placed.get(name) == "t1":
                context.sent_s.append(desk.now_s)
        _end_all(desk, state.report.limit_per_s)
        desk.now_s += _STEP_S
        desk.dispatcher.tick(desk.now_s)


def _end_all(desk: Desk, limit_per_s: float | None) -> None:
    """Drop the waiting requests, and finish the running ones with answers that have the limit."""
    for name in list(desk.dispatcher.pools["work"].waiting):
        desk.dispatcher.abandon(name, desk.now_s)
    for name, target in list(desk.placed.items()):
        if target == "t1":
            tell(desk, "gateway-1", TargetNotice("t1", limit_per_s=limit_per_s))
        desk.end(name)


def _count_most(times: list[float]) -> int:
    ordered = sorted(times)
    return max(
        (bisect_left(ordered, at_s + _WINDOW_S) - n for n, at_s in enumerate(ordered)), default=0
    )


@then("t1 got {least:d} to {most:d} requests, and at most {window:d} within 4 s")
@then("together they sent {least:d} to {most:d} requests, and at most {window:d} within 4 s")
def check_count(context: Context, least: int, most: int, window: int) -> None:
    count, fullest = len(context.sent_s), _count_most(context.sent_s)
    assert least <= count <= most, f"{count} requests"
    assert fullest <= window, f"{fullest} within {_WINDOW_S} s"


def _make_alone(gateways: int, limit_per_s: float) -> list[SelfReport]:
    draws = random.Random(_SEED)
    reports = [SelfReport() for _ in range(gateways)]
    for report in reports:
        notice = TargetNotice("t1", limit_per_s=limit_per_s)
        report.apply_notice("", notice, _BEGAN_S, LimitShare(1.0 / gateways, draws))
    return reports


def _ask_each(reports: list[SelfReport], now_s: float, sent_s: list[float]) -> None:
    for report in reports:
        if report.may_send(now_s):
            report.record_sent(now_s)
            sent_s.append(now_s)


@when(
    "{gateways:d} gateways decide alone for {length_s:g} s about a target that names "
    "{limit_per_s:g} a second"
)
def decide_alone(context: Context, gateways: int, length_s: float, limit_per_s: float) -> None:
    reports = _make_alone(gateways, limit_per_s)
    context.sent_s = []
    for step in range(int(length_s / _STEP_S)):
        _ask_each(reports, _BEGAN_S + step * _STEP_S, context.sent_s)


@when(
    "{gateways:d} gateways that know a limit of {limit_per_s:g} a second ask nothing for "
    "{length_s:g} s, then all at once"
)
def save_up(context: Context, gateways: int, limit_per_s: float, length_s: float) -> None:
    reports = _make_alone(gateways, limit_per_s)
    context.sent_s = []
    for step in range(int(length_s / _STEP_S)):
        for report in reports:
            report.may_send(_BEGAN_S + step * _STEP_S)
    for step in range(int(_WINDOW_S / _STEP_S)):
        _ask_each(reports, _BEGAN_S + length_s + step * _STEP_S, context.sent_s)


@then("t1 names no limit")
def check_none(context: Context) -> None:
    assert _find_limiter(context) is None


@then("t1 names a limit of {limit_per_s:g} a second")
def check_limit(context: Context, limit_per_s: float) -> None:
    pace = _find_limiter(context)
    assert pace is not None and pace.limit_per_s == limit_per_s, pace


def _find_limiter(context: Context) -> RateLimiter | None:
    return context.desk.dispatcher.pools["work"].targets["t1"].report.rate_limiter


@when("the list of targets lacks t1 once")
def lack_once(context: Context) -> None:
    desk = context.desk
    desk.dispatcher.update_targets(desk.listed[1:], desk.now_s)
    desk.dispatcher.update_targets(desk.listed, desk.now_s)


@when("t1 loses each of its answers for {length_s:g} s while all others are ejected")
def lose_answers(context: Context, length_s: float) -> None:
    desk = context.desk
    context.sent_s = []
    end_s = desk.now_s + length_s
    while desk.now_s < end_s:
        name = desk.arrive(objective_s=60.0, remaining_s=60.0, is_repeatable=True)
        for request, target in list(desk.placed.items()):
            if target == "t1":
                context.sent_s.append(desk.now_s)
            desk.end(request, Ending.broken)
        desk.dispatcher.abandon(name, desk.now_s)
        desk.now_s += _STEP_S
        desk.dispatcher.tick(desk.now_s)


@then("it has a target after {wait_s:g} s")
def check_placed_later(context: Context, wait_s: float) -> None:
    desk = context.desk
    name = next(iter(desk.dispatcher.pools["work"].waiting))
    desk.pass_time(wait_s)
    assert name in desk.placed, (desk.placed, desk.declined)


@when("the book hears in an answer of {asked_s:g} s that t1 takes {limit} a second")
def hear_limit(context: Context, asked_s: float, limit: str) -> None:
    hear(context, TargetNotice("t1", limit_per_s=float(limit)), asked_s)


@when("the book hears in an answer of {asked_s:g} s that t1 takes any number")
def hear_none(context: Context, asked_s: float) -> None:
    hear(context, TargetNotice("t1"), asked_s)


@then("it tells deciders of a limit of {limit_per_s:g} for t1")
def check_told(context: Context, limit_per_s: float) -> None:
    told = context.book.list_notices(_BEGAN_S + 2.0)
    assert [(n.target, n.limit_per_s) for n in told] == [("t1", limit_per_s)], told


@then("it tells deciders of no limit for t1")
def check_not_told(context: Context) -> None:
    assert not context.book.list_notices(_BEGAN_S + 2.0)


@then("it names {limit}")
def check_named(context: Context, limit: str) -> None:
    expected = None if limit == "none" else float(limit)
    assert context.notice.limit_per_s == expected, context.notice
