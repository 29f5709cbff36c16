"""REFUSED: a worker's own 503 for a command that it has run reaches the client as a promise."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    HAS_TROUBLE,
    Deployment,
    Platform,
    Record,
    Run,
    Worker,
    encode,
    exchange,
    make_configuration,
    make_message,
    make_request,
    name_request,
    run_case,
)

if TYPE_CHECKING:
    from rig import Answer

COMMANDS = 60
# The largest share of failed requests on the site's days.
FAILED_SHARE = 0.45
# Statuses that tell a client that its request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
RETRY_S = 0.2


@dataclass
class FailingWorker(Worker):
    """Run all requests; answer a share of them with a 503 of its own."""

    _run_count: int = 0

    async def _run(
        self, path: str, request: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        self._run_count += 1
        if not HAS_TROUBLE or int(self._run_count * FAILED_SHARE) == int(
            (self._run_count - 1) * FAILED_SHARE
        ):
            await super()._run(path, request, headers, writer)
            return
        at_s = self.record.write("worker_runs", worker=self.name, request=request, path=path)
        self.arrivals.append(Run(request, self.name, at_s, "failed"))
        await asyncio.sleep(self.work_s)
        # It has run the request, so that it doesn't say `Not-Executed`.
        told = {"Attempt-Id": request, "Response-Seal": f"{self.name}.{request}"}
        writer.write(make_message("HTTP/1.1 503 Service Unavailable", told, b"no confirmation"))
        await writer.drain()
        self.record.write("worker_ended", worker=self.name, request=request, how="503 of its own")


async def send(site: Deployment, record: Record, command: int) -> tuple[str, Answer]:
    """Send one attempt of a command to a gateway in turn."""
    request = name_request()
    gateways = site.list_role("gateway")
    gateway = gateways[command % len(gateways)]
    record.write("client_sends", command=command, request=request, to=gateway.name)
    message = make_request("POST", f"/do/{command}", request, 3000)
    answer = await exchange(f"{gateway.ip}:8221", message, 4.0)
    seal = answer.headers.get("response-seal")
    record.write("client_gets", command=command, request=request, status=answer.status, seal=seal)
    return request, answer


async def run(record: Record) -> list[str]:
    """Send commands, each again after a promise that it has not run."""
    platform = Platform(record)
    await platform.start("127.0.0.1")
    workers = [FailingWorker(record, f"i-{number}") for number in (1, 2)]
    for worker in workers:
        await worker.start("127.0.0.1")
    platform.show([encode(worker.list_entry()) for worker in workers], "two workers")
    site = Deployment(record, platform)
    refused: set[str] = set()
    try:
        await site.open(make_configuration())
        for command in range(COMMANDS):
            for _ in range(2):
                request, answer = await send(site, record, command)
                if answer.status not in PROMISES:
                    break
                refused.add(request)
                await asyncio.sleep(RETRY_S)
            await asyncio.sleep(0.1)
    finally:
        site.close()
    runs = [run for worker in workers for run in worker.arrivals]
    record.write("commands", sent=COMMANDS, runs=len(runs))
    return [
        f"{run.request} ran at {run.worker}, and its client got a promise that it had not"
        for run in runs
        if run.request in refused
    ]


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER))
