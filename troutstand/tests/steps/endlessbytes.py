"""Send requests to targets whose bytes never end."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.messages import Placed
from troutstand.generated.routing import RoutingRole
from troutstand.routing.connectionpool import ConnectionPool
from troutstand.routing.dialect import HeaderNames
from troutstand.routing.dialer import Dialer
from troutstand.routing.relay import Sender, SendError
from troutstand.testing.endlessbytes import (
    EVENT_COUNT,
    Delivery,
    EndlessResponses,
    EndlessTarget,
    make_response_head,
)
from troutstand.testing.routedscene import Scene
from troutstand.testing.standins import make_body, make_event
from troutstand.tests.environment import make_folder
from troutstand.tests.steps.relay import NoticeWatch, make_answer, make_outgoing_request
from troutstand.tests.steps.resting import open_scene

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from troutstand.testing.routedcaller import CallResult

_REQUEST = "request-1"
# Time in which an attempt must end by a bound.
_LIMIT_S = 8.0
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = make_answer(body=b"", framing="Transfer-Encoding: chunked\r\n")
_REJECTION = make_answer("503 Full", b"", "", seal="X-Not-Run: 1\r\n", framing="")
# The first bytes of a response, and those that are repeated.
_RESPONSES: dict[str, tuple[bytes, bytes]] = {
    "a status line without end": (b"HTTP/1.1 200 ", b"OK"),
    "a header line without end": (_HEAD + b"X-Long: ", b"x"),
    "a header name without end": (_HEAD, b"x"),
    "headers without end": (_HEAD, b"X-More: x\r\n"),
    "empty lines without end": (b"\r\n", b"\r\n"),
    "informational responses without end": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunks without end": (_CHUNKED, b"64\r\n" + 100 * b"x" + b"\r\n"),
    "a chunk without end": (_CHUNKED + b"FFFFFFFFFF\r\n", b"x"),
    "a body without a length and end": (make_answer(body=b"", framing=""), b"x"),
    "a chunk size without end": (_CHUNKED, b"0"),
    "a chunk extension without end": (_CHUNKED + b"5;a=", b"x"),
    "a trailer without end": (_CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-More: x\r\n"),
    "a rejection with a body without end": (_REJECTION, b"x"),
    "surplus bytes without end": (make_answer(), b"x"),
}


class _PausingTarget(EndlessTarget):
    """Answer whole, with a silence within the head."""

    async def _reply(self, writer: asyncio.StreamWriter) -> None:
        data = make_answer()
        writer.write(data[:10])
        await asyncio.sleep(self.trickle_s)
        writer.write(data[10:])
        await writer.drain()


def _use(context: Context, target: EndlessTarget) -> None:
    context.target, context.max_head_s = target, None


@given("a target that writes {what}, one piece every 0.2 s")
def use_trickle(context: Context, what: str) -> None:
    _use(context, EndlessTarget(*_RESPONSES[what], delivery=Delivery.TRICKLE))


@given("a target that writes {what}")
def use_endless(context: Context, what: str) -> None:
    _use(context, EndlessTarget(*_RESPONSES[what]))


@given("a target whose head is silent for {silence_s:g} s")
def use_pausing(context: Context, silence_s: float) -> None:
    _use(context, _PausingTarget(b"", b"x", trickle_s=silence_s))


@given("heads must end within {max_s:g} s")
def limit_heads(context: Context, max_s: float) -> None:
    context.max_head_s = max_s


async def _send(context: Context, pool: ConnectionPool, sender: Sender) -> tuple[str, str]:
    """Return how an attempt ended, with the detail of its error or the body."""
    address = context.target.address
    if context.max_head_s is not None:
        connection = await pool.dialer.connect(address)
        connection.max_head_s = context.max_head_s
        pool.dialer.on_unused(connection)
    placed = Placed(_REQUEST, "t1", address)
    outgoing = make_outgoing_request(is_repeatable=True)
    deadline_s = time.monotonic() + _LIMIT_S
    try:
        async with asyncio.timeout(_LIMIT_S):
            sent = await sender.send(outgoing, placed, deadline_s, lambda: None)
            body = await sender.read_body(sent)
    except SendError as error:
        return error.ending.value, error.detail
    except TimeoutError:
        return "no end", f"the attempt goes on after {_LIMIT_S} s"
    return "whole", body[:100].decode()


async def _send_all(context: Context, count: int) -> None:
    target = context.target
    await target.start()
    pool = ConnectionPool(Dialer(1.0))
    sender = Sender(pool, HeaderNames(), NoticeWatch())
    tracemalloc.start()
    try:
        context.outcomes = await asyncio.gather(
            *(_send(context, pool, sender) for _ in range(count))
        )
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        pool.close()
        await target.stop()


@when("a repeatable request to it is sent and its body read")
def send_one(context: Context) -> None:
    asyncio.run(_send_all(context, 1))


@when("{count:d} repeatable requests to it are sent at once and their bodies read")
def send_many(context: Context, count: int) -> None:
    asyncio.run(_send_all(context, count))


@then("the attempt ends as {ending}: {detail}")
def check_ending(context: Context, ending: str, detail: str) -> None:
    (outcome,) = context.outcomes
    assert outcome[0] == ending and detail in outcome[1], outcome


@then("all attempts end as {ending}")
def check_endings(context: Context, ending: str) -> None:
    assert {outcome[0] for outcome in context.outcomes} == {ending}, context.outcomes


@then("the target has written at most {most:d} KiB when its connection is closed")
def check_written(context: Context, most: int) -> None:
    target = context.target
    assert target.closed_count == 1, "the caller did not close the connection"
    assert target.written[0] <= most << 10, f"{target.written[0]} bytes, at most {most} KiB"


@then("the gateway's memory has grown by at most {most:d} MiB")
def check_memory(context: Context, most: int) -> None:
    assert context.peak_bytes <= most << 20, f"{context.peak_bytes} bytes, at most {most} MiB"


_EVENTS = "text/event-stream"
_CALL_DEADLINE_S = 3.5
_STARTED: dict[str, tuple[Callable[[str, str], bytes], bytes]] = {
    "a header without end": (lambda _target, _request: _HEAD + b"X-Long: ", b"x"),
    "a body without end": (lambda t, r: make_response_head(t, r, "text/plain", None), b"x"),
    "an event without end": (
        lambda t, r: make_response_head(t, r, _EVENTS, None) + make_event(r, 1) + b"id: 2\ndata: ",
        b"x",
    ),
    "an event of many lines without end": (
        lambda t, r: make_response_head(t, r, _EVENTS, None) + make_event(r, 1) + b"id: 2\n",
        b"data: x\n",
    ),
}


@given("a routed site with one target of two that writes {what}")
def open_site(context: Context, what: str) -> None:
    scene = Scene(make_folder(context))
    open_scene(context, scene)
    context.endless = {}
    for service in ("engine", "work"):
        targets = [target for target in scene.targets if target.service == service]
        responses = EndlessResponses(targets[0].target, *_STARTED[what])
        for target in targets:
            target.response_writer = responses.answer
        context.endless[service] = responses


@when("{count:d} calls of {route} are made one after the other")
def call_site(context: Context, count: int, route: str) -> None:
    scene = context.scene

    async def call_all() -> list[CallResult]:
        gateway = scene.site.list_role(RoutingRole.gateway)[0]
        return [
            await scene.caller.call(gateway, route, b"x", deadline_s=_CALL_DEADLINE_S)
            for _ in range(count)
        ]

    context.calls = scene.background.run(call_all())
    service = "engine" if route.startswith("/stream") else "work"
    context.written = context.endless[service].written


def _make_expected(call: CallResult) -> bytes:
    if call.route.startswith("/stream"):
        return b"".join(make_event(call.request, n) for n in range(1, EVENT_COUNT + 1))
    return make_body(call.request, b"x")


@then("every call is answered by the other target")
def check_answered(context: Context) -> None:
    failed = [c for c in context.calls if c.status != 200 or c.body != _make_expected(c)]
    assert not failed, [(c.status, c.body[:100], c.detail) for c in failed]


@then("calls that reached the endless target get {status:d}, the others are answered")
def check_refused(context: Context, status: int) -> None:
    refused = [call for call in context.calls if call.status == status]
    assert len(refused) == len(context.written), [call.status for call in context.calls]
    context.calls = [call for call in context.calls if call not in refused]
    check_answered(context)


@then("the endless target was reached, and wrote at most {most:d} KiB each time")
def check_each_written(context: Context, most: int) -> None:
    assert context.written, "no call reached the endless target"
    assert max(context.written) <= most << 10, context.written


@then("a log line of a failed attempt holds {text}")
def check_log(context: Context, text: str) -> None:
    lines = context.scene.site.read_logs().splitlines()
    failed = [line for line in lines if "event=attempt_failed" in line or "attempt_failed" in line]
    assert any(text in line for line in failed), failed[:3]
