"""Show operators how a scheduler shares room that is short."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Gauge

if TYPE_CHECKING:
    from troutstand.core.dispatch import Dispatcher
    from troutstand.core.pool import Pool
    from troutstand.routing.node import RoutingNode

# How often the figures are made, in seconds.
_PERIOD_S = 1.0
# Workspaces of a service that are shown: those furthest ahead of their share.
_MOST_SHOWN = 10
# A workspace is told of as over its share from this lead on, in seconds of slot time.
_OVER_SHARE_S = 1.0


class LoadReport:
    """Set gauges and log changes, once a second."""

    def __init__(self, node: RoutingNode) -> None:
        registry = node.metrics.registry
        self._events = node.events
        self._kept = Gauge(
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
        self._made_s = float("-inf")
        self._over: set[tuple[str, str]] = set()

    def update(self, dispatcher: Dispatcher, now_s: float) -> None:
        """Make the figures anew where they are due."""
        if now_s - self._made_s < _PERIOD_S:
            return
        self._made_s = now_s
        self._lead_s.clear()
        over: set[tuple[str, str]] = set()
        for service, pool in dispatcher.pools.items():
            self._kept.labels(service).set(pool.count_reserved_slots(now_s))
            self._waiting.labels(service).set(len(pool.waiting))
            over |= self._show_leads(service, pool)
        self._tell_over(over)

    def _show_leads(self, service: str, pool: Pool) -> set[tuple[str, str]]:
        """Show the largest leads of a service; return whose are over their share."""
        leads: dict[str, float] = {}
        for led in pool.shares.list_leads().values():
            for workspace, lead_s in led.items():
                leads[workspace] = max(lead_s, leads.get(workspace, 0.0))
        largest = sorted(leads, key=leads.__getitem__, reverse=True)[:_MOST_SHOWN]
        for workspace in largest:
            self._lead_s.labels(service, workspace).set(leads[workspace])
        return {(service, name) for name in largest if leads[name] >= _OVER_SHARE_S}

    def _tell_over(self, over: set[tuple[str, str]]) -> None:
        for service, workspace in sorted(over - self._over):
            self._events.emit("workspace_over_share", service=service, workspace=workspace)
        for service, workspace in sorted(self._over - over):
            self._events.emit("workspace_within_share", service=service, workspace=workspace)
        self._over = over
