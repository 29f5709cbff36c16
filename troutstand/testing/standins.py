"""Stand in for the targets and the target list of a routed site.

Targets keep a record of every run, from which promises are checked; faults
are switched on from outside.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

from troutstand.testing.arrivals import Arrival, LimitNotice
from troutstand.testing.scriptedtarget import reset_connection

_HEAD_END = b"\r\n\r\n"
_ELSEWHERE = b"HTTP/1.1 421 Elsewhere\r\nContent-Length: 0\r\n\r\n"
_QUEUE = 24
# The event within which a stream breaks off, counted from where it began.
_CUT_EVENT = 2


class Fault(Enum):
    """Say how a target misbehaves."""

    NONE = "none"
    SLOW = "slow"
    SHED = "shed"
    ERRORS = "errors"
    RESET = "reset"
    MUTE = "mute"
    LOSE_ANSWERS = "lose answers"
    # Half of the answers break off; half of the streams to go on with do, or fail whole.
    CUT_ANSWERS = "cut answers"
    SURPLUS = "surplus"


@dataclass(frozen=True)
class RunRecord:
    """Tell of one run; times in seconds on the steady clock."""

    request: str
    target: str
    service: str
    workspace: str
    path: str
    tokens: int
    started_s: float
    has_key: bool
    resumed_after: int
    body_digest: int


@dataclass(frozen=True)
class ResumedResponse:
    """Say what a target answers to a request that goes on behind an event."""

    status: str
    content_type: str
    body: bytes


_FAILED = ResumedResponse("500 Fault", "text/plain", b"broken")


@dataclass
class Head:
    """Hold a request's first line and headers."""

    method: str
    path: str
    headers: dict[str, str]


def parse_head(data: bytes) -> Head:
    """Parse a request's head; header names in lower case."""
    first, *lines = data.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in lines)
    return Head(method, path, {key.strip().lower(): value.strip() for key, _, value in pairs})


# Writes the answer of a target, named first, and tells whether its connection is kept.
ResponseWriter = Callable[[str, Head, asyncio.StreamWriter], Awaitable[bool]]


