"""Stand in for a model engine: continuous batching, a prefix cache, faults on order."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web
from cyclopts import App

from troutstand.backends.base import CacheEvents, LoadReport, Order
from troutstand.core.prefix import PrefixCache, count_tokens, hash_prefixes

app = App(name="engine", help="Stand in for a model engine.")

_REPORT_EVERY_S = 2.0
_RECENT_REQUESTS = 100_000
# The last characters of a prompt come back in the answer, so that its caller
# knows it for its own.
NONCE_CHARACTERS = 12


class EngineSettings(msgspec.Struct, frozen=True):
    """Describe one stand-in engine."""

    name: str
    ip: str
    port: int
    slots: int = 8
    prefill_tokens_per_s: float = 20000.0
    decode_tokens_per_s: float = 200.0
    cache_tokens: int = 65536
    cache_lag_s: float = 1.0
    record_file: str | None = None
    tokens_an_event: int = 1


class Fault(msgspec.Struct, frozen=True):
    """Order how the engine misbehaves from now on."""

    slowdown: float = 1.0
    stall: bool = False
    cut_after: int | None = None
    cut_times: int = 0
    shuffle: bool = False
    foreign: bool = False
    duplicate: bool = False
    # A prompt that holds this text ends the process as it begins to run.
    deadly_text: str = ""
    # Turns every request away and asks for so many seconds of rest; 0 turns none away.
    rest_s: float = 0.0
    # The limit that every answer names, in requests a second; empty is not told.
    limit: str = ""
    # Whether every answer says that the engine leaves.
    tells_leaving: bool = False

    def write_headers(self) -> dict[str, str]:
        """Return the headers in which the engine speaks of itself."""
        limit = {"X-Target-Limit": self.limit} if self.limit else {}
        leaving = {"X-Target-Leaving": "1"} if self.tells_leaving else {}
        return limit | leaving


class EngineRecord(msgspec.Struct, frozen=True):
    """Tell what the engine did for one request; the tests' oracle."""

    at_s: float
    request: str
    event: str
    prompt_tokens: int = 0
    computed_tokens: int = 0
    held_tokens: int = 0
    sent_tokens: int = 0
    nonce: str = ""


@dataclass
class Stream:
    """Keep one request's progress, so that it can be resumed."""

    request: str
    model: str
    total: int
    is_chat: bool
    prompt_tokens: int
    cached_tokens: int
    nonce: str = ""
    cancelled: bool = False
    sent: int = 0


