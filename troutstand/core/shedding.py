"""Queue the requests of a failure domain and shed the lowest tier first."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.domainview import DomainView
from troutstand.core.fairqueue import FairQueue, WaitingRequest
from troutstand.core.ids import RequestId
from troutstand.core.retryjitter import RetryJitter
from troutstand.core.runningload import QueueKey, TierCount
from troutstand.generated.messages import Grant, Preempt, Shed

if TYPE_CHECKING:
    from troutstand.core.targetestimate import Running, TargetEstimate

_MS_PER_S = 1000
# A waiting request may preempt a lower tier from this long before its latest start.
PREEMPT_MARGIN_S = 0.25


@dataclass(frozen=True)
class Send:
    """Carry a message to send to an entry process."""

    process: str
    message: Grant | Shed | Preempt


class SheddingQueue(DomainView):
    """Hold the requests that wait in one failure domain.

    Parameters
    ----------
    seed
        Seed of the jitter on retry delays.
    """

    def __init__(self, failure_domain: str, seed: int) -> None:
        super().__init__(failure_domain)
        self.inversions = 0
        self._queues: dict[QueueKey, FairQueue] = {}
        self._waiting: dict[RequestId, WaitingRequest] = {}
        self._retry = RetryJitter(seed)

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def count_tiers(self) -> list[TierCount]:
        """Count the waiting and running requests of each tier."""
        waiting = Counter(item.ask.tier for item in self._waiting.values())
        running = Counter(
            run.ask.tier for target in self.targets.values() for run in target.running.values()
        )
        return [TierCount(name, waiting[name], running[name]) for name in self._tiers]

    def is_waiting(self, request: str) -> bool:
        """Tell whether a request waits here."""
        return RequestId(request) in self._waiting

    def _enqueue(self, waiting: WaitingRequest) -> None:
        key = QueueKey(waiting.rank, waiting.ask.serves)
        self._queues.setdefault(key, FairQueue()).push(waiting)
        self._waiting[waiting.request] = waiting

    def _dequeue(self, waiting: WaitingRequest) -> None:
        self._queues[QueueKey(waiting.rank, waiting.ask.serves)].remove(waiting)
        del self._waiting[waiting.request]

    def _estimate_wait_s(self, waiting: WaitingRequest, now_s: float) -> float:
        """Estimate the wait behind all requests of the same or a higher tier."""
        pool = self._pools.get(waiting.ask.serves, [])
        ahead = self._list_queues_ahead(waiting)
        free = sum(target.count_free(now_s) for target in pool)
        if sum(len(queue) for queue in ahead) <= free:
            return 0.0
        work_s = sum(queue.expected_s for queue in ahead)
        work_s += self._load.estimate_remaining_s(waiting.ask.serves, waiting.rank, now_s)
        wait_s = work_s / max(1, _count_unlimited_slots(pool))
        return max(wait_s, self._estimate_limit_wait_s(waiting, now_s))

    def _list_queues_ahead(self, waiting: WaitingRequest) -> list[FairQueue]:
        """Return the queues for the same model or service of the same or a higher tier."""
        return [
            queue
            for key, queue in self._queues.items()
            if key.rank <= waiting.rank and key.serves == waiting.ask.serves
        ]

    def _estimate_limit_wait_s(self, waiting: WaitingRequest, now_s: float) -> float:
        """Estimate the wait for rate limits; 0 unless all usable targets announce one."""
        if not self._is_rate_limited(waiting.ask):
            return 0.0
        usable = self._list_usable(waiting.ask)
        free = sum(target.count_free(now_s) for target in usable)
        excess = sum(len(queue) for queue in self._list_queues_ahead(waiting)) - free
        return max(0, excess) / sum(target.report.rate_per_s for target in usable)

    # Shedding

    def _shed_lowest(self, waiting: WaitingRequest, code: ResultCode, now_s: float) -> list[Send]:
        """Preempt a running request of a lower tier; shed only if there is none.

        Waiting requests of lower tiers are shed before this one, the lowest tier first. Shedding
        them while even lower tiers run would invert the priorities.
        """
        run = self._find_preemptible(waiting, now_s)
        if run:
            return [self._preempt(run, now_s)]
        if code is ResultCode.SHED_DEADLINE and self._is_rate_limited(waiting.ask):
            code = ResultCode.TARGETS_LIMITED
        lower = sorted(self._list_lower_waiting(waiting), key=lambda item: -item.rank)
        if code is ResultCode.QUEUE_FULL and lower:
            return [self._shed_queued(lower[0], ResultCode.SHED_OVERLOAD, now_s)]
        if self._list_lower_running(waiting, now_s):
            self.inversions += 1
        sends = [self._shed_queued(item, ResultCode.SHED_OVERLOAD, now_s) for item in lower]
        return [*sends, self._shed_queued(waiting, code, now_s)]

    def _list_lower_waiting(self, waiting: WaitingRequest) -> list[WaitingRequest]:
        if all(key.rank <= waiting.rank for key, queue in self._queues.items() if queue):
            return []
        usable = {target.row.name for target in self._list_usable(waiting.ask)}
        return [
            item
            for item in self._waiting.values()
            if item.rank > waiting.rank
            and any(target.row.name in usable for target in self._list_usable(item.ask))
        ]

    def _list_lower_running(self, waiting: WaitingRequest, now_s: float) -> list[Running]:
        """Return the running requests of lower tiers whose slot this request could take.

        Targets whose rate limit is exhausted are skipped: their slots could not be reused.
        """
        return [
            run
            for target in self._list_usable(waiting.ask)
            if target.report.may_send(now_s)
            for run in target.running.values()
            if run.rank > waiting.rank and not run.preempted
        ]

    def _find_preemptible(self, waiting: WaitingRequest, now_s: float) -> Running | None:
        found = self._list_lower_running(waiting, now_s)
        lower = [run for run in found if self.targets[run.target].row.cancels]
        return max(lower, key=lambda run: (run.rank, run.granted_s), default=None)

    def _preempt(self, run: Running, now_s: float) -> Send:
        run.preempted = True
        retry_s = self._retry.add_jitter_s(run.expected_s)
        return Send(run.process, Preempt(run.ask.request, to_ms(retry_s)))

    def _preempt_or_shed(self, waiting: WaitingRequest, now_s: float) -> list[Send]:
        if now_s >= waiting.latest_start_s:
            return self._shed_lowest(waiting, self._get_expiry_code(waiting), now_s)
        run = self._find_preemptible(waiting, now_s)
        pending = any(
            other.preempted
            for target in self._list_usable(waiting.ask)
            for other in target.running.values()
        )
        if run is None or pending:
            return []
        return [self._preempt(run, now_s)]

    def _get_expiry_code(self, waiting: WaitingRequest) -> ResultCode:
        use = self._workspaces.get(waiting.ask.workspace)
        if use and use.is_full():
            return ResultCode.WORKSPACE_LIMIT
        return ResultCode.SHED_DEADLINE

    def _shed_queued(self, waiting: WaitingRequest, code: ResultCode, now_s: float) -> Send:
        limit_s = self._estimate_limit_wait_s(waiting, now_s)
        self._dequeue(waiting)
        retry_s = max(limit_s, self._estimate_wait_s(waiting, now_s))
        waited_ms = to_ms(now_s - waiting.submitted_s)
        return self._shed(waiting, code, retry_s, f"tier={waiting.ask.tier} waited_ms={waited_ms}")

    def _shed(self, waiting: WaitingRequest, code: ResultCode, retry_s: float, detail: str) -> Send:
        retry_ms = to_ms(self._retry.add_jitter_s(retry_s))
        return Send(waiting.process, Shed(waiting.ask.request, int(code), retry_ms, detail))


def _count_unlimited_slots(pool: list[TargetEstimate]) -> int:
    """Return the slots of targets without a rate limit, or all slots if every target has one.

    Slots of rate-limited targets do not turn over with each request and would make the
    estimated wait too short.
    """
    unlimited = sum(target.row.slots for target in pool if target.report.rate_limiter is None)
    return unlimited or sum(target.row.slots for target in pool)


def to_ms(seconds: float) -> int:
    """Convert seconds to whole milliseconds, at least 0."""
    return max(0, int(seconds * _MS_PER_S))
