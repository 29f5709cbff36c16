"""Measure a scheduler process: processor time per request, and latency under rising load.

Runs a real scheduler and keeper. Links of this process stand in for gateways and request
placements on targets that are only listed.
"""

from __future__ import annotations

import asyncio
import os
import random
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

from benchmarks.report import report
from troutstand.core.clock import HybridClock
from troutstand.core.errors import TroutstandError
from troutstand.daemon.links import Identity, Link, Traffic
from troutstand.generated.messages import (
    AttachAsk,
    Attached,
    Ended,
    Ending,
    FirstByte,
    Part,
    Place,
    Placed,
    RoutedWork,
)
from troutstand.generated.routing import RoutingRole
from troutstand.generated.settings import Limits
from troutstand.routing.node import make_process_id, parse_address
from troutstand.testing.routedsite import (
    LINK_KEY_HEX,
    ConfigurationPlan,
    RoutedPlan,
    RoutedSite,
    wait_until,
)
from troutstand.testing.standins import StandInList, StandInTarget
from troutstand.util.events import EventBus

if TYPE_CHECKING:
    from troutstand.core.ids import ProcessId

_SERVICE = "engine"
_SUBNET = "91.7"
_TARGETS = 45
_SLOTS = 8
_GATEWAYS = 24
_LINK_LIMITS = Limits(lease_s=5.0, link_queue_messages=100_000, message_bytes=16 << 20)
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_FIRST_S = 0.05
_HOLD_S = 0.2
_ASK_S = 3.0


@dataclass
class RateResult:
    """Hold the results of the requests at one rate; times in seconds."""

    answered_s: list[float] = field(default_factory=list)
    refused: int = 0
    unanswered: int = 0

    def get_quantile(self, share: float) -> float:
        """Return a quantile of the answer times."""
        ordered = sorted(self.answered_s)
        return ordered[int(share * (len(ordered) - 1))] if ordered else float("inf")


class SimulatedGateways:
    """Request placements from a scheduler over one link per simulated gateway."""

    def __init__(self, scheduler: ProcessId) -> None:
        self._random = random.Random(1)
        self._numbers = iter(range(1 << 60))
        self._links: list[Link] = []
        for number in range(_GATEWAYS):
            ip = f"127.{_SUBNET}.{number + 100}"
            name = make_process_id(RoutingRole.gateway, ip, parse_address(scheduler).port)
            events = EventBus(name, HybridClock(time.time))
            identity = Identity("test", name, bytes.fromhex(LINK_KEY_HEX))
            address = parse_address(scheduler)
            self._links.append(Link(identity, scheduler, address, _LINK_LIMITS, events, Traffic()))
        self._tasks = [asyncio.create_task(link.run()) for link in self._links]

    async def attach(self) -> None:
        """Attach each gateway and start its heartbeats."""
        for link in self._links:
            await link.wait_until_up()
        self._tasks += [asyncio.create_task(self._send_heartbeats(link)) for link in self._links]

    async def _send_heartbeats(self, link: Link) -> None:
        process = link.identity.process
        is_first, version = True, ""
        while True:
            ask = AttachAsk(
                process, "life", is_attached=True, is_first=is_first, asks=link.peer,
                targets_version=version, attachment=1,
            )  # fmt: skip
            reply = await link.ask(ask, _ASK_S)
            is_first = False
            assert isinstance(reply, Attached)
            version = reply.targets_version
            await asyncio.sleep(reply.period_s)

    async def send_requests(self, per_s: float, length_s: float) -> RateResult:
        """Send requests at a rate, at uniformly distributed times."""
        result = RateResult()
        asks: list[asyncio.Task[None]] = []
        began_s = time.monotonic()
        times = sorted(self._random.uniform(0.0, length_s) for _ in range(int(per_s * length_s)))
        for at_s in times:
            wait_s = began_s + at_s - time.monotonic()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            asks.append(asyncio.create_task(self._ask(result)))
        await asyncio.gather(*asks)
        return result

    async def _ask(self, result: RateResult) -> None:
        link = self._random.choice(self._links)
        work = self._make_work()
        asked_s = time.monotonic()
        try:
            reply = await link.ask(Place(work), _ASK_S)
        except TroutstandError:
            # Only the number of unanswered requests is reported.
            result.unanswered += 1
            return
        result.answered_s.append(time.monotonic() - asked_s)
        if not isinstance(reply, Placed):
            result.refused += 1
            return
        await asyncio.sleep(_FIRST_S)
        link.send(FirstByte(work.request, reply.target, _FIRST_S))
        await asyncio.sleep(_HOLD_S - _FIRST_S)
        link.send(Ended(work.request, reply.target, Ending.whole, _FIRST_S, _HOLD_S, 0.0, 20))

    def _make_work(self) -> RoutedWork:
        number = next(self._numbers)
        prompt = self._random.choice((1110, 2890, 3720))
        return RoutedWork(
            request=f"{number:016x}",
            service=_SERVICE,
            route="stream",
            tier=self._random.randrange(3),
            objective_s=0.5,
            pause_s=0.25,
            remaining_s=8.0,
            prompt_tokens=prompt,
            output_tokens=self._random.choice((50, 120, 170)),
            model="m",
            parts=[
                Part(f"{self._random.randrange(200):08x}", 60),
                Part(f"{number:x}", prompt - 60),
            ],
            failure_domain="north",
            fingerprint=f"{number:016x}",
            workspace="one",
        )

    def close(self) -> None:
        """Close the links."""
        for task in self._tasks:
            task.cancel()


