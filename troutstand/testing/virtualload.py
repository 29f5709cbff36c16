"""Simulate callers against dispatchers and targets of fixed speed, on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.dispatch import Dispatcher
from troutstand.core.limits.quota import QuotaBounds, Quotas
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.generated.messages import (
    Declined,
    Ended,
    Ending,
    FirstByte,
    ListedState,
    ListedTarget,
    Placed,
    RoutedWork,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.scheduling.options import LoadOptions

_SERVICE = "work"
_TICK_S = 0.05
_RETRY_BUDGET = (0.2, 50.0, 10.0)
_FIRST_BYTE_SHARE = 0.1
_MAX_FIRST_BYTE_S = 0.02


@dataclass(frozen=True)
class Job:
    """Describe one caller's request; times in seconds.

    Parameters
    ----------
    slot_time_s
        How long the request occupies its slot.
    max_retries
        How often the caller retries after a refusal.
    honors_retry_after
        Whether retries wait for `retry_after_s` or are sent at once.
    """

    at_s: float
    workspace: str
    tier: int
    slot_time_s: float
    objective_s: float
    deadline_s: float
    max_retries: int = 0
    honors_retry_after: bool = False
    silence_s: float = 0.0


@dataclass
class JobOutcome:
    """Hold the outcome of a request; times in seconds from its caller's first attempt."""

    job: Job
    first_s: float | None = None
    refusals: list[Declined] = field(default_factory=list)
    refused_s: list[float] = field(default_factory=list)

    @property
    def is_served(self) -> bool:
        """Return whether the request got a first byte."""
        return self.first_s is not None

    @property
    def is_in_time(self) -> bool:
        """Return whether the first byte met the objective."""
        return self.first_s is not None and self.first_s <= self.job.objective_s


@dataclass
class _Target:
    """Run up to `slots` requests at a time; the others wait in order of arrival."""

    slots: int
    running: int = 0
    queue: deque[Callable[[float], None]] = field(default_factory=deque)


class VirtualLoad:
    """Simulate jobs against targets that each run `slots` requests at a time.

    Parameters
    ----------
    deciders
        Number of dispatchers that place on the same targets without knowing of each other;
        jobs are spread over them in turn.
    """

    def __init__(
        self,
        targets: int,
        slots: int,
        options: LoadOptions,
        weights: dict[str, float] | None = None,
        deciders: int = 1,
    ) -> None:
        self._dispatchers = [
            Dispatcher(Quotas(QuotaBounds()), RetryBudget(*_RETRY_BUDGET), options=options)
            for _ in range(deciders)
        ]
        listed = [
            ListedTarget(f"t{n}", _SERVICE, f"127.0.0.1:{n + 1}", "north", slots, ListedState.ready)
            for n in range(targets)
        ]
        for dispatcher in self._dispatchers:
            dispatcher.update_weights(weights or {})
            dispatcher.update_targets(listed, 0.0)
        self._targets = {target.target: _Target(slots) for target in listed}
        self.outcomes: list[JobOutcome] = []
        self._pending: dict[str, JobOutcome] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def play(self, jobs: list[Job]) -> list[JobOutcome]:
        """Simulate all jobs and return their outcomes in order."""
        for job, dispatcher in zip(jobs, itertools.cycle(self._dispatchers), strict=False):
            outcome = JobOutcome(job)
            self.outcomes.append(outcome)
            self._schedule(
                job.at_s, lambda now_s, o=outcome, d=dispatcher: self._submit(d, o, now_s)
            )
        end_s = max(job.at_s + job.deadline_s for job in jobs)
        for step in range(1, int(end_s / _TICK_S)):
            self._schedule(step * _TICK_S, self._tick)
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)
            for dispatcher in self._dispatchers:
                self._apply_decisions(dispatcher, now_s)
        return self.outcomes

    def _tick(self, now_s: float) -> None:
        for dispatcher in self._dispatchers:
            dispatcher.tick(now_s)

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _submit(self, dispatcher: Dispatcher, outcome: JobOutcome, now_s: float) -> None:
        job = outcome.job
        request = f"r{next(self._numbers)}"
        self._pending[request] = outcome
        work = RoutedWork(
            request=request,
            service=_SERVICE,
            workspace=job.workspace,
            tier=job.tier,
            objective_s=job.objective_s,
            remaining_s=job.at_s + job.deadline_s - now_s,
            silence_s=job.silence_s,
        )
        dispatcher.place(work, "gateway", now_s)

    def _apply_decisions(self, dispatcher: Dispatcher, now_s: float) -> None:
        for decision in dispatcher.drain_decisions():
            answer = decision.answer
            outcome = self._pending.pop(answer.request)
            match answer:
                case Placed():
                    self._send(dispatcher, answer, outcome, now_s)
                case Declined():
                    self._decline(dispatcher, answer, outcome, now_s)

    def _send(
        self, dispatcher: Dispatcher, placed: Placed, outcome: JobOutcome, now_s: float
    ) -> None:
        """Run a request, or queue it at its target if another dispatcher took the slot."""
        target = self._targets[placed.target]
        target.queue.append(
            lambda at_s: self._run(dispatcher, placed, outcome, at_s, queued_s=at_s - now_s)
        )
        self._start_next(target, now_s)

    def _start_next(self, target: _Target, now_s: float) -> None:
        if target.queue and target.running < target.slots:
            target.running += 1
            target.queue.popleft()(now_s)

    def _run(
        self,
        dispatcher: Dispatcher,
        placed: Placed,
        outcome: JobOutcome,
        now_s: float,
        queued_s: float,
    ) -> None:
        job = outcome.job
        unqueued_s = min(_MAX_FIRST_BYTE_S, _FIRST_BYTE_SHARE * job.slot_time_s)
        outcome.first_s = now_s + unqueued_s - job.at_s
        first_s = queued_s + unqueued_s
        total_s = queued_s + job.slot_time_s
        first = FirstByte(placed.request, placed.target, first_s)
        ended = Ended(placed.request, placed.target, Ending.whole, first_s, total_s)

        def finish(at_s: float) -> None:
            target = self._targets[placed.target]
            target.running -= 1
            dispatcher.finish(ended, at_s)
            self._start_next(target, at_s)

        self._schedule(now_s + unqueued_s, lambda at_s: dispatcher.record_first_byte(first, at_s))
        self._schedule(now_s + job.slot_time_s, finish)

    def _decline(
        self, dispatcher: Dispatcher, declined: Declined, outcome: JobOutcome, now_s: float
    ) -> None:
        outcome.refusals.append(declined)
        outcome.refused_s.append(now_s - outcome.job.at_s)
        job = outcome.job
        if len(outcome.refusals) <= job.max_retries:
            pause_s = declined.retry_after_s if job.honors_retry_after else 0.0
            self._schedule(now_s + pause_s, lambda at_s: self._submit(dispatcher, outcome, at_s))


def spread_jobs(template: Job, per_s: float, until_s: float) -> list[Job]:
    """Return copies of a job, evenly spaced from its time until `until_s`."""
    count = int((until_s - template.at_s) * per_s)
    return [
        Job(**{**vars(template), "at_s": template.at_s + number / per_s}) for number in range(count)
    ]


def compute_in_time_share(outcomes: list[JobOutcome]) -> float:
    """Return the share of requests whose first byte met the objective, from 0 to 1."""
    return sum(outcome.is_in_time for outcome in outcomes) / max(1, len(outcomes))
