"""Simulate services whose targets crash, and judge parts by given evidence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.crashes.crashtracker import CrashTracker, Suspicion
from troutstand.core.crashes.partcrashes import PartTracker, make_part_ids
from troutstand.core.crashes.partevidence import (
    PartClearance,
    PartCrash,
    PartEvidence,
    PartQuarantine,
    add_clearance,
    add_crash,
    merge_evidence,
)
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.testing.crashsimulation import CrashPlan, CrashSimulation

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.core.ids import PartId

_PARTS = ("x", "y", "z")
_SERVICE = "engine"
_LEARN_S = 4.0
_START_S = 100.0
_ANSWERED = 60


def _simulate(context: Context, seeds: int, **plan: object) -> None:
    plans = [CrashPlan(seed=seed, **plan) for seed in range(seeds)]  # type: ignore[arg-type]
    context.outcomes = [CrashSimulation(plan).run() for plan in plans]


@when(
    "{seeds:d} services are simulated with {rate:g} requests a second "
    "that have one of {count:d} crashing parts"
)
def simulate_parts(context: Context, seeds: int, rate: float, count: int) -> None:
    _simulate(context, seeds, bad_per_s=rate, crashing=_PARTS[:count], bad_from_s=_LEARN_S)


@when(
    "{seeds:d} services are simulated with {rate:g} requests a second "
    "of a part that begins to crash targets"
)
def simulate_changed_part(context: Context, seeds: int, rate: float) -> None:
    _simulate(
        context, seeds, bad_per_s=rate, crashing=("x",), bad_from_s=_LEARN_S, is_sound_before=True
    )


@when(
    "{seeds:d} services are simulated from their start "
    "with {rate:g} requests a second of {count:d} crashing parts"
)
def simulate_from_start(context: Context, seeds: int, rate: float, count: int) -> None:
    _simulate(context, seeds, bad_per_s=rate, crashing=_PARTS[:count])


@when(
    "{seeds:d} services are simulated whose targets crash by themselves "
    "{rate:g} times a second for {length_s:g} s"
)
def simulate_own_crashes(context: Context, seeds: int, rate: float, length_s: float) -> None:
    _simulate(context, seeds, own_crashes_per_s=rate, length_s=length_s)


@when("{seeds:d} services are simulated with equal requests that crash targets")
def simulate_body(context: Context, seeds: int) -> None:
    _simulate(context, seeds, crashing_body_per_s=2.5, crashing=())


@then("no part crashes more than {most:d} targets")
def check_crashes(context: Context, most: int) -> None:
    counts = [
        {part: len(times_s) for part, times_s in outcome.crashes.items()}
        for outcome in context.outcomes
    ]
    assert all(counts), "nothing crashed"
    assert max(max(found.values()) for found in counts) <= most, counts


@then(
    "at most {most:d} requests with a crashing part start "
    "later than {after_s:g} s after its fifth crash"
)
def check_late(context: Context, most: int, after_s: float) -> None:
    late = [o.count_late(part, after_s) for o in context.outcomes for part in o.crashes]
    assert max(late) <= most, late


@then("no sound request is quarantined")
def check_quarantined(context: Context) -> None:
    counts = [outcome.quarantined_sound for outcome in context.outcomes]
    assert not any(counts), counts


@then("at least {share:g} of the sound requests are answered")
def check_answered(context: Context, share: float) -> None:
    shares = [outcome.answered / outcome.sound for outcome in context.outcomes]
    assert min(shares) >= share, shares


# Evidence


def _make_tracker(answered: tuple[str, ...] = ()) -> PartTracker:
    """Make a tracker with the history of a decider that has run for a while."""
    tracker = PartTracker()
    for _ in range(_ANSWERED):
        tracker.record_answer(make_part_ids(_SERVICE, answered), _START_S)
    return tracker


def _crash(tracker: PartTracker, count: int, parts: list[PartId], fingerprint: str = "") -> None:
    """Record crashes a second apart; the last one is isolated."""
    for number in range(count):
        tracker.record_crash(
            f"t{number}",
            parts,
            fingerprint or f"f{number}",
            _START_S + 1.0 + number,
            is_isolated=number == count - 1,
        )


@given("evidence of {count:d} crashes of requests with the parts a and x, the last one isolated")
def crash_known(context: Context, count: int) -> None:
    context.tracker = _make_tracker(("a",))
    _crash(context.tracker, count, make_part_ids(_SERVICE, ["a", "x"]))
    context.now_s = _START_S + 1.0 + count


@given(
    "evidence of {count:d} crashes of requests with the unknown parts x and y, "
    "the last one isolated"
)
def crash_unknown(context: Context, count: int) -> None:
    context.tracker = _make_tracker()
    _crash(context.tracker, count, make_part_ids(_SERVICE, ["x", "y"]))
    context.now_s = _START_S + 1.0 + count


@given("evidence of {count:d} crashes of one request with the part x, the last one isolated")
def crash_one(context: Context, count: int) -> None:
    context.tracker = _make_tracker()
    _crash(context.tracker, count, make_part_ids(_SERVICE, ["x"]), "same")
    context.now_s = _START_S + 1.0 + count


def _find_quarantine(context: Context, names: list[str]) -> PartQuarantine | None:
    return context.tracker.find_quarantine(make_part_ids(_SERVICE, names), context.now_s)


@then("a request with the parts x and y is refused")
def check_both_refused(context: Context) -> None:
    assert _find_quarantine(context, ["x", "y"]) is not None


@then("a request with the part x is refused")
def check_refused(context: Context) -> None:
    found = _find_quarantine(context, ["b", "x"])
    assert found is not None
    assert found.parts == frozenset(make_part_ids(_SERVICE, ["x"])), found


@when("an answer to a request with the part x begins after the quarantine")
def answer_later(context: Context) -> None:
    found = _find_quarantine(context, ["x"])
    assert found is not None
    context.now_s = found.until_s + 1.0
    assert _find_quarantine(context, ["x"]) is None
    parts = make_part_ids(_SERVICE, ["x"])
    assert context.tracker.list_suspects(parts, context.now_s), "it is not tried isolated"
    context.tracker.record_answer(parts, context.now_s)


@then("a request with the part x is not refused")
def check_cleared(context: Context) -> None:
    parts = make_part_ids(_SERVICE, ["x"])
    assert _find_quarantine(context, ["x"]) is None
    assert not context.tracker.list_suspects(parts, context.now_s)


@then("a request with the part x runs isolated")
def check_isolated(context: Context) -> None:
    parts = make_part_ids(_SERVICE, ["x"])
    assert _find_quarantine(context, ["x"]) is None
    assert context.tracker.list_suspects(parts, context.now_s) == frozenset(parts)


@given("three crashes under requests with the part x, beside the same sound request each time")
def crash_beside(context: Context) -> None:
    tracker = context.crashes = CrashTracker()
    for _ in range(_ANSWERED):
        tracker.parts.record_answer(make_part_ids(_SERVICE, ["a"]), _START_S)
    for number in range(3):
        target, at_s = f"t{number}", _START_S + 5.0 * (1 + number)
        sound, bad = make_part_ids(_SERVICE, ["a"]), make_part_ids(_SERVICE, ["a", "x"])
        tracker.record_broken("sound", target, at_s - 0.1, 0.1, at_s, sound)
        tracker.record_broken(f"f{number}", target, at_s - 0.1, 0.1, at_s, bad, number == 2)
        tracker.record_target_gone(target, at_s)
    context.now_s = at_s


@then("the sound request is not suspected")
def check_not_suspected(context: Context) -> None:
    assert context.crashes.parts.evidence.quarantines, "the part was not found"
    suspicion = context.crashes.get_suspicion("sound", context.now_s)
    assert suspicion is Suspicion.NONE, suspicion


@when("{length_s:g} s pass for the tracker")
def pass_time(context: Context, length_s: float) -> None:
    context.tracker.expire(context.now_s + length_s)


@then("no part is suspected")
def check_idle(context: Context) -> None:
    assert context.tracker.is_idle and not context.tracker.has_repeated


@given("evidence of two processes on the same crashes")
def make_two(context: Context) -> None:
    x, y, a = make_part_ids(_SERVICE, ["x", "y", "a"])
    first = PartEvidence()
    for number in range(3):
        at_s = _START_S + number
        first = add_crash(first, PartCrash(f"t{number}", at_s, {x: "f", a: "f"}))
    second = add_crash(PartEvidence(), PartCrash("t1", _START_S + 1.2, {y: "g"}, frozenset([y])))
    second = add_clearance(second, PartClearance(a, _START_S + 1.5))
    context.two = first, second


@when("it is joined {order}")
def join(context: Context, order: str) -> None:
    first, second = context.two
    match order:
        case "in one order":
            context.joined = merge_evidence(first, second)
        case "in the other":
            context.joined = merge_evidence(second, first)
        case "and repeated":
            joined = merge_evidence(first, second)
            context.joined = merge_evidence(merge_evidence(joined, second), first)
        case _:
            raise AssertionError(order)


@then("the joined evidence is the same")
def check_joined(context: Context) -> None:
    x, y, a = make_part_ids(_SERVICE, ["x", "y", "a"])
    suspects = [set(crash.suspects) for crash in context.joined.crashes]
    assert suspects == [{x}, {x, y}, {x, a}], suspects


@when("a part is cleared and an older report is joined afterwards")
def clear_then_join(context: Context) -> None:
    first, _ = context.two
    part = make_part_ids(_SERVICE, ["x"])[0]
    cleared = add_clearance(first, PartClearance(part, _START_S + 10.0))
    context.part = part
    context.joined = merge_evidence(cleared, first)


@then("the part is in no crash")
def check_absent(context: Context) -> None:
    assert not context.joined.list_crashes(context.part)


@given("evidence of {count:d} crashes under {parts:d} parts each")
def crash_many(context: Context, count: int, parts: int) -> None:
    context.tracker = _make_tracker()
    for number in range(count):
        names = [f"p{number}-{part}" for part in range(parts)]
        context.tracker.record_crash(
            f"t{number}", make_part_ids(_SERVICE, names), f"f{number}", _START_S + number
        )


@then("at most {crashes:d} crashes and {quarantines:d} quarantines are kept")
def check_bounded(context: Context, crashes: int, quarantines: int) -> None:
    evidence = context.tracker.evidence
    assert 0 < len(evidence.crashes) <= crashes
    assert len(evidence.quarantines) <= quarantines


@given("a retry budget of {extra:d} that such retries have used up")
def use_up(context: Context, extra: int) -> None:
    context.budget = RetryBudget(0.0, extra, 10.0)
    while context.budget.take(_SERVICE, _START_S, is_reserved=False):
        pass


@then("another retry is allowed")
def check_retry(context: Context) -> None:
    assert context.budget.take(_SERVICE, _START_S)
