"""Check altered soak records, and run short soaks."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.testing.arrivals import Arrival, LimitNotice
from troutstand.testing.crashparts import PartEvent
from troutstand.testing.routedcaller import CallResult
from troutstand.testing.soak.check import (
    CRASHING_PART,
    ConfigurationRead,
    ConfigurationWrite,
    Disruption,
    DrainInterval,
    GatewayCut,
    SoakRecord,
    TokenLimit,
    check_record,
)
from troutstand.testing.soak.plan import EventKind, SoakEvent, generate_events
from troutstand.testing.soak.run import Soak, SoakPlan
from troutstand.testing.soak.targets import EXTRA_DRAIN_S, inject_target_fault
from troutstand.testing.standins import RunRecord, StandInTarget, make_body, make_event
from troutstand.testing.versionedstreams import Stream, StreamTry
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from behave.runner import Context


def make_call(request: str, route: str, status: int, body: bytes, began_s: float) -> CallResult:
    """Make a call's result."""
    return CallResult(request, route, "gateway-1", status, body, "", began_s, began_s + 0.1)


def make_run(request: str, target: str, started_s: float, tokens: int = 0) -> RunRecord:
    """Make a run's record."""
    return RunRecord(request, target, "work", "w", "/do/x", tokens, started_s, False, 0, 0)


def _make_stream(request: str, numbers: range) -> bytes:
    return b"".join(make_event(request, number) for number in numbers)


@given("the record of a correct soak")
def make_record(context: Context) -> None:
    contents = [b"one", b"two"]
    context.record = SoakRecord(
        calls=[
            make_call("c1", "/do/", 200, make_body("c1", b"x"), 1.0),
            make_call("c2", "/do/", 503, b"", 2.0),
            make_call("c3", "/stream/", 200, _make_stream("c3", range(1, 5)), 3.0),
            make_call("c4", "/get/", 503, b"", 4.0),
            make_call("c5", "/do/", 200, make_body("c5", b"x"), 50.0),
        ],
        runs=[
            make_run("c1", "t1", 1.0, 10),
            make_run("c3", "t1", 3.0, 10),
            # A repeatable request may run twice and be refused afterwards.
            make_run("c4", "t1", 4.0),
            make_run("c4", "t2", 4.1),
            make_run("c5", "t1", 50.0),
        ],
        writes=[
            ConfigurationWrite(1, contents[0], 0.0, 0.1, 200),
            ConfigurationWrite(2, contents[1], 5.0, 5.1, 200),
        ],
        reads=[
            ConfigurationRead("k1", 4.0, contents[0]),
            ConfigurationRead("k2", 20.0, contents[1]),
            ConfigurationRead("k3", 21.0, None),
        ],
        drains=[DrainInterval("t2", 3.0, 30.0)],
        limits=[TokenLimit("w", 8.0, 100.0)],
        recovered_s=45.0,
    )


def _arrive(record: SoakRecord, at_s: float, **fields: object) -> None:
    """Record a call that reached a target, whether or not it ran there."""
    request = f"a{len(record.arrivals)}"
    record.calls.append(make_call(request, "/get/", 503, b"", at_s))
    record.arrivals.append(Arrival(request, "t9", at_s, **fields))  # type: ignore[arg-type]


def _rest(record: SoakRecord, arrivals: int) -> None:
    _arrive(record, 10.0, backoff_s=3.0)
    for number in range(arrivals):
        _arrive(record, 11.0 + 0.1 * number)


def _leave(record: SoakRecord, born_ms: int) -> None:
    _arrive(record, 10.0, is_leaving=True)
    _arrive(record, 15.0, born_ms=born_ms)


def _limit(record: SoakRecord, arrivals: int, knows: bool = True, limit: str = "1") -> None:
    """Record a limit of 1 request a second, and requests within 3 s of it."""
    _arrive(record, 10.0, limit="1")
    teller = record.calls[-1]
    if not knows:
        record.calls[-1] = replace(teller, gateway="gateway-2")
    record.limit_notices.append(LimitNotice(teller.request, "t9", 10.0, "1"))
    for number in range(arrivals):
        _arrive(record, 11.5 + 0.2 * number, limit=limit)


def _cut(record: SoakRecord, began_s: float, served_elsewhere: bool = True) -> None:
    """Record a cut from 10 to 20 s, with calls at both gateways that begin at `began_s`."""
    record.gateway_cuts.append(GatewayCut(frozenset({"gateway-2"}), 10.0, 20.0))
    for number in range(20):
        refused = make_call(f"cut-{number}", "/get/", 503, b"", began_s)
        record.calls.append(replace(refused, gateway="gateway-2"))
        other = f"other-{number}"
        status = 200 if served_elsewhere else 503
        record.calls.append(make_call(other, "/get/", status, make_body(other, b"x"), began_s))


