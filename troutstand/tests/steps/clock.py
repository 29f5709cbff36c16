"""Simulate the suspend of a host with two clocks."""

from __future__ import annotations

import asyncio
import re
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest import mock

from behave import given, then, when

from troutstand.core.ids import ProcessId
from troutstand.core.lease import LeaseHolder
from troutstand.generated.messages import Ended, Ending, LeaseVote
from troutstand.routing.follower import Follower
from troutstand.tests.steps.platform import ROOT
from troutstand.util import clock
from troutstand.util.clock import MIN_SUSPEND_S, ClockLoop, SuspendWatch

if TYPE_CHECKING:
    from behave.runner import Context

_OWN = ROOT / "troutstand" / "util" / "clock.py"
_PRODUCT = ("backends", "control", "core", "daemon", "routing", "util")
_STEADY = re.compile(r"\bmonotonic\b|CLOCK_MONOTONIC|perf_counter|loop\.time\(")


class TwoClocks:
    """Hold both clocks of a host."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self.passed_s = 0.0

    def read_monotonic_s(self) -> float:
        """Return the steady clock."""
        return time.monotonic() + self.passed_s

    def read_clock_s(self) -> float:
        """Return the clock that counts suspends."""
        return self.read_monotonic_s() + self.suspended_s


@then("no other module of the product reads a steady clock")
def check_reads(context: Context) -> None:
    paths = [path for name in _PRODUCT for path in (ROOT / "troutstand" / name).rglob("*.py")]
    paths += list((ROOT / "platform").glob("*.py"))
    assert len(paths) > 100, paths
    found = [str(p) for p in paths if p != _OWN and _STEADY.search(p.read_text())]
    assert not found, found


@given("a clock that can be suspended")
def use_clocks(context: Context) -> None:
    clocks = context.clocks = TwoClocks()
    for name in ("read_monotonic_s", "read_clock_s"):
        patch = mock.patch.object(clock, name, getattr(clocks, name))
        patch.start()
        context.add_cleanup(patch.stop)
    context.watch = SuspendWatch()
    context.began_s = clock.read_clock_s()


@when("the host is suspended for {length_s:d} s")
def suspend(context: Context, length_s: int) -> None:
    context.clocks.suspended_s += length_s


@when("{length_s:d} s pass while the host is awake")
def pass_awake(context: Context, length_s: int) -> None:
    context.clocks.passed_s += length_s


@then("{length_s:d} s have passed, and a suspension of {told_s:d} s is reported once")
def check_told(context: Context, length_s: int, told_s: int) -> None:
    assert length_s <= clock.read_clock_s() - context.began_s < length_s + 1
    assert abs(context.watch.pop_suspended_s() - told_s) < MIN_SUSPEND_S
    assert context.watch.pop_suspended_s() < MIN_SUSPEND_S


@then("{length_s:d} s have passed, and no suspension is reported")
def check_untold(context: Context, length_s: int) -> None:
    assert length_s <= clock.read_clock_s() - context.began_s < length_s + 1
    assert context.watch.pop_suspended_s() < MIN_SUSPEND_S


@when("a timer of {timer_s:d} s is set and the host is suspended for {length_s:d} s")
def set_timer(context: Context, timer_s: int, length_s: int) -> None:
    context.fired = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(timer_s, context.fired.append, timer_s)
        loop.call_later(2 * timer_s, context.fired.append, 2 * timer_s)
        loop.call_later(0.01, suspend, context, length_s)
        # Yields to the loop; nothing is waited for.
        await asyncio.sleep(0.02)

    with asyncio.Runner(loop_factory=ClockLoop) as runner:
        began_s = time.monotonic()
        runner.run(run())
        context.took_s = time.monotonic() - began_s


@then("it fires within {limit_s:d} s, and one of {late_s:d} s does not")
def check_fired(context: Context, limit_s: int, late_s: int) -> None:
    assert context.fired and late_s not in context.fired, context.fired
    assert context.took_s < limit_s, context.took_s


@given("a holder of a lease of {lease_s:d} s")
def hold_lease(context: Context, lease_s: int) -> None:
    voters = frozenset({ProcessId("a.keeper")})
    own = ProcessId("a.entry")
    context.holder = LeaseHolder(own, float(lease_s), voters, frozenset({own}))
    now_s = clock.read_clock_s()
    for voter in (*voters, own):
        context.holder.record_vote(voter, LeaseVote(True, own, 0), now_s)
    context.steady_s = clock.read_monotonic_s() - now_s
    assert context.holder.is_held(clock.read_clock_s())


@then("the lease is not held by the clock, though it is by the steady clock")
def check_lease(context: Context) -> None:
    assert not context.holder.is_held(clock.read_clock_s())
    assert context.holder.is_held(clock.read_monotonic_s() - context.steady_s)


@given("a process that has just had contact with a keeper")
def hear_keeper(context: Context) -> None:
    follower = context.follower = Follower.__new__(Follower)
    follower._node = SimpleNamespace(resumed_s=float("-inf"), events=mock.Mock())  # type: ignore[assignment]
    follower._is_lost = False
    follower.table = None
    _answer(context)
    assert follower.is_fresh


def _answer(context: Context) -> None:
    with mock.patch("troutstand.routing.follower.read_clock_s", clock.read_clock_s):
        context.follower._record_contact(True)


@then("its keeper contact is stale until a keeper answers")
def check_fresh(context: Context) -> None:
    context.follower._node.resumed_s = clock.read_clock_s()
    assert not context.follower.is_fresh
    _answer(context)
    assert context.follower.is_fresh


@when("a request ends whole after {total_s:g} s, and another without a measurement")
def end_both(context: Context, total_s: float) -> None:
    desk = context.desk
    desk.end(desk.arrive(), total_s=total_s)
    request = desk.arrive()
    target = desk.placed.pop(request)
    desk.dispatcher.finish(Ended(request, target, Ending.whole), desk.now_s)


@then("the estimated slot time of requests is {hold_s:g} s")
def check_hold(context: Context, hold_s: float) -> None:
    assert context.desk.dispatcher.pools["work"].hold_s == hold_s
