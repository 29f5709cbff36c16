"""Send a body that crashes its targets, beside valid ones."""

from __future__ import annotations

import asyncio
import itertools
import json
import re
import time
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.codes import ResultCode
from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import wait_until
from troutstand.tests.environment import make_folder, next_subnet
from troutstand.tests.steps.routed import find_deciding, kill_all_schedulers

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.routedcaller import CallResult
    from troutstand.testing.routedsite import HostProcess

DEADLY = b"deadly"
_QUARANTINED = int(ResultCode.REQUEST_QUARANTINED)
_QUARANTINED_STATUS = 503
_MOST_CALLS = 6
_ROUTE = "/stream/resume/"
# A route with two attempts, so that neither call alone ends three targets.
_TWICE = "/stream/resume-once/"
_SOUND_BODIES = 20
# Rank of the crash after which the body must be refused.
_THIRD = 2


def _open_deadly(context: Context, scene: Scene) -> None:
    """Start a site whose targets crash on one body, and wait for one scheduler."""
    context.scene = scene
    context.sites.append(scene)
    scene.open(next_subnet(context))
    for target in scene.targets:
        target.crash_body = DEADLY
    scene.background.run(find_deciding(scene))


@given("a routed site with {engines:d} engines that one body ends")
def open_engines(context: Context, engines: int) -> None:
    _open_deadly(context, Scene(make_folder(context), engines=engines))


@given("a routed site with {targets:d} plain targets that one body ends")
def open_plain(context: Context, targets: int) -> None:
    _open_deadly(context, Scene(make_folder(context), plain=targets))


@when("the deadly body is called once at each gateway")
def call_each(context: Context) -> None:
    scene = context.scene

    async def call() -> list[str]:
        gateways = scene.site.list_role(RoutingRole.gateway)
        return [(await scene.caller.call(g, _TWICE, DEADLY)).request for g in gateways]

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


# Repeated requests with the same body


async def _call_each(scene: Scene, body_of: itertools.cycle[bytes], period_s: float, end_s: float):
    """Send calls at a steady rate to the gateways in turn, and return the results."""
    gateways = itertools.cycle(scene.site.list_role(RoutingRole.gateway))
    calls: list[asyncio.Task[CallResult]] = []
    while time.monotonic() < end_s:
        calls.append(asyncio.create_task(scene.caller.call(next(gateways), _ROUTE, next(body_of))))
        # The interval between calls; nothing is waited for.
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
    crash_times_s = sorted(at_s for target in targets for at_s in target.crash_times_s)
    assert len(crash_times_s) > _THIRD, crash_times_s
    end_s = crash_times_s[_THIRD] + after_s
    late = [at_s for target in targets for at_s in target.crash_body_received_s if at_s > end_s]
    assert len(late) <= most, f"{len(late)} late arrivals, {len(crash_times_s)} targets ended"


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


# Spread of the quarantine


def _call_many(scene: Scene, gateways: list[HostProcess], route: str) -> list[CallResult]:
    async def call() -> list[CallResult]:
        return [await scene.caller.call(gateway, route, DEADLY) for gateway in gateways]

    return scene.background.run(call())


def _is_quarantined(result: CallResult) -> bool:
    return result.status == _QUARANTINED_STATUS and f"{_QUARANTINED}".encode() in result.body


def _list_gateways(scene: Scene) -> list[HostProcess]:
    return scene.site.list_role(RoutingRole.gateway)


@when("the deadly body is called until it is refused with {code:d}")
def call_until_refused(context: Context, code: int) -> None:
    scene = context.scene
    for _ in range(_MOST_CALLS):
        if all(_is_quarantined(r) for r in _call_many(scene, _list_gateways(scene), _ROUTE)):
            return
    raise AssertionError(f"not refused within {_MOST_CALLS} calls")


@when("the deciding scheduler is killed and the gateways ask another")
def kill_deciding(context: Context) -> None:
    scene = context.scene

    async def kill() -> str:
        name = await find_deciding(scene)
        scene.site.kill(name)

        async def is_left() -> bool:
            return await find_deciding(scene) != name

        await wait_until(is_left, f"{name} is left")
        return name

    context.killed = scene.background.run(kill())


@when("the scheduler that was killed starts again and the other is killed")
def swap_schedulers(context: Context) -> None:
    scene = context.scene
    scene.site.start(context.killed)
    log = scene.site.processes[context.killed].log
    before = len(log.read_text())

    async def has_list() -> bool:
        return "event=targets_changed" in log.read_text()[before:]

    scene.background.run(wait_until(has_list, "the scheduler has read the list"))
    kill_deciding(context)


@when("all schedulers are killed and the gateways decide alone")
def go_alone(context: Context) -> None:
    scene = context.scene
    scene.background.run(kill_all_schedulers(scene))


@then("the deadly body is refused with {code:d} at each gateway and reaches no target")
def check_refused(context: Context, code: int) -> None:
    scene = context.scene
    before = sum(len(target.crash_body_received_s) for target in scene.targets)
    results = _call_many(scene, _list_gateways(scene), _ROUTE)
    assert all(_is_quarantined(result) for result in results), results
    assert sum(len(target.crash_body_received_s) for target in scene.targets) == before


@when("the deadly body is called {count:d} times at one gateway")
def call_one(context: Context, count: int) -> None:
    gateway = _list_gateways(context.scene)[0]
    _call_many(context.scene, [gateway] * count, _ROUTE)


@when("the deadly body is called {count:d} times as {route}")
def call_route(context: Context, count: int, route: str) -> None:
    gateways = _list_gateways(context.scene)
    _call_many(context.scene, (gateways * count)[:count], route)


def _list_crash_lines(scene: Scene) -> list[str]:
    """Return the log lines that tell how ends of targets were detected."""
    events = ("event=attempt_failed", "event=request_blamed", "event=scheduler_changed")
    return [line for line in scene.site.read_logs().splitlines() if any(e in line for e in events)]


@then("{count:d} targets have ended")
def check_ended(context: Context, count: int) -> None:
    ended = sum(len(target.crash_times_s) for target in context.scene.targets)
    assert ended == count, (ended, _list_crash_lines(context.scene))


@when("a call of {route} has a deadline of {deadline_s:g} s")
def call_short(context: Context, route: str, deadline_s: float) -> None:
    scene = context.scene
    gateway = _list_gateways(scene)[0]
    scene.background.run(scene.caller.call(gateway, route, b"x", deadline_s=deadline_s))


@then("the caller is told {status:d} and that it may have run")
def check_may_have_run(context: Context, status: int) -> None:
    result = context.scene.caller.results[-1]
    assert result.status == status, result
    assert json.loads(result.body)["run"] == "unknown", result
