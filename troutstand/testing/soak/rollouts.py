"""Roll out working and faulty versions during a soak."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from troutstand.generated.routing import RoutingRole
from troutstand.testing.soak.check import RolloutRecord, RolloutStateRead
from troutstand.testing.standins import Fault, StandInTarget

if TYPE_CHECKING:
    from troutstand.testing.soak.run import Soak

FIRST_VERSION = "v1"
_SERVICES = ("work", "engine")
_TARGET_COUNT = 3
_FAULTY_SHARE = 0.4
_MIN_PAUSE_S, _MAX_PAUSE_S = 0.5, 2.5
_MIN_ROLLOUT_S, _MAX_ROLLOUT_S = 8.0, 12.0
_POLL_S = 0.1
_FINAL_STATES = ("completed", "rolled_back")
# Targets of a rolled-back version keep running so that late requests to them are detected.
_ROLLED_BACK_STOP_DELAY_S = 3.0


class SoakRollouts:
    """Order rollouts one after another and start and stop their targets."""

    def __init__(self, soak: Soak, seed: int) -> None:
        self._soak = soak
        self._rng = random.Random(seed + 1)
        self._in_force: dict[str, str] = dict.fromkeys(_SERVICES, FIRST_VERSION)
        self._number = 1

    async def run(self) -> None:
        """Roll out until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
            await self._roll_out()

    async def _roll_out(self) -> None:
        self._number += 1
        is_faulty = self._rng.random() < _FAULTY_SHARE
        service = _SERVICES[self._number % len(_SERVICES)]
        rollout = RolloutRecord(service, f"v{self._number}", is_faulty, time.monotonic())
        self._soak.record.rollouts.append(rollout)
        await self._start_targets(rollout, Fault.ERRORS if is_faulty else Fault.NONE)
        duration_s = self._rng.uniform(_MIN_ROLLOUT_S, _MAX_ROLLOUT_S)
        order: dict[str, object] = {
            "service": service,
            "version": rollout.version,
            "duration_s": duration_s,
        }
        # Resends the order to any keeper until one acknowledges it.
        while (
            await self._soak.site.begin_rollout(self._soak.session, self._choose_keeper(), order)
            != 200
        ):
            await asyncio.sleep(_POLL_S)
        rollout.acknowledged_s = time.monotonic()
        while (await self._read_state(rollout)) not in _FINAL_STATES:
            await asyncio.sleep(_POLL_S)
        rollout.ended_s = time.monotonic()
        await self._stop_targets(rollout)

    def _choose_keeper(self) -> str:
        keepers = self._soak.site.list_role(RoutingRole.keeper)
        return self._rng.choice(keepers).name

    async def _read_state(self, rollout: RolloutRecord) -> str:
        started_s = time.monotonic()
        status, state = await self._soak.site.read_rollout(
            self._soak.session, self._choose_keeper(), rollout.service
        )
        if status == 200:
            rollout.reads.append(RolloutStateRead(started_s, state))
        return state

    async def _start_targets(self, rollout: RolloutRecord, fault: Fault) -> None:
        for number in range(_TARGET_COUNT):
            name = f"{rollout.service}-{rollout.version}-{number}"
            target = StandInTarget(
                name,
                rollout.service,
                version=rollout.version,
                fault=fault,
                permanent_fault=fault,
                seed=number,
            )
            await target.start()
            self._soak.targets.append(target)

    async def _stop_targets(self, rollout: RolloutRecord) -> None:
        """Stop the old targets after a completion, or the new ones after a rollback."""
        is_completed = rollout.reads[-1].state == "completed"
        retired = self._in_force[rollout.service] if is_completed else rollout.version
        if is_completed:
            self._in_force[rollout.service] = rollout.version
        else:
            await asyncio.sleep(_ROLLED_BACK_STOP_DELAY_S)
        for target in [t for t in self._soak.targets if t.version == retired]:
            if target.service == rollout.service:
                if is_completed:
                    rollout.aborted_count += target.count_running()
                await target.crash()
                self._soak.targets.remove(target)
                self._soak.record.runs += target.runs
