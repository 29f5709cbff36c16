"""Lose messages between gateways and a scheduler, and compare their tables."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest.mock import patch

from behave import given, then, when

from troutstand.core.ids import ProcessId
from troutstand.core.targetstate import RunningRequest, TargetState
from troutstand.generated.configuration import RoutedWorkspace
from troutstand.generated.messages import (
    AttachAsk,
    Attached,
    Ended,
    Ending,
    ListedState,
    ListedTarget,
    PathLost,
    Place,
    Placed,
    RoutedWork,
    Silence,
)
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.routing.dialect import Dialect
from troutstand.routing.placedrequests import PlacedRequests
from troutstand.routing.scheduler import RoutingScheduler
from troutstand.testing.linksimulation import draw_plan, simulate_links

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.generated.messages import PeerMessage
    from troutstand.util.events import Event

_GATEWAY = ProcessId("gateway-1")
_SERVICE = "work"
_TARGET = "t1"
_CHARGE = 10
_HEARTBEAT_S = 0.1
_FINGERPRINT = "f1"
_LATE_S = 3.0


class LinkedPair:
    """Connect a scheduler in memory with the tables of one gateway, on a clock of their own."""

    def __init__(self, slots: int) -> None:
        settings = RoutingSettings(
            site="test",
            host="host-1",
            failure_domain="north",
            role=RoutingRole.scheduler,
            ip="127.0.0.1",
            bind_ip="127.0.0.1",
            first_port=7600,
            link_key_hex="00" * 16,
            seeds=["127.0.0.1:7602"],
            target_list="127.0.0.1:80",
        )
        self.now_s = 1000.0
        self.scheduler = RoutingScheduler(settings, Dialect())
        self.events: list[Event] = []
        self.scheduler.node.events.subscribe(self.events.append)
        listed = ListedTarget(_TARGET, _SERVICE, "127.0.0.1:1", "north", slots, ListedState.ready)
        self.scheduler.dispatcher.update_targets([listed], self.now_s)
        workspace = RoutedWorkspace("w", tokens_per_s=1000, burst_tokens=1000)
        self.scheduler.quotas.update_workspaces([workspace], self.now_s)
        self.placed = PlacedRequests()
        self.count = 0
        self.asked = 0
        self._is_whole = False
        self._echo = 0
        self.beat(is_first=True)

    @property
    def target(self) -> TargetState:
        """Return what the scheduler knows of the target."""
        return self.scheduler.dispatcher.pools[_SERVICE].targets[_TARGET]

    def send(self, message: PeerMessage) -> object:
        """Let the scheduler handle a message, and return its reply or the future of it."""
        with patch("troutstand.routing.scheduler.read_clock_s", lambda: self.now_s):
            return self.scheduler.handle(_GATEWAY, message)

    def place(self, is_received: bool = True) -> object:
        """Request a placement; the gateway may not have got the answer yet."""
        self.count += 1
        work = RoutedWork(
            f"r{self.count}",
            _SERVICE,
            1.0,
            8.0,
            workspace="w",
            charge=_CHARGE,
            fingerprint=_FINGERPRINT,
            failure_domain="north",
        )

        async def ask() -> object:
            future = self.send(Place(work))
            assert isinstance(future, asyncio.Future)
            return future.result() if future.done() else None

        self._work = work
        answer = asyncio.run(ask())
        if is_received and isinstance(answer, Placed):
            self.receive(answer)
        return answer

    def receive(self, placed: Placed) -> None:
        """Let the gateway have the last placement."""
        self.placed.record_number(placed.number)
        self.placed.start(self._work, placed, self.now_s)

    def beat(self, is_first: bool = False) -> None:
        """Send a heartbeat, whole if the scheduler has asked for the state."""
        self.now_s += _HEARTBEAT_S
        is_full = is_first or self._is_whole
        reply = self.send(
            AttachAsk(
                _GATEWAY,
                "i1",
                is_attached=True,
                is_first=is_first,
                attachment=1,
                asks="scheduler-1",
                gateways=1,
                echo=self._echo,
                running=self.placed.list_running(self.now_s) if is_full else [],
                endings=self.placed.list_endings(self.now_s) if is_full else [],
                digest=self.placed.make_digest(0),
                is_whole=self._is_whole,
            )
        )
        assert isinstance(reply, Attached), reply
        self._echo, self._is_whole = reply.number, reply.asks_state
        self.asked += reply.asks_state


@given(
    "a scheduler and a gateway that runs {count:d} requests at its only target of {slots:d} slots"
)
def make_pair(context: Context, count: int, slots: int) -> None:
    context.pair = LinkedPair(slots)
    for _ in range(count):
        assert isinstance(context.pair.place(), Placed)


@when("the endings of all {count:d} are lost, and the gateway sends heartbeats")
def lose_endings(context: Context, count: int) -> None:
    pair: LinkedPair = context.pair
    for number in range(count):
        ended = Ended(f"r{number + 1}", _TARGET, Ending.whole, 0.01, 0.02)
        pair.placed.finish(ended, None, pair.now_s)


@when("the gateway sends heartbeats")
def send_heartbeats(context: Context) -> None:
    context.pair.beat()


@when("a placement is on its way, and the gateway sends a heartbeat before it arrives")
def delay_placement(context: Context) -> None:
    pair: LinkedPair = context.pair
    context.answer = pair.place(is_received=False)
    pair.beat()


@when("it arrives")
def receive_placement(context: Context) -> None:
    context.pair.receive(context.answer)


@when("a placement is lost for {length_s:g} s, and the gateway sends heartbeats")
def lose_placement(context: Context, length_s: float) -> None:
    assert isinstance(context.pair.place(is_received=False), Placed)
    context.pair.now_s += length_s


@when("the scheduler has dropped the gateway, and the gateway sends heartbeats")
def drop_gateway(context: Context) -> None:
    pair: LinkedPair = context.pair
    pair.scheduler._detach_gateway(_GATEWAY, "silent for 2.0 s", pair.now_s)
    assert not pair.target.running


@when("its target breaks off and the message is {what}, and the gateway sends heartbeats")
def break_off(context: Context, what: str) -> None:
    pair: LinkedPair = context.pair
    ended = Ended(
        "r1", _TARGET, Ending.broken, -1.0, 0.05, fingerprint=_FINGERPRINT, is_target_gone=True
    )
    pair.placed.finish(ended, None, pair.now_s)
    context.late = ended if what == "late" else None


@when("the first {message} is lost, and the gateway sends heartbeats")
def lose_report(context: Context, message: str) -> None:
    pair: LinkedPair = context.pair
    match message:
        case "FirstByte":
            pair.placed.record_first_byte("r1", _TARGET, 0.1, pair.now_s)
        case PathLost.__name__:
            pair.placed.mark_path_lost("r1", _TARGET)
        case Silence.__name__:
            pair.placed.mark_silent("r1", _TARGET, is_silent=True)
        case _:
            raise AssertionError(message)


@then("the scheduler counts {count:d} requests at the target within {beats:d} heartbeats")
def check_count(context: Context, count: int, beats: int) -> None:
    for _ in range(beats):
        context.pair.beat()
    running = context.pair.target.running
    assert len(running) == count, sorted(running)


@then('its log and its counter name {count:d} entries of "{table}"')
def check_log(context: Context, count: int, table: str) -> None:
    pair: LinkedPair = context.pair
    found = [event.fields for event in pair.events if event.name == "state_corrected"]
    assert [(f["table"], f["count"]) for f in found] == [(table, count)], found
    age_s = found[0]["oldest_s"]
    assert isinstance(age_s, float), found
    assert age_s > 0.0, found
    registry = pair.scheduler.node.metrics.registry
    value = registry.get_sample_value("troutstand_state_corrected_total", {"table": table})
    assert value == count, value


@then("a new request gets the target")
def check_placed(context: Context) -> None:
    answer = context.pair.place()
    assert isinstance(answer, Placed), answer


@then("no state was asked for")
def check_unasked(context: Context) -> None:
    assert context.pair.asked == 0, context.pair.asked


@then("the workspace is charged {count:d} times {tokens:d} tokens")
def check_charged(context: Context, count: int, tokens: int) -> None:
    pair: LinkedPair = context.pair
    usage = pair.scheduler.quotas.export_usage(pair.now_s)
    charged = sum(sum(level.taken) for snapshot in usage for level in snapshot.levels)
    assert charged == count * tokens, usage


@then("the scheduler knows of {count:d} crash of the request")
def check_crashes(context: Context, count: int) -> None:
    pair: LinkedPair = context.pair
    if context.late is not None:
        pair.now_s += _LATE_S
        pair.send(context.late)
    crashes = pair.scheduler.dispatcher.crashes._crashes[_FINGERPRINT]
    assert len(crashes) == count, crashes


@given("a target that runs a prompt of {tokens:d} tokens")
def run_prompt(context: Context, tokens: int) -> None:
    listed = ListedTarget(_TARGET, _SERVICE, "127.0.0.1:1", "north", 4, ListedState.ready)
    context.target = TargetState(listed)
    work = RoutedWork("r1", _SERVICE, 1.0, 8.0, prompt_tokens=tokens)
    context.run = RunningRequest(work, _GATEWAY, 0.0, float(tokens), 0.1)
    context.target.start(context.run)


@when("the same request is placed there again")
def run_again(context: Context) -> None:
    run: RunningRequest = context.run
    context.target.start(RunningRequest(run.work, run.owner, 1.0, run.uncached_tokens, 0.1))


@then("the target has {count:d} request and {tokens:d} tokens before its first byte")
def check_prompt(context: Context, count: int, tokens: int) -> None:
    target: TargetState = context.target
    assert len(target.running) == count, target.running
    assert sum(target.pause_counts.values()) == count, target.pause_counts
    assert target.backlog_tokens == tokens, target.backlog_tokens


@given("links between a scheduler and {gateways:d} gateways that lose messages, with seed {seed:d}")
def draw_links(context: Context, gateways: int, seed: int) -> None:
    context.plans = [draw_plan(seed, corrects, gateways) for corrects in (True, False)]


@when("their tables are compared 2 s after the last fault")
def compare_tables(context: Context) -> None:
    context.corrected, context.left = [simulate_links(plan) for plan in context.plans]


@then("they are equal, and without digests they are not")
def check_equal(context: Context) -> None:
    assert context.corrected.is_equal, context.corrected
    assert not context.left.is_equal, context.left


@then("a digest takes at most {most:d} bytes of a heartbeat")
def check_digest(context: Context, most: int) -> None:
    assert 0 < context.corrected.max_digest_bytes <= most, context.corrected.max_digest_bytes
