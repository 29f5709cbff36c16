"""Place, queue or refuse the requests of a site.

Keeps one queue per service over all reachable targets. The dispatcher does no I/O and reads no
clock: callers pass the time and drain the decisions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.crashes.crashtracker import CrashTracker, Suspicion
from troutstand.core.crashes.partcrashes import MAX_EXCLUSIVE_S
from troutstand.core.decision import Decision, PlacedInputs
from troutstand.core.limits.limitadmission import LimitAdmission
from troutstand.core.pool import Pool
from troutstand.core.reachability import Reachability
from troutstand.core.rollouts.admission import Admission
from troutstand.core.scheduling.options import LoadOptions
from troutstand.core.scheduling.serviceshares import DEFAULT_WEIGHT, UNSHARED
from troutstand.core.scheduling.waitingqueue import WaitingRequest
from troutstand.core.targetchoice import TargetChoice, filter_version, find_link
from troutstand.core.targetstate import RunningRequest, TargetState
from troutstand.generated.messages import Ending, Placed

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from troutstand.core.configuration import RouteTable
    from troutstand.core.crashes.partevidence import PartEvidence
    from troutstand.core.ids import PartId
    from troutstand.core.limits.quota import Quotas
    from troutstand.core.limits.retrybudget import RetryBudget
    from troutstand.core.scheduling.serviceshares import ShareTag
    from troutstand.core.streamorigins import StreamOrigins
    from troutstand.generated.messages import (
        Ended,
        FirstByte,
        ListedTarget,
        RoutedWork,
        Silence,
    )

# Waiting requests without a suitable target after which an event stops scanning the queue.
_MAX_SKIPPED = 8
# Waiting requests that a tick scans; each takes up to 0.07 ms with 15 open targets.
_MAX_SCANNED_PER_TICK = 64


class Dispatcher(LimitAdmission):
    """Schedule the requests of a site.

    Parameters
    ----------
    spread
        Random source that breaks near-ties between targets, so that independent dispatchers
        do not choose the same one; None takes the first.
    crashes
        Known suspects of crashing targets.
    options
        Overload policies.
    origins
        Remembers which version of the targets' software began each stream.
    """

    def __init__(
        self,
        quotas: Quotas,
        retries: RetryBudget,
        spread: random.Random | None = None,
        crashes: CrashTracker | None = None,
        options: LoadOptions | None = None,
        origins: StreamOrigins | None = None,
    ) -> None:
        options = options or LoadOptions()
        super().__init__(quotas, retries, crashes or CrashTracker(), options, spread)
        if origins is not None:
            self.origins = origins
        self._weights: dict[str, float] = {}
        self.reach = Reachability()
        self._choice = TargetChoice(self.reach, spread, self.crashes)

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(pool.waiting) for pool in self.pools.values())

    # Configuration and targets

    def update_table(self, table: RouteTable, now_s: float) -> None:
        """Apply a newer configuration."""
        workspaces = table.configuration.workspaces
        self.quotas.update_workspaces(workspaces, now_s)
        self.update_weights({w.name: w.weight for w in workspaces})
        self.update_services(table)

    def update_weights(self, weights: dict[str, float]) -> None:
        """Set the weights of workspaces for fair sharing."""
        self._weights = weights

    def update_targets(
        self, listed: Iterable[ListedTarget], now_s: float, is_from_peer: bool = False
    ) -> None:
        """Apply a newer list of targets and place waiting requests on it."""
        super().update_targets(listed, now_s, is_from_peer)
        for pool in self.pools.values():
            self._serve_queue(pool, now_s)

    def drop_owner(self, owner: str, now_s: float) -> None:
        """Remove all requests of a gateway that is gone or uses another scheduler."""
        for pool in self.pools.values():
            for waiting in pool.waiting.list_all():
                if waiting.owner == owner:
                    self._dequeue(pool, waiting.work.request, now_s)
            for state in pool.targets.values():
                for request in [r for r, run in state.running.items() if run.owner == owner]:
                    state.finish(request)
            self._serve_queue(pool, now_s)

    # Requests

    def place(self, work: RoutedWork, owner: str, now_s: float) -> None:
        """Place, queue or refuse a new request."""
        pool = self.pools.setdefault(work.service, Pool())
        if self._must_refuse_suspect(pool, work, now_s):
            self._decline_quarantined(work, owner, now_s)
            return
        if not self._admit(pool, work, owner, now_s):
            return
        if self._options.protects_tiers:
            pool.record_arrival(work, now_s)
        share = self._charge_share(pool, work)
        waiting = WaitingRequest(
            work,
            owner,
            now_s,
            now_s + work.remaining_s,
            share=share,
            promoted_slot_s=pool.promote(work, now_s) if self._options.protects_tiers else None,
        )
        pool.waiting.add(waiting)
        self._serve_arrival(pool, waiting, now_s)
        if work.request in pool.waiting:
            self._check_arrival(pool, waiting, now_s)

    def _charge_share(self, pool: Pool, work: RoutedWork) -> ShareTag:
        """Charge a request to its workspace; return UNSHARED if fair sharing is off."""
        if not self._options.shares_fairly:
            return UNSHARED
        weight = self._weights.get(work.workspace, DEFAULT_WEIGHT)
        return pool.shares.charge(
            work.tier, work.workspace, pool.estimate_typical_slot_time(work), weight
        )

    def abandon(self, request: str, now_s: float, running_at: Iterable[str] = ()) -> None:
        """Remove a request, waiting or running.

        Parameters
        ----------
        running_at
            Targets where earlier attempts of the request go on.
        """
        for pool in self.pools.values():
            self._dequeue(pool, request, now_s)
            for state in pool.targets.values():
                if state.listed.target in running_at:
                    continue
                run = state.finish(request)
                if run is not None:
                    # Its gateway did not get the placement, and has sent nothing.
                    self._refund_run(run, now_s)
                    self._serve_target(pool, state, now_s)

    def abandon_placement(self, placed: Placed, now_s: float) -> None:
        """Free the slot of a placement that its gateway did not get."""
        for pool in self.pools.values():
            state = pool.targets.get(placed.target)
            run = state.finish(placed.request) if state is not None else None
            if state is not None and run is not None:
                self._refund_run(run, now_s)
                self._serve_target(pool, state, now_s)

    def release(self, request: str, target: str, owner: str, now_s: float) -> None:
        """Free the slot of a request that its gateway does not run.

        Its charge stays, since it may have run.
        """
        for pool in self.pools.values():
            state = pool.targets.get(target)
            run = state.running.get(request) if state is not None else None
            if state is not None and run is not None and run.owner == owner:
                state.finish(request)
                self._serve_target(pool, state, now_s)

    def record_first_byte(self, first: FirstByte, now_s: float) -> None:
        """Record the first byte of an answer."""
        for pool in self.pools.values():
            state = pool.targets.get(first.target)
            run = state.running.get(first.request) if state else None
            if state is not None and run is not None and not run.has_first_byte:
                state.record_first_byte(run, now_s)
                self._record_origin(run.work, state, now_s)
                self.reach.record_reachable(find_link(run.work, state))
                if run.work.prompt_tokens and first.first_s >= 0.0:
                    state.record_prefill(run, first.first_s, pool.get_prefill_speed(state))
                    pool.invalidate_typical()
                state.add_cached_parts(run.work.model, run.work.parts)
                # Its prefill backlog has shrunk, so it may suit waiting requests now.
                self._serve_target(pool, state, now_s)

    def finish(self, ended: Ended, now_s: float) -> None:
        """Release the slot of a request and record how it ended."""
        revision = self.crashes.parts.revision
        self._record_crash(ended, now_s)
        for pool in self.pools.values():
            state = pool.targets.get(ended.target)
            if state is None:
                continue
            run = state.finish(ended.request)
            if run is not None:
                self._refund_ended(run, ended.ending, now_s)
                keeps_connection = ended.ending in (Ending.whole, Ending.failed)
                state.record_release(run.owner, keeps_connection, now_s)
                self._record_ending(pool, state, run, ended, now_s)
            self._serve_target(pool, state, now_s)
        if revision != self.crashes.parts.revision:
            self._apply_part_changes(now_s)

    def _apply_part_changes(self, now_s: float) -> None:
        """Refuse or place waiting requests after parts were quarantined or cleared."""
        self._refuse_waiting_quarantined(now_s)
        for pool in self.pools.values():
            self._serve_queue(pool, now_s)

    def merge_part_evidence(self, evidence: PartEvidence, now_s: float) -> None:
        """Merge what other processes know of parts that crash targets."""
        revision = self.crashes.parts.revision
        self.crashes.parts.merge(evidence)
        self.crashes.drop_explained()
        if revision != self.crashes.parts.revision:
            self._apply_part_changes(now_s)

    def mark_path_lost(self, request: str, target: str) -> None:
        """Record that the answer to a request cannot arrive, since its gateway's path is cut."""
        for pool in self.pools.values():
            state = pool.targets.get(target)
            run = state.running.get(request) if state is not None else None
            if run is not None:
                run.is_path_lost = True

    def record_silence(self, silence: Silence, now_s: float) -> None:
        """Record that a target is silent in the middle of an answer, or goes on after that.

        The request keeps its slot, since a sound target still works on it.
        """
        for pool in self.pools.values():
            state = pool.targets.get(silence.target)
            run = state.running.get(silence.request) if state is not None else None
            if state is None or run is None:
                continue
            link = find_link(run.work, state)
            if silence.is_over:
                run.is_silent = run.is_path_lost = False
                state.record_resumed(now_s)
                self.reach.record_reachable(link)
                self._serve_target(pool, state, now_s)
            elif not run.is_silent:
                run.is_silent = True
                state.record_loss(run, now_s)
                self.reach.record_unreachable(link, silence.target, now_s)

    def tick(self, now_s: float) -> None:
        """Process timeouts and place or shed waiting requests."""
        for pool in self.pools.values():
            self._isolation.clear_settled(pool, now_s)
            if self._options.protects_tiers:
                pool.update_tier_demand(now_s)
            pool.shares.prune_idle(now_s)
            for state in pool.targets.values():
                if now_s >= state.blocked_until_s or state.is_probing():
                    self._check_overdue(state, now_s)
            self._serve_section(pool, now_s)
            self._shed_waiting(pool, now_s)

    def _check_overdue(self, state: TargetState, now_s: float) -> None:
        """Record a loss at a target whose first byte is long overdue.

        If the gateway's path is at fault, the target has probably finished the request.
        """
        run = state.find_overdue(now_s)
        if run is not None and run.is_path_lost:
            state.finish(run.work.request)
        elif run is not None:
            state.record_loss(run, now_s)
            self.reach.record_unreachable(find_link(run.work, state), state.listed.target, now_s)

    def _record_ending(
        self, pool: Pool, state: TargetState, run: RunningRequest, ended: Ended, now_s: float
    ) -> None:
        if ended.is_path_lost:
            # Says nothing of the target, nor of the link between the failure domains.
            return
        if not run.is_silent:
            self.reach.record_ending(find_link(run.work, state), ended, now_s)
        if pool.canary.order is not None:
            typical = pool.estimate_typical_times(run)
            pool.canary.record_ended(run, ended, state.listed.version, typical, now_s)
        if ended.ending in (Ending.whole, Ending.failed):
            self.crashes.record_answer(run.work.fingerprint)
            state.report.record_answer(run.started_s)
        match ended.ending:
            case Ending.whole:
                state.record_success(now_s)
                self._isolation.record_answer(run)
                if ended.total_s < 0.0:
                    # The time is unknown because the gateway's host was suspended.
                    return
                pool.update_hold_time(ended.total_s)
                pool.headroom.record_slot_time(run.work.tier, ended.total_s, now_s)
                pool.shares.settle(run.work.tier, run.work.workspace, run.share, ended.total_s)
                pool.invalidate_typical()
                if run.work.prompt_tokens and ended.produced_events > 1:
                    decode_s = ended.total_s - max(0.0, ended.first_s)
                    state.token_s.add_sample(
                        decode_s / (ended.produced_events * pool.tokens_per_event)
                    )
                elif not run.work.prompt_tokens:
                    state.service_s.add_sample(ended.total_s)
            case Ending.failed:
                state.record_fault(now_s)
            case Ending.silent if run.is_silent:
                # The loss was recorded when the silence began.
                pass
            case Ending.broken | Ending.silent | Ending.unsent:
                state.record_loss(run, now_s)
            case Ending.turned_away:
                state.record_rejection(now_s)
                pool.suspects_until_s = max(
                    pool.suspects_until_s, now_s + state.report.backoff.suspect(now_s)
                )
            case Ending.left | Ending.kept_back:
                pass

    # Placement

    def _serve_arrival(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> None:
        """Place a new request if a target suits it and few requests rank before it.

        The other waiting requests are not scanned: nothing has changed for them.
        """
        if pool.waiting.count_placed_before(waiting) < _MAX_SKIPPED:
            self._serve(pool, [waiting], now_s, _MAX_SKIPPED)

    def _serve_queue(self, pool: Pool, now_s: float) -> None:
        """Place waiting requests in queue order, up to the scan limit of an event."""
        if pool.waiting:
            self._serve(pool, pool.waiting.list_placement_order(), now_s, _MAX_SKIPPED)

    def _serve_target(self, pool: Pool, state: TargetState, now_s: float) -> None:
        """Place waiting requests on a target whose state has changed.

        Other open targets are covered by their own events and by the ticks.
        """
        if not pool.waiting or not state.is_ready or not state.can_take(now_s):
            return
        ordered = pool.waiting.list_placement_order()
        open_ = [state] if state.is_open(now_s) else []
        match state.admission:
            case Admission.OPEN:
                self._serve_open(pool, ordered, open_, [], [], now_s, _MAX_SKIPPED)
            case Admission.CANARY:
                self._serve_open(pool, ordered, [], [state], open_, now_s, _MAX_SKIPPED)
            case Admission.RESUMED:
                self._serve_open(pool, ordered, [], [], open_, now_s, _MAX_SKIPPED)
            case Admission.CLOSED:
                pass

    def _serve_section(self, pool: Pool, now_s: float) -> None:
        """Place requests of the next section of the queue; bounds the cost of a tick."""
        first = pool.next_scan_index if pool.next_scan_index < len(pool.waiting) else 0
        pool.next_scan_index = first + _MAX_SCANNED_PER_TICK
        section = pool.waiting.list_placement_order(first, _MAX_SCANNED_PER_TICK)
        if section:
            self._serve(pool, section, now_s, len(section) + 1)

    def _serve(
        self, pool: Pool, ordered: list[WaitingRequest], now_s: float, max_skipped: int
    ) -> None:
        open_ = pool.list_open(now_s)
        canaries = pool.list_canaries(now_s)
        resuming = pool.list_resuming(now_s)
        if open_ or canaries or resuming or not self.crashes.parts.is_idle:
            self._serve_open(pool, ordered, open_, canaries, resuming, now_s, max_skipped)

    def _serve_open(
        self,
        pool: Pool,
        ordered: list[WaitingRequest],
        open_: list[TargetState],
        canaries: list[TargetState],
        resuming: list[TargetState],
        now_s: float,
        max_skipped: int,
    ) -> None:
        """Place waiting requests on the given targets, in order.

        Parameters
        ----------
        resuming
            Targets that take only streams that their version began.
        """
        busy = pool.summarize_busy(now_s)
        skipped = 0
        for waiting in ordered:
            if self._options.protects_tiers and pool.is_reserved_for_higher_tiers(waiting, now_s):
                if waiting.promoted_slot_s is None:
                    # No later request has a higher tier.
                    return
                self._cancel_promotion(pool, waiting, now_s)
                continue
            suspicion = self.crashes.get_suspicion(waiting.work.fingerprint, now_s)
            suspects = self._isolation.list_suspects(waiting.work, now_s)
            is_repeated = suspicion is Suspicion.ISOLATED
            version = waiting.work.software_version
            suitable = open_ if version is None else filter_version(version, open_, resuming)
            if version is not None and not suitable:
                # Only streams of this version wait for its targets.
                continue
            if suspects or is_repeated:
                suitable = self._list_isolation_targets(pool, waiting, suspects, is_repeated, now_s)
                if not suitable:
                    # Only this request waits for an isolated target.
                    continue
            canary = None
            if suspicion is Suspicion.NONE and not suspects and version is None:
                canary = self._choice.choose_canary(pool, waiting, canaries, now_s)
            if canary is not None:
                self._start(pool, canary, waiting, len(canaries), now_s)
                canaries.remove(canary)
                continue
            state = self._choice.choose(pool, waiting, suitable, now_s)
            if state is None or (
                version is None and pool.should_wait_for_busy(state, waiting, busy, now_s)
            ):
                skipped += 1
                if skipped >= max_skipped:
                    return
                continue
            run = self._start(pool, state, waiting, len(open_), now_s)
            if suspects or is_repeated:
                run.is_isolated, run.suspects = True, suspects
                run.is_conclusive = self._isolation.has_sound_targets(
                    pool, waiting.work.service, now_s
                )
                state.reserved_until_s = now_s + MAX_EXCLUSIVE_S
            if not state.is_open(now_s):
                for targets in (open_, canaries, resuming):
                    if state in targets:
                        targets.remove(state)
            if not open_ and not canaries and not resuming and self.crashes.parts.is_idle:
                return

    def _list_isolation_targets(
        self,
        pool: Pool,
        waiting: WaitingRequest,
        suspects: frozenset[PartId],
        is_repeated: bool,
        now_s: float,
    ) -> list[TargetState]:
        """Return the targets that may run a suspected request now."""
        targets = self._isolation.list_targets(pool, waiting, suspects, is_repeated, now_s)
        if not is_repeated:
            return targets
        return self._choice.list_isolation_targets(pool, waiting.work, targets, now_s)

    def _start(
        self,
        pool: Pool,
        state: TargetState,
        waiting: WaitingRequest,
        open_targets: int,
        now_s: float,
    ) -> RunningRequest:
        work = waiting.work
        pool.waiting.pop(work.request)
        pool.shares.advance_virtual_time(work.tier, waiting.share)
        if waiting.promoted_slot_s is None:
            # A promoted request has been counted on arrival.
            pool.tier_service.record_placed(work.tier, now_s)
        expected_s = pool.estimate_first_byte(state, work)
        uncached = state.count_uncached(work)
        ahead = state.backlog_tokens
        inputs = PlacedInputs(
            expected_first_s=expected_s,
            running=len(state.running),
            uncached_tokens=uncached,
            last_response_age_s=now_s - state.last_response_s,
            open_targets=open_targets,
            workspace=work.workspace,
            charge=work.charge,
            fingerprint=work.fingerprint,
            token_s=pool.get_token_time(state),
            limit_per_s=state.report.limit_per_s,
            tier=work.tier,
            is_late=waiting.is_late,
            is_promoted=waiting.promoted_slot_s is not None,
        )
        run = RunningRequest(
            work,
            waiting.owner,
            now_s,
            uncached,
            expected_s,
            ahead,
            charge=self._charge_run(work, now_s),
            share=waiting.share,
            is_promoted=inputs.is_promoted,
        )
        state.start(run)
        state.report.record_sent(now_s)
        state.record_connection(waiting.owner, now_s)
        self.reach.record_sent(find_link(work, state), now_s)
        if work.attempt == 1:
            is_sampled = pool.canary.is_canary(state.listed.version)
            pool.canary.record_placed(work.route, state.listed.target, is_sampled)
        placed = Placed(
            work.request,
            state.listed.target,
            state.listed.address,
            1000.0 * (now_s - waiting.arrived_s),
            uncached + ahead,
            born_ms=state.listed.born_ms,
            software_version=state.listed.version,
        )
        self._decisions.append(Decision(waiting.owner, placed, inputs))
        return run
