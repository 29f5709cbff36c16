"""Let targets of a failure domain announce rate limits and shutdowns."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.core.clock import HybridClock
from troutstand.daemon.placement import Placement
from troutstand.generated.messages import RunningReport, TargetNotice, TargetNotices
from troutstand.generated.table import Target
from troutstand.testing.engine import EngineRecord, Fault
from troutstand.testing.service import ServiceRecord
from troutstand.testing.site import SitePlan
from troutstand.tests.environment import start_site
from troutstand.tests.steps.domainrests import PROCESS
from troutstand.tests.steps.scheduler import Driver
from troutstand.tests.steps.serving import list_engines, set_fault
from troutstand.util.events import EventBus

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.core.ids import ProcessId
    from troutstand.generated.messages import PeerMessage

_WINDOW_S = 4.0
_SETTLED_S = 1.0
_STEP_S = 0.05
_WORK_S = 0.05


def _open_site(context: Context, engines: int, some: int, fault: Fault) -> None:
    context.site = start_site(context, SitePlan(engine_speeds=(1.0,) * engines))
    context.site.find_scheduler("north")
    context.speaking = list_engines(context.site)[:some]
    for engine in context.speaking:
        set_fault(context.site, engine, fault)


@given("a site of {engines:d} engines of which {some:d} names a limit of {limit} requests a second")
def open_limited(context: Context, engines: int, some: int, limit: str) -> None:
    _open_site(context, engines, some, Fault(limit=limit))


@given(
    "a site of {engines:d} engines of which {some:d} turns requests away for {rest_s:g} s "
    "and names a limit of {limit}"
)
def open_refusing(context: Context, engines: int, some: int, rest_s: float, limit: str) -> None:
    _open_site(context, engines, some, Fault(rest_s=rest_s, limit=limit))


@given("a site of {engines:d} engines of which {some:d} says that it leaves")
def open_leaving(context: Context, engines: int, some: int) -> None:
    _open_site(context, engines, some, Fault(tells_leaving=True))


@given("a site whose first service worker names a limit of {limit} requests a second")
def open_services(context: Context, limit: str) -> None:
    context.site = start_site(context, SitePlan(services=3, service_limit=limit))
    context.site.find_scheduler("north")


def _read_engine(context: Context, event: str) -> list[float]:
    path = context.site.folder / f"{context.speaking[0]}.records"
    records = [msgspec.json.decode(li, type=EngineRecord) for li in path.read_bytes().splitlines()]
    return [record.at_s for record in records if record.event == event]


def _check_windows(times: list[float], most: int) -> None:
    assert times, "nothing came to the target"
    late = [at_s for at_s in times if at_s > times[0] + _SETTLED_S]
    windows = [bisect_left(late, at_s + _WINDOW_S) - n for n, at_s in enumerate(late)]
    assert max(windows, default=0) <= most, f"{max(windows)} of {len(times)} within {_WINDOW_S} s"


@then("that engine got at most {most:d} requests within 4 s later than 1 s after its first")
def check_engine(context: Context, most: int) -> None:
    _check_windows(_read_engine(context, "started"), most)


@then("that engine turned at most {most:d} requests away within 4 s later than 1 s after its first")
def check_refusing(context: Context, most: int) -> None:
    _check_windows(_read_engine(context, "turned_away"), most)


@then("that engine got nothing later than 1 s after its first")
def check_left(context: Context) -> None:
    _check_windows(_read_engine(context, "started"), 0)


@then("that worker got at most {most:d} calls within 4 s later than 1 s after its first")
def check_worker(context: Context, most: int) -> None:
    path = context.site.folder / "north-service-0.records"
    records = [msgspec.json.decode(li, type=ServiceRecord) for li in path.read_bytes().splitlines()]
    _check_windows([record.at_s for record in records], most)


# Decisions on a virtual clock


def _name_first(context: Context) -> str:
    return min(context.driver.scheduler.targets)


def _tell(context: Context, **said: object) -> None:
    driver = context.driver
    context.said = TargetNotice(_name_first(context), **said)  # type: ignore[arg-type]
    notices = TargetNotices([context.said])
    driver.take(driver.scheduler.apply_notices(notices, driver.now_s))


@when("the first target names a limit of {limit_per_s:g} a second")
def name_limit(context: Context, limit_per_s: float) -> None:
    _tell(context, limit_per_s=limit_per_s)


@when("the first target names no limit any more")
def end_limit(context: Context) -> None:
    context.said = None


@when("the first target says that it leaves")
def tell_leaving(context: Context) -> None:
    _tell(context, is_leaving=True)


@when(
    "an entry process that heard of a limit of {limit_per_s:g} a second reports "
    "to another scheduler"
)
def report_limit(context: Context, limit_per_s: float) -> None:
    sent: list[PeerMessage] = []

    def deliver(_: ProcessId, message: PeerMessage) -> bool:
        sent.append(message)
        return True

    placement = Placement(PROCESS, EventBus(PROCESS, HybridClock(lambda: 0)), deliver)
    context.said = TargetNotice(_name_first(context), limit_per_s=limit_per_s)
    placement.handle_notice("r-1", context.said, 0.0)
    placement.switch_scheduler(PROCESS)
    context.driver = Driver(context.rows)
    report = next(message for message in sent if isinstance(message, RunningReport))
    context.driver.take(context.driver.scheduler.apply_report(report, context.driver.now_s))


@when("{count:d} short requests come within {length_s:g} s")
def come(context: Context, count: int, length_s: float) -> None:
    """Submit requests that take 0.05 s; the first target's answers say what it last said."""
    driver, first = context.driver, _name_first(context)
    context.got = []
    steps = round(length_s / _STEP_S)
    ends: list[tuple[float, str]] = []
    submitted = 0
    for step in range(steps + 1):
        while submitted < count * step / steps:
            submitted += 1
            context.submitted += 1
            driver.submit(f"r-{context.submitted}", 0)
        for _, name in [end for end in ends if end[0] <= driver.now_s + 1e-9]:
            if driver.granted[name] == first and context.said is not None:
                notices = TargetNotices([context.said])
                driver.take(driver.scheduler.apply_notices(notices, driver.now_s))
            driver.finish(name)
        known = {name for _, name in ends}
        for name, target in driver.granted.items():
            if name not in known:
                ends.append((driver.now_s + _WORK_S, name))
                context.got.append(target)
        ends = [end for end in ends if end[1] in driver.granted]
        driver.advance(_STEP_S)