@dataclass
class StandInTarget:
    """Serve requests of one service on loopback, a few at a time."""

    target: str
    service: str
    slots: int = 4
    work_s: float = 0.02
    events: int = 4
    # Seconds between two events; a quarter of the work where it is not told.
    event_s: float | None = None
    fault: Fault = Fault.NONE
    # How long a caller whom it turns away should leave it alone; 0 is not told.
    backoff_s: float = 0.0
    # Whether its answers say that it leaves, whatever the list of targets shows.
    is_leaving: bool = False
    # The limit that its answers name, in requests a second; empty is not told.
    limit: str = ""
    # When its answers named a limit.
    limit_notices: list[LimitNotice] = field(default_factory=list)
    # What its software does wrong by itself, whatever else is switched on and off.
    permanent_fault: Fault = Fault.NONE
    resumed_response: ResumedResponse | None = None
    response_writer: ResponseWriter | None = None
    # The body that ends the process as it runs it; it is back after so many seconds, under
    # another name.
    crash_body: bytes = b""
    back_s: float = 1.5
    is_draining: bool = False
    # How many drains of it are under way.
    drains: int = 0
    version: str = ""
    address: str = ""
    # When it says that it was born, in Unix milliseconds; 0 is not told.
    born_ms: int = 0
    runs: list[RunRecord] = field(default_factory=list)
    ended: dict[str, str] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    seed: int = 0
    idle_s: float = 30.0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _busy: asyncio.Semaphore = field(init=False)
    _waiting: int = 0
    _random: random.Random = field(init=False)
    # Apart, so that which answers break off does not hang on who goes on with them.
    _resumed_random: random.Random = field(init=False)
    # When the deadly body came, run or not, and when the process ended under it.
    crash_body_received_s: list[float] = field(default_factory=list)
    crash_times_s: list[float] = field(default_factory=list)
    _restarts: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._busy = asyncio.Semaphore(self.slots)
        self._random = random.Random(self.seed)
        self._resumed_random = random.Random(self.seed)

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen, at the address used before if there is one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, ip, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def count_running(self) -> int:
        """Return how many requests it works on."""
        return sum(1 for run in self.runs if run.request not in self.ended)

    async def _crash_for_a_while(self) -> None:
        self.crash_times_s.append(time.monotonic())
        await self.crash()
        restart = asyncio.create_task(self._restart())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(self.back_s)
        self.target = f"{self.target.partition('@')[0]}@{len(self.crash_times_s)}"
        await self.start()

    async def close(self) -> None:
        """End for good."""
        for restart in list(self._restarts):
            restart.cancel()
        await self.crash()

    async def crash(self) -> None:
        """Stop listening and reset every connection."""
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset_connection(writer)
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError, TimeoutError, OSError
            ):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        async with asyncio.timeout(self.idle_s):
            data = await reader.readuntil(_HEAD_END)
        head = parse_head(data[: -len(_HEAD_END)])
        body = await reader.readexactly(int(head.headers.get("content-length", 0)))
        if self.crash_body and body == self.crash_body:
            self.crash_body_received_s.append(time.monotonic())
        if head.headers.get("x-expected-target", self.target) != self.target:
            writer.write(_ELSEWHERE)
            return True
        if self.fault is Fault.SHED or self._waiting >= _QUEUE:
            self._turn_away(head, writer)
            return True
        self._note_arrival(head, backoff_s=0.0)
        if self.fault is Fault.MUTE:
            await reader.read()
            return False
        return await self._work(head, body, reader, writer)

    def _note_arrival(self, head: Head, backoff_s: float) -> None:
        request = head.headers.get("x-request-id", "")
        now_s = time.monotonic()
        arrival = Arrival(
            request, self.target, now_s, backoff_s, self.is_leaving, self.born_ms, self.limit
        )
        self.arrivals.append(arrival)

    def _turn_away(self, head: Head, writer: asyncio.StreamWriter) -> None:
        self._note_arrival(head, self.backoff_s)
        rest = f"Retry-After: {self.backoff_s:g}\r\n" if self.backoff_s else ""
        own = self._tell_own(head.headers.get("x-request-id", ""))
        lines = f"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n{rest}{own}Content-Length: 0\r\n\r\n"
        writer.write(lines.encode())

    def _tell_own(self, request: str) -> str:
        """Return the headers in which it speaks of itself, in the answer to a request."""
        leaving = "X-Target-Leaving: 1\r\n" if self.is_leaving else ""
        if not self.limit:
            return leaving
        self.limit_notices.append(LimitNotice(request, self.target, time.monotonic(), self.limit))
        return f"{leaving}X-Target-Limit: {self.limit}\r\n"

    async def _work(
        self, head: Head, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self._waiting += 1
        leaving = asyncio.ensure_future(reader.read(1))
        try:
            taking = asyncio.ensure_future(self._busy.acquire())
            await asyncio.wait([taking, leaving], return_when=asyncio.FIRST_COMPLETED)
            if not taking.done():
                taking.cancel()
                return False
        finally:
            self._waiting -= 1
        try:
            return await self._run(head, body, writer, leaving)
        finally:
            self._busy.release()
            await _stop_watching(leaving)

    async def _run(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter, leaving: asyncio.Future[bytes]
    ) -> bool:
        request = head.headers.get("x-request-id", "")
        self._note_run(head, body)
        work_s = self.work_s * (10.0 if self.fault is Fault.SLOW else 1.0)
        done, _ = await asyncio.wait([leaving], timeout=work_s)
        if done:
            self.ended[request] = "left"
            return False
        await _stop_watching(leaving)
        if self.crash_body and body == self.crash_body:
            await self._crash_for_a_while()
            return False
        if self.fault is Fault.RESET and self._random.random() < 0.5:
            reset_connection(writer)
            return False
        if self.fault is Fault.LOSE_ANSWERS and self._random.random() < 0.5:
            self.ended[request] = "lost"
            reset_connection(writer)
            return False
        return await self._answer(head, body, writer)

    def _note_run(self, head: Head, body: bytes) -> None:
        prompt, _, output = head.headers.get("x-tokens", "0").partition(",")
        self.runs.append(
            RunRecord(
                request=head.headers.get("x-request-id", ""),
                target=self.target,
                service=self.service,
                workspace=head.headers.get("x-workspace", ""),
                path=head.path,
                tokens=int(prompt) + int(output or 0),
                started_s=time.monotonic(),
                has_key="x-workspace-key" in head.headers,
                resumed_after=int(head.headers.get("last-event-id") or 0),
                body_digest=hash(body),
            )
        )

    async def _answer(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if self.response_writer is not None:
            return await self.response_writer(self.target, head, writer)
        request = head.headers.get("x-request-id", "")
        is_resumed = "last-event-id" in head.headers
        if self.resumed_response is not None and is_resumed:
            return await self._answer_continued(request, self.resumed_response, writer)
        is_cut_once = self.resumed_response is not None
        cuts = is_cut_once or (self.fault is Fault.CUT_ANSWERS and self._random.random() < 0.5)
        if cuts and is_resumed and self._resumed_random.random() < 0.5:
            return await self._answer_continued(request, _FAILED, writer)
        fails = self.fault is Fault.ERRORS and self._random.random() < 0.5
        status = "500 Fault" if fails else "200 OK"
        common = f"HTTP/1.1 {status}\r\nX-Request-Id: {request}\r\nX-Answer-Seal: {self.target}\r\n"
        common += self._tell_own(request)
        if "stream" in head.path and not fails:
            return await self._stream(head, common, writer, cuts)
        answer = make_body(request, body)
        writer.write(f"{common}Content-Length: {len(answer)}\r\n\r\n".encode())
        if cuts:
            writer.write(answer[: len(answer) // 2])
            await writer.drain()
            return False
        writer.write(answer)
        if self.fault is Fault.SURPLUS:
            writer.write(f"{common}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
        await writer.drain()
        self.ended[request] = "whole"
        return True

    async def _answer_continued(
        self, request: str, answer: ResumedResponse, writer: asyncio.StreamWriter
    ) -> bool:
        lines = [
            f"HTTP/1.1 {answer.status}",
            f"X-Request-Id: {request}",
            f"X-Answer-Seal: {self.target}",
            f"Content-Type: {answer.content_type}",
            f"Content-Length: {len(answer.body)}",
        ]
        head = "\r\n".join([*lines, self._tell_own(request)])
        writer.write(f"{head}\r\n".encode() + answer.body)
        await writer.drain()
        self.ended[request] = "whole"
        return True

    async def _stream(
        self, head: Head, common: str, writer: asyncio.StreamWriter, cuts: bool
    ) -> bool:
        request = head.headers.get("x-request-id", "")
        after = int(head.headers.get("last-event-id") or 0)
        kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write((common + kind).encode())
        for number in range(after + 1, self.events + 1):
            event = make_event(request, number)
            if cuts and number == after + _CUT_EVENT:
                writer.write(f"{len(event):x}\r\n".encode() + event[:5])
                await writer.drain()
                return False
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.work_s / 4 if self.event_s is None else self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.ended[request] = "whole"
        return True


async def _stop_watching(leaving: asyncio.Future[bytes]) -> None:
    """End the watch for the caller's leaving, so that the next request can be read."""
    leaving.cancel()
    await asyncio.wait([leaving])


def make_body(request: str, body: bytes) -> bytes:
    """Return the answer that a request with a body should get."""
    return f"answer to {request} with {len(body)} bytes".encode()


def make_event(request: str, number: int) -> bytes:
    """Return one event of a request's stream."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


class StandInList:
    """Serve the list of targets, late and to a bounded number of readers."""

    def __init__(self, targets: list[StandInTarget], lag_s: float = 0.0) -> None:
        self.targets = targets
        self.address = ""
        self.reads = 0
        self.is_down = False
        # Written as they are between the sound entries.
        self.invalid_entries: list[bytes] = []
        self._lag_s = lag_s
        self._history: deque[tuple[float, bytes]] = deque()
        self._runner: web.AppRunner | None = None
        self._pages = itertools.count()

    async def start(self) -> None:
        """Listen on loopback."""
        app = web.Application()
        app.router.add_get("/targets", self._answer)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the address."""
        if self._runner:
            await self._runner.cleanup()

    def _describe(self) -> bytes:
        entries = [
            {
                "target": target.target,
                "service": target.service,
                "address": target.address,
                "failure_domain": "north",
                "slots": target.slots,
                "state": "draining" if target.is_draining else "ready",
                "version": target.version,
                "born_ms": target.born_ms,
            }
            for target in self.targets
        ]
        sound = [json.dumps(entry).encode() for entry in entries]
        return b'{"targets":[' + b",".join([*self.invalid_entries, *sound]) + b'],"next":null}'

    async def _answer(self, request: web.Request) -> web.Response:
        self.reads += 1
        if self.is_down:
            return web.Response(status=503)
        now_s = time.monotonic()
        self._history.append((now_s, self._describe()))
        while len(self._history) > 1 and self._history[1][0] <= now_s - self._lag_s:
            self._history.popleft()
        return web.Response(body=self._history[0][1], content_type="application/json")
