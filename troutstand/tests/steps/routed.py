"""Run routed sites of real processes and break them."""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
from behave import given, then, when

from troutstand.generated.configuration import RoutedWorkspace
from troutstand.generated.routing import RoutingRole
from troutstand.testing.background import BackgroundLoop
from troutstand.testing.routedcaller import CallResult, RoutedCaller
from troutstand.testing.routedsite import (
    KEY,
    ConfigurationPlan,
    RoutedPlan,
    RoutedSite,
    wait_until,
)
from troutstand.testing.standins import Fault, StandInList, StandInTarget, make_event
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from pathlib import Path

    from behave.runner import Context


@dataclass
class Scene:
    """Hold a routed site, its stand-ins and its caller, on a loop in a thread."""

    folder: Path
    background: BackgroundLoop = field(default_factory=BackgroundLoop)
    targets: list[StandInTarget] = field(default_factory=list)

    def open(self, subnet: str) -> None:
        """Start everything and wait until the gateways are ready."""
        self.background.run(self._open(subnet))

    async def _open(self, subnet: str) -> None:
        for number in range(2):
            self.targets.append(StandInTarget(f"plain-{number}", "work"))
            self.targets.append(StandInTarget(f"engine-{number}", "engine", seed=number))
        for target in self.targets:
            await target.start()
        self.list = StandInList(self.targets)
        await self.list.start()
        self.site = RoutedSite(self.folder, RoutedPlan(subnet=subnet), self.list)
        self.site.lay_out()
        self.site.start_all()
        self.session = aiohttp.ClientSession()
        self.caller = RoutedCaller(self.session)
        await self.site.write_anywhere(self.session, ConfigurationPlan().encode())
        await self.site.wait_ready(self.session)
        # On a busy machine two keepers suffice for all that before a third has started.
        await wait_until(self._is_told_everywhere, "every keeper tells the configuration")

    async def _is_told_everywhere(self) -> bool:
        return None not in await _read_all(self)

    def stop(self) -> None:
        """End what this scene started."""
        self.site.stop()
        self.background.run(self._close())
        self.background.close()

    async def _close(self) -> None:
        await self.session.close()
        for target in self.targets:
            await target.crash()
        await self.list.stop()

    def call_gateways(self, route: str, key: str = KEY) -> list[CallResult]:
        """Send one request through each gateway."""
        gateways = self.site.list_role(RoutingRole.gateway)
        return [self.background.run(self.caller.call(g, route, b"x", key)) for g in gateways]


@given("a routed site")
def open_scene(context: Context) -> None:
    context.scene = Scene(make_folder(context))
    context.sites.append(context.scene)
    context.scene.open(next_subnet(context))


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
        await asyncio.sleep(0.03)
    await breaking
    await asyncio.gather(*calls)


def _find_deciding(scene: Scene) -> str:
    """Return the scheduler that gateways ask first."""
    schedulers = scene.site.list_role(RoutingRole.scheduler)
    return min(schedulers, key=lambda process: process.settings.ip).name


async def _break_scheduler(scene: Scene) -> None:
    name = _find_deciding(scene)
    scene.site.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(1.5)
    scene.site.send_signal(name, signal.SIGCONT)
    await asyncio.sleep(0.5)
    scene.site.kill(name)
    await asyncio.sleep(1.0)


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
    slow = [r for r in results if r.took_s > limit_s]
    failed = [r for r in results if r.status != 200]
    assert not slow, slow[:3]
    assert len(failed) <= most, failed[:5]


# A planned stop


async def _stop_gateway(scene: Scene) -> None:
    site = scene.site
    await asyncio.sleep(0.3)
    site.send_signal("gateway-1", signal.SIGTERM)
    await wait_until(lambda: _is_gone(site, "gateway-1"), "the gateway ended")


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


# Configurations


@given("version {version:d} is in force")
def put_version(context: Context, version: int) -> None:
    scene = context.scene
    body = ConfigurationPlan(version).encode()
    scene.background.run(scene.site.write_anywhere(scene.session, body))


@then("version {version:d} can be acknowledged")
def check_acknowledged(context: Context, version: int) -> None:
    put_version(context, version)


@when("two operators send different contents under version {version:d} at once")
def race(context: Context, version: int) -> None:
    scene = context.scene
    extra = [RoutedWorkspace("one", keys=[KEY]), RoutedWorkspace("two", keys=["key-two"])]
    plans = [ConfigurationPlan(version), ConfigurationPlan(version, workspaces=extra)]
    context.bodies = [plan.encode() for plan in plans]

    async def run() -> None:
        names = ("keeper-1", "keeper-2")
        sends = [
            scene.site.write(scene.session, name, body)
            for name, body in zip(names, context.bodies, strict=True)
        ]
        assert 200 in await asyncio.gather(*sends)

    scene.background.run(run())


async def _read_all(scene: Scene) -> list[bytes | None]:
    keepers = [p for p in scene.site.list_role(RoutingRole.keeper) if p.is_running]
    return [await scene.site.read(scene.session, keeper.name) for keeper in keepers]


@then("every keeper tells one and the same content under version {version:d}")
def check_one(context: Context, version: int) -> None:
    contents = set(context.scene.background.run(_read_all(context.scene)))
    assert len(contents) == 1, contents
    context.content = contents.pop()
    assert context.content in context.bodies


