"""Drive the decisions of a rollout on a virtual clock."""

from __future__ import annotations

import random
import re
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.rollouts.admission import ExposureLimit, ServiceRolloutView, admit_versions
from troutstand.core.rollouts.analysis import Evaluation, Verdict, evaluate
from troutstand.core.rollouts.canary import RolloutView
from troutstand.core.rollouts.outcomes import Outcome, OutcomeCounts
from troutstand.core.rollouts.planning import RolloutProgress, plan_step
from troutstand.core.rollouts.state import (
    RolloutRequest,
    advance,
    begin,
    find_rollout,
    record_versions,
)
from troutstand.generated.messages import (
    ListedState,
    ListedTarget,
    RolloutBook,
    RolloutOrder,
    RolloutState,
    SeenVersions,
    ServiceRollout,
)
from troutstand.tests.steps.dispatch import Desk

if TYPE_CHECKING:
    from behave.runner import Context

_SERVICE = "work"
_LIMIT = ExposureLimit(share=0.1, extra=50.0)
_NUMBER = 7
_STEPS_TO = {
    RolloutState.in_progress: [],
    RolloutState.switching: [RolloutState.switching],
    RolloutState.completed: [RolloutState.switching, RolloutState.completed],
    RolloutState.rolled_back: [RolloutState.rolled_back],
}


# Stored rollouts


@given('a rollout state in which "{version}" serves')
def use_book(context: Context, version: str) -> None:
    context.book = RolloutBook([ServiceRollout(_SERVICE, version)])
    context.view = ServiceRolloutView(context.book.services[0], is_leased=True, may_sample=True)


@given("an empty rollout state")
def use_empty_book(context: Context) -> None:
    context.book = RolloutBook()


@when('"{version}" is ordered within {duration_s:d} s')
def order(context: Context, version: str, duration_s: int) -> None:
    context.ask = RolloutRequest(_SERVICE, version, float(duration_s))
    context.book = begin(context.book, context.ask, _NUMBER, 1000.0)


@when('targets of version "{version}" are seen')
def see_version(context: Context, version: str) -> None:
    seen = SeenVersions(_SERVICE, [version], in_force=version)
    context.book = record_versions(context.book, [seen])
    context.view = ServiceRolloutView(context.book.services[0], is_leased=True, may_sample=True)


@when('"{left}" has left, and targets of version "{version}" are seen')
def see_left(context: Context, left: str, version: str) -> None:
    seen = SeenVersions(_SERVICE, [version], in_force=version, left=left)
    context.book = record_versions(context.book, [seen])


@given('"{version}" serves beside it')
def serve_beside(context: Context, version: str) -> None:
    context.book = record_versions(context.book, [SeenVersions(_SERVICE, [version])])


def _find(context: Context) -> ServiceRollout:
    found = find_rollout(context.book, _SERVICE)
    assert found is not None
    return found


@then('the order for "{version}" is {state}')
def check_order(context: Context, version: str, state: str) -> None:
    found = _find(context).order
    assert found is not None
    assert (found.version, found.state.value) == (version, state), found


@then("the same order again changes nothing")
def check_repeated(context: Context) -> None:
    assert begin(context.book, context.ask, _NUMBER + 1, 1002.0) is context.book


@then('an order for "{version}" is refused with {code:d}')
def check_refused(context: Context, version: str, code: int) -> None:
    try:
        begin(context.book, RolloutRequest(_SERVICE, version, 12.0), _NUMBER + 1, 1002.0)
    except TroutstandError as error:
        assert error.code is ResultCode(code), error
    else:
        raise AssertionError("it was taken")


def _advance(context: Context, state: str) -> RolloutBook:
    number = _find(context).order.number  # type: ignore[union-attr]
    return advance(context.book, _SERVICE, number, RolloutState(state), "tested")


@when("the order goes to switching, then to completed")
def complete(context: Context) -> None:
    for state in ("switching", "completed"):
        context.book = _advance(context, state)


@when("the order goes to rolled_back")
def roll_back(context: Context) -> None:
    context.book = _advance(context, "rolled_back")


@then("the order cannot go to {state}")
def check_closed_way(context: Context, state: str) -> None:
    assert _advance(context, state) is context.book


@then('"{version}" serves')
def check_serves(context: Context, version: str) -> None:
    assert _find(context).in_force == version, _find(context)


# Which versions get requests


@given('the order for "{version}" is {state}, {confirmed}')
def know_order(context: Context, version: str, state: str, confirmed: str) -> None:
    context.book = begin(context.book, RolloutRequest(_SERVICE, version, 12.0), _NUMBER, 1000.0)
    for step in _STEPS_TO[RolloutState(state)]:
        context.book = advance(context.book, _SERVICE, _NUMBER, step, "tested")
    rollout = _find(context)
    assert rollout.order is not None and rollout.order.state is RolloutState(state), rollout
    context.view = ServiceRolloutView(rollout, confirmed == "confirmed", may_sample=True)


