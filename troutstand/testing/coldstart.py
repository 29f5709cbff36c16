"""Let gateways find a scheduler after all processes began anew, on a clock of its own."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from troutstand.core.ids import ProcessId
from troutstand.generated.messages import Attached
from troutstand.routing.schedulerwatch import (
    Decider,
    LocalDecider,
    SchedulerHealth,
    choose_decider,
    update_standby_periods,
)

_STEP_S = 0.01
_WATCH_S = 0.1
_PERIOD_S = 0.1
# What a heartbeat and its answer take, in seconds: hosts of one and of several failure domains.
_LATENCIES_S = (0.002, 0.04)


@dataclass
class SimulatedScheduler:
    """Follow one scheduler that begins: which gateways ask it."""

    ready_s: float
    asked_by: set[int] = field(default_factory=set)
    # Whom each gateway asks, as it told this one last.
    asks: dict[int, str] = field(default_factory=dict)

    def answer(self, now_s: float) -> Attached:
        """Answer a heartbeat."""
        told = [name for name in self.asks.values() if name]
        most = max(sorted(set(told)), key=told.count, default="")
        return Attached(
            incarnation="1",
            period_s=_PERIOD_S,
            attached=len(self.asked_by),
            is_ready=now_s >= self.ready_s,
            ready_s=max(0.0, now_s - self.ready_s),
            most_asked=most,
            most_asked_by=told.count(most) if most else 0,
        )


@dataclass
class SimulatedGateway:
    """Follow one gateway that begins: whom it watches and asks."""

    number: int
    judges_s: float
    watches: dict[ProcessId, SchedulerHealth]
    beats_s: dict[ProcessId, float]
    current: Decider = LocalDecider.LOCAL
    # Answers that are on their way, by when they come.
    coming: list[tuple[float, ProcessId, Attached]] = field(default_factory=list)


class ColdStartSimulation:
    """Play the first seconds of some gateways and schedulers.

    Parameters
    ----------
    ready_s
        When each scheduler can serve, in seconds.
    """

    def __init__(self, seed: int, gateways: int, ready_s: list[float]) -> None:
        self._chance = random.Random(seed)
        self._schedulers = {
            ProcessId(f"scheduler-{number}"): SimulatedScheduler(at_s)
            for number, at_s in enumerate(ready_s)
        }
        self._gateways = [self._begin(number) for number in range(gateways)]

    def _begin(self, number: int) -> SimulatedGateway:
        uniform = self._chance.uniform
        return SimulatedGateway(
            number,
            uniform(0.0, _WATCH_S),
            {name: SchedulerHealth() for name in self._schedulers},
            {name: uniform(0.0, _PERIOD_S) for name in self._schedulers},
        )

    def play(self, length_s: float) -> list[set[str]]:
        """Return which schedulers are asked in each step of 0.01 s."""
        asked: list[set[str]] = []
        for step in range(round(length_s / _STEP_S)):
            for gateway in self._gateways:
                self._step(gateway, step * _STEP_S)
            currents = [gateway.current for gateway in self._gateways]
            asked.append({str(name) for name in currents if not isinstance(name, LocalDecider)})
        return asked

    def _step(self, gateway: SimulatedGateway, now_s: float) -> None:
        for due in [c for c in gateway.coming if c[0] <= now_s]:
            gateway.coming.remove(due)
            gateway.watches[due[1]].update(due[2], now_s)
            if isinstance(gateway.current, LocalDecider) and due[2].is_ready:
                gateway.judges_s = now_s
        if now_s >= gateway.judges_s:
            gateway.judges_s = now_s + _WATCH_S
            self._judge(gateway, now_s)
        for name, watch in gateway.watches.items():
            if watch.wake.is_set() or now_s >= gateway.beats_s[name]:
                watch.wake.clear()
                is_current = gateway.current == name
                period_s = watch.period_s if is_current else watch.standby_period_s
                gateway.beats_s[name] = now_s + period_s * self._chance.uniform(0.9, 1.1)
                self._beat(gateway, name, now_s)

    def _judge(self, gateway: SimulatedGateway, now_s: float) -> None:
        decider = choose_decider(gateway.watches, gateway.current, now_s)
        if decider != gateway.current:
            gateway.current = decider
            if not isinstance(decider, LocalDecider):
                gateway.watches[decider].record_switch(now_s)
                self._beat(gateway, decider, now_s)
        update_standby_periods(gateway.watches, gateway.current, now_s)

    def _beat(self, gateway: SimulatedGateway, name: ProcessId, now_s: float) -> None:
        scheduler = self._schedulers[name]
        is_asked = gateway.current == name
        gateway.watches[name].is_attached = is_asked
        if is_asked:
            scheduler.asked_by.add(gateway.number)
        else:
            scheduler.asked_by.discard(gateway.number)
        is_alone = isinstance(gateway.current, LocalDecider)
        scheduler.asks[gateway.number] = "" if is_alone else str(gateway.current)
        came_s = now_s + self._chance.uniform(*_LATENCIES_S)
        gateway.coming.append((came_s, name, scheduler.answer(now_s)))


def measure_local_s(asked: list[set[str]], ready_s: list[float]) -> float:
    """Return the seconds from the first scheduler that was ready to the first that was asked."""
    first = next(step for step, names in enumerate(asked) if names)
    return _STEP_S * first - min(ready_s)


def measure_overlap_s(asked: list[set[str]]) -> float:
    """Return for how many seconds more than one scheduler was asked."""
    return _STEP_S * sum(1 for names in asked if len(names) > 1)
