"""Stop one gateway by SIGTERM while clients send streams back to back on kept connections."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    GRACE_S,
    Attempt,
    Client,
    Process,
    Record,
    Site,
    Worker,
    make_configuration,
    make_route,
    run_case,
)

# Requests up to this long after the SIGTERM may still be cut near the end of the grace time.
EXCUSED_S = 3.0
CLIENTS = 6
# As long as a long answer of the sheet: at most 340 events, a deadline of 10 s.
EVENTS, GAP_S = 60, 0.1


async def send_streams(
    record: Record, gateway: Process, delay_s: float, end_s: float
) -> list[Attempt]:
    """Send one stream after the other, on one connection as long as it is kept."""
    await asyncio.sleep(delay_s)
    attempts: list[Attempt] = []
    client = Client(record, gateway)
    body = json.dumps({"events": EVENTS, "gap_s": GAP_S}).encode()
    while record.now() < end_s:
        if not client.is_open:
            if attempts:
                break
            await client.open()
        attempts.append(await client.call("POST", "/watering-advice/a", body))
    client.close()
    return attempts


async def run(record: Record, folder: Path, has_trouble: bool) -> bool:
    site = Site(record, folder, gateways=2)
    workers = [
        Worker(record, "advisory-llm", site.next_ip(), site_zone, slots=4)
        for site_zone in ("osborne-park", "canning-vale", "wangara")
    ]
    route = make_route("watering-advice", "streaming", "advisory-llm", priority=2)
    try:
        await site.open(workers, make_configuration(1, [route], ["advisory-llm"]))
        gateway = site.gateways()[0]
        begin_s = record.now()
        tasks = [
            asyncio.create_task(send_streams(record, gateway, 0.3 * n, begin_s + 9.0))
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(2.0)
        stopped_s = record.now()
        if has_trouble:
            site.send(gateway.name, signal.SIGTERM)
            await asyncio.sleep(GRACE_S)
            site.send(gateway.name, signal.SIGKILL)
        attempts = [a for task in tasks for a in await task]
    finally:
        site.stop()
    taken = {run.attempt for worker in workers for run in worker.runs}
    lost = [
        a
        for a in attempts
        if a.id in taken and not a.is_whole and a.ended_s < stopped_s + GRACE_S + 1.0
    ]
    counted = [a for a in lost if a.sent_s > stopped_s + EXCUSED_S]
    for attempt in lost:
        after_s = attempt.sent_s - stopped_s
        excused = "counts" if attempt in counted else "excused"
        record.write(f"cut {attempt.id}: sent {after_s:.3f} s after the SIGTERM, {excused}")
    print(f"{len(attempts)} sent, {len(lost)} cut, {len(counted)} of them count")
    return bool(counted)


run_case(Path(__file__).resolve().parent, run)
