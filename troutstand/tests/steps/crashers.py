"""Run a body that ends the targets which run it, beside sound ones."""

from __future__ import annotations

import asyncio
import itertools
import re
import time
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import wait_until
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.routedcaller import CallResult

DEADLY = b"deadly"
_ROUTE = "/stream/resume/"
_SOUND_BODIES = 20
# The deadly body ends a target for the third time before this rank of its ends.
_THIRD = 2


def open_deadly(context: Context, engines: int) -> Scene:
    """Start a site whose engines end as they run one body."""
    scene = Scene(make_folder(context), engines=engines)
    context.scene = scene
    context.sites.append(scene)
    scene.open(next_subnet(context))
    for target in scene.targets:
        target.deadly_body = DEADLY
    return scene


@given("a routed site with {engines:d} engines that one body ends")
def open_site(context: Context, engines: int) -> None:
    open_deadly(context, engines)


@when("the deadly body is called once at each gateway")
def call_each(context: Context) -> None:
    scene = context.scene

    async def call() -> list[str]:
        gateways = scene.site.list_role(RoutingRole.gateway)
        return [(await scene.caller.call(g, _ROUTE, DEADLY)).request for g in gateways]

    context.requests = scene.background.run(call())


@when("{count:d} calls of {route} with bodies of their own are made")
def call_own(context: Context, count: int, route: str) -> None:
    scene = context.scene
    gateway = scene.site.list_role(RoutingRole.gateway)[0]

    async def call() -> list[str]:
        bodies = [f"body {number}".encode() for number in range(count)]
        return [(await scene.caller.call(gateway, route, body)).request for body in bodies]

    context.requests = scene.background.run(call())


def _read_failed(scene: Scene, requests: list[str]) -> list[dict[str, str]]:
    """Return the fields of the failed attempts of some requests."""
    lines = scene.site.read_logs().splitlines()
    found = [dict(re.findall(r"(\w+)=(\S+)", li)) for li in lines if "event=attempt_failed" in li]
    return [fields for fields in found if fields["request"] in requests]


def _wait_ended(scene: Scene, requests: list[str]) -> None:
    """Wait until the last line of each request is written."""

    async def is_written() -> bool:
        text = scene.site.read_logs()
        ends = r"event=(request_answered|request_refused|stream_broken_off) request={} "
        return all(re.search(ends.format(request), text) for request in requests)

    scene.background.run(wait_until(is_written, "the calls' ends are logged"))


@then("the logs name one fingerprint for both calls, and their targets as gone")
def check_gone(context: Context) -> None:
    _wait_ended(context.scene, context.requests)
    failed = _read_failed(context.scene, context.requests)
    assert len({fields["request"] for fields in failed}) == 2, failed
    assert len({fields["fingerprint"] for fields in failed}) == 1, failed
    broken = [fields for fields in failed if fields["ending"] == "broken"]
    assert len(broken) >= 2, failed
    assert all(fields["target_gone"] == "True" for fields in broken), broken


@then("the logs name a fingerprint for each call, and no target as gone")
def check_cut(context: Context) -> None:
    _wait_ended(context.scene, context.requests)
    failed = _read_failed(context.scene, context.requests)
    assert failed
    calls = {fields["request"] for fields in failed}
    assert len({fields["fingerprint"] for fields in failed}) == len(calls), failed
    assert all(fields["target_gone"] == "False" for fields in failed), failed


# The same body, again and again


async def _call_each(scene: Scene, body_of: itertools.cycle[bytes], period_s: float, end_s: float):
    """Call at a steady pace, at the gateways in turn, and return what came of each call."""
    gateways = itertools.cycle(scene.site.list_role(RoutingRole.gateway))
    calls: list[asyncio.Task[CallResult]] = []
    while time.monotonic() < end_s:
        calls.append(asyncio.create_task(scene.caller.call(next(gateways), _ROUTE, next(body_of))))
        # The pace of the callers, no wait for anything.
        await asyncio.sleep(period_s)
    return await asyncio.gather(*calls)


def _list_sound() -> list[bytes]:
    return [f"sound {number}".encode() for number in range(_SOUND_BODIES)]


@when(
    "for {length_s:g} s that body is called each {period_s:g} s beside {rate:d} sound ones a second"
)
def call_beside(context: Context, length_s: float, period_s: float, rate: int) -> None:
    scene = context.scene

    async def call() -> list[CallResult]:
        end_s = time.monotonic() + length_s
        deadly = _call_each(scene, itertools.cycle([DEADLY]), period_s, end_s)
        sound = _call_each(scene, itertools.cycle(_list_sound()), 1.0 / rate, end_s)
        return (await asyncio.gather(deadly, sound))[1]

    context.sound = scene.background.run(call())


@then("at most {most:d} of its arrivals come later than {after_s:g} s after its third target ended")
def check_arrivals(context: Context, most: int, after_s: float) -> None:
    targets = context.scene.targets
    crashed_s = sorted(at_s for target in targets for at_s in target.crashed_s)
    assert len(crashed_s) > _THIRD, crashed_s
    end_s = crashed_s[_THIRD] + after_s
    late = [at_s for target in targets for at_s in target.deadly_s if at_s > end_s]
    assert len(late) <= most, f"{len(late)} late arrivals, {len(crashed_s)} targets ended"


@then("at least {share:g} of the sound calls are answered")
def check_sound(context: Context, share: float) -> None:
    answered = sum(1 for result in context.sound if result.status == 200)
    assert answered >= share * len(context.sound), f"{answered} of {len(context.sound)}"


@then("the sound bodies that stood beside it are answered afterwards")
def check_afterwards(context: Context) -> None:
    scene = context.scene

    async def call() -> list[CallResult]:
        gateway = scene.site.list_role(RoutingRole.gateway)[0]
        return [await scene.caller.call(gateway, _ROUTE, body) for body in _list_sound()]

    results = scene.background.run(call())
    assert all(result.status == 200 for result in results), results
