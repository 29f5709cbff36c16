"""Let targets of a failure domain ask for a backoff."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.control.client import fetch
from troutstand.core.clock import HybridClock
from troutstand.core.ids import ProcessId
from troutstand.daemon.placement import Placement
from troutstand.generated.messages import RunningReport, TargetNotice, TargetNotices
from troutstand.testing.engine import EngineRecord, Fault
from troutstand.testing.service import ServiceRecord
from troutstand.testing.site import LOOKUP, Site, SitePlan
from troutstand.tests.environment import start_site
from troutstand.tests.steps.callers import make_chat
from troutstand.tests.steps.scheduler import Driver
from troutstand.tests.steps.serving import list_engines, set_fault
from troutstand.util.clock import read_clock_s
from troutstand.util.events import EventBus

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from troutstand.control.client import HttpResponse
    from troutstand.generated.messages import PeerMessage

_TOKEN = "token-counter"
_CALLERS = 8
PROCESS = ProcessId("north-0.entry")


@given(
    "a site of {engines:d} engines of which {resting:d} turns requests away "
    "and asks for {rest_s:g} s of rest"
)
def open_engines(context: Context, engines: int, resting: int, rest_s: float) -> None:
    context.site = start_site(context, SitePlan(engine_speeds=(1.0,) * engines))
    context.site.find_scheduler("north")
    context.resting = list_engines(context.site)[:resting]
    for engine in context.resting:
        set_fault(context.site, engine, Fault(rest_s=rest_s))


@given("a site whose first service worker turns calls away and asks for {rest_s:g} s of rest")
def open_services(context: Context, rest_s: float) -> None:
    context.site = start_site(context, SitePlan(services=3, service_backoff_s=rest_s))
    context.site.find_scheduler("north")


def _call_for(
    length_s: float, rate: int, call: Callable[[int], HttpResponse]
) -> list[HttpResponse]:
    """Send calls at a steady rate and return the results."""
    pending = []
    with ThreadPoolExecutor(_CALLERS) as pool:
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            pending.append(pool.submit(call, len(pending)))
            # The interval between calls; nothing is waited for.
            time.sleep(1.0 / rate)
        return [future.result() for future in pending]


def _find_entry(site: Site, number: int):
    return site.callers[site.entries[number % len(site.entries)]]


@when("for {length_s:g} s {rate:d} prompts a second are asked for")
def ask_for(context: Context, length_s: float, rate: int) -> None:
    def ask(number: int) -> HttpResponse:
        body = make_chat(messages=[{"role": "user", "content": f"prompt {number}"}])
        entry = _find_entry(context.site, number)
        return fetch(entry, "POST", "/v1/chat/completions", body, _TOKEN)

    context.answers = _call_for(length_s, rate, ask)


@when("for {length_s:g} s {rate:d} calls a second are made")
def call_for(context: Context, length_s: float, rate: int) -> None:
    def call(number: int) -> HttpResponse:
        entry = _find_entry(context.site, number)
        return fetch(entry, "GET", f"/services/{LOOKUP}/item-{number}", b"", _TOKEN)

    context.answers = _call_for(length_s, rate, call)


def _check_times(times: list[float], most: int) -> None:
    assert times, "nothing came to the target"
    late = [at_s for at_s in times if at_s > times[0] + 0.5]
    assert len(late) <= most, f"{len(late)} of {len(times)} came later"


@then("that engine got at most {most:d} requests later than 0.5 s after its first")
def check_engine(context: Context, most: int) -> None:
    for engine in context.resting:
        lines = (context.site.folder / f"{engine}.records").read_bytes().splitlines()
        records = [msgspec.json.decode(line, type=EngineRecord) for line in lines]
        _check_times([r.at_s for r in records if r.event == "turned_away"], most)


@then("that worker got at most {most:d} calls later than 0.5 s after its first")
def check_worker(context: Context, most: int) -> None:
    lines = (context.site.folder / "north-service-0.records").read_bytes().splitlines()
    _check_times([msgspec.json.decode(li, type=ServiceRecord).at_s for li in lines], most)


@then("every prompt is answered")
def check_prompts(context: Context) -> None:
    check_calls(context, 1.0)


@then("at least {share:g} of the calls are answered with 200")
def check_calls(context: Context, share: float) -> None:
    statuses = [answer.status for answer in context.answers]
    assert statuses.count(200) >= share * len(statuses), statuses


# Decisions on a virtual clock


def _submit(context: Context) -> str:
    context.submitted += 1
    name = f"r-{context.submitted}"
    context.driver.submit(name, 0)
    return name


def _turn_away(context: Context, name: str, rest_s: float) -> None:
    driver = context.driver
    context.turned_away = TargetNotice(driver.granted[name], rest_s=rest_s)
    driver.take(driver.scheduler.apply_notices(TargetNotices([context.turned_away]), driver.now_s))
    driver.finish(name, ok=False)


@when("a request is turned away by a target that asks for {rest_s:g} s of rest")
def turn_away(context: Context, rest_s: float) -> None:
    _turn_away(context, _submit(context), rest_s)


@when(
    "a request is turned away by a target that asks for {rest_s:g} s of rest, "
    "and another one ends whole"
)
def turn_one_away(context: Context, rest_s: float) -> None:
    driver = context.driver
    names = [_submit(context) for _ in range(4)]
    targets = {name: driver.granted[name] for name in names}
    first = names[0]
    beside = next(n for n in names[1:] if targets[n] == targets[first])
    _turn_away(context, first, rest_s)
    driver.finish(beside)
    for name in names[1:]:
        if name in driver.granted:
            driver.finish(name)


@when("an entry process reports to another scheduler")
def report_rests(context: Context) -> None:
    sent: list[PeerMessage] = []

    def deliver(_: ProcessId, message: PeerMessage) -> bool:
        sent.append(message)
        return True

    placement = Placement(PROCESS, EventBus(PROCESS, HybridClock(lambda: 0)), deliver)
    placement.handle_notice("r-1", context.turned_away, read_clock_s())
    placement.switch_scheduler(PROCESS)
    context.driver = Driver(context.rows)
    report = next(message for message in sent if isinstance(message, RunningReport))
    context.driver.take(context.driver.scheduler.apply_report(report, context.driver.now_s))


@then("that target gets nothing for {length_s:g} s, and the other one is full")
def check_left_alone(context: Context, length_s: float) -> None:
    driver = context.driver
    context.waiting = [_submit(context) for _ in range(4)]
    driver.advance(length_s)
    granted = [driver.granted[name] for name in context.waiting if name in driver.granted]
    assert len(granted) == 2, granted
    assert context.turned_away.target not in granted, granted


@then("after {length_s:g} s it gets requests again")
def check_again(context: Context, length_s: float) -> None:
    context.driver.advance(length_s)
    assert context.turned_away.target in context.driver.granted.values()


@then("the next request is shed at once with {code:d}")
def check_shed_now(context: Context, code: int) -> None:
    name = _submit(context)
    assert context.driver.shed[name].code == code, context.driver.shed
