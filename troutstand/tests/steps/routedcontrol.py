"""Change configurations and lose keepers of routed sites."""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.configuration import RoutedWorkspace
from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedscene import Scene, read_configurations
from troutstand.testing.routedsite import (
    KEY,
    ConfigurationPlan,
    wait_until,
)

if TYPE_CHECKING:
    from behave.runner import Context


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


@then("every keeper returns the same content under version {version:d}")
def check_one(context: Context, version: int) -> None:
    contents = set(context.scene.background.run(read_configurations(context.scene)))
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
    assert set(scene.background.run(read_configurations(scene))) == {context.content}


@then("an invalid one is refused with {status:d} and the content stays")
def check_invalid(context: Context, status: int) -> None:
    scene = context.scene
    for body in (b'{"version": 9', ConfigurationPlan(9, services=("work",)).encode()):
        assert scene.background.run(scene.site.write(scene.session, "keeper-3", body)) == status
    assert set(scene.background.run(read_configurations(scene))) == {context.content}


@then("every keeper returns version {version:d}")
def check_version(context: Context, version: int) -> None:
    scene = context.scene
    expected = ConfigurationPlan(version).encode()

    async def is_told() -> bool:
        return set(await read_configurations(scene)) == {expected}

    scene.background.run(wait_until(is_told, f"every keeper tells version {version}"))


# Keepers


async def _count_voting(scene: Scene, name: str, before: int) -> bool:
    """Return whether a keeper's disk became a voter after a position in its log."""
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
