"""Replay lasting overloads of three tiers and print how each tier is served.

Runs a dispatcher on a virtual clock in front of engines of two speeds. Callers retry once, after
the delay that a refusal names. The options allow comparing shares of the minimum for lower tiers.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.dispatch import Dispatcher
from troutstand.core.limits.quota import QuotaBounds, Quotas
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.core.scheduling import tierminimum
from troutstand.core.scheduling.options import LoadOptions
from troutstand.generated.messages import (
    Declined,
    Ended,
    Ending,
    FirstByte,
    ListedState,
    ListedTarget,
    Part,
    Placed,
    RoutedWork,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.decision import Decision

_SERVICE = "engine"
_SLOTS = 7
# Time per token of the engines, relative to the fastest, in turn.
_SPEEDS = (1.0, 1.0, 1.6)
_PROMPT_TOKENS_PER_S = 56_900.0
_TOKEN_S = 3.09e-3
_TOKENS_PER_EVENT = 8
_NETWORK_S = 0.01
_SILENCE_S = 4.0
_TICK_S = 0.05
_LENGTH_S = 24.0
_MIN_REMAINING_S = 0.05
_MAX_ATTEMPTS = 2
_RETRY_BUDGET = (0.2, 180.0, 10.0)


@dataclass(frozen=True)
class Tier:
    """Describe the requests of one tier; times in seconds."""

    per_s: float
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    deadline_s: float
    worth: float
    late_worth: float


_TIERS = (
    Tier(73.3, 6670, 384, 0.845, 12.68, 8.7, 4.4),
    Tier(93.9, 688, 290, 0.819, 12.28, 1.2, 0.59),
    Tier(117.0, 1860, 24, 1.522, 3.045, 0.27, 0.14),
)


@dataclass(frozen=True)
class Burst:
    """Multiply the rate of one tier, or of all, for a time."""

    from_s: float
    to_s: float
    factor: float
    tier: int | None = None


@dataclass(frozen=True)
class Load:
    """Name the engines that are up and the bursts of a load."""

    engines: int
    bursts: tuple[Burst, ...]


_LOADS = {
    "steady": Load(34, (Burst(0.0, _LENGTH_S, 1.5),)),
    "bursts": Load(38, (Burst(3.0, 8.0, 1.7), Burst(8.0, 11.5, 1.9, 1), Burst(13.0, 16.0, 1.9))),
    "hard bursts": Load(34, (Burst(2.0, 20.0, 2.0),)),
}


@dataclass
class Job:
    """Track one caller's request; times in seconds."""

    at_s: float
    tier: int
    prompt_tokens: int
    output_tokens: int
    attempts: int = 0
    first_s: float | None = None
    # Time that the request was queued before its refusals.
    held_s: float = 0.0