def _resume(record: SoakRecord, **fields: object) -> None:
    """Record a stream that is resumed once."""
    first = StreamTry("gateway-1", 0, 10.0, 200, versions=["v1"])
    resumed = StreamTry("gateway-2", 1, 11.0, 200, versions=["v1"], is_whole=True)
    record.streams.append(Stream("v", [first, replace(resumed, **fields)], 2, "v-0"))  # type: ignore[arg-type]


@when("it is altered to contain {fault}")
def doctor(context: Context, fault: str) -> None:
    record = context.record
    match fault:
        case "a stream of two versions":
            _resume(record, versions=["v2"])
        case "a resumed stream with a gap":
            _resume(record)
            record.streams[-1].has_gap = True
        case "a resumed stream that ran and was refused as not run":
            _resume(record, status=503, code=3016, run="no")
            record.runs.append(make_run("v-1", "t1", 11.0))
        case "a second run of a command":
            record.runs.append(make_run("c1", "t2", 1.2))
        case "a run that nobody sent":
            record.runs.append(make_run("ghost", "t1", 1.2))
        case "a refusal of what ran":
            record.runs.append(make_run("c2", "t1", 2.5))
        case "an answer to another request":
            record.calls[0] = replace(record.calls[0], body=make_body("c9", b"x"))
        case "a stream without its last event":
            record.calls[2] = replace(record.calls[2], body=_make_stream("c3", range(1, 4)))
        case "a stream with an event twice":
            twice = make_event("c3", 1) + _make_stream("c3", range(1, 5))
            record.calls[2] = replace(record.calls[2], body=twice)
        case "an answer whose bytes are no HTTP":
            record.calls[2] = replace(record.calls[2], status=0, is_malformed=True)
        case "a run at a leaving target":
            record.calls.append(make_call("c6", "/get/", 200, make_body("c6", b"x"), 9.0))
            record.runs.append(make_run("c6", "t2", 9.0))
        case "a limit that is passed":
            record.runs = [replace(run, tokens=60) for run in record.runs]
        case "a configuration that went back":
            record.reads.append(ConfigurationRead("k1", 30.0, b"one"))
        case "a content that nobody sent":
            record.reads.append(ConfigurationRead("k1", 30.0, b"three"))
        case "calls that fail after the faults":
            record.calls[4] = replace(record.calls[4], status=502, body=b"")
        case "no calls after the faults":
            del record.calls[4], record.runs[4]
        case "a workspace that is refused below its limit":
            refused = make_call("c6", "/get/", 429, b"", 48.0)
            record.calls.append(refused)
            record.modest_calls.add(refused.request)
            record.faults_ended_s = 40.0
        case "a process that ended by itself":
            record.unexpected_exits.append("gateway-1 with 1")
        case "three runs within a rest":
            _rest(record, arrivals=3)
        case "two runs within a rest":
            _rest(record, arrivals=2)
        case "three runs within a rest over a restart":
            _rest(record, arrivals=3)
            record.disruptions.append(Disruption("gateway-1", 10.5, 11.0))
        case "a run after a target said it leaves":
            _leave(record, born_ms=0)
        case "a run at a new life of a target that left":
            _leave(record, born_ms=5)
        case "twelve runs at a target that takes one a second":
            _limit(record, arrivals=12)
        case "eleven runs at a target that takes one a second":
            _limit(record, arrivals=11)
        case "twelve runs at such a target by a gateway that did not know":
            _limit(record, arrivals=12, knows=False)
        case "twelve runs at such a target over a restart of the gateway":
            _limit(record, arrivals=12)
            record.disruptions.append(Disruption("gateway-1", 12.0, 12.5))
        case "twelve runs at a target that names its limit no longer":
            _limit(record, arrivals=12, limit="")
        case "a part that goes on to crash targets":
            _crash_on_part(record)
        case "a part that goes on to crash targets over a restart":
            _crash_on_part(record)
            record.disruptions.append(Disruption("scheduler-1", 8.0, 9.5))
        case "callers refused at a cut gateway":
            _cut(record, 14.0)
        case "callers refused at a cut gateway in its first seconds":
            _cut(record, 12.0)
        case "callers refused at all gateways during a cut":
            _cut(record, 14.0, served_elsewhere=False)
        case "callers refused at a cut gateway while the others are frozen":
            _cut(record, 14.0)
            record.disruptions.append(Disruption("gateway-1", 14.05, 15.0))
        case _:
            raise AssertionError(fault)


