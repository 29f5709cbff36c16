"""Simulate a model engine: continuous batching, a prefix cache and injected faults."""

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

app = App(name="engine", help="Simulate a model engine.")

_REPORT_PERIOD_S = 2.0
_MAX_STREAMS = 100_000
# The response repeats these last characters of the prompt, so that a caller can check it.
NONCE_CHARACTERS = 12


class EngineSettings(msgspec.Struct, frozen=True):
    """Hold the settings of one simulated engine."""

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
    """Describe how the engine misbehaves from now on."""

    slowdown: float = 1.0
    stall: bool = False
    cut_after: int | None = None
    cut_times: int = 0
    shuffle: bool = False
    foreign: bool = False
    duplicate: bool = False
    # The process exits when it starts a prompt that contains this text.
    deadly_text: str = ""
    # If not 0, rejects every request with this Retry-After, in seconds.
    rest_s: float = 0.0
    # Limit sent in every response, in requests per second; empty sends none.
    limit: str = ""
    # Whether every response announces a shutdown.
    tells_leaving: bool = False

    def write_headers(self) -> dict[str, str]:
        """Return the headers that announce the limit and the shutdown."""
        limit = {"X-Target-Limit": self.limit} if self.limit else {}
        leaving = {"X-Target-Leaving": "1"} if self.tells_leaving else {}
        return limit | leaving


class EngineRecord(msgspec.Struct, frozen=True):
    """Record one step of a request for the tests to check against."""

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
    """Track one request's progress, so that it can be resumed."""

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
    streams: dict[str, Stream] = field(default_factory=dict)
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
        """Append a record; called before the effect is visible to callers."""
        if self._records:
            self._records.write(msgspec.json.encode(record) + b"\n")

    def make_app(self) -> web.Application:
        """Make the engine's HTTP application."""
        application = web.Application(client_max_size=2**28)
        application.router.add_post("/v1/chat/completions", self.complete)
        application.router.add_post("/v1/completions", self.complete)
        application.router.add_delete("/engine/requests/{request}", self.cancel)
        application.router.add_get("/engine/load", self.get_load)
        application.router.add_get("/engine/cache-events", self.get_cache_events)
        application.router.add_post("/engine/orders", self.accept_order)
        application.router.add_post("/test/fault", self.set_fault)
        return application

    async def complete(self, http: web.Request) -> web.StreamResponse:
        """Stream a completion from its start, or resume it after the last event received."""
        payload: dict[str, Any] = msgspec.json.decode(await http.read())
        request = http.headers.get("X-Request-Id", "none")
        if self.fault.rest_s:
            self.record(EngineRecord(time.time(), request, "turned_away"))
            headers = {"Retry-After": f"{self.fault.rest_s:g}", **self.fault.write_headers()}
            return web.Response(status=503, headers=headers)
        last = http.headers.get("Last-Event-ID")
        if last is not None and request in self.streams:
            stream = self.streams[request]
            self.record(EngineRecord(time.time(), request, "resumed"))
            return await self._send(http, stream, int(last) + 1)
        stream = self._open_stream(request, payload, http.path.endswith("/chat/completions"))
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running[request] = stream
            try:
                return await self._serve(http, stream, payload)
            finally:
                self.running.pop(request, None)

    def _open_stream(self, request: str, payload: dict[str, Any], is_chat: bool) -> Stream:
        total = payload.get("max_tokens") or payload.get("max_completion_tokens") or 16
        stream = Stream(request, payload["model"], total, is_chat, 0, 0)
        self.streams[request] = stream
        while len(self.streams) > _MAX_STREAMS:
            self.streams.pop(next(iter(self.streams)))
        return stream

    async def _serve(
        self, http: web.Request, stream: Stream, payload: dict[str, Any]
    ) -> web.StreamResponse:
        text = _read_text(payload)
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
            if self._consume_cut(number):
                assert http.transport is not None
                http.transport.abort()
                return response
            events = [self._make_token_event(stream, n) for n in range(number, last)]
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
        await response.write(self._make_end_events(stream))
        self.record(EngineRecord(time.time(), stream.request, "ended", sent_tokens=stream.total))
        return response

    def _consume_cut(self, number: int) -> bool:
        fault = self.fault
        if fault.cut_after is None or number < fault.cut_after or fault.cut_times <= 0:
            return False
        self.fault = msgspec.structs.replace(fault, cut_times=fault.cut_times - 1)
        return True

    def _make_token_event(self, stream: Stream, number: int) -> bytes:
        token = f"{stream.nonce}-{number} "
        delta = f'"delta":{{"content":"{token}"}}' if stream.is_chat else f'"text":"{token}"'
        return self._make_event(stream, number, f'"choices":[{{"index":0,{delta}}}]')

    def _make_end_events(self, stream: Stream) -> bytes:
        delta = '"delta":{}' if stream.is_chat else '"text":""'
        last = f'"choices":[{{"index":0,{delta},"finish_reason":"stop"}}]'
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
        stream = self.streams.get(http.match_info["request"])
        if stream:
            stream.cancelled = True
        return web.json_response({})

    async def get_load(self, _: web.Request) -> web.Response:
        """Return a load report that is up to two seconds old."""
        now_s = time.time()
        if now_s - self._report.at_s >= _REPORT_PERIOD_S:
            self._report = LoadReport(len(self.running), self.waiting, now_s)
        return web.Response(body=msgspec.json.encode(self._report))

    async def get_cache_events(self, _: web.Request) -> web.Response:
        """Return no cache events and report them as lost, as engines may."""
        return web.Response(body=msgspec.json.encode(CacheEvents(0, True)))

    async def accept_order(self, http: web.Request) -> web.Response:
        """Accept an order whose epoch is above every earlier one; answer 409 otherwise."""
        order = msgspec.json.decode(await http.read(), type=Order)
        if order.epoch <= self.epoch:
            return web.Response(status=409)
        self.epoch = order.epoch
        self.orders.append(order)
        return web.Response()

    async def set_fault(self, http: web.Request) -> web.Response:
        """Install the fault in the request body."""
        self.fault = msgspec.json.decode(await http.read(), type=Fault)
        return web.Response()


def _read_text(payload: dict[str, Any]) -> str:
    if "prompt" in payload:
        return str(payload["prompt"])
    return "\n".join(f"{m['role']}: {m.get('content') or ''}" for m in payload["messages"])


async def serve_app(application: web.Application, ip: str, port: int) -> None:
    """Serve an application until the process ends."""
    runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, ip, port, backlog=1024).start()
    await asyncio.Event().wait()


@app.default
def run(settings: Path) -> None:
    """Run the engine that a settings file describes."""
    loaded = msgspec.json.decode(settings.read_bytes(), type=EngineSettings)
    engine = Engine(loaded)
    asyncio.run(serve_app(engine.make_app(), loaded.ip, loaded.port))


if __name__ == "__main__":
    app()
