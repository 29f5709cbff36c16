"""Roll versions out during a soak, good ones and bad ones, beside its faults."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from troutstand.generated.routing import RoutingRole
from troutstand.testing.soak.check import RolloutRead, RolloutSeen
from troutstand.testing.standins import Fault, StandInTarget

if TYPE_CHECKING:
    from troutstand.testing.soak.run import Soak

FIRST_VERSION = "v1"
_SERVICES = ("work", "engine")
_TARGETS = 3
_BAD_SHARE = 0.4
_LEAST_PAUSE_S, _MOST_PAUSE_S = 0.5, 2.5
_LEAST_TIME_S, _MOST_TIME_S = 8.0, 12.0
_POLL_S = 0.1
_FINAL = ("completed", "rolled_back")
# Targets of a version that was rolled back stand for so long before they are stopped.
_LEFT_STANDING_S = 3.0


class SoakRollouts:
    """Order one rollout after the other, and play the platform's part in each."""

    def __init__(self, soak: Soak, seed: int) -> None:
        self._soak = soak
        self._random = random.Random(seed + 1)
        self._in_force: dict[str, str] = dict.fromkeys(_SERVICES, FIRST_VERSION)
        self._number = 1

    async def run(self) -> None:
        """Roll out until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(_LEAST_PAUSE_S, _MOST_PAUSE_S))
            await self._roll_out()

    async def _roll_out(self) -> None:
        self._number += 1
        is_bad = self._random.random() < _BAD_SHARE
        service = _SERVICES[self._number % len(_SERVICES)]
        seen = RolloutSeen(service, f"v{self._number}", is_bad, time.monotonic())
        self._soak.record.rollouts.append(seen)
        await self._start_targets(seen, Fault.ERRORS if is_bad else Fault.NONE)
        duration_s = self._random.uniform(_LEAST_TIME_S, _MOST_TIME_S)
        order: dict[str, object] = {
            "service": service,
            "version": seen.version,
            "duration_s": duration_s,
        }
        # As operators do: the same again, to any keeper, until the answer is clear.
        while await self._soak.site.begin_rollout(self._soak.session, self._pick(), order) != 200:
            await asyncio.sleep(_POLL_S)
        seen.acknowledged_s = time.monotonic()
        while (await self._read(seen)) not in _FINAL:
            await asyncio.sleep(_POLL_S)
        seen.ended_s = time.monotonic()
        await self._stop_targets(seen)

    def _pick(self) -> str:
        keepers = self._soak.site.list_role(RoutingRole.keeper)
        return self._random.choice(keepers).name

    async def _read(self, seen: RolloutSeen) -> str:
        began_s = time.monotonic()
        status, state = await self._soak.site.read_rollout(
            self._soak.session, self._pick(), seen.service
        )
        if status == 200:
            seen.reads.append(RolloutRead(began_s, state))
        return state

    async def _start_targets(self, seen: RolloutSeen, fault: Fault) -> None:
        for number in range(_TARGETS):
            name = f"{seen.service}-{seen.version}-{number}"
            target = StandInTarget(
                name,
                seen.service,
                version=seen.version,
                fault=fault,
                permanent_fault=fault,
                seed=number,
            )
            await target.start()
            self._soak.targets.append(target)

    async def _stop_targets(self, seen: RolloutSeen) -> None:
        """Stop the old targets at once, or the new ones after a while."""
        is_completed = seen.reads[-1].state == "completed"
        gone = self._in_force[seen.service] if is_completed else seen.version
        if is_completed:
            self._in_force[seen.service] = seen.version
        else:
            await asyncio.sleep(_LEFT_STANDING_S)
        for target in [t for t in self._soak.targets if t.version == gone]:
            if target.service == seen.service:
                if is_completed:
                    seen.cut += target.count_running()
                await target.crash()
                self._soak.targets.remove(target)
                self._soak.record.runs += target.runs
