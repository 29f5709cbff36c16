"""Simulate a service whose targets crash, on a virtual clock with one dispatcher."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codes import ResultCode
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
    Part,
    Placed,
    RoutedWork,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_SERVICE = "engine"
_GATEWAY = "gateway-1"
_TICK_S = 0.05
_REPORT_DELAY_S = 0.01
_LIST_DELAY_S = 1.0
_RESTART_S = 1.5
_COMMON = ("a", "b")
_SUBJECTS = 8
_ATTEMPTS = 2


@dataclass(frozen=True)
class CrashPlan:
    """Describe the load of a service; times in seconds, rates in requests per second.

    Parameters
    ----------
    crashing
        Parts that crash targets.
    is_sound_before
        Whether requests with crashing parts are sent, and answered, before `bad_from_s`.
    is_alone
        Whether a request with a crashing part has no other shared part.
    own_crashes_per_s
        Rate at which targets crash by themselves.
    crashing_body_per_s
        Rate of equal requests that crash targets, whatever their parts.
    """

    seed: int
    targets: int = 6
    slots: int = 4
    length_s: float = 20.0
    sound_per_s: float = 25.0
    bad_per_s: float = 0.0
    bad_from_s: float = 0.0
    is_sound_before: bool = False
    crashing: tuple[str, ...] = ("x",)
    is_alone: bool = False
    own_crashes_per_s: float = 0.0
    crashing_body_per_s: float = 0.0


@dataclass
class Request:
    """Hold one simulated request and its state."""

    work: RoutedWork
    is_bad: bool
    attempt: int = 1


@dataclass
class CrashOutcome:
    """Count what happened; crash times by part, in seconds."""

    sound: int = 0
    answered: int = 0
    quarantined_sound: int = 0
    crashes: dict[str, list[float]] = field(default_factory=dict)
    arrivals: dict[str, list[float]] = field(default_factory=dict)

    def count_late(self, part: str, after_s: float) -> int:
        """Return the arrivals of a part later than a time after its fifth crash."""
        crashes = self.crashes.get(part, [])
        if len(crashes) < 5:
            return 0
        return sum(at_s > crashes[4] + after_s for at_s in self.arrivals[part])


class CrashSimulation:
    """Run a plan; decisions are those of the dispatcher under test."""

    def __init__(self, plan: CrashPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._dispatcher = Dispatcher(Quotas(QuotaBounds()), RetryBudget(0.2, 50, 10.0))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now_s = 100.0
        self._end_s = self._now_s + plan.length_s
        self._requests: dict[str, Request] = {}
        # Running requests of each live target.
        self._running: dict[str, dict[str, int]] = {f"t{n}": {} for n in range(plan.targets)}
        self._attempts = itertools.count()
        self._numbers = itertools.count()
        self.outcome = CrashOutcome()

    def run(self) -> CrashOutcome:
        """Run the plan and return what happened."""
        plan = self._plan
        self._update_list()
        for rate, event in (
            (plan.sound_per_s, self._send_sound),
            (plan.bad_per_s, self._send_bad),
            (plan.own_crashes_per_s, self._crash_any),
            (plan.crashing_body_per_s, self._send_crashing_body),
        ):
            if rate:
                self._repeat(rate, event)
        self._tick()
        while self._events:
            self._now_s, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    # Events

    def _schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now_s + delay_s, next(self._sequence), event))

    def _repeat(self, rate: float, event: Callable[[], None]) -> None:
        """Run an event at random times until the end of the plan."""

        def fire() -> None:
            if self._now_s < self._end_s:
                event()
                self._schedule(self._rng.expovariate(rate), fire)

        self._schedule(self._rng.expovariate(rate), fire)

    def _tick(self) -> None:
        self._dispatcher.tick(self._now_s)
        self._collect()
        if self._now_s < self._end_s + 5.0:
            self._schedule(_TICK_S, self._tick)

    def _send_sound(self) -> None:
        subject = f"s{self._rng.randrange(_SUBJECTS)}"
        self.outcome.sound += 1
        self._send([*_COMMON, subject], is_bad=False)

    def _send_bad(self) -> None:
        plan = self._plan
        is_bad = self._now_s >= self._end_s - plan.length_s + plan.bad_from_s
        if not is_bad and not plan.is_sound_before:
            return
        bad = self._rng.choice(self._plan.crashing)
        others = [] if self._plan.is_alone else self._rng.sample(_COMMON, self._rng.randint(0, 2))
        parts = [*others]
        parts.insert(self._rng.randint(0, len(parts)), bad)
        self._send(parts, is_bad)

    def _send_crashing_body(self) -> None:
        self._send([*_COMMON, "s0"], is_bad=True, fingerprint="same")

    def _send(self, shared: list[str], is_bad: bool, fingerprint: str = "") -> None:
        name = f"r{next(self._numbers)}"
        parts = [Part(part, 100) for part in [*shared, f"own-{name}"]]
        work = RoutedWork(
            request=name,
            service=_SERVICE,
            objective_s=2.0,
            remaining_s=8.0,
            is_repeatable=True,
            attempts=_ATTEMPTS,
            prompt_tokens=10,
            output_tokens=10,
            parts=parts,
            fingerprint=fingerprint or name,
        )
        self._requests[name] = Request(work, is_bad)
        self._place(name)

    def _place(self, name: str) -> None:
        self._dispatcher.place(self._requests[name].work, _GATEWAY, self._now_s)
        self._collect()

    # Decisions

    def _collect(self) -> None:
        for decision in self._dispatcher.drain_decisions():
            match decision.answer:
                case Placed(request, target):
                    self._start(request, target)
                case Declined(request, code):
                    is_sound = not self._requests[request].is_bad
                    if is_sound and code == ResultCode.REQUEST_QUARANTINED:
                        self.outcome.quarantined_sound += 1

    def _start(self, name: str, target: str) -> None:
        request = self._requests[name]
        attempt = next(self._attempts)
        if target not in self._running:
            ended = Ended(name, target, Ending.unsent, total_s=0.0, is_target_gone=True)
            self._schedule(_REPORT_DELAY_S, lambda: self._finish(ended))
            self._schedule(_REPORT_DELAY_S, lambda: self._place(name))
            return
        self._running[target][name] = attempt
        bad = self._find_bad_part(request)
        if bad:
            self.outcome.arrivals.setdefault(bad, []).append(self._now_s)
        begin_s = self._rng.uniform(0.02, 0.2)
        if request.is_bad:
            self._schedule(begin_s, lambda: self._crash(target, name, attempt))
            return
        self._schedule(begin_s, lambda: self._begin(target, name, attempt))
        self._schedule(
            begin_s + self._rng.uniform(0.01, 0.4), lambda: self._answer(target, name, attempt)
        )

    def _find_bad_part(self, request: Request) -> str:
        names = [part.part for part in request.work.parts]
        return next((part for part in self._plan.crashing if part in names), "")

    def _is_running(self, target: str, name: str, attempt: int) -> bool:
        return self._running.get(target, {}).get(name) == attempt

    def _begin(self, target: str, name: str, attempt: int) -> None:
        if self._is_running(target, name, attempt):
            self._dispatcher.record_first_byte(FirstByte(name, target, 0.05), self._now_s)
            self._collect()

    def _answer(self, target: str, name: str, attempt: int) -> None:
        if not self._is_running(target, name, attempt):
            return
        del self._running[target][name]
        self.outcome.answered += 1
        self._finish(Ended(name, target, Ending.whole, 0.05, 0.1, 2))

    def _finish(self, ended: Ended) -> None:
        self._dispatcher.finish(ended, self._now_s)
        self._collect()

    # Crashes

    def _crash(self, target: str, name: str, attempt: int) -> None:
        if self._is_running(target, name, attempt):
            bad = self._find_bad_part(self._requests[name])
            if bad:
                self.outcome.crashes.setdefault(bad, []).append(self._now_s)
            self._crash_target(target)

    def _crash_any(self) -> None:
        if self._running:
            self._crash_target(self._rng.choice(sorted(self._running)))

    def _crash_target(self, target: str) -> None:
        broken = list(self._running.pop(target))
        self._rng.shuffle(broken)
        for name in broken:
            self._schedule(_REPORT_DELAY_S, self._make_report(name, target))
        base, _, life = target.partition("@")
        revived = f"{base}@{int(life or 0) + 1}"
        self._schedule(_RESTART_S, lambda: self._restart(revived))

    def _make_report(self, name: str, target: str) -> Callable[[], None]:
        request = self._requests[name]
        ended = Ended(
            name,
            target,
            Ending.broken,
            total_s=0.1,
            is_target_gone=True,
            fingerprint=request.work.fingerprint,
            service=_SERVICE,
            shared_parts=[part.part for part in request.work.parts[:-1]],
        )

        def report() -> None:
            self._finish(ended)
            if request.attempt < _ATTEMPTS:
                request.attempt += 1
                request.work = msgspec.structs.replace(
                    request.work, attempt=request.attempt, excluded=[target]
                )
                self._place(name)

        return report

    def _restart(self, target: str) -> None:
        self._running[target] = {}
        self._schedule(self._rng.uniform(0.0, _LIST_DELAY_S), self._update_list)

    def _update_list(self) -> None:
        listed = [
            ListedTarget(
                t, _SERVICE, f"127.0.0.1:{n + 1}", "north", self._plan.slots, ListedState.ready
            )
            for n, t in enumerate(sorted(self._running))
        ]
        self._dispatcher.update_targets(listed, self._now_s)
        self._collect()
