"""Plan the next state transition of an active rollout."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.rollouts.analysis import Evaluation, Verdict
from troutstand.generated.messages import RolloutState

if TYPE_CHECKING:
    from troutstand.generated.messages import RolloutOrder

# Time until every connected process acts on a decided switch: four intervals between its
# requests to the keepers.
PROPAGATION_S = 1.2
# Time to agree on the switch and the completion: two rounds with one lost message each.
_CONSENSUS_S = 0.8
# The switch leaves requests at the old version this many mean slot times to finish; 1 in 20
# takes longer if times are exponentially distributed.
_DRAIN_SLOT_TIMES = 3.0
# Upper bound of the switch margin, as a share of the order's duration.
_MAX_MARGIN_SHARE = 0.4
# A scheduler that at least this share of the gateways ask drives the rollouts.
_PRIMARY_SHARE = 0.5
# A canary that is not proven good is rolled back this long before the deadline, which
# leaves the keepers time to agree.
_ROLLBACK_MARGIN_S = 0.4


@dataclass(frozen=True)
class RolloutProgress:
    """Describe the progress of an order; times in seconds.

    Parameters
    ----------
    elapsed_s
        Time since the order was accepted.
    switched_s
        Time since this process first acted on the switch.
    hold_s
        Mean time that a request occupies a slot.
    old_running
        Requests in flight at targets of other versions.
    max_request_s
        The longest timeout of a request of the service.
    exposure_left_s
        How long all requests may go to the canary version within its exposure limit.
    gateway_share
        The share of the gateways that ask this scheduler, 0 to 1. At 1 no other process has
        to learn of a switch.
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
        return self.gateway_share >= _PRIMARY_SHARE


@dataclass(frozen=True)
class Step:
    """Propose a state for an order, with the reason."""

    state: RolloutState
    detail: str


def compute_switch_margin(progress: RolloutProgress) -> float:
    """Return how long before the deadline the service is switched over, in seconds.

    Requests at the old version should finish by the deadline. The exposure limit takes
    precedence, so the rollout may complete a little late.
    """
    propagation_s = 0.0 if progress.gateway_share >= 1.0 else PROPAGATION_S
    margin_s = propagation_s + _CONSENSUS_S + _DRAIN_SLOT_TIMES * progress.hold_s
    max_s = _MAX_MARGIN_SHARE * progress.order.duration_s
    return max(0.0, min(margin_s, max_s, progress.exposure_left_s))


def plan_step(progress: RolloutProgress) -> Step | None:
    """Return the next step of an order, or None if it has to wait."""
    evaluation = progress.evaluation
    if evaluation.verdict is Verdict.BAD:
        return Step(RolloutState.rolled_back, evaluation.detail)
    if not progress.is_primary:
        return None
    if progress.order.state is RolloutState.switching:
        return _plan_completion(progress)
    return _plan_switch(progress)


def _plan_switch(progress: RolloutProgress) -> Step | None:
    order, evaluation = progress.order, progress.evaluation
    left_s = order.duration_s - progress.elapsed_s
    if evaluation.verdict is Verdict.GOOD:
        is_due = left_s <= compute_switch_margin(progress)
        return Step(RolloutState.switching, evaluation.detail) if is_due else None
    if left_s > _ROLLBACK_MARGIN_S:
        # More responses may still clear the canary.
        return None
    detail = f"verdict={evaluation.verdict.value} {evaluation.detail}"
    return Step(RolloutState.rolled_back, detail)


def _plan_completion(progress: RolloutProgress) -> Step | None:
    if progress.gateway_share < 1.0 and progress.switched_s < PROPAGATION_S:
        return None
    has_timed_out = progress.switched_s > progress.max_request_s
    if progress.old_running and not has_timed_out:
        return None
    detail = f"old_running={progress.old_running} {progress.evaluation.detail}"
    return Step(RolloutState.completed, detail)
