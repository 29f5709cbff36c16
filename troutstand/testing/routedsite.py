"""Run a routed site's processes on loopback, each host at its own address."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from troutstand.generated.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RoutedService,
    RoutedWorkspace,
    RouteKind,
    WeightedService,
)
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.testing.processenvironment import make_environment

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.testing.standins import StandInList

LINK_KEY_HEX = "00112233445566778899aabbccddeeff"
FIRST_PORT = 7600
_CALLERS_PORT = 7700
_READINESS_PORT = 7701
_CONTROL_PORT = 7702
METRICS_PORT = 7703
_POLL_S = 0.02
_WAIT_TIMEOUT_S = 30.0
KEY = "key-one"
HOST = "one.example"
TIMEOUT_MS = 4000


@dataclass
class HostProcess:
    """Hold one process of the site and its settings."""

    name: str
    settings: RoutingSettings
    path: Path
    log: Path
    child: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.child is not None and self.child.poll() is None


@dataclass
class RoutedPlan:
    """Describe the processes and options of a site.

    Parameters
    ----------
    subnet
        The second and third octet of the hosts' addresses, different for sites that
        run at the same time.
    """

    gateways: int = 2
    keepers: int = 3
    schedulers: int = 2
    disks_lost: int = 1
    subnet: str = "77.1"
    stop_s: float = 2.0
    quota_excess: float = 0.0
    quota_extra: float = 0.0
    # Retries allowed in each window beyond the share of requests.
    retry_extra: float = 20.0
    request_bodies_bytes: int = 256 << 20
    # What a process may use; 0 descriptors take the limit of the system.
    memory_mb: float = 1024.0
    max_descriptors: int = 0
    # Whether gateways serve their metrics.
    has_metrics: bool = False
    shares_fairly: bool = False
    protects_tiers: bool = False
    # Delay before a version that no rollout names serves beside others.
    unordered_after_s: float = 0.0
    domains: tuple[str, ...] = ("north", "south", "east")


class RoutedSite:
    """Run a routed site and send requests to its control and readiness addresses."""

    def __init__(self, folder: Path, plan: RoutedPlan, targets: StandInList) -> None:
        self.folder = folder
        self.plan = plan
        self.targets = targets
        self.processes: dict[str, HostProcess] = {}
        self._host_count = 0
        self._is_first_start = True

    def _next_ip(self) -> str:
        self._host_count += 1
        return f"127.{self.plan.subnet}.{self._host_count}"

    def prepare(self) -> None:
        """Define every process; the target list must be listening already."""
        ips = [self._next_ip() for _ in range(self.plan.keepers)]
        self.seeds = [f"{ip}:{_CONTROL_PORT}" for ip in ips[:3]]
        for number, ip in enumerate(ips):
            self.add(RoutingRole.keeper, f"keeper-{number + 1}", ip)
        for number in range(self.plan.schedulers):
            self.add(RoutingRole.scheduler, f"scheduler-{number + 1}", ips[number])
        for number in range(self.plan.gateways):
            self.add(RoutingRole.gateway, f"gateway-{number + 1}", self._next_ip())

    def add(self, role: RoutingRole, name: str, ip: str | None = None) -> HostProcess:
        """Add a process; it gets a new address unless one is given."""
        ip = ip or self._next_ip()
        domain = self.plan.domains[len(self.processes) % len(self.plan.domains)]
        has_metrics = role is RoutingRole.gateway and self.plan.has_metrics
        settings = RoutingSettings(
            site="test",
            host=name,
            failure_domain=domain,
            role=role,
            ip=ip,
            bind_ip=ip,
            first_port=FIRST_PORT,
            link_key_hex=LINK_KEY_HEX,
            seeds=self.seeds,
            first_start=self._is_first_start,
            callers=f"{ip}:{_CALLERS_PORT}" if role is RoutingRole.gateway else "",
            readiness=f"{ip}:{_READINESS_PORT}" if role is RoutingRole.gateway else "",
            control=f"{ip}:{_CONTROL_PORT}" if role is RoutingRole.keeper else "",
            data_folder=str(self.folder / name) if role is RoutingRole.keeper else "",
            target_list=self.targets.address,
            disks_lost=self.plan.disks_lost,
            stop_s=self.plan.stop_s,
            quota_excess=self.plan.quota_excess,
            quota_extra=self.plan.quota_extra,
            retry_extra=self.plan.retry_extra,
            request_bodies_bytes=self.plan.request_bodies_bytes,
            memory_mb=self.plan.memory_mb,
            max_descriptors=self.plan.max_descriptors,
            metrics_port=METRICS_PORT if has_metrics else 0,
            share_fairly=self.plan.shares_fairly,
            unordered_after_s=self.plan.unordered_after_s,
            protect_tiers=self.plan.protects_tiers,
        )
        process = HostProcess(
            name, settings, self.folder / f"{name}.json", self.folder / f"{name}.log"
        )
        self.processes[name] = process
        return process

    def start(self, name: str) -> None:
        """Start one process."""
        process = self.processes[name]
        process.path.write_bytes(msgspec.json.encode(process.settings))
        command = [sys.executable, "-m", "troutstand.daemon.main", str(process.path), "--routed"]
        with process.log.open("ab") as log:
            process.child = subprocess.Popen(
                command, stdout=log, stderr=log, env=make_environment()
            )
        process.starts += 1

    def start_all(self) -> None:
        """Start every process, and clear `first_start` for later starts."""
        for name in list(self.processes):
            self.start(name)
        self._is_first_start = False
        for process in self.processes.values():
            process.settings = msgspec.structs.replace(process.settings, first_start=False)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this site if it is running."""
        process = self.processes.get(name)
        child = process.child if process is not None else None
        if child is not None and child.poll() is None:
            child.send_signal(number)

    def handles_signal(self, name: str, number: signal.Signals) -> bool:
        """Return whether a process ignores or catches a signal, as /proc reports."""
        process = self.processes.get(name)
        child = process.child if process is not None else None
        return child is not None and _read_handled_signals(child.pid) & 1 << number - 1 != 0

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        child = self.processes[name].child
        if child is not None and child.poll() is None:
            child.send_signal(signal.SIGCONT)
            child.kill()
            child.wait()

    def stop(self) -> None:
        """Kill all processes."""
        for name in self.processes:
            self.kill(name)

    def list_role(self, role: RoutingRole) -> list[HostProcess]:
        """Return the processes of a role."""
        return [p for p in self.processes.values() if p.settings.role is role]

    def read_logs(self) -> str:
        """Return the logs of all processes."""
        return "".join(p.log.read_text() for p in self.processes.values() if p.log.exists())

    # Control and readiness requests

    async def write(self, session: aiohttp.ClientSession, name: str, body: bytes) -> int:
        """Send a configuration to one keeper and return the status; 0 if there is no response."""
        url = f"http://{self.processes[name].settings.control}/configuration"
        try:
            async with session.put(url, data=body, timeout=_make_timeout(3.0)) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def write_anywhere(self, session: aiohttp.ClientSession, body: bytes) -> None:
        """Send a configuration to the keepers in turn until one acknowledges it."""
        names = [p.name for p in self.list_role(RoutingRole.keeper)]

        async def is_acknowledged() -> bool:
            for name in names:
                if await self.write(session, name, body) == 200:
                    return True
            return False

        await wait_until(is_acknowledged, "a configuration is acknowledged")

    async def read(self, session: aiohttp.ClientSession, name: str) -> bytes | None:
        """Read the configuration of one keeper; return None if it does not respond with one."""
        url = f"http://{self.processes[name].settings.control}/configuration"
        try:
            async with session.get(url, timeout=_make_timeout(3.0)) as response:
                data = await response.read()
                return data if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def begin_rollout(
        self, session: aiohttp.ClientSession, name: str, body: dict[str, object]
    ) -> int:
        """Order a rollout at one keeper and return the status; 0 if there is no response."""
        url = f"http://{self.processes[name].settings.control}/rollouts"
        try:
            async with session.post(url, json=body, timeout=_make_timeout(3.0)) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def read_rollout(
        self, session: aiohttp.ClientSession, name: str, service: str
    ) -> tuple[int, str]:
        """Return the HTTP status and the rollout's state from one keeper."""
        url = f"http://{self.processes[name].settings.control}/rollouts/{service}"
        try:
            async with session.get(url, timeout=_make_timeout(3.0)) as response:
                reply = await response.json()
                return response.status, str(reply.get("state", ""))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, ""

    async def is_ready(self, session: aiohttp.ClientSession, name: str) -> bool:
        """Return whether a gateway reports that it is ready."""
        url = f"http://{self.processes[name].settings.readiness}/ready"
        try:
            async with session.get(url, timeout=_make_timeout(1.0)) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until every running gateway is ready."""
        for process in self.list_role(RoutingRole.gateway):
            if process.is_running:
                name = process.name
                await wait_until(lambda n=name: self.is_ready(session, n), f"{name} is ready")


def _read_handled_signals(pid: int) -> int:
    """Return the signals that a process ignores or catches, as a bit mask."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except FileNotFoundError:
        # The process has exited and was reaped.
        return 0
    masks = dict(line.split(":\t", 1) for line in lines if line.startswith("Sig"))
    return int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)


