"""Decide which of a service's targets may get requests, by the version they run."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.rollouts.state import is_active
from troutstand.generated.messages import RolloutState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import ServiceRollout

# The part of the allowed exposure that the trial uses, and the part that all uses before
# the deadline may take together: the service moves over within what lies between. The rest
# is for what other deciders round up.
_TRIAL_PART = 0.4
_MOST_PART = 0.9
# The part of the fixed allowance that the scheduler of most gateways uses.
_EXTRA_PART = 0.5
# It goes first, to one in so many of a route's requests: with few requests a second the
# share alone brings too few answers to judge a version by, so that 6 of 6 good ones were
# rolled back at 12 requests/s and orders of 4 to 7 s (soak without faults).
_EVERY = 4


class Admission(Enum):
    """Say which requests a target may get."""

    OPEN = "open"
    # On trial: a sample of the requests.
    CANARY = "canary"
    CLOSED = "closed"


@dataclass(frozen=True)
class ServiceRolloutView:
    """Hold what a decider knows of one service's rollout.

    Parameters
    ----------
    rollout
        What the newest book known here says; None where it says nothing.
    is_leased
        Whether a keeper that would know a newer book confirmed this one lately. Without
        that the version on trial may have been rolled back unheard.
    may_sample
        Whether this decider sends samples to a version on trial.
    """

    rollout: ServiceRollout | None = None
    is_leased: bool = False
    may_sample: bool = False


def admit_versions(knowledge: ServiceRolloutView, listed: Iterable[str]) -> dict[str, Admission]:
    """Return the standing of each version that the list of targets shows.

    Parameters
    ----------
    listed
        The versions of the service's targets that take new work.
    """
    versions = set(listed)
    rollout = knowledge.rollout
    if rollout is None:
        return dict.fromkeys(versions, Admission.OPEN)
    ordered = rollout.order.version if rollout.order is not None else ""
    on_trial = ordered if is_active(rollout) else ""
    standings = {
        version: _judge_other(rollout, version) for version in versions if version != on_trial
    }
    if on_trial in versions:
        _judge_trial(knowledge, standings, on_trial)
    _keep_served(rollout, standings, ordered)
    return standings


def _judge_other(rollout: ServiceRollout, version: str) -> Admission:
    """Judge a version that is not on trial."""
    if not rollout.in_force:
        return Admission.CLOSED if version in rollout.rejected else Admission.OPEN
    # The list tells no version of some targets; those take part as they always did.
    is_served = version in ("", rollout.in_force)
    return Admission.OPEN if is_served else Admission.CLOSED


def _judge_trial(
    knowledge: ServiceRolloutView, standings: dict[str, Admission], on_trial: str
) -> None:
    rollout = knowledge.rollout
    assert rollout is not None
    assert rollout.order is not None
    if not knowledge.is_leased:
        standings[on_trial] = Admission.CLOSED
    elif rollout.order.state is RolloutState.switching:
        standings.update(dict.fromkeys(standings, Admission.CLOSED))
        standings[on_trial] = Admission.OPEN
    else:
        standings[on_trial] = Admission.CANARY if knowledge.may_sample else Admission.CLOSED


def _keep_served(rollout: ServiceRollout, standings: dict[str, Admission], ordered: str) -> None:
    """Open a version that was ordered where no other is left.

    Where a process missed the end of a rollout, the list shows only targets of the version
    that the operator ordered. All others stay closed: a version that nobody ordered may be
    another's, and requests must not reach it.
    """
    if any(standing is Admission.OPEN for standing in standings.values()):
        return
    if ordered in standings and ordered not in rollout.rejected:
        standings[ordered] = Admission.OPEN


@dataclass(frozen=True)
class ExposureLimit:
    """Say how many of a service's requests a version may get until its order's deadline.

    Parameters
    ----------
    share
        As a share of all of them.
    extra
        Beside those.
    """

    share: float = 0.0
    extra: float = 0.0


@dataclass
class Exposure:
    """Draw the sample that a version on trial gets: a fixed share of each route's requests.

    The share holds of what this decider placed itself, so that it holds of all requests
    together however many deciders there are, also in a split and after a restart, without
    any of them knowing the others.

    Parameters
    ----------
    number
        The order that is counted.
    bound
        What the version may get until the deadline.
    """

    number: int
    limit: ExposureLimit
    placed: dict[str, int] = field(default_factory=dict)
    sampled: dict[str, int] = field(default_factory=dict)

    def is_due(self, route: str, is_leading: bool) -> bool:
        """Tell whether a route's next request may go to the version on trial.

        Parameters
        ----------
        is_leading
            Whether most gateways ask this decider; only then it uses the fixed allowance.
        """
        following = self.placed.get(route, 0) + 1
        sampled = self.sampled.get(route, 0) + 1
        if sampled <= _TRIAL_PART * self.limit.share * following:
            return True
        is_first = sum(self.sampled.values()) < _EXTRA_PART * self.limit.extra
        return is_leading and is_first and _EVERY * sampled <= following

    def compute_remaining(self, is_leading: bool) -> float:
        """Return how many more requests the version may get.

        Parameters
        ----------
        is_leading
            Whether most gateways ask this decider; only then it uses the fixed allowance.
        """
        extra = _EXTRA_PART * self.limit.extra if is_leading else 0.0
        allowed = _MOST_PART * self.limit.share * sum(self.placed.values()) + extra
        return allowed - sum(self.sampled.values())

    def record(self, route: str, is_sampled: bool) -> None:
        """Count a request that was placed."""
        self.placed[route] = self.placed.get(route, 0) + 1
        if is_sampled:
            self.sampled[route] = self.sampled.get(route, 0) + 1
