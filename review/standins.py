"""Run a small deployment on loopback with stand-ins for the platform, workers and clients.

The processes are started with the command of `deploy/system.toml` and with settings of the form
that `deploy/settings.json.template` yields. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import signal
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-tenant-one"
TENANT = "tenant-one"
ZONES = ("osborne-park", "canning-vale", "wangara")
GRACE_S = 8.0
CONTACT_S = 3.0
DRAIN_S = 3.0
_FRONT_PORT, _READY_PORT, _CONTROL_PORT, _FIRST_PORT = 8221, 8224, 8229, 7600
_LIST_PORT, _WORKER_PORT = 8225, 8080
_END_OF_HEAD = b"\r\n\r\n"
# How a connection to a stand-in ends; it is cancelled at the end of a case.
_ENDS = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)


class CannotRunError(Exception):
    """Report that the deployment could not be started."""


class Record:
    """Write what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


@dataclass
class Message:
    """Hold the first line, headers and body of an HTTP message."""

    first: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    is_complete: bool = True

    def get(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return next((v for k, v in self.headers if k.lower() == name.lower()), "")


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    data = (await reader.readuntil(_END_OF_HEAD)).decode("latin-1")
    first, *lines = data.rstrip("\r\n").split("\r\n")
    headers = [(k.strip(), v.strip()) for k, _, v in (line.partition(":") for line in lines)]
    return Message(first, headers)


async def read_chunks(reader: asyncio.StreamReader, on_data: Callable[[bytes], None]) -> None:
    """Read a chunked body to its end."""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        on_data(data[:-2])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message; the body is incomplete if the connection ends within it."""
    message = await read_head(reader)
    parts: list[bytes] = []
    try:
        if "chunked" in message.get("Transfer-Encoding").lower():
            await read_chunks(reader, parts.append)
        else:
            parts.append(await reader.readexactly(int(message.get("Content-Length") or 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.is_complete = False
    message.body = b"".join(parts)
    return message


@dataclass
class Run:
    """Describe one request that a worker began to run."""

    worker: str
    attempt: str
    line: str
    headers: list[tuple[str, str]]
    body: bytes
    started_s: float
    ended_s: float | None = None
    is_whole: bool = False


class Worker:
    """Run requests as a sound worker does; a body of JSON may ask for a stream of events."""

    def __init__(self, record: Record, service: str, ip: str, zone: str, slots: int = 6) -> None:
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.service, self.zone, self.slots = service, zone, slots
        self.address = f"{ip}:{_WORKER_PORT}"
        self.state = "ready"
        self.runs: list[Run] = []
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def describe(self) -> dict[str, object]:
        """Return the entry of the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*_ENDS):
            while True:
                request = await read_message(reader)
                if not request.is_complete:
                    break
                await self.answer(request, reader, writer)
        writer.close()

    def begin(self, request: Message) -> Run:
        """Record that a request begins to run."""
        run = Run(
            self.id,
            request.get("Attempt-Id"),
            request.first,
            request.headers,
            request.body,
            self._record.now(),
        )
        self.runs.append(run)
        self._record.write(f"run {run.attempt} at {self.id}: {run.line}")
        return run

    def end(self, run: Run, is_whole: bool) -> None:
        """Record that a request has ended."""
        run.ended_s, run.is_whole = self._record.now(), is_whole
        self._record.write(f"ended {run.attempt} at {self.id}: {'whole' if is_whole else 'cut'}")

    def make_head(self, run: Run, extra: str) -> bytes:
        """Return the head of a success."""
        return (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {run.attempt}\r\n"
            f"Response-Seal: {self.id}.{run.attempt}\r\n{extra}\r\n\r\n"
        ).encode()

    async def answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        expected = request.get("Expect-Instance")
        if expected and expected != self.id:
            head = f"HTTP/1.1 421 Misdirected\r\nAttempt-Id: {request.get('Attempt-Id')}\r\n"
            writer.write(f"{head}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        run = self.begin(request)
        is_whole = False
        try:
            await self.produce(run, writer)
            is_whole = True
        finally:
            self.end(run, is_whole)

    async def produce(self, run: Run, writer: asyncio.StreamWriter) -> None:
        """Write the answer."""
        try:
            wish = json.loads(run.body)
        except ValueError:
            wish = {}
        if isinstance(wish, dict) and "events" in wish:
            await self._produce_stream(run, wish, writer)
            return
        body = json.dumps({"attempt": run.attempt, "read": len(run.body)}).encode()
        await asyncio.sleep(0.02)
        writer.write(self.make_head(run, f"Content-Length: {len(body)}") + body)
        await writer.drain()

    async def _produce_stream(
        self, run: Run, wish: dict[str, float], writer: asyncio.StreamWriter
    ) -> None:
        extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        writer.write(self.make_head(run, extra))
        for number in range(1, int(wish["events"]) + 1):
            await asyncio.sleep(wish["gap_s"])
            if writer.is_closing():
                raise ConnectionResetError
            event = f"id: {number}\ndata: {run.attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class PlatformList:
    """Serve the platform's list of workers."""

    def __init__(self, workers: list[Worker], ip: str) -> None:
        self.workers = workers
        self.address = f"{ip}:{_LIST_PORT}"
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*_ENDS):
            while True:
                await read_message(reader)
                entries = [worker.describe() for worker in self.workers]
                body = json.dumps({"instances": entries, "nextToken": None}).encode()
                head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        writer.close()