def _crash_on_part(record: SoakRecord) -> None:
    """Add five crashes within a second, and four arrivals long after them."""
    for number in range(5):
        event = PartEvent(CRASHING_PART, f"engine-{number}", 1.0 + 0.2 * number)
        record.crash_parts.crashes.append(event)
    for number in range(4):
        event = PartEvent(CRASHING_PART, "engine-0", 10.0 + 0.1 * number)
        record.crash_parts.arrivals.append(event)


@then("the checker names {words}")
def check_caught(context: Context, words: str) -> None:
    found = check_record(context.record)
    assert any(words in line for line in found), found


@then("the checker finds nothing")
def check_sound(context: Context) -> None:
    found = check_record(context.record)
    assert not found, found[:5]


@when("a target is drained for {first_s:g} s, and {later_s:g} s later for {second_s:g} s")
def drain_twice(context: Context, first_s: float, later_s: float, second_s: float) -> None:
    target = context.target = StandInTarget("t1", "work", born_ms=1)

    async def play() -> None:
        drains: list[asyncio.Task[None]] = []
        for length_s in (first_s, second_s):
            event = SoakEvent(0.0, EventKind.TARGET_DRAIN, length_s - EXTRA_DRAIN_S, 0, 0)
            drains.append(asyncio.create_task(inject_target_fault(target, event, SoakRecord())))
            await asyncio.wait(drains, timeout=later_s)
        await drains[0]
        await asyncio.wait([drains[1]], timeout=later_s)
        context.is_draining, context.born_ms = target.is_draining, target.born_ms
        await drains[1]

    asyncio.run(play())


@then("it is listed as draining at {at_s:g} s, and as ready in a new incarnation after {end_s:g} s")
def check_drained(context: Context, at_s: float, end_s: float) -> None:
    assert context.is_draining and context.born_ms == 1, f"listed as ready at {at_s} s"
    assert not context.target.is_draining and context.target.born_ms > 1


@then("seed {seed:d} draws one plan twice and seed {other:d} another")
def check_plan(context: Context, seed: int, other: int) -> None:
    assert generate_events(seed, 30.0, 1.0) == generate_events(seed, 30.0, 1.0)
    assert generate_events(seed, 30.0, 1.0) != generate_events(other, 30.0, 1.0)


@when("seed {seed:d} is soaked for {length_s:d} s")
def soak(context: Context, seed: int, length_s: int) -> None:
    plan = SoakPlan(seed, float(length_s), gateways=2, subnet=next_subnet(context))
    context.record = asyncio.run(Soak(plan, make_folder(context)).run())


@when("seed {seed:d} is soaked for {length_s:d} s with cuts")
def soak_cuts(context: Context, seed: int, length_s: int) -> None:
    plan = SoakPlan(seed, float(length_s), gateways=3, subnet=next_subnet(context), cuts=True)
    context.record = asyncio.run(Soak(plan, make_folder(context)).run())
    assert context.record.gateway_cuts


@when("seed {seed:d} is soaked for {length_s:d} s with losses")
def soak_losses(context: Context, seed: int, length_s: int) -> None:
    plan = SoakPlan(seed, float(length_s), gateways=4, subnet=next_subnet(context), losses=True)
    context.record = asyncio.run(Soak(plan, make_folder(context)).run())
    assert context.record.modest_calls


@when("seed {seed:d} is soaked for {length_s:d} s with crashing parts")
def soak_parts(context: Context, seed: int, length_s: int) -> None:
    plan = SoakPlan(
        seed, float(length_s), gateways=3, subnet=next_subnet(context), crashing_parts=True
    )
    context.record = asyncio.run(Soak(plan, make_folder(context)).run())
    assert context.record.crash_parts.crashes


@when("seed {seed:d} is soaked for {length_s:d} s with two versions")
def soak_versions(context: Context, seed: int, length_s: int) -> None:
    plan = SoakPlan(seed, float(length_s), gateways=3, subnet=next_subnet(context), versions=True)
    context.record = asyncio.run(Soak(plan, make_folder(context)).run())
    streams = context.record.streams
    assert any(one.first_event for stream in streams for one in stream.tries), len(streams)


@when("seed {seed:d} is soaked for {length_s:d} s with rollouts")
def soak_rollouts(context: Context, seed: int, length_s: int) -> None:
    plan = SoakPlan(seed, float(length_s), gateways=2, subnet=next_subnet(context), rollouts=True)
    context.record = asyncio.run(Soak(plan, make_folder(context)).run())
    assert context.record.rollouts


@then("most calls were served")
def check_served(context: Context) -> None:
    calls = context.record.calls
    assert len(calls) > 100, len(calls)
    served = sum(call.status == 200 for call in calls)
    assert served > 0.5 * len(calls), f"{served} of {len(calls)}"
