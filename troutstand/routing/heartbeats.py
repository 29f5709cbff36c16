"""Send heartbeats to the schedulers and select the one that a gateway uses."""

from __future__ import annotations

import asyncio
import contextlib
from functools import partial
from typing import TYPE_CHECKING, Protocol

import msgspec

from troutstand.core.errors import TroutstandError
from troutstand.core.gatewayregistry import SCHEDULER_TIMEOUT_S
from troutstand.generated.messages import Attached
from troutstand.generated.routing import RoutingRole
from troutstand.routing.node import parse_address
from troutstand.routing.schedulerwatch import (
    HEARTBEAT_TIMEOUT_S,
    MIN_STALL_S,
    Decider,
    LocalDecider,
    SchedulerHealth,
    choose_decider,
    update_standby_periods,
)
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.core.ids import ProcessId
    from troutstand.generated.messages import AttachAsk
    from troutstand.routing.node import RoutingNode

_CHECK_PERIOD_S = 0.1


class HeartbeatListener(Protocol):
    """Handle the results of heartbeats."""

    def switch_decider(self, before: Decider) -> None:
        """Switch from the previous decider to the current one."""

    def make_heartbeat(self, is_attached: bool, is_first: bool, is_whole: bool) -> AttachAsk:
        """Return a heartbeat; the first one to a scheduler includes the full gateway state.

        A whole one includes what a scheduler keeps by messages without a reply.
        """
        ...

    def handle_reply(self, process: ProcessId, reply: Attached) -> None:
        """Handle a scheduler's reply to a heartbeat."""

    def resend_requests(self, process: ProcessId) -> None:
        """Repeat the pending requests to a scheduler that has restarted."""


