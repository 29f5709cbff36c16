"""DRAIN: after two unreadable entries of the list, no process reads the list again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    DRAIN_S,
    HAS_TROUBLE,
    Deployment,
    Platform,
    Record,
    Worker,
    encode,
    exchange,
    make_configuration,
    make_request,
    name_request,
    run_case,
)

SPOILED_S = 8.0
QUIET_S = DRAIN_S + 1.0
# Another writer's entries: the first is cut off, the second holds bytes that are no text.
CUT_OFF = b'{"service":"svc","address":"127.0.0.9:8080","zo'
NO_TEXT = (
    b'{"service":"svc","address":"127.0.0.9:8081","zone":"zone-a","version":"v\xff\xfe",'
    b'"slots":4,"state":"ready","coldRemainingMs":0,"id":"i-other"}'
)


async def send_requests(site: Deployment, record: Record, count: int) -> int:
    """Send requests to all gateways at once; return how many were served."""

    async def send(number: int) -> bool:
        gateways = site.list_role("gateway")
        gateway = gateways[number % len(gateways)]
        request = name_request()
        record.write("client_sends", request=request, to=gateway.name)
        message = make_request("GET", "/get/a", request, 3000)
        answer = await exchange(f"{gateway.ip}:8221", message, 4.0)
        record.write("client_gets", request=request, status=answer.status, detail=answer.detail)
        return answer.status == 200

    return sum(await asyncio.gather(*(send(number) for number in range(count))))


async def serve_for(site: Deployment, record: Record, length_s: float) -> None:
    """Send some requests a second for a time."""
    end_s = record.now_s() + length_s
    while record.now_s() < end_s:
        await send_requests(site, record, 4)
        await asyncio.sleep(0.2)


async def run(record: Record) -> list[str]:
    """Drain a worker after the list was spoiled for some seconds."""
    platform = Platform(record)
    await platform.start("127.0.0.1")
    workers = [Worker(record, f"i-{number}") for number in range(1, 5)]
    for worker in workers:
        await worker.start("127.0.0.1")
    first, second = workers[:2]
    old = [encode(first.list_entry()), encode(second.list_entry())]
    platform.show(old, "the first two workers, ready")
    site = Deployment(record, platform)
    try:
        await site.open(make_configuration())
        await serve_for(site, record, 3.0)
        if HAS_TROUBLE:
            platform.show([old[0], CUT_OFF, NO_TEXT, old[1]], "two unreadable entries as well")
        await serve_for(site, record, SPOILED_S)
        platform.show(old, "the first two workers, ready")
        await serve_for(site, record, 3.0)
        first.is_leaving = True
        draining = [encode(first.list_entry("draining")), old[1]]
        shown_s = platform.show(draining, "the first worker as draining")
        await asyncio.sleep(QUIET_S)
        await send_requests(site, record, 8)
        broken = [
            f"{run.request} reaches {first.name} {run.started_s - shown_s:.3f} s after the list "
            "shows it as draining"
            for run in first.arrivals
            if run.started_s > shown_s + DRAIN_S
        ]
        await replace_all(site, record, platform, workers)
        return broken
    finally:
        tell_failures(site, record)
        site.close()


async def replace_all(
    site: Deployment, record: Record, platform: Platform, workers: list[Worker]
) -> None:
    """Replace both workers by new ones, and record how much is served; this is not judged."""
    platform.show([encode(worker.list_entry()) for worker in workers[2:]], "only new workers")
    for worker in workers[:2]:
        await worker.stop()
    await asyncio.sleep(8.0)
    served = await send_requests(site, record, 20)
    record.write("after_release", served=served, of=20)


def tell_failures(site: Deployment, record: Record) -> None:
    """Write the failed tasks that the processes logged."""
    for name in site.processes:
        for line in site.read_log(name).splitlines():
            if "event=task_failed" in line:
                record.write("logged", by=name, line=line[:300])


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER))
