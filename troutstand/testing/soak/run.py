"""Run a routed site with callers, an operator and the faults of one seed."""

from __future__ import annotations

import asyncio
import itertools
import random
import shutil
import signal
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from troutstand.generated.configuration import RoutedWorkspace
from troutstand.generated.routing import RoutingRole
from troutstand.testing.behindproxy import put_all_behind_proxies, put_behind_proxy
from troutstand.testing.faultproxy import FaultKind, FaultProxy, LinkFault
from troutstand.testing.limitload import LimitPlan
from troutstand.testing.partition import CutKind
from troutstand.testing.routedcaller import RoutedCaller
from troutstand.testing.routedsite import (
    KEY,
    ConfigurationPlan,
    HostProcess,
    RoutedPlan,
    RoutedSite,
    wait_until,
)
from troutstand.testing.soak.check import (
    CRASHING_PART,
    ConfigurationRead,
    ConfigurationWrite,
    Disruption,
    GatewayCut,
    SoakRecord,
    TokenLimit,
)
from troutstand.testing.soak.plan import (
    EventKind,
    SoakEvent,
    generate_crashing_parts,
    generate_events,
    generate_gateway_cuts,
    generate_losses,
)
from troutstand.testing.soak.rollouts import FIRST_VERSION, SoakRollouts
from troutstand.testing.soak.targets import clear_target_fault, inject_target_fault
from troutstand.testing.soak.versions import SoakVersions
from troutstand.testing.standins import StandInList, StandInTarget

if TYPE_CHECKING:
    from pathlib import Path

_CALL_INTERVAL_S = 0.04
_READ_INTERVAL_S = 0.25
_RECOVERY_S = 12.0
_FAULT_FREE_S = 3.0
_RESTART_DELAY_S = 0.3
# Longer than an order takes to follow its targets.
_UNORDERED_AFTER_S = 5.0
_LIMITED_WORKSPACE = "limited"
_LIMITED_KEY = "key-limited"
# A third of what its callers ask for.
_LIMIT = LimitPlan(tokens_per_s=100.0, burst_tokens=400.0, excess=0.1, extra_tokens=400.0)
_MODEST_WORKSPACE = "modest"
_MODEST_KEY = "key-modest"
# Twice what its callers ask for.
_MODEST_LIMIT = LimitPlan(
    tokens_per_s=300.0, burst_tokens=1200.0, excess=0.1, extra_tokens=_LIMIT.extra_tokens
)
_LOST_SHARE = 0.7
# One in so many calls is of a limited workspace.
_LIMITED_EVERY = 7
_MODEST_REST = 3
_COMMON_PARTS = ["common-1", "common-2"]
_ROUTES = ("/get/", "/do/", "/do/", "/stream/", "/stream/resume/", "/stream/resume-once/")


def _format_parts(names: list[str]) -> str:
    return ",".join(f"{name}:50" for name in names)


@dataclass(frozen=True)
class SoakPlan:
    """Configure the size, the duration and the faults of a soak."""

    seed: int
    duration_s: float = 20.0
    # 0 disables faults.
    faults_per_s: float = 1.2
    gateways: int = 3
    subnet: str = "88.1"
    rollouts: bool = False
    # Whether gateways are cut from all targets at times.
    cuts: bool = False
    # Whether some requests have prompt parts that crash targets.
    crashing_parts: bool = False
    # Whether most or all processes are lost at times.
    losses: bool = False
    # Whether engines of a second version stand beside the first, and later alone.
    versions: bool = False


