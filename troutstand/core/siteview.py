"""Keep what a decider knows of a site's services and targets, and take over what others know."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.incarnation import is_same_incarnation
from troutstand.core.pool import Pool
from troutstand.core.rollouts.canary import RolloutView
from troutstand.core.selfreport import LimitShare, SelfReport
from troutstand.core.targetstate import RunningRequest, TargetState
from troutstand.generated.messages import Hold, ListedState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from troutstand.core.configuration import RouteTable
    from troutstand.generated.messages import (
        ListedTarget,
        PlacedWork,
        TargetNotice,
        TargetSpeed,
    )


# Targets that the list shows no more of which is kept what they said; the oldest go first.
_MAX_UNLISTED = 1000


@dataclass(frozen=True)
class _Life:
    """Name one life of a target."""

    target: str
    born_ms: int


class SiteView:
    """Hold the services of a site with their targets."""

    def __init__(self, spread: random.Random | None = None) -> None:
        self.pools: dict[str, Pool] = {}
        self._rollouts = RolloutView()
        self._limit_share = LimitShare(rng=spread)
        # What targets said of themselves that the list shows no more.
        self._unlisted: OrderedDict[_Life, SelfReport] = OrderedDict()

    def update_services(self, table: RouteTable) -> None:
        """Take what a configuration says of the services."""
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
        """Take a newer list of targets; what runs at those that are gone is forgotten.

        So is all that is known of a target that began anew under its id. A peer's list may
        lag, so that an earlier life in it is over.
        """
        seen: set[tuple[str, str]] = set()
        for entry in listed:
            pool = self.pools.setdefault(entry.service, Pool())
            seen.add((entry.service, entry.target))
            held = pool.targets.get(entry.target)
            if held is None:
                pool.targets[entry.target] = self._begin_target(entry, now_s)
            elif is_same_incarnation(held.listed.born_ms, entry.born_ms):
                held.is_listed_leaving = False
                born_ms = entry.born_ms or held.listed.born_ms
                was_draining = held.listed.state is ListedState.draining
                if was_draining and entry.state is ListedState.ready and not is_from_peer:
                    # It is back in service under its name.
                    held.report.is_leaving = False
                held.listed = msgspec.structs.replace(entry, born_ms=born_ms)
            elif not (is_from_peer and entry.born_ms < held.listed.born_ms):
                pool.targets[entry.target] = TargetState(entry, last_response_s=now_s)
        for service, pool in self.pools.items():
            for target in [t for t in pool.targets if (service, t) not in seen]:
                self._note_unlisted(pool.targets.pop(target))
            self._apply_rollout(service, pool)

    def _begin_target(self, entry: ListedTarget, now_s: float) -> TargetState:
        """Return what is known of a target that the list did not show."""
        report = self._unlisted.pop(_Life(entry.target, entry.born_ms), None)
        return TargetState(entry, last_response_s=now_s, report=report or SelfReport())

    def _note_unlisted(self, state: TargetState) -> None:
        """Keep what a target said of itself, for the case that a list lacks it once.

        That it leaves is not kept: a target that is gone and listed again is back.
        """
        if state.report.is_leaving:
            return
        self._unlisted[_Life(state.listed.target, state.listed.born_ms)] = state.report
        while len(self._unlisted) > _MAX_UNLISTED:
            self._unlisted.popitem(last=False)

    def set_rate_limit_share(self, part: float, now_s: float) -> None:
        """Spend another part of the limits that targets name from now on."""
        if part == self._limit_share.fraction:
            return
        self._limit_share.fraction = part
        for pool in self.pools.values():
            for state in pool.targets.values():
                state.report.set_share(self._limit_share, now_s)

    def update_rollouts(self, view: RolloutView) -> None:
        """Take what is known of rollouts."""
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
        """Send nothing more to the version on trial of a service."""
        pool = self.pools[service]
        pool.canary.block()
        pool.admit_versions()

    def mark_leaving(self, targets: Iterable[str]) -> None:
        """Give no more work to targets that a newer list than one's own shows as leaving.

        A target never stops leaving, so that the next list cannot contradict it.
        """
        leaving = set(targets)
        for pool in self.pools.values():
            for name in leaving & set(pool.targets):
                pool.targets[name].is_listed_leaving = True
            pool.admit_versions()

    def apply_notices(
        self, gateway: str, notices: Iterable[TargetNotice], now_s: float
    ) -> list[TargetNotice]:
        """Take what targets said of themselves to a gateway; return what is news."""
        told = {notice.target: notice for notice in notices}
        return [
            told[name]
            for pool in self.pools.values()
            for name in told.keys() & pool.targets.keys()
            if self._note_notice(pool, gateway, told[name], now_s)
        ]

    def _note_notice(self, pool: Pool, gateway: str, notice: TargetNotice, now_s: float) -> bool:
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
        """Count a request that another scheduler had placed."""
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
            # A prompt that is not read yet holds up those that come after it.
            uncached_tokens=0.0 if placed.has_first else state.count_uncached(work),
            expected_first_s=placed.elapsed_s + pool.estimate_first_byte(state, work),
            has_first_byte=placed.has_first,
        )
        state.start(run)

    def list_holds(self) -> list[Hold]:
        """Return how long requests keep their slots, by service."""
        return [
            Hold(service, pool.hold_s)
            for service, pool in self.pools.items()
            if pool.hold_s is not None
        ]

    def merge_holds(self, holds: Iterable[Hold]) -> None:
        """Take over what another scheduler had learnt, where nothing was learnt here."""
        for hold in holds:
            pool = self.pools.setdefault(hold.service, Pool())
            if pool.hold_s is None:
                pool.hold_s = hold.hold_s

    def merge_speeds(self, speeds: Iterable[TargetSpeed]) -> None:
        """Take in how fast a gateway saw the targets to be."""
        for seen in speeds:
            pool = self.pools.setdefault(seen.service, Pool())
            state = pool.targets.get(seen.target)
            if state is not None and is_same_incarnation(state.listed.born_ms, seen.born_ms):
                state.merge_speed(seen, pool.get_prefill_speed(state))
                pool.invalidate_typical()
