"""Simulate how gateways select a scheduler after all processes restart, on a virtual clock."""

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
_CHECK_PERIOD_S = 0.1
_HEARTBEAT_PERIOD_S = 0.1
# Bounds of a heartbeat's round trip, from one failure domain to several.
_ROUND_TRIP_S = (0.002, 0.04)


@dataclass
class SimulatedScheduler:
    """Track which gateways are attached to one starting scheduler."""

    ready_s: float
    attached_gateways: set[int] = field(default_factory=set)
    # The scheduler that each gateway uses, by its last heartbeat to this one.
    schedulers_in_use: dict[int, str] = field(default_factory=dict)

    def make_reply(self, now_s: float) -> Attached:
        """Make the reply to a heartbeat."""
        reported = [name for name in self.schedulers_in_use.values() if name]
        most_used = max(sorted(set(reported)), key=reported.count, default="")
        return Attached(
            incarnation="1",
            period_s=_HEARTBEAT_PERIOD_S,
            attached=len(self.attached_gateways),
            is_ready=now_s >= self.ready_s,
            ready_s=max(0.0, now_s - self.ready_s),
            most_asked=most_used,
            most_asked_by=reported.count(most_used) if most_used else 0,
        )


@dataclass
class SimulatedGateway:
    """Track the scheduler health and the choice of one starting gateway."""

    number: int
    next_check_s: float
    health: dict[ProcessId, SchedulerHealth]
    next_heartbeat_s: dict[ProcessId, float]
    current: Decider = LocalDecider.LOCAL
    # Replies in flight, with their arrival times.
    pending_replies: list[tuple[float, ProcessId, Attached]] = field(default_factory=list)


class ColdStartSimulation:
    """Simulate the first seconds of gateways and schedulers.

    Parameters
    ----------
    ready_s
        When each scheduler is ready to serve, in seconds.
    """

    def __init__(self, seed: int, gateways: int, ready_s: list[float]) -> None:
        self._rng = random.Random(seed)
        self._schedulers = {
            ProcessId(f"scheduler-{number}"): SimulatedScheduler(at_s)
            for number, at_s in enumerate(ready_s)
        }
        self._gateways = [self._make_gateway(number) for number in range(gateways)]

    def _make_gateway(self, number: int) -> SimulatedGateway:
        uniform = self._rng.uniform
        return SimulatedGateway(
            number,
            uniform(0.0, _CHECK_PERIOD_S),
            {name: SchedulerHealth() for name in self._schedulers},
            {name: uniform(0.0, _HEARTBEAT_PERIOD_S) for name in self._schedulers},
        )

    def play(self, length_s: float) -> list[set[str]]:
        """Return the schedulers in use in each step of 0.01 s."""
        asked: list[set[str]] = []
        for step in range(round(length_s / _STEP_S)):
            for gateway in self._gateways:
                self._step(gateway, step * _STEP_S)
            currents = [gateway.current for gateway in self._gateways]
            asked.append({str(name) for name in currents if not isinstance(name, LocalDecider)})
        return asked

    def _step(self, gateway: SimulatedGateway, now_s: float) -> None:
        for reply in [c for c in gateway.pending_replies if c[0] <= now_s]:
            gateway.pending_replies.remove(reply)
            gateway.health[reply[1]].update(reply[2], now_s)
            if isinstance(gateway.current, LocalDecider) and reply[2].is_ready:
                gateway.next_check_s = now_s
        if now_s >= gateway.next_check_s:
            gateway.next_check_s = now_s + _CHECK_PERIOD_S
            self._select_scheduler(gateway, now_s)
        for name, scheduler_health in gateway.health.items():
            if scheduler_health.wake.is_set() or now_s >= gateway.next_heartbeat_s[name]:
                scheduler_health.wake.clear()
                is_current = gateway.current == name
                period_s = (
                    scheduler_health.period_s if is_current else scheduler_health.standby_period_s
                )
                gateway.next_heartbeat_s[name] = now_s + period_s * self._rng.uniform(0.9, 1.1)
                self._send_heartbeat(gateway, name, now_s)

    def _select_scheduler(self, gateway: SimulatedGateway, now_s: float) -> None:
        decider = choose_decider(gateway.health, gateway.current, now_s)
        if decider != gateway.current:
            gateway.current = decider
            if not isinstance(decider, LocalDecider):
                gateway.health[decider].record_switch(now_s)
                self._send_heartbeat(gateway, decider, now_s)
        update_standby_periods(gateway.health, gateway.current, now_s)

    def _send_heartbeat(self, gateway: SimulatedGateway, name: ProcessId, now_s: float) -> None:
        scheduler = self._schedulers[name]
        is_current = gateway.current == name
        gateway.health[name].is_attached = is_current
        if is_current:
            scheduler.attached_gateways.add(gateway.number)
        else:
            scheduler.attached_gateways.discard(gateway.number)
        is_local = isinstance(gateway.current, LocalDecider)
        scheduler.schedulers_in_use[gateway.number] = "" if is_local else str(gateway.current)
        arrival_s = now_s + self._rng.uniform(*_ROUND_TRIP_S)
        gateway.pending_replies.append((arrival_s, name, scheduler.make_reply(now_s)))


def measure_local_s(asked: list[set[str]], ready_s: list[float]) -> float:
    """Return the seconds from the first ready scheduler to the first one in use."""
    first = next(step for step, names in enumerate(asked) if names)
    return _STEP_S * first - min(ready_s)


def measure_overlap_s(asked: list[set[str]]) -> float:
    """Return for how many seconds more than one scheduler was in use."""
    return _STEP_S * sum(1 for names in asked if len(names) > 1)
