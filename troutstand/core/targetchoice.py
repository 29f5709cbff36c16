"""Choose the target that a request goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.reachability import Link

if TYPE_CHECKING:
    import random

    from troutstand.core.crashtracker import CrashTracker
    from troutstand.core.pool import Pool
    from troutstand.core.reachability import Reachability
    from troutstand.core.scheduling.waitingqueue import WaitingRequest
    from troutstand.core.targetstate import TargetState
    from troutstand.generated.messages import RoutedWork

# Deciders that do not hear of each other choose among targets whose costs differ by less
# than this at random. The value is that of the way to another failure domain, so that
# requests stay in their own. Without it 40 deciders send 40 requests of equal costs to one
# of 16 targets; with it the busiest gets 5 in the median of 200 draws, 11 at most.
_SPREAD_S = 0.02
# A target that lost an answer is left out of trials for so long, in seconds: the list still
# shows those that have ended, and a trial there would show nothing.
_SETTLED_S = 5.0


def find_link(work: RoutedWork, state: TargetState) -> Link:
    """Return the way that a request goes to a target."""
    return Link(work.failure_domain, state.listed.failure_domain)


class TargetChoice:
    """Choose among a service's open targets.

    Parameters
    ----------
    spread
        Draws among targets that cost about the same; without it the first of equals is
        taken.
    """

    def __init__(
        self, reach: Reachability, spread: random.Random | None, crashes: CrashTracker
    ) -> None:
        self._reach = reach
        self._crashes = crashes
        self._spread = spread

    def choose(
        self, pool: Pool, waiting: WaitingRequest, open_: list[TargetState], now_s: float
    ) -> TargetState | None:
        """Return the best of the open targets for a request, or None where none fits."""
        fitting = self._list_fitting(pool, waiting, open_, now_s)
        if not fitting:
            return None
        return min(
            fitting, key=lambda state: pool.estimate_cost(state, waiting, now_s) + self._draw()
        )

    def list_trial(
        self, pool: Pool, work: RoutedWork, open_: list[TargetState], now_s: float
    ) -> list[TargetState]:
        """Return the open targets at which a request on trial for ending targets may run.

        It runs once at a time, and where no other request under suspicion does, so that the
        target's end tells of this one.
        """
        runs = [run for t in pool.targets.values() for run in t.running.values()]
        if any(run.work.fingerprint == work.fingerprint for run in runs):
            return []
        return [
            t
            for t in open_
            if (not t.consecutive_losses or now_s - t.last_loss_s > _SETTLED_S)
            and self._crashes.may_run_isolated(run.work.fingerprint for run in t.running.values())
        ]

    def choose_canary(
        self, pool: Pool, waiting: WaitingRequest, canaries: list[TargetState], now_s: float
    ) -> TargetState | None:
        """Return the target on trial that a request is sampled for, or None.

        Only first tries are sampled: one that failed at a target on trial goes to the
        version in force. All targets on trial get as many, the slow ones too, since they
        are judged together.
        """
        work = waiting.work
        if not canaries or work.attempt > 1:
            return None
        if not pool.canary.is_due(work.route) and not pool.canary.is_due_at_deadline(
            pool.estimate_typical_slot_time(work), now_s
        ):
            return None
        fitting = [
            t
            for t in canaries
            if self._may_get(pool, waiting, t, now_s) and not t.report.backoff.is_suspect(now_s)
        ]
        samples = pool.canary.sample_counts
        return min(fitting, key=lambda t: samples.get(t.listed.target, 0), default=None)

    def _list_fitting(
        self, pool: Pool, waiting: WaitingRequest, open_: list[TargetState], now_s: float
    ) -> list[TargetState]:
        work = waiting.work
        fitting = [t for t in open_ if self._may_get(pool, waiting, t, now_s)]
        tried = work.excluded
        if tried and any(t.listed.target not in tried for t in pool.list_usable()):
            fitting = [t for t in fitting if t.listed.target not in tried]
        if now_s < pool.suspects_until_s:
            fitting = self._prefer_trusted(pool, waiting, fitting, now_s)
        sound = [t for t in fitting if not t.is_ejected(now_s)]
        has_probes = len(sound) < len(fitting)
        if has_probes and not work.is_repeatable and self._has_sound(pool, work, now_s):
            # A probe may cost it its only try, and a sound target will have a place.
            return sound
        return fitting

    def _may_get(
        self, pool: Pool, waiting: WaitingRequest, state: TargetState, now_s: float
    ) -> bool:
        """Tell whether a target has room for a request, can be reached and may be asked."""
        return (
            state.has_memory(waiting.work, pool.memory_tokens)
            and self._is_reached(waiting.work, state, now_s)
            and state.report.get_block_reason(waiting.owner, now_s) is None
        )

    def _prefer_trusted(
        self, pool: Pool, waiting: WaitingRequest, fitting: list[TargetState], now_s: float
    ) -> list[TargetState]:
        """Leave targets that lately turned requests away to single tries.

        A target that turns everything away has nothing running and would be the best choice
        of all: two of five engines got 147 requests in vain within 5 s, and 2 with this
        (real processes, `resting.feature`); where they told no time, 289 a day and 166 (mean
        of four recorded days). A try may cost a request its last attempt, so that one
        without another to spend waits for a trusted target.
        """
        trusted = [t for t in fitting if not t.report.backoff.is_suspect(now_s)]
        if trusted:
            return trusted
        work = waiting.work
        if work.attempt >= work.attempts and self._has_trusted(pool, waiting, now_s):
            return []
        return [t for t in fitting if t.may_probe_suspect(now_s)]

    def _has_trusted(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> bool:
        """Tell whether a target without doubt is left to try, be it busy or not."""
        return any(
            not t.report.backoff.is_suspect(now_s)
            and t.report.get_block_reason(waiting.owner, now_s) is None
            and t.listed.target not in waiting.work.excluded
            and self._is_reached(waiting.work, t, now_s)
            for t in pool.list_usable()
        )

    def _is_reached(self, work: RoutedWork, state: TargetState, now_s: float) -> bool:
        return self._reach.is_open(find_link(work, state), now_s)

    def _has_sound(self, pool: Pool, work: RoutedWork, now_s: float) -> bool:
        """Tell whether a target without failures is left to try, be it busy or not."""
        return any(
            not t.consecutive_losses
            and t.listed.target not in work.excluded
            and self._is_reached(work, t, now_s)
            for t in pool.list_usable()
        )

    def _draw(self) -> float:
        return self._spread.uniform(0.0, _SPREAD_S) if self._spread is not None else 0.0
