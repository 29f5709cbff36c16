"""Read streams whose targets are silent for a while, and check that they come whole."""

from __future__ import annotations

import asyncio
import itertools
import signal
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.generated.configuration import RoutedWorkspace, RouteKind
from troutstand.generated.routing import RoutingRole
from troutstand.testing.partition import CutKind
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import KEY, ConfigurationPlan, make_route, wait_until
from troutstand.testing.silentstreams import (
    FOREVER_S,
    OtherAttempt,
    SilentBodies,
    SilentStreams,
    make_events,
)
from troutstand.testing.standins import make_body
from troutstand.tests.environment import make_folder
from troutstand.tests.steps.resting import open_scene
from troutstand.tests.steps.routed import find_deciding

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.generated.configuration import Route
    from troutstand.testing.routedcaller import CallResult
    from troutstand.testing.routedsite import HostProcess

_TIMEOUT_MS = 9000
_DEADLINE_S = 8.0
_STOP_S = 8.0
_RESUMABLE = "/stream/resume/"
# Charged for each request that the callers send.
_TOKENS = 20
_EVENT_AT_S = 0.8
# Time for which calls hold the slots of all targets at once.
_FILLED_S = 0.8
_OTHER_KEY = "key-two"


def _make_routes(pause_ms: float) -> list[Route]:
    routes = [
        make_route("get", "/get/", RouteKind.idempotent, attempts=2),
        make_route("do", "/do/", RouteKind.non_idempotent),
        make_route("stream", "/stream/", RouteKind.streaming, "engine"),
        make_route("resume", _RESUMABLE, RouteKind.streaming, "engine", 2, True),
    ]
    return [
        msgspec.structs.replace(route, timeout_ms=_TIMEOUT_MS, pause_ms=pause_ms)
        for route in routes
    ]


@given("a routed site with {engines:d} engines whose streams may pause for {pause_ms:d} ms")
def open_site(context: Context, engines: int, pause_ms: int) -> None:
    open_limited_site(context, engines, pause_ms, "without limits")


@given(
    "a routed site with {engines:d} engines whose streams may pause for {pause_ms:d} ms, {limits}"
)
def open_limited_site(context: Context, engines: int, pause_ms: int, limits: str) -> None:
    workspaces: list[RoutedWorkspace] = []
    if limits == "with a limit for 6 streams":
        limited = RoutedWorkspace("one", keys=[KEY], tokens_per_s=0.1, burst_tokens=6.0 * _TOKENS)
        workspaces = [limited]
    scene = Scene(
        make_folder(context),
        engines=engines,
        plain=1,
        stop_s=_STOP_S,
        retry_extra=0.0 if limits == "without retries" else Scene.retry_extra,
        configuration=ConfigurationPlan(routes=_make_routes(pause_ms), workspaces=workspaces),
    )
    open_scene(context, scene)
    context.limits = limits


async def _read_all(scene: Scene, route: str, count: int) -> list[CallResult]:
    gateways = itertools.cycle(scene.site.list_role(RoutingRole.gateway))
    calls = [
        scene.caller.call(next(gateways), route, b"x", deadline_s=_DEADLINE_S) for _ in range(count)
    ]
    return await asyncio.gather(*calls)


def _read_silent(context: Context, count: int, streams: SilentStreams, event: str = "") -> None:
    scene = context.scene
    for target in scene.targets:
        if target.service == "engine":
            target.response_writer = streams.answer
    context.streams = streams

    async def play() -> list[CallResult]:
        reading = asyncio.create_task(_read_all(scene, _RESUMABLE, count))
        await asyncio.wait({reading}, timeout=_EVENT_AT_S if event else 0.0)
        await _cause(scene, event)
        return await reading

    context.calls = scene.background.run(play())


