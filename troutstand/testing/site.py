"""Configure a small site on loopback and run its processes."""

from __future__ import annotations

import hashlib
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

import msgspec

from troutstand.control.client import AdminClient
from troutstand.generated.settings import Address, Limits, Peer, Role, Settings
from troutstand.generated.table import Model, Protocol, Service, Target, Tier, Workspace
from troutstand.testing.engine import EngineSettings
from troutstand.testing.ports import IP, pick_ports
from troutstand.testing.processenvironment import make_environment
from troutstand.testing.relay import LinkDirection, RelayHub
from troutstand.testing.service import ServiceSettings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from troutstand.core.table import Row

T = TypeVar("T")

OPERATOR_TOKEN = "operator-token"
LINK_KEY = "0123456789abcdef0123456789abcdef"

# Timeout against hangs, longer than any expected wait.
HANG_S = 30.0
_POLL_S = 0.02
MODEL = "advisor-small"
SERVICE = "field-operations"
LOOKUP = "lookup"


def hash_token(token: str) -> str:
    """Hash a token as the table stores it."""
    return hashlib.sha256(token.encode()).hexdigest()


def wait_for(condition: Callable[[], T | None], what: str) -> T:
    """Poll a condition until it returns a true value; raise AssertionError on a hang."""
    end_s = time.monotonic() + HANG_S
    while time.monotonic() < end_s:
        found = condition()
        if found:
            return found
        time.sleep(_POLL_S)
    raise AssertionError(f"no {what} within {HANG_S} s")


@dataclass(frozen=True)
class SitePlan:
    """Describe the size and options of a site.

    `entries` and `keepers` count the processes of each failure domain;
    `engine_speeds` holds the speed factors of the engines in every domain.
    """

    entries: tuple[int, ...] = (3,)
    keepers: tuple[int, ...] = (1,)
    engine_speeds: tuple[float, ...] = (1.0, 1.5, 2.5, 4.0)
    services: int = 2
    slots: int = 8
    prefill_tokens_per_s: float = 20000.0
    decode_tokens_per_s: float = 200.0
    cache_tokens: int = 65536
    checks_keys: bool = False
    resumes: bool = True
    lease_s: float = 2.0
    heartbeat_s: float = 0.5
    drain_s: float = 20.0
    deadline_s: float = 30.0
    service_run_s: float = 0.002
    # If not 0, the first service worker rejects all calls with this backoff.
    service_backoff_s: float = 0.0
    # Limit that the first service worker sends, in requests per second; empty sends none.
    service_limit: str = ""
    is_relayed: bool = False
    body_s: float = 30.0


