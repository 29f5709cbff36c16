"""Measure guarded commands against an unguarded dispatch of the same call."""

from __future__ import annotations

import asyncio
import itertools
import statistics
import time

import aiohttp

from benchmarks.report import report
from benchmarks.sites import run_site
from troutstand.generated.table import Target
from troutstand.testing.score import compute_percentile
from troutstand.testing.site import SERVICE, Site, SitePlan

_COUNTER = itertools.count()


async def _measure(url: str, in_flight: int, seconds: float) -> list[float]:
    taken: list[float] = []
    end_s = time.perf_counter() + seconds
    connector = aiohttp.TCPConnector(limit=0)

    async def repeat(session: aiohttp.ClientSession) -> None:
        while time.perf_counter() < end_s:
            start_s = time.perf_counter()
            headers = {
                "Authorization": "Bearer token-counter",
                "Idempotency-Key": f"bench-{next(_COUNTER)}",
            }
            async with session.post(url, data=b"shut", headers=headers) as response:
                await response.read()
                assert response.status == 200, await response.text()
            taken.append(time.perf_counter() - start_s)

    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(repeat(session) for _ in range(in_flight)))
    return taken


def _count_syncs(site: Site) -> int:
    return sum(site.operator().read_status(name).syncs or 0 for name in site.keepers)


def run(quick: bool) -> None:
    """Measure with 1, 8 and 64 commands in flight."""
    seconds = 1.5 if quick else 4.0
    plan = SitePlan(entries=(2, 1, 1), keepers=(1, 1, 1), engine_speeds=(), services=1)
    with run_site(plan) as site:
        target = next(row for row in site.rows if isinstance(row, Target))
        entry = site.callers[site.entries[0]]
        guarded = f"http://{entry.ip}:{entry.port}/services/{SERVICE}/valves/7/shut"
        bare = f"{target.url}/valves/7/shut"
        for in_flight in (1, 8, 64):
            floor = asyncio.run(_measure(bare, in_flight, seconds))
            before = _count_syncs(site)
            ours = asyncio.run(_measure(guarded, in_flight, seconds))
            syncs = (_count_syncs(site) - before) / len(ours)
            ratio = statistics.median(ours) / statistics.median(floor)
            report("commands", "median, of unguarded", ratio, "ratio", in_flight=in_flight)
            median_ms = statistics.median(ours) * 1000
            report("commands", "median", median_ms, "ms", in_flight=in_flight)
            p95_ms = compute_percentile(ours, 0.95) * 1000
            report("commands", "95th percentile", p95_ms, "ms", in_flight=in_flight)
            rate = len(ours) / seconds
            report("commands", "commands a second", rate, "1/s", in_flight=in_flight)
            report("commands", "syncs a command, 3 keepers", syncs, "count", in_flight=in_flight)
