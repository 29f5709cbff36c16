"""Simulate the targets and the target list of a routed site.

Targets record every run for the checks of the tests; tests switch their faults on and off.
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
from troutstand.testing.crashparts import CrashParts
from troutstand.testing.partition import CutKind, GatedWriter, drop_packets
from troutstand.testing.scriptedtarget import reset_connection

_HEAD_END = b"\r\n\r\n"
_MISDIRECTED = b"HTTP/1.1 421 Elsewhere\r\nContent-Length: 0\r\n\r\n"
_MAX_WAITING = 24
_STREAM_HEADERS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
# Share of the crashes on a prompt part that come after the head of the response.
_HEAD_FIRST_SHARE = 0.5
# Time after which a connection is reset that a cut lets open.
_LATE_RESET_S = 0.06
# The event in which a stream is cut off, counted from the first event of the response.
_CUT_EVENT = 2


class Fault(Enum):
    """Name how a target misbehaves."""

    NONE = "none"
    SLOW = "slow"
    SHED = "shed"
    ERRORS = "errors"
    RESET = "reset"
    MUTE = "mute"
    LOSE_ANSWERS = "lose answers"
    # Cuts off half of the responses; half of the resumed streams that it would cut fail with 500.
    CUT_ANSWERS = "cut answers"
    SURPLUS = "surplus"


@dataclass(frozen=True)
class RunRecord:
    """Record one run of a request; times in seconds on the steady clock."""

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
    """Define the response of a target to a request that resumes a stream."""

    status: str
    content_type: str
    body: bytes


_FAILED_RESUME = ResumedResponse("500 Fault", "text/plain", b"broken")


@dataclass
class Head:
    """Hold a request's method, path and headers."""

    method: str
    path: str
    headers: dict[str, str]


def parse_head(data: bytes) -> Head:
    """Parse a request's head, with header names in lower case."""
    first, *lines = data.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in lines)
    return Head(method, path, {key.strip().lower(): value.strip() for key, _, value in pairs})


# With this header in a request each event of its stream names the version that the target runs.
VERSION_HEADER = "X-Names-Version"

# Writes the response of the named target; returns whether the connection stays open.
ResponseWriter = Callable[[str, Head, GatedWriter], Awaitable[bool]]


