"""Drive the active rollouts from the scheduler that the gateways use."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.errors import TroutstandError
from troutstand.core.pool import Pool
from troutstand.core.rollouts.analysis import Verdict
from troutstand.core.rollouts.planning import RolloutProgress, plan_step
from troutstand.core.rollouts.seenversions import list_unreported
from troutstand.core.rollouts.state import is_active
from troutstand.core.rollouts.versionwatch import VersionWatch
from troutstand.generated.messages import (
    RolloutAdvance,
    RolloutState,
    RolloutsTold,
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
# Longer than a keeper waits for its quorum before it gives up.
_KEEPER_TIMEOUT_S = 3.0
# Interval at which the outcomes of a canary version are logged.
_LOG_INTERVAL_S = 1.0
_MILLISECONDS = 1000.0
# Request timeout assumed for a service without routes.
_DEFAULT_MAX_REQUEST_S = 10.0


class RolloutDriver:
    """Evaluate canary versions and request the next rollout steps from the keepers.

    Parameters
    ----------
    get_gateway_share
        Returns the share of the gateways that use this scheduler, 0 to 1.
    """

    def __init__(
        self,
        node: RoutingNode,
        dispatcher: Dispatcher,
        follower: Follower,
        get_gateway_share: Callable[[], float],
    ) -> None:
        self._node = node
        self._dispatcher = dispatcher
        self._follower = follower
        self._rollouts: RolloutCache = follower.rollouts
        self._get_gateway_share = get_gateway_share
        self._pending: set[str] = set()
        self._last_logged_s: dict[str, float] = {}
        self._keeper_index = 0
        self._is_reporting = False
        self.versions = VersionWatch()
        self._delay_s = node.settings.unordered_after_s

    async def run(self) -> None:
        """Process every active rollout periodically until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            now_s = read_clock_s()
            if self._get_gateway_share() <= 0.0:
                continue
            for entry in self._rollouts.book.services:
                if entry.order is not None and is_active(entry):
                    # A service without listed targets has no pool yet, but its order must end
                    # as well.
                    pool = self._dispatcher.pools.setdefault(entry.service, Pool())
                    self._process_order(entry.service, entry.order, pool, now_s)

    def _process_order(self, service: str, order: RolloutOrder, pool: Pool, now_s: float) -> None:
        progress = self._make_progress(service, order, pool, now_s)
        pool.canary.deadline_s = now_s + order.duration_s - progress.elapsed_s
        pool.canary.is_healthy = progress.evaluation.verdict is Verdict.GOOD
        pool.canary.is_primary = progress.is_primary
        self._log_outcomes(service, progress, now_s)
        step = plan_step(progress)
        if step is None:
            return
        if step.state is RolloutState.rolled_back:
            # Stop sending to the canary at once, before the keepers have agreed.
            self._dispatcher.block_canary(service)
        if service not in self._pending:
            self._pending.add(service)
            self._node.spawn(self._request_step(service, order, step), f"rollout {service}")

    def _make_progress(
        self, service: str, order: RolloutOrder, pool: Pool, now_s: float
    ) -> RolloutProgress:
        is_switching = order.state is RolloutState.switching
        return RolloutProgress(
            order=order,
            evaluation=pool.canary.evaluate(order.number, now_s),
            elapsed_s=self._rollouts.get_order_age_s(order, now_s),
            switched_s=self._rollouts.measure_switched_s(order, now_s) if is_switching else 0.0,
            hold_s=pool.hold_s or 0.0,
            old_running=_count_old_running(pool, order.version),
            max_request_s=self._find_max_request_s(service),
            exposure_left_s=_compute_exposure_left_s(
                pool, self._rollouts.get_order_age_s(order, now_s)
            ),
            gateway_share=self._get_gateway_share(),
        )

    def _find_max_request_s(self, service: str) -> float:
        table = self._follower.table
        routes = table.configuration.routes if table is not None else []
        timeouts_ms = [
            route.timeout_ms
            for route in routes
            if any(part.service == service for part in route.split)
        ]
        return max(timeouts_ms) / _MILLISECONDS if timeouts_ms else _DEFAULT_MAX_REQUEST_S

    def _log_outcomes(self, service: str, progress: RolloutProgress, now_s: float) -> None:
        if now_s - self._last_logged_s.get(service, float("-inf")) < _LOG_INTERVAL_S:
            return
        self._last_logged_s[service] = now_s
        self._node.events.emit(
            "rollout_evidence",
            service=service,
            target_version=progress.order.version,
            state=progress.order.state.value,
            verdict=progress.evaluation.verdict.value,
            detail=progress.evaluation.detail,
            elapsed_s=progress.elapsed_s,
            old_running=progress.old_running,
            book=self._rollouts.version,
        )

    async def _request_step(self, service: str, order: RolloutOrder, step: Step) -> None:
        self._node.events.emit(
            "rollout_step_asked", service=service, state=step.state.value, detail=step.detail
        )
        try:
            await self._send_to_keeper(
                RolloutAdvance(service, order.number, step.state, step.detail)
            )
        finally:
            self._pending.discard(service)

    async def _send_to_keeper(self, message: PeerMessage) -> None:
        """Send a message to the next keeper in turn; a failed step is planned again later."""
        keepers = self._node.contacts.list_by_role(RoutingRole.keeper.value)
        if not keepers:
            return
        self._keeper_index += 1
        keeper = keepers[self._keeper_index % len(keepers)]
        try:
            reply = await self._node.ask_for(keeper, message, RolloutsTold, _KEEPER_TIMEOUT_S)
        except TroutstandError as error:
            self._node.events.emit("rollout_step_unclear", code=error.code, detail=error.detail)
            return
        if isinstance(reply, RolloutsTold):
            self._rollouts.install(reply.book, reply.version)

    # Versions

    def report_versions(self, listed: list[ListedTarget]) -> None:
        """Report the listed versions that the book lacks, and the one in force where it has none.

        A version that no order names serves once the book has it.
        """
        now_s = read_clock_s()
        self.versions.update(listed, now_s)
        if self._get_gateway_share() <= 0.0 or not self._rollouts.is_leased(now_s):
            return
        found = list_unreported(self._rollouts.book, listed, self.versions, self._delay_s, now_s)
        if found and not self._is_reporting:
            # Runs in its own task, so that the next read of the list need not wait.
            self._is_reporting = True
            self._node.spawn(self._send_versions(VersionsSeen(found)), "report versions")

    async def _send_versions(self, seen: VersionsSeen) -> None:
        try:
            await self._send_to_keeper(seen)
        finally:
            self._is_reporting = False


def _compute_exposure_left_s(pool: Pool, elapsed_s: float) -> float:
    """Return how long all requests may go to the canary version, in seconds."""
    exposure = pool.canary.exposure
    requests_per_s = sum(exposure.placed.values()) / max(_PERIOD_S, elapsed_s)
    requests_left = exposure.compute_remaining(pool.canary.is_primary)
    return requests_left / requests_per_s if requests_per_s else 0.0


def _count_old_running(pool: Pool, version: str) -> int:
    return sum(len(t.running) for t in pool.targets.values() if t.listed.version != version)
