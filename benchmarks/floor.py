"""Compare an entry process with a bare relay in front of the same simulated engine."""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from benchmarks.report import report
from benchmarks.sites import run_site
from troutstand.generated.settings import Address
from troutstand.generated.table import Protocol, Target
from troutstand.testing.load import ChatCall, ChatCallMessage
from troutstand.testing.ports import IP, pick_ports
from troutstand.testing.score import compute_percentile
from troutstand.testing.site import MODEL, Site, SitePlan, wait_for

if TYPE_CHECKING:
    from collections.abc import Callable

_HEADERS = {"Authorization": "Bearer token-counter"}
_PATH = "/v1/chat/completions"


def _make_body(tokens: int) -> bytes:
    message = ChatCallMessage("user", "what to water today")
    return msgspec.json.encode(ChatCall(MODEL, [message], tokens))


async def _send(session: aiohttp.ClientSession, url: str, body: bytes) -> float:
    start_s = time.perf_counter()
    async with session.post(url, data=body, headers=_HEADERS) as response:
        data = await response.read()
    assert response.status == 200 and data.endswith(b"data: [DONE]\n\n"), data[-300:]
    return time.perf_counter() - start_s


async def _measure(
    address: Address, tokens: int, in_flight: int, seconds: float
) -> tuple[float, list[float]]:
    """Return the requests per second and every latency at a number of requests in flight."""
    url = f"http://{address.ip}:{address.port}{_PATH}"
    body = _make_body(tokens)
    taken: list[float] = []
    end_s = time.perf_counter() + seconds
    connector = aiohttp.TCPConnector(limit=0)

    async def repeat(session: aiohttp.ClientSession) -> None:
        while time.perf_counter() < end_s:
            taken.append(await _send(session, url, body))

    async with aiohttp.ClientSession(connector=connector) as session:
        await _send(session, url, body)
        start_s = time.perf_counter()
        await asyncio.gather(*(repeat(session) for _ in range(in_flight)))
        return len(taken) / (time.perf_counter() - start_s), taken


def _start_relay(site: Site, target: Target) -> tuple[Address, subprocess.Popen[bytes]]:
    address = Address(IP, pick_ports(1)[0])
    command = [sys.executable, "-m", "benchmarks.barerelay", str(address.port), target.url]
    process = subprocess.Popen(command)

    def answers() -> bool:
        try:
            asyncio.run(_measure(address, 1, 1, 0.01))
        except (OSError, aiohttp.ClientError):
            return False
        return True

    wait_for(answers, "bare relay")
    return address, process


def run(quick: bool) -> None:
    """Measure both in alternation."""
    seconds, rounds = (1.5, 1) if quick else (4.0, 3)
    plan = SitePlan(
        entries=(2,),
        engine_speeds=(1.0,),
        services=0,
        slots=512,
        prefill_tokens_per_s=1e7,
        decode_tokens_per_s=1e6,
    )
    with run_site(plan) as site:
        target = next(
            row for row in site.rows if isinstance(row, Target) and row.protocol is Protocol.engine
        )
        relay, process = _start_relay(site, target)
        try:
            scheduler = site.find_scheduler("north")
            other = next(name for name in site.entries if name != scheduler)
            for name, process_name in (("scheduler's", scheduler), ("other", other)):
                _compare(name, site.callers[process_name], relay, seconds, rounds)
        finally:
            process.kill()
            process.wait()


def _compare(name: str, entry: Address, relay: Address, seconds: float, rounds: int) -> None:
    def ratio(tokens: int, in_flight: int, read: Callable[[float, list[float]], float]) -> float:
        ratios = []
        for _ in range(rounds):
            ours = read(*asyncio.run(_measure(entry, tokens, in_flight, seconds)))
            floor = read(*asyncio.run(_measure(relay, tokens, in_flight, seconds)))
            ratios.append(ours / floor)
        return statistics.median(ratios)

    requests = ratio(1, 32, lambda rate, _: rate)
    report("floor", "requests a second, of the relay's", requests, "ratio", entry=name)
    tokens = ratio(400, 16, lambda rate, _: rate)
    report("floor", "tokens a second, of the relay's", tokens, "ratio", entry=name)
    ours = asyncio.run(_measure(entry, 1, 1, seconds))[1]
    floor = asyncio.run(_measure(relay, 1, 1, seconds))[1]
    added_ms = (statistics.median(ours) - statistics.median(floor)) * 1000
    report("floor", "added median latency, one in flight", added_ms, "ms", entry=name)
    p95_ms = (compute_percentile(ours, 0.95) - compute_percentile(floor, 0.95)) * 1000
    report("floor", "added 95th percentile, one in flight", p95_ms, "ms", entry=name)