async def _cause(scene: Scene, event: str) -> None:
    names = [gateway.name for gateway in scene.site.list_role(RoutingRole.gateway)]
    match event:
        case "a change of the configuration":
            assert scene.configuration is not None
            plan = ConfigurationPlan(version=2, routes=scene.configuration.routes)
            await scene.site.write_anywhere(scene.session, plan.encode())
        case "a SIGHUP of the gateways":
            for name in names:
                scene.site.send_signal(name, signal.SIGHUP)
        case "a SIGTERM of the gateways":
            for name in names:
                scene.site.send_signal(name, signal.SIGTERM)
        case "a configuration without their route":
            assert scene.configuration is not None
            others = [r for r in scene.configuration.routes or [] if r.prefix != _RESUMABLE]
            plan = ConfigurationPlan(version=2, routes=others)
            await scene.site.write_anywhere(scene.session, plan.encode())
        case "a configuration that revokes their key":
            assert scene.configuration is not None
            revoked = RoutedWorkspace("one", keys=[_OTHER_KEY])
            plan = ConfigurationPlan(
                version=2, routes=scene.configuration.routes, workspaces=[revoked]
            )
            await scene.site.write_anywhere(scene.session, plan.encode())
        case "a list in which their targets drain":
            for target in scene.targets:
                target.is_draining = True
        case "a list without their targets":
            scene.list.targets = [t for t in scene.targets if t.service != "engine"]
        case "the end of the scheduler in use":
            deciding = await find_deciding(scene)
            scene.site.kill(deciding)
        case "the end of all schedulers":
            for scheduler in scene.site.list_role(RoutingRole.scheduler):
                scene.site.kill(scheduler.name)
        case "the end of all keepers":
            for keeper in scene.site.list_role(RoutingRole.keeper):
                scene.site.kill(keeper.name)
        case _:
            assert not event, event


@when(
    "{count:d} streams are read whose targets are silent for {silence_s:g} s after the first event"
)
def read_silent(context: Context, count: int, silence_s: float) -> None:
    _read_silent(context, count, SilentStreams(silence_s))


@when(
    "{count:d} streams are read whose targets are silent for {silence_s:g} s after the first "
    "event, beside {event}"
)
def read_silent_beside(context: Context, count: int, silence_s: float, event: str) -> None:
    _read_silent(context, count, SilentStreams(silence_s), event)


@when("{count:d} streams are read and one target is silent for good after the first event")
def read_gone(context: Context, count: int) -> None:
    engines = [t.target for t in context.scene.targets if t.service == "engine"]
    _read_silent(context, count, SilentStreams(FOREVER_S, silent_targets=frozenset(engines[:1])))


@when(
    "{count:d} streams are read whose targets are silent for {silence_s:g} s "
    "and other attempts {fail}"
)
def read_failing(context: Context, count: int, silence_s: float, fail: str) -> None:
    _read_silent(context, count, SilentStreams(silence_s, other_attempts=OtherAttempt(fail)))


@when(
    "{count:d} streams are read and one target is silent for good and others begin after "
    "{delay_s:g} s"
)
def read_late_others(context: Context, count: int, delay_s: float) -> None:
    engines = [t.target for t in context.scene.targets if t.service == "engine"]
    streams = SilentStreams(
        FOREVER_S, silent_targets=frozenset(engines[:1]), resumed_delay_s=delay_s
    )
    _read_silent(context, count, streams)


@when(
    "{count:d} answers of {route} are read whose targets are silent for {silence_s:g} s "
    "before the head"
)
def read_late_heads(context: Context, count: int, route: str, silence_s: float) -> None:
    scene = context.scene
    context.streams = SilentStreams(0.0, before_head_s=silence_s)
    for target in scene.targets:
        if target.service == "engine":
            target.response_writer = context.streams.answer
        else:
            target.work_s = silence_s
    context.calls = scene.background.run(_read_all(scene, route, count))


