"""Get placements for a gateway's requests from a scheduler or from the gateway itself.

Gateways use the live scheduler that most of them use. If it is lost, waiting
requests move to another one. Without a scheduler the gateway decides locally,
with the targets it last knew and its share of the limits.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.crashes.crashtracker import CrashTracker, Suspicion
from troutstand.core.crashes.partisolation import PartIsolation
from troutstand.core.decision import decline_quarantined
from troutstand.core.dispatch import Dispatcher
from troutstand.core.errors import TroutstandError
from troutstand.core.limits.assumedusage import MAX_RESTART_S
from troutstand.core.limits.quota import Quotas, make_bounds
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.core.noticestore import NoticeStore
from troutstand.core.streamorigins import StreamOrigins
from troutstand.generated.messages import (
    Abandon,
    AttachAsk,
    Attached,
    Declined,
    Ended,
    Ending,
    Hold,
    PathLost,
    Place,
    Placed,
    RoutedWork,
    Silence,
    TargetNotices,
)
from troutstand.routing.decisionlog import (
    LOCAL,
    emit_decision,
    emit_link_changes,
)
from troutstand.routing.heartbeats import Heartbeats
from troutstand.routing.originsync import KnownOrigin, OriginFinder, OriginSync, UnknownOrigin
from troutstand.routing.partevidencecache import PartEvidenceSync
from troutstand.routing.pendingplacement import PendingPlacement, update_remaining_time
from troutstand.routing.placedrequests import PlacedRequests
from troutstand.routing.runcharges import RunCharges
from troutstand.routing.schedulerwatch import (
    PROBE_DELAY_S,
    Decider,
    LocalDecider,
)
from troutstand.routing.targetlist import TargetListError, wait_for_request
from troutstand.routing.usagehandover import UsageHandover, name_decider
from troutstand.routing.usagelog import UsageLog
from troutstand.routing.usagesync import TAKEOVER_S, UsageSync, load_usage
from troutstand.util.clock import read_clock_s
from troutstand.util.crashlog import emit_part_changes, emit_suspicion_changes
from troutstand.util.noticelog import emit_notice_received

if TYPE_CHECKING:
    from troutstand.core.configuration import RouteTable
    from troutstand.core.crashes.crashtracker import Quarantine
    from troutstand.core.crashes.partevidence import PartEvidence
    from troutstand.core.ids import ProcessId
    from troutstand.core.paths import PathTable
    from troutstand.core.selfreport import BlockReason
    from troutstand.generated.messages import (
        PeerGateway,
        PeerMessage,
        TargetNotice,
        UsageSnapshot,
    )
    from troutstand.routing.follower import Follower
    from troutstand.routing.node import RoutingNode
    from troutstand.routing.targetlist import TargetList
    from troutstand.routing.tunnelclient import TunnelClient

_TICK_S = 0.05
_LOCAL_LIST_PERIOD_S = 1.0
_MIN_LIST_PERIOD_S = 0.25
# Assumed before a scheduler reports the number of gateways.
DEFAULT_GATEWAY_COUNT = 8
# A few round trips.
_MIN_REQUEST_TIMEOUT_S = 0.05


class Placement:
    """Request placements and report their results to the decider."""

    def __init__(
        self,
        node: RoutingNode,
        targets: TargetList,
        follower: Follower,
        paths: PathTable,
        tunnels: TunnelClient,
    ) -> None:
        self._node = node
        self._targets = targets
        self._paths = paths
        self._tunnels = tunnels
        self._follower = follower
        self._rollouts = follower.rollouts
        self._table: RouteTable | None = None
        self._pending: dict[str, PendingPlacement] = {}
        self._placed = PlacedRequests()
        # As reported by a scheduler; 0 if unknown.
        self._gateway_count = 0
        self._local_active = asyncio.Event()
        self._local_active.set()
        self._heartbeats = Heartbeats(node, self)
        node.on_unawaited = self._handle_unawaited
        self._attachment = 0
        # Messages with notices since the last attachment.
        self._notice_count = 0
        counted_s = make_bounds(node.settings).counted_s
        self._usage = UsageHandover(node.process, node.incarnation, counted_s)
        self._charges = RunCharges(node, self._placed, self._usage)
        self._usage_sync = UsageSync(node, follower, lambda: self._gateway_count)
        self._usage_log = UsageLog(node.events, LOCAL)
        self._usage_loaded = asyncio.Event()
        self._slot_times: list[Hold] = []
        self._crashes = CrashTracker()
        self._isolation = PartIsolation(self._crashes.parts)
        self._part_sync = PartEvidenceSync(
            node, self._crashes.parts, follower.part_evidence, self._merge_part_evidence
        )
        self._notices = NoticeStore()
        self._origins = StreamOrigins()
        self._list_requested = asyncio.Event()
        self._origin_finder = OriginFinder(
            node,
            follower,
            self._origins,
            lambda: self._targets.targets,
            self._list_requested.set,
        )
        self._origin_sync = OriginSync(
            node, follower, self._origins, lambda: self._origin_finder.is_mixed
        )
        self._local = self._make_local()

    def _make_local(self) -> Dispatcher:
        settings = self._node.settings
        share = self._limit_share
        name = name_decider(self._node.process, self._node.incarnation, self._attachment)
        quotas = Quotas(make_bounds(settings), name, is_private=True)
        quotas.set_share(share)
        retries = RetryBudget(settings.retry_ratio, settings.retry_extra, settings.retry_window_s)
        retries.share = share
        local = Dispatcher(
            quotas,
            retries,
            self._node.random,
            self._crashes,
            self._node.load_options,
            self._origins,
        )
        now_s = read_clock_s()
        local.set_rate_limit_share(share, now_s)
        if self._table is not None:
            local.update_table(self._table, now_s)
        self._merge_usage(quotas, self._usage.list_usage(share, now_s), "gateway", now_s)
        # The scheduler before may still count this gateway.
        quotas.hold_back_excess(now_s + TAKEOVER_S)
        local.merge_holds(self._slot_times)
        self._update_rollouts(local, now_s)
        local.update_targets(self._targets.targets, now_s)
        local.apply_notices(self._node.process, self._notices.list_notices(now_s), now_s)
        local.merge_speeds(self._placed.list_speeds(now_s))
        for run in self._placed.list_running(now_s):
            local.adopt(run, self._node.process, now_s)
        return local

    def _merge_usage(
        self, quotas: Quotas, usage: list[UsageSnapshot], source: str, now_s: float
    ) -> None:
        """Count for local decisions what others counted."""
        self._usage_log.emit_merged(quotas.merge_usage(usage, now_s), source, now_s)

    async def _start_deciding(self) -> None:
        """Learn from the keepers what was used before this process started, and attach."""
        loaded = await load_usage(self._node, self._follower, is_whole=False)
        now_s = read_clock_s()
        self._gateway_count = self._gateway_count or loaded.gateways
        self._local.set_limit_share(self._limit_share, now_s, now_s)
        self._local.set_rate_limit_share(self._limit_share, now_s)
        quotas = self._local.quotas
        if not loaded.is_complete:
            counted_s = make_bounds(self._node.settings).counted_s
            quotas.hold_back_excess(now_s + counted_s)
            self._usage_log.emit_held_back(counted_s, "keepers know too little")
        usage = loaded.usage
        if loaded.absent_s > MAX_RESTART_S:
            # This gateway may have decided locally, cut off from all that it could tell.
            name = name_decider(self._node.process, self._node.incarnation)
            assumed = quotas.assume_usage(name, usage, loaded.absent_s)
            self._usage_log.emit_assumed(assumed, loaded.absent_s)
            usage = [*usage, *assumed]
        # The next scheduler may not know all of it.
        self._usage.merge(usage, now_s)
        self._merge_usage(quotas, usage, "keepers", now_s)
        self._usage_loaded.set()
        self._heartbeats.start()

    @property
    def _limit_share(self) -> float:
        """Return this gateway's share of all limits, 0 to 1."""
        return 1.0 / (self._gateway_count or DEFAULT_GATEWAY_COUNT)

    def _update_rollouts(self, local: Dispatcher, now_s: float) -> None:
        """Pass the known rollouts to the local dispatcher.

        Canary sampling is disabled, since their outcomes would not reach a scheduler.
        """
        local.update_rollouts(self._rollouts.make_view(now_s, may_sample=False))

    @property
    def _current(self) -> Decider:
        return self._heartbeats.current

    @property
    def can_place(self) -> bool:
        """Return whether requests can be placed at all."""
        return self._current is not LocalDecider.LOCAL or bool(self._targets.targets)

    @property
    def decider(self) -> str:
        """Return the name of the current decider."""
        return _format_decider(self._current)

    def update_table(self, table: RouteTable) -> None:
        """Apply a configuration to local decisions."""
        self._table = table
        now_s = read_clock_s()
        # Before the table, so that versions without a rollout order get no requests.
        self._update_rollouts(self._local, now_s)
        self._local.update_table(table, now_s)

    def start(self) -> None:
        """Start heartbeats and the local decider's tasks."""
        self._node.spawn_loop(self._start_deciding, "limit usage")
        self._node.spawn_loop(self._run_ticks, "placement ticks")
        self._node.spawn_loop(self._run_local_list, "local target list")
        self._node.spawn_loop(self._origin_sync.run, "stream origins")

    # Requests

    async def place(self, work: RoutedWork) -> Placed | Declined:
        """Return a request's placement, or why it was declined."""
        quarantine = self._find_quarantine(work, read_clock_s())
        if quarantine is not None:
            # The decider may have restarted and not know the quarantine yet.
            return decline_quarantined(work.request, quarantine)
        if self._is_local():
            await self._usage_loaded.wait()
        loop = asyncio.get_running_loop()
        pending = PendingPlacement(work, read_clock_s(), loop.create_future())
        self._pending[work.request] = pending
        self._request(pending)
        try:
            answer = await pending.answer
        except asyncio.CancelledError:
            self._cancel(pending)
            raise
        finally:
            self._pending.pop(work.request, None)
            if pending.task is not None:
                pending.task.cancel()
        now_s = read_clock_s()
        match answer:
            case Placed():
                self._placed.start(work, answer, now_s)
                if pending.decider == self._current:
                    self._placed.record_number(answer.number)
                if not isinstance(pending.decider, LocalDecider):
                    self._usage.record_sent(work.workspace, work.charge, now_s)
            case Declined(crashes=crashes):
                # Keeps the crash histories if the decider ends before the next heartbeat.
                self._crashes.merge(crashes, now_s)
        return answer

    async def find_origin(
        self, service: str, stream: str, remaining_s: float
    ) -> KnownOrigin | UnknownOrigin:
        """Return the version that began a stream which a caller resumes."""
        return await self._origin_finder.find(service, stream, remaining_s)

    def _find_quarantine(self, work: RoutedWork, now_s: float) -> Quarantine | None:
        if self._crashes.get_suspicion(work.fingerprint, now_s) is Suspicion.QUARANTINED:
            return self._crashes.describe_quarantine(work.fingerprint, now_s)
        found = self._isolation.find_quarantine(work, now_s)
        return None if found is None else self._crashes.describe_part_quarantine(found, now_s)

    def _merge_part_evidence(self, evidence: PartEvidence) -> None:
        self._local.merge_part_evidence(evidence, read_clock_s())
        self._deliver_local()

    def _request(self, pending: PendingPlacement) -> None:
        """Request a placement from the current decider."""
        if pending.task is not None:
            pending.task.cancel()
            pending.task = None
        pending.decider = self._current
        spent_s = read_clock_s() - pending.started_s
        work = update_remaining_time(pending.work, spent_s)
        if isinstance(self._current, LocalDecider):
            self._local.place(work, self._node.process, read_clock_s())
            self._deliver_local()
            return
        pending.task = asyncio.create_task(self._request_placement(pending, self._current, work))

    async def _request_placement(
        self, pending: PendingPlacement, scheduler: ProcessId, work: RoutedWork
    ) -> None:
        timeout_s = max(_MIN_REQUEST_TIMEOUT_S, work.remaining_s)
        loop = asyncio.get_running_loop()
        probe = loop.call_later(PROBE_DELAY_S, self._heartbeats.probe, scheduler)
        self._heartbeats.record_request(scheduler)
        try:
            reply = await self._node.ask(scheduler, Place(work), timeout_s)
        except TroutstandError as error:
            # The request moves to the next decider when the current one is replaced.
            if error.code is not ResultCode.LINK_CLOSED:
                self._heartbeats.mark_lost(scheduler)
                return
            reply = await self._retry_request(scheduler, work, timeout_s)
        finally:
            probe.cancel()
        if reply is not None:
            self._heartbeats.record_response(scheduler)
        if isinstance(reply, Placed | Declined) and not pending.answer.done():
            pending.answer.set_result(reply)

    async def _retry_request(
        self, scheduler: ProcessId, work: RoutedWork, timeout_s: float
    ) -> PeerMessage | None:
        """Retry once after a lost link, since the scheduler's process may still run."""
        try:
            if await self._node.wait_for_link(scheduler):
                # Frees the slot if the answer to the first request was lost.
                self._node.send(scheduler, Abandon(work.request, work.running_at))
            return await self._node.ask(scheduler, Place(work), timeout_s)
        except TroutstandError:
            # The request moves to the next decider.
            self._heartbeats.mark_lost(scheduler)
            return None

    def _handle_unawaited(self, process: ProcessId, reply: PeerMessage) -> None:
        """Show the scheduler at once that this gateway does not run a placement."""
        if isinstance(reply, Placed) and process == self._current:
            self._placed.record_number(reply.number)
            self._heartbeats.probe(process)

    def _cancel(self, pending: PendingPlacement) -> None:
        request, running_at = pending.work.request, pending.work.running_at
        if pending.decider is None or isinstance(pending.decider, LocalDecider):
            self._local.abandon(request, read_clock_s(), running_at)
        else:
            self._node.send(pending.decider, Abandon(request, running_at))

    def record_first_byte(
        self, request: str, target: str, software_version: str, first_s: float
    ) -> None:
        """Report the first byte of a target's response."""
        now_s = read_clock_s()
        first = self._placed.record_first_byte(request, target, first_s, now_s)
        if first is None:
            return
        work = self._placed.find_work(request, target)
        if work is not None and work.stream:
            self._origins.record(work.stream, software_version, now_s)
        if isinstance(self._current, LocalDecider):
            self._local.record_first_byte(first, read_clock_s())
            self._deliver_local()
        else:
            self._node.send(self._current, first)

    def finish(self, ended: Ended) -> None:
        """Report how a request ended at its target."""
        if ended.ending is Ending.kept_back:
            # Otherwise the decider would not have chosen this target.
            self._send_notice(ended.target)
        self._placed.finish(ended, self._table, read_clock_s())
        if isinstance(self._current, LocalDecider):
            self._local.finish(ended, read_clock_s())
            self._deliver_local()
        else:
            self._node.send(self._current, ended)

    def report_path_lost(self, request: str, target: str) -> None:
        """Report that the response to a request cannot arrive, since its path is cut."""
        self._placed.mark_path_lost(request, target)
        if isinstance(self._current, LocalDecider):
            self._local.mark_path_lost(request, target)
        else:
            self._node.send(self._current, PathLost(request, target))

    def report_silence(self, request: str, target: str, is_over: bool) -> None:
        """Report that a target is silent in the middle of a response, or goes on after that."""
        silence = Silence(request, target, is_over)
        self._placed.mark_silent(request, target, not is_over)
        if is_over:
            self._placed.mark_path_lost(request, target, is_lost=False)
        if isinstance(self._current, LocalDecider):
            self._local.record_silence(silence, read_clock_s())
            self._deliver_local()
        else:
            self._node.send(self._current, silence)

    async def confirm_charge(self, request: str, target: str) -> bool:
        """Return whether the limit allows a request to be sent now."""
        is_current = self._charges.is_current(request, target)
        return is_current or await self._charge_run(request, target, is_repeat=False)

    async def charge_resend(self, request: str, target: str) -> bool:
        """Charge a repeated run of a request at its target; return whether limits allow it."""
        return await self._charge_run(request, target, is_repeat=True)

    async def _charge_run(self, request: str, target: str, is_repeat: bool) -> bool:
        decider = self._current
        asked = self._local if isinstance(decider, LocalDecider) else decider
        return await self._charges.charge(request, target, asked, is_repeat)

    # Notices of targets

    def get_block_reason(self, placed: Placed) -> BlockReason | None:
        """Return why nothing may be sent to a request's target now, or None."""
        return self._notices.get_block_reason(placed.target, placed.born_ms, read_clock_s())

    def handle_notice(self, request: str, notice: TargetNotice, sent_s: float) -> None:
        """Record a target's notice and forward it to the decider.

        A rate limit is forwarded with each answer that has it, since it expires and an
        earlier message may be lost.
        """
        is_new = self._notices.record(notice, sent_s, read_clock_s())
        if is_new:
            emit_notice_received(self._node.events, request, notice)
        if is_new or notice.limit_per_s is not None:
            self._send_notice(notice.target)

    def _send_notice(self, target: str) -> None:
        now_s = read_clock_s()
        notices = [self._notices.build_notice(target, now_s)]
        if isinstance(self._current, LocalDecider):
            self._local.apply_notices(self._node.process, notices, now_s)
        else:
            self._notice_count += 1
            self._node.send(self._current, TargetNotices(notices))

    # Schedulers

    def make_heartbeat(self, is_attached: bool, is_first: bool, is_whole: bool) -> AttachAsk:
        """Make a heartbeat; the first one to a scheduler carries the gateway's full state.

        A whole one carries what the scheduler keeps by messages without a reply.
        """
        now_s = read_clock_s()
        is_full = is_first or is_whole
        return AttachAsk(
            process=self._node.process,
            incarnation=self._node.incarnation,
            is_attached=is_attached,
            targets_version=self._targets.version,
            is_first=is_first,
            attachment=self._attachment,
            gateways=self._gateway_count,
            asks="" if self._is_local() else str(self._current),
            running=self._placed.list_running(now_s) if is_full else [],
            usage=self._usage.list_usage(self._limit_share, now_s) if is_first else [],
            holds=self._slot_times if is_first else [],
            crashes=self._crashes.list_histories(now_s) if is_first else [],
            crashes_version=self._crashes.version,
            speeds=self._placed.list_speeds(now_s) if is_first else [],
            leaving=self._targets.list_leaving() if is_first else [],
            notices=self._notices.list_notices(now_s) if is_full else [],
            failure_domain=self._node.settings.failure_domain,
            is_isolated=self._paths.is_isolated,
            peers_version=self._tunnels.peers_version,
            digest=self._placed.make_digest(self._notice_count) if is_attached else None,
            is_whole=is_whole,
            endings=self._placed.list_endings(now_s) if is_full else [],
        )

    def handle_reply(self, process: ProcessId, reply: Attached) -> None:
        """Apply a scheduler's answer to a heartbeat."""
        is_used = process == self._current or self._is_local()
        if reply.has_targets and is_used and self._targets.apply_update(reply):
            self._notices.prune(self._targets.targets, read_clock_s())
            self._local.update_targets(self._targets.targets, read_clock_s(), is_from_peer=True)
            self._deliver_local()
        if is_used and self._targets.version and reply.targets_version == self._targets.version:
            self._origin_finder.confirm_list()
        if reply.has_peers and is_used:
            self._update_peers(reply.peers, str(process))
        if process == self._current:
            self._gateway_count = reply.gateways
            self._usage.merge_reply(reply.usage, read_clock_s())
            self._slot_times = reply.holds
            if reply.crashes_version != self._crashes.version:
                self._crashes.replace(reply.crashes, read_clock_s())

    def _update_peers(self, peers: list[PeerGateway], source: str) -> None:
        self._tunnels.update_peers(peers)
        names = ",".join(peer.process for peer in peers)
        self._node.events.emit("peers_changed", peers=names, source=source)

    def _is_local(self) -> bool:
        return isinstance(self._current, LocalDecider)

    def switch_decider(self, before: Decider) -> None:
        """Switch to the current decider and move the waiting requests to it."""
        if isinstance(before, LocalDecider):
            # The next scheduler counts the quota used by local decisions.
            now_s = read_clock_s()
            usage = self._local.quotas.export_usage(now_s)
            self._usage.merge(usage, now_s)
            # That scheduler passes it on to nobody.
            self._usage_sync.send(self._local.quotas, usage)
        self._attachment += 1
        self._notice_count = 0
        self._placed.reset_number()
        if isinstance(self._current, LocalDecider):
            self._local = self._make_local()
            self._local_active.set()
        else:
            # Reports the running requests before any placement is requested.
            self._heartbeats.attach(self._current)
        self._node.events.emit(
            "scheduler_changed",
            before=_format_decider(before),
            now=self.decider,
            waiting=len(self._pending),
            running=len(self._placed),
        )
        for pending in list(self._pending.values()):
            self._move(pending)

    def _move(self, pending: PendingPlacement) -> None:
        if pending.answer.done():
            return
        if pending.decider is not None and not isinstance(pending.decider, LocalDecider):
            abandon = Abandon(pending.work.request, pending.work.running_at)
            self._node.send(pending.decider, abandon)
        self._request(pending)

    def resend_requests(self, process: ProcessId) -> None:
        """Request placements again from a scheduler that restarted."""
        self._placed.reset_number()
        for pending in list(self._pending.values()):
            if pending.decider == process and not pending.answer.done():
                self._request(pending)

    # Local decisions

    def _deliver_local(self) -> None:
        emit_link_changes(self._node.events, self._local.reach.drain_changes(), LOCAL)
        emit_suspicion_changes(self._node.events, self._crashes.drain_changes(), LOCAL)
        emit_part_changes(self._node.events, self._crashes.parts.drain_changes(), LOCAL)
        self._part_sync.send_news(includes_single=True)
        for decision in self._local.drain_decisions():
            answer = decision.answer
            pending = self._pending.get(answer.request)
            if pending is not None and not pending.answer.done():
                pending.answer.set_result(answer)
            elif isinstance(answer, Placed):
                self._local.abandon_placement(answer, read_clock_s())
            version = self._table.version if self._table is not None else 0
            emit_decision(self._node.events, decision, LOCAL, version, self._targets.version)

    async def _run_ticks(self) -> None:
        while True:
            await self._local_active.wait()
            await asyncio.sleep(_TICK_S)
            if self._is_local():
                now_s = read_clock_s()
                self._update_rollouts(self._local, now_s)
                self._local.tick(now_s)
                self._usage_sync.tell(self._local.quotas, self._local.quotas.export_usage)
                self._origin_sync.set_telling(is_telling=True)
                self._usage_log.emit_usage(self._local.quotas, now_s)
                self._deliver_local()
            else:
                self._origin_sync.set_telling(is_telling=False)
                self._local_active.clear()

    async def _run_local_list(self) -> None:
        """Read the list of targets while no scheduler sends it."""
        while True:
            period_s = _LOCAL_LIST_PERIOD_S * (0.75 + 0.5 * self._node.random.random())
            await wait_for_request(self._list_requested, _MIN_LIST_PERIOD_S, period_s)
            if not self._is_local() or self._table is None:
                continue
            try:
                changed = await self._targets.read()
            except TargetListError as error:
                age_s = self._targets.age_s
                self._node.events.emit("targets_unread", detail=str(error), age_s=age_s)
                continue
            self._targets.emit_invalid_entries(self._node.events)
            self._notices.prune(self._targets.targets, read_clock_s())
            self._origin_finder.record_read(self._targets.read_began_s)
            if changed and self._is_local():
                self._local.update_targets(self._targets.targets, read_clock_s())
                self._deliver_local()


def _format_decider(decider: Decider) -> str:
    return LOCAL if isinstance(decider, LocalDecider) else str(decider)