@then("the first target got {least:d} to {most:d} of them")
def check_got(context: Context, least: int, most: int) -> None:
    count = context.got.count(_name_first(context))
    assert least <= count <= most, f"{count} of {len(context.got)}"


@then(
    "a request that waits for {wait_s:g} s at most is shed at once with {code:d} "
    "and comes back after {retry_s:g} s, spread up to twice as long"
)
def check_shed(context: Context, wait_s: float, code: int, retry_s: float) -> None:
    driver = context.driver
    driver.submit("r-late", 0, wait_ms=int(wait_s * 1000))
    shed = driver.shed["r-late"]
    assert shed.code == code, shed
    assert retry_s <= shed.retry_after_ms / 1000 <= 2.0 * retry_s, shed


@when("{length_s:g} s pass by, in which it does not say so again")
def pass_time(context: Context, length_s: float) -> None:
    context.said = None
    context.driver.advance(length_s)


@when("the list shows it as leaving, and then no more")
def list_leaving(context: Context) -> None:
    context.said = None
    scheduler = context.driver.scheduler
    scheduler.update_leaving(frozenset({_name_first(context)}))
    scheduler.update_leaving(frozenset())


@when("the table gives it another address")
def move_target(context: Context) -> None:
    context.said = None
    first = _name_first(context)
    rows = [
        msgspec.structs.replace(row, url="http://127.0.0.1:9") if row.name == first else row
        for row in context.rows
        if hasattr(row, "url")
    ]
    context.driver.set_rows(rows)


@when("{count:d} requests wait")
def let_wait(context: Context, count: int) -> None:
    for _ in range(count):
        context.submitted += 1
        context.driver.submit(f"r-{context.submitted}", 0)


def _expect_wait(driver: Driver) -> float:
    """Return the wait that the last request of a queue is expected to have, in seconds."""
    scheduler = driver.scheduler
    last = max(scheduler._waiting.values(), key=lambda waiting: waiting.submitted_s)
    return scheduler._estimate_wait_s(last, driver.now_s)


@then("the wait that a scheduler of the other target alone expects is expected here")
def check_wait(context: Context) -> None:
    first = _name_first(context)
    rows = [row for row in context.rows if not isinstance(row, Target) or row.name != first]
    alone = Driver(rows)
    for number in range(context.submitted):
        alone.submit(f"r-{number}", 0)
    expected, found = _expect_wait(alone), _expect_wait(context.driver)
    assert abs(found - expected) <= 0.1 * expected, (found, expected)
