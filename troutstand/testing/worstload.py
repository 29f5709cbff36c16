"""Replay a load on the dispatcher, on a virtual clock with engines of different speeds.

Recorded arrivals carry times and tiers; their sizes are sampled with a fixed seed. With
`retries_refused`, a refused caller retries once, after at most a third of its remaining time.
"""

from __future__ import annotations

import csv
import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.dispatch import Dispatcher
from troutstand.core.limits.quota import QuotaBounds, Quotas
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.core.tiers import rank_tiers
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
    from pathlib import Path

    from troutstand.generated.routing import TierOrder

_SERVICE = "advice"
_TICK_S = 0.05
_SLOTS = 4
_TOKENS_PER_EVENT = 6
_TOKEN_S = 3.09e-3
_PREFILL_TOKENS_PER_S = 61.8e3
# Relative times per token; a third of the engines is slow.
_TIME_FACTORS = (0.68, 0.68, 3.0)
_UNAVAILABLE_SHARE = 0.25
_MAX_RETRY_DELAY_SHARE = 1.0 / 3.0
_RETRY_BUDGET = (0.2, 186.0, 10.0)


@dataclass(frozen=True)
class RequestProfile:
    """Describe the requests of one route tier; mean sizes in tokens, times in seconds."""

    prompt: float
    output: float
    objective_s: float
    deadline_s: float


PROFILES = {
    0: RequestProfile(3720, 120, 0.663, 8.8),
    1: RequestProfile(2890, 54, 0.545, 5.4),
    2: RequestProfile(1110, 174, 0.426, 10.6),
}


@dataclass(frozen=True)
class Arrival:
    """Describe when a request arrived, and with which tiers."""

    at_s: float
    route_tier: int
    workspace_tier: int


def read_arrivals(path: Path) -> list[Arrival]:
    """Read recorded arrivals from CSV rows: milliseconds, route tier, workspace tier."""
    with path.open(newline="") as file:
        rows = list(csv.reader(file))
    return [Arrival(int(at) / 1000.0, int(route), int(workspace)) for at, route, workspace in rows]


@dataclass(frozen=True)
class Caller:
    """Hold one caller's request: its arrival, its sizes in tokens and its attempts so far."""

    arrival: Arrival
    prompt: int
    output: int
    attempts: int = 0


@dataclass
class Result:
    """Count the outcomes of the callers by route tier."""

    asked: Counter[int] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)
    late: Counter[int] = field(default_factory=Counter)
    refused: Counter[int] = field(default_factory=Counter)
    refused_again: Counter[int] = field(default_factory=Counter)

    def share(self, route_tier: int) -> float:
        """Return the share of a tier's callers whose first byte met the objective."""
        return self.in_time[route_tier] / max(1, self.asked[route_tier])


class Replay:
    """Simulate arrivals against engines with fixed prefill and decode speeds."""

    def __init__(
        self, order: TierOrder, engines: int, seed: int = 1, retries_refused: bool = False
    ) -> None:
        self.result = Result()
        self._order = order
        self._retries_refused = retries_refused
        self._random = random.Random(seed)
        self._dispatcher = Dispatcher(Quotas(QuotaBounds()), RetryBudget(*_RETRY_BUDGET))
        self._time_factors = {
            f"t{n}": _TIME_FACTORS[n % len(_TIME_FACTORS)] for n in range(engines)
        }
        ready_count = int(engines * (1.0 - _UNAVAILABLE_SHARE))
        listed = [
            ListedTarget(name, _SERVICE, f"127.0.0.1:{n}", "north", _SLOTS, ListedState.ready)
            for n, name in enumerate(list(self._time_factors)[:ready_count])
        ]
        self._dispatcher.update_targets(listed, 0.0)
        self._dispatcher.pools[_SERVICE].tokens_per_event = _TOKENS_PER_EVENT
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._counter = itertools.count()
        self._callers: dict[str, Caller] = {}

    def play(self, arrivals: list[Arrival]) -> Result:
        """Simulate all arrivals and count their outcomes."""
        for arrival in arrivals:
            profile = PROFILES[arrival.route_tier]
            caller = Caller(
                arrival, self._draw(profile.prompt, 0.7), max(1, self._draw(profile.output, 1.0))
            )
            self.result.asked[arrival.route_tier] += 1
            self._schedule(arrival.at_s, lambda now_s, c=caller: self._submit(c, now_s))
        end_s = arrivals[-1].at_s + max(profile.deadline_s for profile in PROFILES.values())
        for step in range(int(end_s / _TICK_S)):
            self._schedule(step * _TICK_S, self._tick)
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)
            self._apply_decisions(now_s)
        return self.result

    def _draw(self, mean: float, spread: float) -> int:
        return int(mean * self._random.lognormvariate(-spread * spread / 2.0, spread))

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._counter), action))

    def _tick(self, now_s: float) -> None:
        self._dispatcher.tick(now_s)

    def _submit(self, caller: Caller, now_s: float) -> None:
        arrival, profile = caller.arrival, PROFILES[caller.arrival.route_tier]
        request = f"r{next(self._counter)}"
        self._callers[request] = caller
        tiers = rank_tiers(arrival.workspace_tier, arrival.route_tier, self._order)
        work = RoutedWork(
            request=request,
            service=_SERVICE,
            objective_s=profile.objective_s,
            remaining_s=arrival.at_s + profile.deadline_s - now_s,
            tier=tiers.placement,
            shed_tier=tiers.shed,
            pause_s=0.25,
            prompt_tokens=caller.prompt,
            output_tokens=caller.output,
        )
        self._dispatcher.place(work, "gateway", now_s)

    def _apply_decisions(self, now_s: float) -> None:
        for decision in self._dispatcher.drain_decisions():
            answer = decision.answer
            match answer:
                case Placed():
                    self._run(answer, now_s)
                case Declined():
                    self._decline(answer, now_s)

    def _run(self, placed: Placed, now_s: float) -> None:
        caller = self._callers[placed.request]
        time_factor = self._time_factors[placed.target]
        first_s = time_factor * placed.to_read / _PREFILL_TOKENS_PER_S + 0.01
        total_s = first_s + time_factor * _TOKEN_S * caller.output
        first = FirstByte(placed.request, placed.target, first_s)
        ended = Ended(
            placed.request,
            placed.target,
            Ending.whole,
            first_s,
            total_s,
            0.0,
            max(1, caller.output // _TOKENS_PER_EVENT),
        )
        self._schedule(
            now_s + first_s, lambda at_s: self._dispatcher.record_first_byte(first, at_s)
        )
        self._schedule(now_s + total_s, lambda at_s: self._dispatcher.finish(ended, at_s))
        tier = caller.arrival.route_tier
        is_in_time = now_s + first_s - caller.arrival.at_s <= PROFILES[tier].objective_s
        counts = self.result.in_time if is_in_time else self.result.late
        counts[tier] += 1

    def _decline(self, declined: Declined, now_s: float) -> None:
        caller = self._callers[declined.request]
        tier = caller.arrival.route_tier
        if caller.attempts or not self._retries_refused:
            counts = self.result.refused_again if caller.attempts else self.result.refused
            counts[tier] += 1
            return
        left_s = caller.arrival.at_s + PROFILES[tier].deadline_s - now_s
        pause_s = min(declined.retry_after_s, _MAX_RETRY_DELAY_SHARE * left_s)
        retry = Caller(caller.arrival, caller.prompt, caller.output, 1)
        self._schedule(now_s + pause_s, lambda at_s: self._submit(retry, at_s))
