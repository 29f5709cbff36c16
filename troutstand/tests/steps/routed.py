"""Run routed sites of real processes and inject faults."""

from __future__ import annotations

import asyncio
import re
import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import (
    RoutedSite,
    wait_until,
)
from troutstand.testing.standins import Fault, make_event
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.routedcaller import CallResult

_PACE_S = 0.03
# Longer than the stop timeout of any process.
_LONG_S = 30.0
_ANSWERS = 10
# Calls that must end between two faults, so that each fault affects some.
_STAGE_ANSWERS = 30


@given("a routed site")
def open_scene(context: Context) -> None:
    _open(context, Scene(make_folder(context)))


def _open(context: Context, scene: Scene) -> None:
    context.scene = scene
    context.sites.append(scene)
    scene.open(next_subnet(context))


@given(
    "a routed site whose targets work for {work_s:d} s and whose processes "
    "have {stop_s:g} s to stop"
)
def open_patient(context: Context, work_s: int, stop_s: float) -> None:
    _open(context, Scene(make_folder(context), stop_s=stop_s, timeout_ms=1000 * work_s))
    for target in context.scene.targets:
        target.work_s = work_s


@given("a routed site whose engines break streams")
def open_broken(context: Context) -> None:
    open_scene(context)
    for target in context.scene.targets:
        if target.service == "engine":
            target.fault = Fault.CUT_ANSWERS


@then("a call of {route} through each gateway gets {status:d}")
def check_calls(context: Context, route: str, status: int) -> None:
    results = context.scene.call_gateways(route)
    assert [r.status for r in results] == [status] * len(results), results


@then("a call of {route} with an unknown key gets {status:d}")
def check_key(context: Context, route: str, status: int) -> None:
    results = context.scene.call_gateways(route, "stranger")
    assert all(r.status == status for r in results), results


@then("the targets saw the workspace and no key")
def check_workspace(context: Context) -> None:
    runs = [run for target in context.scene.targets for run in target.runs]
    assert runs
    assert all(run.workspace == "one" and not run.has_key for run in runs), runs


# Schedulers


async def _call_while(scene: Scene, route: str, breaking: asyncio.Task[None]) -> None:
    gateways = scene.site.list_role(RoutingRole.gateway)
    calls: list[asyncio.Task[CallResult]] = []
    while not breaking.done():
        for gateway in gateways:
            calls.append(asyncio.create_task(scene.caller.call(gateway, route, b"x")))
        # The interval between calls; nothing is waited for.
        await asyncio.sleep(_PACE_S)
    await breaking
    await asyncio.gather(*calls)


def read_deciders(scene: Scene) -> set[str]:
    """Return the deciders that the gateways' logs name last; empty if none."""
    deciders = set()
    for gateway in scene.site.list_role(RoutingRole.gateway):
        changes = re.findall(r"event=scheduler_changed .*now=(\S+)", gateway.log.read_text())
        deciders.add(changes[-1].partition(":")[0] if changes else "")
    return deciders


async def find_deciding(scene: Scene) -> str:
    """Return the scheduler that all gateways ask, once they agree."""
    names = {s.settings.ip: s.name for s in scene.site.list_role(RoutingRole.scheduler)}

    async def agree() -> bool:
        deciders = read_deciders(scene)
        return len(deciders) == 1 and deciders <= set(names)

    await wait_until(agree, "the gateways ask one scheduler")
    return names[read_deciders(scene).pop()]


async def _wait_left(scene: Scene, name: str) -> None:
    """Wait until no gateway asks a scheduler any more."""
    ip = scene.site.processes[name].settings.ip

    async def is_left() -> bool:
        return ip not in read_deciders(scene)

    await wait_until(is_left, f"{name} is left")


async def _wait_answers(scene: Scene, count: int) -> None:
    """Wait until a number of further calls have ended."""
    most = len(scene.caller.results) + count

    async def has_answers() -> bool:
        return len(scene.caller.results) >= most

    await wait_until(has_answers, f"{count} calls end")


async def _break_scheduler(scene: Scene) -> None:
    name = await find_deciding(scene)
    await _wait_answers(scene, _STAGE_ANSWERS)
    scene.site.send_signal(name, signal.SIGSTOP)
    await _wait_left(scene, name)
    await _wait_answers(scene, _STAGE_ANSWERS)
    scene.site.send_signal(name, signal.SIGCONT)
    await _wait_answers(scene, _STAGE_ANSWERS)
    name = await find_deciding(scene)
    scene.site.kill(name)
    await _wait_left(scene, name)
    await _wait_answers(scene, _STAGE_ANSWERS)


@when("calls of {route} run while the first scheduler is frozen, then killed")
def break_scheduler(context: Context, route: str) -> None:
    scene = context.scene

    async def run() -> None:
        await _call_while(scene, route, asyncio.create_task(_break_scheduler(scene)))

    scene.background.run(run())