@then('targets of "{one}" are {first} and targets of "{two}" are {second}')
def check_admissions(context: Context, one: str, first: str, two: str, second: str) -> None:
    found = admit_versions(context.view, [one, two, "v3"])
    assert (found[one].value, found[two].value) == (first, second), found


@then('targets of "{version}", which the book lacks, are {admission}')
@then('targets of "{version}" are {admission}')
def check_admission(context: Context, version: str, admission: str) -> None:
    found = admit_versions(context.view, ["v1", "v2", version])
    assert found[version].value == admission, found


@then('where only targets of "{version}" are left, they are {admission}')
def check_left(context: Context, version: str, admission: str) -> None:
    assert admit_versions(context.view, [version])[version].value == admission


# The sample


def _make_desk(context: Context, count: int, rollout: ServiceRollout) -> None:
    context.desk = Desk(0, 1)
    listed = [
        ListedTarget(f"{v}-{n}", _SERVICE, f"127.0.0.1:{n}", "north", 4, ListedState.ready, v)
        for v in ("v1", "v2")
        for n in range(count)
    ]
    view = RolloutView(RolloutBook([rollout]), is_leased=True, may_sample=True, limit=_LIMIT)
    context.desk.dispatcher.update_rollouts(view)
    context.desk.dispatcher.update_targets(listed, context.desk.now_s)
    context.got = Counter()


@given('a scheduler with {count:d} targets of "v1" and {same:d} of "v2", which is the canary')
def use_trial_desk(context: Context, count: int, same: int) -> None:
    order = RolloutOrder(_NUMBER, "v2", 12.0, 1000.0, RolloutState.in_progress)
    _make_desk(context, count, ServiceRollout(_SERVICE, "v1", order))


@given('a scheduler with {count:d} targets of "v1" and {same:d} of "v2", which nobody ordered')
def use_unordered_desk(context: Context, count: int, same: int) -> None:
    _make_desk(context, count, ServiceRollout(_SERVICE, "v1"))


@when("the scheduler finds the canary bad")
def block_canary(context: Context) -> None:
    context.desk.dispatcher.block_canary(_SERVICE)


def _come_and_go(context: Context, route: str, attempt: int) -> None:
    name = context.desk.arrive(route=route, attempt=attempt)
    context.got[route, context.desk.placed[name]] += 1
    context.desk.end(name)


