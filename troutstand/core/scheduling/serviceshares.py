"""Share the slot time of a service fairly between the workspaces of each tier.

Keeps a workspace that exceeds its share from starving the others in its tier.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from troutstand.core.scheduling.shares import Shares

_PRUNE_INTERVAL_S = 1.0
DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class ShareTag:
    """Hold the fair-queueing tag of a request, in seconds of slot time.

    Parameters
    ----------
    start_s
        Start tag; the request with the smallest tag is served first.
    charged_s
        Amount charged to the workspace, divided by its weight.
    weight
        Weight of the workspace when it was charged.
    """

    start_s: float = 0.0
    charged_s: float = 0.0
    weight: float = DEFAULT_WEIGHT


# Tag of requests that are not subject to fair sharing.
UNSHARED = ShareTag()


@dataclass
class ServiceShares:
    """Track the fair shares of each tier of one service.

    The state is local to a scheduler. After a takeover waiting requests are submitted again
    and get new tags.
    """

    _tiers: dict[int, Shares] = field(default_factory=dict)
    _pruned_s: float = float("-inf")

    def charge(self, tier: int, workspace: str, expected_s: float, weight: float) -> ShareTag:
        """Charge a workspace for the expected slot time of a new request and return its tag."""
        shares = self._tiers.setdefault(tier, Shares())
        shares.advance_idle(workspace)
        charged_s = expected_s / weight
        return ShareTag(shares.charge(workspace, charged_s), charged_s, weight)

    def refund(self, tier: int, workspace: str, tag: ShareTag) -> None:
        """Refund the charge of a request that got no slot."""
        if tag is not UNSHARED:
            self._tiers[tier].refund(workspace, tag.charged_s)

    def advance_virtual_time(self, tier: int, tag: ShareTag) -> None:
        """Advance the virtual time of a tier when a request gets a slot."""
        if tag is not UNSHARED:
            self._tiers[tier].advance_virtual_time(tag.start_s)

    def settle(self, tier: int, workspace: str, tag: ShareTag, slot_time_s: float) -> None:
        """Replace the expected slot time of a request by the actual one."""
        if tag is not UNSHARED:
            self._tiers[tier].refund(workspace, tag.charged_s - slot_time_s / tag.weight)

    def compute_lead(self, tier: int, tag: ShareTag) -> float:
        """Return the lead of a request over the virtual time of its tier, in seconds."""
        return max(0.0, tag.start_s - self._tiers[tier].virtual_time_s)

    def prune_idle(self, now_s: float) -> None:
        """Drop the workspaces that are not ahead of the virtual time, periodically."""
        if now_s - self._pruned_s < _PRUNE_INTERVAL_S:
            return
        self._pruned_s = now_s
        for shares in self._tiers.values():
            shares.drop_idle()

    def list_leads(self) -> dict[int, dict[str, float]]:
        """Return the lead of each workspace over the virtual time, in seconds, by tier."""
        leads = {tier: shares.list_leads() for tier, shares in self._tiers.items()}
        return {tier: lead for tier, lead in leads.items() if lead}
