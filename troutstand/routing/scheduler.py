"""Run a scheduler: the queue of a whole site, for the gateways that ask it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.dispatch import Dispatcher
from troutstand.core.gatewayregistry import GATEWAY_TIMEOUT_S, GatewayRegistry
from troutstand.core.quota import QuotaBounds, Quotas
from troutstand.core.retrybudget import RetryBudget
from troutstand.generated.messages import (
    Abandon,
    AttachAsk,
    Attached,
    Ended,
    FirstByte,
    Level,
    PeerMessage,
    Place,
    Placed,
    ProcessState,
    Refused,
    TargetNotices,
)
from troutstand.routing.decisionlog import (
    SCHEDULER,
    emit_decision,
    emit_link_changes,
    emit_suspicion_changes,
)
from troutstand.routing.follower import Follower
from troutstand.routing.loadreport import LoadReport
from troutstand.routing.node import RoutingNode
from troutstand.routing.rolloutdriver import RolloutDriver
from troutstand.routing.targetlist import TargetList, TargetListError, TargetListUpdate
from troutstand.util.clock import read_clock_s
from troutstand.util.noticelog import emit_notice_accepted

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from troutstand.core.configuration import RouteTable
    from troutstand.core.ids import ProcessId
    from troutstand.generated.messages import TargetNotice
    from troutstand.generated.routing import RoutingSettings
    from troutstand.routing.dialect import Dialect

_TICK_S = 0.05
_STANDBY_TICK_S = 0.5
# A tick that takes this share of the time between two is logged, in seconds.
_SLOW_TICK_S = 0.2 * _TICK_S
_SLOW_TICK_EVERY_S = 1.0
# Summing up the windows of all limits takes as long as a few placements.
_LEVELS_S = 0.1
_LIST_S = 0.9
_STANDBY_LIST_S = 5.0
_MIN_PERIOD_S = 0.1
_PERIOD_PER_GATEWAY_S = 0.0035
_LEAVE_S = 1.0
_THOUSANDTHS = 1000.0


class RoutingScheduler:
    """Serve the gateways that chose this process."""

    def __init__(self, settings: RoutingSettings, dialect: Dialect) -> None:
        self.node = RoutingNode(settings)
        self.quotas = Quotas(
            QuotaBounds(settings.quota_window_s, settings.quota_excess, settings.quota_extra)
        )
        self.retries = RetryBudget(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_s
        )
        self.dispatcher = Dispatcher(self.quotas, self.retries, options=self.node.load_options)
        self.follower = Follower(self.node, dialect, self._use_table)
        self.targets = TargetList(settings.target_list, dialect)
        self._gateways = GatewayRegistry()
        self._load_report = LoadReport(self.node)
        self.rollouts = RolloutDriver(
            self.node, self.dispatcher, self.follower, self._gateways.get_attached_share
        )
        self._pending: dict[tuple[str, str], asyncio.Future[PeerMessage | None]] = {}
        self._limits: dict[str, tuple[float, float]] = {}
        self._levels: tuple[float, list[Level]] = (float("-inf"), [])
        self._is_leaving = False
        self._has_list = False
        self._ready_since_s = read_clock_s()
        self._slow_tick_s = float("-inf")
        self._list_wanted = asyncio.Event()

    async def start(self) -> None:
        """Open the links and begin to follow configuration and targets."""
        self.node.start_event_log()
        await self.node.listen(self.handle)
        await self.node.start_metrics()
        self.node.state = ProcessState.serving
        self.node.spawn(self.follower.run(), "follower")
        self.node.spawn(self._run_list(), "target list")
        self.node.spawn(self._run_ticks(), "ticks")
        self.node.spawn(self.rollouts.run(), "rollouts")

    async def stop(self) -> None:
        """Send the gateways to another scheduler, then close."""
        self._is_leaving = True
        self.node.events.emit("stop_started", attached=self._gateways.count_attached())
        await asyncio.sleep(_LEAVE_S)
        self.targets.close()
        await self.node.close()

    @property
    def is_ready(self) -> bool:
        """Tell whether gateways may ask this scheduler."""
        return self._has_list and self.follower.table is not None and not self._is_leaving

    # Messages

    def handle(
        self, peer: ProcessId, message: PeerMessage
    ) -> PeerMessage | Awaitable[PeerMessage | None] | None:
        """Answer a gateway."""
        now_s = read_clock_s()
        match message:
            case Place(work):
                future: asyncio.Future[PeerMessage | None] = (
                    asyncio.get_running_loop().create_future()
                )
                self._pending[(peer, work.request)] = future
                self.dispatcher.place(work, peer, now_s)
                self._deliver()
                return future
            case FirstByte():
                self.dispatcher.record_first_byte(message, now_s)
            case Ended():
                self.dispatcher.finish(message, now_s)
            case TargetNotices(notices):
                self._note_notices(peer, notices, now_s)
            case Abandon(request):
                self.dispatcher.abandon(request, now_s)
                self._settle(peer, request, None)
            case AttachAsk():
                return self._handle_attach(peer, message, now_s)
            case _:
                return Refused(int(ResultCode.LINK_MALFORMED), "not for a scheduler")
        self._deliver()
        return None

    def _note_notices(self, peer: ProcessId, notices: list[TargetNotice], now_s: float) -> None:
        for notice in self.dispatcher.apply_notices(peer, notices, now_s):
            emit_notice_accepted(self.node.events, peer, notice)

    def _settle(self, owner: str, request: str, answer: PeerMessage | None) -> bool:
        future = self._pending.pop((owner, request), None)
        if future is None or future.done():
            return False
        future.set_result(answer)
        return True

    def _deliver(self) -> None:
        now_s = read_clock_s()
        emit_link_changes(self.node.events, self.dispatcher.reach.drain_changes(), SCHEDULER)
        emit_suspicion_changes(self.node.events, self.dispatcher.crashes.drain_changes(), SCHEDULER)
        for decision in self.dispatcher.drain_decisions():
            answer = decision.answer
            settled = self._settle(decision.owner, answer.request, answer)
            emit_decision(
                self.node.events,
                decision,
                SCHEDULER,
                self.follower.version,
                self.targets.version,
            )
            if isinstance(answer, Placed) and not settled:
                # Its gateway no longer waits; the slot is free again.
                self.dispatcher.abandon(answer.request, now_s)

    # Gateways

    def _handle_attach(self, peer: ProcessId, ask: AttachAsk, now_s: float) -> Attached:
        seen = self._gateways.find(peer)
        is_known = seen is not None and seen.incarnation == ask.incarnation
        if is_known and seen is not None and ask.attachment < seen.attachment:
            # Sent before a link was lost, and delivered after the gateway had gone on.
            return self._answer_attach(ask, now_s)
        if seen is not None and seen.incarnation != ask.incarnation:
            self._drop(peer, "restarted", now_s)
        if seen is not None and seen.is_attached and not ask.is_attached:
            self._drop(peer, "asks another scheduler", now_s)
        if not ask.is_attached:
            self._release_limits(peer)
        self._gateways.record_heartbeat(peer, ask, now_s)
        is_repeated = (
            is_known and seen is not None and seen.is_attached and seen.attachment == ask.attachment
        )
        if ask.is_first and not is_repeated:
            self._take_over(peer, ask, now_s)
        self._share()
        return self._answer_attach(ask, now_s)

    def _take_over(self, peer: ProcessId, ask: AttachAsk, now_s: float) -> None:
        """Take in what a gateway that begins to ask this scheduler brings along."""
        if self._gateways.count_attached() <= 1:
            # A standby's list is old; the first gateway to come needs a new one.
            self._list_wanted.set()
        self._follow_rollouts(now_s)
        self.dispatcher.mark_leaving(ask.leaving)
        self.dispatcher.apply_notices(peer, ask.notices, now_s)
        for run in ask.running:
            self.dispatcher.adopt(run, peer, now_s)
        self._inherit_limits(peer, ask, now_s)
        self.dispatcher.merge_holds(ask.holds)
        self.dispatcher.merge_speeds(ask.speeds)
        self.dispatcher.crashes.merge(ask.crashes, now_s)
        self.node.events.emit(
            "gateway_attached",
            peer=peer,
            running=len(ask.running),
            speeds=len(ask.speeds),
            limits=len(ask.levels),
            crashers=len(ask.crashes),
            notices=len(ask.notices),
            fullest=max((sum(level.taken) / _THOUSANDTHS for level in ask.levels), default=0.0),
            gateways=self._gateways.gateway_count,
        )

    def _inherit_limits(self, peer: ProcessId, ask: AttachAsk, now_s: float) -> None:
        """Take in a gateway's part of the limits, with what was taken of it elsewhere.

        A gateway that has just started brings nothing; what was taken through its earlier
        life still counts.
        """
        if not ask.levels:
            return
        self._release_limits(peer)
        portion = ask.part or 1.0 / self._gateways.gateway_count
        for level in ask.levels:
            self.quotas.import_usage(level.workspace, level.taken, portion, now_s)
        self._gateways.mark_usage_counted(peer)

    def _release_limits(self, peer: ProcessId) -> None:
        """Let what was taken of a gateway's part go with it."""
        share = self._gateways.release_usage(peer)
        if share:
            self.quotas.release_share(share)

    def _answer_attach(self, ask: AttachAsk, now_s: float) -> Attached:
        # A gateway takes the list from the scheduler that it asks, or from any while it
        # decides alone. A standby's list may be older and would be dropped: 1.7 MB/s in vain
        # at each standby, with 95 gateways and 1,001 targets.
        is_taken = self._has_list and (ask.is_attached or not ask.asks)
        told = (
            self.targets.make_update(ask.targets_version, now_s) if is_taken else TargetListUpdate()
        )
        crashes = self.dispatcher.crashes
        has_crashes = ask.is_attached and ask.crashes_version != crashes.version
        most_asked = self._gateways.find_most_used_scheduler()
        return Attached(
            incarnation=self.node.incarnation,
            period_s=max(_MIN_PERIOD_S, _PERIOD_PER_GATEWAY_S * len(self._gateways)),
            version=self.follower.version,
            gateways=self._gateways.gateway_count,
            attached=self._gateways.count_attached(),
            targets_version=self.targets.version,
            targets=told.targets,
            has_targets=told.has_targets,
            targets_base=told.base,
            gone=told.removed,
            is_ready=self.is_ready,
            ready_s=self._measure_ready(now_s),
            most_asked=most_asked.scheduler,
            most_asked_by=most_asked.gateways,
            levels=self._list_levels(now_s) if ask.is_attached else [],
            holds=self.dispatcher.list_holds() if ask.is_attached else [],
            crashes=crashes.list_histories(now_s) if has_crashes else [],
            crashes_version=crashes.version,
        )

    def _measure_ready(self, now_s: float) -> float:
        """Return for how long this process has been able to serve, in seconds."""
        if not self.is_ready:
            self._ready_since_s = now_s
        return now_s - self._ready_since_s

    def _list_levels(self, now_s: float) -> list[Level]:
        """Return how full the limits are, summed up anew for a few heartbeats together."""
        made_s, levels = self._levels
        if now_s - made_s > _LEVELS_S:
            held = self.quotas.export_usage(now_s)
            levels = [Level(name, parts) for name, parts in held.items()]
            self._levels = (now_s, levels)
        return levels

    def _drop(self, gateway: ProcessId, reason: str, now_s: float) -> None:
        self.node.events.emit("gateway_detached", peer=gateway, reason=reason)
        self.dispatcher.drop_owner(gateway, now_s)
        for owner, request in [key for key in self._pending if key[0] == gateway]:
            self._settle(owner, request, None)

    def _share(self) -> None:
        """Hold the share of limits that belongs to the gateways served here."""
        share = self._gateways.get_limit_share()
        self.quotas.share = share
        self.retries.share = share
        self.dispatcher.set_rate_limit_share(share, read_clock_s())

    def _drop_silent(self, now_s: float) -> None:
        for gateway, silent_s in self._gateways.detach_silent(now_s).items():
            self._drop(gateway, f"silent for {silent_s:.1f} s", now_s)
        self._share()

    # What is known of the site

    def _use_table(self, table: RouteTable) -> None:
        self.node.metrics.version.set(table.version)
        for workspace in table.configuration.workspaces:
            limit = (workspace.tokens_per_s, workspace.burst_tokens)
            if self._limits.get(workspace.name) != limit:
                self._limits[workspace.name] = limit
                self.node.events.emit(
                    "limit_in_force",
                    workspace=workspace.name,
                    tokens_per_s=limit[0],
                    burst_tokens=limit[1],
                    version=table.version,
                )
        now_s = read_clock_s()
        # A scheduler is ready once it has a configuration and a list. The rollout book came
        # with the former; without it all versions of the list would be let in.
        self._follow_rollouts(now_s)
        self.dispatcher.update_table(table, now_s)

    def _follow_rollouts(self, now_s: float) -> None:
        self.dispatcher.update_rollouts(self.follower.rollouts.make_view(now_s, may_sample=True))

    async def _run_list(self) -> None:
        while True:
            try:
                if await self.targets.read():
                    self.node.events.emit(
                        "targets_changed",
                        count=len(self.targets.targets),
                        version=self.targets.version,
                    )
                    now_s = read_clock_s()
                    self._follow_rollouts(now_s)
                    self.dispatcher.update_targets(self.targets.targets, now_s)
                    self._deliver()
                self.targets.emit_invalid_entries(self.node.events)
                self._has_list = True
                self.rollouts.report_versions(self.targets.targets)
            except TargetListError as error:
                age_s = self.targets.age_s
                self.node.events.emit("targets_unread", detail=str(error), age_s=age_s)
            is_busy = self._gateways.count_attached() > 0 or not self._has_list
            period_s = _LIST_S if is_busy else _STANDBY_LIST_S
            # Running out of time is how the pause usually ends.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s * (0.9 + 0.2 * self.node.random.random())):
                    await self._list_wanted.wait()
            self._list_wanted.clear()

    async def _run_ticks(self) -> None:
        last_s = read_clock_s()
        while True:
            await asyncio.sleep(_TICK_S if self._gateways.count_attached() else _STANDBY_TICK_S)
            now_s = read_clock_s()
            if now_s - last_s > GATEWAY_TIMEOUT_S:
                # This process stood still, so that the gateways' silence is its own.
                self._gateways.reset_silence(now_s)
            last_s = now_s
            self._drop_silent(now_s)
            self._follow_rollouts(now_s)
            self.dispatcher.tick(now_s)
            self._load_report.update(self.dispatcher, now_s)
            self._note_tick(read_clock_s() - now_s, now_s)
            self._deliver()

    def _note_tick(self, took_s: float, now_s: float) -> None:
        """Log a tick that held up the decisions, once a second at most."""
        if took_s < _SLOW_TICK_S or now_s - self._slow_tick_s < _SLOW_TICK_EVERY_S:
            return
        self._slow_tick_s = now_s
        self.node.events.emit(
            "tick_slow", took_ms=took_s * _THOUSANDTHS, waiting=self.dispatcher.count_waiting()
        )
