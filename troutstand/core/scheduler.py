"""Decide for one failure domain which target takes each request, when, or never.

The scheduler is a state machine: events and the time go in, messages for the
entry processes come out. It holds the domain's only queue, so that a request
is shed only when no lower tier waits or runs on the targets it could use.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.crashes import MAX_ALIKE, Blame, CrashBook
from troutstand.core.estimate import Health
from troutstand.core.fairqueue import FairQueue, WaitingRequest
from troutstand.core.ids import RequestId
from troutstand.core.load import PoolKey
from troutstand.core.policy import Choice, Policy, PolicyName
from troutstand.core.prefix import Prefixes
from troutstand.core.retry import MIN_RETRY_S
from troutstand.core.shedding import PREEMPT_MARGIN_S, Send, SheddingQueue, to_ms
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

    from troutstand.core.estimate import TargetEstimate
    from troutstand.generated.messages import TargetNotice, TargetNotices
    from troutstand.generated.table import Tier

_MILLISECONDS = 1000
# Requests of one workspace that are tried for a free target before the next
# workspace has its turn.
SCAN_REQUESTS = 4
# A target may have this much prefill before it when it is granted another.
MAX_BACKLOG_S = 0.02
# After a new scheduler starts, it waits this long for the entry processes'
# reports of what runs before it grants.
REPORT_WAIT_S = 0.3


class Scheduler(SheddingQueue):
    """Hold the queue and the targets of one failure domain.

    Parameters
    ----------
    failure_domain
        Whose targets are granted.
    waiting_limit
        Requests that may wait at once.
    seed
        Spreads the times at which refused callers come back.
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
        self.crashes = CrashBook()
        self._waiting_limit = waiting_limit
        self._policy = Policy(policy, seed)
        self._grants_from_s = started_s + REPORT_WAIT_S
        self._news: list[TargetNotice] = []

    # Events

    def submit(self, process: str, ask: PlacementAsk, now_s: float) -> list[Send]:
        """Take a request: grant, queue or shed it."""
        tier = self._tiers.get(ask.tier)
        if tier is None or RequestId(ask.request) in self._waiting:
            return []
        prefixes = Prefixes(ask.blocks, ask.block_tokens)
        waiting = self._make_waiting(process, ask, tier, prefixes, now_s)
        refusal = self._check_admission(waiting, now_s)
        if refusal:
            return [refusal]
        self._enqueue(waiting)
        sends = self._make_room(waiting, now_s)
        return sends + self._place(now_s)

    def withdraw(self, withdraw: Withdraw, now_s: float) -> list[Send]:
        """Forget a waiting request whose caller has gone."""
        waiting = self._waiting.get(RequestId(withdraw.request))
        if waiting:
            self._dequeue(waiting)
        return self._place(now_s)

    def finish(self, finished: Finished, now_s: float) -> list[Send]:
        """Take the end of a granted request."""
        target = self.targets.get(finished.target)
        run = target.finish(finished, now_s) if target else None
        if run:
            self._note_run(run, -1)
        sends = self._note_crash(finished, now_s)
        return sends + self._place(now_s)

    def _note_crash(self, finished: Finished, now_s: float) -> list[Send]:
        """Learn whether a target ended under a request; shed those alike that wait."""
        fingerprint, target = finished.fingerprint, finished.target
        if finished.ok and fingerprint:
            self.crashes.note_survived(fingerprint)
        if finished.is_broken_off and fingerprint:
            run_s = finished.total_ms / _MILLISECONDS
            self.crashes.note_broken(fingerprint, target, run_s, now_s)
        if not finished.is_target_gone:
            return []
        self.crashes.note_gone(target, now_s)
        refused = [
            waiting
            for waiting in self._waiting.values()
            if self.crashes.judge(waiting.ask.fingerprint, now_s) is Blame.QUARANTINED
        ]
        for waiting in refused:
            self._dequeue(waiting)
        return [self._quarantine(waiting, now_s) for waiting in refused]

    def apply_report(self, report: RunningReport, now_s: float) -> list[Send]:
        """Take over what an entry process runs by an earlier scheduler's grants."""
        for item in report.running:
            target = self.targets.get(item.target)
            if target is None or RequestId(item.ask.request) in target.running:
                continue
            run = target.describe_run(
                item.ask, report.process, self._find_rank(item.ask), now_s, 0, 0.0
            )
            target.start(RequestId(item.ask.request), run, _get_prefixes(item.ask))
            self._note_run(run, 1)
        self.crashes.inherit(report.crashes, now_s)
        return self._take_notices(report.notices, now_s)

    def apply_notices(self, notices: TargetNotices, now_s: float) -> list[Send]:
        """Take what targets said of themselves to an entry process."""
        return self._take_notices(notices.notices, now_s)

    def _take_notices(self, notices: Iterable[TargetNotice], now_s: float) -> list[Send]:
        for notice in notices:
            target = self.targets.get(notice.target)
            if target is not None and target.take_notice(notice, now_s):
                self._news.append(notice)
        return self._place(now_s)

    def drain_new_notices(self) -> list[TargetNotice]:
        """Return what targets said that is news since the last call, for the log."""
        news, self._news = self._news, []
        return news

    def drop_process(self, process: str, now_s: float) -> list[Send]:
        """Forget the requests of an entry process that died."""
        for waiting in [w for w in self._waiting.values() if w.process == process]:
            self._dequeue(waiting)
        for target in self.targets.values():
            lost = [key for key, run in target.running.items() if run.process == process]
            for key in lost:
                self._note_run(target.running.pop(key), -1)
        return self._place(now_s)

    def tick(self, now_s: float) -> list[Send]:
        """Place what became placeable and shed what can no longer start in time."""
        for target in self.targets.values():
            target.recheck_leaving(now_s)
        sends = self._place(now_s)
        for waiting in sorted(self._waiting.values(), key=lambda item: item.rank):
            is_pressed = now_s >= waiting.latest_start_s - PREEMPT_MARGIN_S
            if is_pressed and waiting.request in self._waiting:
                sends += self._press(waiting, now_s)
        return sends

    # Admission

    def _make_waiting(
        self, process: str, ask: PlacementAsk, tier: Tier, prefixes: Prefixes, now_s: float
    ) -> WaitingRequest:
        expected_s = self._expect_run_s(ask)
        patience_s = min(tier.first_token_s, tier.deadline_s - expected_s)
        patience_s = min(max(patience_s, 0.0), ask.wait_ms / _MILLISECONDS)
        return WaitingRequest(
            ask, process, tier.rank, prefixes, now_s, now_s + patience_s, expected_s
        )

    def _expect_run_s(self, ask: PlacementAsk) -> float:
        pool = self._pools.get(ask.serves, [])
        if not pool:
            return 0.0
        fastest = max(pool, key=lambda target: target.decode_tokens_per_s)
        prefill_s = ask.prompt_tokens / fastest.prefill_tokens_per_s
        return prefill_s + fastest.estimate_decode_s(ask.answer_tokens)

    def _check_admission(self, waiting: WaitingRequest, now_s: float) -> Send | None:
        ask = waiting.ask
        if self._is_kept_back(ask, now_s):
            return self._quarantine(waiting, now_s)
        if not self._has_usable(ask):
            return self._shed(waiting, ResultCode.NO_TARGET, MIN_RETRY_S, "no live target")
        rest_s = self._measure_rest(ask, now_s)
        if now_s + rest_s > waiting.latest_start_s:
            return self._shed(waiting, ResultCode.TARGETS_RESTING, rest_s, "all targets rest")
        use = self._workspaces.get(ask.workspace)
        if use is None:
            return None
        retry_s = use.charge(ask.prompt_tokens + ask.answer_tokens, now_s)
        if retry_s > 0:
            detail = f"workspace {ask.workspace} is over tokens_per_s={use.row.tokens_per_s}"
            return self._shed(waiting, ResultCode.WORKSPACE_LIMIT, retry_s, detail)
        return None

    def _is_kept_back(self, ask: PlacementAsk, now_s: float) -> bool:
        """Tell whether a request is refused for the targets that ended under others like it.

        Each time that it comes it would take as many targets with it as it has tries: 5 of 5
        engines ended under 8 calls of one prompt, and 3 with this (`domaincrashes.feature`).
        """
        match self.crashes.judge(ask.fingerprint, now_s):
            case Blame.QUARANTINED:
                return True
            case Blame.ON_TRIAL:
                waiting = (item.ask.fingerprint for item in self._waiting.values())
                alike = [*waiting, *self._list_running()].count(ask.fingerprint)
                return alike >= MAX_ALIKE
            case _:
                return False

    def _list_running(self) -> list[str]:
        """Return the fingerprints of what runs."""
        runs = (run for target in self.targets.values() for run in target.running.values())
        return [run.ask.fingerprint for run in runs]

    def _quarantine(self, waiting: WaitingRequest, now_s: float) -> Send:
        quarantine = self.crashes.explain(waiting.ask.fingerprint, now_s)
        shed = Shed(
            waiting.ask.request,
            int(ResultCode.REQUEST_QUARANTINED),
            to_ms(quarantine.wait_s),
            quarantine.reason,
            crashes=[quarantine.history],
        )
        return Send(waiting.process, shed)

    def _make_room(self, waiting: WaitingRequest, now_s: float) -> list[Send]:
        """Shed where the queue is full or the newcomer cannot start in time."""
        if len(self._waiting) > self._waiting_limit:
            return self._shed_lowest(waiting, ResultCode.QUEUE_FULL, now_s)
        wait_s = self._estimate_wait_s(waiting, now_s)
        if now_s + wait_s <= waiting.latest_start_s:
            return []
        return self._shed_lowest(waiting, ResultCode.SHED_DEADLINE, now_s)

    # Placing

    def _place(self, now_s: float) -> list[Send]:
        if now_s < self._grants_from_s or not self._waiting:
            return []
        sends: list[Send] = []
        for key in sorted(self._queues, key=lambda item: item.rank):
            sends += self._place_pool(key, now_s)
        return sends

    def _place_pool(self, key: PoolKey, now_s: float) -> list[Send]:
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
            for waiting in queue.peek(workspace, SCAN_REQUESTS):
                choice = self._choose(waiting, now_s)
                if choice:
                    weight = use.row.weight if use else 1.0
                    return self._grant(waiting, choice, weight, now_s)
        return None

    def _choose(self, waiting: WaitingRequest, now_s: float) -> Choice | None:
        """Choose among the targets with a free slot; None while the best still prefills.

        A target is given one prefill at a time, so that what waits for it waits
        here, where the next higher tier still comes first.
        """
        free = [t for t in self._list_usable(waiting.ask) if t.count_free(now_s) > 0]
        if self.crashes.judge(waiting.ask.fingerprint, now_s) is Blame.ON_TRIAL:
            free = self._list_trial(waiting.ask, free)
        if not free:
            return None
        choice = self._policy.choose(free, waiting.ask, waiting.prefixes, now_s)
        backlog_s = choice.target.estimate_prefill_s(0, now_s)
        return choice if backlog_s <= MAX_BACKLOG_S else None

    def _list_trial(self, ask: PlacementAsk, free: list[TargetEstimate]) -> list[TargetEstimate]:
        """Return the targets whose end would tell of a request on trial, one at a time."""
        if ask.fingerprint in self._list_running():
            return []
        return [
            target
            for target in free
            if target.health is Health.TRUSTED
            and self.crashes.suits_trial(run.ask.fingerprint for run in target.running.values())
        ]

    def _grant(self, waiting: WaitingRequest, choice: Choice, weight: float, now_s: float) -> Send:
        self._queues[PoolKey(waiting.rank, waiting.ask.serves)].charge(waiting, weight)
        self._dequeue(waiting)
        target = choice.target
        expected_s = choice.finish_s - choice.wait_s
        run = target.describe_run(
            waiting.ask,
            waiting.process,
            self._find_rank(waiting.ask),
            now_s,
            choice.uncached_tokens,
            expected_s,
        )
        target.start(waiting.request, run, waiting.prefixes)
        self._note_run(run, 1)
        cached = waiting.ask.prompt_tokens - choice.uncached_tokens
        reason = f"finish_s={choice.finish_s:.3f} first_token_s={choice.first_token_s:.3f}"
        waited_ms = to_ms(now_s - waiting.submitted_s)
        grant = Grant(waiting.ask.request, target.row.name, waited_ms, cached, reason)
        return Send(waiting.process, grant)


def _get_prefixes(ask: PlacementAsk) -> Prefixes:
    return Prefixes(ask.blocks, ask.block_tokens)