@then("no call took longer than {limit_s:d} s and at most {most:d} were not answered with 200")
def check_went_on(context: Context, limit_s: int, most: int) -> None:
    results = context.scene.caller.results
    assert len(results) > 100, len(results)
    slow = [r for r in results if r.duration_s > limit_s]
    failed = [r for r in results if r.status != 200]
    assert not slow, slow[:3]
    assert len(failed) <= most, failed[:5]


async def kill_all_schedulers(scene: Scene) -> float:
    """Kill every scheduler and return the seconds until all gateways decide alone."""
    await find_deciding(scene)
    for scheduler in scene.site.list_role(RoutingRole.scheduler):
        scene.site.kill(scheduler.name)
    began_s = time.monotonic()

    async def are_alone() -> bool:
        return read_deciders(scene) == {"alone"}

    await wait_until(are_alone, "every gateway decides alone")
    return time.monotonic() - began_s


@when("all schedulers are killed at once")
def kill_schedulers(context: Context) -> None:
    context.took_s = context.scene.background.run(kill_all_schedulers(context.scene))


@then("every gateway decides locally within {limit_s:g} s")
def check_alone(context: Context, limit_s: float) -> None:
    assert context.took_s < limit_s, context.took_s


# A planned stop


async def _stop_gateway(scene: Scene) -> None:
    site = scene.site
    await wait_until(lambda: _has_answers(scene), "calls are answered")
    site.send_signal("gateway-1", signal.SIGTERM)
    await wait_until(lambda: _is_gone(site, "gateway-1"), "the gateway ended")


async def _has_answers(scene: Scene) -> bool:
    return len(scene.caller.results) >= _ANSWERS


async def _is_gone(site: RoutedSite, name: str) -> bool:
    return not site.processes[name].is_running


@when("calls on open connections run while a gateway is told to stop")
def stop_gateway(context: Context) -> None:
    scene = context.scene

    async def run() -> None:
        await _call_while(scene, "/do/", asyncio.create_task(_stop_gateway(scene)))

    scene.background.run(run())


@then("every call that it took was answered whole")
def check_stop(context: Context) -> None:
    scene = context.scene
    ran = {run.request for target in scene.targets for run in target.runs}
    cut = [r for r in scene.caller.results if r.status != 200 and r.request in ran]
    assert not cut, cut[:5]


@then("the gateway ended by itself with {code:d}")
def check_exit(context: Context, code: int) -> None:
    child = context.scene.site.processes["gateway-1"].child
    assert child.returncode == code, child.returncode


@dataclass(frozen=True)
class StoppedAmid:
    """Describe a gateway that was stopped during a call, and how long it took to exit."""

    request: str
    took_s: float


async def _stop_busy(scene: Scene) -> StoppedAmid:
    """Stop a gateway during a call."""
    gateway = scene.site.processes["gateway-1"]
    call = asyncio.create_task(scene.caller.call(gateway, "/do/", b"x", deadline_s=_LONG_S))

    async def is_running() -> bool:
        return any(target.runs for target in scene.targets)

    await wait_until(is_running, "the call runs")
    scene.site.send_signal(gateway.name, signal.SIGTERM)
    told_s = time.monotonic()
    result = await call
    await wait_until(lambda: _is_gone(scene.site, gateway.name), "the gateway ended")
    return StoppedAmid(result.request, time.monotonic() - told_s)


@when("a gateway is told to stop while it answers a call")
def stop_busy(context: Context) -> None:
    stopped = context.scene.background.run(_stop_busy(context.scene))
    context.request, context.took_s = stopped.request, stopped.took_s


@then("it ended by itself within {most_s:g} s")
def check_ended_in_time(context: Context, most_s: float) -> None:
    assert context.took_s <= most_s, f"{context.took_s:.2f} s"
    assert context.scene.site.processes["gateway-1"].child.poll() == 0


@then("its log tells of the call as cut, not as left")
def check_cut_logged(context: Context) -> None:
    log = context.scene.site.processes["gateway-1"].log.read_text()
    lines = [line for line in log.splitlines() if f"request={context.request} " in line]
    assert any("event=request_cut" in line for line in lines), lines
    assert not any("event=request_left" in line for line in lines), lines


# Streams


async def _call_many(scene: Scene, route: str, count: int) -> list[CallResult]:
    gateway = scene.site.list_role(RoutingRole.gateway)[0]
    return [await scene.caller.call(gateway, route, b"x") for _ in range(count)]


def _join_events(result: CallResult) -> bytes:
    return b"".join(make_event(result.request, number) for number in range(1, 5))


