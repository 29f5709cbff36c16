"""Refuse the requests that are known to crash targets, and record the crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.admissionqueue import AdmissionQueue
from troutstand.core.crashes.crashtracker import MAX_ISOLATED, Suspicion
from troutstand.core.crashes.partisolation import PartIsolation, list_crash_parts
from troutstand.core.decision import Decision, decline_quarantined
from troutstand.generated.messages import Ending

if TYPE_CHECKING:
    import random

    from troutstand.core.crashes.crashtracker import CrashTracker, Quarantine
    from troutstand.core.limits.quota import Quotas
    from troutstand.core.pool import Pool
    from troutstand.core.scheduling.options import LoadOptions
    from troutstand.core.targetstate import RunningRequest
    from troutstand.generated.messages import Ended, RoutedWork


class CrashAdmission(AdmissionQueue):
    """Queue the requests of a site but those that are quarantined for crashing targets."""

    def __init__(
        self,
        quotas: Quotas,
        crashes: CrashTracker,
        options: LoadOptions,
        spread: random.Random | None = None,
    ) -> None:
        super().__init__(quotas, options, spread)
        self.crashes = crashes
        self._isolation = PartIsolation(crashes.parts)

    def _must_refuse_suspect(self, pool: Pool, work: RoutedWork, now_s: float) -> bool:
        """Tell whether a request must be refused because requests like it crashed targets.

        A suspect is isolated: a limited number of requests with its fingerprint are admitted
        at once.
        """
        if self._is_quarantined(work, now_s) or self._isolation.must_refuse(pool, work, now_s):
            return True
        suspicion = self.crashes.get_suspicion(work.fingerprint, now_s)
        return suspicion is Suspicion.ISOLATED and pool.count_same_fingerprint(work) >= MAX_ISOLATED

    def _refuse_waiting_quarantined(self, now_s: float) -> None:
        """Refuse the waiting requests that are now quarantined."""
        for pool in self.pools.values():
            for waiting in pool.waiting.list_all():
                if self._is_quarantined(waiting.work, now_s):
                    self._dequeue(pool, waiting.work.request, now_s)
                    self._decline_quarantined(waiting.work, waiting.owner, now_s)

    def _is_quarantined(self, work: RoutedWork, now_s: float) -> bool:
        suspicion = self.crashes.get_suspicion(work.fingerprint, now_s)
        is_suspect = suspicion is Suspicion.QUARANTINED
        return is_suspect or self._isolation.find_quarantine(work, now_s) is not None

    def _decline_quarantined(self, work: RoutedWork, owner: str, now_s: float) -> None:
        declined = decline_quarantined(work.request, self._describe_quarantine(work, now_s))
        self._decisions.append(Decision(owner, declined))

    def _describe_quarantine(self, work: RoutedWork, now_s: float) -> Quarantine:
        found = self._isolation.find_quarantine(work, now_s)
        if found is not None:
            return self.crashes.describe_part_quarantine(found, now_s)
        if self.crashes.get_suspicion(work.fingerprint, now_s) is Suspicion.QUARANTINED:
            return self.crashes.describe_quarantine(work.fingerprint, now_s)
        suspects = self._isolation.list_suspects(work, now_s)
        if suspects:
            return self.crashes.describe_suspects(suspects)
        return self.crashes.describe_quarantine(work.fingerprint, now_s)

    def _record_crash(self, ended: Ended, now_s: float) -> None:
        """Record a broken answer, and whether its target crashed."""
        if ended.ending is Ending.broken and ended.fingerprint and not ended.is_path_lost:
            run = self._find_run(ended)
            self.crashes.record_broken(
                ended.fingerprint,
                ended.target,
                run.started_s if run is not None else now_s - max(0.0, ended.total_s),
                ended.total_s,
                now_s,
                list_crash_parts(ended),
                run is not None and run.is_isolated and run.is_conclusive,
            )
        if ended.is_target_gone:
            self.crashes.record_target_gone(ended.target, now_s)
            self._refuse_waiting_quarantined(now_s)

    def _find_run(self, ended: Ended) -> RunningRequest | None:
        """Return the run of a request that ended, or None if it is not known here."""
        for pool in self.pools.values():
            state = pool.targets.get(ended.target)
            run = state.running.get(ended.request) if state else None
            if run is not None:
                return run
        return None