@when(
    "{count:d} streams are read through a peer whose targets are silent for {silence_s:g} s, "
    "beside {event}"
)
def read_through_peer(context: Context, count: int, silence_s: float, event: str) -> None:
    scene = context.scene
    gateway, peer = scene.site.list_role(RoutingRole.gateway)
    streams = SilentStreams(silence_s)
    # Without a peer, requests are refused until one is assigned.
    scene.background.run(wait_until(lambda: _knows_peer(gateway, peer), "the peer is known"))
    for target in scene.targets:
        target.cut(gateway.settings.ip, CutKind.HANG)
        if target.service == "engine":
            target.response_writer = streams.answer
    context.streams = streams

    async def play() -> list[CallResult]:
        calls = [
            scene.caller.call(gateway, "/stream/", b"x", deadline_s=_DEADLINE_S)
            for _ in range(count)
        ]
        reading = asyncio.ensure_future(asyncio.gather(*calls))
        started = asyncio.ensure_future(
            wait_until(lambda: _is_started(streams, count), "all streams have started")
        )
        await asyncio.wait({started, reading}, return_when=asyncio.FIRST_COMPLETED)
        if not started.done():
            # The check of the answers tells what became of them.
            started.cancel()
            return await reading
        if event == "a SIGTERM of the peer":
            scene.site.send_signal(peer.name, signal.SIGTERM)
        else:
            assert event == "nothing else", event
        return await reading

    context.calls = scene.background.run(play())


async def _knows_peer(gateway: HostProcess, peer: HostProcess) -> bool:
    lines = gateway.log.read_text().splitlines()
    return any("event=peers_changed" in line and peer.settings.ip in line for line in lines)


async def _is_started(streams: SilentStreams, count: int) -> bool:
    return streams.started_count >= count


@when("{count:d} answers of {route} are read whose targets are silent for {silence_s:g} s within")
def read_silent_bodies(context: Context, count: int, route: str, silence_s: float) -> None:
    scene = context.scene
    for target in scene.targets:
        target.response_writer = SilentBodies(silence_s).answer
    context.calls = scene.background.run(_read_all(scene, route, count))


@then("all of these streams come whole")
@then("all of these answers come whole")
def check_whole(context: Context) -> None:
    cut = [call for call in context.calls if not _is_whole(call)]
    assert not cut, "\n".join(
        [f"{len(cut)} of {len(context.calls)} are not whole", *_describe(context, cut[0])]
    )


def _describe(context: Context, call: CallResult) -> list[str]:
    """Return how a call ended, and the log lines of its request."""
    lines = context.scene.site.read_logs().splitlines()
    told = [line for line in lines if f"request={call.request} " in f"{line} "]
    return [f"{call.status} {call.body!r} after {call.duration_s:.2f} s: {call.detail}", *told]


def _is_whole(call: CallResult) -> bool:
    if call.route.startswith("/stream"):
        return call.status == 200 and not call.detail and call.body == make_events(call.request)
    return call.status == 200 and call.body == make_body(call.request, b"x")


@then("each of these streams takes at most {most_s:g} s")
def check_duration(context: Context, most_s: float) -> None:
    longest_s = max(call.duration_s for call in context.calls)
    assert longest_s <= most_s, f"{longest_s:.2f} s, at most {most_s} s is accepted"


@then(
    "each silent attempt is dropped at most {most_s:g} s after another one has sent its first event"
)
def check_dropped(context: Context, most_s: float) -> None:
    streams = context.streams
    assert streams.resumed_s, "no stream was resumed"

    async def is_closed() -> bool:
        return set(streams.closed_s) >= set(streams.resumed_s)

    context.scene.background.run(wait_until(is_closed, "silent attempts are dropped", 2.0))
    for request, resumed_s in streams.resumed_s.items():
        after_s = streams.closed_s[request] - resumed_s
        assert 0.0 <= after_s <= most_s, f"{request}: dropped after {after_s:.3f} s"


@then("no target has anything running at the scheduler")
def check_slots(context: Context) -> None:
    """Fill every slot of the targets once more, which needs all of them free."""
    scene = context.scene
    engines = [t for t in scene.targets if t.service == "engine"]
    for target in engines:
        target.response_writer = None
        target.work_s, target.event_s = _FILLED_S, 0.0
    count = sum(target.slots for target in engines)

    async def is_free() -> bool:
        calls = await _read_all(scene, "/stream/", count)
        return all(call.status == 200 and call.duration_s < 1.5 * _FILLED_S for call in calls)

    scene.background.run(wait_until(is_free, "all slots of the targets are free", 12.0))
