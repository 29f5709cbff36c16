"""Follow one service's rollout at a decider: its sample, its evidence, its verdict."""

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

# Answers that take so many times what is typical count as slow. Half of the first bytes
# come within 0.5 to 2 times what is expected of a sound target.
_SLOW_FACTOR = 2.5
# Differences below this are the network's, in seconds (chosen, not measured).
_LEAST_SLOW_S = 0.02
_BAD_ENDINGS = (Ending.failed, Ending.broken, Ending.silent)


@dataclass(frozen=True)
class RolloutView:
    """Hold what a decider knows of all rollouts.

    Parameters
    ----------
    bound
        What a version on trial may get.
    """

    book: RolloutBook = field(default_factory=RolloutBook)
    is_leased: bool = False
    may_sample: bool = False
    limit: ExposureLimit = field(default_factory=ExposureLimit)

    def get_service(self, service: str) -> ServiceRolloutView:
        """Return what is known of one service."""
        return ServiceRolloutView(find_rollout(self.book, service), self.is_leased, self.may_sample)


@dataclass(frozen=True)
class TypicalTimes:
    """Tell what the version in force typically needs for a request, in seconds.

    Parameters
    ----------
    first_s
        Until the first byte of a stream, or the answer of a plain service.
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
    # How many requests each target on trial was given, so that all get as many.
    sample_counts: dict[str, int] = field(default_factory=dict)
    # The order that was judged bad here, before the keepers decided so.
    blocked_order: int = 0
    # When the order's time is up on the decider's clock, in seconds, and whether the answers
    # show the version to be good so far.
    deadline_s: float = float("inf")
    is_healthy: bool = False
    is_primary: bool = False

    @property
    def order(self) -> RolloutOrder | None:
        """Return the order that is under way."""
        rollout = self.view.rollout
        return rollout.order if rollout is not None and is_active(rollout) else None

    def update(self, knowledge: ServiceRolloutView, bound: ExposureLimit) -> None:
        """Take newer knowledge; a new order is counted from nothing."""
        self.view = knowledge
        order = self.order
        if order is not None and order.number != self.outcomes.number:
            self.exposure = Exposure(order.number, bound)
            self.outcomes = OutcomeCounts(order.number)
            self.sample_counts = {}
            self.deadline_s = float("inf")
            self.is_healthy = False

    def block(self) -> None:
        """Send nothing more to the version on trial, whatever the book says."""
        if self.order is not None:
            self.blocked_order = self.order.number

    def admit_versions(self, listed: Iterable[str]) -> dict[str, Admission]:
        """Return the standing of each listed version."""
        knowledge = self.view
        if self.order is not None and self.order.number == self.blocked_order:
            knowledge = ServiceRolloutView(knowledge.rollout, is_leased=False)
        return admit_versions(knowledge, listed)

    def is_canary(self, version: str) -> bool:
        """Tell whether a version is the one that an order under way moves to."""
        return self.order is not None and self.order.version == version

    # The sample

    def is_due(self, route: str) -> bool:
        """Tell whether a route's next request may go to the version on trial."""
        return self.exposure.is_due(route, self.is_primary)

    def is_due_at_deadline(self, stay_s: float, now_s: float) -> bool:
        """Tell whether a request would run beyond the deadline at the version in force.

        From then on it goes to the version on trial, which takes over at the deadline, if
        that is good so far and its exposure allows it. So few requests are left at the old
        version when the order's time is up, though the service moves over late: a version
        that turns bad at the last moment has got little.
        """
        if not self.is_healthy or now_s + stay_s <= self.deadline_s:
            return False
        return self.exposure.compute_remaining(self.is_primary) >= 1.0

    def record_placed(self, route: str, target: str, is_sampled: bool) -> None:
        """Count a request's first placement."""
        if self.order is None:
            return
        self.exposure.record(route, is_sampled)
        if is_sampled:
            self.sample_counts[target] = self.sample_counts.get(target, 0) + 1

    # The evidence

    def evaluate(self, number: int, now_s: float) -> Evaluation:
        """Judge the version of an order, if it is the one that is followed here."""
        if number != self.outcomes.number:
            # An order is heard of before it is followed; the answers are those of another.
            return Evaluation(Verdict.UNPROVEN, "not followed yet")
        return evaluate(self.outcomes, now_s)

    def record_ended(
        self, run: RunningRequest, ended: Ended, version: str, typical: TypicalTimes, now_s: float
    ) -> None:
        """Count how a request ended at a target of some version."""
        is_bad = ended.ending in _BAD_ENDINGS
        is_slow = _is_slow(ended, typical)
        if self.order is None or not (is_bad or is_slow or ended.ending is Ending.whole):
            # It tells nothing of the target: not sent, turned away, or left early.
            return
        outcome = Outcome(
            run.work.route, ended.target, self.is_canary(version), is_bad, is_slow and not is_bad
        )
        self.outcomes.record(outcome, now_s)


def _is_slow(ended: Ended, typical: TypicalTimes) -> bool:
    """Tell whether an answer, or what came of it, took several times what is typical."""
    if ended.ending in (Ending.unsent, Ending.turned_away, Ending.kept_back):
        return False
    limit_s = max(_LEAST_SLOW_S, _SLOW_FACTOR * typical.first_s)
    has_first = typical.event_s > 0.0 and ended.first_s >= 0.0
    first_s = ended.first_s if has_first else ended.total_s
    if first_s > limit_s:
        return True
    if ended.produced_events < 2 or not has_first:
        return False
    event_s = (ended.total_s - ended.first_s) / ended.produced_events
    return event_s > _SLOW_FACTOR * typical.event_s
