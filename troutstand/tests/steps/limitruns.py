"""Run real processes whose callers ask for more than a limit while faults happen."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.faultproxy import FaultKind, LinkFault
from troutstand.testing.limitload import (
    LimitLoad,
    LimitPlan,
    find_fullest_window,
    list_limited_runs,
)
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import KEY
from troutstand.testing.standins import Fault
from troutstand.tests.environment import make_folder
from troutstand.tests.steps.resting import open_scene
from troutstand.tests.steps.routed import kill_all_schedulers

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.routedsite import HostProcess

_GATEWAYS = 4
_PER_S = 70.0
_TARGET_FAULTS = {
    "reset half of the connections": Fault.RESET,
    "lose half of the answers": Fault.LOSE_ANSWERS,
    "cut half of the streams": Fault.CUT_ANSWERS,
    "work": Fault.NONE,
}
_ROUTES = {"repeatable": "/get/", "resumable": "/stream/resume/"}
_SLOW_WORK_S = 1.2
_WORK_S = 0.02
_LOG_LINES = 40


def open_limited_site(
    context: Context, gateways: int = _GATEWAYS, is_proxied: bool = False
) -> None:
    """Start a site with a limited workspace."""
    context.limit = LimitPlan()
    scene = Scene(
        make_folder(context),
        engines=4,
        plain=2,
        gateways=gateways,
        quota_excess=context.limit.excess,
        quota_extra=context.limit.extra_tokens,
        retry_extra=200.0,
        configuration=context.limit.make_configuration(),
        is_proxied=is_proxied,
    )
    open_scene(context, scene)


@given("a routed site with a workspace that is limited")
def open_limited(context: Context) -> None:
    open_limited_site(context)


@given("a routed site with a workspace that is limited, whose links can be cut")
def open_cuttable(context: Context) -> None:
    open_limited_site(context, is_proxied=True)


# Faults


async def _play(context: Context, kind: str, length_s: float, disruption) -> None:  # type: ignore[no-untyped-def]
    context.load = LimitLoad(context.scene, _ROUTES[kind], _PER_S)
    load = asyncio.create_task(context.load.run(length_s))
    await disruption
    await load


async def _make_slow(scene: Scene, length_s: float) -> None:
    """Make all targets slow, so that requests wait in the queue, and then quick again."""
    for target in scene.targets:
        target.work_s = _SLOW_WORK_S
    await asyncio.sleep(length_s / 2)
    for target in scene.targets:
        target.work_s = _WORK_S


def _list_servers(scene: Scene) -> list[HostProcess]:
    site = scene.site
    return [*site.list_role(RoutingRole.gateway), *site.list_role(RoutingRole.scheduler)]


async def _kill_in_turn(scene: Scene) -> None:
    for process in _list_servers(scene):
        await asyncio.sleep(1.3)
        scene.site.kill(process.name)
        scene.site.start(process.name)


async def _kill_together(scene: Scene, processes: list[HostProcess]) -> None:
    for process in processes:
        scene.site.kill(process.name)
    for process in processes:
        scene.site.start(process.name)


async def _kill_schedulers_in_turn(scene: Scene) -> None:
    for _ in range(2):
        for process in scene.site.list_role(RoutingRole.scheduler):
            await asyncio.sleep(2.0)
            scene.site.kill(process.name)
            await asyncio.sleep(0.5)
            scene.site.start(process.name)


async def _disrupt(scene: Scene, fault: str) -> None:
    """Bring about a fault once the limit is used up."""
    gateways = scene.site.list_role(RoutingRole.gateway)
    schedulers = scene.site.list_role(RoutingRole.scheduler)
    await asyncio.sleep(3.5)
    match fault:
        case "nothing":
            pass
        case "schedulers killed in turn":
            await _kill_schedulers_in_turn(scene)
        case "no scheduler":
            await kill_all_schedulers(scene)
        case "a roll-out of all gateways and schedulers":
            await _kill_in_turn(scene)
        case "half of the gateways killed with a scheduler, then the others":
            await _kill_together(scene, [*gateways[:2], schedulers[0]])
            await asyncio.sleep(4.0)
            await _kill_together(scene, [*gateways[2:], schedulers[1]])
        case "all gateways and schedulers killed at once":
            await _kill_together(scene, _list_servers(scene))
        case "all processes killed at once":
            await _kill_together(scene, list(scene.site.processes.values()))
        case _:
            raise AssertionError(fault)


@when("for {length_s:g} s three times as much is asked for, with {fault}")
def play_fault(context: Context, length_s: float, fault: str) -> None:
    scene = context.scene
    scene.background.run(_play(context, "repeatable", length_s, _disrupt(scene, fault)))


@when("for {length_s:g} s three times as much is asked for in {kind} requests, and targets {fault}")
def play_target_fault(context: Context, length_s: float, kind: str, fault: str) -> None:
    scene = context.scene
    for target in scene.targets:
        target.fault = _TARGET_FAULTS[fault]
    scene.background.run(_play(context, kind, length_s, asyncio.sleep(0)))


@when(
    "for {length_s:g} s three times as much is asked for, "
    "beside {per_s:g} calls a second without a limit"
)
def play_beside(context: Context, length_s: float, per_s: float) -> None:
    scene = context.scene
    context.beside = LimitLoad(scene, _ROUTES["repeatable"], per_s, key=KEY)
    scene.background.run(_play(context, "repeatable", length_s, context.beside.run(length_s)))


@then("at least {share:g} of the calls without a limit are answered")
def check_beside(context: Context, share: float) -> None:
    calls = context.beside.calls
    answered = sum(call.status == 200 for call in calls)
    assert answered >= share * len(calls), f"{answered} of {len(calls)}\n{describe_limits(context)}"


@when("for {length_s:g} s three times as much is asked for, and targets are slow, then quick")
def play_slow(context: Context, length_s: float) -> None:
    scene = context.scene
    scene.background.run(_play(context, "repeatable", length_s, _make_slow(scene, length_s)))


# Cut links


def _set_links(scene: Scene, names: list[str], others: list[str], fault: LinkFault) -> None:
    """Set the fault of all links between two groups of processes."""
    for one, other in [(a, b) for a in names for b in others]:
        for listener, peer in ((one, other), (other, one)):
            source = scene.site.processes[peer].settings.bind_ip
            for is_inward in (True, False):
                scene.proxies[listener].set_link_fault(source, is_inward, fault)


async def cut_off(scene: Scene, names: list[str], length_s: float) -> None:
    """Silence all links between some processes and the others for a time, in seconds."""
    others = [name for name in scene.site.processes if name not in names]
    _set_links(scene, names, others, LinkFault(FaultKind.SILENCE))
    await asyncio.sleep(length_s)
    _set_links(scene, names, others, LinkFault())


async def _cut(scene: Scene, cut: str) -> None:
    half = ["gateway-1", "gateway-2", "scheduler-1"]
    await asyncio.sleep(3.5)
    match cut:
        case "two halves for 6 s":
            await cut_off(scene, half, 6.0)
        case "two halves three times":
            for _ in range(3):
                await cut_off(scene, half, 3.0)
                await asyncio.sleep(2.0)
        case "one gateway cut off for 6 s":
            await cut_off(scene, ["gateway-1"], 6.0)
        case "all schedulers cut off for 5 s":
            await cut_off(scene, ["scheduler-1", "scheduler-2"], 5.0)
        case _:
            raise AssertionError(cut)


@when("for {length_s:g} s three times as much is asked for, and links fall silent: {cut}")
def play_cut(context: Context, length_s: float, cut: str) -> None:
    scene = context.scene
    scene.background.run(_play(context, "repeatable", length_s, _cut(scene, cut)))


# Checks


def describe_limits(context: Context) -> str:
    """Return what became of the calls, and the last log lines on limits."""
    lines = context.scene.site.read_logs().splitlines()
    usage = [line for line in lines if "event=limit_" in line]
    return "\n".join([context.load.describe(), *usage[-_LOG_LINES:]])


def _list_runs(context: Context) -> list[tuple[float, float]]:
    return [(run.started_s, float(run.tokens)) for run in list_limited_runs(context.scene)]


@then("no window holds more runs than the limit and its tolerated excess allow")
def check_windows(context: Context) -> None:
    limit = context.limit
    fullest = find_fullest_window(_list_runs(context), limit.window_s)
    share = fullest.tokens / limit.max_tokens
    print(f"fullest window: {share:.3f} of what is allowed, {context.load.describe()}")
    since_s = fullest.start_s - context.load.began_s
    assert share <= 1.0, (
        f"{share:.3f} in the window from {since_s:.2f} s on\n{describe_limits(context)}"
    )


def _check_fullest(context: Context, least_tokens: float) -> None:
    found = find_fullest_window(_list_runs(context), context.limit.window_s).tokens
    assert found >= least_tokens, f"{found} of {least_tokens}\n{describe_limits(context)}"


@then("some window holds at least {share:g} of the limit with its excess")
def check_excess_used(context: Context, share: float) -> None:
    _check_fullest(context, share * context.limit.max_tokens)


@then("some window holds at least {share:g} of the limit alone")
def check_limit_used(context: Context, share: float) -> None:
    _check_fullest(context, share * context.limit.limit_tokens)


@then(
    "the workspace ran at least {share:g} of what its limit alone allows in the last {last_s:g} s"
)
def check_amount(context: Context, share: float, last_s: float) -> None:
    runs = _list_runs(context)
    end_s = max(at_s for at_s, _ in runs)
    used = sum(tokens for at_s, tokens in runs if at_s > end_s - last_s)
    allowed = context.limit.tokens_per_s * last_s
    assert used >= share * allowed, f"{used} of {allowed}\n{describe_limits(context)}"


@then("second runs were part of it")
def check_second(context: Context) -> None:
    runs = list_limited_runs(context.scene)
    assert len(runs) > len({run.request for run in runs}), context.load.describe()
