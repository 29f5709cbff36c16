"""Rank requests by the tier of their workspace and that of their route."""

from __future__ import annotations

from dataclasses import dataclass

from troutstand.generated.routing import TierOrder

# As in the settings; routedstartup checks that the two agree.
DEFAULT_TIER_ORDER = TierOrder.route_first
_SPAN = 1000


@dataclass(frozen=True)
class TierRanks:
    """Hold a request's ranks; 0 is the highest.

    Parameters
    ----------
    placement
        Who gets a free slot first.
    shed
        Who is refused last.
    """

    placement: int
    shed: int


def rank_tiers(workspace_tier: int, route_tier: int, order: TierOrder) -> TierRanks:
    """Return the ranks of a request."""
    by_workspace = _combine(workspace_tier, route_tier)
    by_route = _combine(route_tier, workspace_tier)
    match order:
        case TierOrder.workspace_first:
            return TierRanks(by_workspace, by_workspace)
        case TierOrder.route_first:
            return TierRanks(by_route, by_route)
        case TierOrder.shed_by_route:
            return TierRanks(by_workspace, by_route)


def _combine(first: int, second: int) -> int:
    """Return one rank in which the second tier decides only among equals of the first."""
    return first * _SPAN + min(second, _SPAN - 1)
