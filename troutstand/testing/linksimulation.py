"""Simulate gateways and their scheduler on links that lose messages, and compare their tables.

The tables are the real ones, on a virtual clock; the network and the targets are not. Links are
reset, and single messages are dropped, doubled, delayed and reordered until the faults end.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codec import encode_record
from troutstand.core.dispatch import Dispatcher
from troutstand.core.gatewayregistry import (
    SCHEDULER_TIMEOUT_S,
    GatewayRegistry,
    compute_gateway_timeout,
)
from troutstand.core.gatewaystates import GatewayStates, StateTable
from troutstand.core.ids import ProcessId
from troutstand.core.limits.quota import QuotaBounds, Quotas
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.core.runledger import RunMark, get_marks
from troutstand.generated.messages import (
    Abandon,
    AttachAsk,
    Attached,
    Declined,
    Ended,
    Ending,
    FirstByte,
    ListedState,
    ListedTarget,
    PathLost,
    Place,
    Placed,
    RoutedWork,
    Silence,
    TargetNotices,
)
from troutstand.routing.placedrequests import PlacedRequests

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.gatewaystates import Correction
    from troutstand.generated.messages import PeerMessage, RunDigest

# Within which the tables are equal again after the links are back.
BOUND_S = 2.0
_SERVICE = "work"
_SCHEDULER = ProcessId("scheduler-1")
_TICK_S = 0.05
_HEARTBEAT_S = 0.1
_HEARTBEAT_PER_GATEWAY_S = 0.0035
_DELAY_S = (0.001, 0.02)
_FAULT_BEGIN_S, _FAULT_END_S = 0.5, 2.5
_MAX_EXTRA_DELAY_S = 0.4
_REOPEN_S = (0.01, 0.06)
_DRAIN_S = 0.1
_PLACE_TIMEOUT_S = 1.0
_MAX_TOTAL_RATE_PER_S = 300.0
_ENDINGS = (Ending.whole, Ending.whole, Ending.whole, Ending.failed, Ending.turned_away)

# Gateway, request, target.
_Run = tuple[str, str, str]


@dataclass(frozen=True)
class LinkPlan:
    """Describe a simulation.

    Parameters
    ----------
    loss
        Probability that a message is dropped while the faults last.
    double, delay
        The same for one that arrives twice, or later than others sent after it.
    resets
        Mean number of resets of each link.
    corrects
        Whether gateways send digests; without them nothing is corrected.
    """

    seed: int
    gateways: int
    loss: float
    double: float
    delay: float
    resets: float
    corrects: bool = True


def draw_plan(seed: int, corrects: bool = True, gateways: int = 0) -> LinkPlan:
    """Return the plan of a seed, with up to 330 gateways unless their number is given."""
    rng = random.Random(seed)
    drawn = rng.choice((1, 2, 4, 8, 14, 30, 79, 330))
    return LinkPlan(
        seed,
        gateways or drawn,
        rng.choice((0.0, 0.05, 0.3)),
        rng.choice((0.0, 0.05, 0.3)),
        rng.choice((0.0, 0.05, 0.3)),
        rng.choice((1.0, 3.0, 10.0)),
        corrects,
    )


@dataclass
class LinkResult:
    """Hold what differed after the bound, and what was corrected and sent before."""

    # Requests that the scheduler counts and no gateway runs, and the other way round.
    surplus: list[_Run] = field(default_factory=list)
    missing: list[_Run] = field(default_factory=list)
    # Requests whose first byte, silence or lost path is known to one side only.
    unlike: list[_Run] = field(default_factory=list)
    unlike_notices: int = 0
    # Slots or tokens of targets that are not the sum over their requests.
    unlike_sums: int = 0
    placed: int = 0
    corrected: dict[StateTable, int] = field(default_factory=dict)
    max_digest_bytes: int = 0

    @property
    def is_equal(self) -> bool:
        """Return whether the scheduler's tables equal the gateways'."""
        runs = self.surplus or self.missing or self.unlike
        return not (runs or self.unlike_notices or self.unlike_sums)


class _Gateway:
    """Model a gateway: its requests, and what it sends."""

    def __init__(self, name: ProcessId) -> None:
        self.name = name
        self.placed = PlacedRequests()
        self.pending: dict[str, RoutedWork] = {}
        self.connection = 0
        self.is_up = True
        self.is_attached = False
        self.is_state_asked = False
        self.echo = 0
        self.notices = 0
        self.heartbeat = 0
        # Whether a heartbeat has no reply yet, and the next one is sent at once.
        self.is_awaiting = False
        self.is_woken = False
        self.next_s = 0.0


class LinkSimulation:
    """Run one plan."""

    def __init__(self, plan: LinkPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._now_s = 0.0
        self._is_stopped = False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._requests = itertools.count()
        self._result = LinkResult()
        self._gateways = [_Gateway(ProcessId(f"gateway-{n}")) for n in range(plan.gateways)]
        self._by_name = {gateway.name: gateway for gateway in self._gateways}
        self._registry = GatewayRegistry()
        self._dispatcher = Dispatcher(Quotas(QuotaBounds()), RetryBudget(0.2, 50, 10.0))
        self._states = GatewayStates(self._dispatcher)
        self._waiting: dict[tuple[str, str], int] = {}
        self._rate_per_s = min(20.0, _MAX_TOTAL_RATE_PER_S / plan.gateways)
        slots = max(4, int(self._rate_per_s * plan.gateways / 8))
        self._dispatcher.update_targets(
            [
                ListedTarget(f"t{n}", _SERVICE, f"10.0.0.{n}:1", "d", slots, ListedState.ready)
                for n in range(8)
            ],
            0.0,
        )
        self._period_s = max(_HEARTBEAT_S, _HEARTBEAT_PER_GATEWAY_S * plan.gateways)

    def run(self) -> LinkResult:
        """Run to the bound after the last fault, and compare the tables."""
        for gateway in self._gateways:
            self._after(self._rng.uniform(0, self._period_s / 2), lambda g=gateway: self._beat(g))
            self._after(self._rng.random() / self._rate_per_s, lambda g=gateway: self._arrive(g))
            for _ in range(self._draw_count(self._plan.resets)):
                at_s = self._rng.uniform(_FAULT_BEGIN_S, _FAULT_END_S)
                self._after(at_s, lambda g=gateway: self._reset(g))
        self._after(_TICK_S, self._tick)
        last_s = _FAULT_END_S + max(_MAX_EXTRA_DELAY_S, _REOPEN_S[1]) + _DELAY_S[1]
        self._run_until(last_s + BOUND_S)
        # What is on its way arrives; nothing else happens.
        self._is_stopped = True
        self._run_until(self._now_s + _DRAIN_S)
        return self._compare()

    def _draw_count(self, mean: float) -> int:
        return int(mean) + (self._rng.random() < mean % 1)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now_s + delay_s, next(self._order), action))

    def _act(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something later that is not the arrival of a message."""
        self._after(delay_s, lambda: None if self._is_stopped else action())

    def _run_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        self._now_s = end_s

    # Network

    def _is_faulty(self) -> bool:
        return _FAULT_BEGIN_S <= self._now_s < _FAULT_END_S

    def _transmit(self, gateway: _Gateway, deliver: Callable[[], None]) -> None:
        """Deliver a message on the gateway's connection, in order but for faults."""
        if not gateway.is_up:
            return
        connection = gateway.connection
        delay_s = self._rng.uniform(*_DELAY_S)
        copies = 1
        if self._is_faulty():
            if self._rng.random() < self._plan.loss:
                return
            copies += self._rng.random() < self._plan.double
        for _ in range(copies):
            if self._is_faulty() and self._rng.random() < self._plan.delay:
                extra_s = self._rng.uniform(0, _MAX_EXTRA_DELAY_S)
                self._after(delay_s + extra_s, deliver)
                continue
            gateway.next_s = max(gateway.next_s, self._now_s + delay_s)
            self._after(
                gateway.next_s - self._now_s,
                lambda: deliver() if gateway.connection == connection else None,
            )

    def _reset(self, gateway: _Gateway) -> None:
        gateway.connection += 1
        gateway.is_up = False
        self._after(self._rng.uniform(*_REOPEN_S), lambda: self._reopen(gateway))

    def _reopen(self, gateway: _Gateway) -> None:
        gateway.is_up = True
        for work in list(gateway.pending.values()):
            self._send(gateway, Abandon(work.request))
            self._send(gateway, Place(work))

    def _send(self, gateway: _Gateway, message: PeerMessage) -> None:
        self._transmit(gateway, lambda: self._handle(gateway.name, message))

    # Gateways

    def _arrive(self, gateway: _Gateway) -> None:
        if self._is_stopped:
            return
        work = RoutedWork(
            request=f"r{next(self._requests)}",
            service=_SERVICE,
            objective_s=1.0,
            remaining_s=_PLACE_TIMEOUT_S,
            prompt_tokens=100,
            output_tokens=10,
            failure_domain="d",
        )
        gateway.pending[work.request] = work
        self._send(gateway, Place(work))
        self._act(_PLACE_TIMEOUT_S, lambda: self._leave(gateway, work.request))
        self._after(self._rng.expovariate(self._rate_per_s), lambda: self._arrive(gateway))
        if self._rng.random() < 0.1:
            gateway.notices += 1
            self._send(gateway, TargetNotices([]))

    def _leave(self, gateway: _Gateway, request: str) -> None:
        if gateway.pending.pop(request, None) is not None:
            self._send(gateway, Abandon(request))

    def _receive(self, gateway: _Gateway, answer: Placed | Declined) -> None:
        work = gateway.pending.pop(answer.request, None)
        if not isinstance(answer, Placed):
            return
        gateway.placed.record_number(answer.number)
        if work is None:
            self._wake(gateway)
            return
        gateway.placed.start(work, answer, self._now_s)
        self._result.placed += 1
        request, target = answer.request, answer.target
        first_s = self._rng.uniform(0.005, 0.3)
        self._act(first_s, lambda: self._begin(gateway, request, target))
        end_s = first_s + self._rng.choice((0.01, 0.2, 2.0)) * self._rng.random()
        self._act(end_s, lambda: self._end(gateway, request, target))
        if self._rng.random() < 0.2:
            self._act(
                self._rng.uniform(0, end_s), lambda: self._fall_silent(gateway, request, target)
            )
        if self._rng.random() < 0.1:
            self._act(
                max(first_s, end_s - 0.1 * self._rng.random()),
                lambda: self._lose_path(gateway, request, target),
            )

    def _begin(self, gateway: _Gateway, request: str, target: str) -> None:
        first = gateway.placed.record_first_byte(request, target, -1.0, self._now_s)
        if first is not None:
            self._send(gateway, first)

    def _fall_silent(self, gateway: _Gateway, request: str, target: str) -> None:
        if gateway.placed.find_work(request, target) is None:
            return
        gateway.placed.mark_silent(request, target, is_silent=True)
        self._send(gateway, Silence(request, target))
        if self._rng.random() < 0.5:
            self._act(0.05, lambda: self._go_on(gateway, request, target))

    def _go_on(self, gateway: _Gateway, request: str, target: str) -> None:
        if gateway.placed.find_work(request, target) is not None:
            gateway.placed.mark_silent(request, target, is_silent=False)
            self._send(gateway, Silence(request, target, is_over=True))

    def _lose_path(self, gateway: _Gateway, request: str, target: str) -> None:
        if gateway.placed.find_work(request, target) is not None:
            gateway.placed.mark_path_lost(request, target)
            self._send(gateway, PathLost(request, target))

    def _end(self, gateway: _Gateway, request: str, target: str) -> None:
        if gateway.placed.find_work(request, target) is None:
            return
        ended = Ended(request, target, self._rng.choice(_ENDINGS), 0.01, 0.1)
        gateway.placed.finish(ended, None, self._now_s)
        self._send(gateway, ended)

    # Heartbeats

    def _make_heartbeat(self, gateway: _Gateway, is_first: bool, is_whole: bool) -> AttachAsk:
        is_full = is_first or is_whole
        digest = gateway.placed.make_digest(gateway.notices)
        self._measure(digest)
        return AttachAsk(
            gateway.name,
            "i1",
            is_attached=True,
            is_first=is_first,
            attachment=1,
            asks=_SCHEDULER,
            echo=gateway.echo,
            running=gateway.placed.list_running(self._now_s) if is_full else [],
            endings=gateway.placed.list_endings(self._now_s) if is_full else [],
            digest=digest if self._plan.corrects else None,
            is_whole=is_whole,
        )

    def _measure(self, digest: RunDigest) -> None:
        heartbeat = AttachAsk("gateway", "i1", is_attached=True)
        added = msgspec.structs.replace(heartbeat, digest=digest)
        size = len(encode_record(added)) - len(encode_record(heartbeat))
        self._result.max_digest_bytes = max(self._result.max_digest_bytes, size)

    def _beat(self, gateway: _Gateway) -> None:
        if self._is_stopped:
            return
        gateway.heartbeat += 1
        number = gateway.heartbeat
        gateway.is_awaiting, gateway.is_woken = True, False
        is_first = not gateway.is_attached
        is_whole, gateway.is_state_asked = gateway.is_state_asked and not is_first, False
        gateway.is_attached = True
        heartbeat = self._make_heartbeat(gateway, is_first, is_whole)
        self._transmit(gateway, lambda: self._handle_heartbeat(gateway, heartbeat, number))
        self._act(SCHEDULER_TIMEOUT_S, lambda: self._miss_reply(gateway, number, is_first))

    def _miss_reply(self, gateway: _Gateway, number: int, is_first: bool) -> None:
        if gateway.heartbeat == number:
            gateway.is_attached = not is_first
            self._plan_beat(gateway, is_at_once=gateway.is_woken)

    def _plan_beat(self, gateway: _Gateway, is_at_once: bool) -> None:
        """End the wait for a reply, and send the next heartbeat after the period or at once."""
        gateway.heartbeat += 1
        gateway.is_awaiting = False
        if is_at_once:
            self._beat(gateway)
            return
        number = gateway.heartbeat
        self._act(
            self._period_s * self._rng.uniform(0.9, 1.1),
            lambda: self._beat(gateway) if gateway.heartbeat == number else None,
        )

    def _wake(self, gateway: _Gateway) -> None:
        """Send the next heartbeat at once, or after the reply that is due."""
        gateway.is_woken = gateway.is_awaiting
        if not gateway.is_awaiting:
            self._beat(gateway)

    def _receive_reply(self, gateway: _Gateway, reply: Attached, number: int) -> None:
        if gateway.heartbeat != number:
            return
        gateway.echo = reply.number
        gateway.is_state_asked = reply.asks_state
        self._plan_beat(gateway, is_at_once=reply.asks_state or gateway.is_woken)

    # Scheduler

    def _handle(self, peer: ProcessId, message: PeerMessage) -> None:
        dispatcher = self._dispatcher
        self._states.record(peer, message)
        match message:
            case Place(work):
                self._waiting[peer, work.request] = self._by_name[peer].connection
                dispatcher.place(work, peer, self._now_s)
            case Abandon(request, running_at):
                dispatcher.abandon(request, self._now_s, running_at)
                self._waiting.pop((peer, request), None)
            case FirstByte():
                dispatcher.record_first_byte(message, self._now_s)
            case Ended():
                if not self._states.is_late(peer, message):
                    dispatcher.finish(message, self._now_s)
            case PathLost(request, target):
                dispatcher.mark_path_lost(request, target)
            case Silence():
                dispatcher.record_silence(message, self._now_s)
            case _:
                pass
        self._deliver()

    def _deliver(self) -> None:
        for decision in self._dispatcher.drain_decisions():
            answer = decision.answer
            gateway = self._by_name[ProcessId(decision.owner)]
            if isinstance(answer, Placed):
                answer = self._states.start(decision.owner, answer, self._now_s)
            connection = self._waiting.pop((decision.owner, answer.request), None)
            if connection == gateway.connection:
                self._transmit(gateway, lambda g=gateway, a=answer: self._receive(g, a))
            elif isinstance(answer, Placed):
                # Nobody waits for it, or the connection is closed on which it would be sent.
                self._states.abandon_placement(decision.owner, answer)
                self._dispatcher.abandon_placement(answer, self._now_s)

    def _handle_heartbeat(self, gateway: _Gateway, heartbeat: AttachAsk, number: int) -> None:
        state = self._registry.find(gateway.name)
        is_repeated = state is not None and state.is_attached
        replied_s = self._registry.find_replied_s(gateway.name, heartbeat)
        self._registry.record_heartbeat(gateway.name, heartbeat, self._now_s)
        if heartbeat.is_first and not is_repeated:
            self._states.correct(gateway.name, heartbeat, float("-inf"), self._now_s)
        elif heartbeat.is_whole and replied_s > float("-inf"):
            self._count(
                self._states.correct(gateway.name, heartbeat, replied_s, self._now_s),
            )
        self._deliver()
        reply_number = self._registry.number_reply(gateway.name, self._now_s)
        asks_state = self._states.check(gateway.name, heartbeat, replied_s, self._now_s)
        reply = Attached("s1", self._period_s, number=reply_number, asks_state=asks_state)
        self._transmit(gateway, lambda: self._receive_reply(gateway, reply, number))

    def _count(self, corrections: list[Correction]) -> None:
        for correction in corrections:
            before = self._result.corrected.get(correction.table, 0)
            self._result.corrected[correction.table] = before + correction.count

    def _tick(self) -> None:
        if self._is_stopped:
            return
        timeout_s = compute_gateway_timeout(self._period_s)
        for name in self._registry.detach_silent(self._now_s, timeout_s):
            self._states.drop(name)
            self._dispatcher.drop_owner(name, self._now_s)
        self._dispatcher.tick(self._now_s)
        self._deliver()
        self._after(_TICK_S, self._tick)

    # Comparison

    def _compare(self) -> LinkResult:
        believed: dict[_Run, RunMark] = {}
        targets = self._dispatcher.pools[_SERVICE].targets
        for name, state in targets.items():
            tokens = 0.0
            for request, run in state.running.items():
                marks = RunMark.FIRST_BYTE if run.has_first_byte else RunMark.NONE
                marks |= RunMark.PATH_LOST if run.is_path_lost else RunMark.NONE
                marks |= RunMark.SILENT if run.is_silent else RunMark.NONE
                believed[run.owner, request, name] = marks
                tokens += 0.0 if run.has_first_byte else run.uncached_tokens
            is_equal = abs(tokens - state.backlog_tokens) < 1e-6
            self._result.unlike_sums += not (
                is_equal and sum(state.pause_counts.values()) == len(state.running)
            )
        actual = {
            (str(gateway.name), placed.work.request, placed.target): get_marks(placed)
            for gateway in self._gateways
            for placed in gateway.placed.list_running(self._now_s)
        }
        self._result.surplus = sorted(believed.keys() - actual.keys())
        self._result.missing = sorted(actual.keys() - believed.keys())
        self._result.unlike = sorted(
            run for run in believed.keys() & actual.keys() if believed[run] != actual[run]
        )
        self._result.unlike_notices = sum(
            self._states.count_notices(gateway.name) != gateway.notices
            for gateway in self._gateways
        )
        return self._result


def simulate_links(plan: LinkPlan) -> LinkResult:
    """Run a simulation of links that lose messages."""
    return LinkSimulation(plan).run()
