"""Hold the services and targets of a site, and merge the state that peers report."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.incarnation import is_same_incarnation
from troutstand.core.pool import Pool
from troutstand.core.rollouts.canary import RolloutView
from troutstand.core.selfreport import LimitShare, SelfReport
from troutstand.core.streamorigins import StreamOrigins
from troutstand.core.targetstate import RunningRequest, TargetState
from troutstand.generated.messages import Hold, ListedState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from troutstand.core.configuration import RouteTable
    from troutstand.generated.messages import (
        ListedTarget,
        PlacedWork,
        RoutedWork,
        TargetNotice,
        TargetSpeed,
    )


# Bounds the reports kept of targets that left the list; the oldest are evicted.
_MAX_UNLISTED = 1000


@dataclass(frozen=True)
class _Incarnation:
    """Identify one run of a target process."""

    target: str
    born_ms: int


class SiteView:
    """Hold the services of a site with their targets."""

    def __init__(self, rng: random.Random | None = None) -> None:
        # Which version of the targets' software began each stream.
        self.origins = StreamOrigins()
        self.pools: dict[str, Pool] = {}
        self._rollouts = RolloutView()
        self._limit_share = LimitShare(rng=rng)
        # Reports of targets that are not in the current list.
        self._unlisted: OrderedDict[_Incarnation, SelfReport] = OrderedDict()

    def update_services(self, table: RouteTable) -> None:
        """Apply the services of a configuration."""
        engines = {name: s.engine for name, s in table.services.items() if s.engine is not None}
        for pool in self.pools.values():
            pool.memory_tokens = 0
        for name, engine in engines.items():
            pool = self.pools.setdefault(name, Pool())
            pool.tokens_per_event = engine.stride
            pool.memory_tokens = engine.memory_tokens

    def update_targets(
        self, listed: Iterable[ListedTarget], now_s: float, is_from_peer: bool = False
    ) -> None:
        """Apply a newer list of targets; drops targets that are missing or have restarted.

        A peer's list may lag, so its earlier incarnations of a target are ignored.
        """
        seen: set[tuple[str, str]] = set()
        for entry in listed:
            pool = self.pools.setdefault(entry.service, Pool())
            seen.add((entry.service, entry.target))
            state = pool.targets.get(entry.target)
            if state is None:
                pool.targets[entry.target] = self._create_target(entry, now_s)
            elif is_same_incarnation(state.listed.born_ms, entry.born_ms):
                state.is_listed_leaving = False
                born_ms = entry.born_ms or state.listed.born_ms
                was_draining = state.listed.state is ListedState.draining
                if was_draining and entry.state is ListedState.ready and not is_from_peer:
                    # Draining was cancelled.
                    state.report.is_leaving = False
                state.listed = msgspec.structs.replace(entry, born_ms=born_ms)
            elif not (is_from_peer and entry.born_ms < state.listed.born_ms):
                pool.targets[entry.target] = TargetState(entry, last_response_s=now_s)
        for service, pool in self.pools.items():
            for target in [t for t in pool.targets if (service, t) not in seen]:
                self._keep_report(pool.targets.pop(target))
            self._apply_rollout(service, pool)

    def _create_target(self, entry: ListedTarget, now_s: float) -> TargetState:
        """Create the state of a newly listed target, with its kept report if there is one."""
        report = self._unlisted.pop(_Incarnation(entry.target, entry.born_ms), None)
        return TargetState(entry, last_response_s=now_s, report=report or SelfReport())

    def _keep_report(self, state: TargetState) -> None:
        """Keep a target's report in case it is missing from one list only.

        Reports of leaving targets are dropped: a target that is listed again is in service.
        """
        if state.report.is_leaving:
            return
        self._unlisted[_Incarnation(state.listed.target, state.listed.born_ms)] = state.report
        while len(self._unlisted) > _MAX_UNLISTED:
            self._unlisted.popitem(last=False)

    def set_rate_limit_share(self, fraction: float, now_s: float) -> None:
        """Set the fraction of the targets' rate limits that is used here."""
        if fraction == self._limit_share.fraction:
            return
        self._limit_share.fraction = fraction
        for pool in self.pools.values():
            for state in pool.targets.values():
                state.report.set_share(self._limit_share, now_s)

    def update_rollouts(self, view: RolloutView) -> None:
        """Apply a newer view of the rollouts."""
        if view == self._rollouts:
            return
        self._rollouts = view
        for service, pool in self.pools.items():
            self._apply_rollout(service, pool)

    def _apply_rollout(self, service: str, pool: Pool) -> None:
        pool.canary.update(self._rollouts.get_service(service), self._rollouts.limit)
        pool.admit_versions()
        pool.invalidate_typical()

    def block_canary(self, service: str) -> None:
        """Stop sending requests to the canary version of a service."""
        pool = self.pools[service]
        pool.canary.block()
        pool.admit_versions()

    def mark_leaving(self, targets: Iterable[str]) -> None:
        """Exclude targets that another process's newer list shows as leaving."""
        leaving = set(targets)
        for pool in self.pools.values():
            for name in leaving & set(pool.targets):
                pool.targets[name].is_listed_leaving = True
            pool.admit_versions()

    def apply_notices(
        self, gateway: str, notices: Iterable[TargetNotice], now_s: float
    ) -> list[TargetNotice]:
        """Apply the notices that targets sent to a gateway, and return those with new content."""
        by_target = {notice.target: notice for notice in notices}
        return [
            by_target[name]
            for pool in self.pools.values()
            for name in by_target.keys() & pool.targets.keys()
            if self._apply_notice(pool, gateway, by_target[name], now_s)
        ]

    def _apply_notice(self, pool: Pool, gateway: str, notice: TargetNotice, now_s: float) -> bool:
        state = pool.targets[notice.target]
        if not is_same_incarnation(state.listed.born_ms, notice.born_ms):
            return False
        was_leaving = state.report.is_leaving
        is_news = state.report.apply_notice(gateway, notice, now_s, self._limit_share)
        if state.report.is_leaving and not was_leaving:
            pool.admit_versions()
        pool.suspects_until_s = max(pool.suspects_until_s, now_s + notice.rest_s)
        return is_news

    def adopt(self, placed: PlacedWork, owner: str, now_s: float) -> None:
        """Take over a running request that another scheduler placed."""
        work = placed.work
        pool = self.pools.setdefault(work.service, Pool())
        state = pool.targets.get(placed.target)
        if state is None or work.request in state.running:
            return
        if not is_same_incarnation(state.listed.born_ms, placed.born_ms):
            return
        run = RunningRequest(
            work,
            owner,
            now_s - placed.elapsed_s,
            # Only a prompt that is still in prefill delays later requests.
            uncached_tokens=0.0 if placed.has_first else state.count_uncached(work),
            expected_first_s=placed.elapsed_s + pool.estimate_first_byte(state, work),
            has_first_byte=placed.has_first,
            is_path_lost=placed.is_path_lost,
            is_silent=placed.is_silent,
        )
        state.start(run)
        if placed.has_first:
            self._record_origin(work, state, now_s)

    def _record_origin(self, work: RoutedWork, state: TargetState, now_s: float) -> None:
        """Remember the version that sent a stream's first event, and must send any later one."""
        if work.stream:
            self.origins.record(work.stream, state.listed.version, now_s)

    def list_holds(self) -> list[Hold]:
        """Return the mean slot time of requests by service."""
        return [
            Hold(service, pool.hold_s)
            for service, pool in self.pools.items()
            if pool.hold_s is not None
        ]

    def merge_holds(self, holds: Iterable[Hold]) -> None:
        """Merge mean slot times of another scheduler for services without own samples."""
        for hold in holds:
            pool = self.pools.setdefault(hold.service, Pool())
            if pool.hold_s is None:
                pool.hold_s = hold.hold_s

    def merge_speeds(self, speeds: Iterable[TargetSpeed]) -> None:
        """Merge the target speeds that a gateway observed."""
        for seen in speeds:
            pool = self.pools.setdefault(seen.service, Pool())
            state = pool.targets.get(seen.target)
            if state is not None and is_same_incarnation(state.listed.born_ms, seen.born_ms):
                state.merge_speed(seen, pool.get_prefill_speed(state))
                pool.invalidate_typical()
