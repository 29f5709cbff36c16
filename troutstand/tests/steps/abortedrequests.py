"""Stop a gateway in this process while a request has no answer."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.configuration import RouteKind
from troutstand.testing.loopgateway import LoopGateway, encode_call
from troutstand.testing.rawcaller import RawResponse
from troutstand.testing.scriptedtarget import AfterReply, Reply, ScriptedTarget
from troutstand.tests.steps.relay import make_answer

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.util.events import Event

_REQUEST = "request-1"
_LIMIT_S = 5.0
_STREAM = "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
_WAITING = "that waits for a target"
_UNREAD = "whose body has not arrived"
_REPLIES = {
    "whose target is silent before the head": b"",
    "whose target is silent within the body": make_answer()[:-2],
    "whose stream is silent before its data": make_answer(body=b"", framing=_STREAM),
    "whose stream is silent after its data": make_answer(
        body=b"f\r\nid: 1\ndata: x\n\n\r\n", framing=_STREAM
    ),
    _WAITING: b"",
    _UNREAD: b"",
}


@given("a gateway in this process with {stop_s:g} s to stop, and a request {what}")
def use_request(context: Context, stop_s: float, what: str) -> None:
    context.stop_s, context.what = stop_s, what
    context.logged: list[Event] = []


async def _play(context: Context) -> bytes:
    what = context.what
    target = ScriptedTarget([Reply(_REPLIES[what], AfterReply.SILENT)])
    await target.start()
    gateway = LoopGateway("" if what == _WAITING else target.address, context.stop_s)
    gateway.node.events.subscribe(context.logged.append)
    await gateway.start()
    host, _, port = gateway.settings.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    kind = RouteKind.streaming if "stream" in what else RouteKind.non_idempotent
    length = 10 if what == _UNREAD else -1
    writer.write(encode_call(kind, _REQUEST, b"x", length))
    try:
        async with asyncio.timeout(_LIMIT_S):
            while not gateway.open_requests:
                await asyncio.sleep(0)
            while what not in (_WAITING, _UNREAD) and not target.received:
                await asyncio.sleep(0)
            await gateway.stop()
            return await reader.read()
    finally:
        writer.close()
        await target.stop()


@when("the gateway is told to stop")
def stop(context: Context) -> None:
    context.answer = asyncio.run(_play(context))


@then("the caller gets one whole answer {status:d} with code {code:d} and run {run}")
def check_answer(context: Context, status: int, code: int, run: str) -> None:
    response = RawResponse(_REQUEST)
    response.read(context.answer)
    assert not response.error, response.error
    assert (response.response_count, response.is_complete) == (1, True), context.answer
    body = json.loads(response.body)
    assert (response.status, body["code"], body["run"]) == (status, code, run), body


@then("its head says that the connection closes")
def check_closes(context: Context) -> None:
    head = context.answer.partition(b"\r\n\r\n")[0].lower()
    assert b"connection: close" in head, head


@then("the caller gets a stream without its end")
def check_stream(context: Context) -> None:
    response = RawResponse(_REQUEST)
    response.read(context.answer)
    assert response.response_count == 1, context.answer
    assert response.status == 200, context.answer
    assert response.body == b"id: 1\ndata: x\n\n", response.body
    assert not response.is_complete


@then("the log tells of the request as {event}")
def check_log(context: Context, event: str) -> None:
    names = [e.name for e in context.logged if e.request == _REQUEST]
    assert event in names, names
    assert "request_left" not in names, names
