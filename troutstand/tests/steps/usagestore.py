"""Write what was used of limits to a keeper's store, and read it again."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from unittest.mock import patch

from behave import given, then, when

from troutstand.core.ids import ProcessId
from troutstand.core.limits.quota import QuotaBounds, Quotas
from troutstand.generated.configuration import RoutedWorkspace
from troutstand.routing.usagestore import UsageStore
from troutstand.tests.environment import make_folder

if TYPE_CHECKING:
    from behave.runner import Context

_BOUNDS = QuotaBounds()
_WORKSPACE = RoutedWorkspace("one", tokens_per_s=1000.0)
_LATER_S = 120.0
_TIMED_ROUNDS = 7
_TIMED_CHARGES = 30


class _Events:
    """Drop the events of a store."""

    def emit(self, name: str, **fields: object) -> None:
        """Drop an event."""


def _open_store(context: Context) -> UsageStore:
    return UsageStore(context.folder, _BOUNDS.counted_s, _Events())  # type: ignore[arg-type]


def _make_quotas(name: str, now_s: float) -> Quotas:
    quotas = Quotas(_BOUNDS, name)
    quotas.update_workspaces([_WORKSPACE], now_s)
    return quotas


@given("a keeper's store of usage")
def open_store(context: Context) -> None:
    context.folder = make_folder(context)
    context.store = _open_store(context)


@when("it writes that {first:d} tokens were used, and then that {second:d} were")
def write_twice(context: Context, first: int, second: int) -> None:
    now_s = time.monotonic()
    quotas = _make_quotas("decider", now_s)
    for tokens in (first, second - first):
        quotas.take(_WORKSPACE.name, tokens, now_s)
        context.store.merge(quotas.export_usage(now_s))
        context.store._next_write_s = 0.0
        context.store.write()


@when("it starts again")
def start_again(context: Context) -> None:
    context.store = _open_store(context)


@when("its last write is torn")
def tear_write(context: Context) -> None:
    newest = context.folder / f"usage.{context.store._number % 2}"
    newest.write_bytes(newest.read_bytes()[:-5])
    start_again(context)


@when("it starts again two minutes later")
def start_later(context: Context) -> None:
    with patch("troutstand.routing.usagestore.time.time", lambda: time.time_ns() / 1e9 + _LATER_S):
        start_again(context)


def _count_tokens(context: Context) -> float:
    now_s = time.monotonic()
    quotas = _make_quotas("another", now_s)
    quotas.merge_usage(context.store.list_usage(), now_s)
    return round(quotas.get_usage_share(_WORKSPACE.name) * 8000.0)


@then("it restores that {tokens:d} tokens were used")
def check_restored(context: Context, tokens: int) -> None:
    found = _count_tokens(context)
    assert found == tokens, found


@when("a decider tells it of {first:d} tokens, and again of {second:d} in all")
def tell_twice(context: Context, first: int, second: int) -> None:
    now_s = time.monotonic()
    quotas = _make_quotas("decider", now_s)
    for tokens in (first, second - first):
        quotas.take(_WORKSPACE.name, tokens, now_s)
        context.store.merge(quotas.export_usage(now_s))


@then("a decider that starts with what it knows counts {tokens:d} tokens")
def check_counted(context: Context, tokens: int) -> None:
    check_restored(context, tokens)


@given("a decider that has used {tokens:d} tokens and told it")
def use_and_tell(context: Context, tokens: int) -> None:
    context.used_s = time.monotonic()
    context.decider = _make_quotas("decider", context.used_s)
    context.decider.take(_WORKSPACE.name, tokens, context.used_s)
    context.store.merge(context.decider.export_usage(context.used_s))


@when("the decider's share falls {times:d} times before others were told of what it used")
def lower_share(context: Context, times: int) -> None:
    for number in range(times):
        share = 1.0 - 0.1 * (number + 1)
        context.decider.set_share(share, context.used_s - (times - number))
        context.store.merge(context.decider.export_usage(context.used_s))


@given("{count:d} gateways that told it of {tokens:d} tokens each")
def tell_alone(context: Context, count: int, tokens: int) -> None:
    now_s = time.monotonic()
    for number in range(count):
        quotas = Quotas(_BOUNDS, f"gateway-{number}|i1|0", is_private=True)
        quotas.update_workspaces([_WORKSPACE], now_s)
        quotas.take(_WORKSPACE.name, tokens, now_s)
        context.store.merge(quotas.export_usage(now_s), count)


@when("one of them asks it after a start")
def ask_as_gateway(context: Context) -> None:
    context.told = context.store.list_usage_for(ProcessId("gateway-7"))


@then("it is told of {tokens:d} tokens")
def check_told(context: Context, tokens: int) -> None:
    told = sum(sum(level.taken) for usage in context.told for level in usage.levels)
    assert told == tokens, told


@then("a scheduler that starts is told of {tokens:d} tokens")
def check_whole(context: Context, tokens: int) -> None:
    check_restored(context, tokens)


def _time_charges(gateways: int) -> float:
    """Return the seconds of a charge after gateways have handed over what they used."""
    now_s = time.monotonic()
    decider = _make_quotas("decider", now_s)
    for number in range(gateways):
        quotas = Quotas(_BOUNDS, f"gateway-{number}|i1|0", is_private=True)
        quotas.update_workspaces([_WORKSPACE], now_s)
        quotas.set_share(1.0 / gateways)
        quotas.take(_WORKSPACE.name, 1.0, now_s)
        usage = quotas.export_usage(now_s)
        decider.merge_usage([*usage, *quotas.assume_usage(f"g{number}", usage, 3.0)], now_s)
    times_s: list[float] = []
    for _ in range(_TIMED_ROUNDS):
        started_s = time.perf_counter()
        for _ in range(_TIMED_CHARGES):
            decider.take(_WORKSPACE.name, 1.0, now_s)
        times_s.append((time.perf_counter() - started_s) / _TIMED_CHARGES)
    return min(times_s)


@when("{few:d} gateways return to one decider, and {many:d} to another")
def time_returns(context: Context, few: int, many: int) -> None:
    context.charge_s = [_time_charges(gateways) for gateways in (few, many)]


@then("a charge takes at most {times:g} times as long at the other")
def check_charge(context: Context, times: float) -> None:
    few_s, many_s = context.charge_s
    assert many_s <= times * few_s, f"{many_s * 1e6:.0f} us, {few_s * 1e6:.0f} us"
