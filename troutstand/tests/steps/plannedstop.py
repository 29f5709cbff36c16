"""Stop processes of a routed site while callers keep their connections, and check the answers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.core.plannedstop import AnswerLengths, PlannedStop
from troutstand.generated.configuration import RouteKind
from troutstand.generated.messages import ConfigurationAsk, Learned, Line
from troutstand.generated.routing import RoutingRole
from troutstand.testing.idlepeer import IdlePeer
from troutstand.testing.keptconnection import KeptAnswer, KeptConnection
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import ConfigurationPlan, make_route, wait_until
from troutstand.tests.environment import make_folder, next_subnet
from troutstand.tests.steps.resting import open_scene
from troutstand.tests.steps.routed import find_deciding

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.routedsite import HostProcess

_EVENTS = 60
_TIMEOUT_MS = 10_000
_DEADLINE_S = 10.0
_SHORT_WORK_S = 0.06
_STAGGER_S = 0.3
# A refusal is at once when it comes within this time.
_AT_ONCE_S = 0.25
# A head written this long after the signal was sent knows of it.
_SIGNAL_S = 0.05
_MEGABYTE = 1 << 20
_REPLY_BYTES = 4 * _MEGABYTE
_UNREAD_LIMIT_S = 20.0
_STREAM, _SHORT, _OTHER = "/stream/", "/do/", "/stream/other/"
_FAST_ANSWERS = 20
_FAST_EVENT_S = 0.002


@given(
    "a routed site whose streams take {stream_s:g} s and whose processes have {stop_s:g} s to stop"
)
def open_streaming(context: Context, stream_s: float, stop_s: float) -> None:
    routes = [
        make_route("do", _SHORT, RouteKind.non_idempotent),
        make_route("stream", _STREAM, RouteKind.streaming, "engine"),
        make_route("other", _OTHER, RouteKind.streaming, "engine"),
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


def _count_runs(scene: Scene, service: str) -> int:
    return sum(len(target.runs) for target in scene.targets if target.service == service)


async def _open_connections(gateway: HostProcess, count: int) -> list[KeptConnection]:
    connections = [KeptConnection(f"kept-{number}") for number in range(1, count + 1)]
    for connection in connections:
        await connection.open(gateway)
    return connections


async def _send_until_closed(connection: KeptConnection, delay_s: float) -> None:
    """Send streams, each as soon as the one before has ended, until the connection closes."""
    await asyncio.sleep(delay_s)
    while True:
        answer = await connection.call(_STREAM, _DEADLINE_S)
        if answer.closes or not answer.is_whole:
            return


async def _stop_when_streaming(context: Context, connections: list[KeptConnection]) -> None:
    """Send SIGTERM to the first gateway once the callers have the heads of their streams."""

    async def are_streaming() -> bool:
        return all(_is_streaming(connection) for connection in connections)

    await wait_until(are_streaming, "the heads of the streams have arrived")
    _stop_gateway(context)


def _is_streaming(connection: KeptConnection) -> bool:
    return any(answer.route == _STREAM and answer.status for answer in connection.answers)


def _stop_gateway(context: Context) -> None:
    context.stopped_s = time.monotonic()
    context.scene.site.send_signal("gateway-1", signal.SIGTERM)


async def _wait_gone(scene: Scene, name: str) -> None:
    async def is_gone() -> bool:
        return not scene.site.processes[name].is_running

    await wait_until(is_gone, f"{name} has ended")


def _keep_answers(context: Context, connections: list[KeptConnection]) -> None:
    for connection in connections:
        connection.close()
    context.answers = [answer for connection in connections for answer in connection.answers]


@when(
    "{count:d} callers send streams back to back on kept connections "
    "and their gateway is told to stop"
)
def stop_under_streams(context: Context, count: int) -> None:
    scene = context.scene

    async def play() -> None:
        connections = await _open_connections(scene.site.processes["gateway-1"], count)
        sending = [
            _send_until_closed(connection, _STAGGER_S * number)
            for number, connection in enumerate(connections)
        ]
        await asyncio.gather(*sending, _stop_when_streaming(context, connections))
        await _wait_gone(scene, "gateway-1")
        _keep_answers(context, connections)

    scene.background.run(play())


@when(
    "{count:d} callers send a stream and then a short request, {known}, "
    "and their gateway is told to stop"
)
def stop_before_short(context: Context, count: int, known: str) -> None:
    scene = context.scene

    async def send(connection: KeptConnection) -> None:
        if known == "seen before":
            await connection.call(_SHORT, _DEADLINE_S)
        await connection.call(_STREAM, _DEADLINE_S)
        await connection.call(_SHORT, _DEADLINE_S)

    async def play() -> None:
        connections = await _open_connections(scene.site.processes["gateway-1"], count)
        sending = [send(connection) for connection in connections]
        await asyncio.gather(*sending, _stop_when_streaming(context, connections))
        await _wait_gone(scene, "gateway-1")
        _keep_answers(context, connections)

    scene.background.run(play())


async def _answer_fast(scene: Scene, route: str) -> None:
    """Let targets answer some requests of a route within a fraction of a second."""
    engines = [target for target in scene.targets if target.service == "engine"]
    event_s = engines[0].event_s
    for target in engines:
        target.event_s = _FAST_EVENT_S
    connection = KeptConnection("fast")
    await connection.open(scene.site.processes["gateway-1"])
    for _ in range(_FAST_ANSWERS):
        await connection.call(route, _DEADLINE_S)
    connection.close()
    for target in engines:
        target.event_s = event_s


@when("{count:d} callers send a stream and one of another route, {known}, in a stop beside {event}")
def stop_before_other(context: Context, count: int, known: str, event: str) -> None:
    scene = context.scene

    async def send(connection: KeptConnection) -> None:
        await connection.call(_STREAM, _DEADLINE_S)
        await connection.call(_OTHER, _DEADLINE_S)

    async def stop(connections: list[KeptConnection]) -> None:
        await _stop_when_streaming(context, connections)
        await _cause(scene, event)

    async def play() -> None:
        if known == "answered fast before":
            await _answer_fast(scene, _OTHER)
        connections = await _open_connections(scene.site.processes["gateway-1"], count)
        sending = [send(connection) for connection in connections]
        await asyncio.gather(*sending, stop(connections))
        await _wait_gone(scene, "gateway-1")
        _keep_answers(context, connections)

    scene.background.run(play())


@when(
    "{count:d} callers send short requests on a new connection each time "
    "until a stopping gateway accepts none"
)
def stop_under_short(context: Context, count: int) -> None:
    scene = context.scene
    gateway = scene.site.processes["gateway-1"]
    connections: list[KeptConnection] = []

    async def send(number: int) -> None:
        # A refused connection ends the caller's requests.
        with contextlib.suppress(ConnectionRefusedError):
            while True:
                connection = KeptConnection(f"new-{number}-{len(connections)}")
                await connection.open(gateway)
                connections.append(connection)
                await connection.call(_SHORT, _DEADLINE_S)
                connection.close()

    async def stop() -> None:
        async def are_answered() -> bool:
            return len(connections) >= 2 * count

        await wait_until(are_answered, "short requests are answered")
        _stop_gateway(context)

    async def play() -> None:
        await asyncio.gather(*(send(number) for number in range(count)), stop())
        await _wait_gone(scene, "gateway-1")
        _keep_answers(context, connections)

    scene.background.run(play())


async def _cause(scene: Scene, event: str) -> None:
    match event:
        case "nothing":
            pass
        case "a SIGHUP of the gateways":
            for gateway in scene.site.list_role(RoutingRole.gateway):
                scene.site.send_signal(gateway.name, signal.SIGHUP)
        case "a change of the configuration":
            assert scene.configuration is not None
            plan = ConfigurationPlan(version=2, routes=scene.configuration.routes)
            await scene.site.write_anywhere(scene.session, plan.encode())
        case "the end of a keeper":
            scene.site.send_signal("keeper-1", signal.SIGTERM)
            await _wait_gone(scene, "keeper-1")
        case "the end of the scheduler":
            name = await find_deciding(scene)
            scene.site.send_signal(name, signal.SIGTERM)
            await _wait_gone(scene, name)
        case _:
            raise AssertionError(event)


@when("{count:d} callers send {streams:d} streams each on kept connections beside {event}")
def stream_beside(context: Context, count: int, streams: int, event: str) -> None:
    scene = context.scene

    async def send(connection: KeptConnection) -> None:
        for _ in range(streams):
            await connection.call(_STREAM, _DEADLINE_S)

    async def cause() -> None:
        async def are_running() -> bool:
            return _count_runs(scene, "engine") >= count

        await wait_until(are_running, "streams run")
        await _cause(scene, event)

    async def play() -> None:
        connections = await _open_connections(scene.site.processes["gateway-1"], count)
        await asyncio.gather(*(send(connection) for connection in connections), cause())
        _keep_answers(context, connections)

    scene.background.run(play())


# What the callers saw


def _list_ran(context: Context) -> set[str]:
    return {run.request for target in context.scene.targets for run in target.runs}


def _is_answered(answer: KeptAnswer) -> bool:
    return answer.is_whole and answer.status == 200


def _is_refused(context: Context, answer: KeptAnswer) -> bool:
    """Return whether a request was refused at once, as not run, and did not run."""
    if not answer.is_whole or answer.status != 503 or answer.request in _list_ran(context):
        return False
    is_at_once = answer.ended_s - answer.sent_s < _AT_ONCE_S
    return is_at_once and json.loads(answer.body)["run"] == "no"


def _describe(context: Context, answers: list[KeptAnswer]) -> str:
    lines = []
    for answer in answers:
        sent_s, took_s = answer.sent_s - context.stopped_s, answer.ended_s - answer.sent_s
        text = f"{answer.request} {answer.route} sent at {sent_s:.2f} s, took {took_s:.2f} s:"
        lines.append(f"{text} status {answer.status}, whole: {answer.is_whole}")
    return "\n".join([f"{len(answers)} of {len(context.answers)}:", *lines])


@then("each of at least {least:d} requests was answered whole or refused as not run")
def check_kept(context: Context, least: int) -> None:
    assert len(context.answers) >= least, _describe(context, context.answers)
    wrong = [a for a in context.answers if not _is_answered(a) and not _is_refused(context, a)]
    assert not wrong, _describe(context, wrong)


@then("each of at least {least:d} requests was answered whole")
def check_answered(context: Context, least: int) -> None:
    assert len(context.answers) >= least, _describe(context, context.answers)
    wrong = [a for a in context.answers if not _is_answered(a)]
    assert not wrong, _describe(context, wrong)


@then("{count:d} of the streams were answered whole")
def check_count(context: Context, count: int) -> None:
    answered = [a for a in context.answers if _is_answered(a)]
    assert len(answered) == count, _describe(context, answered)


@then("each head after SIGTERM closed its connection")
def check_closes(context: Context) -> None:
    since_s = context.stopped_s + _SIGNAL_S
    late = [a for a in context.answers if a.head_s > since_s]
    assert late, _describe(context, context.answers)
    keeping = [a for a in late if not a.closes]
    assert not keeping, _describe(context, keeping)


@then("no head closed its connection")
def check_keeps(context: Context) -> None:
    closing = [a for a in context.answers if a.closes]
    assert not closing, _describe(context, closing)


@then("the gateway's log tells of each refused request with {code:d}")
def check_refusals_logged(context: Context, code: int) -> None:
    lines = context.scene.site.processes["gateway-1"].log.read_text().splitlines()
    refused = [a for a in context.answers if a.status == 503]
    assert refused, _describe(context, context.answers)
    for answer in refused:
        told = [line for line in lines if f"request={answer.request} " in line]
        assert any("event=request_refused" in t and f"code={code}" in t for t in told), told
        assert json.loads(answer.body)["code"] == code, answer


# Which requests are taken

_ROUTE, _SERVICE = "r", "s"


@given("answers of {lengths} s on its route")
def record_lengths(context: Context, lengths: str) -> None:
    context.lengths = AnswerLengths()
    for entry in lengths.split(", "):
        count, _, length_s = entry.partition(" of ")
        for _ in range(int(count)):
            context.lengths.record(_ROUTE, _SERVICE, float(length_s))


@then(
    "at {at_s:g} s into a stop of {stop_s:g} s a {kind} with {left_s:g} s to its deadline "
    "is {outcome}"
)
def check_taken(
    context: Context, at_s: float, stop_s: float, kind: str, left_s: float, outcome: str
) -> None:
    stop = PlannedStop.begin(100.0, stop_s)
    now_s = 100.0 + at_s
    length_s = context.lengths.estimate_s(_ROUTE, _SERVICE)
    is_taken = stop.can_answer(now_s, now_s + left_s, length_s, kind == "stream")
    assert is_taken == (outcome == "taken"), outcome


@then("the length of answers of the route at another service is not known")
def check_other_service(context: Context) -> None:
    assert context.lengths.estimate_s(_ROUTE, _SERVICE) is not None
    assert context.lengths.estimate_s(_ROUTE, "other") is None


@when("{count:d} answers of each of {routes:d} routes are recorded, and {more:d} of the last one")
def record_many(context: Context, count: int, routes: int, more: int) -> None:
    context.lengths = AnswerLengths()
    for route in range(routes):
        for _ in range(count):
            context.lengths.record(f"r-{route}", _SERVICE, 1.0)
    for number in range(more):
        context.lengths.record(f"r-{routes - 1}", _SERVICE, float(number))
    context.routes, context.last_s = routes, float(more - 1)


@then("at most {routes:d} routes and {answers:d} answers of each are kept, the last ones")
def check_bounded(context: Context, routes: int, answers: int) -> None:
    kept = context.lengths.count()
    assert len(kept) == routes, len(kept)
    assert max(kept.values()) == answers, kept
    names = {f"r-{context.routes - number}" for number in range(1, routes + 1)}
    assert {key.route for key in kept} == names
    estimate_s = context.lengths.estimate_s(f"r-{context.routes - 1}", _SERVICE)
    assert estimate_s > context.last_s - answers


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
