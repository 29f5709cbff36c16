"""Play one seed: a routed site, its callers and operator, and the faults."""

from __future__ import annotations

import asyncio
import itertools
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
from troutstand.testing.routedcaller import RoutedCaller
from troutstand.testing.routedsite import (
    KEY,
    ConfigurationPlan,
    HostProcess,
    RoutedPlan,
    RoutedSite,
    wait_until,
)
from troutstand.testing.soak.check import Disturbed, LimitBound, Read, Sent, SoakRecord
from troutstand.testing.soak.plan import Event, Kind, draw_plan
from troutstand.testing.soak.rollouts import FIRST_VERSION, SoakRollouts
from troutstand.testing.soak.targets import heal_target, trouble_target
from troutstand.testing.standins import StandInList, StandInTarget

if TYPE_CHECKING:
    from pathlib import Path

_CALL_GAP_S = 0.04
_READ_GAP_S = 0.25
_RECOVERY_S = 12.0
_CALM_S = 3.0
_RESTART_S = 0.3
_LIMITED = "limited"
_LIMITED_KEY = "key-limited"
_LIMIT_RATE = 400.0
_LIMIT_BURST = 400.0
_LIMIT_WINDOW_S = 8.0
_ROUTES = ("/get/", "/do/", "/do/", "/stream/", "/stream/resume/", "/stream/resume-once/")


@dataclass(frozen=True)
class SoakPlan:
    """Say how large and how long a soak is."""

    seed: int
    length_s: float = 20.0
    # Faults a second; 0 plays none.
    per_s: float = 1.2
    gateways: int = 3
    subnet: str = "88.1"
    # Whether versions are rolled out beside the faults.
    rollouts: bool = False


