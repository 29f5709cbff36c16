"""Plan the next step of a rollout that is under way."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.rollouts.analysis import Evaluation, Verdict
from troutstand.generated.messages import RolloutState

if TYPE_CHECKING:
    from troutstand.generated.messages import RolloutOrder

# How long a decided switch needs until all processes in touch act on it, in seconds: four
# of the pauses between contacts with keepers.
SETTLE_S = 1.2
# What agreeing on the switch and on the completion takes besides, in seconds (chosen: two
# rounds of the keepers with a lost message each).
_AGREE_S = 0.8
# So many mean times at a target are left for what runs at the old version when the service
# is switched; 1 in 20 runs takes longer where times are spread exponentially.
_HOLDS = 3.0
# The switch takes no more than this share of the time that the order gives.
_MOST_RESERVE = 0.4
# From this share of the gateways on a scheduler takes the steps of a rollout.
_LEADING = 0.5
# A version that is not shown to be good is rolled back so long before the deadline, in
# seconds: about what the keepers need to agree.
_LAST_S = 0.4


@dataclass(frozen=True)
class RolloutProgress:
    """Hold what the next step of an order rests on; times in seconds.

    Parameters
    ----------
    elapsed_s
        Since the order was taken.
    switched_s
        Since this process heard that the service is switched over.
    hold_s
        How long a request stays at a target, on average.
    old_running
        Requests that still run at targets of other versions.
    longest_s
        The longest time that a request may take.
    affordable_s
        For how long all requests may go to the version on trial within its exposure.
    lead
        The share of the gateways that ask this scheduler, 0 to 1. With most of them its
        evidence is the site's; with all of them nobody else has to hear of a switch.
    """

    order: RolloutOrder
    evaluation: Evaluation
    elapsed_s: float
    switched_s: float
    hold_s: float
    old_running: int
    max_request_s: float
    exposure_left_s: float
    gateway_share: float

    @property
    def is_primary(self) -> bool:
        """Tell whether most gateways ask this scheduler."""
        return self.gateway_share >= _LEADING


@dataclass(frozen=True)
class Step:
    """Tell which state an order should go to, and why."""

    state: RolloutState
    detail: str


def measure_reserve(situation: RolloutProgress) -> float:
    """Return how long before the deadline a service is switched over, in seconds.

    What runs at the old version should have ended at the deadline. But a version may turn
    bad at the last moment, so that all requests go there no sooner than its exposure
    allows, though the rollout then completes a little late.
    """
    settle_s = 0.0 if situation.gateway_share >= 1.0 else SETTLE_S
    wanted_s = settle_s + _AGREE_S + _HOLDS * situation.hold_s
    most_s = _MOST_RESERVE * situation.order.duration_s
    return max(0.0, min(wanted_s, most_s, situation.exposure_left_s))


def plan_step(situation: RolloutProgress) -> Step | None:
    """Return the next step of an order, or None while it has to wait."""
    finding = situation.evaluation
    if finding.verdict is Verdict.BAD:
        return Step(RolloutState.rolled_back, finding.detail)
    if not situation.is_primary:
        return None
    if situation.order.state is RolloutState.switching:
        return _plan_completion(situation)
    return _plan_switch(situation)


def _plan_switch(situation: RolloutProgress) -> Step | None:
    order, finding = situation.order, situation.evaluation
    left_s = order.duration_s - situation.elapsed_s
    if finding.verdict is Verdict.GOOD:
        is_time = left_s <= measure_reserve(situation)
        return Step(RolloutState.switching, finding.detail) if is_time else None
    if left_s > _LAST_S:
        # A suspicion may pass, and more answers may come.
        return None
    # A version that has not shown itself to be good does not take over: the callers keep
    # what serves them, and the operator is told why.
    detail = f"verdict={finding.verdict.value} {finding.detail}"
    return Step(RolloutState.rolled_back, detail)


def _plan_completion(situation: RolloutProgress) -> Step | None:
    if situation.gateway_share < 1.0 and situation.switched_s < SETTLE_S:
        return None
    is_over = situation.switched_s > situation.max_request_s
    if situation.old_running and not is_over:
        return None
    detail = f"old_running={situation.old_running} {situation.evaluation.detail}"
    return Step(RolloutState.completed, detail)
