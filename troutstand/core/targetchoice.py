"""Choose the target of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.reachability import Link

if TYPE_CHECKING:
    import random

    from troutstand.core.crashes.crashtracker import CrashTracker
    from troutstand.core.pool import Pool
    from troutstand.core.reachability import Reachability
    from troutstand.core.scheduling.waitingqueue import WaitingRequest
    from troutstand.core.targetstate import TargetState
    from troutstand.generated.messages import RoutedWork

# Random cost added per target, so that schedulers without contact to each other do not
# all choose the same one. At most the cost of another failure domain, to prefer the local one.
_COST_JITTER_S = 0.02
# Time after a lost response before a target runs isolated requests: it may have ended
# already, which would not implicate the request.
_ISOLATION_COOLDOWN_S = 5.0


def find_link(work: RoutedWork, state: TargetState) -> Link:
    """Return the link between failure domains that a request uses to reach a target."""
    return Link(work.failure_domain, state.listed.failure_domain)


def filter_version(version: str, *targets: list[TargetState]) -> list[TargetState]:
    """Return the targets that run a version."""
    return [t for some in targets for t in some if t.listed.version == version]


def may_run(work: RoutedWork, state: TargetState) -> bool:
    """Return whether a target runs the version that a request needs, if it needs one."""
    return work.software_version in (None, state.listed.version)


class TargetChoice:
    """Choose among a service's open targets.

    Parameters
    ----------
    rng
        Randomizes the choice among targets of similar cost; None chooses the cheapest.
    """

    def __init__(
        self, reach: Reachability, rng: random.Random | None, crashes: CrashTracker
    ) -> None:
        self._reach = reach
        self._crashes = crashes
        self._rng = rng

    def choose(
        self, pool: Pool, waiting: WaitingRequest, open_: list[TargetState], now_s: float
    ) -> TargetState | None:
        """Return the cheapest eligible open target for a request, or None."""
        eligible = self._list_eligible(pool, waiting, open_, now_s)
        if not eligible:
            return None
        return min(
            eligible,
            key=lambda state: pool.estimate_cost(state, waiting, now_s) + self._draw_jitter_s(),
        )

    def list_isolation_targets(
        self, pool: Pool, work: RoutedWork, open_: list[TargetState], now_s: float
    ) -> list[TargetState]:
        """Return the open targets for a request that is isolated as suspected of crashes.

        One copy runs at a time, apart from other suspects, so that a crash is attributable.
        """
        runs = [run for t in pool.targets.values() for run in t.running.values()]
        if any(run.work.fingerprint == work.fingerprint for run in runs):
            return []
        return [
            t
            for t in open_
            if (not t.consecutive_losses or now_s - t.last_loss_s > _ISOLATION_COOLDOWN_S)
            and self._crashes.may_run_isolated(run.work.fingerprint for run in t.running.values())
        ]

    def choose_canary(
        self, pool: Pool, waiting: WaitingRequest, canaries: list[TargetState], now_s: float
    ) -> TargetState | None:
        """Return the canary target for a request that is sampled, or None.

        Retries go to the stable version. The canary with the fewest samples is chosen,
        whatever its speed, since all canaries are evaluated together.
        """
        work = waiting.work
        if not canaries or work.attempt > 1:
            return None
        if not pool.canary.is_due(work.route) and not pool.canary.is_due_at_deadline(
            pool.estimate_typical_slot_time(work), now_s
        ):
            return None
        eligible = [
            t
            for t in canaries
            if self._is_eligible(pool, waiting, t, now_s) and not t.report.backoff.is_suspect(now_s)
        ]
        samples = pool.canary.sample_counts
        return min(eligible, key=lambda t: samples.get(t.listed.target, 0), default=None)

    def _list_eligible(
        self, pool: Pool, waiting: WaitingRequest, open_: list[TargetState], now_s: float
    ) -> list[TargetState]:
        work = waiting.work
        eligible = [t for t in open_ if self._is_eligible(pool, waiting, t, now_s)]
        tried = work.excluded
        if tried and any(
            t.listed.target not in tried and may_run(work, t) for t in pool.list_usable()
        ):
            eligible = [t for t in eligible if t.listed.target not in tried]
        if now_s < pool.suspects_until_s:
            eligible = self._filter_suspects(pool, waiting, eligible, now_s)
        healthy = [t for t in eligible if not t.is_ejected(now_s)]
        has_probes = len(healthy) < len(eligible)
        if has_probes and not work.is_repeatable and self._has_healthy(pool, work, now_s):
            # Requests that cannot be retried are not used as probes.
            return healthy
        return eligible

    def _is_eligible(
        self, pool: Pool, waiting: WaitingRequest, state: TargetState, now_s: float
    ) -> bool:
        """Return whether a target has memory, is reachable and accepts requests of the gateway.

        A target where an earlier attempt of the request still runs is not eligible.
        """
        return (
            state.listed.target not in waiting.work.running_at
            and may_run(waiting.work, state)
            and state.has_memory(waiting.work, pool.memory_tokens)
            and self._is_reachable(waiting.work, state, now_s)
            and state.report.get_block_reason(waiting.owner, now_s) is None
        )

    def _filter_suspects(
        self, pool: Pool, waiting: WaitingRequest, eligible: list[TargetState], now_s: float
    ) -> list[TargetState]:
        """Leave out targets that rejected requests recently, or probe them one request at a time.

        A rejecting target is idle and would have the lowest cost. A request on its last
        attempt waits for a target that is not suspect.
        """
        unsuspected = [t for t in eligible if not t.report.backoff.is_suspect(now_s)]
        if unsuspected:
            return unsuspected
        work = waiting.work
        if work.attempt >= work.attempts and self._has_unsuspected(pool, waiting, now_s):
            return []
        return [t for t in eligible if t.may_probe_suspect(now_s)]

    def _has_unsuspected(self, pool: Pool, waiting: WaitingRequest, now_s: float) -> bool:
        """Return whether an untried target that is not suspect exists, busy or not."""
        return any(
            not t.report.backoff.is_suspect(now_s)
            and t.report.get_block_reason(waiting.owner, now_s) is None
            and t.listed.target not in waiting.work.excluded
            and may_run(waiting.work, t)
            and self._is_reachable(waiting.work, t, now_s)
            for t in pool.list_usable()
        )

    def _is_reachable(self, work: RoutedWork, state: TargetState, now_s: float) -> bool:
        return self._reach.is_open(find_link(work, state), now_s)

    def _has_healthy(self, pool: Pool, work: RoutedWork, now_s: float) -> bool:
        """Return whether an untried target without recent losses exists, busy or not."""
        return any(
            not t.consecutive_losses
            and t.listed.target not in work.excluded
            and may_run(work, t)
            and self._is_reachable(work, t, now_s)
            for t in pool.list_usable()
        )

    def _draw_jitter_s(self) -> float:
        return self._rng.uniform(0.0, _COST_JITTER_S) if self._rng is not None else 0.0
