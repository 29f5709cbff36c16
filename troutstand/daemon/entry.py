"""Run an entry process: serve callers, and schedule while it holds the scheduler lease."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from troutstand.backends.engine import EngineBackend
from troutstand.backends.http import make_session
from troutstand.backends.service import ServiceBackend
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.follower import Follower
from troutstand.core.ids import ProcessId
from troutstand.core.trace import SchedulerMessage
from troutstand.daemon.callerrequests import TableIndex
from troutstand.daemon.commandrunner import CommandRunner
from troutstand.daemon.configuration import Configuration
from troutstand.daemon.leasedscheduler import LeasedScheduler
from troutstand.daemon.node import Node
from troutstand.daemon.placement import Placement
from troutstand.daemon.registers import RegisterClient
from troutstand.daemon.triedtargets import TriedTargets
from troutstand.generated.messages import (
    Acknowledged,
    Changes,
    ChangesAsk,
    Finished,
    Grant,
    Heartbeat,
    LeaseAsk,
    LeaseRelease,
    OutcomeAsk,
    PeerMessage,
    PlacementAsk,
    Preempt,
    ProcessState,
    Refused,
    RunningReport,
    Shed,
    Snapshot,
    TargetNotices,
    TriedAsk,
    Withdraw,
)
from troutstand.generated.table import Protocol
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from troutstand.backends.base import Backend
    from troutstand.generated.settings import Settings

_DRAIN_POLL_S = 0.05


class EntryProcess:
    """Serve callers on one host and compete for the scheduler lease."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.node = Node(settings)
        self.events = self.node.events
        self.table_index = TableIndex()
        self.follower = Follower()
        limits = settings.limits
        self.registers = RegisterClient(
            self.node.peers.ask,
            self.node.process,
            self.node.incarnation,
            self.node.peers.keepers,
            limits.register_timeout_s,
            self.node.seed,
        )
        self.configuration = Configuration(
            self.follower,
            self.node.peers,
            self.registers,
            self.events,
            limits.register_timeout_s,
        )
        self.configuration.on_change = self._update_table
        self.command_runner = CommandRunner(self.node, self.registers)
        self.tried_targets = TriedTargets(self.node)
        self.placement = Placement(self.node.process, self.events, self._deliver)
        self.running_calls = 0
        self._is_wait_logged = False
        self._backends: dict[str, Backend] = {}
        self.leased_scheduler: LeasedScheduler

    async def start(self) -> None:
        """Open the links and start the background tasks."""
        self.session = make_session()
        self.leased_scheduler = LeasedScheduler(
            self.node, self.follower, self.placement, self.session
        )
        self.node.make_heartbeat = self._make_heartbeat
        await self.node.start(self.handle)
        self.node.spawn_loop(self._run_heartbeats, "heartbeat")
        self.node.spawn_loop(self._become_ready, "readiness")
        self.node.spawn_loop(self.leased_scheduler.run, "lease")
        self.node.spawn_loop(self.leased_scheduler.run_ticks, "ticks")
        if self.settings.statsd:
            self.node.spawn_loop(self.leased_scheduler.run_gauges, "gauges")
        if self.settings.host_list_url:
            read_list = partial(self.leased_scheduler.run_host_list, self.settings.host_list_url)
            self.node.spawn_loop(read_list, "host list")

    async def stop(self) -> None:
        """Stop the node and close the HTTP session."""
        await self.node.stop()
        await self.session.close()

    async def drain(self) -> bool:
        """Refuse new work, release the scheduler lease and wait for running work.

        Return whether all of it ended within `drain_s`.
        """
        self.node.state = ProcessState.draining
        self.events.emit("drain_started", running=self.running_calls)
        self.node.send_heartbeats()
        self.leased_scheduler.step_down()
        end_s = read_clock_s() + self.settings.limits.drain_s
        while self.count_open() and read_clock_s() < end_s:
            await asyncio.sleep(_DRAIN_POLL_S)
        open_count = self.count_open()
        self.events.emit("drain_ended", left=open_count)
        return open_count == 0

    def count_open(self) -> int:
        """Return how many calls and commands are in progress."""
        return max(self.running_calls, self.command_runner.running_count)

    def find_backend(self, target: str) -> Backend | None:
        """Return the backend of a target, or None if the table lacks it."""
        return self._backends.get(target)

    # Messages

    def handle(
        self, peer: ProcessId, message: PeerMessage
    ) -> PeerMessage | Awaitable[PeerMessage | None] | None:
        """Handle a message of a peer and return the reply, if it has one."""
        match message:
            case PlacementAsk() | Finished() | Withdraw() | RunningReport() | TargetNotices():
                self.leased_scheduler.handle(peer, message)
                return None
            case Grant() | Shed() | Preempt():
                if peer == self.placement.scheduler:
                    self.placement.receive(message)
                return None
            case Heartbeat():
                self._handle_heartbeat(message)
                return None
            case LeaseAsk():
                return self.leased_scheduler.handle_ask(peer, message)
            case LeaseRelease():
                self.leased_scheduler.handle_release(message)
                return Acknowledged()
            case OutcomeAsk():
                return self.command_runner.handle_ask(message)
            case TriedAsk():
                return self.tried_targets.handle_ask(message)
            case ChangesAsk():
                return self.follower.answer(message)
            case Changes() | Snapshot():
                return self._handle_changes(message)
            case _:
                return Refused(
                    int(ResultCode.LINK_MALFORMED), "entry processes do not handle this message"
                )

    async def _handle_changes(self, message: Changes | Snapshot) -> PeerMessage:
        if self.node.state is not ProcessState.starting:
            await self.configuration.apply_changes(message)
        return Acknowledged()

    def _deliver(self, scheduler: ProcessId, message: PeerMessage) -> bool:
        if scheduler != self.node.process:
            return self.node.peers.send(scheduler, message)
        if isinstance(message, SchedulerMessage):
            return self.leased_scheduler.handle(scheduler, message)
        return False

    # Heartbeats

    async def _run_heartbeats(self) -> None:
        while True:
            self.node.send_heartbeats()
            await asyncio.sleep(self.settings.limits.heartbeat_s)

    def _make_heartbeat(self, peer: ProcessId) -> Heartbeat:
        return Heartbeat(
            process=self.node.process,
            incarnation=self.node.incarnation,
            state=self.node.state,
            version=self.follower.version,
            epoch=self.registers.epoch,
            scheduling=self.leased_scheduler.is_held,
        )

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.node.record_heartbeat(heartbeat)
        process = ProcessId(heartbeat.process)
        if process in self.node.peers.domain_entries:
            self.leased_scheduler.follow_scheduler()
        if heartbeat.epoch > self.registers.epoch:
            self.node.spawn(self.registers.refresh_keepers(), "refresh keepers")
        is_ready = self.node.state is not ProcessState.starting
        if is_ready and heartbeat.version > self.follower.version:
            self.node.spawn(self.configuration.pull(process), "pull")

    # Table

    async def _become_ready(self) -> None:
        """Fetch a table version no older than any this host has served, then serve.

        It comes from a majority of keepers or, if none is reachable, from a keeper of
        the failure domain that is live and reports that its table is complete.
        """
        while self.node.state is ProcessState.starting:
            if await self._catch_up_from_majority() or await self._catch_up_from_local_keeper():
                self._start_serving()
                return
            await asyncio.sleep(self.settings.limits.heartbeat_s / 2)

    async def _catch_up_from_majority(self) -> bool:
        await self.registers.refresh_keepers()
        if self.registers.keepers is None:
            return False
        for keeper in sorted(self.node.peers.keepers):
            await self.configuration.pull(keeper)
        try:
            await self.configuration.catch_up()
        except TroutstandError as error:
            self._log_catch_up_wait(error)
            return False
        return True

    def _log_catch_up_wait(self, error: TroutstandError) -> None:
        """Log once that no majority of keepers gave the newest version."""
        if not self._is_wait_logged:
            self._is_wait_logged = True
            self.events.emit("catch_up_waits", code=error.code, detail=error.detail)

    async def _catch_up_from_local_keeper(self) -> bool:
        now_s = read_clock_s()
        lease_s = self.settings.limits.lease_s
        for keeper in self.node.peers.domain_keepers:
            latest = self.node.peers.heartbeats.get(keeper)
            if latest is None or not latest.heartbeat.complete:
                continue
            if not self.node.peers.is_live(keeper, now_s, lease_s):
                continue
            await self.configuration.pull(keeper)
            if self.follower.version >= latest.heartbeat.version:
                return True
        return False

    def _start_serving(self) -> None:
        self.node.state = ProcessState.serving
        self.events.emit("serving", version=self.follower.version)
        self._update_table()
        self.node.send_heartbeats()

    def _update_table(self) -> None:
        if self.node.state is ProcessState.starting:
            return
        self.table_index.update(self.follower.table)
        self.leased_scheduler.update_table()
        targets = self.table_index.targets
        for name, row in targets.items():
            backend = self._backends.get(name)
            if backend is None or backend.row != row:
                is_engine = row.protocol is Protocol.engine
                backend_class = EngineBackend if is_engine else ServiceBackend
                on_notice = self.placement.handle_notice
                self._backends[name] = backend_class(row, self.session, on_notice)
        for name in set(self._backends) - set(targets):
            del self._backends[name]
