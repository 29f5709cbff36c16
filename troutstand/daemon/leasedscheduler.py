"""Elect a failure domain's scheduler among its entry processes and run it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from troutstand.backends.hostlist import fetch_host_list
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.lease import LeaseHolder, LeaseVoter
from troutstand.core.scheduler import Scheduler
from troutstand.core.trace import SchedulerMessage, TracedScheduler
from troutstand.generated.messages import (
    Finished,
    Grant,
    LeaseAsk,
    LeaseRelease,
    LeaseVote,
    PlacementAsk,
    Preempt,
    ProcessState,
    RunningReport,
    Shed,
    TargetNotices,
    Withdraw,
)
from troutstand.util.clock import read_clock_s
from troutstand.util.crashlog import SCHEDULER, emit_part_changes, emit_suspicion_changes
from troutstand.util.noticelog import emit_notice_accepted

if TYPE_CHECKING:
    import aiohttp

    from troutstand.core.follower import Follower
    from troutstand.core.ids import ProcessId
    from troutstand.core.shedding import Send
    from troutstand.daemon.node import Node
    from troutstand.daemon.placement import Placement

_TICK_INTERVAL_S = 0.05
_HOST_LIST_INTERVAL_S = 1.0
_GAUGE_INTERVAL_S = 1.0
_MS_PER_S = 1000
# Renewals per lease duration, so that a lost renewal does not end the lease.
_RENEWALS_PER_LEASE = 4


class LeasedScheduler:
    """Run the scheduler while this process holds its lease; otherwise follow the holder."""

    def __init__(
        self, node: Node, follower: Follower, placement: Placement, session: aiohttp.ClientSession
    ) -> None:
        self._node = node
        self._follower = follower
        self._placement = placement
        self._session = session
        self._domain = node.settings.failure_domain
        self._lease_s = node.settings.limits.lease_s
        self._voter = LeaseVoter(read_clock_s() + self._lease_s)
        self._holder = LeaseHolder(
            node.process,
            self._lease_s,
            frozenset(node.peers.keepers),
            frozenset(node.peers.domain_entries | {node.process}),
        )
        self.scheduler: Scheduler | None = None
        self._resource = f"scheduler/{self._domain}"
        self._leaving: frozenset[str] = frozenset()
        self._is_stepping_down = False

    @property
    def is_held(self) -> bool:
        """Tell whether this process holds the lease and runs the scheduler."""
        return self.scheduler is not None and self._holder.is_held(read_clock_s())

    # Lease

    def handle_ask(self, peer: ProcessId, ask: LeaseAsk) -> LeaseVote:
        """Vote on a peer's request for the lease."""
        self._voter.drop_ended_holders(self._node.peers.is_refused)
        return self._voter.handle_ask(ask, read_clock_s())

    def handle_release(self, release: LeaseRelease) -> None:
        """Withdraw the vote for a holder that releases the lease."""
        self._voter.handle_release(release)

    async def run(self) -> None:
        """Request or renew the lease periodically and start or stop the scheduler."""
        while True:
            if self._is_candidate():
                await self._request_votes()
            self._update_role()
            await asyncio.sleep(self._lease_s / _RENEWALS_PER_LEASE)

    async def run_ticks(self) -> None:
        """Run the scheduler's periodic placement and load shedding."""
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            if self.scheduler and not self.is_held:
                self._update_role()
            if self.scheduler:
                self._dispatch(self.scheduler.tick(read_clock_s()))
                self._drop_ended_processes()

    async def run_gauges(self) -> None:
        """Publish queue gauges per tier while this process is the scheduler."""
        while True:
            await asyncio.sleep(_GAUGE_INTERVAL_S)
            for count in self.scheduler.count_tiers() if self.scheduler else []:
                self._node.events.emit(
                    "queue_gauges",
                    tier=count.tier,
                    waiting_gauge=count.waiting,
                    running_gauge=count.running,
                )

    async def run_host_list(self, url: str) -> None:
        """Poll the platform's host list for leaving targets."""
        while True:
            try:
                host_list = await fetch_host_list(self._session, url)
                self._leaving = host_list.list_leaving()
                if self.scheduler:
                    self.scheduler.update_leaving(self._leaving)
            except TroutstandError as error:
                self._node.events.emit("host_list_failed", code=error.code, detail=error.detail)
            await asyncio.sleep(_HOST_LIST_INTERVAL_S)

    def _is_candidate(self) -> bool:
        """Tell whether to request the lease: as holder, or as first by name if no peer holds it."""
        if self._is_stepping_down or self._follower.version == 0:
            return False
        if self.scheduler is not None:
            return True
        now_s = read_clock_s()
        peers = self._node.peers
        live = [
            peer
            for peer in peers.domain_entries
            if peer != self._node.process
            and peers.is_live(peer, now_s, self._lease_s)
            and peers.heartbeats[peer].heartbeat.state is ProcessState.serving
            and not peers.is_refused(peer)
        ]
        if any(peers.heartbeats[peer].heartbeat.scheduling for peer in live):
            return False
        return all(self._node.process < peer for peer in live)

    async def _request_votes(self) -> None:
        requested_s = read_clock_s()
        lease_ms = int(self._lease_s * _MS_PER_S)
        ask = LeaseAsk(self._resource, self._node.process, self._node.incarnation, lease_ms)
        own_vote = self.handle_ask(self._node.process, ask)
        self._holder.record_vote(self._node.process, own_vote, requested_s)
        if not own_vote.granted:
            return
        peers = self._node.peers
        others = (peers.keepers | peers.domain_entries) - {self._node.process}
        await asyncio.gather(*(self._request_vote(peer, ask, requested_s) for peer in others))

    async def _request_vote(self, peer: ProcessId, ask: LeaseAsk, requested_s: float) -> None:
        if self._node.peers.is_refused(peer):
            # The peer's process has ended and a restarted one abstains for one lease duration,
            # so an entry process counts as a granted vote and a keeper as no vote.
            if peer in self._node.peers.domain_entries:
                self._holder.record_vote(
                    peer, LeaseVote(True, ask.holder, ask.lease_ms), requested_s
                )
            return
        try:
            vote = await self._node.peers.ask(peer, ask, self._lease_s / _RENEWALS_PER_LEASE)
        except TroutstandError:
            # An unreachable peer casts no vote; the next renewal retries.
            return
        if isinstance(vote, LeaseVote):
            self._holder.record_vote(peer, vote, requested_s)

    def _update_role(self) -> None:
        is_held = self._holder.is_held(read_clock_s())
        if is_held and self.scheduler is None:
            self._start_scheduler()
        elif not is_held and self.scheduler is not None:
            self._stop_scheduler("lease_lost")
        elif self.scheduler is None:
            self._placement.switch_scheduler(self._find_scheduler())

    def _find_scheduler(self) -> ProcessId | None:
        now_s = read_clock_s()
        peers = self._node.peers
        holders = [
            peer
            for peer in peers.domain_entries - {self._node.process}
            if peers.is_live(peer, now_s, self._lease_s)
            and peers.heartbeats[peer].heartbeat.scheduling
            and not peers.is_refused(peer)
        ]
        return max(holders, key=lambda peer: peers.heartbeats[peer].received_s, default=None)

    def follow_scheduler(self) -> None:
        """Send placements to the scheduler that the latest heartbeats name."""
        if self.scheduler is None:
            self._placement.switch_scheduler(self._find_scheduler())

    def _make_scheduler(self) -> Scheduler:
        settings, seed, now_s = self._node.settings, self._node.seed, read_clock_s()
        limit = settings.limits.waiting_requests
        if settings.trace_file is None:
            return Scheduler(self._domain, limit, seed, now_s)
        trace = Path(settings.trace_file).open("ab", buffering=0)
        return TracedScheduler(self._domain, limit, seed, now_s, trace.write)

    def _start_scheduler(self) -> None:
        self.scheduler = self._make_scheduler()
        self.scheduler.update_table(self._follower.table)
        self.scheduler.update_leaving(self._leaving)
        self._node.events.emit("scheduler_started", domain=self._domain)
        self._node.send_heartbeats()
        self._placement.switch_scheduler(self._node.process)

    def _stop_scheduler(self, reason: str) -> None:
        self.scheduler = None
        self._node.events.emit("scheduler_ended", domain=self._domain, reason=reason)
        self._node.send_heartbeats()
        self._placement.switch_scheduler(self._find_scheduler())

    def step_down(self) -> None:
        """Release the lease before a shutdown, without waiting for it to expire."""
        self._is_stepping_down = True
        release = LeaseRelease(self._resource, self._node.process, self._node.incarnation)
        if self.scheduler is not None:
            self._stop_scheduler("drained")
        self._holder.clear_votes()
        self._voter.handle_release(release)
        peers = self._node.peers
        peers.broadcast(release, peers.keepers | peers.domain_entries)

    # Messages to and from the scheduler

    def update_table(self) -> None:
        """Pass the current table to the scheduler."""
        if self.scheduler:
            self.scheduler.update_table(self._follower.table)

    def handle(self, peer: ProcessId, message: SchedulerMessage) -> bool:
        """Pass a message to the scheduler; return False if it does not run here."""
        if self.scheduler is None or not self.is_held:
            return False
        now_s = read_clock_s()
        match message:
            case PlacementAsk():
                sends = self.scheduler.submit(peer, message, now_s)
            case Withdraw():
                sends = self.scheduler.withdraw(message, now_s)
            case Finished():
                sends = self.scheduler.finish(message, now_s)
            case RunningReport():
                sends = self.scheduler.apply_report(message, now_s)
            case TargetNotices():
                sends = self.scheduler.apply_notices(message, now_s)
        for notice in self.scheduler.drain_new_notices():
            emit_notice_accepted(self._node.events, peer, notice)
        crashes = self.scheduler.crashes
        emit_suspicion_changes(self._node.events, crashes.drain_changes(), SCHEDULER)
        emit_part_changes(self._node.events, crashes.parts.drain_changes(), SCHEDULER)
        self._dispatch(sends)
        return True

    def _dispatch(self, sends: list[Send]) -> None:
        for send in sends:
            self._emit_decision(send)
            if send.process == self._node.process:
                self._placement.receive(send.message)
            elif not self._node.peers.send(send.process, send.message):
                self._node.events.emit("scheduler_unsent", send.message.request, peer=send.process)

    def _emit_decision(self, send: Send) -> None:
        match send.message:
            case Grant(request, target, waited_ms, cached_tokens, reason):
                self._node.events.emit(
                    "target_granted",
                    request,
                    target=target,
                    to=send.process,
                    waited_ms=waited_ms,
                    cached_tokens=cached_tokens,
                    reason=reason,
                )
            case Shed(request, code, retry_after_ms, detail):
                self._node.events.emit(
                    "request_shed",
                    request,
                    ResultCode(code),
                    retry_after=retry_after_ms,
                    why=detail,
                )
            case Preempt(request):
                self._node.events.emit("request_preempted", request, to=send.process)

    def _drop_ended_processes(self) -> None:
        """Drop the requests of entry processes that have ended."""
        assert self.scheduler is not None
        for peer in self._node.peers.domain_entries:
            if self._node.peers.is_refused(peer):
                self._dispatch(self.scheduler.drop_process(peer, read_clock_s()))