@dataclass
class Process:
    """Hold one process of the system."""

    name: str
    settings: dict[str, object]
    child: subprocess.Popen[bytes] | None = None
    log: Path = field(default_factory=Path)

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return str(self.settings["ip"]), _FRONT_PORT


class Site:
    """Start, signal and end the processes of a deployment."""

    def __init__(self, record: Record, folder: Path, gateways: int = 3) -> None:
        self.record = record
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.subnet = _find_subnet()
        self._hosts = 0
        self.list = PlatformList([], self.next_ip())
        cores = [self.next_ip() for _ in range(3)]
        seeds = [f"{ip}:{_CONTROL_PORT}" for ip in cores]
        for number, ip in enumerate(cores):
            for role in ("keeper", "scheduler"):
                self._add(role, f"core-{number + 1}", ip, ZONES[number], seeds)
        for number in range(gateways):
            self._add("gateway", f"edge-{number + 1}", self.next_ip(), ZONES[number % 3], seeds)

    def next_ip(self) -> str:
        """Return an unused loopback address."""
        self._hosts += 1
        return f"127.{self.subnet}.{self._hosts}"

    def _add(self, role: str, host: str, ip: str, zone: str, seeds: list[str]) -> None:
        name = f"{host}.{role}"
        folder = self.folder / name
        settings: dict[str, object] = {
            "site": "troutstand",
            "host": host,
            "failure_domain": zone,
            "role": role,
            "ip": ip,
            "first_port": _FIRST_PORT,
            "link_key_hex": "7f0c2a6f5be94d1bb5e4f1d2a3c6980e",
            "seeds": seeds,
            "first_start": True,
            "callers": f"{ip}:{_FRONT_PORT}" if role == "gateway" else "",
            "readiness": f"{ip}:{_READY_PORT}" if role == "gateway" else "",
            "control": f"{ip}:{_CONTROL_PORT}" if role == "keeper" else "",
            "data_folder": str(folder) if role == "keeper" else "",
            "target_list": self.list.address,
            "target_list_per_s": 40.0,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_extra": 52,
            "quota_extra": 190000,
            "quota_window_s": 8,
            "quota_excess": 0.1,
            "metrics_port": {"gateway": 9464, "keeper": 9465, "scheduler": 9466}[role],
            "protect_tiers": True,
            "stop_s": GRACE_S,
            "disks_lost": 1,
        }
        self.processes[name] = Process(name, settings, log=self.folder / f"{name}.log")

    def start(self, name: str) -> None:
        """Start a process with the command of the deploy file."""
        process = self.processes[name]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(process.settings))
        variables = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
            "TROUTSTAND_BOOT": str(path),
        }
        with process.log.open("ab") as log:
            command = [sys.executable, "-S", "platform/start.py"]
            process.child = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        process.settings["first_start"] = False
        self.record.write(f"started {name}")

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        child = self.processes[name].child
        if child is not None and child.poll() is None:
            child.send_signal(number)
            self.record.write(f"{number.name} to {name}")

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.child is not None and process.child.poll() is None:
                process.child.kill()
                process.child.wait()

    def gateways(self) -> list[Process]:
        """Return the gateways."""
        return [p for p in self.processes.values() if p.settings["role"] == "gateway"]

    def keepers(self) -> list[Process]:
        """Return the keepers."""
        return [p for p in self.processes.values() if p.settings["role"] == "keeper"]

    async def open(self, workers: list[Worker], configuration: dict[str, object]) -> None:
        """Start everything, and wait until the gateways are ready."""
        self.list.workers = workers
        await self.list.start()
        for worker in workers:
            await worker.start()
        for name in self.processes:
            self.start(name)
        await wait_until(lambda: self.configure(configuration), "the configuration is taken")
        for gateway in self.gateways():
            await wait_until(lambda g=gateway: self.is_ready(g), f"{gateway.name} is ready")
        # Machines are in touch this long after their start.
        await asyncio.sleep(CONTACT_S + 1.0)

    async def is_ready(self, gateway: Process) -> bool:
        """Return whether a gateway calls itself ready."""
        answer = await exchange((str(gateway.settings["ip"]), _READY_PORT), "GET", "/v1/readyz")
        return answer is not None and answer.first.split()[1] == "200"

    async def configure(self, configuration: dict[str, object]) -> bool:
        """Send a configuration to the keepers in turn; return whether one acknowledged it."""
        body = json.dumps(configuration).encode()
        for keeper in self.keepers():
            address = str(keeper.settings["ip"]), _CONTROL_PORT
            answer = await exchange(address, "POST", "/v1/Configuration.Replace", body)
            if answer is not None and answer.first.split()[1] == "200":
                self.record.write(f"configuration {configuration['version']} acknowledged")
                return True
        return False


