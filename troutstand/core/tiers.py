"""Rank requests by the tiers of their workspace and route."""

from __future__ import annotations

from dataclasses import dataclass

from troutstand.generated.routing import TierOrder

# Must equal the default of the setting.
DEFAULT_TIER_ORDER = TierOrder.route_first
_RANKS_PER_TIER = 1000


@dataclass(frozen=True)
class TierRanks:
    """Hold the ranks of a request; 0 is the highest.

    Parameters
    ----------
    placement
        Rank for placement; lower ranks get free slots first.
    shed
        Rank for shedding; lower ranks are shed last.
    """

    placement: int
    shed: int


def rank_tiers(workspace_tier: int, route_tier: int, order: TierOrder) -> TierRanks:
    """Compute the ranks of a request."""
    by_workspace = _combine(workspace_tier, route_tier)
    by_route = _combine(route_tier, workspace_tier)
    match order:
        case TierOrder.workspace_first:
            return TierRanks(by_workspace, by_workspace)
        case TierOrder.route_first:
            return TierRanks(by_route, by_route)
        case TierOrder.shed_by_route:
            return TierRanks(by_workspace, by_route)


def _combine(major: int, minor: int) -> int:
    """Combine two tiers into one rank; the minor tier orders equals of the major one."""
    return major * _RANKS_PER_TIER + min(minor, _RANKS_PER_TIER - 1)