@dataclass
class Engine:
    """Serve requests in a batch of bounded size, prefilling one at a time."""

    settings: EngineSettings
    fault: Fault = field(default_factory=Fault)
    running: dict[str, Stream] = field(default_factory=dict)
    known: dict[str, Stream] = field(default_factory=dict)
    epoch: int = 0
    orders: list[Order] = field(default_factory=list)
    waiting: int = 0

    def __post_init__(self) -> None:
        self.cache = PrefixCache(self.settings.cache_tokens)
        self._slots = asyncio.Semaphore(self.settings.slots)
        self._prefill = asyncio.Lock()
        self._report = LoadReport(0, 0, 0.0)
        path = self.settings.record_file
        self._records = Path(path).open("ab", buffering=0) if path else None

    def record(self, record: EngineRecord) -> None:
        """Write down what was done, before it can be seen."""
        if self._records:
            self._records.write(msgspec.json.encode(record) + b"\n")

    def make_app(self) -> web.Application:
        """Make the engine's application."""
        application = web.Application(client_max_size=2**28)
        application.router.add_post("/v1/chat/completions", self.complete)
        application.router.add_post("/v1/completions", self.complete)
        application.router.add_delete("/engine/requests/{request}", self.cancel)
        application.router.add_get("/engine/load", self.tell_load)
        application.router.add_get("/engine/cache-events", self.tell_cache_events)
        application.router.add_post("/engine/orders", self.take_order)
        application.router.add_post("/test/fault", self.take_fault)
        return application

    async def complete(self, http: web.Request) -> web.StreamResponse:
        """Answer a completion, from its start or from where it broke off."""
        plain: dict[str, Any] = msgspec.json.decode(await http.read())
        request = http.headers.get("X-Request-Id", "none")
        if self.fault.rest_s:
            self.record(EngineRecord(time.time(), request, "turned_away"))
            headers = {"Retry-After": f"{self.fault.rest_s:g}", **self.fault.write_headers()}
            return web.Response(status=503, headers=headers)
        last = http.headers.get("Last-Event-ID")
        if last is not None and request in self.known:
            stream = self.known[request]
            self.record(EngineRecord(time.time(), request, "resumed"))
            return await self._send(http, stream, int(last) + 1)
        stream = self._open(request, plain, http.path.endswith("/chat/completions"))
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running[request] = stream
            try:
                return await self._serve(http, stream, plain)
            finally:
                self.running.pop(request, None)

    def _open(self, request: str, plain: dict[str, Any], is_chat: bool) -> Stream:
        total = plain.get("max_tokens") or plain.get("max_completion_tokens") or 16
        stream = Stream(request, plain["model"], total, is_chat, 0, 0)
        self.known[request] = stream
        while len(self.known) > _RECENT_REQUESTS:
            self.known.pop(next(iter(self.known)))
        return stream

    async def _serve(
        self, http: web.Request, stream: Stream, plain: dict[str, Any]
    ) -> web.StreamResponse:
        text = _read_text(plain)
        prefixes = hash_prefixes(stream.model, text)
        stream.prompt_tokens = count_tokens(text)
        stream.nonce = text[-NONCE_CHARACTERS:]
        stream.cached_tokens = min(stream.prompt_tokens, self.cache.match(prefixes))
        computed = stream.prompt_tokens - stream.cached_tokens
        self.record(
            EngineRecord(
                time.time(),
                stream.request,
                "started",
                stream.prompt_tokens,
                computed,
                stream.cached_tokens,
                nonce=stream.nonce,
            )
        )
        if self.fault.deadly_text and self.fault.deadly_text in text:
            os._exit(1)
        if self.fault.stall:
            await asyncio.sleep(3600)
        async with self._prefill:
            rate = self.settings.prefill_tokens_per_s / self.fault.slowdown
            await asyncio.sleep(computed / rate)
        self.cache.insert(prefixes)
        return await self._send(http, stream, 0)

    async def _send(self, http: web.Request, stream: Stream, first: int) -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream", **self.fault.write_headers()}
        response = web.StreamResponse(headers=headers)
        await response.prepare(http)
        step_s = self.fault.slowdown / self.settings.decode_tokens_per_s
        next_s = time.monotonic()
        number = first
        while number < stream.total and not stream.cancelled:
            last = min(stream.total, number + self.settings.tokens_an_event)
            next_s += step_s * (last - number)
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            if self._should_cut(number):
                assert http.transport is not None
                http.transport.abort()
                return response
            events = [self._make_token(stream, n) for n in range(number, last)]
            if self.fault.shuffle:
                events = events[::-1]
            if self.fault.duplicate:
                events = events + events
            await response.write(b"".join(events))
            number = last
            stream.sent = number
        if stream.cancelled:
            self.record(EngineRecord(time.time(), stream.request, "cancelled"))
            return response
        await response.write(self._make_end(stream))
        self.record(EngineRecord(time.time(), stream.request, "ended", sent_tokens=stream.total))
        return response

    def _should_cut(self, number: int) -> bool:
        fault = self.fault
        if fault.cut_after is None or number < fault.cut_after or fault.cut_times <= 0:
            return False
        self.fault = msgspec.structs.replace(fault, cut_times=fault.cut_times - 1)
        return True

    def _make_token(self, stream: Stream, number: int) -> bytes:
        word = f"{stream.nonce}-{number} "
        piece = f'"delta":{{"content":"{word}"}}' if stream.is_chat else f'"text":"{word}"'
        return self._make_event(stream, number, f'"choices":[{{"index":0,{piece}}}]')

    def _make_end(self, stream: Stream) -> bytes:
        piece = '"delta":{}' if stream.is_chat else '"text":""'
        last = f'"choices":[{{"index":0,{piece},"finish_reason":"stop"}}]'
        total = stream.prompt_tokens + stream.total
        usage = (
            f'"choices":[],"usage":{{"prompt_tokens":{stream.prompt_tokens},'
            f'"completion_tokens":{stream.total},"total_tokens":{total},'
            f'"prompt_tokens_details":{{"cached_tokens":{stream.cached_tokens}}}}}'
        )
        return (
            self._make_event(stream, stream.total, last)
            + self._make_event(stream, stream.total + 1, usage)
            + b"data: [DONE]\n\n"
        )

    def _make_event(self, stream: Stream, number: int, rest: str) -> bytes:
        request = "somebody-else" if self.fault.foreign else stream.request
        kind = "chat.completion.chunk" if stream.is_chat else "text_completion"
        return (
            f'id: {number}\ndata: {{"id":"chatcmpl-{request}","object":"{kind}",'
            f'"created":1,"model":"{stream.model}",{rest}}}\n\n'
        ).encode()

    async def cancel(self, http: web.Request) -> web.Response:
        """Stop a running request."""
        stream = self.known.get(http.match_info["request"])
        if stream:
            stream.cancelled = True
        return web.json_response({})

    async def tell_load(self, _: web.Request) -> web.Response:
        """Tell a load that is up to two seconds old."""
        now_s = time.time()
        if now_s - self._report.at_s >= _REPORT_EVERY_S:
            self._report = LoadReport(len(self.running), self.waiting, now_s)
        return web.Response(body=msgspec.json.encode(self._report))

    async def tell_cache_events(self, _: web.Request) -> web.Response:
        """Tell cache events; this stand-in loses them all, as engines may."""
        return web.Response(body=msgspec.json.encode(CacheEvents(0, True)))

    async def take_order(self, http: web.Request) -> web.Response:
        """Take an order unless its epoch is not above every earlier one."""
        order = msgspec.json.decode(await http.read(), type=Order)
        if order.epoch <= self.epoch:
            return web.Response(status=409)
        self.epoch = order.epoch
        self.orders.append(order)
        return web.Response()

    async def take_fault(self, http: web.Request) -> web.Response:
        """Misbehave as ordered."""
        self.fault = msgspec.json.decode(await http.read(), type=Fault)
        return web.Response()


def _read_text(plain: dict[str, Any]) -> str:
    if "prompt" in plain:
        return str(plain["prompt"])
    return "\n".join(f"{m['role']}: {m.get('content') or ''}" for m in plain["messages"])


async def serve_app(application: web.Application, ip: str, port: int) -> None:
    """Serve an application until the process ends."""
    runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, ip, port, backlog=1024).start()
    await asyncio.Event().wait()


@app.default
def run(settings: Path) -> None:
    """Run the stand-in that a settings file describes."""
    loaded = msgspec.json.decode(settings.read_bytes(), type=EngineSettings)
    engine = Engine(loaded)
    asyncio.run(serve_app(engine.make_app(), loaded.ip, loaded.port))


if __name__ == "__main__":
    app()
