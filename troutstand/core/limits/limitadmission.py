"""Admit requests within the limits of their workspaces and the retry budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.crashes.crashadmission import CrashAdmission
from troutstand.core.limits.quota import QuotaDecision, Verdict
from troutstand.generated.messages import Ending

if TYPE_CHECKING:
    import random

    from troutstand.core.crashes.crashtracker import CrashTracker
    from troutstand.core.limits.quota import Quotas
    from troutstand.core.limits.retrybudget import RetryBudget
    from troutstand.core.pool import Pool
    from troutstand.core.scheduling.options import LoadOptions
    from troutstand.core.targetstate import RunningRequest
    from troutstand.generated.messages import RoutedWork

# Retry delay after the loss of gateways or a scheduler, which most often return within it.
_SHARE_RETRY_S = 1.0
# Endings after which a request has certainly not run.
_NOT_RUN = frozenset({Ending.unsent, Ending.turned_away, Ending.kept_back})


class LimitAdmission(CrashAdmission):
    """Queue the requests of a site that the limits allow, and charge each of their runs."""

    def __init__(
        self,
        quotas: Quotas,
        retries: RetryBudget,
        crashes: CrashTracker,
        options: LoadOptions,
        spread: random.Random | None = None,
    ) -> None:
        super().__init__(quotas, crashes, options, spread)
        self.retries = retries

    def _admit(self, pool: Pool, work: RoutedWork, owner: str, now_s: float) -> bool:
        """Reserve a run within the limits, or decline the request."""
        is_first = work.attempt == 1
        if is_first:
            self.retries.record_request(work.service, now_s)
        quota_decision = self.quotas.reserve(work.workspace, work.charge, now_s, is_first)
        is_excess = quota_decision.verdict is Verdict.EXCESS
        if is_first and is_excess and not pool.has_spare_capacity(now_s):
            self.quotas.release(work.workspace, work.charge)
            quota_decision = QuotaDecision(Verdict.REFUSED, quota_decision.wait_s)
        if quota_decision.verdict is Verdict.REFUSED:
            self._decline_limited(work, owner, quota_decision)
            return False
        if not is_first and not self._take_retry(work, now_s):
            self.quotas.release(work.workspace, work.charge)
            self._decline(work, owner, ResultCode.RETRY_BUDGET, 1.0, "retry budget exhausted")
            return False
        return True

    def _take_retry(self, work: RoutedWork, now_s: float) -> bool:
        is_risky = self._isolation.is_risky(work, now_s)
        return self.retries.take(work.service, now_s, is_reserved=not is_risky)

    def _decline_limited(self, work: RoutedWork, owner: str, decision: QuotaDecision) -> None:
        used = self.quotas.get_usage_share(work.workspace)
        reason = (
            f"workspace={work.workspace} charge={work.charge:g} taken={used:.2f}"
            f" attempt={work.attempt}"
        )
        self._decline(work, owner, ResultCode.WORKSPACE_LIMIT, decision.wait_s, reason)

    def set_limit_share(
        self, share: float, told_until_s: float, now_s: float, told_share: float = 1.0
    ) -> None:
        """Set the share of the limits, and refuse the newest requests that no longer fit."""
        has_fallen = share < self.quotas.share
        self.quotas.set_share(share, told_until_s, told_share)
        self.retries.share = share
        if not has_fallen:
            return
        for pool in self.pools.values():
            for waiting in reversed(pool.waiting.list_all()):
                if self.quotas.is_over(waiting.work.workspace, now_s):
                    self._dequeue(pool, waiting.work.request, now_s)
                    wait = QuotaDecision(Verdict.REFUSED, _SHARE_RETRY_S)
                    self._decline_limited(waiting.work, waiting.owner, wait)

    def charge_resend(
        self, workspace: str, charge: float, repeated: RoutedWork | None, now_s: float
    ) -> ResultCode:
        """Charge a further run of a request at its target; return OK or what refuses it.

        Parameters
        ----------
        repeated
            The request if it has been written before, so that it counts as a retry.
        """
        decision = self.quotas.reserve(workspace, charge, now_s, is_first=False)
        if decision.verdict is Verdict.REFUSED:
            return ResultCode.WORKSPACE_LIMIT
        if repeated is not None and not self._take_retry(repeated, now_s):
            self.quotas.release(workspace, charge)
            return ResultCode.RETRY_BUDGET
        self.quotas.charge(workspace, charge, now_s, is_first=False)
        return ResultCode.OK

    def _charge_run(self, work: RoutedWork, now_s: float) -> float:
        """Charge a request that is sent now, and return the charge."""
        self.quotas.charge(work.workspace, work.charge, now_s, is_first=work.attempt == 1)
        return work.charge

    def _refund_run(self, run: RunningRequest, now_s: float) -> None:
        """Refund the charge of a request that has not run."""
        self.quotas.refund(run.work.workspace, run.charge, run.started_s, now_s)

    def _refund_ended(self, run: RunningRequest, ending: Ending, now_s: float) -> None:
        """Refund the charge of a request if its ending shows that it has not run."""
        if ending in _NOT_RUN:
            self._refund_run(run, now_s)
