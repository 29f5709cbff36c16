"""Call routed sites before they are configured, and disconnect early."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import wait_until
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from behave.runner import Context

_ANSWER_S = 10.0
# Longer than a queued request would need to reach a target that became free.
_QUIET_S = 1.0


@given("a routed site without a configuration")
def open_unconfigured(context: Context) -> None:
    context.scene = Scene(make_folder(context))
    context.sites.append(context.scene)
    context.scene.open(next_subnet(context), is_configured=False)


async def _list_listening(scene: Scene) -> list[str]:
    """Wait until every gateway accepts connections."""
    names = []
    for gateway in scene.site.list_role(RoutingRole.gateway):

        async def listens(url: str = f"http://{gateway.settings.callers}/") -> bool:
            try:
                async with scene.session.get(url) as response:
                    return response.status > 0
            except aiohttp.ClientError:
                return False

        await wait_until(listens, f"{gateway.name} listens")
        names.append(gateway.name)
    return names


@then("a call of {route} through each gateway that listens gets {status:d}")
def check_unconfigured(context: Context, route: str, status: int) -> None:
    scene = context.scene
    names = scene.background.run(_list_listening(scene))
    results = scene.call_gateways(route)
    assert len(results) == len(names)
    assert all(r.status == status and r.retry_after for r in results), results


@when("the first configuration is in force")
def configure(context: Context) -> None:
    context.scene.background.run(context.scene.configure())


@given("a routed site whose targets work for {work_s:g} s")
def open_slow(context: Context, work_s: float) -> None:
    context.scene = Scene(make_folder(context))
    context.sites.append(context.scene)
    context.scene.open(next_subnet(context))
    for target in context.scene.targets:
        target.work_s = work_s


def _list_runs(scene: Scene) -> list[str]:
    return [run.request for target in scene.targets for run in target.runs]


async def _leave(scene: Scene, running: int, waiting: int) -> None:
    gateway = scene.site.list_role(RoutingRole.gateway)[0]
    calls = [
        asyncio.create_task(scene.caller.call(gateway, "/do/", deadline_s=_ANSWER_S))
        for _ in range(running)
    ]

    async def all_run() -> bool:
        return len(_list_runs(scene)) == running

    await wait_until(all_run, f"{running} calls run")
    calls += [
        asyncio.create_task(scene.caller.call(gateway, "/do/", deadline_s=_ANSWER_S))
        for _ in range(waiting)
    ]
    # Time for the last ones to enter the queue, which is not visible from outside.
    await asyncio.sleep(0.1)
    # The waiting ones disconnect first: otherwise a released slot could go to one of them
    # before its gateway has seen its disconnect.
    for call in reversed(calls):
        call.cancel()
    await asyncio.wait(calls)


@when("{running:d} calls that run and {waiting:d} that wait are given up by their callers")
def leave(context: Context, running: int, waiting: int) -> None:
    scene = context.scene
    scene.background.run(_leave(scene, running, waiting))
    context.left_s = time.monotonic()


@then("the targets' work on the {running:d} ends within {limit_s:g} s")
def check_ended(context: Context, running: int, limit_s: float) -> None:
    scene = context.scene

    async def all_left() -> bool:
        endings = [ending for target in scene.targets for ending in target.ended.values()]
        return endings.count("left") == running

    scene.background.run(wait_until(all_left, "the targets' work ended"))
    assert time.monotonic() - context.left_s <= limit_s


@then("the {waiting:d} never run")
def check_never_run(context: Context, waiting: int) -> None:
    scene = context.scene
    scene.background.run(asyncio.sleep(_QUIET_S))
    runs = _list_runs(scene)
    assert len(runs) == len(set(runs)) == 8, runs
    assert len(scene.caller.results) == 8 + waiting
