"""Schedule the requests of one failure domain.

The scheduler is a state machine without I/O: it takes events with their time and returns the
messages to send to the entry processes. It holds the only queue of the domain, so a request is
shed only when no lower tier waits or runs on the targets that it could use.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.crashes.crashtracker import MAX_ISOLATED, CrashTracker, Suspicion
from troutstand.core.crashes.partevidence import PartEvidence, shift_times
from troutstand.core.crashes.partrecords import make_evidence, make_stored
from troutstand.core.domainisolation import (
    is_exclusive,
    list_ask_parts,
    list_crash_parts,
    list_isolation_targets,
    record_answer,
)
from troutstand.core.fairqueue import FairQueue, WaitingRequest
from troutstand.core.ids import RequestId
from troutstand.core.policy import Choice, Policy, PolicyName
from troutstand.core.prefix import Prefixes
from troutstand.core.retryjitter import MIN_RETRY_S
from troutstand.core.runningload import QueueKey
from troutstand.core.shedding import PREEMPT_MARGIN_S, Send, SheddingQueue, to_ms
from troutstand.core.targetestimate import Health
from troutstand.generated.messages import (
    Finished,
    Grant,
    PlacementAsk,
    RunningReport,
    Shed,
    Withdraw,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.crashes.partevidence import PartQuarantine
    from troutstand.core.ids import PartId
    from troutstand.core.targetestimate import Running, TargetEstimate
    from troutstand.generated.messages import TargetNotice, TargetNotices
    from troutstand.generated.table import Tier

_MS_PER_S = 1000
# Requests of one workspace that are tried before the next workspace.
MAX_SCANNED_REQUESTS = 4
# Prefill backlog up to which a target is granted another request.
MAX_BACKLOG_S = 0.02
# Delay of the first grant after a start, for the entry processes to report what runs.
REPORT_WAIT_S = 0.3


class Scheduler(SheddingQueue):
    """Schedule the requests of one failure domain.

    Parameters
    ----------
    failure_domain
        Failure domain whose targets are granted.
    waiting_limit
        Maximum number of waiting requests.
    seed
        Seed of the jitter on retry delays and of the policy.
    """

    def __init__(
        self,
        failure_domain: str,
        waiting_limit: int,
        seed: int,
        started_s: float,
        policy: PolicyName = PolicyName.EARLIEST_FINISH,
    ) -> None:
        super().__init__(failure_domain, seed)
        self.crashes = CrashTracker()
        self._waiting_limit = waiting_limit
        self._policy = Policy(policy, seed)
        self._started_s = started_s
        self._grants_from_s = started_s + REPORT_WAIT_S
        self._new_notices: list[TargetNotice] = []

    # Events

    def submit(self, process: str, ask: PlacementAsk, now_s: float) -> list[Send]:
        """Grant, queue or shed a request."""
        tier = self._tiers.get(ask.tier)
        if tier is None or RequestId(ask.request) in self._waiting:
            return []
        prefixes = Prefixes(ask.blocks, ask.block_tokens)
        waiting = self._make_waiting_request(process, ask, tier, prefixes, now_s)
        shed = self._check_admission(waiting, now_s)
        if shed:
            return [shed]
        self._enqueue(waiting)
        sends = self._shed_if_overloaded(waiting, now_s)
        return sends + self._place(now_s)

    def withdraw(self, withdraw: Withdraw, now_s: float) -> list[Send]:
        """Remove a waiting request whose caller disconnected."""
        waiting = self._waiting.get(RequestId(withdraw.request))
        if waiting:
            self._dequeue(waiting)
        return self._place(now_s)

    def finish(self, finished: Finished, now_s: float) -> list[Send]:
        """Release the slot of a granted request that ended."""
        target = self.targets.get(finished.target)
        run = target.finish(finished, now_s) if target else None
        if run:
            self._count_run(run, -1)
        sends = self._record_crash(finished, run, now_s)
        return sends + self._place(now_s)

    def _record_crash(self, finished: Finished, run: Running | None, now_s: float) -> list[Send]:
        """Record whether the target crashed; shed waiting requests that are now quarantined."""
        fingerprint, target = finished.fingerprint, finished.target
        if finished.ok and fingerprint:
            self.crashes.record_answer(fingerprint)
        if finished.ok and run is not None:
            record_answer(self.crashes.parts, run, finished)
        if finished.is_broken_off and fingerprint:
            run_s = finished.total_ms / _MS_PER_S
            self.crashes.record_broken(
                fingerprint,
                target,
                run.granted_s if run is not None else now_s - run_s,
                run_s,
                now_s,
                list_crash_parts(finished, run.ask.serves if run is not None else ""),
                run is not None and run.is_isolated,
            )
        if not finished.is_target_gone:
            return []
        self.crashes.record_target_gone(target, now_s)
        refused = [w for w in self._waiting.values() if self._is_quarantined(w.ask, now_s)]
        for waiting in refused:
            self._dequeue(waiting)
        return [self._shed_quarantined(waiting, now_s) for waiting in refused]

    def _is_quarantined(self, ask: PlacementAsk, now_s: float) -> bool:
        suspicion = self.crashes.get_suspicion(ask.fingerprint, now_s)
        return suspicion is Suspicion.QUARANTINED or self._find_quarantine(ask, now_s) is not None

    def _find_quarantine(self, ask: PlacementAsk, now_s: float) -> PartQuarantine | None:
        return self.crashes.parts.find_quarantine(list_ask_parts(ask), now_s)

    def apply_report(self, report: RunningReport, now_s: float) -> list[Send]:
        """Adopt the requests that an entry process runs on grants of an earlier scheduler."""
        for item in report.running:
            target = self.targets.get(item.target)
            if target is None or RequestId(item.ask.request) in target.running:
                continue
            run = target.create_run(
                item.ask, report.process, self._find_rank(item.ask), now_s, 0, 0.0
            )
            target.start(RequestId(item.ask.request), run, _get_prefixes(item.ask))
            self._count_run(run, 1)
        self.crashes.merge(report.crashes, now_s)
        if report.part_evidence is not None:
            evidence = make_evidence(report.part_evidence)
            self.crashes.parts.merge(shift_times(evidence, now_s, now_s))
        return self._apply_notices(report.notices, now_s)

    def apply_notices(self, notices: TargetNotices, now_s: float) -> list[Send]:
        """Apply the notices that targets sent to an entry process."""
        return self._apply_notices(notices.notices, now_s)

    def _apply_notices(self, notices: Iterable[TargetNotice], now_s: float) -> list[Send]:
        for notice in notices:
            target = self.targets.get(notice.target)
            if target is not None and target.apply_notice(notice, now_s):
                self._new_notices.append(notice)
        return self._place(now_s)

    def drain_new_notices(self) -> list[TargetNotice]:
        """Return and clear the notices that changed something, for the log."""
        notices, self._new_notices = self._new_notices, []
        return notices

    def drop_process(self, process: str, now_s: float) -> list[Send]:
        """Remove the requests of an entry process that died."""
        for waiting in [w for w in self._waiting.values() if w.process == process]:
            self._dequeue(waiting)
        for target in self.targets.values():
            lost = [key for key, run in target.running.items() if run.process == process]
            for key in lost:
                self._count_run(target.running.pop(key), -1)
        return self._place(now_s)

    def tick(self, now_s: float) -> list[Send]:
        """Place waiting requests, and shed those that can no longer start in time."""
        for target in self.targets.values():
            target.expire_leaving(now_s)
        sends = self._place(now_s)
        for waiting in sorted(self._waiting.values(), key=lambda item: item.rank):
            is_urgent = now_s >= waiting.latest_start_s - PREEMPT_MARGIN_S
            if is_urgent and waiting.request in self._waiting:
                sends += self._preempt_or_shed(waiting, now_s)
        return sends

    # Admission

    def _make_waiting_request(
        self, process: str, ask: PlacementAsk, tier: Tier, prefixes: Prefixes, now_s: float
    ) -> WaitingRequest:
        expected_s = self._estimate_run_s(ask)
        slack_s = min(tier.first_token_s, tier.deadline_s - expected_s)
        slack_s = min(max(slack_s, 0.0), ask.wait_ms / _MS_PER_S)
        return WaitingRequest(ask, process, tier.rank, prefixes, now_s, now_s + slack_s, expected_s)

    def _estimate_run_s(self, ask: PlacementAsk) -> float:
        pool = self._pools.get(ask.serves, [])
        if not pool:
            return 0.0
        fastest = max(pool, key=lambda target: target.decode_tokens_per_s)
        prefill_s = ask.prompt_tokens / fastest.prefill_tokens_per_s
        return prefill_s + fastest.estimate_decode_s(ask.answer_tokens)

    def _check_admission(self, waiting: WaitingRequest, now_s: float) -> Send | None:
        ask = waiting.ask
        if self._must_refuse_suspect(ask, now_s):
            return self._shed_quarantined(waiting, now_s)
        if not self._has_usable(ask):
            return self._shed(waiting, ResultCode.NO_TARGET, MIN_RETRY_S, "no usable target")
        backoff_s = self._measure_backoff(ask, now_s)
        if now_s + backoff_s > waiting.latest_start_s:
            return self._shed(
                waiting,
                ResultCode.TARGETS_RESTING,
                backoff_s,
                "all usable targets requested backoff",
            )
        use = self._workspaces.get(ask.workspace)
        if use is None:
            return None
        retry_s = use.charge(ask.prompt_tokens + ask.answer_tokens, now_s)
        if retry_s > 0:
            detail = f"workspace {ask.workspace} is over tokens_per_s={use.row.tokens_per_s}"
            return self._shed(waiting, ResultCode.WORKSPACE_LIMIT, retry_s, detail)
        return None

    def _must_refuse_suspect(self, ask: PlacementAsk, now_s: float) -> bool:
        """Tell whether a request must be refused because requests like it crashed targets.

        A suspect is isolated: a limited number of requests with its fingerprint are admitted
        at once.
        """
        if self._is_quarantined(ask, now_s):
            return True
        if self.crashes.get_suspicion(ask.fingerprint, now_s) is not Suspicion.ISOLATED:
            return False
        waiting = (item.ask.fingerprint for item in self._waiting.values())
        alike = [*waiting, *self._list_running_fingerprints()].count(ask.fingerprint)
        return alike >= MAX_ISOLATED

    def _list_running_fingerprints(self) -> list[str]:
        """Return the fingerprints of the running requests."""
        runs = (run for target in self.targets.values() for run in target.running.values())
        return [run.ask.fingerprint for run in runs]

    def _shed_quarantined(self, waiting: WaitingRequest, now_s: float) -> Send:
        found = self._find_quarantine(waiting.ask, now_s)
        if found is not None:
            quarantine = self.crashes.describe_part_quarantine(found, now_s)
            evidence = shift_times(PartEvidence(quarantines=(found,)), -now_s, 0.0)
        else:
            quarantine = self.crashes.describe_quarantine(waiting.ask.fingerprint, now_s)
            evidence = None
        shed = Shed(
            waiting.ask.request,
            int(ResultCode.REQUEST_QUARANTINED),
            to_ms(quarantine.wait_s),
            quarantine.reason,
            crashes=[quarantine.history] if quarantine.history is not None else [],
            part_evidence=make_stored(evidence) if evidence is not None else None,
        )
        return Send(waiting.process, shed)

    def _shed_if_overloaded(self, waiting: WaitingRequest, now_s: float) -> list[Send]:
        """Shed if the queue is full or the new request cannot start in time."""
        if len(self._waiting) > self._waiting_limit:
            return self._shed_lowest(waiting, ResultCode.QUEUE_FULL, now_s)
        wait_s = self._estimate_wait_s(waiting, now_s)
        if now_s + wait_s <= waiting.latest_start_s:
            return []
        return self._shed_lowest(waiting, ResultCode.SHED_DEADLINE, now_s)

    # Placement

    def _place(self, now_s: float) -> list[Send]:
        if now_s < self._grants_from_s or not self._waiting:
            return []
        sends: list[Send] = []
        for key in sorted(self._queues, key=lambda item: item.rank):
            sends += self._place_pool(key, now_s)
        return sends

    def _place_pool(self, key: QueueKey, now_s: float) -> list[Send]:
        queue = self._queues[key]
        pool = [target for target in self._pools.get(key.serves, []) if not target.is_leaving]
        sends: list[Send] = []
        while queue and any(target.count_free(now_s) for target in pool):
            grant = self._grant_next(queue, now_s)
            if grant is None:
                break
            sends.append(grant)
        return sends

    def _grant_next(self, queue: FairQueue, now_s: float) -> Send | None:
        for workspace in queue.order_workspaces():
            use = self._workspaces.get(workspace)
            if use and use.is_full():
                continue
            for waiting in queue.peek(workspace, MAX_SCANNED_REQUESTS):
                choice = self._choose(waiting, now_s)
                if choice:
                    weight = use.row.weight if use else 1.0
                    return self._grant(waiting, choice, weight, now_s)
        return None

    def _choose(self, waiting: WaitingRequest, now_s: float) -> Choice | None:
        """Choose a target with a free slot; return None while the best one is prefilling.

        A target gets one prefill at a time, so that further requests wait in this queue, where
        a higher tier can still overtake them.
        """
        free = [t for t in self._list_usable(waiting.ask) if self._can_take(t, now_s)]
        suspects = self._list_suspects(waiting.ask, now_s)
        if suspects:
            running = (run for t in self.targets.values() for run in t.running.values())
            free = list_isolation_targets(waiting, suspects, free, running, now_s)
        if self.crashes.get_suspicion(waiting.ask.fingerprint, now_s) is Suspicion.ISOLATED:
            free = self._list_isolation_targets(waiting.ask, free)
        if not free:
            return None
        choice = self._policy.choose(free, waiting.ask, waiting.prefixes, now_s)
        backlog_s = choice.target.estimate_prefill_s(0, now_s)
        return choice if backlog_s <= MAX_BACKLOG_S else None

    def _can_take(self, target: TargetEstimate, now_s: float) -> bool:
        is_exclusive_run = any(is_exclusive(run, now_s) for run in target.running.values())
        return target.count_free(now_s) > 0 and not is_exclusive_run

    def _list_suspects(self, ask: PlacementAsk, now_s: float) -> frozenset[PartId]:
        parts = self.crashes.parts
        return frozenset() if parts.is_idle else parts.list_suspects(list_ask_parts(ask), now_s)

    def _list_isolation_targets(
        self, ask: PlacementAsk, free: list[TargetEstimate]
    ) -> list[TargetEstimate]:
        """Return the targets where a crash can be attributed to a suspect request.

        A suspect runs on one target at a time.
        """
        if ask.fingerprint in self._list_running_fingerprints():
            return []
        return [
            target
            for target in free
            if target.health is Health.TRUSTED
            and self.crashes.may_run_isolated(
                run.ask.fingerprint for run in target.running.values()
            )
        ]

    def _grant(self, waiting: WaitingRequest, choice: Choice, weight: float, now_s: float) -> Send:
        self._queues[QueueKey(waiting.rank, waiting.ask.serves)].charge(waiting, weight)
        self._dequeue(waiting)
        target = choice.target
        expected_s = choice.finish_s - choice.wait_s
        run = target.create_run(
            waiting.ask,
            waiting.process,
            self._find_rank(waiting.ask),
            now_s,
            choice.uncached_tokens,
            expected_s,
        )
        run.suspects = self._list_suspects(waiting.ask, now_s)
        run.is_isolated = bool(run.suspects) and not target.running
        target.start(waiting.request, run, waiting.prefixes)
        self._count_run(run, 1)
        cached_tokens = waiting.ask.prompt_tokens - choice.uncached_tokens
        reason = f"finish_s={choice.finish_s:.3f} first_token_s={choice.first_token_s:.3f}"
        waited_ms = to_ms(now_s - waiting.submitted_s)
        grant = Grant(waiting.ask.request, target.row.name, waited_ms, cached_tokens, reason)
        return Send(waiting.process, grant)


def _get_prefixes(ask: PlacementAsk) -> Prefixes:
    return Prefixes(ask.blocks, ask.block_tokens)
