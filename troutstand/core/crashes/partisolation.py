"""Run requests with suspected prompt parts isolated, and report their answers to the tracker."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from troutstand.core.crashes.partcrashes import MAX_EXCLUSIVE_S, SETTLED_S, make_part_ids

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.crashes.partcrashes import PartTracker
    from troutstand.core.crashes.partevidence import PartQuarantine
    from troutstand.core.ids import PartId
    from troutstand.core.pool import Pool
    from troutstand.core.scheduling.waitingqueue import WaitingRequest
    from troutstand.core.targetstate import RunningRequest, TargetState
    from troutstand.generated.messages import Ended, RoutedWork

# Time after a lost response before a target is preferred for isolated requests again.
_COOLDOWN_S = 5.0
# Waiting requests with a common suspect that was never answered; further ones are refused.
_MAX_WAITING = 6
# Waiting requests that one decision looks at.
_MAX_COMPARED = 64
# Time for which a request that crashed targets itself waits for another one with its parts, which
# is better evidence.
_REPEAT_DELAY_S = 1.0
# Share of a service's targets that must be sound for a run that may well crash one. With fewer,
# a crash may also have the cause that took the others.
_MIN_SOUND_SHARE = 0.5
# Time for which a service's largest number of targets is remembered; longer than a restart.
_PEAK_TTL_S = 30.0
# Targets of a service that may run isolated requests at once.
_MAX_EXCLUSIVE_SHARE = 0.25
_MIN_EXCLUSIVE = 2


def list_part_ids(work: RoutedWork) -> list[PartId]:
    """Return the parts of a prompt that other requests may have too: all but the last."""
    return make_part_ids(work.service, (part.part for part in work.parts[:-1]))


@dataclass
class _Peak:
    """Hold the largest number of targets that a service had lately."""

    count: int
    at_s: float


class PartIsolation:
    """Decide where requests with suspected parts run, for all services of a site."""

    def __init__(self, tracker: PartTracker) -> None:
        self._tracker = tracker
        self._peaks: dict[str, _Peak] = {}

    def find_quarantine(self, work: RoutedWork, now_s: float) -> PartQuarantine | None:
        """Return the quarantine for which a request must be refused, if any."""
        if self._tracker.is_idle:
            return None
        return self._tracker.find_quarantine(list_part_ids(work), now_s)

    def list_suspects(self, work: RoutedWork, now_s: float) -> frozenset[PartId]:
        """Return the parts for which a request must run isolated."""
        if self._tracker.is_idle:
            return frozenset()
        return self._tracker.list_suspects(list_part_ids(work), now_s)

    def is_risky(self, work: RoutedWork, now_s: float) -> bool:
        """Return whether a request will probably crash its target."""
        return bool(self._tracker.list_risky(self.list_suspects(work, now_s)))

    def must_refuse(self, pool: Pool, work: RoutedWork, now_s: float) -> bool:
        """Return whether too many requests with the same unanswered parts wait already."""
        unanswered = self._tracker.list_unanswered(self.list_suspects(work, now_s))
        if not unanswered:
            return False
        others = (self.list_suspects(w.work, now_s) for w in _list_compared(pool))
        return sum(not unanswered.isdisjoint(suspects) for suspects in others) >= _MAX_WAITING

    def list_targets(
        self,
        pool: Pool,
        waiting: WaitingRequest,
        suspects: frozenset[PartId],
        is_repeated: bool,
        now_s: float,
    ) -> list[TargetState]:
        """Return the targets where a crash can be attributed to an isolated request.

        Parameters
        ----------
        suspects
            Its suspected parts; empty if only the request itself is suspected.
        is_repeated
            Whether the request itself crashed several targets.
        """
        usable = pool.list_usable()
        if suspects and self._must_wait(pool, waiting, suspects, is_repeated, now_s):
            return []
        exclusive = [run for t in usable for run in t.running.values() if _is_exclusive(run, now_s)]
        if len(exclusive) >= max(_MIN_EXCLUSIVE, int(_MAX_EXCLUSIVE_SHARE * len(usable))):
            return []
        if any(run.suspects & suspects for run in exclusive):
            return []
        return _choose_settled(usable, now_s)

    def _must_wait(
        self,
        pool: Pool,
        waiting: WaitingRequest,
        suspects: frozenset[PartId],
        is_repeated: bool,
        now_s: float,
    ) -> bool:
        """Return whether a request with suspected parts must not run yet."""
        if self._is_outranked(pool, waiting, suspects, now_s):
            return True
        if not self._tracker.list_risky(suspects):
            return False
        if not self.has_sound_targets(pool, waiting.work.service, now_s):
            return True
        return is_repeated and now_s - waiting.arrived_s < _REPEAT_DELAY_S

    def has_sound_targets(self, pool: Pool, service: str, now_s: float) -> bool:
        """Return whether enough targets are sound to attribute a crash to an isolated request."""
        usable = pool.list_usable()
        peak = self._peaks.get(service)
        if peak is None or len(usable) >= peak.count or now_s - peak.at_s > _PEAK_TTL_S:
            peak = self._peaks[service] = _Peak(len(usable), now_s)
        sound = sum(not target.consecutive_losses for target in usable)
        return sound >= _MIN_SOUND_SHARE * peak.count

    def _is_outranked(
        self,
        pool: Pool,
        waiting: WaitingRequest,
        suspects: frozenset[PartId],
        now_s: float,
    ) -> bool:
        """Return whether another waiting request has only some of the suspected parts.

        Its answer would clear these parts without the risk of the others.
        """
        others = (
            self.list_suspects(w.work, now_s) for w in _list_compared(pool) if w is not waiting
        )
        return any(fewer and fewer < suspects for fewer in others)

    def record_answer(self, run: RunningRequest) -> None:
        """Record that a target answered a request, or has gone on with its response."""
        if run.is_cleared:
            return
        run.is_cleared = True
        begun_s = run.first_byte_s if run.has_first_byte else run.started_s
        self._tracker.record_answer(list_part_ids(run.work), begun_s)

    def clear_settled(self, pool: Pool, now_s: float) -> None:
        """Clear the parts of requests whose responses have gone on for a while."""
        self._tracker.expire(now_s)
        if not self._tracker.has_repeated:
            return
        for target in pool.targets.values():
            for run in target.running.values():
                if run.has_first_byte and _is_settled(run, now_s):
                    self.record_answer(run)


def _list_compared(pool: Pool) -> Iterable[WaitingRequest]:
    return islice(pool.waiting.list_all(), _MAX_COMPARED)


def list_crash_parts(ended: Ended) -> list[PartId]:
    """Return the parts of a request that broke off which may have crashed its target."""
    has_settled = ended.first_s >= 0.0 and ended.total_s - ended.first_s >= SETTLED_S
    return [] if has_settled else make_part_ids(ended.service, ended.shared_parts)


def _choose_settled(usable: list[TargetState], now_s: float) -> list[TargetState]:
    """Return the targets where all responses have begun; without one, reserve a target."""
    takers = [t for t in usable if t.can_take(now_s) and not _has_exclusive(t, now_s)]
    settled = [t for t in takers if all(_is_settled(run, now_s) for run in t.running.values())]
    if settled:
        rested = [t for t in settled if now_s - t.last_loss_s > _COOLDOWN_S]
        return rested or settled
    if takers and not any(t.is_reserved(now_s) for t in usable):
        least = min(takers, key=lambda t: _count_unsettled(t, now_s))
        least.reserved_until_s = now_s + MAX_EXCLUSIVE_S
    return []


def _is_settled(run: RunningRequest, now_s: float) -> bool:
    return run.has_first_byte and now_s - run.first_byte_s >= SETTLED_S


def _count_unsettled(target: TargetState, now_s: float) -> int:
    return sum(not _is_settled(run, now_s) for run in target.running.values())


def _is_exclusive(run: RunningRequest, now_s: float) -> bool:
    return run.is_isolated and now_s - run.started_s < MAX_EXCLUSIVE_S


def _has_exclusive(target: TargetState, now_s: float) -> bool:
    return any(_is_exclusive(run, now_s) for run in target.running.values())