@dataclass
class SiteProcess:
    """Manage one process of a site."""

    name: str
    command: list[str]
    folder: Path
    handle: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, with its output in a file."""
        with (self.folder / f"{self.name}.err").open("ab") as errors:
            self.handle = subprocess.Popen(
                self.command, stdout=errors, stderr=errors, env=make_environment()
            )

    @property
    def has_ended(self) -> bool:
        """Return whether the process was started and has exited."""
        return self.handle is not None and self.handle.poll() is not None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.handle and self.handle.poll() is None:
            os.kill(self.handle.pid, number)

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self.handle:
            self.handle.kill()
            self.handle.wait()

    def wait(self) -> int:
        """Wait for the process to exit and return its exit code."""
        assert self.handle is not None
        return self.handle.wait(HANG_S)


@dataclass
class Site:
    """Run a site's processes, simulated engines and simulated services."""

    folder: Path
    plan: SitePlan = field(default_factory=SitePlan)
    processes: dict[str, SiteProcess] = field(default_factory=dict)
    callers: dict[str, Address] = field(default_factory=dict)
    admins: dict[str, Address] = field(default_factory=dict)
    links: dict[str, Address] = field(default_factory=dict)
    rows: list[Row] = field(default_factory=list)
    peers: list[Peer] = field(default_factory=list)
    domains: dict[str, str] = field(default_factory=dict)
    hub: RelayHub | None = None

    @property
    def entries(self) -> list[str]:
        """Return the names of the entry processes."""
        return [f"{peer.host}.entry" for peer in self.peers if peer.role is Role.entry]

    @property
    def keepers(self) -> list[str]:
        """Return the names of the keeper processes."""
        return [f"{peer.host}.keeper" for peer in self.peers if peer.role is Role.keeper]

    def prepare(self) -> None:
        """Choose addresses and write every settings file."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._choose_peers()
        if self.plan.is_relayed:
            self.hub = RelayHub()
        for peer in self.peers:
            self._write_settings(peer)
        self.rows = make_policy_rows(self.plan.deadline_s)
        for index, _ in enumerate(self.plan.entries):
            domain = name_domain(index)
            for number, speed in enumerate(self.plan.engine_speeds):
                self._add_engine(f"{domain}-engine-{number}", domain, speed)
            for number in range(self.plan.services):
                self._add_service(f"{domain}-service-{number}", domain)

    def _choose_peers(self) -> None:
        for index, (entries, keepers) in enumerate(
            zip(self.plan.entries, self.plan.keepers, strict=True)
        ):
            domain = name_domain(index)
            for number in range(entries):
                self._add_peer(f"{domain}-{number}", domain, Role.entry)
            for number in range(keepers):
                self._add_peer(f"{domain}-{number}", domain, Role.keeper)

    def _add_peer(self, host: str, domain: str, role: Role) -> None:
        link, admin, callers = (Address(IP, port) for port in pick_ports(3))
        name = f"{host}.{role.value}"
        self.peers.append(Peer(host, domain, role, link))
        self.links[name], self.admins[name], self.domains[name] = link, admin, domain
        if role is Role.entry:
            self.callers[name] = callers

    def _write_settings(self, peer: Peer) -> None:
        name = f"{peer.host}.{peer.role.value}"
        is_keeper = peer.role is Role.keeper
        limits = Limits(
            lease_s=self.plan.lease_s,
            heartbeat_s=self.plan.heartbeat_s,
            drain_s=self.plan.drain_s,
            body_s=self.plan.body_s,
        )
        settings = Settings(
            site="demo",
            host=peer.host,
            failure_domain=peer.failure_domain,
            role=peer.role,
            link=peer.link,
            admin=self.admins[name],
            link_key_hex=LINK_KEY,
            operator_token_sha256=hash_token(OPERATOR_TOKEN),
            limits=limits,
            callers=self.callers.get(name),
            peers=self._relay_peers(name),
            data_folder=str(self.folder / f"{name}.data") if is_keeper else None,
            log_file=str(self.folder / f"{name}.log"),
            trace_file=None if is_keeper else str(self.folder / f"{name}.trace"),
        )
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
        command = [sys.executable, "-m", "troutstand.daemon.main", str(path)]
        self.processes[name] = SiteProcess(name, command, self.folder)

    def _relay_peers(self, name: str) -> list[Peer]:
        """Return the peers of a process, with relay addresses if the site is relayed."""
        if self.hub is None:
            return self.peers
        relayed: list[Peer] = []
        for peer in self.peers:
            other = f"{peer.host}.{peer.role.value}"
            address = peer.link
            if other != name:
                address = Address(IP, pick_ports(1)[0])
                self.hub.add(LinkDirection(name, other), address, peer.link)
            relayed.append(Peer(peer.host, peer.failure_domain, peer.role, address))
        return relayed

    def cut_domain(self, domain: str) -> None:
        """Partition a failure domain from all others."""
        assert self.hub is not None
        inside = {name for name, process_domain in self.domains.items() if process_domain == domain}
        outside = set(self.domains) - inside
        self.hub.cut({LinkDirection(a, b) for a in inside for b in outside})
        self.hub.cut({LinkDirection(b, a) for a in inside for b in outside})

    def cut_process(self, name: str) -> None:
        """Partition a process from all others."""
        assert self.hub is not None
        others = set(self.domains) - {name}
        self.hub.cut(
            {LinkDirection(name, b) for b in others} | {LinkDirection(b, name) for b in others}
        )

    def _add_engine(self, name: str, domain: str, speed: float) -> None:
        port = pick_ports(1)[0]
        plan = self.plan
        settings = EngineSettings(
            name=name,
            ip=IP,
            port=port,
            slots=plan.slots,
            prefill_tokens_per_s=plan.prefill_tokens_per_s * speed,
            decode_tokens_per_s=plan.decode_tokens_per_s * speed,
            cache_tokens=plan.cache_tokens,
            record_file=str(self.folder / f"{name}.records"),
        )
        self._add_stand_in(name, "engine", msgspec.json.encode(settings))
        self.rows.append(
            Target(
                name=name,
                failure_domain=domain,
                protocol=Protocol.engine,
                url=f"http://{IP}:{port}",
                serves=[MODEL],
                slots=plan.slots,
                resumes=plan.resumes,
                prefill_tokens_per_s=settings.prefill_tokens_per_s,
                decode_tokens_per_s=settings.decode_tokens_per_s,
                cache_tokens=plan.cache_tokens,
            )
        )

    def _add_service(self, name: str, domain: str) -> None:
        port = pick_ports(1)[0]
        settings = ServiceSettings(
            name=name,
            ip=IP,
            port=port,
            record_file=str(self.folder / f"{name}.records"),
            checks_keys=self.plan.checks_keys,
            run_s=self.plan.service_run_s,
            rest_s=self.plan.service_backoff_s if name.endswith("-0") else 0.0,
            limit=self.plan.service_limit if name.endswith("-0") else "",
        )
        self._add_stand_in(name, "service", msgspec.json.encode(settings))
        self.rows.append(
            Target(
                name=name,
                failure_domain=domain,
                protocol=Protocol.service,
                url=f"http://{IP}:{port}",
                serves=[SERVICE, LOOKUP],
                slots=64,
                checks_orders=self.plan.checks_keys,
            )
        )

    def _add_stand_in(self, name: str, module: str, settings: bytes) -> None:
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.format(settings))
        command = [sys.executable, "-m", f"troutstand.testing.{module}", str(path)]
        self.processes[name] = SiteProcess(name, command, self.folder)

    def start(self) -> None:
        """Start all processes, form the keeper set and accept the first table."""
        for name in self.keepers:
            self.format_disk(name)
        for process in self.processes.values():
            process.start()
        operator = self.operator()
        self._form_keepers(operator)
        wait_for(lambda: operator.try_accept(self.keepers[0], "first", 0, self.rows), "table")
        for name in self.entries:
            self.wait_serving(name)

    def _form_keepers(self, operator: AdminClient) -> None:
        """Form the keeper set; on a timeout, report the reason and the failed processes."""
        reason = ""

        def is_formed() -> bool:
            nonlocal reason
            reason = operator.try_form(self.keepers[0])
            return not reason

        try:
            wait_for(is_formed, "keeper set")
        except AssertionError as error:
            unreachable = [name for name in self.keepers if operator.try_status(name) is None]
            exited = [name for name, process in self.processes.items() if process.has_ended]
            detail = f"{error}: {reason}; no status from {unreachable}, exited: {exited}"
            raise AssertionError(detail) from error

    def format_disk(self, name: str) -> None:
        """Make a keeper's data folder."""
        command = [*self.processes[name].command, "--format"]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL, timeout=HANG_S)

    def operator(self) -> AdminClient:
        """Return an admin client for all processes."""
        return AdminClient(self.admins, OPERATOR_TOKEN)

    def wait_serving(self, name: str) -> None:
        """Wait until an entry process serves callers."""
        wait_for(lambda: self.operator().is_healthy(self.callers[name]), f"{name} serving")

    def find_scheduler(self, domain: str) -> str:
        """Return the entry process that is a domain's scheduler."""
        names = [name for name in self.entries if self.domains[name] == domain]
        return wait_for(lambda: self.operator().find_scheduler(names), f"scheduler of {domain}")

    def stop(self) -> None:
        """Kill all processes and stop the relays."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.kill()
        if self.hub:
            self.hub.stop()


def name_domain(index: int) -> str:
    """Return the name of a failure domain."""
    return ("north", "south", "west", "east")[index]


def make_policy_rows(deadline_s: float) -> list[Row]:
    """Make the tiers, workspaces, models and services of the small site."""
    tiers = [
        Tier("urgent", 0, 2.0, 0.25, deadline_s),
        Tier("desk", 1, 4.0, 0.5, deadline_s),
        Tier("advice", 2, 8.0, 1.0, deadline_s),
        Tier("draft", 3, 12.0, 2.0, deadline_s),
    ]
    names = ["coordinators", "counter", "nurseries", "nurses", "reminders"]
    tier_names = ["urgent", "urgent", "desk", "advice", "draft"]
    workspaces = [
        Workspace(name, hash_token(f"token-{name}"), tier)
        for name, tier in zip(names, tier_names, strict=True)
    ]
    services = [Service(SERVICE), Service(LOOKUP, unrepeatable=[])]
    return [*tiers, *workspaces, Model(MODEL), *services]
