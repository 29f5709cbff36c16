"""Get targets for a gateway's requests, whoever decides.

The live scheduler that most gateways ask decides, so that all gateways that
reach each other ask the same one. When it falls silent, those that wait ask
another; without any, the gateway decides alone, over the targets it last
knew and with its part of the limits.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.crashtracker import CrashTracker, Suspicion
from troutstand.core.decision import decline_quarantined
from troutstand.core.dispatch import Dispatcher
from troutstand.core.errors import TroutstandError
from troutstand.core.noticestore import NoticeStore
from troutstand.core.quota import QuotaBounds, Quotas
from troutstand.core.retrybudget import RetryBudget
from troutstand.generated.messages import (
    Abandon,
    AttachAsk,
    Attached,
    Declined,
    Ended,
    Ending,
    Hold,
    Level,
    Place,
    Placed,
    RoutedWork,
    TargetNotices,
)
from troutstand.routing.decisionlog import (
    LOCAL,
    emit_decision,
    emit_link_changes,
    emit_suspicion_changes,
)
from troutstand.routing.heartbeats import Heartbeats
from troutstand.routing.pendingplacement import PendingPlacement, update_remaining_time
from troutstand.routing.placedrequests import PlacedRequests
from troutstand.routing.schedulerwatch import (
    PROBE_DELAY_S,
    Decider,
    LocalDecider,
)
from troutstand.routing.targetlist import ListUnreadError
from troutstand.util.clock import read_clock_s
from troutstand.util.noticelog import emit_notice_received

if TYPE_CHECKING:
    from troutstand.core.configuration import RouteTable
    from troutstand.core.ids import ProcessId
    from troutstand.core.selfreport import BlockReason
    from troutstand.generated.messages import PeerMessage, TargetNotice
    from troutstand.routing.knownrollouts import KnownRollouts
    from troutstand.routing.node import RoutingNode
    from troutstand.routing.targetlist import TargetList

_TICK_S = 0.05
_ALONE_LIST_S = 1.0
_FIRST_GATEWAYS = 8
# The least time that an ask is given, in seconds: some round trips.
_MIN_ASK_S = 0.05


class Placement:
    """Ask for targets and tell how they did."""

    def __init__(self, node: RoutingNode, targets: TargetList, rollouts: KnownRollouts) -> None:
        self._node = node
        self._targets = targets
        self._rollouts = rollouts
        self._table: RouteTable | None = None
        self._placing: dict[str, PendingPlacement] = {}
        self._held = PlacedRequests()
        # As a scheduler told; 0 until one has.
        self._told_gateways = 0
        self._went_alone = asyncio.Event()
        self._went_alone.set()
        self._heartbeats = Heartbeats(node, self)
        self._attachment = 0
        self._levels: list[Level] = []
        self._holds: list[Hold] = []
        self._crashes = CrashTracker()
        self._notices = NoticeStore()
        self._local = self._make_local()

    def _make_local(self) -> Dispatcher:
        settings = self._node.settings
        share = self._limits_part
        quotas = Quotas(
            QuotaBounds(settings.quota_window_s, settings.quota_excess, settings.quota_extra)
        )
        retries = RetryBudget(settings.retry_ratio, settings.retry_extra, settings.retry_window_s)
        quotas.share = retries.share = share
        local = Dispatcher(
            quotas, retries, self._node.random, self._crashes, self._node.load_options
        )
        now_s = read_clock_s()
        local.set_rate_limit_share(share, now_s)
        if self._table is not None:
            local.update_table(self._table, now_s)
        for level in self._levels:
            quotas.import_usage(level.workspace, level.taken, share, now_s)
        local.merge_holds(self._holds)
        self._follow_rollouts(local, now_s)
        local.update_targets(self._targets.targets, now_s)
        local.apply_notices(self._node.process, self._notices.list_notices(now_s), now_s)
        local.merge_speeds(self._held.list_speeds(now_s))
        for run in self._held.list_running(now_s):
            local.adopt(run, self._node.process, now_s)
        return local

    @property
    def _limits_part(self) -> float:
        """Return the part of all limits that is this gateway's, 0 to 1."""
        return 1.0 / (self._told_gateways or _FIRST_GATEWAYS)

    def _follow_rollouts(self, local: Dispatcher, now_s: float) -> None:
        """Pass on what is known of rollouts.

        A gateway that decides alone samples nothing: its evidence would reach nobody.
        """
        local.update_rollouts(self._rollouts.view(now_s, may_sample=False))

    @property
    def _current(self) -> Decider:
        return self._heartbeats.current

    @property
    def can_place(self) -> bool:
        """Tell whether requests can get targets at all."""
        return self._current is not LocalDecider.LOCAL or bool(self._targets.targets)

    @property
    def decider(self) -> str:
        """Name who decides now."""
        return _name(self._current)

    def update_table(self, table: RouteTable) -> None:
        """Take a configuration for decisions made alone."""
        self._table = table
        now_s = read_clock_s()
        # As at schedulers, so that versions that nobody ordered get nothing from the start.
        self._follow_rollouts(self._local, now_s)
        self._local.update_table(table, now_s)

    def start(self) -> None:
        """Begin to watch the schedulers."""
        self._heartbeats.start()
        self._node.spawn(self._run_ticks(), "placement ticks")
        self._node.spawn(self._run_list_alone(), "list alone")

    # Requests

    async def place(self, work: RoutedWork) -> Placed | Declined:
        """Return a request's target, or its refusal."""
        now_s = read_clock_s()
        if self._crashes.get_suspicion(work.fingerprint, now_s) is Suspicion.QUARANTINED:
            # Known here, be it that the decider has just started and knows nothing yet.
            quarantine = self._crashes.describe_quarantine(work.fingerprint, now_s)
            return decline_quarantined(work.request, quarantine)
        loop = asyncio.get_running_loop()
        placing = PendingPlacement(work, read_clock_s(), loop.create_future())
        self._placing[work.request] = placing
        self._ask(placing)
        try:
            answer = await placing.answer
        except asyncio.CancelledError:
            self._withdraw(placing)
            raise
        finally:
            self._placing.pop(work.request, None)
            if placing.task is not None:
                placing.task.cancel()
        now_s = read_clock_s()
        match answer:
            case Placed():
                self._held.start(work, answer, now_s)
            case Declined(crashes=crashes):
                # What a decider refused once outlives it, however soon it ends: within one
                # heartbeat it took another target to find out again.
                self._crashes.merge(crashes, now_s)
        return answer

    def _ask(self, placing: PendingPlacement) -> None:
        """Ask whoever decides now."""
        if placing.task is not None:
            placing.task.cancel()
            placing.task = None
        placing.asked = self._current
        spent_s = read_clock_s() - placing.since_s
        work = update_remaining_time(placing.work, spent_s)
        if isinstance(self._current, LocalDecider):
            self._local.place(work, self._node.process, read_clock_s())
            self._deliver_local()
            return
        placing.task = asyncio.create_task(self._ask_scheduler(placing, self._current, work))

    async def _ask_scheduler(
        self, placing: PendingPlacement, scheduler: ProcessId, work: RoutedWork
    ) -> None:
        limit_s = max(_MIN_ASK_S, work.remaining_s)
        loop = asyncio.get_running_loop()
        probe = loop.call_later(PROBE_DELAY_S, self._heartbeats.probe, scheduler)
        self._heartbeats.record_request(scheduler)
        try:
            reply = await self._node.ask(scheduler, Place(work), limit_s)
        except TroutstandError as error:
            # Whoever decides next is asked, which scheduler_changed tells of; a request
            # whose time ends before has its own line.
            if error.code is not ResultCode.LINK_CLOSED:
                self._heartbeats.mark_lost(scheduler)
                return
            reply = await self._repeat_ask(scheduler, work, limit_s)
        finally:
            probe.cancel()
        if reply is not None:
            self._heartbeats.record_response(scheduler)
        if isinstance(reply, Placed | Declined) and not placing.answer.done():
            placing.answer.set_result(reply)

    async def _repeat_ask(
        self, scheduler: ProcessId, work: RoutedWork, limit_s: float
    ) -> PeerMessage | None:
        """Ask once more where the link was lost, since its process may live on.

        Whoever decides next is asked when that fails as well.
        """
        try:
            if await self._node.wait_for_link(scheduler):
                # The answer to the first ask may be lost; its slot must not be.
                self._node.send(scheduler, Abandon(work.request))
            return await self._node.ask(scheduler, Place(work), limit_s)
        except TroutstandError:
            # Whoever decides next is asked.
            self._heartbeats.mark_lost(scheduler)
            return None

    def _withdraw(self, placing: PendingPlacement) -> None:
        request = placing.work.request
        if placing.asked is None or isinstance(placing.asked, LocalDecider):
            self._local.abandon(request, read_clock_s())
        else:
            self._node.send(placing.asked, Abandon(request))

    def record_first_byte(self, request: str, first_s: float) -> None:
        """Tell that a target began to answer."""
        first = self._held.record_first_byte(request, first_s, read_clock_s())
        if first is None:
            return
        if isinstance(self._current, LocalDecider):
            self._local.record_first_byte(first, read_clock_s())
            self._deliver_local()
        else:
            self._node.send(self._current, first)

    def finish(self, ended: Ended) -> None:
        """Tell how a request ended at its target."""
        if ended.ending is Ending.kept_back:
            # Its decider did not know, or it would not have chosen this target.
            self._tell_notice(ended.target)
        self._held.finish(ended, self._table, read_clock_s())
        if isinstance(self._current, LocalDecider):
            self._local.finish(ended, read_clock_s())
            self._deliver_local()
        else:
            self._node.send(self._current, ended)

    # What targets say of themselves

    def get_block_reason(self, placed: Placed) -> BlockReason | None:
        """Return why nothing may be sent to a request's target now, or None."""
        return self._notices.get_block_reason(placed.target, placed.born_ms, read_clock_s())

    def handle_notice(self, request: str, notice: TargetNotice, asked_s: float) -> None:
        """Take what a target's answer says of the target, and tell the decider at once.

        A limit is told with each answer that names it: it holds for as long as that, and a
        decider that learnt it by a message that was lost learns it by the next.
        """
        is_news = self._notices.record(notice, asked_s, read_clock_s())
        if is_news:
            emit_notice_received(self._node.events, request, notice)
        if is_news or notice.limit_per_s is not None:
            self._tell_notice(notice.target)

    def _tell_notice(self, target: str) -> None:
        now_s = read_clock_s()
        notices = [self._notices.build_notice(target, now_s)]
        if isinstance(self._current, LocalDecider):
            self._local.apply_notices(self._node.process, notices, now_s)
        else:
            self._node.send(self._current, TargetNotices(notices))

    # Schedulers

    def make_heartbeat(self, is_attached: bool, is_first: bool) -> AttachAsk:
        """Write a heartbeat; the first one to a scheduler tells all that it must know."""
        now_s = read_clock_s()
        return AttachAsk(
            process=self._node.process,
            incarnation=self._node.incarnation,
            is_attached=is_attached,
            targets_version=self._targets.version,
            is_first=is_first,
            attachment=self._attachment,
            gateways=self._told_gateways,
            part=self._limits_part,
            asks="" if self._is_alone() else str(self._current),
            running=self._held.list_running(now_s) if is_first else [],
            levels=self._levels if is_first else [],
            holds=self._holds if is_first else [],
            crashes=self._crashes.list_histories(now_s) if is_first else [],
            crashes_version=self._crashes.version,
            speeds=self._held.list_speeds(now_s) if is_first else [],
            leaving=self._targets.list_leaving() if is_first else [],
            notices=self._notices.list_notices(now_s) if is_first else [],
        )

    def handle_reply(self, process: ProcessId, reply: Attached) -> None:
        """Take a scheduler's answer to a heartbeat."""
        is_asked = process == self._current or self._is_alone()
        if reply.has_targets and is_asked and self._targets.take(reply):
            self._notices.prune(self._targets.targets, read_clock_s())
            self._local.update_targets(self._targets.targets, read_clock_s(), is_from_peer=True)
            self._deliver_local()
        if process == self._current:
            self._told_gateways = reply.gateways
            self._levels = reply.levels
            self._holds = reply.holds
            if reply.crashes_version != self._crashes.version:
                self._crashes.replace(reply.crashes, read_clock_s())

    def _is_alone(self) -> bool:
        return isinstance(self._current, LocalDecider)

    def switch_decider(self, before: Decider) -> None:
        """Ask the present decider from now on, also what waits already."""
        if isinstance(before, LocalDecider):
            # What this gateway took alone counts at the scheduler that it asks next.
            held = self._local.quotas.export_usage(read_clock_s())
            self._levels = [Level(name, parts) for name, parts in held.items()]
        self._attachment += 1
        if isinstance(self._current, LocalDecider):
            self._local = self._make_local()
            self._went_alone.set()
        else:
            # What runs is told before anything is asked, so that it counts in the answer.
            self._heartbeats.attach(self._current)
        self._node.events.emit(
            "scheduler_changed",
            before=_name(before),
            now=self.decider,
            waiting=len(self._placing),
            running=len(self._held),
        )
        for placing in list(self._placing.values()):
            self._move(placing)

    def _move(self, placing: PendingPlacement) -> None:
        if placing.answer.done():
            return
        if placing.asked is not None and not isinstance(placing.asked, LocalDecider):
            self._node.send(placing.asked, Abandon(placing.work.request))
        self._ask(placing)

    def resend_requests(self, process: ProcessId) -> None:
        """Repeat what a scheduler's earlier life was asked."""
        for placing in list(self._placing.values()):
            if placing.asked == process and not placing.answer.done():
                self._ask(placing)

    # Alone

    def _deliver_local(self) -> None:
        emit_link_changes(self._node.events, self._local.reach.drain_changes(), LOCAL)
        emit_suspicion_changes(self._node.events, self._crashes.drain_changes(), LOCAL)
        for decision in self._local.drain_decisions():
            answer = decision.answer
            placing = self._placing.get(answer.request)
            if placing is not None and not placing.answer.done():
                placing.answer.set_result(answer)
            elif isinstance(answer, Placed):
                self._local.abandon(answer.request, read_clock_s())
            version = self._table.version if self._table is not None else 0
            emit_decision(self._node.events, decision, LOCAL, version, self._targets.version)

    async def _run_ticks(self) -> None:
        while True:
            await self._went_alone.wait()
            await asyncio.sleep(_TICK_S)
            if self._is_alone():
                now_s = read_clock_s()
                self._follow_rollouts(self._local, now_s)
                self._local.tick(now_s)
                self._deliver_local()
            else:
                self._went_alone.clear()

    async def _run_list_alone(self) -> None:
        """Read the list of targets while no scheduler passes it on."""
        while True:
            await asyncio.sleep(_ALONE_LIST_S * (0.75 + 0.5 * self._node.random.random()))
            if not self._is_alone() or self._table is None:
                continue
            try:
                changed = await self._targets.read()
            except ListUnreadError as error:
                age_s = self._targets.age_s
                self._node.events.emit("targets_unread", detail=str(error), age_s=age_s)
                continue
            self._targets.emit_spoiled(self._node.events)
            self._notices.prune(self._targets.targets, read_clock_s())
            if changed and self._is_alone():
                self._local.update_targets(self._targets.targets, read_clock_s())
                self._deliver_local()


def _name(decider: Decider) -> str:
    return LOCAL if isinstance(decider, LocalDecider) else str(decider)