def _make_timeout(total_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=total_s)


async def wait_until(condition: Callable, what: str, limit_s: float = _WAIT_TIMEOUT_S) -> None:
    """Poll a condition until it holds; raise AssertionError after `limit_s`."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if await condition():
            return
        await asyncio.sleep(_POLL_S)
    raise AssertionError(f"timed out after {limit_s} s: {what}")


@dataclass
class ConfigurationPlan:
    """Describe a test's configuration."""

    version: int = 1
    routes: list[Route] = field(default_factory=list)
    workspaces: list[RoutedWorkspace] = field(default_factory=list)
    services: tuple[str, ...] = ("work", "engine")
    limits: CallerLimits = field(default_factory=CallerLimits)

    def encode(self) -> bytes:
        """Encode the configuration as JSON."""
        configuration = Configuration(
            version=self.version,
            limits=self.limits,
            routes=self.routes or make_routes(),
            services=[RoutedService(name) for name in self.services],
            workspaces=self.workspaces or [RoutedWorkspace("one", keys=[KEY])],
        )
        return json.dumps(msgspec.to_builtins(configuration)).encode()


def make_routes(timeout_ms: int = TIMEOUT_MS) -> list[Route]:
    """Make one route of each kind."""
    routes = [
        make_route("get", "/get/", RouteKind.idempotent, attempts=2),
        make_route("do", "/do/", RouteKind.non_idempotent),
        make_route("stream", "/stream/", RouteKind.streaming, "engine"),
        make_route("resume", "/stream/resume/", RouteKind.streaming, "engine", 3, True),
        make_route("resume-once", "/stream/resume-once/", RouteKind.streaming, "engine", 2, True),
    ]
    return [msgspec.structs.replace(route, timeout_ms=timeout_ms) for route in routes]


def make_route(
    name: str,
    prefix: str,
    kind: RouteKind,
    service: str = "work",
    attempts: int = 1,
    resumable: bool = False,
) -> Route:
    """Make a route for the tests' virtual host."""
    return Route(
        name=name,
        host=HOST,
        prefix=prefix,
        kind=kind,
        timeout_ms=TIMEOUT_MS,
        split=[WeightedService(service, 1.0)],
        objective_ms=400,
        attempts=attempts,
        resumable=resumable,
    )
