"""Stop processes of a routed site."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.generated.configuration import RouteKind
from troutstand.generated.messages import ConfigurationAsk, Learned, Line
from troutstand.testing.idlepeer import IdlePeer
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import ConfigurationPlan, make_route, wait_until
from troutstand.tests.environment import make_folder, next_subnet
from troutstand.tests.steps.resting import open_scene
from troutstand.tests.steps.routed import find_deciding

if TYPE_CHECKING:
    from behave.runner import Context


_EVENTS = 60
_TIMEOUT_MS = 10_000
_SHORT_WORK_S = 0.06
_MEGABYTE = 1 << 20
_REPLY_BYTES = 4 * _MEGABYTE
_UNREAD_LIMIT_S = 20.0
_STREAM, _SHORT = "/stream/", "/do/"


@given(
    "a routed site whose streams take {stream_s:g} s and whose processes have {stop_s:g} s to stop"
)
def open_streaming(context: Context, stream_s: float, stop_s: float) -> None:
    routes = [
        make_route("do", _SHORT, RouteKind.non_idempotent),
        make_route("stream", _STREAM, RouteKind.streaming, "engine"),
    ]
    routes = [
        msgspec.structs.replace(route, timeout_ms=_TIMEOUT_MS, pause_ms=500) for route in routes
    ]
    plan = ConfigurationPlan(routes=routes)
    scene = Scene(make_folder(context), engines=3, stop_s=stop_s, configuration=plan)
    open_scene(context, scene)
    for target in scene.targets:
        target.work_s = 0.0 if target.service == "engine" else _SHORT_WORK_S
        target.events, target.event_s = _EVENTS, stream_s / _EVENTS
    context.stopped_s = time.monotonic()


async def _wait_gone(scene: Scene, name: str) -> None:
    async def is_gone() -> bool:
        return not scene.site.processes[name].is_running

    await wait_until(is_gone, f"{name} has ended")


# The end of keepers and schedulers


@when("a {role} is told to stop while a {peer} is frozen")
def stop_beside_frozen(context: Context, role: str, peer: str) -> None:
    scene = context.scene
    peers = {"gateway": "gateway-1", "scheduler": "scheduler-2", "keeper": "keeper-3"}
    stopped = "keeper-1"

    async def play() -> None:
        name = await find_deciding(scene) if role == "scheduler" else stopped
        scene.site.send_signal(peers[peer], signal.SIGSTOP)
        began_s = time.monotonic()
        scene.site.send_signal(name, signal.SIGTERM)
        await _wait_gone(scene, name)
        context.took_s, context.stopped = time.monotonic() - began_s, name

    scene.background.run(play())


@then("it ended by itself with {code:d} within {most_s:g} s")
def check_end(context: Context, code: int, most_s: float) -> None:
    assert context.scene.site.processes[context.stopped].child.returncode == code
    assert context.took_s <= most_s, f"{context.took_s:.2f} s, at most {most_s:g} s is accepted"


@when("a link server stops while a peer leaves {megabytes:d} MB of replies unread")
def stop_unread(context: Context, megabytes: int) -> None:
    subnet = next_subnet(context)
    reply = Learned(1, bytes(_REPLY_BYTES), Line.configuration)
    count = megabytes * _MEGABYTE // _REPLY_BYTES
    peer = IdlePeer(f"127.{subnet}.1", reply)

    async def play() -> None:
        await peer.open()
        await peer.ask(count, ConfigurationAsk(Line.configuration))
        began_s = time.monotonic()
        async with asyncio.timeout(_UNREAD_LIMIT_S):
            await peer.server.stop()
        context.took_s = time.monotonic() - began_s
        peer.close()

    asyncio.run(play())
    context.peer = peer


@then('it ends within {most_s:g} s and logs "{event}" with the peer')
def check_unread(context: Context, most_s: float, event: str) -> None:
    assert context.took_s <= most_s, f"{context.took_s:.2f} s, at most {most_s:g} s is accepted"
    found = [one for one in context.peer.events.recent if one.name == event]
    assert [one.fields["peer"] for one in found] == [context.peer.name], found