def _find_subnet() -> str:
    """Return two octets of loopback addresses whose ports are free."""
    for _ in range(50):
        subnet = f"{random.randint(64, 220)}.{random.randint(1, 250)}"
        ports = [_FRONT_PORT, _CONTROL_PORT, _LIST_PORT, _WORKER_PORT, _FIRST_PORT]
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((f"127.{subnet}.1", port))
        except OSError:
            continue
        return subnet
    raise CannotRunError("no free loopback addresses")


async def exchange(
    address: tuple[str, int], method: str, path: str, body: bytes = b"", limit_s: float = 3.0
) -> Message | None:
    """Send one request on a connection of its own; return None without an answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def wait_until(
    condition: Callable[[], Awaitable[bool]], what: str, limit_s: float = 30.0
) -> None:
    """Poll a condition until it holds.

    Raises
    ------
    CannotRunError
        If it does not hold in time.
    """
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRunError(f"not within {limit_s} s: {what}")


def make_route(name: str, kind: str, service: str, **fields: object) -> dict[str, object]:
    """Return a route with the prefix of its name."""
    route: dict[str, object] = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 10000,
        "latencyGoalMs": 300,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "itlTargetMs": 250,
    }
    return {**route, **fields}


def make_configuration(
    version: int, routes: list[dict[str, object]], services: list[str]
) -> dict[str, object]:
    """Return a configuration with one tenant without a limit."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 360,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": TENANT, "apiKeys": [KEY], "priority": 0, "ratePerS": 0, "burst": 0},
        ],
    }


@dataclass
class Attempt:
    """Describe one client attempt and how it ended."""

    id: str
    gateway: str
    sent_s: float
    status: int = 0
    is_whole: bool = False
    ended_s: float = 0.0
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)


class Client:
    """Send requests one after the other on one connection that is kept."""

    def __init__(self, record: Record, gateway: Process) -> None:
        self._record = record
        self._gateway = gateway
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the connection can take another request."""
        return self._writer is not None and self._reader is not None and not self._reader.at_eof()

    async def open(self) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(*self._gateway.front)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 10000,
        extra: tuple[str, ...] = (),
    ) -> Attempt:
        """Send a request and read its answer, until the deadline."""
        attempt = Attempt(uuid.uuid4().hex[:16], self._gateway.name, self._record.now())
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt.id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Api-Key: {KEY}",
            f"Content-Length: {len(body)}",
            *extra,
        ]
        assert self._writer is not None and self._reader is not None
        self._record.write(f"sent {attempt.id} to {attempt.gateway}: {method} {path}")
        answer: Message | None = None
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
                self._writer.write("\r\n".join(lines).encode() + _END_OF_HEAD + body)
                answer = await read_message(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        attempt.ended_s = self._record.now()
        if answer is not None:
            attempt.status = int(answer.first.split()[1])
            attempt.is_whole, attempt.body = answer.is_complete, answer.body
            attempt.headers = answer.headers
        shape = "whole" if attempt.is_whole else "cut"
        self._record.write(f"answered {attempt.id}: {attempt.status or 'nothing'}, {shape}")
        if answer is None or not answer.is_complete or answer.get("Connection").lower() == "close":
            self.close()
        return attempt


def run_case(folder: Path, case: Callable[[Record, Path, bool], Awaitable[bool]]) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write("with the disruption" if has_trouble else "without the disruption")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            is_broken = asyncio.run(case(record, Path(temporary), has_trouble))
        except (CannotRunError, OSError) as error:
            record.write(f"could not run: {error}")
            print(f"could not run: {error}")
            sys.exit(2)
    verdict = "the rule was broken" if is_broken else "the rule held"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if is_broken else 0)