@dataclass
class StandInTarget:
    """Serve requests of one service on loopback, at most `slots` at a time."""

    target: str
    service: str
    slots: int = 4
    work_s: float = 0.02
    events: int = 4
    # Seconds between two events; defaults to a quarter of `work_s`.
    event_s: float | None = None
    fault: Fault = Fault.NONE
    # Retry-After of a rejected request, in seconds; 0 sends none.
    backoff_s: float = 0.0
    # Whether responses announce a shutdown, independent of the target list.
    is_leaving: bool = False
    # Limit sent in responses, in requests per second; empty sends none.
    limit: str = ""
    # One entry for each response that named a limit.
    limit_notices: list[LimitNotice] = field(default_factory=list)
    # Fault of its software version, restored when an injected fault ends.
    permanent_fault: Fault = Fault.NONE
    resumed_response: ResumedResponse | None = None
    response_writer: ResponseWriter | None = None
    # A request with this body crashes the target, which restarts after the delay under a new name.
    crash_body: bytes = b""
    # Prompt parts that crash the target in the same way; shared by the targets of a site.
    crash_parts: CrashParts = field(default_factory=CrashParts)
    restart_delay_s: float = 1.5
    is_draining: bool = False
    # Count of drains in progress.
    drains: int = 0
    version: str = ""
    address: str = ""
    # Reported start time in Unix milliseconds; 0 reports none.
    born_ms: int = 0
    runs: list[RunRecord] = field(default_factory=list)
    ended: dict[str, str] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    seed: int = 0
    idle_s: float = 30.0
    _server: asyncio.Server | None = None
    # Hosts that are cut from this target, by address.
    cuts: dict[str, CutKind] = field(default_factory=dict)
    _writers: set[GatedWriter] = field(default_factory=set)
    _free_slots: asyncio.Semaphore = field(init=False)
    _waiting_count: int = 0
    _random: random.Random = field(init=False)
    # Separate, so that resumed streams do not change which responses are cut off.
    _resumed_random: random.Random = field(init=False)
    # Times at which the crash body arrived, run or not, and at which it crashed the target.
    crash_body_received_s: list[float] = field(default_factory=list)
    crash_times_s: list[float] = field(default_factory=list)
    _restarts: set[asyncio.Task[None]] = field(default_factory=set)
    _start_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def __post_init__(self) -> None:
        self._free_slots = asyncio.Semaphore(self.slots)
        self._random = random.Random(self.seed)
        self._resumed_random = random.Random(self.seed)

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen, on the previous port if there is one; do nothing if it listens already."""
        async with self._start_lock:
            if self.is_listening:
                return
            port = int(self.address.rpartition(":")[2] or 0)
            self._server = await asyncio.start_server(self._serve, ip, port)
            host, port = self._server.sockets[0].getsockname()[:2]
            self.address = f"{host}:{port}"
            self._filter_new_connections()

    def cut(self, source: str, kind: CutKind) -> None:
        """Cut a host, given by the address from which it connects."""
        self.cuts[source] = kind
        self._filter_new_connections()
        for writer in [w for w in self._writers if w.source == source]:
            match kind:
                case CutKind.HANG:
                    writer.hold()
                case CutKind.RESET | CutKind.RESET_LATE:
                    reset_connection(writer)
                case CutKind.REJECT_NEW | CutKind.REJECT_NEW_LATE:
                    pass

    def heal(self, source: str | None = None) -> None:
        """End the cut of a host, or all cuts."""
        healed = set(self.cuts) if source is None else {source}
        for one in healed:
            self.cuts.pop(one, None)
        self._filter_new_connections()
        for writer in self._writers:
            if writer.source in healed:
                writer.release()

    def _filter_new_connections(self) -> None:
        sources = [source for source, kind in self.cuts.items() if kind is CutKind.HANG]
        if self._server is not None:
            drop_packets(self._server.sockets[0], sources)

    def count_running(self) -> int:
        """Return the number of running requests."""
        return sum(1 for run in self.runs if run.request not in self.ended)

    @property
    def is_listening(self) -> bool:
        """Return whether the target accepts connections."""
        return self._server is not None

    async def crash_and_restart(self) -> None:
        """Crash, and start again under a new name after the restart delay."""
        self.crash_times_s.append(time.monotonic())
        await self.crash()
        restart = asyncio.create_task(self._restart())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    def _find_crash_part(self, head: Head) -> str:
        return self.crash_parts.find(head.headers.get("x-prompt-parts", ""))

    async def _crash_on_part(self, part: str, head: Head, writer: GatedWriter) -> None:
        """Crash as the response begins: half of the time after its head is written."""
        if self._random.random() < _HEAD_FIRST_SHARE:
            request = head.headers.get("x-request-id", "")
            lines = f"X-Request-Id: {request}\r\nX-Answer-Seal: {self.target}\r\n"
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}{_STREAM_HEADERS}".encode())
            await writer.drain()
        self.crash_parts.record_crash(part, self.target)
        await self.crash_and_restart()

    async def _restart(self) -> None:
        await asyncio.sleep(self.restart_delay_s)
        if self.is_listening:
            return
        self.target = f"{self.target.partition('@')[0]}@{len(self.crash_times_s)}"
        await self.start()

    async def close(self) -> None:
        """Stop the target and cancel pending restarts."""
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

    async def _serve(
        self, reader: asyncio.StreamReader, stream_writer: asyncio.StreamWriter
    ) -> None:
        writer = GatedWriter(stream_writer, reader)
        match self.cuts.get(writer.source):
            case CutKind.RESET | CutKind.REJECT_NEW:
                reset_connection(writer)
                return
            case CutKind.RESET_LATE | CutKind.REJECT_NEW_LATE:
                await asyncio.sleep(_LATE_RESET_S)
                reset_connection(writer)
                return
            case CutKind.HANG:
                # It was accepted before the cut.
                writer.hold()
            case None:
                pass
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

    async def _serve_one(self, reader: asyncio.StreamReader, writer: GatedWriter) -> bool:
        async with asyncio.timeout(self.idle_s):
            data = await reader.readuntil(_HEAD_END)
        head = parse_head(data[: -len(_HEAD_END)])
        body = await reader.readexactly(int(head.headers.get("content-length", 0)))
        if self.crash_body and body == self.crash_body:
            self.crash_body_received_s.append(time.monotonic())
        part = self._find_crash_part(head)
        if part:
            self.crash_parts.record_arrival(part, self.target)
        if head.headers.get("x-expected-target", self.target) != self.target:
            writer.write(_MISDIRECTED)
            return True
        if self.fault is Fault.SHED or self._waiting_count >= _MAX_WAITING:
            self._reject(head, writer)
            return True
        self._record_arrival(head, backoff_s=0.0)
        if self.fault is Fault.MUTE:
            await reader.read()
            return False
        return await self._work(head, body, reader, writer)

    def _record_arrival(self, head: Head, backoff_s: float) -> None:
        request = head.headers.get("x-request-id", "")
        now_s = time.monotonic()
        arrival = Arrival(
            request, self.target, now_s, backoff_s, self.is_leaving, self.born_ms, self.limit
        )
        self.arrivals.append(arrival)

    def _reject(self, head: Head, writer: GatedWriter) -> None:
        self._record_arrival(head, self.backoff_s)
        retry_after = f"Retry-After: {self.backoff_s:g}\r\n" if self.backoff_s else ""
        request = head.headers.get("x-request-id", "")
        notices = self._make_notice_headers(request)
        lines = (
            f"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request-Id: {request}\r\n"
            f"{retry_after}{notices}Content-Length: 0\r\n\r\n"
        )
        writer.write(lines.encode())

    def _make_notice_headers(self, request: str) -> str:
        """Return the headers that announce a shutdown and the limit, and record the limit."""
        leaving = "X-Target-Leaving: 1\r\n" if self.is_leaving else ""
        if not self.limit:
            return leaving
        self.limit_notices.append(LimitNotice(request, self.target, time.monotonic(), self.limit))
        return f"{leaving}X-Target-Limit: {self.limit}\r\n"

    async def _work(
        self, head: Head, body: bytes, reader: asyncio.StreamReader, writer: GatedWriter
    ) -> bool:
        self._waiting_count += 1
        disconnect = asyncio.ensure_future(reader.read(1))
        try:
            acquiring = asyncio.ensure_future(self._free_slots.acquire())
            await asyncio.wait([acquiring, disconnect], return_when=asyncio.FIRST_COMPLETED)
            if not acquiring.done():
                acquiring.cancel()
                return False
        finally:
            self._waiting_count -= 1
        try:
            return await self._run(head, body, writer, disconnect)
        finally:
            self._free_slots.release()
            await _cancel_watch(disconnect)

    async def _run(
        self,
        head: Head,
        body: bytes,
        writer: GatedWriter,
        disconnect: asyncio.Future[bytes],
    ) -> bool:
        request = head.headers.get("x-request-id", "")
        self._record_run(head, body)
        work_s = self.work_s * (10.0 if self.fault is Fault.SLOW else 1.0)
        done, _ = await asyncio.wait([disconnect], timeout=work_s)
        if done:
            self.ended[request] = "left"
            return False
        await _cancel_watch(disconnect)
        if self.crash_body and body == self.crash_body:
            await self.crash_and_restart()
            return False
        part = self._find_crash_part(head)
        if part:
            await self._crash_on_part(part, head, writer)
            return False
        if self.fault is Fault.RESET and self._random.random() < 0.5:
            reset_connection(writer)
            return False
        if self.fault is Fault.LOSE_ANSWERS and self._random.random() < 0.5:
            self.ended[request] = "lost"
            reset_connection(writer)
            return False
        return await self._answer(head, body, writer)

    def _record_run(self, head: Head, body: bytes) -> None:
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

    async def _answer(self, head: Head, body: bytes, writer: GatedWriter) -> bool:
        if self.response_writer is not None:
            return await self.response_writer(self.target, head, writer)
        request = head.headers.get("x-request-id", "")
        is_resumed = "last-event-id" in head.headers
        if self.resumed_response is not None and is_resumed:
            return await self._answer_resumed(request, self.resumed_response, writer)
        is_cut_once = self.resumed_response is not None
        is_cut = is_cut_once or (self.fault is Fault.CUT_ANSWERS and self._random.random() < 0.5)
        if is_cut and is_resumed and self._resumed_random.random() < 0.5:
            return await self._answer_resumed(request, _FAILED_RESUME, writer)
        fails = self.fault is Fault.ERRORS and self._random.random() < 0.5
        status = "500 Fault" if fails else "200 OK"
        common = f"HTTP/1.1 {status}\r\nX-Request-Id: {request}\r\nX-Answer-Seal: {self.target}\r\n"
        common += self._make_notice_headers(request)
        if "stream" in head.path and not fails:
            return await self._stream(head, common, writer, is_cut)
        answer = make_body(request, body)
        writer.write(f"{common}Content-Length: {len(answer)}\r\n\r\n".encode())
        if is_cut:
            writer.write(answer[: len(answer) // 2])
            await writer.drain()
            return False
        writer.write(answer)
        if self.fault is Fault.SURPLUS:
            writer.write(f"{common}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
        await writer.drain()
        self.ended[request] = "whole"
        return True

    async def _answer_resumed(
        self, request: str, answer: ResumedResponse, writer: GatedWriter
    ) -> bool:
        lines = [
            f"HTTP/1.1 {answer.status}",
            f"X-Request-Id: {request}",
            f"X-Answer-Seal: {self.target}",
            f"Content-Type: {answer.content_type}",
            f"Content-Length: {len(answer.body)}",
        ]
        head = "\r\n".join([*lines, self._make_notice_headers(request)])
        writer.write(f"{head}\r\n".encode() + answer.body)
        await writer.drain()
        self.ended[request] = "whole"
        return True

    async def _stream(self, head: Head, common: str, writer: GatedWriter, is_cut: bool) -> bool:
        request = head.headers.get("x-request-id", "")
        after = int(head.headers.get("last-event-id") or 0)
        writer.write((common + _STREAM_HEADERS).encode())
        for number in range(after + 1, self.events + 1):
            event = make_event(request, number)
            if VERSION_HEADER.lower() in head.headers:
                event = b"software: " + self.version.encode() + b"\n" + event
            if is_cut and number == after + _CUT_EVENT:
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


async def _cancel_watch(disconnect: asyncio.Future[bytes]) -> None:
    """Stop waiting for the caller's disconnect, so that the next request can be read."""
    disconnect.cancel()
    await asyncio.wait([disconnect])


def make_body(request: str, body: bytes) -> bytes:
    """Return the expected response body of a request."""
    return f"answer to {request} with {len(body)} bytes".encode()


def make_event(request: str, number: int) -> bytes:
    """Return one event of a request's stream."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


class StandInList:
    """Serve the list of targets, delayed by `lag_s`."""

    def __init__(self, targets: list[StandInTarget], lag_s: float = 0.0) -> None:
        self.targets = targets
        self.address = ""
        self.reads = 0
        self.is_down = False
        # Raw JSON entries, written before the valid entries.
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
        """Stop the server."""
        if self._runner:
            await self._runner.cleanup()

    def _encode_list(self) -> bytes:
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
        valid = [json.dumps(entry).encode() for entry in entries]
        return b'{"targets":[' + b",".join([*self.invalid_entries, *valid]) + b'],"next":null}'

    async def _answer(self, request: web.Request) -> web.Response:
        self.reads += 1
        if self.is_down:
            return web.Response(status=503)
        now_s = time.monotonic()
        self._history.append((now_s, self._encode_list()))
        while len(self._history) > 1 and self._history[1][0] <= now_s - self._lag_s:
            self._history.popleft()
        return web.Response(body=self._history[0][1], content_type="application/json")
