"""Measure the processor time of a routed site's scheduler for placements and completions."""

from __future__ import annotations

import heapq
import random
import time
from dataclasses import dataclass

from benchmarks.report import report
from troutstand.core.dispatch import Dispatcher
from troutstand.core.limits.quota import QuotaBounds, Quotas
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.generated.messages import (
    Ended,
    Ending,
    FirstByte,
    ListedState,
    ListedTarget,
    Part,
    Placed,
    RoutedWork,
)

_SERVICE = "engine"
_SLOTS = 4
_TICK_S = 0.05
_DOMAINS = 5
_GATEWAYS = 40
# Time per token relative to the fastest targets, in turn.
_SPEEDS = (1.0, 1.0, 3.5)
_TOKEN_S = 6e-4
_PROMPT_TOKEN_S = 2e-5
_SHARED_PARTS = 200


@dataclass(frozen=True)
class Shape:
    """Describe the number of targets, the request rate and the length of a run."""

    targets: int
    per_s: float
    length_s: float


class Simulation:
    """Run a dispatcher with random requests on a virtual clock, and measure its processor time."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape = shape
        self.spent_s = 0.0
        self.refused = 0
        self.placed = 0
        self._draw = random.Random(seed)
        self._dispatcher = Dispatcher(Quotas(QuotaBounds()), RetryBudget(0.2, 50, 10.0))
        self._events: list[tuple[float, int, str, str]] = []
        self._count = 0
        self._works: dict[str, RoutedWork] = {}
        self._speeds = {f"t{n}": _SPEEDS[n % len(_SPEEDS)] for n in range(shape.targets)}
        listed = [
            ListedTarget(name, _SERVICE, f"{name}:1", f"d{n % _DOMAINS}", _SLOTS, ListedState.ready)
            for n, name in enumerate(self._speeds)
        ]
        self._dispatcher.update_targets(listed, 0.0)

    def _push(self, at_s: float, kind: str, name: str) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, kind, name))

    def _make_work(self, number: int) -> RoutedWork:
        prompt = self._draw.choice((1110, 2890, 3720))
        shared = self._draw.randrange(_SHARED_PARTS)
        work = RoutedWork(
            request=f"r{number}",
            service=_SERVICE,
            tier=self._draw.randrange(3),
            objective_s=0.5,
            pause_s=0.25,
            remaining_s=8.0,
            prompt_tokens=prompt,
            output_tokens=self._draw.choice((50, 120, 170)),
            model="m",
            parts=[Part(f"s{shared}", 60), Part(f"o{number}", prompt - 60)],
            failure_domain=f"d{number % _DOMAINS}",
        )
        self._works[work.request] = work
        return work

    def run(self) -> None:
        """Process all requests."""
        for number in range(int(self.shape.per_s * self.shape.length_s)):
            work = self._make_work(number)
            self._push(self._draw.uniform(0.0, self.shape.length_s), "arrive", work.request)
        for tick in range(int(self.shape.length_s / _TICK_S)):
            self._push(tick * _TICK_S, "tick", "")
        while self._events:
            now_s, _, kind, name = heapq.heappop(self._events)
            began_s = time.process_time()
            self._step(kind, name, now_s)
            self.spent_s += time.process_time() - began_s
            self._follow(now_s)

    def _step(self, kind: str, name: str, now_s: float) -> None:
        request, _, target = name.partition(" ")
        match kind:
            case "arrive":
                owner = f"g{hash(request) % _GATEWAYS}"
                self._dispatcher.place(self._works[request], owner, now_s)
            case "first":
                self._dispatcher.record_first_byte(FirstByte(request, target, 0.1), now_s)
            case "end":
                ended = Ended(request, target, Ending.whole, 0.1, 0.4, 0.0, 20)
                self._dispatcher.finish(ended, now_s)
            case "tick":
                self._dispatcher.tick(now_s)

    def _follow(self, now_s: float) -> None:
        for decision in self._dispatcher.drain_decisions():
            answer = decision.answer
            if not isinstance(answer, Placed):
                self.refused += 1
                continue
            self.placed += 1
            work = self._works[answer.request]
            speed = self._speeds[answer.target]
            first_s = now_s + 0.03 + speed * _PROMPT_TOKEN_S * work.prompt_tokens
            name = f"{answer.request} {answer.target}"
            self._push(first_s, "first", name)
            self._push(first_s + speed * _TOKEN_S * work.output_tokens, "end", name)


def run(quick: bool) -> None:
    """Measure with and without overload at three numbers of targets."""
    length_s = 3.0 if quick else 10.0
    for targets in (9, 45, 78):
        for per_slot in (1.0, 4.0):
            shape = Shape(targets, per_slot * targets * _SLOTS, length_s)
            simulation = Simulation(shape, 1)
            simulation.run()
            share = simulation.spent_s / length_s
            report(
                "dispatching",
                "share of a core",
                share,
                "",
                targets=targets,
                per_s=shape.per_s,
                refused=simulation.refused,
            )


if __name__ == "__main__":
    run(False)
