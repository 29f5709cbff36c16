"""Have a worker that is full at times send some of its answers again, late."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Attempt,
    Client,
    Message,
    Process,
    Record,
    Site,
    Worker,
    make_configuration,
    make_route,
    run_case,
)

if TYPE_CHECKING:
    from asyncio import StreamReader, StreamWriter

# The disruption strikes several times, each time for as long as in the site file.
STRIKES, STRIKE_S, PAUSE_S = 12, 5.0, 0.5
# Share of the answers that come twice, as in the site file.
SPOILED_SHARE = 0.03
# The worker is full in the first part of each period, by work of its other callers.
PERIOD_S, FULL_S = 0.25, 0.03


class BusyWorker(Worker):
    """Reject requests while it is full; send some answers again later."""

    spoils = False

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self._rng = random.Random(1)
        self._late: dict[StreamWriter, bytes] = {}

    async def answer(self, request: Message, reader: StreamReader, writer: StreamWriter) -> None:
        """Answer one request, after a surplus answer that is still due on its connection."""
        surplus = self._late.pop(writer, None)
        if surplus is not None:
            writer.write(surplus)
            self._record.write(f"surplus answer from {self.id}")
        if self._record.now() % PERIOD_S >= FULL_S:
            await super().answer(request, reader, writer)
            return
        attempt = request.get("Attempt-Id")
        head = f"HTTP/1.1 503 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
        answer = f"{head}Content-Length: 0\r\n\r\n".encode()
        writer.write(answer)
        self._record.write(f"full {attempt} at {self.id}")
        if self.spoils and self._rng.random() < SPOILED_SHARE:
            self._late[writer] = answer


async def send_commands(record: Record, gateway: Process, end_s: float) -> list[Attempt]:
    """Send one command after the other on a kept connection."""
    attempts: list[Attempt] = []
    client = Client(record, gateway)
    while record.now() < end_s:
        if not client.is_open:
            await client.open()
        path = f"/valve-shutoff/{len(attempts)}"
        attempts.append(await client.call("POST", path, b'{"close": true}', deadline_ms=1000))
        await asyncio.sleep(0.01)
    client.close()
    return attempts


async def strike(record: Record, worker: BusyWorker) -> None:
    """Let the disruption come and go."""
    for _ in range(STRIKES):
        worker.spoils = True
        record.write(f"garble (extra late) at {worker.id} begins")
        await asyncio.sleep(STRIKE_S)
        worker.spoils = False
        record.write(f"garble (extra late) at {worker.id} ends")
        await asyncio.sleep(PAUSE_S)


async def run(record: Record, folder: Path, has_trouble: bool) -> bool:
    site = Site(record, folder, gateways=3)
    worker = BusyWorker(record, "field-ops", site.next_ip(), "osborne-park")
    route = make_route(
        "valve-shutoff", "non_idempotent", "field-ops", maxAttempts=3, latencyGoalMs=125
    )
    try:
        await site.open([worker], make_configuration(1, [route], ["field-ops"]))
        end_s = record.now() + STRIKES * (STRIKE_S + PAUSE_S)
        tasks = [asyncio.create_task(send_commands(record, g, end_s)) for g in site.gateways()]
        if has_trouble:
            await strike(record, worker)
        attempts = [a for task in tasks for a in await task]
    finally:
        site.stop()
    ran: dict[str, int] = {}
    for entry in worker.runs:
        ran[entry.attempt] = ran.get(entry.attempt, 0) + 1
    promises = (408, 421, 429, 503)
    false = [a for a in attempts if a.status in promises and a.id in ran]
    twice = [attempt for attempt, count in ran.items() if count > 1]
    for attempt_id in twice:
        record.write(f"run twice: {attempt_id}")
    for attempt in false:
        record.write(f"false promise: {attempt.id} got {attempt.status} and has run")
    counts: dict[int, int] = {}
    for attempt in attempts:
        counts[attempt.status] = counts.get(attempt.status, 0) + 1
    print(f"{len(attempts)} sent {counts}, {len(false)} refused that ran, {len(twice)} ran twice")
    return bool(false or twice)


run_case(Path(__file__).resolve().parent, run)