@when('{some:d} requests of route "a" and {others:d} of route "b" start and end')
def let_come(context: Context, some: int, others: int) -> None:
    for number in range(some + others):
        _come_and_go(context, "b" if number % (some // others + 1) == 0 else "a", 1)


@when('{count:d} second attempts of route "a" start and end')
def let_second_come(context: Context, count: int) -> None:
    for _ in range(count):
        _come_and_go(context, "a", 2)


@then('targets of "v2" got {some:d} of route "a" and {others:d} of route "b"')
def check_sample(context: Context, some: int, others: int) -> None:
    sampled: Counter[str] = Counter()
    for (route, target), count in context.got.items():
        if target.startswith("v2"):
            sampled[route] += count
    assert (sampled["a"], sampled["b"]) == (some, others), sampled


@then('each target of "v2" got {low:d} or {high:d} of them')
def check_evenly(context: Context, low: int, high: int) -> None:
    by_target: Counter[str] = Counter()
    for (_, target), count in context.got.items():
        by_target[target] += count
    counts = [count for target, count in by_target.items() if target.startswith("v2")]
    assert len(counts) == 4 and set(counts) <= {low, high}, counts


@given('all answers of "{version}" failed')
def fail_all(context: Context, version: str) -> None:
    outcomes = context.desk.dispatcher.pools[_SERVICE].canary.outcomes
    for number in range(200):
        is_canary = number % 2 == 0
        target = f"{version if is_canary else 'v1'}-{number % 4}"
        outcome = Outcome("a", target, is_canary, is_failed=is_canary, is_slow=False)
        outcomes.record(outcome, context.desk.now_s)


def _judge_order(context: Context, number: int) -> Verdict:
    canary = context.desk.dispatcher.pools[_SERVICE].canary
    return canary.evaluate(number, context.desk.now_s).verdict


@then("the order is judged {verdict}")
def check_judged(context: Context, verdict: str) -> None:
    assert _judge_order(context, _NUMBER) is Verdict(verdict)


@then("an order that the scheduler does not follow yet is judged {verdict}")
def check_judged_next(context: Context, verdict: str) -> None:
    assert _judge_order(context, _NUMBER + 1) is Verdict(verdict)


@given("most gateways use this scheduler")
def use_primary(context: Context) -> None:
    context.desk.dispatcher.pools[_SERVICE].canary.is_primary = True


@given("the canary is good so far, and {left_s:g} s are left")
def clear(context: Context, left_s: float) -> None:
    canary = context.desk.dispatcher.pools[_SERVICE].canary
    canary.is_healthy = True
    canary.deadline_s = context.desk.now_s + left_s


@when('{count:d} requests of route "a" that take {stay_s:g} s start and end')
def let_long_come(context: Context, count: int, stay_s: float) -> None:
    for target in context.desk.dispatcher.pools[_SERVICE].targets.values():
        target.service_s.add_sample(stay_s)
    for _ in range(count):
        _come_and_go(context, "a", 1)


# The verdict


@given("{count:d} targets of each version")
def use_targets(context: Context, count: int) -> None:
    context.count = count


class _Behaviour:
    """Describe how often the canary version fails or is slow, by a scenario's words."""

    def __init__(self, text: str) -> None:
        number = re.search(r"0\.\d+", text)
        self.share = float(number.group()) if number else 0.0
        self.is_silent = text == "gets nothing"
        self.is_one_target = "one target" in text
        self.is_one_route = "route" in text
        self.is_slow = "slow" in text
        self.is_shared = "as others" in text
        self.from_s = 6.0 if "from 6 s" in text else 0.0

    def draw(self, rng: random.Random, outcome: Outcome, now_s: float) -> Outcome:
        """Return a random outcome of this version."""
        if self.is_one_target:
            fails = outcome.is_canary and outcome.target.endswith("0")
            return Outcome(outcome.route, outcome.target, outcome.is_canary, fails, False)
        is_hit = (
            (outcome.is_canary or self.is_shared)
            and now_s >= self.from_s
            and (not self.is_one_route or outcome.route == "a")
            and rng.random() < self.share
        )
        return Outcome(
            outcome.route,
            outcome.target,
            outcome.is_canary,
            is_hit and not self.is_slow,
            is_hit and self.is_slow,
        )


@when("the canary answers for {length_s:d} s and {what}")
def answer(context: Context, length_s: int, what: str) -> None:
    behaviour, rng = _Behaviour(what), random.Random(5)
    outcomes = OutcomeCounts(_NUMBER)
    context.verdict = None
    for step in range(length_s * 200):
        now_s = step / 200.0
        is_canary = step % 20 == 0
        if is_canary and behaviour.is_silent:
            continue
        target = f"{'new' if is_canary else 'old'}{rng.randrange(context.count)}"
        plain = Outcome(rng.choice("abc"), target, is_canary, is_failed=False, is_slow=False)
        outcomes.record(behaviour.draw(rng, plain, now_s), now_s)
        if step % 50 == 0:
            evaluation = evaluate(outcomes, now_s)
            if evaluation.verdict is Verdict.BAD:
                context.verdict = evaluation.verdict
                return
            context.verdict = evaluation.verdict


@then("it is judged {verdict}")
def check_verdict(context: Context, verdict: str) -> None:
    assert context.verdict is Verdict(verdict), context.verdict


# The steps


@given("an order of {duration_s:d} s that is {state} for {elapsed_s:g} s, judged {verdict}")
def use_order(
    context: Context, duration_s: int, state: str, elapsed_s: float, verdict: str
) -> None:
    context.situation = RolloutProgress(
        order=RolloutOrder(_NUMBER, "v2", float(duration_s), 1000.0, RolloutState(state)),
        evaluation=Evaluation(Verdict(verdict), "tested"),
        elapsed_s=elapsed_s if state == "in_progress" else 10.0,
        switched_s=elapsed_s if state == "switching" else 0.0,
        hold_s=0.3,
        old_running=0,
        max_request_s=10.0,
        exposure_left_s=1.0,
        gateway_share=1.0,
    )


def _change(context: Context, **fields: object) -> None:
    context.situation = replace(context.situation, **fields)


@given("{lead:g} of the gateways use this scheduler")
def use_lead(context: Context, lead: float) -> None:
    _change(context, gateway_share=lead)


@given("all requests may go to the new version for {affordable_s:g} s")
def use_affordable(context: Context, affordable_s: float) -> None:
    _change(context, exposure_left_s=affordable_s)


@given("{count:d} requests run at the old version")
def use_running(context: Context, count: int) -> None:
    _change(context, old_running=count)


@then("its next step is {step}")
def check_step(context: Context, step: str) -> None:
    found = plan_step(context.situation)
    assert (found.state.value if found is not None else "none") == step, found
