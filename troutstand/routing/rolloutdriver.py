"""Drive the rollouts under way from the scheduler that the gateways ask."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from troutstand.core.errors import TroutstandError
from troutstand.core.pool import Pool
from troutstand.core.rollouts.analysis import Verdict
from troutstand.core.rollouts.planning import RolloutProgress, plan_step
from troutstand.core.rollouts.state import find_rollout, is_active
from troutstand.generated.messages import (
    ListedState,
    RolloutAdvance,
    RolloutState,
    RolloutsTold,
    ServiceRollout,
    VersionsSeen,
)
from troutstand.generated.routing import RoutingRole
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.dispatch import Dispatcher
    from troutstand.core.rollouts.planning import Step
    from troutstand.generated.messages import ListedTarget, PeerMessage, RolloutOrder
    from troutstand.routing.follower import Follower
    from troutstand.routing.node import RoutingNode
    from troutstand.routing.rolloutcache import RolloutCache

_PERIOD_S = 0.25
# A keeper answers once its majority has decided, or gives up after 2.5 s.
_ASK_S = 3.0
# How often the evidence of a trial is logged, in seconds.
_LOG_S = 1.0
_MILLISECONDS = 1000.0
# A request of a service without routes may take so long, in seconds.
_LONGEST_S = 10.0


class RolloutDriver:
    """Judge versions on trial and ask the keepers for the next steps.

    Parameters
    ----------
    read_lead
        Returns the share of the gateways that ask this scheduler, 0 to 1.
    """

    def __init__(
        self,
        node: RoutingNode,
        dispatcher: Dispatcher,
        follower: Follower,
        read_lead: Callable[[], float],
    ) -> None:
        self._node = node
        self._dispatcher = dispatcher
        self._follower = follower
        self._known: RolloutCache = follower.rollouts
        self._read_lead = read_lead
        self._asking: set[str] = set()
        self._logged_s: dict[str, float] = {}
        self._turn = 0
        self._is_noting = False

    async def run(self) -> None:
        """Look at every rollout until the process stops."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            now_s = read_clock_s()
            if self._read_lead() <= 0.0:
                continue
            for entry in self._known.book.services:
                if entry.order is not None and is_active(entry):
                    # A service that no target was ever listed for has no pool yet; its order
                    # must come to an end as well.
                    pool = self._dispatcher.pools.setdefault(entry.service, Pool())
                    self._look_at(entry.service, entry.order, pool, now_s)

    def _look_at(self, service: str, order: RolloutOrder, pool: Pool, now_s: float) -> None:
        situation = self._describe(service, order, pool, now_s)
        pool.canary.deadline_s = now_s + order.duration_s - situation.elapsed_s
        pool.canary.is_healthy = situation.evaluation.verdict is Verdict.GOOD
        pool.canary.is_primary = situation.is_primary
        self._log_evidence(service, situation, now_s)
        step = plan_step(situation)
        if step is None:
            return
        if step.state is RolloutState.rolled_back:
            # The keepers may take a while to agree; nothing is sent there meanwhile.
            self._dispatcher.block_canary(service)
        if service not in self._asking:
            self._asking.add(service)
            self._node.spawn(self._advance(service, order, step), f"rollout {service}")

    def _describe(
        self, service: str, order: RolloutOrder, pool: Pool, now_s: float
    ) -> RolloutProgress:
        is_switching = order.state is RolloutState.switching
        return RolloutProgress(
            order=order,
            evaluation=pool.canary.evaluate(order.number, now_s),
            elapsed_s=self._known.get_order_age_s(order, now_s),
            switched_s=self._known.measure_switched_s(order, now_s) if is_switching else 0.0,
            hold_s=pool.hold_s or 0.0,
            old_running=_count_old(pool, order.version),
            max_request_s=self._find_longest(service),
            exposure_left_s=_measure_affordable(pool, self._known.get_order_age_s(order, now_s)),
            gateway_share=self._read_lead(),
        )

    def _find_longest(self, service: str) -> float:
        table = self._follower.table
        routes = table.configuration.routes if table is not None else []
        limits_ms = [
            route.timeout_ms
            for route in routes
            if any(part.service == service for part in route.split)
        ]
        return max(limits_ms) / _MILLISECONDS if limits_ms else _LONGEST_S

    def _log_evidence(self, service: str, situation: RolloutProgress, now_s: float) -> None:
        if now_s - self._logged_s.get(service, float("-inf")) < _LOG_S:
            return
        self._logged_s[service] = now_s
        self._node.events.emit(
            "rollout_evidence",
            service=service,
            target_version=situation.order.version,
            state=situation.order.state.value,
            verdict=situation.evaluation.verdict.value,
            detail=situation.evaluation.detail,
            elapsed_s=situation.elapsed_s,
            old_running=situation.old_running,
            book=self._known.version,
        )

    async def _advance(self, service: str, order: RolloutOrder, step: Step) -> None:
        self._node.events.emit(
            "rollout_step_asked", service=service, state=step.state.value, detail=step.detail
        )
        try:
            await self._ask(RolloutAdvance(service, order.number, step.state, step.detail))
        finally:
            self._asking.discard(service)

    async def _ask(self, message: PeerMessage) -> None:
        """Ask one keeper, the next one each time; a step that fails is planned again."""
        keepers = self._node.contacts.list_by_role(RoutingRole.keeper.value)
        if not keepers:
            return
        self._turn += 1
        keeper = keepers[self._turn % len(keepers)]
        try:
            told = await self._node.ask_for(keeper, message, RolloutsTold, _ASK_S)
        except TroutstandError as error:
            self._node.events.emit("rollout_step_unclear", code=error.code, detail=error.detail)
            return
        if isinstance(told, RolloutsTold):
            self._known.install(told.book, told.version)

    # Which version serves

    def report_versions(self, listed: list[ListedTarget]) -> None:
        """Tell the keepers which version serves, where the book does not say so yet.

        Only a list read before any order can tell; from then on orders alone change it.
        """
        if self._read_lead() <= 0.0 or not self._known.is_leased(read_clock_s()):
            return
        found = list_unknown(self._known, listed)
        if found and not self._is_noting:
            # Reading the next list must not wait for the keepers.
            self._is_noting = True
            self._node.spawn(self._note(VersionsSeen(found)), "note versions")

    async def _note(self, seen: VersionsSeen) -> None:
        try:
            await self._ask(seen)
        finally:
            self._is_noting = False


def list_unknown(known: RolloutCache, listed: list[ListedTarget]) -> list[ServiceRollout]:
    """Return the version that most targets run, of each service without one in the book."""
    counts: dict[str, Counter[str]] = {}
    for entry in listed:
        if entry.version and entry.state is ListedState.ready:
            counts.setdefault(entry.service, Counter())[entry.version] += 1
    found: list[ServiceRollout] = []
    for service, versions in sorted(counts.items()):
        held = find_rollout(known.book, service)
        ordered = held.order.version if held is not None and held.order is not None else ""
        others = Counter({v: n for v, n in versions.items() if v != ordered})
        if (held is None or not held.in_force) and others:
            found.append(ServiceRollout(service, others.most_common(1)[0][0]))
    return found


def _measure_affordable(pool: Pool, elapsed_s: float) -> float:
    """Return for how long all requests may go to the version on trial, in seconds."""
    exposure = pool.canary.exposure
    per_s = sum(exposure.placed.values()) / max(_PERIOD_S, elapsed_s)
    left = exposure.compute_remaining(pool.canary.is_primary)
    return left / per_s if per_s else 0.0


def _count_old(pool: Pool, version: str) -> int:
    return sum(len(t.running) for t in pool.targets.values() if t.listed.version != version)
