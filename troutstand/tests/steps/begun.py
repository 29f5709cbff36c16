"""Abort streams that have started, and read the bytes that their callers get."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from aiohttp import web
from behave import given, then, when

from troutstand.core.clock import HybridClock
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import ProcessId
from troutstand.daemon.callerapi import CallerApi
from troutstand.generated.routing import RoutingRole
from troutstand.testing.faultystreams import EVENT_COUNT, PARTIAL_EVENT, FaultyStreams, StreamFault
from troutstand.testing.rawcaller import RawResponse, call_raw
from troutstand.testing.routedsite import wait_until
from troutstand.testing.standins import ResumedResponse, make_event
from troutstand.tests.steps.routed import open_scene
from troutstand.util.events import EventBus
from troutstand.util.listening import write_full_response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from behave.runner import Context

    from troutstand.daemon.entry import EntryProcess

_REQUEST = "begun-1"
_LIMIT_S = 8.0
_TEXT = "text/plain"
_BODY_BYTES = 1000
_WRITTEN = b"begun"
_FAILURES: dict[str, Exception] = {
    "a numbered error": TroutstandError(ResultCode.ANSWER_CUT, "its target broke off"),
    "an unexpected error": KeyError("missing"),
    "an HTTP error": web.HTTPBadRequest(),
}
_ANSWERS = {
    "500 with a text": ResumedResponse("500 Fault", _TEXT, b"broken"),
    "503 that says that it ran": ResumedResponse("503 Fault", _TEXT, b"broken"),
    "404 with a text": ResumedResponse("404 Not Found", _TEXT, b"unknown"),
    "200 with a text": ResumedResponse("200 OK", _TEXT, b"other"),
    "204 without a body": ResumedResponse("204 No Content", _TEXT, b""),
}


@given("a routed site whose engines break streams and answer {answer} when asked to go on")
def open_continued(context: Context, answer: str) -> None:
    open_scene(context)
    for target in context.scene.targets:
        target.resumed_response = _ANSWERS[answer]


@when("a stream of {route} is read to the end of its connection")
def read_stream(context: Context, route: str) -> None:
    scene = context.scene
    gateway = scene.site.list_role(RoutingRole.gateway)[0]
    reading = call_raw(gateway.settings.callers, route, _REQUEST, _LIMIT_S)
    context.answer = scene.background.run(reading)


@then("the caller has read one head, only whole events, and no end of the answer")
def check_answer(context: Context) -> None:
    _check_cut(context.answer, make_event(_REQUEST, 1))


def _check_cut(answer: RawResponse, body: bytes) -> None:
    assert not answer.error, answer
    assert (answer.response_count, answer.status) == (1, 200), answer
    assert answer.body == body, answer
    assert not answer.is_complete, answer


@then("the gateway's log tells that the stream broke off")
def check_log(context: Context) -> None:
    scene = context.scene

    async def is_told() -> bool:
        lines = [line for line in scene.site.read_logs().splitlines() if _REQUEST in line]
        assert not [line for line in lines if "event=request_answered" in line], lines
        return any("event=stream_broken_off" in line for line in lines)

    scene.background.run(wait_until(is_told, "the stream's end is logged"))


# Responses of a second target to a resumed stream


@given("a routed site with odd targets, which {oddity}")
def open_odd(context: Context, oddity: str) -> None:
    open_scene(context)
    streams = FaultyStreams(StreamFault(oddity))
    for target in context.scene.targets:
        target.response_writer = streams.answer


@then("no event came twice, and half an event is not followed by the end of the answer")
def check_events(context: Context) -> None:
    answer = context.answer
    *events, rest = answer.body.split(b"\n\n")
    assert not answer.error, answer
    assert (answer.response_count, answer.status) == (1, 200), answer
    assert events, answer
    assert len(events) == len(set(events)), answer
    assert not any(event.startswith(PARTIAL_EVENT) for event in events), answer
    assert not (rest and answer.is_complete), answer


@then("the caller has read one head and every event and the end")
def check_whole(context: Context) -> None:
    answer = context.answer
    events = b"".join(make_event(_REQUEST, number) for number in range(1, EVENT_COUNT + 1))
    assert not answer.error, answer
    assert (answer.response_count, answer.status) == (1, 200), answer
    assert answer.body == events, answer
    assert answer.is_complete, answer


@then("the caller has read one head and the first event and no end")
def check_first(context: Context) -> None:
    _check_cut(context.answer, make_event(_REQUEST, 1))


# Handlers that respond twice


async def _answer_twice(request: web.BaseRequest) -> web.StreamResponse:
    first = web.StreamResponse()
    await first.prepare(request)
    await first.write(_WRITTEN)
    second = web.Response(status=500, text="broken")
    assert not await write_full_response(request, second)
    return second


async def _call_server(handler: Callable[..., Awaitable[web.StreamResponse]]) -> RawResponse:
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return await _call_runner(runner)


@when("a server that answers a request twice is called and read to the end of the connection")
def call_twice(context: Context) -> None:
    context.answer = asyncio.run(_call_server(_answer_twice))


# Entry processes


def _make_entry() -> SimpleNamespace:
    """Make a stand-in for the entry process of a caller API."""
    events = EventBus(ProcessId("entry-1"), HybridClock(time.time))
    settings = SimpleNamespace(limits=SimpleNamespace(body_bytes=_BODY_BYTES))
    return SimpleNamespace(settings=settings, events=events, running_calls=0)


@given("an application for callers whose handler begins an answer and fails with {failure}")
def make_failing(context: Context, failure: str) -> None:
    context.entry = _make_entry()
    context.app = CallerApi(cast("EntryProcess", context.entry)).make_app()

    async def begin_and_fail(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(_WRITTEN)
        raise _FAILURES[failure]

    context.app.router.add_post("/begun/x", begin_and_fail)


async def _call_app(app: web.Application) -> RawResponse:
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return await _call_runner(runner)


async def _call_runner(runner: web.BaseRunner) -> RawResponse:
    try:
        host, port = runner.addresses[0][:2]
        return await call_raw(f"{host}:{port}", "/begun/", _REQUEST, _LIMIT_S)
    finally:
        await runner.cleanup()


@when("it is called and read to the end of the connection")
def call_app(context: Context) -> None:
    context.answer = asyncio.run(_call_app(context.app))


@then("the caller has read one head, only what the handler wrote, and no end of the answer")
def check_app_answer(context: Context) -> None:
    _check_cut(context.answer, _WRITTEN)


@then("the log tells that the answer was broken off with {code:d}")
def check_app_log(context: Context, code: int) -> None:
    told = [event for event in context.entry.events.recent if event.name == "answer_broken_off"]
    assert [int(event.code) for event in told] == [code], told
