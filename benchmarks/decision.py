"""Measure the processor time of a decision and the memory of its state."""

from __future__ import annotations

import random
import time
import tracemalloc

from benchmarks.report import report
from troutstand.core.prefix import hash_prefixes
from troutstand.core.scheduler import Scheduler
from troutstand.core.table import Table, get_row_id
from troutstand.generated.messages import Finished, Grant, PlacementAsk
from troutstand.generated.table import Model, Protocol, Target, Tier, Workspace

_SLOTS = 8


def _make_scheduler(targets: int) -> Scheduler:
    table = Table()
    rows = [Tier("t0", 0, 3600.0, 1.0, 3600.0), Workspace("w", "0" * 64, "t0"), Model("m")]
    rows += [
        Target(f"target-{n}", "north", Protocol.engine, "http://127.0.0.1:1", ["m"], slots=_SLOTS)
        for n in range(targets)
    ]
    for row in rows:
        table.rows[get_row_id(row)] = row
    scheduler = Scheduler("north", 1_000_000, 1, -10.0)
    scheduler.update_table(table)
    return scheduler


def _make_asks(count: int) -> list[PlacementAsk]:
    random_ = random.Random(1)
    texts = ["".join(random_.choices("abcdef", k=4000)) for _ in range(50)]
    prefixes = [hash_prefixes("m", text) for text in texts]
    return [
        PlacementAsk(
            request=f"request-{number}",
            workspace="w",
            tier="t0",
            serves="m",
            wait_ms=3_600_000,
            blocks=prefixes[number % 50].blocks,
            block_tokens=prefixes[number % 50].block_tokens,
            prompt_tokens=1000,
            answer_tokens=50,
        )
        for number in range(count)
    ]


def _fill(scheduler: Scheduler, targets: int, waiting: int) -> list[Grant]:
    """Fill every slot and leave requests waiting; return the grants."""
    grants: list[Grant] = []
    now_s = 0.0
    for ask in _make_asks(targets * _SLOTS + waiting):
        now_s += 1.0
        for send in scheduler.submit("entry", ask, now_s):
            if isinstance(send.message, Grant):
                grants.append(send.message)
    return grants


def _measure(targets: int, waiting: int, decisions: int) -> None:
    scheduler = _make_scheduler(targets)
    grants = _fill(scheduler, targets, waiting)
    now_s, start_s, done = 1e6, time.perf_counter(), 0
    asks = _make_asks(decisions)
    for number, ask in enumerate(asks):
        now_s += 1.0
        renamed = PlacementAsk(
            request=f"late-{number}",
            workspace=ask.workspace,
            tier=ask.tier,
            serves=ask.serves,
            wait_ms=ask.wait_ms,
            blocks=ask.blocks,
            block_tokens=ask.block_tokens,
            prompt_tokens=ask.prompt_tokens,
            answer_tokens=ask.answer_tokens,
        )
        sends = scheduler.submit("entry", renamed, now_s)
        if grants:
            grant = grants.pop(0)
            sends += scheduler.finish(Finished(grant.request, grant.target, True), now_s)
        grants += [send.message for send in sends if isinstance(send.message, Grant)]
        done += 1
    micros = (time.perf_counter() - start_s) / done * 1e6
    report("decision", "a decision", micros, "us", targets=targets, waiting=waiting)


def _measure_state() -> None:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    scheduler = _make_scheduler(1000)
    after = tracemalloc.get_traced_memory()[0]
    report("decision", "state a target", (after - before) / 1000, "B")
    asks = _make_asks(1000 * _SLOTS + 10_000)
    now_s, index = 0.0, 0
    for index, ask in enumerate(asks):
        if index == 1000 * _SLOTS:
            before = tracemalloc.get_traced_memory()[0]
        now_s += 1.0
        scheduler.submit("entry", ask, now_s)
    after = tracemalloc.get_traced_memory()[0]
    report("decision", "state a waiting request", (after - before) / 10_000, "B")
    tracemalloc.stop()


def run(quick: bool) -> None:
    """Measure at three numbers of targets and of waiting requests."""
    for targets in (10, 100, 1000):
        _measure(targets, 10, 50 if quick else 300)
    for waiting in (10, 1000, 10_000):
        _measure(10, waiting, 50 if quick else 300)
    if not quick:
        _measure_state()
