"""Refuse those who wait for a target of a site and cannot be served in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.crashtracker import Suspicion
from troutstand.core.decision import Decision, decline_quarantined
from troutstand.core.scheduling.serviceshares import UNSHARED
from troutstand.core.siteview import SiteView
from troutstand.core.targetstate import clamp_service_s
from troutstand.generated.messages import Declined

if TYPE_CHECKING:
    import random

    from troutstand.core.crashtracker import CrashTracker
    from troutstand.core.pool import Pool
    from troutstand.core.quota import Quotas
    from troutstand.core.scheduling.options import LoadOptions
    from troutstand.core.scheduling.waitingqueue import WaitingRequest
    from troutstand.generated.messages import RoutedWork

# How long a request that comes too late may wait, as a multiple of its objective.
_LATE_PATIENCE = 0.0
# The share of its time left that a request may wait for (chosen, not measured).
_MAX_WAIT_SHARE = 0.4
# A late request that has waited for so many objectives is refused: those that find no
# slot by then wait until their callers leave (953 of 18,175 requests of a day of 200
# hosts ended without any answer; on a day of 9 hosts 77.7 of worth, and 0 with this).
_MAX_LATE_WAIT = 2.0
# The least and the most time to come back that a caller is told, in seconds, and how
# long requests wait where a service has no target (chosen, not measured).
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 5.0
_NO_TARGET_WAIT_S = 0.3
# A late wait may take so many times as long as expected, since those that can be in time
# come before it: callers that left while they waited were held in vain.
_LATE_SAFETY = 2.0
# A caller is told to come back within this share of its time, so that it can be served then.
_RETURN_SHARE = 0.3
# An estimated wait may be too long by this share of a request's patience before it counts
# as overtaken, since the estimate moves with every arrival (chosen, not measured).
_OVERTAKEN_MARGIN = 0.2


class AdmissionQueue(SiteView):
    """Hold who waits at a site, and refuse who cannot be served in time."""

    def __init__(
        self,
        quotas: Quotas,
        crashes: CrashTracker,
        options: LoadOptions,
        spread: random.Random | None = None,
    ) -> None:
        super().__init__(spread)
        self._options = options
        self.quotas = quotas
        self.crashes = crashes
        self._decisions: list[Decision] = []

    def drain_decisions(self) -> list[Decision]:
        """Return the decisions since the last call."""
        taken, self._decisions = self._decisions, []
        return taken

    def _leave_queue(self, pool: Pool, request: str, now_s: float) -> None:
        waiting = pool.waiting.pop(request)
        if waiting is None:
            return
        work = waiting.work
        pool.shares.refund(work.tier, work.workspace, waiting.share)
        if work.attempt == 1:
            self.quotas.give_back(work.workspace, work.charge, waiting.arrived_s, now_s)

    def _refuse_quarantined(self, now_s: float) -> None:
        """Refuse those that wait for a trial which has turned out badly."""
        for pool in self.pools.values():
            for waiting in pool.waiting.list_all():
                work = waiting.work
                if self.crashes.get_suspicion(work.fingerprint, now_s) is Suspicion.QUARANTINED:
                    self._leave_queue(pool, work.request, now_s)
                    self._quarantine(work, waiting.owner, now_s)

    def _quarantine(self, work: RoutedWork, owner: str, now_s: float) -> None:
        declined = decline_quarantined(
            work.request, self.crashes.describe_quarantine(work.fingerprint, now_s)
        )
        self._decisions.append(Decision(owner, declined))

    def _judge_arrival(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> None:
        if not pool.list_usable():
            return
        pool.judge_time(waiting)
        if self._refuse_resting(pool, waiting, now_s):
            return
        turn_s = pool.measure_turn(now_s)
        wait_s = (pool.waiting.count_shed_after(waiting) + 1) * turn_s
        if wait_s <= waiting.slack_s:
            return
        # With its whole time before it, it would have been in time here: it is late by what
        # it has spent, be it with a scheduler that stood still, and not by the queue.
        is_late_by_spent = wait_s <= waiting.full_slack_s
        # It goes behind those that can make their objective.
        pool.waiting.mark_late(waiting)
        ahead = pool.waiting.count_shed_after(waiting)
        wait_s = (ahead + 1) * turn_s
        most_s = min(
            _LATE_PATIENCE * waiting.work.objective_s, _MAX_WAIT_SHARE * waiting.work.remaining_s
        )
        if is_late_by_spent or waiting.work.spent_s >= waiting.full_slack_s:
            most_s = max(most_s, waiting.full_slack_s)
        if wait_s > most_s and not self._should_be_late(pool, waiting, ahead, turn_s, now_s):
            back_s = self._estimate_return(pool, waiting, ahead, turn_s)
            self._refuse(pool, waiting, ResultCode.SHED_OVERLOAD, back_s, now_s)

    def _estimate_return(
        self, pool: Pool, waiting: WaitingRequest, ahead: int, turn_s: float
    ) -> float:
        """Return the seconds after which a refused caller should find room.

        Told the wait behind those in the queue alone, it comes back into the same burst and
        is refused again.
        """
        wait_s = (ahead + 1) * turn_s
        if not self._options.protects_tiers:
            return wait_s
        late_s = pool.estimate_late_wait(waiting, ahead, turn_s)
        return max(wait_s, min(late_s, _RETURN_SHARE * waiting.work.remaining_s))

    def _should_be_late(
        self, pool: Pool, waiting: WaitingRequest, ahead: int, turn_s: float, now_s: float
    ) -> bool:
        """Tell whether a request should be served late rather than refused.

        Refused, it would give way to lower tiers that are to give way to it, or come back
        to find no more room than it has by waiting.
        """
        if not self._options.protects_tiers:
            return False
        wait_s = pool.estimate_late_wait(waiting, ahead, turn_s)
        if pool.has_lower(waiting):
            wait_s = min(wait_s, (ahead + 1) * turn_s)
        if now_s + _LATE_SAFETY * wait_s + waiting.min_first_byte_s > waiting.first_byte_deadline_s:
            return False
        return wait_s <= _MAX_WAIT_SHARE * (waiting.deadline_s - now_s)

    def _is_hopeless(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> bool:
        """Tell whether a request's time ends, or its caller leaves, before it could be served."""
        if now_s + clamp_service_s(pool.hold_s or 0.0) * 0.5 > waiting.deadline_s:
            return True
        is_left = now_s + waiting.min_first_byte_s > waiting.first_byte_deadline_s
        return self._options.protects_tiers and is_left

    def _refuse_resting(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> bool:
        """Refuse who must leave all targets alone for longer than there is time.

        Otherwise the request is held until it is late and then refused all the same.
        """
        rest_s = pool.measure_rest(waiting.owner, now_s)
        if rest_s <= 0.0 or waiting.can_meet_objective(now_s + rest_s):
            return False
        self._refuse(pool, waiting, ResultCode.TARGETS_RESTING, rest_s, now_s)
        return True

    def _judge_waiting(self, pool: Pool, now_s: float) -> None:
        """Refuse who can no longer be served in time, the later ones first."""
        has_targets = bool(pool.list_usable())
        ordered = pool.waiting.list_shed_order()
        turn_s = pool.measure_turn(now_s)
        for ahead, waiting in reversed(list(enumerate(ordered))):
            waited_here_s = now_s - waiting.arrived_s
            # What made it late before it came here is no reason to give it less time here: 12
            # requests of a scheduler that stood still were refused by the next one at once.
            spent_s = 0.0 if waiting.arrived_late else waiting.work.spent_s
            waited_s = waited_here_s + spent_s
            wait_s = (ahead + 1) * turn_s
            if self._is_hopeless(pool, waiting, now_s):
                self._refuse(pool, waiting, ResultCode.SHED_DEADLINE, wait_s, now_s)
            elif not has_targets:
                if waited_here_s > _NO_TARGET_WAIT_S:
                    self._refuse(pool, waiting, ResultCode.NO_TARGET, 1.0, now_s)
            elif self._refuse_resting(pool, waiting, now_s):
                continue
            elif not waiting.is_late and waiting.can_meet_objective(now_s):
                self._judge_overtaken(pool, waiting, ahead, turn_s, now_s)
            elif waiting.is_late and waited_s > _MAX_LATE_WAIT * waiting.work.objective_s:
                if self._should_be_late(pool, waiting, ahead, turn_s, now_s):
                    continue
                self._refuse(pool, waiting, ResultCode.SHED_OVERLOAD, wait_s, now_s)
            elif not waiting.is_late and not waiting.can_meet_objective(now_s):
                pool.waiting.mark_late(waiting)

    def _judge_overtaken(
        self, pool: Pool, waiting: WaitingRequest, ahead: int, turn_s: float, now_s: float
    ) -> None:
        """Refuse who was overtaken as soon as it is clear that no slot will come in time.

        Done in the first quarter of the objective only, 4,537 and 4,957 requests were in
        time on two overloaded days of 9 hosts; done at any time, 4,560 and 5,083.
        """
        wait_s = (ahead + 1) * turn_s
        margin_s = _OVERTAKEN_MARGIN * waiting.full_slack_s
        if not waiting.can_meet_objective(now_s + wait_s - margin_s):
            if self._should_be_late(pool, waiting, ahead, turn_s, now_s):
                pool.waiting.mark_late(waiting)
                return
            total_s = now_s - waiting.arrived_s + wait_s
            self._refuse(pool, waiting, ResultCode.SHED_OVERLOAD, total_s, now_s)

    def _refuse(
        self, pool: Pool, waiting: WaitingRequest, code: ResultCode, wait_s: float, now_s: float
    ) -> None:
        self._leave_queue(pool, waiting.work.request, now_s)
        if code is ResultCode.SHED_OVERLOAD and pool.is_limited(now_s):
            code = ResultCode.TARGETS_LIMITED
        waited_s = now_s - waiting.arrived_s
        reason = f"waited_s={waited_s:.3f} expected_s={wait_s:.3f} queue={len(pool.waiting)}"
        if waiting.share is not UNSHARED:
            work = waiting.work
            lead_s = pool.shares.compute_lead(work.tier, waiting.share)
            reason += f" workspace={work.workspace} share_lead_s={lead_s:.3f}"
        self._decline(waiting.work, waiting.owner, code, wait_s, reason)

    def _decline(
        self, work: RoutedWork, owner: str, code: ResultCode, wait_s: float, reason: str
    ) -> None:
        retry_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        declined = Declined(work.request, int(code), retry_s, reason)
        self._decisions.append(Decision(owner, declined))
