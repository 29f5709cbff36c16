"""Simulate the deciders of a site on a virtual clock, and count what runs of one workspace.

Gateways, schedulers and keepers fail, restart and are cut off from each other; requests wait
before they are sent and run again. Only what counts usage is real; links and targets are not.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.gatewayregistry import (
    SCHEDULER_TIMEOUT_S,
    compute_gateway_timeout,
    compute_lease,
)
from troutstand.core.ids import ProcessId
from troutstand.core.limits.assumedusage import MAX_RESTART_S
from troutstand.core.limits.quota import QuotaBounds, Quotas, Verdict
from troutstand.core.limits.usagebook import UsageBook
from troutstand.routing.placement import DEFAULT_GATEWAY_COUNT
from troutstand.routing.usagehandover import (
    UsageHandover,
    is_counted_by,
    name_decider,
)
from troutstand.routing.usagestore import MIN_WRITE_PERIOD_S
from troutstand.routing.usagesync import TAKEOVER_S, compute_takeover, should_tell
from troutstand.testing.limitload import (
    WORKSPACE,
    FullestWindow,
    LimitPlan,
    find_fullest_window,
)

if TYPE_CHECKING:
    from troutstand.generated.messages import UsageSnapshot

_STEP_S = 0.02
_START_S = 0.6
_HEARTBEAT_S = 0.1
_HEARTBEAT_PER_GATEWAY_S = 0.0035
_MAX_QUEUE_S = 2.0
_MAX_RUN_DELAY_S = 0.2
_SCHEDULERS = 2
# Seconds for which processes are away after a loss of power.
_AWAY_S = (1.0, 6.5)
_MOST_SHARE = 0.78


class SimulatedFault(Enum):
    """Name what happens to a simulated site."""

    KILL_SCHEDULER = "a scheduler dies"
    KILL_GATEWAYS = "half of the gateways die"
    KILL_SERVERS = "all gateways and schedulers die"
    KILL_ALL = "all processes die"
    CUT_HALVES = "two halves are cut"
    CUT_GATEWAY = "a gateway is cut"
    CUT_SCHEDULERS = "the schedulers are cut"
    POWER_MOST_GATEWAYS = "most gateways lose power"
    POWER_HALF_GATEWAYS = "half of the gateways lose power"
    POWER_SERVERS = "all gateways and schedulers lose power"
    POWER_ALL = "all processes lose power"
    POWER_KEEPERS = "all keepers and schedulers lose power, and most gateways before they return"
    POWER_TWICE = "all processes lose power, and again while they start"


# Faults that come and go at once.
PROCESS_FAULTS = (
    SimulatedFault.KILL_SCHEDULER,
    SimulatedFault.KILL_GATEWAYS,
    SimulatedFault.KILL_SERVERS,
    SimulatedFault.KILL_ALL,
    SimulatedFault.CUT_HALVES,
    SimulatedFault.CUT_GATEWAY,
    SimulatedFault.CUT_SCHEDULERS,
)
# Faults after which processes are away for a while.
POWER_FAULTS = tuple(fault for fault in SimulatedFault if fault not in PROCESS_FAULTS)


@dataclass(frozen=True)
class SimulationPlan:
    """Describe a simulation.

    Parameters
    ----------
    demand
        Tokens asked for, in multiples of the workspace's rate.
    again_share
        Probability that a run is followed by a further one.
    fault_interval_s
        Mean seconds between two faults.
    is_balanced
        Whether callers ask only gateways that are ready.
    """

    seed: int
    gateways: int = 4
    length_s: float = 60.0
    demand: float = 3.0
    again_share: float = 0.1
    mean_tokens: float = 200.0
    fault_interval_s: float = 5.0
    faults: tuple[SimulatedFault, ...] = PROCESS_FAULTS
    is_balanced: bool = False


@dataclass
class _Attachment:
    """Hold when a gateway was last heard, and when the last reply was sent that it has got."""

    heard_s: float
    confirmed_s: float


@dataclass
class _Scheduler:
    name: str
    quotas: Quotas
    attached: dict[int, _Attachment] = field(default_factory=dict)
    is_up: bool = True
    side: int = 0
    starts: int = 0
    told_s: float = 0.0
    # Whether it has just started and waits for the keepers.
    is_loading: bool = False
    up_s: float = 0.0


@dataclass
class _Gateway:
    number: int
    usage: UsageHandover
    # Index of its scheduler, None if it decides locally.
    scheduler: int | None = 0
    local: Quotas | None = None
    # As a scheduler told it; 0 if unknown.
    gateway_count: int = 0
    heartbeat_s: float = 0.0
    period_s: float = 0.0
    # Since when its scheduler does not answer.
    silent_since_s: float | None = None
    up_s: float = 0.0
    side: int = 0
    starts: int = 0
    is_first: bool = True
    told_s: float = 0.0
    # When the keepers last heard from it.
    heard_s: float = 0.0
    # Whether it has just started and waits for the keepers.
    is_loading: bool = False


@dataclass
class _Request:
    gateway: int
    tokens: float
    due_s: float
    quotas: Quotas
    is_first: bool


@dataclass(frozen=True)
class Answer:
    """Record whether the limit allowed a request of a gateway that was ready.

    Parameters
    ----------
    returned_s
        Seconds since the last process was back; 0 while one is away.
    """

    at_s: float
    is_refused: bool
    returned_s: float


class LimitSimulation:
    """Run one simulation and record every run."""

    def __init__(self, plan: SimulationPlan, limit: LimitPlan | None = None) -> None:
        self.plan = plan
        self.limit = limit or LimitPlan()
        self.runs: list[tuple[float, float]] = []
        self.answers: list[Answer] = []
        self.asked = 0.0
        self.history: list[str] = []
        self._rng = random.Random(plan.seed)
        self._jitter = random.Random(plan.seed)
        self._bounds = QuotaBounds(self.limit.window_s, self.limit.excess, self.limit.extra_tokens)
        self._now_s = 0.0
        self._memory = UsageBook(self._bounds.counted_s)
        self._disk: list[UsageSnapshot] = []
        self._disk_s = 0.0
        self._is_disk_behind = False
        self._restored_until_s = float("-inf")
        self._queue: list[_Request] = []
        self._heal_s = math.inf
        self._keepers_up_s = 0.0
        self._all_back_s = 0.0
        # Faults that follow one before.
        self._due_faults: list[tuple[float, SimulatedFault]] = []
        self._schedulers = [
            _Scheduler(f"s{n}", self._make_quotas(f"s{n}|0|0")) for n in range(_SCHEDULERS)
        ]
        self._gateways = [
            _Gateway(n, self._make_handover(n, 0), gateway_count=plan.gateways)
            for n in range(plan.gateways)
        ]

    def _make_quotas(self, name: str, is_private: bool = False) -> Quotas:
        quotas = Quotas(self._bounds, name, is_private)
        quotas.update_workspaces([self.limit.make_workspace()], self._now_s)
        return quotas

    def _make_handover(self, number: int, starts: int) -> UsageHandover:
        return UsageHandover(ProcessId(f"g{number}"), str(starts), self._bounds.counted_s)

    @property
    def _heartbeat_period_s(self) -> float:
        return max(_HEARTBEAT_S, _HEARTBEAT_PER_GATEWAY_S * self.plan.gateways)

    def run(self) -> FullestWindow:
        """Run the simulation and return the fullest window."""
        next_fault_s = self._rng.expovariate(1.0 / self.plan.fault_interval_s)
        while self._now_s < self.plan.length_s:
            self._now_s += _STEP_S
            if self._now_s >= self._heal_s:
                self._heal()
            if self.plan.faults and self._now_s >= next_fault_s:
                self._break(self._rng.choice(self.plan.faults))
                next_fault_s += self._rng.expovariate(1.0 / self.plan.fault_interval_s)
            while self._due_faults and self._due_faults[0][0] <= self._now_s:
                self._break(self._due_faults.pop(0)[1])
            self._tick()
        return find_fullest_window(self.runs, self.limit.window_s)

    # Processes

    def _tick(self) -> None:
        for scheduler in self._schedulers:
            self._tick_scheduler(scheduler)
        for gateway in self._gateways:
            if self._can_load(gateway):
                self._load_gateway(gateway)
            if not gateway.is_loading:
                self._tick_gateway(gateway)
                if gateway.side == 0 and self._has_keepers:
                    gateway.heard_s = self._now_s
        if self._is_disk_behind and self._now_s - self._disk_s >= MIN_WRITE_PERIOD_S:
            self._disk, self._disk_s = self._memory.list_snapshots(self._now_s), self._now_s
            self._is_disk_behind = False
        self._ask()
        self._send()

    @property
    def _has_keepers(self) -> bool:
        return self._now_s >= self._keepers_up_s

    def _can_load(self, process: _Scheduler | _Gateway) -> bool:
        """Return whether a process that has started reaches the keepers."""
        is_up = process.is_loading and self._now_s >= process.up_s
        return is_up and process.side == 0 and self._has_keepers

    def _tick_scheduler(self, scheduler: _Scheduler) -> None:
        if self._can_load(scheduler):
            scheduler.is_up, scheduler.is_loading = True, False
            known = self._memory.list_snapshots(self._now_s)
            scheduler.quotas.merge_usage(known, self._now_s)
            self._hold_back_after_restore(scheduler.quotas)
        if not scheduler.is_up:
            return
        timeout_s = compute_gateway_timeout(self._heartbeat_period_s)
        for number, attachment in list(scheduler.attached.items()):
            if self._now_s - attachment.heard_s > timeout_s:
                del scheduler.attached[number]
        self._set_share(scheduler)
        if scheduler.attached and scheduler.side == 0:
            scheduler.told_s = self._tell_keepers(scheduler.quotas, scheduler.told_s)

    def _set_share(self, scheduler: _Scheduler) -> None:
        lease_s = compute_lease(self._heartbeat_period_s)
        attached = scheduler.attached.values()
        counted = [a for a in attached if self._now_s - a.confirmed_s <= lease_s]
        share = max(1, len(counted)) / self.plan.gateways
        told_s = self._now_s - lease_s - self._heartbeat_period_s - 0.1
        has_fallen = share < scheduler.quotas.share
        scheduler.quotas.set_share(share, told_s)
        if has_fallen:
            self._shed_over_limit(scheduler.quotas)

    def _shed_over_limit(self, quotas: Quotas) -> None:
        for request in reversed(list(self._queue)):
            if request.quotas is quotas and quotas.is_over(WORKSPACE, self._now_s):
                quotas.release(WORKSPACE, request.tokens)
                self._queue.remove(request)

    def _reaches(self, gateway: _Gateway, number: int) -> bool:
        scheduler = self._schedulers[number]
        return scheduler.is_up and scheduler.side == gateway.side

    def _tick_gateway(self, gateway: _Gateway) -> None:
        current = gateway.scheduler
        if current is not None and not self._reaches(gateway, current):
            if gateway.silent_since_s is None:
                gateway.silent_since_s = self._now_s
            if self._now_s - gateway.silent_since_s > SCHEDULER_TIMEOUT_S:
                self._switch(gateway)
            return
        gateway.silent_since_s = None
        if current is None:
            self._switch(gateway)
        if gateway.local is None:
            if self._now_s - gateway.heartbeat_s >= gateway.period_s or gateway.is_first:
                self._beat(gateway)
        elif gateway.side == 0:
            gateway.told_s = self._tell_keepers(gateway.local, gateway.told_s)

    def _tell_keepers(self, quotas: Quotas, told_s: float) -> float:
        """Tell the keepers of usage if it is time; return when they were last told."""
        is_due = should_tell(quotas, self._now_s - told_s, self.plan.gateways)
        if not is_due or not self._has_keepers:
            return told_s
        self._memory.merge(quotas.export_usage(self._now_s), self._now_s)
        quotas.mark_told()
        self._is_disk_behind = True
        return self._now_s

    def _load_gateway(self, gateway: _Gateway) -> None:
        """Start a gateway with what the keepers know, which counts if it decides locally."""
        gateway.is_loading = False
        gateway.gateway_count = self.plan.gateways
        self._decide_locally(gateway)
        assert gateway.local is not None
        process = ProcessId(f"g{gateway.number}")
        known = self._memory.list_snapshots(self._now_s)
        counted = [u for u in known if is_counted_by(u, process) or not u.is_private]
        # A keeper that has started later than that does not know.
        is_known = gateway.heard_s >= self._keepers_up_s
        absent_s = self._now_s - gateway.heard_s
        if is_known and absent_s > MAX_RESTART_S:
            name = name_decider(process, str(gateway.starts))
            assumed = gateway.local.assume_usage(name, counted, absent_s)
            counted += assumed
        gateway.usage.merge(counted, self._now_s)
        gateway.local.merge_usage(counted, self._now_s)
        self._hold_back_after_restore(gateway.local)

    def _hold_back_after_restore(self, quotas: Quotas) -> None:
        """Admit no excess for a window if the keepers have just started themselves."""
        if self._now_s < self._restored_until_s:
            quotas.hold_back_excess(self._now_s + self._bounds.counted_s)

    def _switch(self, gateway: _Gateway) -> None:
        reachable = [n for n in range(_SCHEDULERS) if self._reaches(gateway, n)]
        if not reachable:
            if gateway.local is None:
                self._decide_locally(gateway)
            return
        if gateway.local is not None:
            usage = gateway.local.export_usage(self._now_s)
            gateway.usage.merge(usage, self._now_s)
            if gateway.side == 0 and self._has_keepers:
                self._memory.merge(usage, self._now_s)
                self._is_disk_behind = True
            gateway.local = None
        gateway.scheduler = max(reachable, key=lambda n: len(self._schedulers[n].attached))
        for number, scheduler in enumerate(self._schedulers):
            if number != gateway.scheduler and self._reaches(gateway, number):
                scheduler.attached.pop(gateway.number, None)
        gateway.silent_since_s = None
        gateway.is_first = True
        self._beat(gateway)

    def _decide_locally(self, gateway: _Gateway) -> None:
        share = 1.0 / (gateway.gateway_count or DEFAULT_GATEWAY_COUNT)
        name = name_decider(
            ProcessId(f"g{gateway.number}"), str(gateway.starts), int(self._now_s * 1000)
        )
        gateway.scheduler, gateway.local = None, self._make_quotas(name, is_private=True)
        gateway.local.set_share(share)
        gateway.local.merge_usage(gateway.usage.list_usage(share, self._now_s), self._now_s)
        gateway.local.hold_back_excess(self._now_s + TAKEOVER_S)

    def _beat(self, gateway: _Gateway) -> None:
        assert gateway.scheduler is not None
        scheduler = self._schedulers[gateway.scheduler]
        confirmed_s = self._now_s if gateway.is_first else gateway.heartbeat_s
        gateway.heartbeat_s = self._now_s
        gateway.period_s = self._heartbeat_period_s * self._jitter.uniform(0.9, 1.1)
        if not scheduler.attached:
            takeover_s = compute_takeover(self._heartbeat_period_s)
            scheduler.quotas.hold_back_excess(self._now_s + takeover_s)
        if gateway.is_first:
            share = 1.0 / (gateway.gateway_count or DEFAULT_GATEWAY_COUNT)
            usage = gateway.usage.list_usage(share, self._now_s)
            scheduler.quotas.merge_usage(usage, self._now_s)
            gateway.is_first = False
        gateway.gateway_count = self.plan.gateways
        scheduler.attached[gateway.number] = _Attachment(self._now_s, confirmed_s)
        self._set_share(scheduler)
        gateway.usage.merge_reply(scheduler.quotas.export_usage(self._now_s), self._now_s)

    # Faults

    def _break(self, fault: SimulatedFault) -> None:
        self.history.append(f"{self._now_s:.2f} {fault.value}")
        match fault:
            case SimulatedFault.KILL_SCHEDULER:
                self._kill_scheduler(self._rng.choice(self._schedulers))
            case SimulatedFault.KILL_GATEWAYS:
                for gateway in self._gateways[: max(1, self.plan.gateways // 2)]:
                    self._kill_gateway(gateway)
            case SimulatedFault.KILL_SERVERS | SimulatedFault.KILL_ALL:
                if fault is SimulatedFault.KILL_ALL:
                    self._restore_keepers(self._now_s)
                self._stop(self._gateways, self._schedulers, 0.0)
            case SimulatedFault.CUT_HALVES:
                self._cut(self._gateways[::2], [self._schedulers[1]])
            case SimulatedFault.CUT_GATEWAY:
                self._cut([self._rng.choice(self._gateways)], [])
            case SimulatedFault.CUT_SCHEDULERS:
                self._cut([], self._schedulers)
            case _:
                self._cut_power(fault)

    def _cut_power(self, fault: SimulatedFault) -> None:
        """Take processes away for a while."""
        away_s = self._rng.uniform(*_AWAY_S)
        most = self._gateways[: math.ceil(_MOST_SHARE * self.plan.gateways)]
        half = self._gateways[: self.plan.gateways // 2]
        match fault:
            case SimulatedFault.POWER_MOST_GATEWAYS:
                self._stop(most, [], away_s)
            case SimulatedFault.POWER_HALF_GATEWAYS:
                self._stop(half, [], away_s)
            case SimulatedFault.POWER_SERVERS:
                self._stop(self._gateways, self._schedulers, away_s)
            case SimulatedFault.POWER_ALL:
                self._stop_keepers(away_s)
                self._stop(self._gateways, self._schedulers, away_s)
            case SimulatedFault.POWER_KEEPERS:
                self._stop_keepers(away_s)
                self._stop([], self._schedulers, away_s)
                gateways_s = self._now_s + self._rng.uniform(0.0, away_s)
                self._due_faults.append((gateways_s, SimulatedFault.POWER_MOST_GATEWAYS))
            case SimulatedFault.POWER_TWICE:
                self._due_faults.append((self._now_s, SimulatedFault.POWER_ALL))
                again_s = self._now_s + self._rng.uniform(*_AWAY_S)
                self._due_faults.append((again_s, SimulatedFault.POWER_ALL))
            case _:
                raise AssertionError(fault)

    def _stop(self, gateways: list[_Gateway], schedulers: list[_Scheduler], away_s: float) -> None:
        for scheduler in schedulers:
            self._kill_scheduler(scheduler, away_s)
        for gateway in gateways:
            self._kill_gateway(gateway, away_s)

    def _stop_keepers(self, away_s: float) -> None:
        self._keepers_up_s = self._now_s + away_s
        self._all_back_s = max(self._all_back_s, self._keepers_up_s)
        self._restore_keepers(self._keepers_up_s)

    def _restore_keepers(self, up_s: float) -> None:
        """Leave the keepers what is on their disks, as if it was told when they start."""
        stored_s = self._now_s
        self._memory = UsageBook(self._bounds.counted_s)
        age_ms = 1000.0 * (up_s - stored_s)
        stored = [
            msgspec.structs.replace(u, age_ms=max(0, int(u.age_ms - age_ms))) for u in self._disk
        ]
        self._memory.merge(stored, stored_s)
        self._restored_until_s = up_s + self._bounds.counted_s

    def _cut(self, gateways: list[_Gateway], schedulers: list[_Scheduler]) -> None:
        self._heal()
        for process in (*gateways, *schedulers):
            process.side = 1
        self._heal_s = self._now_s + self._rng.uniform(0.3, 8.0)

    def _heal(self) -> None:
        self._heal_s = math.inf
        for process in (*self._gateways, *self._schedulers):
            process.side = 0

    def _kill_scheduler(self, scheduler: _Scheduler, away_s: float = 0.0) -> None:
        """Kill a scheduler; it is back after a time with what the keepers know."""
        scheduler.starts += 1
        scheduler.up_s = self._now_s + away_s
        self._all_back_s = max(self._all_back_s, scheduler.up_s)
        scheduler.attached = {}
        scheduler.quotas = self._make_quotas(f"{scheduler.name}|{scheduler.starts}|0")
        scheduler.is_up, scheduler.is_loading = False, True
        for gateway in self._gateways:
            # It finds that the scheduler has started anew.
            gateway.is_first |= self._schedulers.index(scheduler) == gateway.scheduler

    def _kill_gateway(self, gateway: _Gateway, away_s: float = 0.0) -> None:
        """Kill a gateway; it is back after a while with what the keepers know."""
        gateway.starts += 1
        gateway.up_s = self._now_s + away_s + _START_S
        self._all_back_s = max(self._all_back_s, gateway.up_s)
        gateway.gateway_count = 0
        gateway.usage = self._make_handover(gateway.number, gateway.starts)
        gateway.local, gateway.scheduler = None, None
        gateway.silent_since_s, gateway.is_first, gateway.is_loading = None, True, True
        self._queue = [r for r in self._queue if r.gateway != gateway.number]

    # Requests

    def _ask(self) -> None:
        mean = self.plan.demand * self.limit.tokens_per_s * _STEP_S / self.plan.mean_tokens
        for _ in range(self._draw_count(mean)):
            tokens = max(
                1.0, self._rng.lognormvariate(math.log(self.plan.mean_tokens) - 0.245, 0.7)
            )
            self.asked += tokens
            gateways = self._list_ready() if self.plan.is_balanced else self._gateways
            if gateways:
                self._place(self._rng.choice(gateways), tokens, is_first=True)

    def _list_ready(self) -> list[_Gateway]:
        return [g for g in self._gateways if not g.is_loading]

    def _draw_count(self, mean: float) -> int:
        threshold, count, product = math.exp(-mean), 0, self._rng.random()
        while product > threshold:
            count += 1
            product *= self._rng.random()
        return count

    def _find_quotas(self, gateway: _Gateway) -> Quotas | None:
        if gateway.is_loading:
            return None
        if gateway.local is not None:
            return gateway.local
        number = gateway.scheduler
        if number is None or not self._reaches(gateway, number) or gateway.is_first:
            return None
        return self._schedulers[number].quotas

    def _place(self, gateway: _Gateway, tokens: float, is_first: bool) -> None:
        quotas = self._find_quotas(gateway)
        if quotas is None:
            return
        decision = quotas.reserve(WORKSPACE, tokens, self._now_s, is_first)
        is_refused = decision.verdict is Verdict.REFUSED
        if is_first:
            returned_s = max(0.0, self._now_s - self._all_back_s)
            self.answers.append(Answer(self._now_s, is_refused, returned_s))
        if is_refused:
            return
        due_s = self._now_s + self._rng.uniform(0.0, _MAX_QUEUE_S) * self._rng.choice((0, 0, 1))
        self._queue.append(_Request(gateway.number, tokens, due_s, quotas, is_first))

    def _send(self) -> None:
        due = [r for r in self._queue if r.due_s <= self._now_s]
        self._queue = [r for r in self._queue if r.due_s > self._now_s]
        for request in due:
            gateway = self._gateways[request.gateway]
            if self._find_quotas(gateway) is not request.quotas:
                # Its decider has changed; it is placed again there.
                request.quotas.release(WORKSPACE, request.tokens)
                self._place(gateway, request.tokens, request.is_first)
                continue
            request.quotas.charge(WORKSPACE, request.tokens, self._now_s, request.is_first)
            if gateway.local is None:
                gateway.usage.record_sent(WORKSPACE, request.tokens, self._now_s)
            delay_s = self._rng.uniform(0.0, _MAX_RUN_DELAY_S)
            self.runs.append((self._now_s + delay_s, request.tokens))
            if self._rng.random() < self.plan.again_share:
                self._place(gateway, request.tokens, is_first=False)

    def get_used_share(self) -> float:
        """Return what ran as a share of what the limit alone allows over the whole time."""
        allowed = self.limit.tokens_per_s * self.plan.length_s + self.limit.burst_tokens
        return sum(tokens for _, tokens in self.runs) / min(allowed, self.asked)
