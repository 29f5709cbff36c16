"""Queue the waiting requests of a site and refuse those that cannot be served in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.decision import Decision
from troutstand.core.scheduling.serviceshares import UNSHARED
from troutstand.core.siteview import SiteView
from troutstand.core.targetstate import clamp_service_s
from troutstand.generated.messages import Declined

if TYPE_CHECKING:
    import random

    from troutstand.core.limits.quota import Quotas
    from troutstand.core.pool import Pool
    from troutstand.core.scheduling.options import LoadOptions
    from troutstand.core.scheduling.waitingqueue import WaitingRequest
    from troutstand.generated.messages import RoutedWork

# Share of its remaining time that a request may wait.
_MAX_WAIT_SHARE = 0.4
# Wait after which a late request is refused rather than held until its caller leaves, in
# multiples of its objective.
_MAX_LATE_WAIT_FACTOR = 2.0
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 5.0
# Wait allowed while a service has no usable target.
_NO_TARGET_WAIT_S = 0.3
# A caller may begin the stream anew meanwhile.
_GONE_RETRY_AFTER_S = 1.0
# Safety factor on the estimated wait of a late request, which later arrivals can overtake.
_LATE_WAIT_SAFETY_FACTOR = 2.0
# Maximum retry delay as a share of the remaining time, so that a retry can still be served.
_RETRY_AFTER_SHARE = 0.3
# Tolerance on the estimated wait as a share of the slack, since it varies with each arrival.
_OVERTAKEN_MARGIN_SHARE = 0.2


class AdmissionQueue(SiteView):
    """Queue the waiting requests of a site and shed those that cannot be served in time."""

    def __init__(
        self,
        quotas: Quotas,
        options: LoadOptions,
        spread: random.Random | None = None,
    ) -> None:
        super().__init__(spread)
        self._options = options
        self.quotas = quotas
        self._decisions: list[Decision] = []

    def drain_decisions(self) -> list[Decision]:
        """Return and clear the pending decisions."""
        decisions, self._decisions = self._decisions, []
        return decisions

    def _dequeue(self, pool: Pool, request: str, now_s: float) -> None:
        """Remove a waiting request, refund its share and release its reserved tokens."""
        waiting = pool.waiting.pop(request)
        if waiting is None:
            return
        work = waiting.work
        self._refund_promotion(pool, waiting, now_s)
        pool.shares.refund(work.tier, work.workspace, waiting.share)
        self.quotas.release(work.workspace, work.charge)

    def _mark_late(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> None:
        """Rank a queued request behind those of its own tier that can meet their objective."""
        self._refund_promotion(pool, waiting, now_s)
        pool.waiting.mark_late(waiting)

    def _cancel_promotion(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> None:
        """Rank a queued request by its own tier again."""
        self._refund_promotion(pool, waiting, now_s)
        pool.waiting.cancel_promotion(waiting)

    def _refund_promotion(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> None:
        if waiting.promoted_slot_s is not None:
            pool.tier_minimum.cancel(waiting.work.tier, waiting.promoted_slot_s, now_s)

    def _check_arrival(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> None:
        if self._refuse_unserved_version(pool, waiting, now_s) or not pool.list_usable():
            return
        pool.estimate_slack(waiting)
        if self._refuse_during_backoff(pool, waiting, now_s):
            return
        slot_interval_s = pool.estimate_slot_interval(now_s)
        wait_s = (pool.waiting.count_shed_after(waiting) + 1) * slot_interval_s
        if wait_s <= waiting.slack_s:
            return
        # With its full slack it would be on time: time spent before arrival, for example at an
        # unresponsive scheduler, makes it late, not this queue.
        is_late_by_time_spent = wait_s <= waiting.full_slack_s
        self._mark_late(pool, waiting, now_s)
        ahead = pool.waiting.count_shed_after(waiting)
        wait_s = (ahead + 1) * slot_interval_s
        is_late_by_time_spent |= waiting.work.spent_s >= waiting.full_slack_s
        max_wait_s = waiting.full_slack_s if is_late_by_time_spent else 0.0
        if wait_s > max_wait_s and not self._should_serve_late(
            pool, waiting, ahead, slot_interval_s, now_s
        ):
            retry_after_s = self._estimate_retry_after(pool, waiting, ahead, slot_interval_s)
            self._refuse(pool, waiting, ResultCode.SHED_OVERLOAD, retry_after_s, now_s)

    def _estimate_retry_after(
        self, pool: Pool, waiting: WaitingRequest, ahead: int, slot_interval_s: float
    ) -> float:
        """Return the retry delay for a refused caller, in seconds.

        Accounts for expected arrivals of the same and higher tiers, so that the retry does not
        meet the same burst.
        """
        wait_s = (ahead + 1) * slot_interval_s
        if not self._options.protects_tiers:
            return wait_s
        late_wait_s = pool.estimate_late_wait(waiting, ahead, slot_interval_s)
        return max(wait_s, min(late_wait_s, _RETRY_AFTER_SHARE * waiting.work.remaining_s))

    def _should_serve_late(
        self, pool: Pool, waiting: WaitingRequest, ahead: int, slot_interval_s: float, now_s: float
    ) -> bool:
        """Tell whether a request should be served late rather than refused.

        Refusing it would favor requests of lower tiers, or cause a retry that waits no less.
        """
        if not self._options.protects_tiers:
            return False
        wait_s = pool.estimate_late_wait(waiting, ahead, slot_interval_s)
        if pool.has_lower_tier(waiting):
            wait_s = min(wait_s, (ahead + 1) * slot_interval_s)
        if (
            now_s + _LATE_WAIT_SAFETY_FACTOR * wait_s + waiting.min_first_byte_s
            > waiting.first_byte_deadline_s
        ):
            return False
        return wait_s <= _MAX_WAIT_SHARE * (waiting.deadline_s - now_s)

    def _will_expire(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> bool:
        """Tell whether the deadline passes or the caller leaves before a first byte."""
        if now_s + clamp_service_s(pool.hold_s or 0.0) * 0.5 > waiting.deadline_s:
            return True
        is_abandoned = now_s + waiting.min_first_byte_s > waiting.first_byte_deadline_s
        return self._options.protects_tiers and is_abandoned

    def _refuse_during_backoff(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> bool:
        """Refuse a request if all targets stay in backoff for its gateway beyond its objective."""
        backoff_s = pool.measure_backoff(waiting.owner, now_s)
        if backoff_s <= 0.0 or waiting.can_meet_objective(now_s + backoff_s):
            return False
        self._refuse(pool, waiting, ResultCode.TARGETS_RESTING, backoff_s, now_s)
        return True

    def _refuse_unserved_version(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> bool:
        """Refuse a stream that no target of its version can continue."""
        version = waiting.work.software_version
        if version is None or not pool.targets or pool.serves_version(version):
            return False
        self._refuse(pool, waiting, ResultCode.STREAM_VERSION_GONE, _GONE_RETRY_AFTER_S, now_s)
        return True

    def _shed_waiting(self, pool: Pool, now_s: float) -> None:
        """Shed waiting requests that can no longer be served in time, in shedding order."""
        has_targets = bool(pool.list_usable())
        ordered = pool.waiting.list_shed_order()
        slot_interval_s = pool.estimate_slot_interval(now_s)
        for ahead, waiting in reversed(list(enumerate(ordered))):
            if self._refuse_unserved_version(pool, waiting, now_s):
                continue
            waited_here_s = now_s - waiting.arrived_s
            # Requests that arrived late, for example after a scheduler takeover, get the full
            # wait here; otherwise the next scheduler would refuse them at once.
            spent_s = 0.0 if waiting.arrived_late else waiting.work.spent_s
            waited_s = waited_here_s + spent_s
            wait_s = (ahead + 1) * slot_interval_s
            if self._will_expire(pool, waiting, now_s):
                self._refuse(pool, waiting, ResultCode.SHED_DEADLINE, wait_s, now_s)
            elif not has_targets and waiting.work.software_version is None:
                if waited_here_s > _NO_TARGET_WAIT_S:
                    self._refuse(pool, waiting, ResultCode.NO_TARGET, 1.0, now_s)
            elif self._refuse_during_backoff(pool, waiting, now_s):
                continue
            elif not waiting.is_late and waiting.can_meet_objective(now_s):
                self._shed_overtaken(pool, waiting, ahead, slot_interval_s, now_s)
            elif waiting.is_late and waited_s > _MAX_LATE_WAIT_FACTOR * waiting.work.objective_s:
                if self._should_serve_late(pool, waiting, ahead, slot_interval_s, now_s):
                    continue
                self._refuse(pool, waiting, ResultCode.SHED_OVERLOAD, wait_s, now_s)
            elif not waiting.is_late and not waiting.can_meet_objective(now_s):
                self._mark_late(pool, waiting, now_s)

    def _shed_overtaken(
        self, pool: Pool, waiting: WaitingRequest, ahead: int, slot_interval_s: float, now_s: float
    ) -> None:
        """Refuse an overtaken request as soon as no slot is expected in time."""
        wait_s = (ahead + 1) * slot_interval_s
        margin_s = _OVERTAKEN_MARGIN_SHARE * waiting.full_slack_s
        if not waiting.can_meet_objective(now_s + wait_s - margin_s):
            if self._should_serve_late(pool, waiting, ahead, slot_interval_s, now_s):
                self._mark_late(pool, waiting, now_s)
                return
            total_s = now_s - waiting.arrived_s + wait_s
            self._refuse(pool, waiting, ResultCode.SHED_OVERLOAD, total_s, now_s)

    def _refuse(
        self, pool: Pool, waiting: WaitingRequest, code: ResultCode, wait_s: float, now_s: float
    ) -> None:
        pool.tier_service.record_refused(waiting.work.tier, now_s)
        reason = self._describe_refusal(pool, waiting, wait_s, now_s)
        self._dequeue(pool, waiting.work.request, now_s)
        if code is ResultCode.SHED_OVERLOAD and pool.is_rate_limited(now_s):
            code = ResultCode.TARGETS_LIMITED
        self._decline(waiting.work, waiting.owner, code, wait_s, reason)

    def _describe_refusal(
        self, pool: Pool, waiting: WaitingRequest, wait_s: float, now_s: float
    ) -> str:
        """Return the inputs of a refusal for the log; the request must still be queued."""
        work = waiting.work
        queue = pool.waiting
        fields = [
            f"waited_s={now_s - waiting.arrived_s:.3f}",
            f"expected_s={wait_s:.3f}",
            f"queue={len(queue) - 1}",
            f"tier={work.tier}",
            f"slack_s={waiting.slack_s:.3f}",
            f"ahead={queue.count_shed_after(waiting)}",
            f"late_above={queue.count_late_above(waiting)}",
        ]
        if waiting.share is not UNSHARED:
            lead_s = pool.shares.compute_lead(work.tier, waiting.share)
            fields += [f"workspace={work.workspace}", f"share_lead_s={lead_s:.3f}"]
        return " ".join(fields)

    def _decline(
        self, work: RoutedWork, owner: str, code: ResultCode, wait_s: float, reason: str
    ) -> None:
        retry_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        declined = Declined(work.request, int(code), retry_s, reason)
        self._decisions.append(Decision(owner, declined))
