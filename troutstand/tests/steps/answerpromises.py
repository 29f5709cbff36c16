"""Let targets run requests and answer with statuses that promise otherwise."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from behave import given, then, when

from troutstand.backends.base import Call
from troutstand.backends.engine import EngineBackend
from troutstand.backends.http import make_session
from troutstand.backends.service import ServiceBackend
from troutstand.core.answerpromises import AnswerKind, classify_answer
from troutstand.core.codes import Run
from troutstand.core.errors import TroutstandError
from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import HOST, KEY
from troutstand.testing.scriptedtarget import Reply, ScriptedTarget
from troutstand.tests.environment import make_folder
from troutstand.tests.steps.resting import open_scene
from troutstand.tests.steps.scheduler import make_target

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.partition import GatedWriter
    from troutstand.testing.standins import Head

_PROMISES = (408, 421, 429, 503)
_ONCE = ("/do/", "/stream/")
_SEAL = "X-Answer-Seal"


@given("an answer of {status:d} that {mark}")
def use_answer(context: Context, status: int, mark: str) -> None:
    context.answer = (status, mark == "says not run")


@then("for a request that {kind} it is {outcome}")
def check_kind(context: Context, kind: str, outcome: str) -> None:
    status, is_marked = context.answer
    found = classify_answer(status, is_marked, is_repeatable=kind == "may run again")
    assert found is AnswerKind(outcome), found


@when("{kind} answers an entry process with status {status}")
def answer_entry(context: Context, kind: str, status: str) -> None:
    answer = f"HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nhi".encode()

    async def play() -> None:
        target = ScriptedTarget([Reply(answer)])
        await target.start()
        row = msgspec.structs.replace(make_target("a"), url=f"http://{target.address}")
        session = make_session()
        backend_class = ServiceBackend if kind == "a service" else EngineBackend
        backend = backend_class(row, session)
        call = Call("r", "POST", "/x", b"{}", "application/json", 0, 2.0)
        try:
            context.reply = await backend.request(call)
        except TroutstandError as error:
            context.reply = error
        finally:
            await session.close()
            await target.stop()

    asyncio.run(play())


@then("the call fails with {code:d} and may have run")
def check_call(context: Context, code: int) -> None:
    error = context.reply
    assert isinstance(error, TroutstandError), error
    assert (int(error.code), error.run) == (code, Run.UNKNOWN), error


@dataclass
class _FailingTargets:
    """Answer each second request with a status; all of them have run."""

    status: str
    failed: set[str] = field(default_factory=set)
    _count: int = 0

    async def answer(self, target: str, head: Head, writer: GatedWriter) -> bool:
        self._count += 1
        request = head.headers["x-request-id"]
        is_stream = "stream" in head.path
        body, kind, status = b"whole", "text/plain", "200"
        if is_stream:
            body, kind = b"id: 1\ndata: one\n\n", "text/event-stream"
        if self._count % 2 == 0:
            self.failed.add(request)
            body, kind, status = b"no confirmation", "text/plain", self.status
        lines = [
            f"HTTP/1.1 {status} Told",
            f"X-Request-Id: {request}",
            f"{_SEAL}: {target}",
            f"Content-Type: {kind}",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        return True


@dataclass(frozen=True)
class _Told:
    """Hold what a caller was told of its request."""

    status: int
    seal: str | None
    body: bytes


@given("a routed site whose targets answer each second request, which they run, with {status}")
def open_failing(context: Context, status: str) -> None:
    open_scene(context, Scene(make_folder(context)))
    context.failing = _FailingTargets(status)
    for target in context.scene.targets:
        target.response_writer = context.failing.answer


async def _send(context: Context, route: str, number: int) -> tuple[str, _Told]:
    gateways = context.scene.site.list_role(RoutingRole.gateway)
    gateway = gateways[number % len(gateways)]
    request = f"promise-{number}"
    headers = {
        "Host": HOST,
        "X-Request-Id": request,
        "X-Workspace-Key": KEY,
        "X-Deadline-Ms": "3000",
        "X-Tokens": "10,10",
    }
    method = "GET" if route.startswith("/get") else "POST"
    url = f"http://{gateway.settings.callers}{route}x"
    timeout = aiohttp.ClientTimeout(total=5.0)
    session = context.scene.session
    async with session.request(method, url, headers=headers, timeout=timeout) as response:
        body = await response.read()
        return request, _Told(response.status, response.headers.get(_SEAL), body)


@when("{count:d} requests of {route} are sent")
def send_requests(context: Context, count: int, route: str) -> None:
    async def play() -> dict[str, _Told]:
        return dict([await _send(context, route, number) for number in range(count)])

    context.route = route
    began_s = time.monotonic()
    context.told = context.scene.background.run(play())
    context.took_s = time.monotonic() - began_s


@then("all are answered within {most_s:g} s")
def check_time(context: Context, most_s: float) -> None:
    assert context.took_s <= most_s, context.took_s


@then("those that ran and failed get {status:d}, and their targets' seal is {seal}")
def check_failed(context: Context, status: int, seal: str) -> None:
    failed = {request: context.told[request] for request in context.failing.failed}
    assert len(failed) >= 5, failed
    assert all(told.status == status for told in failed.values()), failed
    assert all((told.seal is not None) is (seal == "passed") for told in failed.values()), failed
    if seal != "passed":
        assert all(json.loads(told.body)["run"] == "unknown" for told in failed.values()), failed


def _count_runs(context: Context) -> Counter[str]:
    return Counter(run.request for target in context.scene.targets for run in target.runs)


@then("no request that ran is told as not run unless it may run again")
def check_promises(context: Context) -> None:
    runs = _count_runs(context)
    false = [r for r, told in context.told.items() if told.status in _PROMISES and runs[r]]
    assert not false or context.route not in _ONCE, false


@then("no request of a route whose requests run once has run twice")
def check_once(context: Context) -> None:
    repeated = [r for r, count in _count_runs(context).items() if count > 1]
    assert not repeated or context.route not in _ONCE, repeated
