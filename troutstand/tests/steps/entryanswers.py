"""Serve requests of an entry process whose targets play scripts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from unittest.mock import patch

import msgspec
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from behave import given, then, when

from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.core.prefix import Prefixes
from troutstand.daemon import enginerelay
from troutstand.daemon.callerrequests import Caller, EngineRequest
from troutstand.daemon.enginerequests import EngineRequests
from troutstand.daemon.servicecalls import ServiceCall, ServiceCallHandler
from troutstand.generated.table import Service, Tier, Workspace
from troutstand.testing.scriptedentry import REQUEST, ScriptedEntry, ScriptedTry

if TYPE_CHECKING:
    from behave.runner import Context

_LIMIT_S = 10.0
_BREAKS_OFF = ScriptedTry(ResultCode.ANSWER_CUT)
_REFUSES = ScriptedTry(ResultCode.TARGET_UNREACHABLE)
_UNLISTED = ScriptedTry(is_listed=False)
_SERVICE_SCRIPTS = {
    "break off, refuse, refuse connections": [_BREAKS_OFF, _REFUSES, _REFUSES],
    "refuse, break off, refuse connections": [_REFUSES, _BREAKS_OFF, _REFUSES],
    "refuse, refuse, refuse connections": [_REFUSES, _REFUSES, _REFUSES],
    "refuse connections, then none is left": [_REFUSES],
    "break off, then none is left": [_BREAKS_OFF],
}


def _make_caller() -> Caller:
    return Caller(cast("Workspace", msgspec.defstruct("W", [("name", str)])("w")), Tier("gold", 0))


def _make_request(is_streamed: bool, is_keyed: bool = False) -> EngineRequest:
    return EngineRequest(
        key="k",
        is_key_generated=not is_keyed,
        request=REQUEST,
        caller=_make_caller(),
        path="/v1/chat/completions",
        model="m",
        body=b"{}",
        is_chat=True,
        stream=is_streamed,
        include_usage=False,
        prompt_tokens=0,
        answer_tokens=1,
        prefixes=Prefixes([], 16),
    )


def _use(context: Context, scripts: list[ScriptedTry], stall_s: float = 2.0) -> None:
    context.entry, context.stall_s = ScriptedEntry(scripts), stall_s
    context.error, context.body = None, b""


@given(
    "an engine that is silent for {silence_s:g} s after its first event, "
    "and a stall timeout of {stall_s:g} s"
)
def use_silent(context: Context, silence_s: float, stall_s: float) -> None:
    _use(context, [ScriptedTry(silence_s=silence_s), ScriptedTry()], stall_s)


@given(
    "{count:d} engines that break off, then one that is silent for {silence_s:g} s, "
    "and a stall timeout of {stall_s:g} s"
)
def use_last_silent(context: Context, count: int, silence_s: float, stall_s: float) -> None:
    _use(context, [_BREAKS_OFF] * count + [ScriptedTry(first_silence_s=silence_s)], stall_s)


@given(
    "an engine that sends no event for {silence_s:g} s, then one that answers, "
    "and a stall timeout of {stall_s:g} s"
)
def use_stalled(context: Context, silence_s: float, stall_s: float) -> None:
    _use(context, [ScriptedTry(first_silence_s=silence_s), ScriptedTry()], stall_s)


@given("an engine that breaks off, then one that has left the table")
def use_broken_and_unlisted(context: Context) -> None:
    _use(context, [_BREAKS_OFF, _UNLISTED])


@given("an engine that has left the table")
def use_unlisted(context: Context) -> None:
    _use(context, [_UNLISTED])


@given("targets of a service that {fail}")
def use_service(context: Context, fail: str) -> None:
    _use(context, _SERVICE_SCRIPTS[fail])


async def _serve_chat(context: Context, is_streamed: bool) -> None:
    requests = EngineRequests(context.entry.make())

    async def handle(http_request: web.Request) -> web.StreamResponse:
        try:
            return await requests.serve(http_request, _make_request(is_streamed))
        except TroutstandError as error:
            context.error = error
            return web.Response(status=500)

    app = web.Application()
    app.router.add_post("/", handle)
    async with asyncio.timeout(_LIMIT_S), TestClient(TestServer(app)) as client:
        response = await client.post("/")
        context.body = await response.read()


@when("a {how} chat is served there")
def serve_chat(context: Context, how: str) -> None:
    with patch.object(enginerelay, "MIN_STALL_TIMEOUT_S", context.stall_s):
        asyncio.run(_serve_chat(context, how == "streamed"))


@when("an idempotent call is served there")
def serve_call(context: Context) -> None:
    call = ServiceCall(
        key="k",
        is_key_generated=True,
        caller=_make_caller(),
        service=Service("s"),
        method="GET",
        path="/x",
        body=b"",
        content_type="text/plain",
    )
    try:
        asyncio.run(ServiceCallHandler(context.entry.make()).serve(call))
    except TroutstandError as error:
        context.error = error


@then("its answer comes whole from the {which} target")
def check_whole(context: Context, which: str) -> None:
    assert context.error is None, context.error
    assert b'"finish_reason":"stop"' in context.body, context.body
    expected_count = 1 if which == "first" else len(context.entry.scripts)
    assert len(context.entry.asked) == expected_count, context.entry.asked
    oks = [finished.ok for finished in context.entry.finished]
    assert oks == [False] * (expected_count - 1) + [True], context.entry.finished


@then('it is refused with run "{run}"')
def check_refused(context: Context, run: str) -> None:
    assert context.error is not None, context.body
    assert context.error.run is Run(run), context.error.run


@given("an engine that breaks off, and a chat that is cancelled while {what}")
def use_cancelled(context: Context, what: str) -> None:
    _use(context, [_BREAKS_OFF])
    context.is_recording = what == "its target is recorded"


async def _serve_and_cancel(context: Context) -> None:
    entry, reached = context.entry, asyncio.Event()
    if context.is_recording:
        entry.on_record = reached
    else:
        entry.on_check = reached
    requests = EngineRequests(entry.make())
    request = _make_request(is_streamed=False, is_keyed=True)
    serving = asyncio.create_task(requests.serve(cast("web.Request", None), request))
    async with asyncio.timeout(_LIMIT_S):
        await reached.wait()
        serving.cancel()
        await asyncio.wait({serving})
    assert serving.cancelled()


@when("the chat is served and cancelled")
def serve_and_cancel(context: Context) -> None:
    asyncio.run(_serve_and_cancel(context))


@then("each placement was finished once")
def check_finished(context: Context) -> None:
    assert len(context.entry.asked) == 1
    assert [finished.target for finished in context.entry.finished] == ["t0"]
