"""Track one service's rollout: its canary samples, their outcomes and their evaluation."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.rollouts.admission import (
    Exposure,
    ExposureLimit,
    ServiceRolloutView,
    admit_versions,
)
from troutstand.core.rollouts.analysis import Evaluation, Verdict, evaluate
from troutstand.core.rollouts.outcomes import Outcome, OutcomeCounts
from troutstand.core.rollouts.state import find_rollout, is_active
from troutstand.generated.messages import Ending, RolloutBook

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.rollouts.admission import Admission
    from troutstand.core.targetstate import RunningRequest
    from troutstand.generated.messages import Ended, RolloutOrder

# A response is slow if it takes this many times the typical time. A healthy target usually
# takes at most twice the typical time.
_SLOW_FACTOR = 2.5
# Shorter times are never slow: they vary with the network.
_MIN_SLOW_S = 0.02
_BAD_ENDINGS = (Ending.failed, Ending.broken, Ending.silent)


@dataclass(frozen=True)
class RolloutView:
    """Describe all rollouts as known to a process that places requests.

    Parameters
    ----------
    limit
        What a canary version may receive.
    """

    book: RolloutBook = field(default_factory=RolloutBook)
    is_leased: bool = False
    may_sample: bool = False
    limit: ExposureLimit = field(default_factory=ExposureLimit)

    def get_service(self, service: str) -> ServiceRolloutView:
        """Return the view of one service."""
        return ServiceRolloutView(find_rollout(self.book, service), self.is_leased, self.may_sample)


@dataclass(frozen=True)
class TypicalTimes:
    """Hold the typical times of the version in force for a request, in seconds.

    Parameters
    ----------
    first_s
        Until the first byte of a stream, or the whole response of a plain service.
    event_s
        Between two events of a stream; 0 for a plain service.
    """

    first_s: float
    event_s: float = 0.0


@dataclass
class Canary:
    """Hold the state of one service's rollout."""

    view: ServiceRolloutView = field(default_factory=ServiceRolloutView)
    exposure: Exposure = field(default_factory=lambda: Exposure(0, ExposureLimit()))
    outcomes: OutcomeCounts = field(default_factory=lambda: OutcomeCounts(0))
    # Sampled requests per target; the target with the fewest receives the next.
    sample_counts: dict[str, int] = field(default_factory=dict)
    # The number of the order that this process rejected before the keepers agreed.
    blocked_order: int = 0
    # The order's deadline on this process's clock, in seconds.
    deadline_s: float = float("inf")
    # Whether the latest evaluation was good.
    is_healthy: bool = False
    is_primary: bool = False

    @property
    def order(self) -> RolloutOrder | None:
        """Return the active order."""
        rollout = self.view.rollout
        return rollout.order if rollout is not None and is_active(rollout) else None

    def update(self, view: ServiceRolloutView, limit: ExposureLimit) -> None:
        """Apply a newer view; a new order resets all counts."""
        self.view = view
        order = self.order
        if order is not None and order.number != self.outcomes.number:
            self.exposure = Exposure(order.number, limit)
            self.outcomes = OutcomeCounts(order.number)
            self.sample_counts = {}
            self.deadline_s = float("inf")
            self.is_healthy = False

    def block(self) -> None:
        """Send no more requests to the canary version, whatever the book says."""
        if self.order is not None:
            self.blocked_order = self.order.number

    def admit_versions(self, listed: Iterable[str]) -> dict[str, Admission]:
        """Return the admission of each listed version."""
        view = self.view
        if self.order is not None and self.order.number == self.blocked_order:
            view = ServiceRolloutView(view.rollout, is_leased=False)
        return admit_versions(view, listed)

    def is_canary(self, version: str) -> bool:
        """Tell whether a version is the one that the active order moves to."""
        return self.order is not None and self.order.version == version

    # Sampling

    def is_due(self, route: str) -> bool:
        """Tell whether a route's next request may go to the canary version."""
        return self.exposure.is_due(route, self.is_primary)

    def is_due_at_deadline(self, slot_time_s: float, now_s: float) -> bool:
        """Tell whether a request goes to the canary because it would run past the deadline.

        Holds only while the canary is healthy and has exposure left. It keeps few requests
        in flight at the old version at the deadline, and limits the harm of a canary that
        starts to fail late.
        """
        if not self.is_healthy or now_s + slot_time_s <= self.deadline_s:
            return False
        return self.exposure.compute_remaining(self.is_primary) >= 1.0

    def record_placed(self, route: str, target: str, is_sampled: bool) -> None:
        """Count a request's first placement."""
        if self.order is None:
            return
        self.exposure.record(route, is_sampled)
        if is_sampled:
            self.sample_counts[target] = self.sample_counts.get(target, 0) + 1

    # Evaluation

    def evaluate(self, number: int, now_s: float) -> Evaluation:
        """Evaluate the canary of an order, if this object tracks that order."""
        if number != self.outcomes.number:
            # The book may show a new order before `update` resets the counts.
            return Evaluation(Verdict.UNPROVEN, "order not tracked yet")
        return evaluate(self.outcomes, now_s)

    def record_ended(
        self, run: RunningRequest, ended: Ended, version: str, typical: TypicalTimes, now_s: float
    ) -> None:
        """Count the outcome of a request."""
        is_bad = ended.ending in _BAD_ENDINGS
        is_slow = _is_slow(ended, typical)
        if self.order is None or not (is_bad or is_slow or ended.ending is Ending.whole):
            # Requests that were not sent, refused or cancelled say nothing about the target.
            return
        outcome = Outcome(
            run.work.route, ended.target, self.is_canary(version), is_bad, is_slow and not is_bad
        )
        self.outcomes.record(outcome, now_s)


def _is_slow(ended: Ended, typical: TypicalTimes) -> bool:
    """Tell whether a response, even a partial one, took several times the typical time."""
    if ended.ending in (Ending.unsent, Ending.turned_away, Ending.kept_back):
        return False
    limit_s = max(_MIN_SLOW_S, _SLOW_FACTOR * typical.first_s)
    has_first = typical.event_s > 0.0 and ended.first_s >= 0.0
    first_s = ended.first_s if has_first else ended.total_s
    if first_s > limit_s:
        return True
    if ended.produced_events < 2 or not has_first:
        return False
    event_s = (ended.total_s - ended.first_s) / ended.produced_events
    return event_s > _SLOW_FACTOR * typical.event_s
