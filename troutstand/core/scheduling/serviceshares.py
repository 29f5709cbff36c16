"""Share a service's slots between the workspaces of each tier.

Answers a workspace that asks for more than fits: without it the flood takes the room of
all others of its tier. What is shared is the time that requests keep their slots.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from troutstand.core.scheduling.shares import Shares

# How often workspaces that are ahead of nobody are dropped, in seconds.
_TIDY_S = 1.0
# A weight that the configuration does not tell.
DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class ShareTag:
    """Tell where a request stands in its workspace's share; seconds of slot time.

    Parameters
    ----------
    start_s
        The virtual time at which the request begins; the least goes first.
    charged_s
        What its workspace was charged, divided by its weight.
    weight
        The weight by which it was charged.
    """

    start_s: float = 0.0
    charged_s: float = 0.0
    weight: float = DEFAULT_WEIGHT


UNSHARED = ShareTag()


@dataclass
class ServiceShares:
    """Hold the shares of each tier of one service.

    Nothing is handed over when another scheduler takes over: what waits is asked again and
    tagged anew there, and what a workspace was given before counts no longer once others
    have caught up with it.
    """

    _tiers: dict[int, Shares] = field(default_factory=dict)
    _tidied_s: float = float("-inf")

    def charge(self, tier: int, workspace: str, expected_s: float, weight: float) -> ShareTag:
        """Charge a workspace for a request that has come, and return its place."""
        shares = self._tiers.setdefault(tier, Shares())
        shares.advance_idle(workspace)
        charged_s = expected_s / weight
        return ShareTag(shares.charge(workspace, charged_s), charged_s, weight)

    def refund(self, tier: int, workspace: str, tag: ShareTag) -> None:
        """Give back the charge of a request that got no slot."""
        if tag is not UNSHARED:
            self._tiers[tier].refund(workspace, tag.charged_s)

    def advance_virtual_time(self, tier: int, tag: ShareTag) -> None:
        """Note that a request gets its slot."""
        if tag is not UNSHARED:
            self._tiers[tier].advance_virtual_time(tag.start_s)

    def settle(self, tier: int, workspace: str, tag: ShareTag, held_s: float) -> None:
        """Charge the time that a request kept its slot in place of the expected one."""
        if tag is not UNSHARED:
            self._tiers[tier].refund(workspace, tag.charged_s - held_s / tag.weight)

    def compute_lead(self, tier: int, tag: ShareTag) -> float:
        """Return by how much a request is ahead of its tier's virtual time, in seconds."""
        return max(0.0, tag.start_s - self._tiers[tier].virtual_time_s)

    def prune_idle(self, now_s: float) -> None:
        """Drop the workspaces that are ahead of nobody, once in a while."""
        if now_s - self._tidied_s < _TIDY_S:
            return
        self._tidied_s = now_s
        for shares in self._tiers.values():
            shares.drop_idle()

    def list_leads(self) -> dict[int, dict[str, float]]:
        """Return by tier how far workspaces are ahead of the least served, in seconds."""
        leads = {tier: shares.list_leads() for tier, shares in self._tiers.items()}
        return {tier: led for tier, led in leads.items() if led}