class Heartbeats:
    """Monitor the schedulers for a gateway, which uses one of them or decides locally."""

    def __init__(self, node: RoutingNode, listener: HeartbeatListener) -> None:
        self.current: Decider = LocalDecider.LOCAL
        self._node = node
        self._listener = listener
        self._health: dict[ProcessId, SchedulerHealth] = {}
        self._check_requested = asyncio.Event()
        node.on_refused = self._handle_refused

    def start(self) -> None:
        """Start sending heartbeats and checking the schedulers."""
        self._node.spawn_loop(self._run, "check schedulers")

    async def _run(self) -> None:
        last_s = read_clock_s()
        while True:
            self._discount_stall(read_clock_s() - last_s - _CHECK_PERIOD_S)
            last_s = read_clock_s()
            self._update_schedulers()
            decider = choose_decider(self._health, self.current, last_s)
            if decider != self.current:
                self._switch(decider)
            update_standby_periods(self._health, self.current, last_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CHECK_PERIOD_S):
                    await self._check_requested.wait()
            self._check_requested.clear()

    def _discount_stall(self, stall_s: float) -> None:
        if stall_s > MIN_STALL_S:
            for health in self._health.values():
                health.discount_stall(stall_s)

    def _switch(self, decider: Decider) -> None:
        if not isinstance(self.current, LocalDecider) and not self._is_live(self.current):
            # Standbys have a longer timeout, which must not make this scheduler live again.
            self.mark_lost(self.current)
        previous, self.current = self.current, decider
        if not isinstance(previous, LocalDecider) and previous in self._health:
            # The previous scheduler counts this gateway until it learns of the switch.
            self._health[previous].wake.set()
        self._listener.switch_decider(previous)

    # Known schedulers

    def _update_schedulers(self) -> None:
        known = self._list_schedulers()
        for process in known:
            if process not in self._health:
                self._health[process] = SchedulerHealth()
                run = partial(self._run_heartbeats, process)
                self._node.spawn_loop(run, f"heartbeats {process}")
        for process in set(self._health) - set(known):
            del self._health[process]
            self._node.close_link(process)

    def _list_schedulers(self) -> list[ProcessId]:
        """Return the known schedulers and the live ones on the seeds' hosts.

        Just after a start, keepers do not know all schedulers yet.
        """
        known = set(self._node.contacts.list_by_role(RoutingRole.scheduler.value))
        ips = {parse_address(seed).ip for seed in self._node.settings.seeds}
        candidates = {self._node.make_peer_id(RoutingRole.scheduler, ip) for ip in ips}
        live = {process for process in candidates if self._is_live(process)}
        return sorted(known | live if known else candidates)

    # Liveness

    def _is_live(self, process: ProcessId) -> bool:
        health = self._health.get(process)
        return health is not None and health.is_live(read_clock_s())

    def mark_lost(self, process: ProcessId) -> None:
        """Treat a scheduler as lost until it responds again."""
        health = self._health.get(process)
        if health is not None:
            health.mark_lost()
            self._check_requested.set()

    def _handle_refused(self, process: ProcessId) -> None:
        """Mark a scheduler that refuses connections as lost, without waiting for a timeout."""
        if process in self._health:
            self.mark_lost(process)

    def record_request(self, process: ProcessId) -> None:
        """Record that a request was sent to a scheduler."""
        health = self._health.get(process)
        if health is not None:
            health.record_request(read_clock_s())

    def record_response(self, process: ProcessId) -> None:
        """Record that a scheduler has responded."""
        health = self._health.get(process)
        if health is not None:
            health.record_response()

    def probe(self, process: ProcessId) -> None:
        """Send a heartbeat at once, to tell a lost scheduler from one with a long queue."""
        health = self._health.get(process)
        if health is not None:
            health.wake.set()

    # Heartbeats

    def attach(self, process: ProcessId) -> None:
        """Send the first heartbeat to a scheduler that this gateway now uses."""
        health = self._health[process]
        health.is_attached = False
        health.record_switch(read_clock_s())
        self._node.spawn(self._send_heartbeat(process, health), f"attach {process}")
        health.wake.set()

    async def _run_heartbeats(self, process: ProcessId) -> None:
        """Send heartbeats to a scheduler until it is no longer known."""
        while True:
            health = self._health.get(process)
            if health is None:
                return
            await self._send_heartbeat(process, health)
            is_current = self.current == process
            period_s = health.period_s if is_current else health.standby_period_s
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s * (0.9 + 0.2 * self._node.random.random())):
                    await health.wake.wait()
            health.wake.clear()

    async def _send_heartbeat(self, process: ProcessId, health: SchedulerHealth) -> None:
        if self.current == process:
            health.record_request(read_clock_s())
        # Messages that are sent while a link opens must not overtake an older heartbeat.
        if not await self._node.wait_for_link(process):
            self._handle_failure(process, health)
            return
        is_attached = self.current == process
        is_first = is_attached and not health.is_attached
        is_whole = is_attached and not is_first and health.is_state_asked
        heartbeat = msgspec.structs.replace(
            self._listener.make_heartbeat(is_attached, is_first, is_whole),
            echo=health.reply_number,
        )
        health.is_attached = is_attached
        health.is_state_asked = False
        try:
            reply = await self._node.ask(
                process, heartbeat, SCHEDULER_TIMEOUT_S if is_attached else HEARTBEAT_TIMEOUT_S
            )
        except TroutstandError:
            self._handle_failure(process, health)
            if is_first:
                health.is_attached = False
            return
        if isinstance(reply, Attached):
            self._handle_reply(process, health, reply)

    def _handle_failure(self, process: ProcessId, health: SchedulerHealth) -> None:
        """Handle a heartbeat that was not answered.

        A single lost heartbeat does not mark the scheduler in use as lost.
        """
        health.live_since_s = float("inf")
        if self.current != process:
            health.mark_lost()

    def _handle_reply(self, process: ProcessId, health: SchedulerHealth, reply: Attached) -> None:
        if health.incarnation != reply.incarnation:
            # A restarted scheduler has no state of this gateway.
            health.incarnation = reply.incarnation
            health.live_since_s = float("inf")
            if health.is_attached:
                health.is_attached = False
                self._listener.resend_requests(process)
        health.update(reply, read_clock_s())
        if reply.asks_state:
            health.is_state_asked = True
            health.wake.set()
        if reply.is_ready and isinstance(self.current, LocalDecider):
            self._check_requested.set()
        self._listener.handle_reply(process, reply)
