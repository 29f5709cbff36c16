"""Collect the metrics of a process and serve them in the Prometheus text format."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from troutstand.util.clock import read_clock_s
from troutstand.util.listening import listen

if TYPE_CHECKING:
    from troutstand.core.clientmemory import ClientMemory
    from troutstand.generated.settings import Address
    from troutstand.util.clientguard import ClientGuard
    from troutstand.util.events import Event, EventBus

_LAG_INTERVAL_S = 0.25
_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class NodeMetrics:
    """Hold the metrics of every process: events, event loop lag, configuration version."""

    def __init__(self, events: EventBus) -> None:
        self.registry = CollectorRegistry()
        self.event_count = Counter(
            "troutstand_events",
            "Events by name and result code",
            ["event", "code"],
            registry=self.registry,
        )
        self.loop_lag_s = Histogram(
            "troutstand_loop_lag_seconds",
            "Seconds by which the loop woke late",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.version = Gauge(
            "troutstand_configuration_version",
            "Version of the configuration in force",
            registry=self.registry,
        )
        events.subscribe(self._count)

    def _count(self, event: Event) -> None:
        self.event_count.labels(event.name, str(int(event.code))).inc()

    async def measure_loop_lag(self) -> None:
        """Measure the lag of the event loop until cancelled."""
        while True:
            before_s = read_clock_s()
            await asyncio.sleep(_LAG_INTERVAL_S)
            self.loop_lag_s.observe(max(0.0, read_clock_s() - before_s - _LAG_INTERVAL_S))

    async def serve(self, address: Address, guard: ClientGuard) -> web.AppRunner:
        """Serve the metrics at `/metrics` of an address."""
        app = web.Application()
        app.router.add_get("/metrics", self._get_metrics)
        return await listen(app, address, "metrics_port", guard)

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=generate_latest(self.registry), content_type="text/plain")


class GatewayMetrics(NodeMetrics):
    """Hold the additional metrics of a gateway."""

    def __init__(self, events: EventBus) -> None:
        super().__init__(events)
        self.responses = Counter(
            "troutstand_answers",
            "Requests by route kind, tier and result code",
            ["kind", "tier", "code"],
            registry=self.registry,
        )
        self.first_byte_s = Histogram(
            "troutstand_first_byte_seconds",
            "Seconds from a request's arrival to the first byte of its answer",
            ["kind", "tier"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.wait_s = Histogram(
            "troutstand_waited_seconds",
            "Seconds that a request waited for a target",
            ["kind", "tier"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.cut_paths = Gauge(
            "troutstand_cut_paths",
            "Targets that are reached only through peer gateways",
            registry=self.registry,
        )
        self.served_tunnels = Gauge(
            "troutstand_served_tunnels",
            "Connections to targets that are open for peer gateways",
            registry=self.registry,
        )
        self.held_request_bytes = Gauge(
            "troutstand_held_request_bytes",
            "Bytes of request bodies that are held until their requests end",
            registry=self.registry,
        )
        self.client_bytes = Gauge(
            "troutstand_client_bytes",
            "Bytes that are held for clients, as they are accounted",
            registry=self.registry,
        )
        self.client_connections = Gauge(
            "troutstand_client_connections",
            "Open connections of clients",
            registry=self.registry,
        )
        self.stream_origins = Counter(
            "troutstand_stream_origins",
            "Streams that callers resumed, by how the version that began them was learnt",
            ["source"],
            registry=self.registry,
        )
        self.endings = Counter(
            "troutstand_endings",
            "Sent requests by how they ended at the target",
            ["ending"],
            registry=self.registry,
        )

    def watch_clients(self, memory: ClientMemory) -> None:
        """Show what a process holds for its clients."""
        self.held_request_bytes.set_function(lambda: memory.body_bytes)
        self.client_bytes.set_function(lambda: memory.held_bytes)
        self.client_connections.set_function(lambda: len(memory))
