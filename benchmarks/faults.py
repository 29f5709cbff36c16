"""Run commands and ordinary requests under a seeded schedule of faults."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from concurrent.futures import ThreadPoolExecutor

from benchmarks.report import report
from benchmarks.sites import run_site
from troutstand.generated.table import Model
from troutstand.testing.load import LoadGenerator, Result
from troutstand.testing.mixes import IRRIGATION, Mix, RequestSampler
from troutstand.testing.score import CommandScore, count_refusals, score_commands
from troutstand.testing.site import Site, SitePlan

_MIX = Mix("faults", IRRIGATION.classes, command_share=0.1)
_SEED = 20261202


class _Schedule:
    """Inject one fault after the other, and end each before the next."""

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self.done: list[str] = []
        self.accepted = 1

    def run(self, until_s: float) -> None:
        """Inject faults until a time."""
        while time.monotonic() < until_s:
            self._break()
            self._accept()
            time.sleep(self._random.uniform(0.5, 1.5))

    def _break(self) -> None:
        site = self._site
        name = self._random.choice([*site.entries, *site.keepers])
        process = site.processes[name]
        match self._random.choice(["kill", "freeze", "cut", "cut domain", "both"]):
            case "kill":
                process.kill()
                time.sleep(self._random.uniform(0.0, 1.0))
                process.start()
                self.done.append(f"kill {name}")
            case "freeze":
                process.send(signal.SIGSTOP)
                time.sleep(self._random.uniform(0.5, 3.0))
                process.send(signal.SIGCONT)
                self.done.append(f"freeze {name}")
            case "cut":
                site.cut_process(name)
                time.sleep(self._random.uniform(0.5, 3.0))
                self._heal()
                self.done.append(f"cut {name}")
            case "cut domain":
                domain = self._random.choice(sorted(set(site.domains.values())))
                site.cut_domain(domain)
                time.sleep(self._random.uniform(0.5, 3.0))
                self._heal()
                self.done.append(f"cut domain {domain}")
            case _:
                other = site.processes[self._random.choice(site.entries)]
                process.send(signal.SIGSTOP)
                other.kill()
                time.sleep(self._random.uniform(0.5, 2.0))
                process.send(signal.SIGCONT)
                other.start()
                self.done.append(f"freeze {name} and kill {other.name}")

    def _heal(self) -> None:
        assert self._site.hub is not None
        self._site.hub.heal()

    def _accept(self) -> None:
        """Send an edit, and record its version if it was accepted."""
        operator = self._site.operator()
        keeper = self._random.choice(self._site.keepers)
        status = operator.try_status(keeper)
        if status is None:
            return
        row = Model("faulty", version=str(len(self.done)))
        edit_id = f"edit-{len(self.done)}"
        report_ = operator.try_accept(keeper, edit_id, status.version, [row])
        if report_:
            self.accepted = max(self.accepted, report_.version)


def _await_version(site: Site, version: int) -> int:
    """Return how many processes never applied an accepted version."""
    end_s = time.monotonic() + 20.0
    behind = set(site.domains)
    while behind and time.monotonic() < end_s:
        for name in list(behind):
            status = site.operator().try_status(name)
            if status and status.version >= version:
                behind.discard(name)
    return len(behind)


def _measure_outage(results: list[Result], commands: bool) -> float:
    """Return the longest time without a complete response."""
    ended = sorted(r.ended_s for r in results if r.is_correct and r.drawn.is_command is commands)
    return max((b - a for a, b in itertools.pairwise(ended)), default=0.0)


def run(quick: bool) -> None:
    """Run the schedule and compare the responses with what ran."""
    seconds, rate = (20.0, 40.0) if quick else (260.0, 90.0)
    plan = SitePlan(
        entries=(2, 2, 2),
        keepers=(1, 1, 1),
        engine_speeds=(1.0, 2.0),
        services=1,
        lease_s=1.0,
        heartbeat_s=0.3,
        is_relayed=True,
    )
    with run_site(plan) as site, ThreadPoolExecutor(1) as pool:
        drawn = RequestSampler(_MIX, _SEED).draw(rate, seconds)
        load = LoadGenerator([site.callers[name] for name in site.entries], max_resends=5)
        schedule = _Schedule(site, _SEED)
        future = pool.submit(schedule.run, time.monotonic() + seconds)
        results = asyncio.run(load.run(drawn))
        future.result()
        for process in site.processes.values():
            process.send(signal.SIGCONT)
        behind = _await_version(site, schedule.accepted)
        services = [site.folder / f"{n}.records" for n in site.processes if "-service-" in n]
        _report(results, schedule, behind, score_commands(results, services))


def _report(results: list[Result], schedule: _Schedule, behind: int, score: CommandScore) -> None:
    under = {"seed": _SEED, "faults": len(schedule.done)}
    ordinary = [r for r in results if not r.drawn.is_command]
    wrong = sum(r.is_complete and not r.is_correct for r in results)
    report("faults", "commands sent", score.sent, "count", **under)
    report("faults", "commands done", score.done, "count", **under)
    report("faults", "commands run twice", score.ran_twice, "count", **under)
    report("faults", "false 'not run'", score.false_not_run, "count", **under)
    report("faults", "answered commands that never ran", score.lost, "count", **under)
    report("faults", "commands refused as unknown", score.unknown, "count", **under)
    report("faults", "ordinary requests sent", len(ordinary), "count", **under)
    report(
        "faults", "ordinary requests whole", sum(r.is_correct for r in ordinary), "count", **under
    )
    report("faults", "short or crossed answers taken as whole", wrong, "count", **under)
    report("faults", "accepted versions", schedule.accepted, "count", **under)
    report("faults", "processes that lost an accepted version", behind, "count", **under)
    report("faults", "longest outage, ordinary", _measure_outage(results, False), "s", **under)
    report("faults", "longest outage, commands", _measure_outage(results, True), "s", **under)
    for name, count in count_refusals(results).items():
        report("faults", f"refused {name}", count, "count", **under)