@dataclass
class Soak:
    """Run one soak and record what callers, operators and targets observe."""

    plan: SoakPlan
    folder: Path
    record: SoakRecord = field(default_factory=SoakRecord)
    targets: list[StandInTarget] = field(default_factory=list)
    proxies: dict[str, FaultProxy] = field(default_factory=dict)
    # Proxies of the gateways, which accept connections of their peers only.
    tunnel_proxies: dict[str, FaultProxy] = field(default_factory=dict)
    _versions: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    _expected_down: set[str] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _calls: set[asyncio.Task[object]] = field(default_factory=set)

    async def run(self) -> SoakRecord:
        """Run the soak and return its record."""
        await self._start_site()
        try:
            await self._run_traffic()
        finally:
            await self._stop_site()
        return self.record

    # Setup and teardown

    async def _start_site(self) -> None:
        for number in range(3):
            self.targets.append(
                StandInTarget(f"plain-{number}", "work", seed=number, version=FIRST_VERSION)
            )
            self.targets.append(
                StandInTarget(f"engine-{number}", "engine", seed=number, version=FIRST_VERSION)
            )
        for target in self.targets:
            target.crash_parts = self.record.crash_parts
            await target.start()
        self.list = StandInList(self.targets, lag_s=0.3)
        await self.list.start()
        plan = RoutedPlan(
            gateways=self.plan.gateways,
            subnet=self.plan.subnet,
            shares_fairly=True,
            protects_tiers=True,
            quota_excess=_LIMIT.excess,
            quota_extra=_LIMIT.extra_tokens,
            unordered_after_s=_UNORDERED_AFTER_S if self.plan.rollouts else 0.0,
        )
        self.site = RoutedSite(self.folder, plan, self.list)
        self.site.prepare()
        proxies = await put_all_behind_proxies(self.site)
        gateways = {process.name for process in self.site.list_role(RoutingRole.gateway)}
        self.proxies = {name: proxies[name] for name in proxies if name not in gateways}
        self.tunnel_proxies = {name: proxies[name] for name in gateways}
        self.site.start_all()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.caller = RoutedCaller(self.session, f"soak-{self.plan.seed}")
        self.limited_caller = RoutedCaller(self.session, f"limited-{self.plan.seed}")
        self.modest_caller = RoutedCaller(self.session, f"modest-{self.plan.seed}")
        # Separate, since requests that crash targets need not be answered.
        self.crashing_caller = RoutedCaller(self.session, f"crashing-{self.plan.seed}")
        version = next(self._versions)
        content = self._make_content(version)
        started_s = time.monotonic()
        await self.site.write_anywhere(self.session, content)
        self.record.writes.append(
            ConfigurationWrite(version, content, started_s, time.monotonic(), 200)
        )
        await self.site.wait_ready(self.session)
        self.record.limits = [
            TokenLimit(_LIMITED_WORKSPACE, _LIMIT.window_s, _LIMIT.max_tokens),
            TokenLimit(_MODEST_WORKSPACE, _MODEST_LIMIT.window_s, _MODEST_LIMIT.max_tokens),
        ]

    async def _stop_site(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        self.site.stop()
        await self.session.close()
        for proxy in (*self.proxies.values(), *self.tunnel_proxies.values()):
            await proxy.stop()
        for target in self.targets:
            await target.crash()
            self.record.runs += target.runs
            self.record.arrivals += target.arrivals
            self.record.limit_notices += target.limit_notices
        await self.list.stop()

    def _spawn(self, coroutine) -> asyncio.Task[None]:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Traffic

    async def _run_traffic(self) -> None:
        traffic = [self._spawn(self._send_calls()), self._spawn(self._poll_configuration())]
        if self.plan.rollouts:
            traffic.append(self._spawn(SoakRollouts(self, self.plan.seed).run()))
        if self.plan.versions:
            traffic.append(self._spawn(SoakVersions(self, self.plan.seed).run()))
        started_s = time.monotonic()
        in_progress: list[asyncio.Task[None]] = []
        for event in self._generate_events():
            await asyncio.sleep(max(0.0, started_s + event.at_s - time.monotonic()))
            self._record_exits()
            in_progress.append(self._spawn(self._inject(event)))
        await asyncio.sleep(max(0.0, started_s + self.plan.duration_s - time.monotonic()))
        await asyncio.gather(*in_progress)
        await self._clear_faults()
        self.record.faults_ended_s = time.monotonic()
        await asyncio.sleep(_RECOVERY_S)
        self.record.recovered_s = time.monotonic()
        await asyncio.sleep(_FAULT_FREE_S)
        self._record_exits()
        for task in traffic:
            task.cancel()
        await asyncio.gather(*traffic, *self._calls, return_exceptions=True)
        await self._read_configuration()
        self.record.calls = [
            *self.caller.results,
            *self.limited_caller.results,
            *self.modest_caller.results,
        ]
        self.record.limited_calls = {call.request for call in self.limited_caller.results}
        self.record.modest_calls = {call.request for call in self.modest_caller.results}
        self.record.crashing_calls = self.crashing_caller.results

    def _generate_events(self) -> list[SoakEvent]:
        plan = self.plan
        events: list[SoakEvent] = []
        if plan.faults_per_s:
            events += generate_events(plan.seed, plan.duration_s, plan.faults_per_s)
        if plan.cuts:
            events += generate_gateway_cuts(plan.seed, plan.duration_s)
        if plan.losses:
            events += generate_losses(plan.seed, plan.duration_s)
        if plan.crashing_parts:
            events += generate_crashing_parts(plan.seed, plan.duration_s)
        return sorted(events, key=lambda event: event.at_s)

    async def _send_calls(self) -> None:
        """Send calls to all gateways in turn without waiting for the responses."""
        calls = self._calls
        for number in itertools.count():
            gateways = self.site.list_role(RoutingRole.gateway)
            gateway = gateways[number % len(gateways)]
            route = _ROUTES[number % len(_ROUTES)]
            key, caller = self._choose_caller(number)
            tokens = "" if caller is self.caller else "40,40"
            has_parts = self.plan.crashing_parts and route.startswith("/stream")
            parts = _format_parts([*_COMMON_PARTS, f"{number}"]) if has_parts else ""
            coroutine = caller.call(gateway, route, b"x", key, tokens, parts=parts)
            task: asyncio.Task[object] = asyncio.create_task(coroutine)
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(_CALL_INTERVAL_S)

    def _choose_caller(self, number: int) -> tuple[str, RoutedCaller]:
        """Return the key and the caller of a call, by its number."""
        if number % _LIMITED_EVERY == 0:
            return _LIMITED_KEY, self.limited_caller
        if self.plan.losses and number % _LIMITED_EVERY == _MODEST_REST:
            return _MODEST_KEY, self.modest_caller
        return KEY, self.caller

    async def _poll_configuration(self) -> None:
        while True:
            await self._read_configuration()
            await asyncio.sleep(_READ_INTERVAL_S)

    async def _read_configuration(self) -> None:
        for process in self.site.list_role(RoutingRole.keeper):
            started_s = time.monotonic()
            content = await self.site.read(self.session, process.name)
            self.record.reads.append(ConfigurationRead(process.name, started_s, content))

    def _make_content(self, version: int, variant: int = 0) -> bytes:
        workspaces = [
            RoutedWorkspace("one", keys=[KEY, f"key-{version}-{variant}"]),
            RoutedWorkspace(
                _LIMITED_WORKSPACE,
                keys=[_LIMITED_KEY],
                tokens_per_s=_LIMIT.tokens_per_s,
                burst_tokens=_LIMIT.burst_tokens,
            ),
            RoutedWorkspace(
                _MODEST_WORKSPACE,
                keys=[_MODEST_KEY],
                tokens_per_s=_MODEST_LIMIT.tokens_per_s,
                burst_tokens=_MODEST_LIMIT.burst_tokens,
            ),
        ]
        return ConfigurationPlan(version, workspaces=workspaces).encode()

    async def _write_configuration(self, version: int, variant: int, keeper: str) -> None:
        content = self._make_content(version, variant)
        started_s = time.monotonic()
        status = await self.site.write(self.session, keeper, content)
        ended_s = time.monotonic()
        self.record.writes.append(ConfigurationWrite(version, content, started_s, ended_s, status))

    # Faults

    def _choose_process(self, event: SoakEvent, role: RoutingRole | None = None) -> HostProcess:
        eligible = [
            process
            for process in self.site.processes.values()
            if role is None or process.settings.role is role
        ]
        return eligible[event.choice % len(eligible)]

    def _record_exits(self) -> None:
        for process in self.site.processes.values():
            child = process.child
            if child is None or process.name in self._expected_down or child.poll() is None:
                continue
            self.record.unexpected_exits.append(f"{process.name} with {child.returncode}")
            self._expected_down.add(process.name)

    async def _inject(self, event: SoakEvent) -> None:
        match event.kind:
            case EventKind.SUSPEND:
                await self._suspend(self._choose_process(event), event.duration_s)
            case EventKind.KILL:
                await self._restart([self._choose_process(event)], signal.SIGKILL)
            case EventKind.STOP:
                await self._restart([self._choose_process(event)], signal.SIGTERM)
            case EventKind.RELOAD:
                await self.reload(self._choose_process(event))
            case EventKind.KILL_KEEPERS:
                await self._restart(self.site.list_role(RoutingRole.keeper), signal.SIGKILL)
            case EventKind.LOSE_DISK:
                await self._lose_disk(self._choose_process(event, RoutingRole.keeper))
            case EventKind.REPLACE_KEEPER:
                await self._replace_keeper(self._choose_process(event, RoutingRole.keeper))
            case (
                EventKind.CUT_LINK
                | EventKind.CUT_LINK_ONE_WAY
                | EventKind.DELAY_LINK
                | EventKind.RESET_LINKS
            ):
                await self._disrupt_link(event)
            case EventKind.TARGET_FAULT | EventKind.TARGET_CRASH | EventKind.TARGET_DRAIN:
                target = self.targets[event.choice % len(self.targets)]
                await inject_target_fault(target, event, self.record)
            case EventKind.LIST_OUTAGE:
                self.list.is_down, from_s = True, time.monotonic()
                await asyncio.sleep(event.duration_s)
                self.list.is_down = False
                self.record.list_outages.append((from_s, time.monotonic()))
            case EventKind.CONFIGURE | EventKind.CONFIGURE_CONCURRENTLY:
                await self._configure(event)
            case EventKind.DISCONNECT_CALLER:
                await self._disconnect_caller(event)
            case EventKind.CUT_GATEWAYS:
                await self._cut_gateways(event)
            case EventKind.LOSE_ALL_POWER | EventKind.LOSE_ALL_POWER_AND_DISK | EventKind.LOSE_MOST:
                await self._lose_processes(event)
            case EventKind.SEND_CRASHING_PART:
                await self._send_crashing_part(event)

    async def _suspend(self, process: HostProcess, duration_s: float) -> None:
        started_s = time.monotonic()
        self.site.send_signal(process.name, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.site.send_signal(process.name, signal.SIGCONT)
        self.record.disruptions.append(Disruption(process.name, started_s, time.monotonic()))

    async def reload(self, process: HostProcess) -> None:
        """Signal a process to reload once it handles the signal.

        Before that, the default action of the signal would end the process.
        """

        async def can_reload() -> bool:
            is_down = not process.is_running
            return is_down or self.site.handles_signal(process.name, signal.SIGHUP)

        await wait_until(can_reload, f"{process.name} handles the reload signal")
        self.site.send_signal(process.name, signal.SIGHUP)

    async def _restart(self, processes: list[HostProcess], number: signal.Signals) -> None:
        started_s = time.monotonic()
        restarted = [p for p in processes if p.name not in self._expected_down]
        self._expected_down.update(process.name for process in restarted)
        for process in restarted:
            self.site.send_signal(process.name, signal.SIGCONT)
            self.site.send_signal(process.name, number)
        for process in restarted:
            await self._wait_for_exit(process)
        await asyncio.sleep(_RESTART_DELAY_S)
        for process in restarted:
            self._start(process)
            self.record.disruptions.append(Disruption(process.name, started_s, time.monotonic()))

    async def _lose_processes(self, event: SoakEvent) -> None:
        """End most or all processes at once, and start them again after a while."""
        processes = list(self.site.processes.values())
        if event.kind is EventKind.LOSE_MOST:
            servers = [p for p in processes if p.settings.role is not RoutingRole.keeper]
            random.Random(event.choice).shuffle(servers)
            processes = servers[: max(1, round(_LOST_SHARE * len(servers)))]
        lost = [p for p in processes if p.name not in self._expected_down]
        started_s = time.monotonic()
        self._expected_down.update(process.name for process in lost)
        for process in lost:
            self.site.kill(process.name)
        keepers = [p for p in lost if p.settings.role is RoutingRole.keeper]
        if event.kind is EventKind.LOSE_ALL_POWER_AND_DISK and keepers:
            wiped = keepers[event.second_choice % len(keepers)]
            shutil.rmtree(wiped.settings.data_folder, ignore_errors=True)
        await asyncio.sleep(event.duration_s)
        for process in lost:
            self._start(process)
            self.record.disruptions.append(Disruption(process.name, started_s, time.monotonic()))

    async def _wait_for_exit(self, process: HostProcess) -> None:
        async def has_exited() -> bool:
            # A suspended process exits after the fault that suspended it resumes it.
            return not process.is_running

        try:
            await wait_until(has_exited, f"{process.name} exited", 10.0)
        except AssertionError:
            self.record.unexpected_exits.append(f"{process.name} did not exit after the signal")
            self.site.kill(process.name)

    def _start(self, process: HostProcess) -> None:
        if process.name in self.site.processes:
            self.site.start(process.name)
            self._expected_down.discard(process.name)

    async def _lose_disk(self, process: HostProcess) -> None:
        if process.name in self._expected_down:
            return
        self._expected_down.add(process.name)
        self.site.kill(process.name)
        shutil.rmtree(process.settings.data_folder, ignore_errors=True)
        await asyncio.sleep(_RESTART_DELAY_S)
        self._start(process)

    async def _replace_keeper(self, process: HostProcess) -> None:
        if process.name in self._expected_down:
            return
        self._expected_down.add(process.name)
        self.site.kill(process.name)
        del self.site.processes[process.name]
        fresh = self.site.add(RoutingRole.keeper, f"{process.name}-again")
        self.proxies[fresh.name] = await put_behind_proxy(fresh)
        await asyncio.sleep(_RESTART_DELAY_S)
        self._start(fresh)

    async def _disrupt_link(self, event: SoakEvent) -> None:
        names = sorted(self.proxies)
        proxy = self.proxies[names[event.choice % len(names)]]
        if event.kind is EventKind.RESET_LINKS:
            proxy.reset_all()
            return
        peers = sorted(self.site.processes.values(), key=lambda process: process.name)
        peer = peers[event.second_choice % len(peers)]
        # An empty source selects the connections from all hosts.
        source = "" if event.second_choice % 3 == 0 else peer.settings.bind_ip
        kind = FaultKind.DELAY if event.kind is EventKind.DELAY_LINK else FaultKind.SILENCE
        link_fault = LinkFault(kind, 0.05 + event.duration_s / 20)
        proxy.set_link_fault(source, True, link_fault)
        if event.kind is not EventKind.CUT_LINK_ONE_WAY:
            proxy.set_link_fault(source, False, link_fault)
        await asyncio.sleep(event.duration_s)
        proxy.set_link_fault(source, True, LinkFault())
        proxy.set_link_fault(source, False, LinkFault())

    async def _configure(self, event: SoakEvent) -> None:
        version = next(self._versions)
        keepers = [process.name for process in self.site.list_role(RoutingRole.keeper)]
        first = keepers[event.choice % len(keepers)]
        second = keepers[event.second_choice % len(keepers)]
        writes = [self._write_configuration(version, 0, first)]
        if event.kind is EventKind.CONFIGURE_CONCURRENTLY:
            writes.append(self._write_configuration(version, 1, second))
        await asyncio.gather(*writes)

    async def _disconnect_caller(self, event: SoakEvent) -> None:
        gateway = self._choose_process(event, RoutingRole.gateway)
        call = asyncio.create_task(self.caller.call(gateway, "/stream/", b"x"))
        await asyncio.sleep(0.02)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    async def _cut_gateways(self, event: SoakEvent) -> None:
        """Cut some, most or all gateways from all targets; resets alternate with silence."""
        gateways = sorted(self.site.list_role(RoutingRole.gateway), key=lambda g: g.name)
        count = 1 + event.choice % len(gateways)
        first = event.second_choice % len(gateways)
        cut = (gateways[first:] + gateways[:first])[:count]
        kind = list(CutKind)[event.second_choice // len(gateways) % len(CutKind)]
        began_s = time.monotonic()
        for target, gateway in itertools.product(self.targets, cut):
            target.cut(gateway.settings.bind_ip, kind)
        await asyncio.sleep(event.duration_s)
        for target, gateway in itertools.product(self.targets, cut):
            target.heal(gateway.settings.bind_ip)
        names = frozenset(gateway.name for gateway in cut)
        self.record.gateway_cuts.append(GatewayCut(names, began_s, time.monotonic()))

    async def _send_crashing_part(self, event: SoakEvent) -> None:
        """Send a request of its own with a part that crashes targets, and with common parts."""
        gateway = self._choose_process(event, RoutingRole.gateway)
        common = _COMMON_PARTS[: event.second_choice % (1 + len(_COMMON_PARTS))]
        parts = [*common]
        parts.insert(event.choice % (1 + len(common)), CRASHING_PART)
        name = f"{event.at_s:.6f}"
        prompt = _format_parts([*parts, name])
        await self.crashing_caller.call(gateway, "/stream/resume/", name.encode(), parts=prompt)

    async def _clear_faults(self) -> None:
        for proxy in (*self.proxies.values(), *self.tunnel_proxies.values()):
            proxy.heal()
        self.list.is_down = False
        for target in self.targets:
            clear_target_fault(target)
            if target._server is None:
                await target.start()
        for process in list(self.site.processes.values()):
            self.site.send_signal(process.name, signal.SIGCONT)
            if not process.is_running:
                self._start(process)
