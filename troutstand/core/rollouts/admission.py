"""Decide which versions of a service may receive requests during a rollout."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.rollouts.state import is_active
from troutstand.generated.messages import RolloutState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import ServiceRollout

# Shares of the exposure limit: for canary samples alone, and together with the requests
# that are moved over before the deadline. The remainder covers rounding by other processes.
_CANARY_SHARE = 0.4
_TOTAL_SHARE = 0.9
# Share of the fixed allowance that the primary scheduler uses.
_EXTRA_SHARE = 0.5
# The fixed allowance admits at most one in this many requests of a route: at a low request
# rate the share alone yields too few responses for a verdict.
_EXTRA_INTERVAL = 4


class Admission(Enum):
    """Say which requests a target may receive."""

    OPEN = "open"
    # Sampled requests only, and streams that the target's version began.
    CANARY = "canary"
    # Only streams that the target's version began.
    RESUMED = "resumed"
    CLOSED = "closed"


@dataclass(frozen=True)
class ServiceRolloutView:
    """Describe one service's rollout as known to a process that places requests.

    Parameters
    ----------
    rollout
        The service's entry in the newest known rollout book; None if it has none.
    is_leased
        Whether a keeper that would have a newer book confirmed this one within the lease.
        Without it the canary version may have been rolled back in the meantime.
    may_sample
        Whether this process sends sampled requests to a canary version.
    """

    rollout: ServiceRollout | None = None
    is_leased: bool = False
    may_sample: bool = False


def admit_versions(view: ServiceRolloutView, listed: Iterable[str]) -> dict[str, Admission]:
    """Return the admission of each listed version.

    Orders decide on the versions that they name; any other version serves beside the one in
    force, once the book has it.

    Parameters
    ----------
    listed
        The versions of the service's targets that accept new requests.
    """
    versions = set(listed)
    rollout = view.rollout
    if rollout is None:
        return dict.fromkeys(versions, Admission.OPEN)
    ordered = rollout.order.version if rollout.order is not None else ""
    canary = ordered if is_active(rollout) else ""
    admissions = {
        version: _admit_other(rollout, version) for version in versions if version != canary
    }
    if canary in versions:
        _admit_canary(view, admissions, canary)
    _ensure_open(rollout, admissions, ordered)
    return admissions


def _admit_other(rollout: ServiceRollout, version: str) -> Admission:
    """Return the admission of a version other than the canary."""
    if version in rollout.rejected:
        return Admission.CLOSED
    if version in rollout.replaced:
        return Admission.RESUMED
    # Targets that are listed without a version take part in every rollout.
    is_known = version in ("", rollout.in_force) or version in rollout.versions
    return Admission.OPEN if is_known or not rollout.in_force else Admission.CLOSED


def _admit_canary(view: ServiceRolloutView, admissions: dict[str, Admission], canary: str) -> None:
    rollout = view.rollout
    assert rollout is not None
    assert rollout.order is not None
    if not view.is_leased:
        admissions[canary] = Admission.CLOSED
    elif rollout.order.state is RolloutState.switching:
        for version, admission in admissions.items():
            if admission is Admission.OPEN:
                admissions[version] = Admission.RESUMED
        admissions[canary] = Admission.OPEN
    else:
        admissions[canary] = Admission.CANARY if view.may_sample else Admission.RESUMED


def _ensure_open(rollout: ServiceRollout, admissions: dict[str, Admission], ordered: str) -> None:
    """Open the ordered version if no version is open, else all that were not rolled back.

    No version is open where the one in force has left, or a process missed the end of a rollout.
    """
    if any(admission is Admission.OPEN for admission in admissions.values()):
        return
    if ordered in admissions and ordered not in rollout.rejected:
        admissions[ordered] = Admission.OPEN
        return
    for version in admissions.keys() - set(rollout.rejected):
        admissions[version] = Admission.OPEN


@dataclass(frozen=True)
class ExposureLimit:
    """Limit the requests that a version may receive until its order's deadline.

    Parameters
    ----------
    share
        As a share of all requests of the service.
    extra
        A fixed number of requests in addition.
    """

    share: float = 0.0
    extra: float = 0.0


@dataclass
class Exposure:
    """Sample a fixed share of each route's requests for the canary version.

    The share applies to the requests that this process placed, so the limit holds for any
    number of processes without coordination, also in a partition or after a restart.

    Parameters
    ----------
    number
        The number of the order.
    limit
        What the version may receive until the deadline.
    """

    number: int
    limit: ExposureLimit
    placed: dict[str, int] = field(default_factory=dict)
    sampled: dict[str, int] = field(default_factory=dict)

    def is_due(self, route: str, is_primary: bool) -> bool:
        """Tell whether a route's next request may go to the canary version.

        Parameters
        ----------
        is_primary
            Whether most gateways ask this scheduler; only then it uses the fixed allowance.
        """
        placed = self.placed.get(route, 0) + 1
        sampled = self.sampled.get(route, 0) + 1
        if sampled <= _CANARY_SHARE * self.limit.share * placed:
            return True
        has_extra = sum(self.sampled.values()) < _EXTRA_SHARE * self.limit.extra
        return is_primary and has_extra and _EXTRA_INTERVAL * sampled <= placed

    def compute_remaining(self, is_primary: bool) -> float:
        """Return how many more requests the version may receive.

        Parameters
        ----------
        is_primary
            Whether most gateways ask this scheduler; only then it uses the fixed allowance.
        """
        extra = _EXTRA_SHARE * self.limit.extra if is_primary else 0.0
        allowed = _TOTAL_SHARE * self.limit.share * sum(self.placed.values()) + extra
        return allowed - sum(self.sampled.values())

    def record(self, route: str, is_sampled: bool) -> None:
        """Count a placed request."""
        self.placed[route] = self.placed.get(route, 0) + 1
        if is_sampled:
            self.sampled[route] = self.sampled.get(route, 0) + 1
