"""Ask a routed site for more than a workspace's limit allows, and count what runs at targets."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from troutstand.generated.configuration import RoutedWorkspace
from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedsite import KEY, ConfigurationPlan, make_routes

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from troutstand.testing.routedcaller import CallResult
    from troutstand.testing.routedscene import Scene
    from troutstand.testing.routedsite import HostProcess
    from troutstand.testing.standins import RunRecord

WORKSPACE = "limited"
LIMITED_KEY = "key-limited"
LOWEST_TIER = 2
# Spread of the log-normal sizes of requests.
_SIZE_SIGMA = 0.7
_MAX_TOKENS_FACTOR = 8.0


@dataclass(frozen=True)
class LimitPlan:
    """Describe a workspace's limit and how it is judged."""

    tokens_per_s: float = 4000.0
    burst_tokens: float = 12_000.0
    window_s: float = 8.0
    excess: float = 0.1
    extra_tokens: float = 7000.0

    @property
    def limit_tokens(self) -> float:
        """Return the tokens of a window without any excess."""
        return self.tokens_per_s * self.window_s + self.burst_tokens

    @property
    def max_tokens(self) -> float:
        """Return the most tokens that may run in any window."""
        return self.limit_tokens * (1.0 + self.excess) + self.extra_tokens

    def make_workspace(self) -> RoutedWorkspace:
        """Return the limited workspace."""
        return RoutedWorkspace(
            WORKSPACE,
            keys=[LIMITED_KEY],
            tokens_per_s=self.tokens_per_s,
            burst_tokens=self.burst_tokens,
        )

    def make_configuration(self) -> ConfigurationPlan:
        """Return a configuration with the limited workspace and an unlimited one.

        Calls that run once, to plain services, are of the lowest tier.
        """
        workspaces = [RoutedWorkspace("one", keys=[KEY]), self.make_workspace()]
        routes = [
            msgspec.structs.replace(route, tier=LOWEST_TIER) if route.name == "do" else route
            for route in make_routes()
        ]
        return ConfigurationPlan(workspaces=workspaces, routes=routes)


@dataclass(frozen=True)
class FullestWindow:
    """Describe the window in which most tokens ran."""

    tokens: float
    start_s: float


def find_fullest_window(runs: Iterable[tuple[float, float]], window_s: float) -> FullestWindow:
    """Return the fullest of all windows of (time, tokens) pairs."""
    ordered = sorted(runs)
    fullest = FullestWindow(0.0, 0.0)
    first, total = 0, 0.0
    for at_s, tokens in ordered:
        total += tokens
        while ordered[first][0] < at_s - window_s:
            total -= ordered[first][1]
            first += 1
        if total > fullest.tokens:
            fullest = FullestWindow(total, ordered[first][0])
    return fullest


def draw_tokens(rng: random.Random, mean_tokens: float) -> int:
    """Draw the size of a request from a log-normal distribution."""
    mu = math.log(mean_tokens) - _SIZE_SIGMA**2 / 2
    drawn = rng.lognormvariate(mu, _SIZE_SIGMA)
    return max(1, round(min(_MAX_TOKENS_FACTOR * mean_tokens, drawn)))


def list_limited_runs(scene: Scene) -> list[RunRecord]:
    """Return every run of the limited workspace at a target, second runs included."""
    return [r for target in scene.targets for r in target.runs if r.workspace == WORKSPACE]


@dataclass
class LimitLoad:
    """Send the requests of a workspace at a steady rate through all gateways in turn."""

    scene: Scene
    route: str
    per_s: float
    mean_tokens: float = 200.0
    seed: int = 61
    key: str = LIMITED_KEY
    calls: list[CallResult] = field(default_factory=list)
    # When each call was sent, on the steady clock.
    sent_s: list[float] = field(default_factory=list)
    began_s: float = 0.0

    def iterate_gateways(self) -> Iterator[HostProcess | None]:
        """Yield the gateway of each request, None if it is not sent."""
        return itertools.cycle(self.scene.site.list_role(RoutingRole.gateway))

    async def run(self, length_s: float) -> None:
        """Send requests for a time, and wait for their responses."""
        rng = random.Random(self.seed)
        gateways = self.iterate_gateways()
        tasks: list[asyncio.Task[CallResult]] = []
        self.began_s = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(max(0.0, self.began_s + number / self.per_s - time.monotonic()))
            if time.monotonic() >= self.began_s + length_s:
                break
            tokens = draw_tokens(rng, self.mean_tokens)
            gateway = next(gateways, None)
            if gateway is None:
                continue
            self.sent_s.append(time.monotonic())
            call = self.scene.caller.call(
                gateway, self.route, f"{number}".encode(), self.key, f"{tokens},0"
            )
            tasks.append(asyncio.create_task(call))
        self.calls.extend(await asyncio.gather(*tasks))

    def describe(self) -> str:
        """Return the statuses of the calls, and how many runs were second ones."""
        runs = list_limited_runs(self.scene)
        second = len(runs) - len({run.request for run in runs})
        return f"{len(runs)} runs, {second} second ones, {Counter(c.status for c in self.calls)}"


_READINESS_PERIOD_S = 0.05


@dataclass
class ReadyLoad(LimitLoad):
    """Send the requests of a workspace through the gateways that report that they are ready."""

    _ready: set[str] = field(default_factory=set)

    def iterate_gateways(self) -> Iterator[HostProcess | None]:
        """Yield the gateway of each request, None while none is ready."""
        gateways = self.scene.site.list_role(RoutingRole.gateway)
        for number in itertools.count():
            ready = [g for g in gateways if g.name in self._ready]
            yield ready[number % len(ready)] if ready else None

    async def run(self, length_s: float) -> None:
        """Send requests for a time while the gateways' readiness is read."""
        gateways = self.scene.site.list_role(RoutingRole.gateway)
        watches = [asyncio.create_task(self._watch(gateway.name)) for gateway in gateways]
        try:
            await super().run(length_s)
        finally:
            for watch in watches:
                watch.cancel()

    async def _watch(self, name: str) -> None:
        while True:
            is_ready = await self.scene.site.is_ready(self.scene.session, name)
            (self._ready.add if is_ready else self._ready.discard)(name)
            await asyncio.sleep(_READINESS_PERIOD_S)
