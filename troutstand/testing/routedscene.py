"""Run a routed site of real processes with simulated targets and a caller."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from troutstand.generated.routing import RoutingRole
from troutstand.testing.background import BackgroundLoop
from troutstand.testing.behindproxy import put_all_behind_proxies
from troutstand.testing.routedcaller import CallResult, RoutedCaller
from troutstand.testing.routedsite import (
    KEY,
    TIMEOUT_MS,
    ConfigurationPlan,
    RoutedPlan,
    RoutedSite,
    make_routes,
    wait_until,
)
from troutstand.testing.standins import StandInList, StandInTarget

if TYPE_CHECKING:
    from pathlib import Path

    from troutstand.testing.faultproxy import FaultProxy


@dataclass
class Scene:
    """Run a routed site, its simulated targets and its caller on a background loop."""

    folder: Path
    # Software version that the targets report; empty reports none.
    version: str = ""
    engines: int = 2
    plain: int = 2
    # Shutdown timeout of a process.
    stop_s: float = 2.0
    # Timeout of the routes.
    timeout_ms: int = TIMEOUT_MS
    gateways: int = 2
    shares_fairly: bool = False
    protects_tiers: bool = False
    retry_extra: float = RoutedPlan.retry_extra
    request_bodies_bytes: int = RoutedPlan.request_bodies_bytes
    memory_mb: float = RoutedPlan.memory_mb
    max_descriptors: int = RoutedPlan.max_descriptors
    has_metrics: bool = False
    # Delay before a version that no rollout names serves beside others.
    unordered_after_s: float = 0.0
    # Tolerated excess over workspace limits.
    quota_excess: float = 0.0
    quota_extra: float = 0.0
    # Failure domains of the hosts, in turn; None for the plan's.
    domains: tuple[str, ...] | None = None
    # The first configuration; defaults to one workspace with a route of each kind.
    configuration: ConfigurationPlan | None = None
    # Whether all links go through fault proxies.
    is_proxied: bool = False
    proxies: dict[str, FaultProxy] = field(default_factory=dict)
    invalid_entries: list[bytes] = field(default_factory=list)
    background: BackgroundLoop = field(default_factory=BackgroundLoop)
    targets: list[StandInTarget] = field(default_factory=list)

    def open(self, subnet: str, is_configured: bool = True) -> None:
        """Start the site; if it is configured, wait until the gateways are ready."""
        self.background.run(self._open(subnet, is_configured))

    async def _open(self, subnet: str, is_configured: bool) -> None:
        for number in range(self.plain):
            self.targets.append(StandInTarget(f"plain-{number}", "work", version=self.version))
        for number in range(self.engines):
            self.targets.append(
                StandInTarget(f"engine-{number}", "engine", seed=number, version=self.version)
            )
        for target in self.targets:
            await target.start()
        self.list = StandInList(self.targets)
        self.list.invalid_entries = self.invalid_entries
        await self.list.start()
        plan = RoutedPlan(
            gateways=self.gateways,
            subnet=subnet,
            stop_s=self.stop_s,
            shares_fairly=self.shares_fairly,
            protects_tiers=self.protects_tiers,
            retry_extra=self.retry_extra,
            request_bodies_bytes=self.request_bodies_bytes,
            memory_mb=self.memory_mb,
            max_descriptors=self.max_descriptors,
            has_metrics=self.has_metrics,
            unordered_after_s=self.unordered_after_s,
            quota_excess=self.quota_excess,
            quota_extra=self.quota_extra,
            domains=self.domains or RoutedPlan.domains,
        )
        self.site = RoutedSite(self.folder, plan, self.list)
        self.site.prepare()
        if self.is_proxied:
            self.proxies = await put_all_behind_proxies(self.site)
        self.site.start_all()
        self.session = aiohttp.ClientSession()
        self.caller = RoutedCaller(self.session)
        if is_configured:
            await self.configure()

    async def configure(self) -> None:
        """Write the first configuration and wait until the gateways and keepers apply it."""
        plan = self.configuration or ConfigurationPlan(routes=make_routes(self.timeout_ms))
        await self.site.write_anywhere(self.session, plan.encode())
        await self.site.wait_ready(self.session)
        # A quorum of two keepers can accept the configuration before the third has started.
        await wait_until(self._is_configuration_everywhere, "every keeper has the configuration")

    async def _is_configuration_everywhere(self) -> bool:
        return None not in await read_configurations(self)

    def stop(self) -> None:
        """Stop the site, the targets and the background loop."""
        self.site.stop()
        self.background.run(self._close())
        self.background.close()

    async def _close(self) -> None:
        await self.session.close()
        for proxy in self.proxies.values():
            await proxy.stop()
        for target in self.targets:
            await target.close()
        await self.list.stop()

    def call_gateways(self, route: str, key: str = KEY) -> list[CallResult]:
        """Send one request through each gateway."""
        gateways = self.site.list_role(RoutingRole.gateway)
        return [self.background.run(self.caller.call(g, route, b"x", key)) for g in gateways]


async def read_configurations(scene: Scene) -> list[bytes | None]:
    """Return the configuration of each running keeper; None if it does not respond."""
    keepers = [p for p in scene.site.list_role(RoutingRole.keeper) if p.is_running]
    return [await scene.site.read(scene.session, keeper.name) for keeper in keepers]
