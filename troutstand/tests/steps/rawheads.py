"""Write heads byte by byte to a gateway, and read the bytes that come back."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.configuration import CallerLimits
from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import HOST, KEY, ConfigurationPlan, wait_until
from troutstand.tests.environment import make_folder
from troutstand.tests.steps.resting import open_scene

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.partition import GatedWriter
    from troutstand.testing.standins import Head

_VALUES = {
    "ASCII": b"cafe",
    "latin-1": b"caf\xe9 \xfc",
    "UTF-8": "café ü \u20ac".encode(),
    "any high": bytes(range(0x80, 0x100)),
}
_NAME = b"X-Custom"
_HEAD_END = b"\r\n\r\n"
_HEADER_BYTES = 64 << 10
_LIMIT_S = 6.0
_PIECE_BYTES = 16 << 10
_MAX_WRITTEN_BYTES = 32 << 20
_HEADS = {
    "many short headers": (b"", b"A: b\r\n", None),
    "one long value": (b"X-Long: ", b"x", None),
    "headers that end after 70000 bytes": (b"", b"A: b\r\n", 70000),
}


@dataclass
class _EchoingTargets:
    """Answer with the bytes of a header value that the request has."""

    short_count: int = 0
    value: bytes = b""

    async def answer(self, target: str, head: Head, writer: GatedWriter) -> bool:
        self.value = head.headers.get(_NAME.decode().lower(), "").encode("latin-1")
        self.short_count = sum(name.startswith("x-n") for name in head.headers)
        is_stream = "stream" in head.path
        body = b"id: 1\ndata: one\n\n" if is_stream else b"whole"
        kind = "text/event-stream" if is_stream else "text/plain"
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {head.headers['x-request-id']}",
            f"X-Answer-Seal: {target}",
            f"Content-Type: {kind}",
            f"Content-Length: {len(body)}",
        ]
        data = "\r\n".join([*lines, ""]).encode() + _NAME + b": " + self.value + _HEAD_END + body
        writer.write(data)
        await writer.drain()
        return True


@given("a routed site whose targets send back the header value of {kind} bytes that they got")
def open_site(context: Context, kind: str) -> None:
    limits = CallerLimits(header_bytes=_HEADER_BYTES)
    context.plan = ConfigurationPlan(limits=limits)
    open_scene(context, Scene(make_folder(context), gateways=1, configuration=context.plan))
    context.echo = _EchoingTargets()
    for target in context.scene.targets:
        target.response_writer = context.echo.answer


def _make_head(route: str, request: str, more: list[bytes], length: int = 1) -> bytes:
    method = "GET" if route.startswith("/get") else "POST"
    lines = [
        f"{method} {route}x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request}",
        f"X-Workspace-Key: {KEY}",
        "X-Deadline-Ms: 4000",
        "X-Tokens: 10,10",
        f"Content-Length: {length}",
    ]
    return b"\r\n".join([line.encode() for line in lines] + more) + b"\r\n"


async def _connect(context: Context) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    gateway = context.scene.site.list_role(RoutingRole.gateway)[0]
    ip, _, port = gateway.settings.callers.rpartition(":")
    return await asyncio.open_connection(ip, int(port))


async def _exchange(context: Context, data: bytes) -> bytes:
    reader, writer = await _connect(context)
    writer.write(data)
    try:
        async with asyncio.timeout(_LIMIT_S):
            return await reader.read(-1)
    finally:
        writer.close()


def _send(context: Context, route: str, more: list[bytes]) -> None:
    head = _make_head(route, "raw-1", [*more, b"Connection: close"])
    context.received = context.scene.background.run(_exchange(context, head + b"\r\nx"))


def _parse_status(data: bytes) -> int:
    return int(data.split(b" ", 2)[1]) if data else 0


@when("a request of {route} with a header value of {kind} bytes is written")
def send_value(context: Context, route: str, kind: str) -> None:
    context.value = _VALUES[kind]
    _send(context, route, [_NAME + b": " + context.value])


@then("the target has got that value byte for byte")
def check_target(context: Context) -> None:
    assert context.echo.value == context.value, (context.echo.value, context.received)


@then("the caller has got that value byte for byte, and the whole body")
def check_caller(context: Context) -> None:
    head, _, body = context.received.partition(_HEAD_END)
    lines = head.split(b"\r\n")
    assert _parse_status(head) == 200, context.received
    assert _NAME.lower() + b": " + context.value in [
        name.lower() + b":" + value for name, _, value in (line.partition(b":") for line in lines)
    ], lines
    assert b"whole" in body or b"data: one\n\n" in body, body


@when("a request with {count:d} headers of 4 bytes beside it is written")
def send_many(context: Context, count: int) -> None:
    _send(context, "/get/", [f"X-N{number}: y".encode() for number in range(count)])


@then("the caller has got status {status:d}")
def check_status(context: Context, status: int) -> None:
    assert _parse_status(context.received) == status, context.received[:500]


@then("the target has got {count:d} of these headers")
def check_short(context: Context, count: int) -> None:
    assert context.echo.short_count == count, context.echo.short_count


# Heads above the bound


def _make_endless(what: str) -> tuple[bytes, bytes, int | None]:
    if what == "one long path":
        return b"GET /get/", b"x", None
    start, piece, end = _HEADS[what]
    return _make_head("/get/", "raw-1", []) + start, piece, end


async def _write_until_closed(context: Context, what: str) -> None:
    reader, writer = await _connect(context)
    start, piece, end = _make_endless(what)
    began_s = time.monotonic()
    reading = asyncio.create_task(reader.read(-1))
    data = piece * (_PIECE_BYTES // len(piece))
    writer.write(start)
    context.written = len(start)
    with contextlib.suppress(ConnectionError):
        while not reading.done() and context.written < _MAX_WRITTEN_BYTES:
            writer.write(data)
            context.written += len(data)
            await writer.drain()
            if end is not None and context.written >= end:
                writer.write(b"\r\nx")
                break
            await asyncio.sleep(0)
    async with asyncio.timeout(_LIMIT_S):
        context.received = await reading
    context.took_s = time.monotonic() - began_s
    writer.close()


@when("a head of {what} is written until the connection closes")
def send_endless(context: Context, what: str) -> None:
    context.scene.background.run(_write_until_closed(context, what))


@then('the caller has got status {status:d} with code {code:d} and "{run}" within {limit_s:g} s')
def check_refused(context: Context, status: int, code: int, run: str, limit_s: float) -> None:
    head, _, body = context.received.partition(_HEAD_END)
    assert _parse_status(head) == status, context.received[:500]
    told = json.loads(body)
    assert (told["code"], told["run"]) == (code, run), told
    assert context.took_s <= limit_s, context.took_s


@then("at most {most:d} KiB of it were written")
def check_written(context: Context, most: int) -> None:
    assert context.written <= most << 10, context.written


@then("a log line {name} tells it")
def check_log(context: Context, name: str) -> None:
    async def is_told() -> bool:
        return f"event={name}" in context.scene.site.read_logs()

    context.scene.background.run(wait_until(is_told, f"{name} is logged"))


# Pipelined bodies


@when("{count:d} requests with bodies of {length:d} bytes are written at once on one connection")
def send_bodies(context: Context, count: int, length: int) -> None:
    requests = [
        _make_head("/do/", f"raw-{n}", [b"Connection: close"] if n == count - 1 else [], length)
        + b"\r\n"
        + b"x" * length
        for n in range(count)
    ]
    context.received = context.scene.background.run(_exchange(context, b"".join(requests)))
    context.count = count


@then("each of them gets status {status:d}")
def check_all(context: Context, status: int) -> None:
    heads = context.received.count(f"HTTP/1.1 {status} ".encode())
    assert heads == context.count, context.received[:2000]


@when("{count:d} requests with bodies in chunks are written at once on one connection")
def send_chunks(context: Context, count: int) -> None:
    # The content holds what would end a body.
    body = b"7\r\nx0\r\n\r\nx\r\n5\r\n0\r\n\r\n\r\n0\r\n\r\n"
    requests = []
    for number in range(count):
        more = [b"Transfer-Encoding: chunked"]
        if number == count - 1:
            more.append(b"Connection: close")
        head = _make_head("/do/", f"raw-{number}", more)
        requests.append(head.replace(b"Content-Length: 1\r\n", b"") + b"\r\n" + body)
    context.received = context.scene.background.run(_exchange(context, b"".join(requests)))
    context.count = count


# Requests that stop short


@when("a {part} that stops short is written")
def send_short(context: Context, part: str) -> None:
    data = _make_head("/do/", "raw-1", [b"Connection: close"], 2)
    if part == "body":
        data += b"\r\nx"
    began_s = time.monotonic()
    context.received = context.scene.background.run(_exchange(context, data))
    context.took_s = time.monotonic() - began_s


# The limit of the configuration


@when("a configuration allows headers of {size:d} bytes")
def allow_headers(context: Context, size: int) -> None:
    scene = context.scene
    context.plan.version += 1
    context.plan.limits = CallerLimits(header_bytes=size)
    scene.background.run(scene.site.write_anywhere(scene.session, context.plan.encode()))


@then("in the end a request with headers of {size:d} bytes gets {status:d}")
def check_headers(context: Context, size: int, status: int) -> None:
    async def is_answered() -> bool:
        head = _make_head("/get/", "raw-1", [b"Connection: close", b"X-Long: "])
        line, _, headers = head.partition(b"\r\n")
        # The headers end with an empty line of two bytes.
        padding = b"x" * (size - len(headers) - 2)
        data = line + b"\r\n" + headers.removesuffix(b"\r\n") + padding + b"\r\n\r\nx"
        return _parse_status(await _exchange(context, data)) == status

    what = f"{size} bytes of headers get {status}"
    context.scene.background.run(wait_until(is_answered, what))
