"""Options of load shedding and fair sharing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadOptions:
    """Select the overload policies of a site.

    Parameters
    ----------
    protects_tiers
        Whether slots are reserved for higher tiers, and a request waits rather than being
        shed while requests of a lower tier run.
    shares_fairly
        Whether the workspaces of a tier share the slots of a service by weight.
    """

    protects_tiers: bool = False
    shares_fairly: bool = False
