"""Send heartbeats to the schedulers and find out which of them a gateway should ask."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Protocol

from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import Attached
from troutstand.generated.routing import RoutingRole
from troutstand.routing.node import parse_address
from troutstand.routing.schedulerwatch import (
    HEARTBEAT_TIMEOUT_S,
    MIN_STALL_S,
    RESPONSE_TIMEOUT_S,
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

# How often the schedulers are judged where nothing happens, in seconds.
_WATCH_S = 0.1


class HeartbeatListener(Protocol):
    """Take what heartbeats show."""

    def switch_decider(self, before: Decider) -> None:
        """Ask the present decider from now on, no longer the one before."""

    def make_heartbeat(self, is_attached: bool, is_first: bool) -> AttachAsk:
        """Write a heartbeat; the first one to a scheduler tells all that it must know."""
        ...

    def handle_reply(self, process: ProcessId, reply: Attached) -> None:
        """Take a scheduler's answer to a heartbeat."""

    def resend_requests(self, process: ProcessId) -> None:
        """Repeat what a scheduler's earlier life was asked."""


class Heartbeats:
    """Watch the schedulers for one gateway, which asks one of them or decides alone."""

    def __init__(self, node: RoutingNode, listener: HeartbeatListener) -> None:
        self.current: Decider = LocalDecider.LOCAL
        self._node = node
        self._listener = listener
        self._watches: dict[ProcessId, SchedulerHealth] = {}
        self._judge_now = asyncio.Event()
        node.on_refused = self._note_refused

    def start(self) -> None:
        """Begin to watch."""
        self._node.spawn(self._run(), "watch schedulers")

    async def _run(self) -> None:
        last_s = read_clock_s()
        while True:
            self._forgive_stall(read_clock_s() - last_s - _WATCH_S)
            last_s = read_clock_s()
            self._follow_known()
            decider = choose_decider(self._watches, self.current, last_s)
            if decider != self.current:
                self._change(decider)
            update_standby_periods(self._watches, self.current, last_s)
            # Running out of time is how the pause usually ends.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_WATCH_S):
                    await self._judge_now.wait()
            self._judge_now.clear()

    def _forgive_stall(self, stall_s: float) -> None:
        if stall_s > MIN_STALL_S:
            for watch in self._watches.values():
                watch.discount_stall(stall_s)

    def _change(self, decider: Decider) -> None:
        if not isinstance(self.current, LocalDecider) and not self._is_live(self.current):
            # A standby may be silent for longer than one's own scheduler; this one was left.
            self.mark_lost(self.current)
        before, self.current = self.current, decider
        self._listener.switch_decider(before)

    # Which schedulers there are

    def _follow_known(self) -> None:
        known = self._list_schedulers()
        for process in known:
            if process not in self._watches:
                self._watches[process] = SchedulerHealth()
                self._node.spawn(self._follow(process), f"watch {process}")
        for process in set(self._watches) - set(known):
            del self._watches[process]
            self._node.close_link(process)

    def _list_schedulers(self) -> list[ProcessId]:
        """Return the schedulers that are known, and those found on the seeds' hosts.

        Without the latter gateways asked a scheduler 0.44 to 0.60 s after the first was
        ready, since keepers that have just started learn of schedulers one by one
        (restart of a site of 6 gateways and 3 keepers, from its logs).
        """
        known = set(self._node.contacts.list_by_role(RoutingRole.scheduler.value))
        ips = {parse_address(seed).ip for seed in self._node.settings.seeds}
        guessed = {self._node.make_peer_id(RoutingRole.scheduler, ip) for ip in ips}
        found = {process for process in guessed if self._is_live(process)}
        return sorted(known | found if known else guessed)

    # Evidence

    def _is_live(self, process: ProcessId) -> bool:
        watch = self._watches.get(process)
        return watch is not None and watch.is_live(read_clock_s())

    def mark_lost(self, process: ProcessId) -> None:
        """Take a scheduler for lost until it answers again."""
        watch = self._watches.get(process)
        if watch is not None:
            watch.mark_lost()
            self._judge_now.set()

    def _note_refused(self, process: ProcessId) -> None:
        """Leave a scheduler whose process has ended, whether or not it is asked now.

        Heartbeats alone need 0.55 s to tell, and with all schedulers gone at once a
        gateway went through one after the other for 0.33 to 0.83 s; this takes 0.04 to
        0.07 s (from the logs of 16 gateways).
        """
        if process in self._watches:
            self.mark_lost(process)

    def record_request(self, process: ProcessId) -> None:
        """Note that a scheduler was asked something."""
        watch = self._watches.get(process)
        if watch is not None:
            watch.record_request(read_clock_s())

    def record_response(self, process: ProcessId) -> None:
        """Take a scheduler's answer as a sign of life."""
        watch = self._watches.get(process)
        if watch is not None:
            watch.record_response()

    def probe(self, process: ProcessId) -> None:
        """Send a heartbeat at once: the scheduler may be silent, or only its queue long."""
        watch = self._watches.get(process)
        if watch is not None:
            watch.wake.set()

    # Heartbeats

    def attach(self, process: ProcessId) -> None:
        """Tell a scheduler at once that it is asked from now on."""
        watch = self._watches[process]
        watch.is_attached = False
        watch.record_switch(read_clock_s())
        self._node.spawn(self._beat(process, watch), f"attach {process}")
        watch.wake.set()

    async def _follow(self, process: ProcessId) -> None:
        """Send heartbeats to one scheduler until it is forgotten."""
        while True:
            watch = self._watches.get(process)
            if watch is None:
                return
            await self._beat(process, watch)
            is_current = self.current == process
            period_s = watch.period_s if is_current else watch.standby_period_s
            # Running out of time is how the pause usually ends.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s * (0.9 + 0.2 * self._node.random.random())):
                    await watch.wake.wait()
            watch.wake.clear()

    async def _beat(self, process: ProcessId, watch: SchedulerHealth) -> None:
        is_attached = self.current == process
        is_first = is_attached and not watch.is_attached
        ask = self._listener.make_heartbeat(is_attached, is_first)
        watch.is_attached = is_attached
        if is_attached:
            watch.record_request(read_clock_s())
        try:
            reply = await self._node.ask(
                process, ask, RESPONSE_TIMEOUT_S if is_attached else HEARTBEAT_TIMEOUT_S
            )
        except TroutstandError:
            # One heartbeat that is lost on the way does not end it with one's own scheduler.
            watch.live_since_s = float("inf")
            if not is_attached:
                watch.mark_lost()
            if is_first:
                watch.is_attached = False
            return
        if isinstance(reply, Attached):
            self._hear(process, watch, reply)

    def _hear(self, process: ProcessId, watch: SchedulerHealth, reply: Attached) -> None:
        if watch.incarnation != reply.incarnation:
            # A new process knows nothing of what runs.
            watch.incarnation = reply.incarnation
            watch.live_since_s = float("inf")
            if watch.is_attached:
                watch.is_attached = False
                self._listener.resend_requests(process)
        watch.update(reply, read_clock_s())
        if reply.is_ready and isinstance(self.current, LocalDecider):
            self._judge_now.set()
        self._listener.handle_reply(process, reply)
