"""Run engines of two versions during a soak, and resume streams that break off."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

from troutstand.generated.routing import RoutingRole
from troutstand.testing.soak.rollouts import FIRST_VERSION
from troutstand.testing.standins import StandInTarget
from troutstand.testing.versionedstreams import StreamCaller

if TYPE_CHECKING:
    from troutstand.testing.soak.run import Soak

_SECOND_VERSION = "v1.1"
_ENGINES = 3
_CALLERS = 4
_PAUSE_S = 0.1
_LEAVE_SHARE = 0.4
_LEAVE_AFTER = 2
# When the engines of the first version leave, as a share of the time of faults.
_LEFT_SHARE = 0.6


class SoakVersions:
    """Start engines of a second version, read streams, and take the first version away."""

    def __init__(self, soak: Soak, seed: int) -> None:
        self._soak = soak
        self._rng = random.Random(seed + 2)
        self._numbers = itertools.count(1)
        self._caller = StreamCaller(soak.session)
        soak.record.streams = self._caller.streams

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._replace_engines())
            for _ in range(_CALLERS):
                group.create_task(self._read_streams())

    async def _replace_engines(self) -> None:
        for number in range(_ENGINES):
            engine = StandInTarget(
                f"engine-{_SECOND_VERSION}-{number}",
                "engine",
                version=_SECOND_VERSION,
                seed=number,
                crash_parts=self._soak.record.crash_parts,
            )
            await engine.start()
            self._soak.targets.append(engine)
        await asyncio.sleep(_LEFT_SHARE * self._soak.plan.duration_s)
        for engine in [t for t in self._soak.targets if t.version == FIRST_VERSION]:
            if engine.service == "engine":
                self._soak.targets.remove(engine)
                await engine.crash()
                self._soak.record.runs += engine.runs

    async def _read_streams(self) -> None:
        while True:
            gateways = self._soak.site.list_role(RoutingRole.gateway)
            number = next(self._numbers)
            leaves = self._rng.random() < _LEAVE_SHARE
            await self._caller.read(
                f"versioned-{number}",
                lambda tried, n=number, g=gateways: g[(n + tried) % len(g)],
                _LEAVE_AFTER if leaves else None,
            )
            await asyncio.sleep(_PAUSE_S)
