"""Run a scheduler, which places the requests of the gateways attached to it."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.dispatch import Dispatcher
from troutstand.core.gatewayregistry import (
    GATEWAY_TIMEOUT_S,
    GatewayRegistry,
    compute_gateway_timeout,
    compute_lease,
)
from troutstand.core.gatewaystates import GatewayStates
from troutstand.core.limits.assumedusage import withdraw_assumed
from troutstand.core.limits.quota import Quotas, make_bounds
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.generated.messages import (
    Abandon,
    Acknowledged,
    AttachAsk,
    Attached,
    ChargeAsk,
    Ended,
    FirstByte,
    OriginAsk,
    OriginTold,
    PathLost,
    PeerMessage,
    Place,
    Placed,
    ProcessState,
    Refused,
    Silence,
    TargetNotices,
)
from troutstand.routing.correctionlog import CorrectionLog
from troutstand.routing.decisionlog import (
    emit_decision,
    emit_link_changes,
)
from troutstand.routing.follower import Follower
from troutstand.routing.gatewayprobes import GatewayProbes
from troutstand.routing.loadreport import LoadReport
from troutstand.routing.node import RoutingNode
from troutstand.routing.originsync import OriginSync
from troutstand.routing.partevidencecache import PartEvidenceSync
from troutstand.routing.rolloutdriver import RolloutDriver
from troutstand.routing.targetlist import (
    TargetList,
    TargetListError,
    TargetListUpdate,
    wait_for_request,
)
from troutstand.routing.usagehandover import name_decider
from troutstand.routing.usagelog import UsageLog
from troutstand.routing.usagesync import UsageSync, compute_takeover, load_usage
from troutstand.util.clock import read_clock_s
from troutstand.util.crashlog import SCHEDULER, emit_part_changes, emit_suspicion_changes
from troutstand.util.noticelog import emit_notice_accepted

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from troutstand.core.configuration import RouteTable
    from troutstand.core.crashes.partevidence import PartEvidence
    from troutstand.core.ids import ProcessId
    from troutstand.generated.messages import TargetNotice, UsageSnapshot
    from troutstand.generated.routing import RoutingSettings
    from troutstand.routing.dialect import Dialect

_TICK_PERIOD_S = 0.05
_STANDBY_TICK_PERIOD_S = 0.5
# A longer tick delays placements and is logged.
_SLOW_TICK_S = 0.2 * _TICK_PERIOD_S
_SLOW_TICK_LOG_PERIOD_S = 1.0
# Cached, since summing the windows of all limits costs as much as several placements.
_USAGE_TTL_S = 0.05
_USAGE_TTL_PER_LIMIT_S = 0.0005
_LIST_PERIOD_S = 0.9
_STANDBY_LIST_PERIOD_S = 5.0
_MIN_LIST_PERIOD_S = 0.2
# Two reads of a scheduler that gateways use.
_MAX_TOLD_LIST_AGE_S = 2.0 * _LIST_PERIOD_S
_MIN_HEARTBEAT_PERIOD_S = 0.1
_HEARTBEAT_PERIOD_PER_GATEWAY_S = 0.0035
_DRAIN_S = 1.0
_MILLI_PER_UNIT = 1000.0


class RoutingScheduler:
    """Place requests for the gateways attached to this process."""

    def __init__(self, settings: RoutingSettings, dialect: Dialect) -> None:
        self.node = RoutingNode(settings)
        self.quotas = Quotas(
            make_bounds(settings), name_decider(self.node.process, self.node.incarnation)
        )
        self.retries = RetryBudget(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_s
        )
        self.dispatcher = Dispatcher(self.quotas, self.retries, options=self.node.load_options)
        self._states = GatewayStates(self.dispatcher)
        self.follower = Follower(self.node, dialect, self._update_table)
        self._part_sync = PartEvidenceSync(
            self.node,
            self.dispatcher.crashes.parts,
            self.follower.part_evidence,
            self._merge_part_evidence,
        )
        self.targets = TargetList(settings.target_list, dialect)
        self._gateways = GatewayRegistry()
        self._load_report = LoadReport(self.node)
        self._correction_log = CorrectionLog(self.node)
        self.rollouts = RolloutDriver(
            self.node, self.dispatcher, self.follower, self._gateways.get_attached_share
        )
        self._pending: dict[tuple[str, str], asyncio.Future[PeerMessage | None]] = {}
        self._logged_limits: dict[str, tuple[float, float]] = {}
        self._cached_usage: tuple[float, list[UsageSnapshot]] = (float("-inf"), [])
        self._usage_sync = UsageSync(self.node, self.follower, lambda: self._gateways.gateway_count)
        self._usage_log = UsageLog(self.node.events, SCHEDULER)
        self._origin_sync = OriginSync(
            self.node,
            self.follower,
            self.dispatcher.origins,
            lambda: self.rollouts.versions.is_mixed(read_clock_s()),
        )
        self._probes = GatewayProbes(
            self.node, self._gateways, self._get_lease_s, self._handle_ended_gateway
        )
        self._has_usage = False
        self._is_stopping = False
        self._has_list = False
        self._ready_since_s = read_clock_s()
        self._slow_tick_logged_s = float("-inf")
        self._list_requested = asyncio.Event()

    async def start(self) -> None:
        """Open the links and start the background tasks."""
        self.node.start_event_log()
        await self.node.listen(self.handle)
        await self.node.start_metrics()
        self.node.state = ProcessState.serving
        self.node.spawn_loop(self.follower.run, "follower")
        self.node.spawn_loop(self._load_usage, "limit usage")
        self.node.spawn_loop(self._run_list_reads, "target list")
        self.node.spawn_loop(self._run_ticks, "ticks")
        self.node.spawn_loop(self._probes.run, "gateway probes")
        self.node.spawn_loop(self._origin_sync.run, "stream origins")
        self.node.spawn_loop(self.rollouts.run, "rollouts")

    async def stop(self) -> None:
        """Report not ready until the gateways have switched to another scheduler, then close."""
        self._is_stopping = True
        self.node.events.emit("stop_started", attached=self._gateways.count_attached())
        await asyncio.sleep(_DRAIN_S)
        self.targets.close()
        await self.node.close()

    @property
    def is_ready(self) -> bool:
        """Return whether gateways may attach to this scheduler."""
        has_state = self._has_list and self._has_usage and self.follower.table is not None
        return has_state and not self._is_stopping

    # Messages

    def handle(
        self, peer: ProcessId, message: PeerMessage
    ) -> PeerMessage | Awaitable[PeerMessage | None] | None:
        """Handle a message from a gateway."""
        now_s = read_clock_s()
        self._states.record(peer, message)
        match message:
            case Place(work):
                future: asyncio.Future[PeerMessage | None] = (
                    asyncio.get_running_loop().create_future()
                )
                self._pending[(peer, work.request)] = future
                self.dispatcher.place(work, peer, now_s)
                self._deliver_decisions()
                return future
            case FirstByte():
                self.dispatcher.record_first_byte(message, now_s)
            case Ended():
                if not self._states.is_late(peer, message):
                    self.dispatcher.finish(message, now_s)
            case PathLost(request, target):
                self.dispatcher.mark_path_lost(request, target)
            case TargetNotices(notices):
                self._apply_notices(peer, notices, now_s)
            case Silence():
                self.dispatcher.record_silence(message, now_s)
            case Abandon(request, running_at):
                self.dispatcher.abandon(request, now_s, running_at)
                self._resolve(peer, request, None)
            case ChargeAsk(_, workspace, charge, repeated):
                code = self.dispatcher.charge_resend(workspace, charge, repeated, now_s)
                if code is ResultCode.OK:
                    return Acknowledged()
                return Refused(int(code), f"a further run of workspace {workspace}")
            case OriginAsk():
                return self._tell_origin(message, now_s)
            case AttachAsk():
                return self._handle_attach(peer, message, now_s)
            case _:
                return Refused(
                    int(ResultCode.LINK_MALFORMED), "message type not handled by a scheduler"
                )
        self._deliver_decisions()
        return None

    def _tell_origin(self, ask: OriginAsk, now_s: float) -> OriginTold:
        """Return the version that began a stream; without it, read the list anew."""
        version = self.dispatcher.origins.find(ask.stream)
        if version is None and self._gateways.count_attached():
            self._list_requested.set()
        versions = self.rollouts.versions.list_recent(ask.service, now_s)
        return OriginTold(version, self._get_list_age_ms(now_s), sorted(versions))

    def _get_list_age_ms(self, now_s: float) -> int:
        """Return the milliseconds since the last read of the list began, -1 without one."""
        if not self._has_list:
            return -1
        return math.ceil((now_s - self.targets.read_began_s) * _MILLI_PER_UNIT)

    def _apply_notices(self, peer: ProcessId, notices: list[TargetNotice], now_s: float) -> None:
        for notice in self.dispatcher.apply_notices(peer, notices, now_s):
            emit_notice_accepted(self.node.events, peer, notice)

    def _resolve(self, owner: str, request: str, answer: PeerMessage | None) -> bool:
        future = self._pending.pop((owner, request), None)
        if future is None or future.done():
            return False
        future.set_result(answer)
        return True

    def _deliver_decisions(self) -> None:
        now_s = read_clock_s()
        emit_link_changes(self.node.events, self.dispatcher.reach.drain_changes(), SCHEDULER)
        crashes = self.dispatcher.crashes
        emit_suspicion_changes(self.node.events, crashes.drain_changes(), SCHEDULER)
        emit_part_changes(self.node.events, crashes.parts.drain_changes(), SCHEDULER)
        self._part_sync.send_news(includes_single=False)
        for decision in self.dispatcher.drain_decisions():
            answer = decision.answer
            if isinstance(answer, Placed):
                answer = self._states.start(decision.owner, answer, now_s)
            was_pending = self._resolve(decision.owner, answer.request, answer)
            emit_decision(
                self.node.events,
                decision,
                SCHEDULER,
                self.follower.version,
                self.targets.version,
            )
            if isinstance(answer, Placed) and not was_pending:
                # The gateway no longer waits for the placement; frees its slot.
                self._states.abandon_placement(decision.owner, answer)
                self.dispatcher.abandon_placement(answer, now_s)

    def _merge_part_evidence(self, evidence: PartEvidence) -> None:
        self.dispatcher.merge_part_evidence(evidence, read_clock_s())
        self._deliver_decisions()

    # Gateways

    def _handle_attach(self, peer: ProcessId, heartbeat: AttachAsk, now_s: float) -> Attached:
        state = self._gateways.find(peer)
        is_known = state is not None and state.incarnation == heartbeat.incarnation
        if is_known and state is not None and heartbeat.attachment < state.attachment:
            # A delayed heartbeat from before the gateway last changed its scheduler.
            return self._make_attach_reply(peer, heartbeat, now_s)
        if state is not None and state.incarnation != heartbeat.incarnation:
            self._detach_gateway(peer, "restarted", now_s)
        if state is not None and state.is_attached and not heartbeat.is_attached:
            self._detach_gateway(peer, "attached to another scheduler", now_s)
        if heartbeat.is_attached and not self._gateways.count_attached():
            # The scheduler before may still count the same gateways.
            takeover_s = compute_takeover(self._get_heartbeat_period_s())
            self._hold_back_excess(takeover_s, "take-over", now_s)
        replied_s = self._gateways.find_replied_s(peer, heartbeat)
        self._gateways.record_heartbeat(peer, heartbeat, now_s)
        is_repeated = (
            is_known
            and state is not None
            and state.is_attached
            and state.attachment == heartbeat.attachment
        )
        if heartbeat.is_first and not is_repeated:
            self._import_gateway_state(peer, heartbeat, now_s)
        elif heartbeat.is_whole and replied_s > float("-inf"):
            # One that a link has held back does not answer the last reply.
            corrections = self._states.correct(peer, heartbeat, replied_s, now_s)
            self._correction_log.emit(peer, corrections)
            self._deliver_decisions()
        self._update_limit_share(now_s)
        reply = self._make_attach_reply(peer, heartbeat, now_s)
        asks_state = self._states.check(peer, heartbeat, replied_s, now_s)
        return msgspec.structs.replace(reply, asks_state=True) if asks_state else reply

    def _import_gateway_state(self, peer: ProcessId, heartbeat: AttachAsk, now_s: float) -> None:
        """Import the state that a newly attached gateway sends."""
        if self._gateways.count_attached() <= 1:
            # A standby reads its list rarely; the first gateway needs a current one.
            self._list_requested.set()
        self._update_rollouts(now_s)
        self.dispatcher.mark_leaving(heartbeat.leaving)
        corrections = self._states.correct(peer, heartbeat, float("-inf"), now_s)
        self._correction_log.emit_attached(peer, corrections)
        absent_s = self._gateways.get_absence_s(peer)
        source = name_decider(peer, heartbeat.incarnation)
        usage = withdraw_assumed(heartbeat.usage, source, absent_s)
        self._usage_log.emit_withdrawn(heartbeat.usage, usage, absent_s)
        self._merge_usage(usage, peer, now_s)
        self.dispatcher.merge_holds(heartbeat.holds)
        self.dispatcher.merge_speeds(heartbeat.speeds)
        self.dispatcher.crashes.merge(heartbeat.crashes, now_s)
        self.node.events.emit(
            "gateway_attached",
            peer=peer,
            running=len(heartbeat.running),
            speeds=len(heartbeat.speeds),
            usage_sources=len(heartbeat.usage),
            crashers=len(heartbeat.crashes),
            notices=len(heartbeat.notices),
            gateways=self._gateways.gateway_count,
        )

    def _merge_usage(self, usage: list[UsageSnapshot], source: str, now_s: float) -> None:
        """Count what other deciders counted, unless it is known."""
        changed = self.quotas.merge_usage(usage, now_s)
        self._usage_log.emit_merged(changed, source, now_s)

    async def _load_usage(self) -> None:
        """Learn from the keepers what was used before this process started."""
        loaded = await load_usage(self.node, self.follower, is_whole=True)
        now_s = read_clock_s()
        self._merge_usage(loaded.usage, "keepers", now_s)
        if not loaded.is_complete:
            counted_s = make_bounds(self.node.settings).counted_s
            self._hold_back_excess(counted_s, "keepers know too little", now_s)
        self._has_usage = True

    def _hold_back_excess(self, length_s: float, reason: str, now_s: float) -> None:
        self.quotas.hold_back_excess(now_s + length_s)
        self._usage_log.emit_held_back(length_s, reason)

    def _make_attach_reply(self, peer: ProcessId, heartbeat: AttachAsk, now_s: float) -> Attached:
        # A gateway uses the list of its own scheduler, or of any while it decides locally.
        # It ignores a standby's list, so that sending it would waste bandwidth: 1.7 MB/s at
        # each standby with 95 gateways and 1,001 targets.
        is_list_used = heartbeat.is_attached or (not heartbeat.asks and self._has_recent_list())
        list_update = (
            self.targets.make_update(heartbeat.targets_version, now_s)
            if self._has_list and is_list_used
            else TargetListUpdate()
        )
        crashes = self.dispatcher.crashes
        sends_crashes = heartbeat.is_attached and heartbeat.crashes_version != crashes.version
        most_used = self._gateways.find_most_used_scheduler()
        assigned = self._gateways.choose_peers(peer)
        has_peers = assigned.version != heartbeat.peers_version
        return Attached(
            incarnation=self.node.incarnation,
            period_s=self._get_heartbeat_period_s(),
            version=self.follower.version,
            gateways=self._gateways.gateway_count,
            attached=self._gateways.count_attached(),
            targets_version=self.targets.version,
            targets=list_update.targets,
            has_targets=list_update.has_targets,
            targets_base=list_update.base,
            gone=list_update.removed,
            is_ready=self.is_ready,
            ready_s=self._get_ready_time_s(now_s),
            most_asked=most_used.scheduler,
            most_asked_by=most_used.gateways,
            usage=self._list_usage(now_s) if heartbeat.is_attached else [],
            holds=self.dispatcher.list_holds() if heartbeat.is_attached else [],
            crashes=crashes.list_histories(now_s) if sends_crashes else [],
            crashes_version=crashes.version,
            number=self._gateways.number_reply(peer, now_s),
            has_peers=has_peers,
            peers=assigned.peers if has_peers else [],
        )

    def _has_recent_list(self) -> bool:
        """Return whether a gateway may decide locally by the list; if not, read it anew.

        An older one may name targets that have to get no more requests.
        """
        is_recent = self.targets.age_s <= _MAX_TOLD_LIST_AGE_S
        if not is_recent:
            self._list_requested.set()
        return is_recent

    def _get_heartbeat_period_s(self) -> float:
        """Return the seconds between two heartbeats of an attached gateway."""
        return max(_MIN_HEARTBEAT_PERIOD_S, _HEARTBEAT_PERIOD_PER_GATEWAY_S * len(self._gateways))

    def _get_ready_time_s(self, now_s: float) -> float:
        """Return the seconds since this process became ready, 0 if it is not ready."""
        if not self.is_ready:
            self._ready_since_s = now_s
        return now_s - self._ready_since_s

    @property
    def _usage_ttl_s(self) -> float:
        return max(_USAGE_TTL_S, _USAGE_TTL_PER_LIMIT_S * self.quotas.limit_count)

    def _list_usage(self, now_s: float) -> list[UsageSnapshot]:
        """Return the usage of the limits, cached across heartbeats."""
        computed_s, usage = self._cached_usage
        if now_s - computed_s > self._usage_ttl_s:
            usage = self.quotas.export_usage(now_s)
            self._cached_usage = (now_s, usage)
            return usage
        age_ms = int((now_s - computed_s) * _MILLI_PER_UNIT)
        return [msgspec.structs.replace(u, age_ms=u.age_ms + age_ms) for u in usage]

    def _detach_gateway(self, gateway: ProcessId, reason: str, now_s: float) -> None:
        self.node.events.emit("gateway_detached", peer=gateway, reason=reason)
        self._states.drop(gateway)
        self.dispatcher.drop_owner(gateway, now_s)
        for owner, request in [key for key in self._pending if key[0] == gateway]:
            self._resolve(owner, request, None)

    def _get_lease_s(self) -> float:
        return compute_lease(self._get_heartbeat_period_s())

    def _handle_ended_gateway(self) -> None:
        self._update_limit_share(read_clock_s())

    def _update_limit_share(self, now_s: float) -> None:
        """Apply the share of the limits for the gateways attached here."""
        lease_s = self._get_lease_s()
        limit_share = self._gateways.get_limit_share(now_s, lease_s)
        self._usage_log.emit_share(limit_share, now_s)
        share = limit_share.value
        # A gateway whose lease has ended got a reply before it.
        told_until_s = now_s - lease_s - self._get_heartbeat_period_s() - self._usage_ttl_s
        self.dispatcher.set_limit_share(share, told_until_s, now_s, limit_share.told_value)
        self.dispatcher.set_rate_limit_share(share, now_s)

    def _detach_silent(self, now_s: float) -> None:
        timeout_s = compute_gateway_timeout(self._get_heartbeat_period_s())
        for gateway, silent_s in self._gateways.detach_silent(now_s, timeout_s).items():
            self._detach_gateway(gateway, f"silent for {silent_s:.1f} s", now_s)
        self._update_limit_share(now_s)

    # Configuration and targets

    def _update_table(self, table: RouteTable) -> None:
        self.node.metrics.version.set(table.version)
        for workspace in table.configuration.workspaces:
            limit = (workspace.tokens_per_s, workspace.burst_tokens)
            if self._logged_limits.get(workspace.name) != limit:
                self._logged_limits[workspace.name] = limit
                self.node.events.emit(
                    "limit_in_force",
                    workspace=workspace.name,
                    tokens_per_s=limit[0],
                    burst_tokens=limit[1],
                    version=table.version,
                )
        now_s = read_clock_s()
        # Rollouts first: without them, all versions in the target list would be admitted.
        self._update_rollouts(now_s)
        self.dispatcher.update_table(table, now_s)

    def _update_rollouts(self, now_s: float) -> None:
        self.dispatcher.update_rollouts(self.follower.rollouts.make_view(now_s, may_sample=True))

    async def _run_list_reads(self) -> None:
        while True:
            try:
                if await self.targets.read():
                    self.node.events.emit(
                        "targets_changed",
                        count=len(self.targets.targets),
                        version=self.targets.version,
                    )
                    now_s = read_clock_s()
                    self._update_rollouts(now_s)
                    self.dispatcher.update_targets(self.targets.targets, now_s)
                    self._deliver_decisions()
                self.targets.emit_invalid_entries(self.node.events)
                self._has_list = True
                self.rollouts.report_versions(self.targets.targets)
            except TargetListError as error:
                age_s = self.targets.age_s
                self.node.events.emit("targets_unread", detail=str(error), age_s=age_s)
            is_busy = self._gateways.count_attached() > 0 or not self._has_list
            period_s = _LIST_PERIOD_S if is_busy else _STANDBY_LIST_PERIOD_S
            period_s *= 0.9 + 0.2 * self.node.random.random()
            await wait_for_request(self._list_requested, _MIN_LIST_PERIOD_S, period_s)

    async def _run_ticks(self) -> None:
        last_s = read_clock_s()
        while True:
            await asyncio.sleep(
                _TICK_PERIOD_S if self._gateways.count_attached() else _STANDBY_TICK_PERIOD_S
            )
            now_s = read_clock_s()
            if now_s - last_s > GATEWAY_TIMEOUT_S:
                # This process was stalled and could not receive heartbeats.
                self._gateways.reset_silence(now_s)
            last_s = now_s
            self._detach_silent(now_s)
            self._update_rollouts(now_s)
            self.dispatcher.tick(now_s)
            self._load_report.update(self.dispatcher, now_s)
            if self._gateways.count_attached():
                self._usage_sync.tell(self.quotas, self._list_usage)
                self._origin_sync.set_telling(is_telling=True)
                self._usage_log.emit_usage(self.quotas, now_s)
            self._log_slow_tick(read_clock_s() - now_s, now_s)
            self._deliver_decisions()

    def _log_slow_tick(self, duration_s: float, now_s: float) -> None:
        """Log a slow tick, at most once per log period."""
        if duration_s < _SLOW_TICK_S or now_s - self._slow_tick_logged_s < _SLOW_TICK_LOG_PERIOD_S:
            return
        self._slow_tick_logged_s = now_s
        self.node.events.emit(
            "tick_slow",
            took_ms=duration_s * _MILLI_PER_UNIT,
            waiting=self.dispatcher.count_waiting(),
        )
