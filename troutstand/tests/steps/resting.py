"""Call routed sites whose targets ask for a backoff."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.arrivals import find_backoff_violations, find_late_sends
from troutstand.testing.routedscene import Scene
from troutstand.testing.standins import Fault
from troutstand.tests.environment import make_folder, next_subnet
from troutstand.tests.steps.routed import find_deciding

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.arrivals import Arrival
    from troutstand.testing.routedcaller import CallResult
    from troutstand.testing.standins import StandInTarget


@given(
    "a routed site with {engines:d} engines and {plain:d} plain targets that work for {work_s:g} s"
)
def open_slow_site(context: Context, engines: int, plain: int, work_s: float) -> None:
    open_site(context, engines, plain)
    for target in context.scene.targets:
        target.work_s = work_s


@given("a routed site with {engines:d} engines and {plain:d} plain targets")
def open_site(context: Context, engines: int, plain: int) -> None:
    open_scene(context, Scene(make_folder(context), engines=engines, plain=plain))


def open_scene(context: Context, scene: Scene) -> None:
    """Start a site and wait until its gateways use one scheduler."""
    context.scene = scene
    context.sites.append(scene)
    scene.open(next_subnet(context))
    scene.background.run(find_deciding(scene))
    context.calls = []


def list_some(context: Context, count: int, kind: str) -> list[StandInTarget]:
    service = "engine" if kind == "engines" else "work"
    return [t for t in context.scene.targets if t.service == service][:count]


@when("{count:d} {kind} reject requests and ask for a backoff of {rest_s:g} s")
def ask_for_rest(context: Context, count: int, kind: str, rest_s: float) -> None:
    for target in list_some(context, count, kind):
        target.backoff_s = rest_s
        target.fault = Fault.SHED


@when("{count:d} {kind} announce in their answers that they are draining")
def tell_leaving(context: Context, count: int, kind: str) -> None:
    for target in list_some(context, count, kind):
        target.is_leaving = True


@when("for {length_s:g} s {rate:d} calls a second of {route} are made")
def call_for(context: Context, length_s: float, rate: int, route: str) -> None:
    scene = context.scene

    async def call() -> list[CallResult]:
        gateways = itertools.cycle(scene.site.list_role(RoutingRole.gateway))
        calls: list[asyncio.Task[CallResult]] = []
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            body = f"body {len(context.calls) + len(calls)}".encode()
            calls.append(asyncio.create_task(scene.caller.call(next(gateways), route, body)))
            # The interval between calls; nothing is waited for.
            await asyncio.sleep(1.0 / rate)
        return await asyncio.gather(*calls)

    context.calls += scene.background.run(call())


def list_arrivals(context: Context) -> list[Arrival]:
    return [arrival for target in context.scene.targets for arrival in target.arrivals]


def index_results(context: Context) -> dict[str, CallResult]:
    return {result.request: result for result in context.scene.caller.results}


@then("no gateway sent more than {most:d} requests within a backoff")
def check_rests(context: Context, most: int) -> None:
    arrivals = list_arrivals(context)
    assert any(arrival.backoff_s for arrival in arrivals), "no target asked for rest"
    crowded = find_backoff_violations(arrivals, index_results(context), most)
    turned_away = sum(1 for arrival in arrivals if arrival.backoff_s)
    assert not crowded, f"{turned_away} turned away, {len(crowded)} rests: {crowded[:4]}"


@then(
    "no request was sent later than {allowed_s:g} s after its gateway had heard "
    "that a target leaves"
)
def check_left(context: Context, allowed_s: float) -> None:
    arrivals = list_arrivals(context)
    assert any(arrival.is_leaving for arrival in arrivals), "no target said that it leaves"
    late = find_late_sends(arrivals, index_results(context), allowed_s)
    assert not late, f"{len(late)} late arrivals: {late[:4]}"


@then("at least {share:g} of these calls are answered")
def check_answered(context: Context, share: float) -> None:
    answered = sum(1 for result in context.calls if result.status == 200)
    assert answered >= share * len(context.calls), f"{answered} of {len(context.calls)}"