@dataclass
class Soak:
    """Hold one soak under way."""

    plan: SoakPlan
    folder: Path
    record: SoakRecord = field(default_factory=SoakRecord)
    targets: list[StandInTarget] = field(default_factory=list)
    proxies: dict[str, FaultProxy] = field(default_factory=dict)
    _versions: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    _expected_down: set[str] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _calls: set[asyncio.Task[object]] = field(default_factory=set)

    async def run(self) -> SoakRecord:
        """Play the seed and return what was seen."""
        await self._open()
        try:
            await self._play()
        finally:
            await self._close()
        return self.record

    # Start and end

    async def _open(self) -> None:
        for number in range(3):
            self.targets.append(
                StandInTarget(f"plain-{number}", "work", seed=number, version=FIRST_VERSION)
            )
            self.targets.append(
                StandInTarget(f"engine-{number}", "engine", seed=number, version=FIRST_VERSION)
            )
        for target in self.targets:
            await target.start()
        self.list = StandInList(self.targets, lag_s=0.3)
        await self.list.start()
        plan = RoutedPlan(
            gateways=self.plan.gateways,
            subnet=self.plan.subnet,
            shares_fairly=True,
            protects_tiers=True,
        )
        self.site = RoutedSite(self.folder, plan, self.list)
        self.site.prepare()
        self.proxies = await put_all_behind_proxies(self.site)
        self.site.start_all()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.caller = RoutedCaller(self.session, f"soak-{self.plan.seed}")
        version = next(self._versions)
        content = self._make_content(version)
        began_s = time.monotonic()
        await self.site.write_anywhere(self.session, content)
        self.record.sent.append(Sent(version, content, began_s, time.monotonic(), 200))
        await self.site.wait_ready(self.session)
        bound = (_LIMIT_RATE * _LIMIT_WINDOW_S + _LIMIT_BURST) * 1.1 + plan.quota_extra
        # What gateways and stand-ins hold on to may arrive bunched by a freeze.
        self.record.limits = [LimitBound(_LIMITED, _LIMIT_WINDOW_S, bound * 1.5)]

    async def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        self.site.stop()
        await self.session.close()
        for proxy in self.proxies.values():
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

    async def _play(self) -> None:
        traffic = [self._spawn(self._call()), self._spawn(self._read_all())]
        if self.plan.rollouts:
            traffic.append(self._spawn(SoakRollouts(self, self.plan.seed).run()))
        began_s = time.monotonic()
        under_way: list[asyncio.Task[None]] = []
        for event in self._draw_events():
            await asyncio.sleep(max(0.0, began_s + event.at_s - time.monotonic()))
            self._note_exits()
            under_way.append(self._spawn(self._strike(event)))
        await asyncio.sleep(max(0.0, began_s + self.plan.length_s - time.monotonic()))
        await asyncio.gather(*under_way)
        await self._heal()
        await asyncio.sleep(_RECOVERY_S)
        self.record.calm_from_s = time.monotonic()
        await asyncio.sleep(_CALM_S)
        self._note_exits()
        for task in traffic:
            task.cancel()
        await asyncio.gather(*traffic, *self._calls, return_exceptions=True)
        await self._read_once()
        self.record.calls = self.caller.results

    def _draw_events(self) -> list[Event]:
        plan = self.plan
        return draw_plan(plan.seed, plan.length_s, plan.per_s) if plan.per_s else []

    async def _call(self) -> None:
        """Send calls through all gateways, on open connections, whatever happens to them."""
        calls = self._calls
        for number in itertools.count():
            gateways = self.site.list_role(RoutingRole.gateway)
            gateway = gateways[number % len(gateways)]
            route = _ROUTES[number % len(_ROUTES)]
            is_limited = number % 7 == 0
            key = _LIMITED_KEY if is_limited else KEY
            tokens = "40,40" if is_limited else ""
            coroutine = self.caller.call(gateway, route, b"x", key, tokens)
            task: asyncio.Task[object] = asyncio.create_task(coroutine)
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(_CALL_GAP_S)

    async def _read_all(self) -> None:
        while True:
            await self._read_once()
            await asyncio.sleep(_READ_GAP_S)

    async def _read_once(self) -> None:
        for process in self.site.list_role(RoutingRole.keeper):
            began_s = time.monotonic()
            content = await self.site.read(self.session, process.name)
            self.record.reads.append(Read(process.name, began_s, content))

    def _make_content(self, version: int, variant: int = 0) -> bytes:
        workspaces = [
            RoutedWorkspace("one", keys=[KEY, f"key-{version}-{variant}"]),
            RoutedWorkspace(
                _LIMITED,
                keys=[_LIMITED_KEY],
                tokens_per_s=_LIMIT_RATE,
                burst_tokens=_LIMIT_BURST,
            ),
        ]
        return ConfigurationPlan(version, workspaces=workspaces).encode()

    async def _send(self, version: int, variant: int, keeper: str) -> None:
        content = self._make_content(version, variant)
        began_s = time.monotonic()
        status = await self.site.write(self.session, keeper, content)
        ended_s = time.monotonic()
        self.record.sent.append(Sent(version, content, began_s, ended_s, status))

    # Faults

    def _pick(self, event: Event, role: RoutingRole | None = None) -> HostProcess:
        fitting = [
            process
            for process in self.site.processes.values()
            if role is None or process.settings.role is role
        ]
        return fitting[event.pick % len(fitting)]

    def _note_exits(self) -> None:
        for process in self.site.processes.values():
            child = process.child
            if child is None or process.name in self._expected_down or child.poll() is None:
                continue
            self.record.exits.append(f"{process.name} with {child.returncode}")
            self._expected_down.add(process.name)

    async def _strike(self, event: Event) -> None:
        match event.kind:
            case Kind.FREEZE:
                await self._freeze(self._pick(event), event.length_s)
            case Kind.KILL:
                await self._restart([self._pick(event)], signal.SIGKILL)
            case Kind.STOP:
                await self._restart([self._pick(event)], signal.SIGTERM)
            case Kind.RELOAD:
                await self.reload(self._pick(event))
            case Kind.KILL_KEEPERS:
                await self._restart(self.site.list_role(RoutingRole.keeper), signal.SIGKILL)
            case Kind.LOSE_DISK:
                await self._lose_disk(self._pick(event, RoutingRole.keeper))
            case Kind.REPLACE_KEEPER:
                await self._replace(self._pick(event, RoutingRole.keeper))
            case Kind.CUT_LINK | Kind.CUT_ONE_WAY | Kind.DELAY_LINK | Kind.RESET_LINKS:
                await self._trouble_link(event)
            case Kind.TARGET_FAULT | Kind.TARGET_CRASH | Kind.TARGET_DRAIN:
                target = self.targets[event.pick % len(self.targets)]
                await trouble_target(target, event, self.record)
            case Kind.LIST_DOWN:
                self.list.is_down, from_s = True, time.monotonic()
                await asyncio.sleep(event.length_s)
                self.list.is_down = False
                self.record.list_down.append((from_s, time.monotonic()))
            case Kind.CONFIGURE | Kind.RACE:
                await self._configure(event)
            case Kind.LEAVE:
                await self._leave(event)

    async def _freeze(self, process: HostProcess, length_s: float) -> None:
        began_s = time.monotonic()
        self.site.send_signal(process.name, signal.SIGSTOP)
        await asyncio.sleep(length_s)
        self.site.send_signal(process.name, signal.SIGCONT)
        self.record.disturbed.append(Disturbed(process.name, began_s, time.monotonic()))

    async def reload(self, process: HostProcess) -> None:
        """Tell a process to reload as soon as its first line has run.

        Until then the interpreter has the system's default for the signal, which ends it.
        """

        async def may_be_told() -> bool:
            is_down = not process.is_running
            return is_down or self.site.handles_signal(process.name, signal.SIGHUP)

        await wait_until(may_be_told, f"{process.name} handles the signal to reload")
        self.site.send_signal(process.name, signal.SIGHUP)

    async def _restart(self, processes: list[HostProcess], number: signal.Signals) -> None:
        began_s = time.monotonic()
        mine = [p for p in processes if p.name not in self._expected_down]
        self._expected_down.update(process.name for process in mine)
        for process in mine:
            self.site.send_signal(process.name, signal.SIGCONT)
            self.site.send_signal(process.name, number)
        for process in mine:
            await self._wait_gone(process)
        await asyncio.sleep(_RESTART_S)
        for process in mine:
            self._start(process)
            self.record.disturbed.append(Disturbed(process.name, began_s, time.monotonic()))

    async def _wait_gone(self, process: HostProcess) -> None:
        async def is_gone() -> bool:
            # A stopped process handles no signal: whoever froze it thaws it later.
            return not process.is_running

        try:
            await wait_until(is_gone, f"{process.name} ended", 10.0)
        except AssertionError:
            self.record.exits.append(f"{process.name} did not end when told to")
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
        await asyncio.sleep(_RESTART_S)
        self._start(process)

    async def _replace(self, process: HostProcess) -> None:
        if process.name in self._expected_down:
            return
        self._expected_down.add(process.name)
        self.site.kill(process.name)
        del self.site.processes[process.name]
        fresh = self.site.add(RoutingRole.keeper, f"{process.name}-again")
        proxy = await put_behind_proxy(fresh)
        assert proxy is not None
        self.proxies[fresh.name] = proxy
        await asyncio.sleep(_RESTART_S)
        self._start(fresh)

    async def _trouble_link(self, event: Event) -> None:
        names = sorted(self.proxies)
        proxy = self.proxies[names[event.pick % len(names)]]
        if event.kind is Kind.RESET_LINKS:
            proxy.reset_all()
            return
        others = sorted(self.site.processes.values(), key=lambda process: process.name)
        other = others[event.other % len(others)]
        # One time in three the whole host is cut off.
        source = "" if event.other % 3 == 0 else other.settings.bind_ip
        trouble = FaultKind.DELAY if event.kind is Kind.DELAY_LINK else FaultKind.SILENCE
        way = LinkFault(trouble, 0.05 + event.length_s / 20)
        proxy.set_link_fault(source, True, way)
        if event.kind is not Kind.CUT_ONE_WAY:
            proxy.set_link_fault(source, False, way)
        await asyncio.sleep(event.length_s)
        proxy.set_link_fault(source, True, LinkFault())
        proxy.set_link_fault(source, False, LinkFault())

    async def _configure(self, event: Event) -> None:
        version = next(self._versions)
        keepers = [process.name for process in self.site.list_role(RoutingRole.keeper)]
        first = keepers[event.pick % len(keepers)]
        second = keepers[event.other % len(keepers)]
        sends = [self._send(version, 0, first)]
        if event.kind is Kind.RACE:
            sends.append(self._send(version, 1, second))
        await asyncio.gather(*sends)

    async def _leave(self, event: Event) -> None:
        gateway = self._pick(event, RoutingRole.gateway)
        call = asyncio.create_task(self.caller.call(gateway, "/stream/", b"x"))
        await asyncio.sleep(0.02)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    async def _heal(self) -> None:
        for proxy in self.proxies.values():
            proxy.heal()
        self.list.is_down = False
        for target in self.targets:
            heal_target(target)
            if target._server is None:
                await target.start()
        for process in list(self.site.processes.values()):
            self.site.send_signal(process.name, signal.SIGCONT)
            if not process.is_running:
                self._start(process)
