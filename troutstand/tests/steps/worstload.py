"""Replay recorded loads on the dispatcher."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from behave import then, when

from troutstand.core.tiers import DEFAULT_ORDER
from troutstand.generated.routing import RoutingSettings, TierOrder
from troutstand.testing.worstload import Replay, read_arrivals

if TYPE_CHECKING:
    from behave.runner import Context

_TRACE = Path(__file__).resolve().parents[3] / "traces" / "worst-load.csv"
_ENGINES = 45


def _replay(context: Context, order: TierOrder) -> None:
    context.result = Replay(order, _ENGINES).play(read_arrivals(_TRACE))


@when("the recorded load is replayed")
def replay(context: Context) -> None:
    _replay(context, DEFAULT_ORDER)


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
    assert default is DEFAULT_ORDER, default
