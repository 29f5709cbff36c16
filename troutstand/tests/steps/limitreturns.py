"""Take gateways away while a workspace asks for less than its limit."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.limitload import ReadyLoad
from troutstand.testing.routedsite import wait_until
from troutstand.tests.steps.limitruns import describe_limits, open_limited_site

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.routedscene import Scene
    from troutstand.testing.routedsite import HostProcess

_MEAN_TOKENS = 200.0
_LEAD_S = 4.0
_LIMITED_STATUS = 429
_SERVED_STATUS = 200
_ONCE_SEED = 62


@given("a routed site of {gateways:d} gateways with a workspace that is limited")
def open_site(context: Context, gateways: int) -> None:
    open_limited_site(context, gateways)


async def _take_away(scene: Scene, processes: list[HostProcess], away_s: float) -> None:
    for process in processes:
        scene.site.kill(process.name)
    await asyncio.sleep(away_s)
    for process in processes:
        scene.site.start(process.name)


async def _disrupt(scene: Scene, away: str) -> None:
    site = scene.site
    gateways = site.list_role(RoutingRole.gateway)
    servers = [*gateways, *site.list_role(RoutingRole.scheduler)]
    match away:
        case "each gateway away for 0.5 s in turn":
            for gateway in gateways:
                await _take_away(scene, [gateway], 0.5)
                await asyncio.sleep(1.0)
        case "three gateways away for 3 s":
            await _take_away(scene, gateways[:3], 3.0)
        case "all gateways but three away for 3 s":
            await _take_away(scene, gateways[3:], 3.0)
        case "nine gateways away for 3 s":
            await _take_away(scene, gateways[:9], 3.0)
        case "six gateways away for 3 s":
            await _take_away(scene, gateways[:6], 3.0)
        case "all gateways away for 3 s":
            await _take_away(scene, gateways, 3.0)
        case "all gateways and schedulers away for 3 s":
            await _take_away(scene, servers, 3.0)
        case "all processes away for 1 s":
            await _take_away(scene, list(site.processes.values()), 1.0)
        case _:
            raise AssertionError(away)


async def _play(context: Context, length_s: float, away: str) -> None:
    scene: Scene = context.scene
    load = asyncio.gather(*(load.run(length_s) for load in context.loads))
    await asyncio.sleep(_LEAD_S)
    await _disrupt(scene, away)
    for process in scene.site.list_role(RoutingRole.gateway):
        name = process.name
        await wait_until(lambda n=name: scene.site.is_ready(scene.session, n), f"{name} is ready")
    context.returned_s = time.monotonic()
    await load


@when("for {length_s:g} s it asks ready gateways for {rate:g} of its rate, with {away}")
def play_away(context: Context, length_s: float, rate: float, away: str) -> None:
    per_s = rate * context.limit.tokens_per_s / _MEAN_TOKENS
    context.load = ReadyLoad(context.scene, "/get/", per_s, _MEAN_TOKENS)
    context.loads = [context.load]
    context.scene.background.run(_play(context, length_s, away))


@when(
    "for {length_s:g} s it asks ready gateways for {rate:g} of its rate, "
    "and as much in calls that run once, with {away}"
)
def play_away_twice(context: Context, length_s: float, rate: float, away: str) -> None:
    per_s = rate * context.limit.tokens_per_s / _MEAN_TOKENS
    context.load = ReadyLoad(context.scene, "/get/", per_s, _MEAN_TOKENS)
    context.once = ReadyLoad(context.scene, "/do/", per_s, _MEAN_TOKENS, seed=_ONCE_SEED)
    context.loads = [context.load, context.once]
    context.scene.background.run(_play(context, length_s, away))


@then("none of its calls is refused for its limit")
def check_refusals(context: Context) -> None:
    calls = [call for load in context.loads for call in load.calls]
    refused = [call for call in calls if call.status == _LIMITED_STATUS]
    print(*(load.describe() for load in context.loads))
    # Calls that are shed have the same status and another code.
    codes = dict(Counter(json.loads(call.body)["code"] for call in refused))
    summary = f"{len(refused)} of {len(calls)} refused, by code: {codes}"
    assert not refused, f"{summary}\n{describe_limits(context)}"


@then(
    "at least {share:g} of its calls are answered in each second "
    "from {settle_s:g} s after the last return on"
)
def check_seconds(context: Context, share: float, settle_s: float) -> None:
    since_s = context.returned_s + settle_s
    seconds: dict[int, list[bool]] = {}
    for call, sent_s in zip(context.load.calls, context.load.sent_s, strict=True):
        if sent_s >= since_s:
            seconds.setdefault(int(sent_s - since_s), []).append(call.status == _SERVED_STATUS)
    assert seconds, "no call was sent after the last return"
    worst = min(sum(served) / len(served) for served in seconds.values())
    assert worst >= share, f"{worst:.3f} in a second\n{describe_limits(context)}"


@then(
    "at least {share:g} of the calls that run once are answered "
    "from {settle_s:g} s after the last return on"
)
def check_once(context: Context, share: float, settle_s: float) -> None:
    since_s = context.returned_s + settle_s
    once: ReadyLoad = context.once
    served = [
        call.status == _SERVED_STATUS
        for call, sent_s in zip(once.calls, once.sent_s, strict=True)
        if sent_s >= since_s
    ]
    assert served, "no call was sent after the last return"
    assert sum(served) >= share * len(served), f"{sum(served)} of {len(served)}"
