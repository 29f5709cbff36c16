"""Simulate callers against one dispatcher and targets of fixed speed, on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.dispatch import Dispatcher
from troutstand.core.quota import QuotaBounds, Quotas
from troutstand.core.retrybudget import RetryBudget
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
    def is_in_time(self) -> bool:
        """Return whether the first byte met the objective."""
        return self.first_s is not None and self.first_s <= self.job.objective_s


class VirtualLoad:
    """Simulate jobs against targets that each run `slots` requests at a time."""

    def __init__(
        self,
        targets: int,
        slots: int,
        options: LoadOptions,
        weights: dict[str, float] | None = None,
    ) -> None:
        self.dispatcher = Dispatcher(
            Quotas(QuotaBounds()), RetryBudget(*_RETRY_BUDGET), options=options
        )
        self.dispatcher.update_weights(weights or {})
        listed = [
            ListedTarget(f"t{n}", _SERVICE, f"127.0.0.1:{n + 1}", "north", slots, ListedState.ready)
            for n in range(targets)
        ]
        self.dispatcher.update_targets(listed, 0.0)
        self.outcomes: list[JobOutcome] = []
        self._pending: dict[str, JobOutcome] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def play(self, jobs: list[Job]) -> list[JobOutcome]:
        """Simulate all jobs and return their outcomes in order."""
        for job in jobs:
            outcome = JobOutcome(job)
            self.outcomes.append(outcome)
            self._schedule(job.at_s, lambda now_s, o=outcome: self._submit(o, now_s))
        end_s = max(job.at_s + job.deadline_s for job in jobs)
        for step in range(1, int(end_s / _TICK_S)):
            self._schedule(step * _TICK_S, self.dispatcher.tick)
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)
            self._apply_decisions(now_s)
        return self.outcomes

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _submit(self, outcome: JobOutcome, now_s: float) -> None:
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
        self.dispatcher.place(work, "gateway", now_s)

    def _apply_decisions(self, now_s: float) -> None:
        for decision in self.dispatcher.drain_decisions():
            answer = decision.answer
            outcome = self._pending.pop(answer.request)
            match answer:
                case Placed():
                    self._run(answer, outcome, now_s)
                case Declined():
                    self._decline(answer, outcome, now_s)

    def _run(self, placed: Placed, outcome: JobOutcome, now_s: float) -> None:
        job = outcome.job
        first_s = min(_MAX_FIRST_BYTE_S, _FIRST_BYTE_SHARE * job.slot_time_s)
        outcome.first_s = now_s + first_s - job.at_s
        first = FirstByte(placed.request, placed.target, first_s)
        ended = Ended(placed.request, placed.target, Ending.whole, first_s, job.slot_time_s)
        self._schedule(now_s + first_s, lambda at_s: self.dispatcher.record_first_byte(first, at_s))
        self._schedule(now_s + job.slot_time_s, lambda at_s: self.dispatcher.finish(ended, at_s))

    def _decline(self, declined: Declined, outcome: JobOutcome, now_s: float) -> None:
        outcome.refusals.append(declined)
        outcome.refused_s.append(now_s - outcome.job.at_s)
        job = outcome.job
        if len(outcome.refusals) <= job.max_retries:
            pause_s = declined.retry_after_s if job.honors_retry_after else 0.0
            self._schedule(now_s + pause_s, lambda at_s: self._submit(outcome, at_s))


def spread_jobs(template: Job, per_s: float, until_s: float) -> list[Job]:
    """Return copies of a job, evenly spaced from its time until `until_s`."""
    count = int((until_s - template.at_s) * per_s)
    return [
        Job(**{**vars(template), "at_s": template.at_s + number / per_s}) for number in range(count)
    ]


def compute_in_time_share(outcomes: list[JobOutcome]) -> float:
    """Return the share of requests whose first byte met the objective, from 0 to 1."""
    return sum(outcome.is_in_time for outcome in outcomes) / max(1, len(outcomes))
