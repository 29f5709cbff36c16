"""Replay recorded loads on the dispatcher."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING
from unittest.mock import patch

from behave import given, then, when

from troutstand.core.targetstate import TargetState
from troutstand.core.tiers import DEFAULT_TIER_ORDER
from troutstand.generated.messages import Ended, Ending, FirstByte
from troutstand.generated.routing import RoutingSettings, TierOrder
from troutstand.testing.worstload import Replay, read_arrivals
from troutstand.tests.steps.dispatch import Desk

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.core.pool import Pool
    from troutstand.core.scheduling.waitingqueue import WaitingRequest
    from troutstand.generated.messages import RoutedWork

_TRACE = Path(__file__).resolve().parents[3] / "traces" / "worst-load.csv"
_ENGINES = 45


def _replay(context: Context, order: TierOrder) -> None:
    context.result = Replay(order, _ENGINES).play(read_arrivals(_TRACE))


@when("the recorded load is replayed")
def replay(context: Context) -> None:
    _replay(context, DEFAULT_TIER_ORDER)


@when("the recorded load is replayed, ranked by {order}")
def replay_by(context: Context, order: str) -> None:
    _replay(context, TierOrder(order))


@then("none of the highest kind is refused, and {share:g} of it is in time")
def check_highest(context: Context, share: float) -> None:
    result = context.result
    assert not result.refused[0], result
    assert result.share(0) >= share, result.share(0)


@then("{share:g} of the second kind is in time")
def check_second(context: Context, share: float) -> None:
    assert context.result.share(1) >= share, context.result.share(1)


@then("{second:g} of the second kind and {lowest:g} of the lowest is in time")
def check_shares(context: Context, second: float, lowest: float) -> None:
    shares = context.result.share(1), context.result.share(2)
    assert shares[0] >= second and shares[1] >= lowest, shares


@then("a process without the setting ranks by the same order as a call without one")
def check_default(context: Context) -> None:
    del context
    fields, defaults = RoutingSettings.__struct_fields__, RoutingSettings.__struct_defaults__
    default = dict(zip(reversed(fields), reversed(defaults), strict=False))["tier_order"]
    assert default is DEFAULT_TIER_ORDER, default


# Long queues

_SLOTS = 2
_MEMORY_TOKENS = 10_000
_LARGE_TOKENS = 9_000
_LONG_S = 60.0


def _arrive(desk: Desk, tokens: int, tier: int = 1) -> str:
    return desk.arrive(
        prompt_tokens=tokens, objective_s=_LONG_S, remaining_s=2 * _LONG_S, tier=tier
    )


@given("{waiting:d} requests wait, and {open_engines:d} engines are open that suit none of them")
def fill(context: Context, waiting: int, open_engines: int) -> None:
    """Leave free slots in some engines, but no free memory."""
    desk = context.desk = Desk(_ENGINES, _SLOTS)
    pool = desk.dispatcher.pools["work"]
    pool.memory_tokens = _MEMORY_TOKENS
    large = [_arrive(desk, _LARGE_TOKENS) for _ in range(open_engines)]
    small = [_arrive(desk, 100) for _ in range(_ENGINES * _SLOTS - open_engines)]
    full = {desk.placed[name] for name in large}
    assert len(full) == open_engines
    for name in small:
        if desk.placed[name] in full:
            desk.end(name)
    context.waiting = [_arrive(desk, 2 * (_MEMORY_TOKENS - _LARGE_TOKENS)) for _ in range(waiting)]
    assert len(pool.waiting) == waiting
    assert len(pool.list_open(desk.now_s)) == open_engines


@when("{ticks:d} ticks pass")
def tick(context: Context, ticks: int) -> None:
    desk = context.desk
    choice = desk.dispatcher._choice
    choose = choice.choose
    looked: list[str] = []

    def note(pool: Pool, waiting: WaitingRequest, open_: list[TargetState], now_s: float):
        looked.append(waiting.work.request)
        return choose(pool, waiting, open_, now_s)

    choice.choose = note
    context.looked = []
    for _ in range(ticks):
        desk.now_s += 0.05
        desk.dispatcher.tick(desk.now_s)
        context.looked.append(list(looked))
        looked.clear()


@then("none of them scanned more than {most:d} requests")
def check_looked(context: Context, most: int) -> None:
    counts = [len(looked) for looked in context.looked]
    assert max(counts) <= most, counts


@then("each of the requests was scanned twice")
def check_each(context: Context) -> None:
    counts = Counter(name for looked in context.looked for name in looked)
    assert all(counts[name] == 2 for name in context.waiting), counts


@when("a request that suits them comes last")
def come_last(context: Context) -> None:
    context.last = _arrive(context.desk, 100, tier=2)
    assert context.last not in context.desk.placed


@then("it has an engine within {ticks:d} ticks")
def check_last(context: Context, ticks: int) -> None:
    context.desk.pass_time(ticks * 0.05)
    assert context.last in context.desk.placed


@when("a request begins to answer at one of the open engines, and one ends there")
def happen(context: Context) -> None:
    desk = context.desk
    pool = desk.dispatcher.pools["work"]
    state = pool.list_open(desk.now_s)[0]
    (request,) = state.running
    fits = TargetState.has_memory
    looked: list[str] = []

    def note(self: TargetState, work: RoutedWork, memory_tokens: int) -> bool:
        looked.append(self.listed.target)
        return fits(self, work, memory_tokens)

    with patch.object(TargetState, "has_memory", note):
        desk.dispatcher.record_first_byte(FirstByte(request, state.listed.target, 0.1), desk.now_s)
        context.after_first = list(looked)
        looked.clear()
        small = desk.placed.pop(request)
        desk.dispatcher.finish(Ended(request, small, Ending.turned_away), desk.now_s)
    context.after_end = looked
    context.target = state.listed.target


@then("no other engine was scanned, and that one at most {most:d} times for each")
def check_one(context: Context, most: int) -> None:
    for looked in (context.after_first, context.after_end):
        assert set(looked) <= {context.target}, Counter(looked)
        assert len(looked) <= most, len(looked)
