"""Run a small deployment with stand-ins on loopback, for the cases of the second review.

The processes are started with the commands of `deploy/system.toml`. Only the standard library
is used. Clients, workers, the platform's list and the operator behave as the pages say.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2
SERVICE, HOST, KEY, TENANT = "svc", "one.example", "key-one", "tenant-one"
DRAIN_S = 3.0
_MAX_RUN_S = 110.0
_PORT_OFFSETS = {"keeper": 0, "scheduler": 1, "gateway": 2}


class NotRunError(Exception):
    """Report that a case could not run."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started_s

    def write(self, event: str, **fields: Any) -> float:
        """Write one line and return its time."""
        now_s = self.now_s()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{now_s:8.3f} {event} {text}\n")
        self._file.flush()
        return now_s


# Heads of messages


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers, with names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {key.strip().lower(): value.strip() for key, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def make_message(first: str, headers: dict[str, Any], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first, *(f"{key}: {value}" for key, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


# Workers


@dataclass
class Run:
    """Describe a run of a request at a worker."""

    request: str
    worker: str
    started_s: float
    ended: str = ""


@dataclass
class Worker:
    """Serve requests as the pages' workers do, with `slots` at once."""

    record: Record
    name: str
    service: str = SERVICE
    version: str = "v1"
    zone: str = "zone-a"
    slots: int = 4
    work_s: float = 0.02
    events: int = 20
    event_s: float = 0.05
    address: str = ""
    is_leaving: bool = False
    arrivals: list[Run] = field(default_factory=list)
    running: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """End: refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def list_entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the worker's entry of the platform's list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "id": self.name,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                await self._answer(first, headers, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, first: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request = headers.get("attempt-id", "")
        if not request:
            message = make_message("HTTP/1.1 400 Bad", {"Not-Executed": 1})
        elif headers.get("expect-instance", self.name) != self.name:
            message = make_message("HTTP/1.1 421 Misdirected", {"Instance-Id": self.name})
        elif self.running >= self.slots:
            told = {"Attempt-Id": request, "Not-Executed": 1}
            message = make_message("HTTP/1.1 503 Full", told)
        else:
            await self._run(first.split(" ")[1], request, headers, writer)
            return
        self.record.write("worker_turned_away", worker=self.name, request=request)
        writer.write(message)
        await writer.drain()

    async def _run(
        self, path: str, request: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        at_s = self.record.write("worker_runs", worker=self.name, request=request, path=path)
        run = Run(request, self.name, at_s)
        self.arrivals.append(run)
        self.running += 1
        told = {"Attempt-Id": request, "Response-Seal": f"{self.name}.{request}"}
        if self.is_leaving:
            told["Server-Leaving"] = "1"
        try:
            if path.startswith("/stream/"):
                await self._stream(told, int(headers.get("last-event-id") or 0), writer)
            else:
                await asyncio.sleep(self.work_s)
                writer.write(make_message("HTTP/1.1 200 OK", told, self.name.encode()))
                await writer.drain()
            run.ended = "whole"
        finally:
            self.running -= 1
            run.ended = run.ended or "cut"
            self.record.write("worker_ended", worker=self.name, request=request, how=run.ended)

    async def _stream(self, told: dict[str, str], after: int, writer: asyncio.StreamWriter) -> None:
        lines = ["HTTP/1.1 200 OK", *(f"{key}: {value}" for key, value in told.items())]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {self.version} {self.name}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# Connections that may be reset


@dataclass
class Proxy:
    """Pass bytes between clients and one gateway, until the connections are reset."""

    ip: str
    address: str = ""
    # Both sides of each connection, oldest first.
    _connections: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = field(
        default_factory=list
    )

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def reset_half(self) -> int:
        """Reset half of the open connections, drawn by lot, on both sides; return how many."""
        chosen = random.sample(self._connections, len(self._connections) // 2)
        for connection in chosen:
            for writer in connection:
                reset_connection(writer)
        return len(chosen)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            inner_reader, inner_writer = await asyncio.open_connection(self.ip, 8221)
        except OSError:
            writer.transport.abort()
            return
        both = (writer, inner_writer)
        self._connections.append(both)
        passing = [
            asyncio.create_task(self._pass(reader, inner_writer)),
            asyncio.create_task(self._pass(inner_reader, writer)),
        ]
        try:
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.remove(both)
            for task in passing:
                task.cancel()
            for one in both:
                one.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                writer.write(data)
                await writer.drain()
            await asyncio.sleep(0.05)


class Links:
    """Pass bytes between the processes of a deployment, unless their machines are cut off."""

    def __init__(self) -> None:
        self._cuts: set[frozenset[str]] = set()
        self._healed = asyncio.Event()

    def cut(self, one: str, others: list[str]) -> None:
        """Cut a machine off from others: nothing passes, and nothing is reset."""
        self._cuts |= {frozenset((one, other)) for other in others}

    def heal(self) -> None:
        """End all cuts; what was held up goes on."""
        self._cuts.clear()
        self._healed.set()
        self._healed = asyncio.Event()

    async def open(self, shown_ip: str, ip: str, port: int) -> None:
        """Listen where a process is said to be, and pass bytes to where it listens."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            peer = writer.get_extra_info("peername")[0]
            await self._serve(reader, writer, frozenset((peer, ip)), (ip, port))

        await asyncio.start_server(serve, shown_ip, port)

    async def _wait(self, pair: frozenset[str]) -> None:
        while pair in self._cuts:
            await self._healed.wait()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: frozenset[str],
        address: tuple[str, int],
    ) -> None:
        both = {writer}
        passing: list[asyncio.Task[None]] = []
        try:
            await self._wait(pair)
            inner_reader, inner_writer = await asyncio.open_connection(*address)
            both.add(inner_writer)
            passing = [
                asyncio.create_task(self._pass(reader, inner_writer, pair)),
                asyncio.create_task(self._pass(inner_reader, writer, pair)),
            ]
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for task in passing:
                task.cancel()
            for one in both:
                one.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: frozenset[str]
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                await self._wait(pair)
                writer.write(data)
                await writer.drain()
            await self._wait(pair)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other side sees a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# The platform's list


@dataclass
class Platform:
    """Serve the list of workers: one page, with the entries that `entries` holds as bytes."""

    record: Record
    entries: list[bytes] = field(default_factory=list)
    reads: dict[str, int] = field(default_factory=dict)
    address: str = ""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def show(self, entries: list[bytes], what: str) -> float:
        """Replace the entries; return when."""
        self.entries = entries
        return self.record.write("list_shows", what=what)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                await read_head(reader)
                body = b'{"instances":[' + b",".join(self.entries) + b'],"nextToken":null}'
                self.record.write("list_read", by=peer, bytes=len(body))
                self.reads[peer] = self.reads.get(peer, 0) + 1
                told = {"Content-Type": "application/json"}
                writer.write(make_message("HTTP/1.1 200 OK", told, body))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()


def encode(entry: dict[str, Any]) -> bytes:
    """Return an entry of the list as bytes."""
    return json.dumps(entry).encode()


# The deployment's processes


@dataclass
class Process:
    """Hold one process of the deployment."""

    name: str
    role: str
    ip: str
    settings: dict[str, Any]
    child: subprocess.Popen[bytes] | None = None


class Deployment:
    """Run gateways, keepers and schedulers with the commands of the deploy file."""

    def __init__(
        self,
        record: Record,
        platform: Platform,
        gateways: int = 2,
        links: Links | None = None,
    ) -> None:
        self.record = record
        self._links = links
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.processes: dict[str, Process] = {}
        self._commands = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._list_address = platform.address
        self._seeds = [f"{self._show(f'{self.net}.{number}')}:8229" for number in (1, 2, 3)]
        for number in (1, 2, 3):
            self._add("keeper", number, f"{self.net}.{number}")
            self._add("scheduler", number, f"{self.net}.{number}")
        for number in range(1, gateways + 1):
            self._add("gateway", number, f"{self.net}.{10 + number}")

    def _show(self, ip: str) -> str:
        """Return the address at which a machine is said to be: another one, with links between."""
        first, _, last = ip.rpartition(".")
        return ip if self._links is None else f"{first}.{100 + int(last)}"

    def _add(self, role: str, number: int, ip: str) -> None:
        name = f"{role}-{number}"
        settings: dict[str, Any] = {
            "site": "troutstand",
            "host": name,
            "failure_domain": "zone-" + "abc"[(number - 1) % 3],
            "role": role,
            "ip": self._show(ip),
            "bind_ip": ip,
            "first_port": 7600,
            "link_key_hex": "7f0c2a6f5be94d1bb5e4f1d2a3c6980e",
            "seeds": self._seeds,
            "first_start": True,
            "callers": f"{ip}:8221" if role == "gateway" else "",
            "readiness": f"{ip}:8224" if role == "gateway" else "",
            "control": f"{ip}:8229" if role == "keeper" else "",
            "data_folder": str(self.folder / name) if role != "gateway" else "",
            "target_list": self._list_address,
            "target_list_per_s": 42.0,
            "memory_mb": 300,
            "max_descriptors": 4096,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_extra": 54,
            "quota_extra": 190000,
            "quota_window_s": 8,
            "quota_excess": 0.1,
            "protect_tiers": True,
            "stop_s": 8,
            "disks_lost": 1,
        }
        self.processes[name] = Process(name, role, ip, settings)

    def list_role(self, role: str) -> list[Process]:
        """Return the processes of a role."""
        return [process for process in self.processes.values() if process.role == role]

    def start(self, name: str) -> None:
        """Start one process; a later start is not the first one any more."""
        process = self.processes[name]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(process.settings))
        process.settings = {**process.settings, "first_start": False}
        command = self._commands[process.role]["run"].split()
        assert command[0] == "python3"
        variables = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables |= self._commands[process.role].get("env", {})
        variables |= {"TROUTSTAND_BOOT": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        with (self.folder / f"{name}.log").open("ab") as log:
            process.child = subprocess.Popen(
                [sys.executable, *command[1:]], cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        self.record.write("process_started", name=name)

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        child = self.processes[name].child
        if child is not None and child.poll() is None:
            child.send_signal(number)
            self.record.write("signal", name=name, signal=number.name)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.send(name, signal.SIGKILL)
        child = self.processes[name].child
        if child is not None:
            child.wait()

    def close(self) -> None:
        """End all processes, and remove their folder."""
        for name in self.processes:
            with contextlib.suppress(OSError):
                self.send(name, signal.SIGCONT)
                self.kill(name)
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def open(self, configuration: dict[str, Any]) -> None:
        """Start all processes, give them a configuration and wait until gateways are ready."""
        if not (ROOT / "target/deps").is_dir():
            raise NotRunError("target/deps is missing: run the build of the deploy file")
        for process in self.processes.values():
            if self._links is not None:
                port = 7600 + _PORT_OFFSETS[process.role]
                await self._links.open(self._show(process.ip), process.ip, port)
        for name in self.processes:
            self.start(name)
        await wait_until(lambda: self.configure(configuration), "a configuration is taken")
        for process in self.list_role("gateway"):
            await wait_until(lambda ip=process.ip: self.is_ready(ip), f"{process.name} is ready")
        self.record.write("ready")

    async def configure(self, configuration: dict[str, Any]) -> bool:
        """Send a configuration to the keepers in turn; return whether it was acknowledged."""
        body = json.dumps(configuration).encode()
        told = {"Host": "control", "Content-Type": "application/json"}
        for process in self.list_role("keeper"):
            message = make_message("POST /v1/Configuration.Replace HTTP/1.1", told, body)
            answer = await exchange(f"{process.ip}:8229", message, 3.0)
            if answer.status == 200:
                self.record.write("configuration_acknowledged", version=configuration["version"])
                return True
        return False

    async def is_ready(self, ip: str) -> bool:
        """Return whether a gateway says that it is ready."""
        message = make_message("GET /v1/readyz HTTP/1.1", {"Host": "ready"})
        return (await exchange(f"{ip}:8224", message, 1.0)).status == 200


def make_route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": 8000,
        "latencyGoalMs": 600,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "anonymous": False,
        "sticky": False,
        "resumable": kind == "streaming",
        "itlTargetMs": 200 if kind == "streaming" else 0,
    }
    return {**route, **fields}


def make_configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a configuration with one service and a route of each kind."""
    configuration = {
        "version": version,
        "routes": [
            make_route("r-get", "/get/", "idempotent"),
            make_route("r-do", "/do/", "non_idempotent", maxAttempts=1),
            make_route("r-stream", "/stream/", "streaming"),
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }
    return {**configuration, **fields}


# Clients


@dataclass
class Answer:
    """Hold what a client got; status 0 if no answer came."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    detail: str = ""


async def exchange(address: str, message: bytes, timeout_s: float, from_ip: str = "") -> Answer:
    """Send one message on a new connection and return the answer."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            local = (from_ip, 0) if from_ip else None
            reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
            writer.write(message)
            first, answer.headers = await read_head(reader)
            body = await read_body(reader, answer.headers)
            answer.status, answer.body = int(first.split(" ")[1]), body
    except (OSError, EOFError, TimeoutError) as error:
        answer.detail = type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


def make_request(
    method: str, path: str, request: str, deadline_ms: int = 8000, **headers: Any
) -> bytes:
    """Return a client's request; underscores in names of headers stand for hyphens."""
    told: dict[str, Any] = {
        "Host": HOST,
        "Attempt-Id": request,
        "Deadline-Ms": deadline_ms,
        "Api-Key": KEY,
    }
    told |= {name.replace("_", "-"): value for name, value in headers.items()}
    return make_message(f"{method} {path} HTTP/1.1", told)


def name_request() -> str:
    """Return a new id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


async def wait_until(
    condition: Callable[[], Awaitable[bool] | bool], what: str, limit_s: float = 40.0
) -> None:
    """Poll until a condition holds; raise if it does not in time."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        result = condition()
        if isinstance(result, bool):
            holds = result
        else:
            holds = await result
        if holds:
            return
        await asyncio.sleep(0.05)
    raise NotRunError(f"not within {limit_s:g} s: {what}")


def run_case(case: Callable[[Record], Awaitable[list[str]]], folder: Path) -> int:
    """Run a case that returns what broke the rule; return the exit code."""
    record = Record(folder / "record.txt")
    record.write("case", trouble=int(HAS_TROUBLE))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), _MAX_RUN_S))
    except Exception as error:  # whatever else fails is no result
        record.write("not_run", detail=repr(error))
        print(f"not run: {error!r}")
        return EXIT_NOT_RUN
    for line in broken:
        record.write("broken", what=line)
        print(f"broken: {line}")
    record.write("result", broken=len(broken))
    print("rule broken" if broken else "rule held")
    return EXIT_BROKEN if broken else EXIT_HELD