@then("calls of {route} get every event once")
def check_resumed(context: Context, route: str) -> None:
    results = context.scene.background.run(_call_many(context.scene, route, 12))
    whole = [r for r in results if r.status == 200]
    assert len(whole) >= 6, results
    for result in whole:
        assert result.body == _join_events(result), result


@then("calls of {route} that are cut do not look complete")
def check_cut(context: Context, route: str) -> None:
    results = context.scene.background.run(_call_many(context.scene, route, 12))
    assert any(r.status == 0 for r in results), results
    for result in results:
        assert result.status != 200 or result.body == _join_events(result), result


# Idle connections


async def _rest(scene: Scene, count: int) -> list[float]:
    """Open connections, stop the gateway, and return how long each stayed open."""
    gateway = scene.site.processes["gateway-1"]
    host, _, port = gateway.settings.callers.rpartition(":")
    opened = [await asyncio.open_connection(host, int(port)) for _ in range(count)]
    began_s = time.monotonic()
    # One call keeps the gateway running until the connections are checked.
    for target in scene.targets:
        target.work_s = 1.7
    call = asyncio.create_task(scene.caller.call(gateway, "/do/", b"x"))

    async def is_running() -> bool:
        return any(target.runs for target in scene.targets)

    await wait_until(is_running, "the call runs")
    scene.site.send_signal("gateway-1", signal.SIGTERM)

    async def wait_closed(reader: asyncio.StreamReader) -> float:
        assert await reader.read() == b""
        assert gateway.is_running
        return time.monotonic() - began_s

    times = await asyncio.gather(*(wait_closed(reader) for reader, _ in opened))
    result = await call
    assert result.status == 200, result
    for _, writer in opened:
        writer.close()
    return list(times)


@when("a gateway with {count:d} idle connections is told to stop")
def rest(context: Context, count: int) -> None:
    context.times = context.scene.background.run(_rest(context.scene, count))


@then("each of them is closed within {limit_s:g} s, before the gateway has ended")
def check_rest(context: Context, limit_s: float) -> None:
    assert max(context.times) < limit_s, context.times


# Taking over


async def _drain_and_kill(scene: Scene) -> None:
    # The standby scheduler has just read the list, so that its next read is far off.
    name = await find_deciding(scene)
    standby = next(p.name for p in scene.site.list_role(RoutingRole.scheduler) if p.name != name)
    scene.site.kill(standby)
    log = scene.site.processes[standby].log
    before = len(log.read_text())
    scene.site.start(standby)

    async def has_read() -> bool:
        return "event=targets_changed" in log.read_text()[before:]

    await wait_until(has_read, "the standby scheduler has read the list")
    scene.targets[0].is_draining = True
    scene.site.kill(name)


@when("a target is listed as draining and the first scheduler is killed at once")
def drain_and_kill(context: Context) -> None:
    context.scene.background.run(_drain_and_kill(context.scene))


@then("{wait_s:d} s later no call goes to that target")
def check_taken_over(context: Context, wait_s: int) -> None:
    scene = context.scene

    async def call() -> None:
        await asyncio.sleep(wait_s)
        began_s = time.monotonic()
        gateways = scene.site.list_role(RoutingRole.gateway)
        calls = [scene.caller.call(g, "/do/", b"x") for g in gateways for _ in range(10)]
        results = await asyncio.gather(*calls)
        assert any(result.status == 200 for result in results), results
        late = [run for run in scene.targets[0].runs if run.started_s > began_s]
        assert not late, late

    scene.background.run(call())


# Speeds

# More than one engine can take, so that each gets some.
_AT_ONCE = 6


@given("a routed site whose engines take {first:d} and {second:d} ms for a token")
def open_unlike(context: Context, first: int, second: int) -> None:
    open_scene(context)
    engines = [t for t in context.scene.targets if t.service == "engine"]
    for engine, token_ms in zip(engines, (first, second), strict=True):
        engine.event_s = token_ms / 1000.0


@when("{count:d} calls of {route} are answered")
def call_answered(context: Context, count: int, route: str) -> None:
    scene = context.scene
    scene.background.run(find_deciding(scene))

    async def call() -> list[CallResult]:
        gateway = scene.site.list_role(RoutingRole.gateway)[0]
        results: list[CallResult] = []
        for _ in range(count // _AT_ONCE):
            calls = [scene.caller.call(gateway, route) for _ in range(_AT_ONCE)]
            results.extend(await asyncio.gather(*calls))
        return results

    results = scene.background.run(call())
    assert all(result.status == 200 for result in results), results


@then(
    "the scheduler's log tells less than {bound:d} ms a token of the first and more of the second"
)
def check_token_times(context: Context, bound: int) -> None:
    pattern = r"event=request_placed .*target=(engine-\d) .*token_ms=(\S+)"
    told = dict(re.findall(pattern, context.scene.site.read_logs()))
    assert float(told["engine-0"]) < bound < float(told["engine-1"]), told
