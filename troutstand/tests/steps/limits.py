"""Drive rate limits and the retry budget on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.codes import ResultCode
from troutstand.core.limits.quota import QuotaBounds, Quotas, Verdict
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.generated.configuration import RoutedWorkspace
from troutstand.generated.messages import Ending
from troutstand.testing.limitload import draw_tokens

if TYPE_CHECKING:
    from behave.runner import Context

_STEP_S = 0.05
_REQUEST_TOKENS = 200.0
_EPSILON = 1e-6
_MAX_RETRY_AFTER_S = 5.0
_SEED = 61
# Tells the deciders of all scenarios apart.
_NUMBERS = itertools.count()


@given(
    "a limit of {rate:d} tokens a second and a burst of {burst:d}, "
    "judged over {window_s:d} s with {percent:d} in 100 and {extra:d} excess"
)
def use_limit(
    context: Context, rate: int, burst: int, window_s: int, percent: int, extra: int
) -> None:
    context.bounds = QuotaBounds(window_s, percent / 100, extra)
    context.workspace = RoutedWorkspace("w", tokens_per_s=rate, burst_tokens=burst)
    context.taken = []


def _make_quotas(context: Context, now_s: float, share: float = 1.0) -> Quotas:
    quotas = Quotas(context.bounds, f"decider-{next(_NUMBERS)}")
    quotas.set_share(share)
    quotas.update_workspaces([context.workspace], now_s)
    return quotas


@when(
    "a workspace asks for four times as much for {length_s:d} s "
    "and the scheduler changes every {period_s:d} s"
)
def ask_over_changes(context: Context, length_s: int, period_s: int) -> None:
    now_s, changed_s = 0.0, 0.0
    quotas = _make_quotas(context, now_s)
    while now_s < length_s:
        if now_s - changed_s >= period_s:
            changed_s = now_s
            before, quotas = quotas, _make_quotas(context, now_s)
            _hand_over(before, quotas, now_s)
        if quotas.take("w", _REQUEST_TOKENS, now_s).verdict is not Verdict.REFUSED:
            context.taken.append((now_s, _REQUEST_TOKENS))
        now_s += _STEP_S


@when(
    "a workspace asks two schedulers of {first:d} and {second:d} gateways "
    "for four times as much for {length_s:d} s"
)
def ask_two(context: Context, first: int, second: int, length_s: int) -> None:
    total = first + second
    both = [_make_quotas(context, 0.0, count / total) for count in (first, second)]
    now_s = 0.0
    while now_s < length_s:
        for quotas in both:
            if quotas.take("w", _REQUEST_TOKENS, now_s).verdict is not Verdict.REFUSED:
                context.taken.append((now_s, _REQUEST_TOKENS))
        now_s += _STEP_S


def _hand_over(source: Quotas, goal: Quotas, now_s: float) -> None:
    goal.merge_usage(source.export_usage(now_s), now_s)


@when(
    "a workspace asks for four times as much for {length_s:d} s and {alone:d} of {all_:d} gateways "
    "decide alone from {start_s:d} to {end_s:d} s"
)
def ask_alone(
    context: Context, length_s: int, alone: int, all_: int, start_s: int, end_s: int
) -> None:
    scheduler = _make_quotas(context, 0.0)
    cut_off: list[Quotas] = []
    now_s = 0.0
    while now_s < length_s:
        if start_s <= now_s < end_s and not cut_off:
            cut_off = [_make_quotas(context, now_s, 1.0 / all_) for _ in range(alone)]
            for gateway in cut_off:
                _hand_over(scheduler, gateway, now_s)
            scheduler.set_share(1.0 - alone / all_)
        if now_s >= end_s and cut_off:
            for gateway in cut_off:
                _hand_over(gateway, scheduler, now_s)
            scheduler.set_share(1.0)
            cut_off = []
        for quotas in (scheduler, *cut_off):
            if quotas.take("w", _REQUEST_TOKENS, now_s).verdict is not Verdict.REFUSED:
                context.taken.append((now_s, _REQUEST_TOKENS))
        now_s += _STEP_S


@when(
    "a workspace takes all it can at once, refunds it after {after_s:d} s, "
    "and asks for four times as much for {length_s:d} s"
)
def ask_and_give_back(context: Context, after_s: int, length_s: int) -> None:
    quotas = _make_quotas(context, 0.0)
    lent = 0
    while quotas.take("w", _REQUEST_TOKENS, 0.0).verdict is not Verdict.REFUSED:
        lent += 1
    now_s = float(after_s)
    for _ in range(lent):
        quotas.refund("w", _REQUEST_TOKENS, 0.0, now_s)
    while now_s < after_s + length_s:
        if quotas.take("w", _REQUEST_TOKENS, now_s).verdict is not Verdict.REFUSED:
            context.taken.append((now_s, _REQUEST_TOKENS))
        now_s += _STEP_S


@then("no window of {window_s:d} s holds more than {most:d} tokens")
def check_windows(context: Context, window_s: int, most: int) -> None:
    for start_s, _ in context.taken:
        held = sum(a for t, a in context.taken if start_s <= t <= start_s + window_s)
        assert held <= most, f"{held} tokens from {start_s:.2f} s on"


@then("the workspace got at least {least:d} tokens")
def check_least(context: Context, least: int) -> None:
    assert sum(a for _, a in context.taken) >= least, sum(a for _, a in context.taken)


@then("a request of {tokens:d} tokens passes, and the next must wait {wait_s:d} s or more")
def check_large(context: Context, tokens: int, wait_s: int) -> None:
    quotas = _make_quotas(context, 0.0)
    assert quotas.take("w", tokens, 0.0).verdict is Verdict.WITHIN_LIMIT
    following = quotas.take("w", tokens, 0.0)
    assert following.verdict is Verdict.REFUSED
    assert following.wait_s >= wait_s - _EPSILON


@given("a retry budget of {ratio:g} a request and {extra:d} more in {window_s:d} s")
def use_budget(context: Context, ratio: float, extra: int, window_s: int) -> None:
    context.budget = RetryBudget(ratio, extra, window_s)


@when("{requests:d} requests and {repeats:d} repeats come within {length_s:d} s")
def ask_repeats(context: Context, requests: int, repeats: int, length_s: int) -> None:
    for number in range(requests):
        context.budget.record_request("work", length_s * number / requests)
    context.allowed = sum(context.budget.take("work", length_s) for _ in range(repeats))


@then("at most {most:d} repeats are allowed and at least {least:d}")
def check_repeats(context: Context, most: int, least: int) -> None:
    assert least <= context.allowed <= most, context.allowed


@then("after {length_s:d} s at least {least:d} more repeats are allowed")
def check_later(context: Context, length_s: int, least: int) -> None:
    allowed = sum(context.budget.take("work", float(length_s)) for _ in range(100))
    assert allowed >= least, allowed


@then("of {count:d} requests at once some are within it, then some excess, the rest refused")
def check_order(context: Context, count: int) -> None:
    quotas = _make_quotas(context, 0.0)
    verdicts = [quotas.take("w", 2 * _REQUEST_TOKENS, 0.0).verdict for _ in range(count)]
    order = [Verdict.WITHIN_LIMIT, Verdict.EXCESS, Verdict.REFUSED]
    assert verdicts == sorted(verdicts, key=order.index), verdicts
    assert set(verdicts) == set(order), verdicts


# Many small amounts


@when("{count:d} requests come within {length_s:d} s, and half of them refund what they took")
def take_many(context: Context, count: int, length_s: int) -> None:
    quotas = _make_quotas(context, 0.0)
    context.kept = []
    for number in range(count):
        now_s = number * length_s / count
        judged = quotas.take("w", 100.0, now_s)
        assert judged.verdict is not Verdict.REFUSED, judged
        if number % 2:
            quotas.refund("w", 100.0, now_s, now_s + 0.3 * (number % 3))
        else:
            context.kept.append(now_s)
    context.window = quotas._usage._own.windows["w"]


@then("the window holds at most {most:d} amounts")
def check_amounts(context: Context, most: int) -> None:
    assert len(context.window) <= most, len(context.window)


@then("it holds what was taken and not refunded, to the token")
def check_total(context: Context) -> None:
    assert abs(context.window.total - 100.0 * len(context.kept)) < 1e-6, context.window.total


@then("nothing leaves it sooner than {length_s:g} s after it was taken")
def check_leaving(context: Context, length_s: float) -> None:
    for now_s in (9.0, 10.0, 12.0, 16.0):
        context.window.advance(now_s)
        owed = 100.0 * sum(1 for at_s in context.kept if at_s > now_s - length_s)
        assert context.window.total >= owed - 1e-6, (now_s, context.window.total, owed)


# Charges of a dispatcher


@given("a workspace with a limit of {rate:d} tokens a second")
def limit_workspace(context: Context, rate: int) -> None:
    context.desk.quotas.update_workspaces(
        [RoutedWorkspace("w", tokens_per_s=rate)], context.desk.now_s
    )


def _arrive(context: Context, tokens: int, **fields: object) -> str:
    return context.desk.arrive(workspace="w", charge=float(tokens), **fields)


@when(
    "a request of {first:d} tokens holds the slot, "
    "and one of {second:d} tokens waits {wait_s:d} s for it"
)
def wait_for_slot(context: Context, first: int, second: int, wait_s: int) -> None:
    running = _arrive(context, first)
    waiting = _arrive(context, second, objective_s=20.0, remaining_s=60.0)
    context.desk.pass_time(wait_s)
    assert waiting not in context.desk.placed
    context.desk.end(running, total_s=float(wait_s))
    assert waiting in context.desk.placed
    context.desk.end(waiting)


@then("{length_s:d} s after it was sent at most {most:d} further tokens are admitted")
def check_admitted(context: Context, length_s: int, most: int) -> None:
    context.desk.pass_time(length_s - 0.1)
    assert _arrive(context, most + 100) in context.desk.declined
    assert _arrive(context, most) in context.desk.placed


@when("a request of {tokens:d} tokens is placed and ends as {ending}")
def end_request(context: Context, tokens: int, ending: str) -> None:
    request = _arrive(context, tokens)
    assert request in context.desk.placed
    context.desk.end(request, Ending[ending])
    context.desk.pass_time(1.0)


@then("a request of {tokens:d} tokens is placed")
def check_placed(context: Context, tokens: int) -> None:
    assert _arrive(context, tokens) in context.desk.placed


@then("its second attempt is refused for the limit with a wait of {wait_s:d} s or more")
def check_second_attempt(context: Context, wait_s: int) -> None:
    declined = context.desk.declined[_arrive(context, 500, attempt=2, attempts=2)]
    assert ResultCode(declined.code) is ResultCode.WORKSPACE_LIMIT, declined
    assert declined.retry_after_s >= wait_s - _EPSILON, declined


# Callers that come back


@when(
    "for {length_s:d} s {per_s:d} requests a second of {tokens:d} tokens come, "
    "and come back as told up to {times:d} times"
)
def come_back(context: Context, length_s: int, per_s: int, tokens: int, times: int) -> None:
    quotas = _make_quotas(context, 0.0)
    rng = random.Random(_SEED)
    arrivals = [(length_s * n / (length_s * per_s), n, 1) for n in range(length_s * per_s)]
    sizes = [draw_tokens(rng, tokens) for _ in arrivals]
    heapq.heapify(arrivals)
    context.tries = []
    while arrivals:
        now_s, number, tried = heapq.heappop(arrivals)
        decision = quotas.take("w", sizes[number], now_s)
        if decision.verdict is not Verdict.REFUSED:
            context.tries.append(tried)
        elif tried <= times:
            wait_s = min(_MAX_RETRY_AFTER_S, max(_STEP_S, decision.wait_s))
            heapq.heappush(arrivals, (now_s + wait_s, number, tried + 1))
    context.asked = len(sizes)


@then("at least {share:g} of them are served, and at least {soon:g} within two tries")
def check_returned(context: Context, share: float, soon: float) -> None:
    within_two = sum(tried <= 2 for tried in context.tries)
    found = (len(context.tries) / context.asked, within_two / context.asked)
    assert found[0] >= share and found[1] >= soon, found