@dataclass
class TierSums:
    """Sum up the requests of one tier."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    held_s: float = 0.0

    def compute_worth(self, tier: Tier) -> float:
        """Return the worth of the served requests."""
        return tier.worth * self.in_time + tier.late_worth * self.late


class Replay:
    """Run the jobs of a load on a dispatcher and simulated engines."""

    def __init__(self, load: Load, seed: int) -> None:
        self._random = random.Random(seed)
        options = LoadOptions(protects_tiers=True)
        retries = RetryBudget(*_RETRY_BUDGET)
        self._dispatcher = Dispatcher(Quotas(QuotaBounds()), retries, options=options)
        names = [f"t{number}" for number in range(load.engines)]
        self._speeds = dict(zip(names, itertools.cycle(_SPEEDS), strict=False))
        self._prefill_free_s: dict[str, float] = defaultdict(float)
        listed = [
            ListedTarget(name, _SERVICE, f"{name}:1", "north", _SLOTS, ListedState.ready)
            for name in names
        ]
        self._dispatcher.update_targets(listed, 0.0)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._pending: dict[str, tuple[Job, float]] = {}
        self.jobs = [job for tier in range(len(_TIERS)) for job in self._draw_jobs(load, tier)]

    def _draw_jobs(self, load: Load, tier: int) -> list[Job]:
        jobs: list[Job] = []
        now_s = 0.0
        while True:
            factor = 1.0
            for burst in load.bursts:
                if burst.from_s <= now_s < burst.to_s and burst.tier in (None, tier):
                    factor *= burst.factor
            now_s += self._random.expovariate(_TIERS[tier].per_s * factor)
            if now_s > _LENGTH_S:
                return jobs
            prompt = int(_TIERS[tier].prompt_tokens * self._random.uniform(0.6, 1.4))
            output = int(_TIERS[tier].output_tokens * self._random.uniform(0.7, 1.3))
            jobs.append(Job(now_s, tier, prompt, output))

    def run(self) -> list[Job]:
        """Run all jobs and return them."""
        for job in self.jobs:
            self._schedule(job.at_s, lambda now_s, job=job: self._place(job, now_s))
        end_s = _LENGTH_S + max(tier.deadline_s for tier in _TIERS)
        for number in range(int(end_s / _TICK_S)):
            self._schedule(number * _TICK_S, self._dispatcher.tick)
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)
            for decision in self._dispatcher.drain_decisions():
                self._apply(decision, now_s)
        return self.jobs

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _place(self, job: Job, now_s: float) -> None:
        tier = _TIERS[job.tier]
        remaining_s = job.at_s + tier.deadline_s - now_s
        if remaining_s < _MIN_REMAINING_S:
            return
        job.attempts += 1
        request = f"r{next(self._numbers)}"
        self._pending[request] = (job, now_s)
        work = RoutedWork(
            request=request,
            service=_SERVICE,
            workspace="one",
            tier=job.tier,
            objective_s=tier.objective_s,
            pause_s=0.5,
            remaining_s=remaining_s,
            silence_s=_SILENCE_S,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.output_tokens,
            model="m",
            parts=[Part(request, job.prompt_tokens)],
            failure_domain="north",
        )
        self._dispatcher.place(work, "gateway", now_s)

    def _apply(self, decision: Decision, now_s: float) -> None:
        job, asked_s = self._pending.pop(decision.answer.request)
        match decision.answer:
            case Placed(request, target):
                self._run_job(job, request, target, now_s)
            case Declined(retry_after_s=retry_after_s):
                job.held_s += now_s - asked_s
                if job.attempts < _MAX_ATTEMPTS:
                    self._schedule(now_s + retry_after_s, lambda at_s: self._place(job, at_s))

    def _run_job(self, job: Job, request: str, target: str, now_s: float) -> None:
        speed = self._speeds[target]
        prefill_s = speed * job.prompt_tokens / _PROMPT_TOKENS_PER_S
        first_at_s = max(now_s, self._prefill_free_s[target]) + _NETWORK_S + prefill_s
        self._prefill_free_s[target] = first_at_s
        end_s = first_at_s + speed * job.output_tokens * _TOKEN_S
        job.first_s = first_at_s - job.at_s
        first_s = first_at_s - now_s
        events = job.output_tokens // _TOKENS_PER_EVENT
        first = FirstByte(request, target, first_s)
        ended = Ended(request, target, Ending.whole, first_s, end_s - now_s, 0.0, events)
        self._schedule(first_at_s, lambda at_s: self._dispatcher.record_first_byte(first, at_s))
        self._schedule(end_s, lambda at_s: self._dispatcher.finish(ended, at_s))


@dataclass
class Summary:
    """Sum up the replays of one load."""

    tiers: list[TierSums] = field(default_factory=lambda: [TierSums() for _ in _TIERS])

    def add(self, jobs: list[Job]) -> None:
        """Add the jobs of one replay."""
        for job in jobs:
            sums = self.tiers[job.tier]
            sums.asked += 1
            if job.first_s is None:
                sums.held_s += job.held_s
            elif job.first_s <= _TIERS[job.tier].objective_s:
                sums.in_time += 1
            else:
                sums.late += 1

    def describe(self) -> str:
        """Return each tier's and the overall share of the worth, and the time held in vain."""
        pairs = list(zip(self.tiers, _TIERS, strict=True))
        asked = sum(sums.asked * tier.worth for sums, tier in pairs)
        worth = sum(sums.compute_worth(tier) for sums, tier in pairs) / asked
        held_s = sum(sums.held_s * tier.worth for sums, tier in pairs) / asked
        shares = [sums.compute_worth(tier) / (sums.asked * tier.worth) for sums, tier in pairs]
        by_tier = " ".join(f"{share:.3f}" for share in shares)
        return f"worth by tier {by_tier}, of all {worth:.3f}, held in vain {held_s:.3f} s"


def main() -> None:
    """Replay the loads and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--min-share", type=float, default=tierminimum.MIN_RELATIVE_SHARE)
    arguments = parser.parse_args()
    tierminimum.MIN_RELATIVE_SHARE = arguments.min_share
    for name, load in _LOADS.items():
        summary = Summary()
        for seed in range(1, arguments.seeds + 1):
            summary.add(Replay(load, seed).run())
        print(f"{name}: {summary.describe()}", flush=True)


if __name__ == "__main__":
    main()
