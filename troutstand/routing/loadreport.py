"""Report to operators how a scheduler shares scarce slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Gauge

if TYPE_CHECKING:
    from troutstand.core.dispatch import Dispatcher
    from troutstand.core.pool import Pool
    from troutstand.routing.node import RoutingNode

_PERIOD_S = 1.0
# Workspaces of a service that get a gauge: those furthest above their share.
_MAX_WORKSPACE_COUNT = 10
# Slot time above its share from which a workspace is logged as over its share.
_OVER_SHARE_S = 1.0


class LoadReport:
    """Set gauges and log changes of workspaces over their share."""

    def __init__(self, node: RoutingNode) -> None:
        registry = node.metrics.registry
        self._events = node.events
        self._reserved = Gauge(
            "troutstand_slots_kept",
            "Free slots that the lowest tier must leave to higher ones",
            ["service"],
            registry=registry,
        )
        self._waiting = Gauge(
            "troutstand_waiting_requests",
            "Requests that wait for a target",
            ["service"],
            registry=registry,
        )
        self._lead_s = Gauge(
            "troutstand_share_lead_seconds",
            "Slot time by which a workspace is ahead of its share",
            ["service", "workspace"],
            registry=registry,
        )
        self._served_share = Gauge(
            "troutstand_tier_served_share",
            "Share of the recent requests of a tier that got a slot",
            ["service", "tier"],
            registry=registry,
        )
        self._updated_s = float("-inf")
        self._over_share: set[tuple[str, str]] = set()

    def update(self, dispatcher: Dispatcher, now_s: float) -> None:
        """Update gauges and logs if they are due."""
        if now_s - self._updated_s < _PERIOD_S:
            return
        self._updated_s = now_s
        self._lead_s.clear()
        self._served_share.clear()
        over_share: set[tuple[str, str]] = set()
        for service, pool in dispatcher.pools.items():
            self._reserved.labels(service).set(pool.count_reserved_slots(now_s))
            self._waiting.labels(service).set(len(pool.waiting))
            for tier, share in pool.tier_service.list_shares(now_s).items():
                self._served_share.labels(service, str(tier)).set(share)
            over_share |= self._update_leads(service, pool)
        self._log_over_share(over_share)

    def _update_leads(self, service: str, pool: Pool) -> set[tuple[str, str]]:
        """Set the gauges of a service's largest leads; return the workspaces over their share."""
        leads: dict[str, float] = {}
        for tier_leads in pool.shares.list_leads().values():
            for workspace, lead_s in tier_leads.items():
                leads[workspace] = max(lead_s, leads.get(workspace, 0.0))
        largest = sorted(leads, key=leads.__getitem__, reverse=True)[:_MAX_WORKSPACE_COUNT]
        for workspace in largest:
            self._lead_s.labels(service, workspace).set(leads[workspace])
        return {(service, name) for name in largest if leads[name] >= _OVER_SHARE_S}

    def _log_over_share(self, over_share: set[tuple[str, str]]) -> None:
        for service, workspace in sorted(over_share - self._over_share):
            self._events.emit("workspace_over_share", service=service, workspace=workspace)
        for service, workspace in sorted(self._over_share - over_share):
            self._events.emit("workspace_within_share", service=service, workspace=workspace)
        self._over_share = over_share