@then("it is in force at each gateway within {limit_s:d} s")
def check_in_force(context: Context, limit_s: int) -> None:
    status = 200 if context.content == context.bodies[1] else 401
    scene = context.scene

    async def is_in_force() -> bool:
        gateways = scene.site.list_role(RoutingRole.gateway)
        results = [await scene.caller.call(g, "/do/", b"x", "key-two") for g in gateways]
        return all(r.status == status for r in results)

    scene.background.run(wait_until(is_in_force, "the version is in force", limit_s))


@then("an older version sent again is acknowledged and changes nothing")
def check_older(context: Context) -> None:
    scene = context.scene
    body = ConfigurationPlan(2).encode()
    assert scene.background.run(scene.site.write(scene.session, "keeper-3", body)) == 200
    assert set(scene.background.run(_read_all(scene))) == {context.content}


@then("an invalid one is refused with {status:d} and the content stays")
def check_invalid(context: Context, status: int) -> None:
    scene = context.scene
    for body in (b'{"version": 9', ConfigurationPlan(9, services=("work",)).encode()):
        assert scene.background.run(scene.site.write(scene.session, "keeper-3", body)) == status
    assert set(scene.background.run(_read_all(scene))) == {context.content}


@then("every keeper tells version {version:d}")
def check_version(context: Context, version: int) -> None:
    scene = context.scene
    expected = ConfigurationPlan(version).encode()

    async def is_told() -> bool:
        return set(await _read_all(scene)) == {expected}

    scene.background.run(wait_until(is_told, f"every keeper tells version {version}"))


# Keepers


async def _count_voting(scene: Scene, name: str, before: int) -> bool:
    """Tell whether a keeper's set came to name its disk as a voter since a place in its log."""
    log = scene.site.processes[name].log.read_text()[before:]
    own = f"{scene.site.processes[name].settings.ip}:7600/voting"
    return any("event=keeper_set_decided" in line and own in line for line in log.splitlines())


@when("{name} loses its disk and is back as a voter")
def lose_disk(context: Context, name: str) -> None:
    scene = context.scene
    scene.site.kill(name)
    process = scene.site.processes[name]
    shutil.rmtree(process.settings.data_folder)
    before = len(process.log.read_text())
    scene.site.start(name)
    scene.background.run(
        wait_until(lambda: _count_voting(scene, name, before), f"{name} votes again")
    )


@when("{name} is killed")
def kill_process(context: Context, name: str) -> None:
    context.scene.site.kill(name)


@when("{name} starts again and all keepers are killed and start again")
def restart_all(context: Context, name: str) -> None:
    site = context.scene.site
    site.start(name)
    keepers = [p.name for p in site.list_role(RoutingRole.keeper)]
    for keeper in keepers:
        site.kill(keeper)
    for keeper in keepers:
        site.start(keeper)


@when("{name} is gone for good and a new keeper starts with an empty disk")
def replace_keeper(context: Context, name: str) -> None:
    site = context.scene.site
    site.kill(name)
    del site.processes[name]
    site.add(RoutingRole.keeper, "keeper-new")
    site.start("keeper-new")


@then("the new keeper becomes a voter")
def check_new_voter(context: Context) -> None:
    scene = context.scene
    scene.background.run(
        wait_until(lambda: _count_voting(scene, "keeper-new", 0), "the new keeper votes")
    )


@when("{first} and {second} are frozen")
def freeze_two(context: Context, first: str, second: str) -> None:
    for name in (first, second):
        context.scene.site.send_signal(name, signal.SIGSTOP)


@then("a read at {name} is refused with 503 within {limit_s:d} s")
def check_unsure(context: Context, name: str, limit_s: int) -> None:
    scene = context.scene
    began_s = time.monotonic()
    url = f"http://{scene.site.processes[name].settings.control}/configuration"

    async def read() -> int:
        async with scene.session.get(url) as response:
            return response.status

    assert scene.background.run(read()) == 503
    assert time.monotonic() - began_s < limit_s


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


# Connections at rest


async def _rest(scene: Scene, count: int) -> list[float]:
    """Open connections, stop the gateway, and return how long each stayed open."""
    gateway = scene.site.processes["gateway-1"]
    host, _, port = gateway.settings.callers.rpartition(":")
    opened = [await asyncio.open_connection(host, int(port)) for _ in range(count)]
    began_s = time.monotonic()
    # One call keeps the gateway from ending before the connections are looked at.
    for target in scene.targets:
        target.work_s = 1.7
    call = asyncio.create_task(scene.caller.call(gateway, "/do/", b"x"))
    await asyncio.sleep(0.1)
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


@when("a gateway with {count:d} connections at rest is told to stop")
def rest(context: Context, count: int) -> None:
    context.times = context.scene.background.run(_rest(context.scene, count))


@then("each of them is closed within {limit_s:g} s, before the gateway has ended")
def check_rest(context: Context, limit_s: float) -> None:
    assert max(context.times) < limit_s, context.times


# Taking over


async def _drain_and_kill(scene: Scene) -> None:
    # The standby scheduler has just read the list, so that its next read is far off.
    name = _find_deciding(scene)
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