def _read_processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


async def _measure(folder: Path, rates: list[float], length_s: float) -> None:
    targets = [
        StandInTarget(f"engine-{n:02}", _SERVICE, slots=_SLOTS, address=f"127.0.0.1:{n + 1}")
        for n in range(_TARGETS)
    ]
    listed = StandInList(targets)
    await listed.start()
    plan = RoutedPlan(gateways=0, keepers=1, schedulers=1, disks_lost=0, subnet=_SUBNET)
    site = RoutedSite(folder, plan, listed)
    site.prepare()
    site.start_all()
    scheduler = site.list_role(RoutingRole.scheduler)[0]
    try:
        async with aiohttp.ClientSession() as session:
            await site.write_anywhere(session, ConfigurationPlan().encode())

        async def has_list() -> bool:
            text = scheduler.log.read_text()
            return "event=configuration_in_force" in text and f"count={_TARGETS}" in text

        await wait_until(has_list, "the scheduler knows targets and configuration")
        ip = scheduler.settings.ip
        name = make_process_id(RoutingRole.scheduler, ip, scheduler.settings.first_port)
        gateways = SimulatedGateways(name)
        await gateways.attach()
        assert scheduler.child is not None
        for per_s in rates:
            before_s, began_s = _read_processor_s(scheduler.child.pid), time.monotonic()
            result = await gateways.send_requests(per_s, length_s)
            spent_s = _read_processor_s(scheduler.child.pid) - before_s
            under = {"per_s": per_s, "refused": result.refused, "unanswered": result.unanswered}
            report("decider", "processor time", 1000 * spent_s / (per_s * length_s), "ms", **under)
            share = spent_s / (time.monotonic() - began_s)
            report("decider", "share of a core", share, "", **under)
            report("decider", "answer, median", 1000 * result.get_quantile(0.5), "ms", **under)
            report("decider", "answer, 99 in 100", 1000 * result.get_quantile(0.99), "ms", **under)
        gateways.close()
    finally:
        site.stop()
        await listed.stop()


def run(quick: bool) -> None:
    """Measure at rising rates."""
    rates = [200.0, 800.0] if quick else [200.0, 400.0, 800.0, 1200.0, 1600.0]
    with tempfile.TemporaryDirectory(prefix="troutstand-bench-") as scratch:
        asyncio.run(_measure(Path(scratch), rates, 2.0 if quick else 5.0))


if __name__ == "__main__":
    run(False)
