"""Run the scheduler of a failure domain and the baselines on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.ids import RequestId
from troutstand.core.policy import Policy, PolicyName
from troutstand.core.prefix import PrefixCache, Prefixes, count_tokens, hash_prefixes
from troutstand.core.scheduler import Scheduler
from troutstand.core.table import Table, get_row_id
from troutstand.core.targetestimate import Running, TargetEstimate
from troutstand.generated.messages import Finished, Grant, PlacementAsk, Preempt, Shed
from troutstand.generated.table import Model, Protocol, Target, Tier, Workspace
from troutstand.testing.mixes import DrawnRequest, Mix, RequestSampler
from troutstand.testing.score import compute_percentile
from troutstand.testing.site import MODEL

if TYPE_CHECKING:
    from troutstand.core.shedding import Send

_TICK_S = 0.05
_REPORT_S = 2.0
_MILLISECONDS = 1000
_SPEEDS = (1.0, 2.0, 4.0)
# Share of the prompt tokens that is not cached, for the capacity estimate.
_COMPUTED_SHARE = 0.3
TIERS = (
    Tier("urgent", 0, 0.5, 0.25, 20.0),
    Tier("desk", 1, 1.0, 0.5, 30.0),
    Tier("advice", 2, 2.0, 0.5, 30.0),
    Tier("draft", 3, 4.0, 1.0, 60.0),
)


@dataclass(frozen=True)
class Setup:
    """Describe a run.

    Parameters
    ----------
    slow_at_s
        Time at which the fastest engine becomes five times slower; None for never.
    """

    mix: Mix
    seed: int
    load: float
    policy: PolicyName
    engines: int = 6
    duration_s: float = 40.0
    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 60.0
    slots: int = 8
    cache_tokens: int = 60_000
    slow_at_s: float | None = None


@dataclass
class Job:
    """Track one request."""

    drawn: DrawnRequest
    ask: PlacementAsk
    prefixes: Prefixes
    tier: Tier
    tokens: int
    first_s: float | None = None
    ended_s: float | None = None
    is_whole: bool = False
    computed: int = 0
    missed: int = 0


@dataclass
class Engine:
    """Serve jobs in slots; prefills run one at a time."""

    row: Target
    slowdown: float = 1.0
    running: set[str] = field(default_factory=set)
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    prefill_free_s: float = 0.0
    cache: PrefixCache = field(init=False)

    def __post_init__(self) -> None:
        self.cache = PrefixCache(self.row.cache_tokens)


def make_rows(setup: Setup) -> list[Target]:
    """Return the rows of engines with three speeds."""
    return [
        Target(
            f"engine-{number}",
            "north",
            Protocol.engine,
            "http://127.0.0.1:1",
            [MODEL],
            slots=setup.slots,
            prefill_tokens_per_s=setup.prefill_tokens_per_s * _SPEEDS[number % 3],
            decode_tokens_per_s=setup.decode_tokens_per_s * _SPEEDS[number % 3],
            cache_tokens=setup.cache_tokens,
        )
        for number in range(setup.engines)
    ]


def _estimate_capacity(setup: Setup, drawn: list[DrawnRequest]) -> float:
    """Return the requests per second that decoding and prefill allow."""
    rows = make_rows(setup)
    answer = sum(item.answer_tokens * 0.6 for item in drawn) / max(1, len(drawn))
    prompt = sum(count_tokens(item.prompt) for item in drawn) / max(1, len(drawn))
    decode = sum(row.slots * row.decode_tokens_per_s for row in rows) / answer
    prefill = sum(row.prefill_tokens_per_s for row in rows) / (prompt * _COMPUTED_SHARE)
    return min(decode, prefill)


class VirtualSite:
    """Run one policy; baselines dispatch at once by delayed load reports, and engines queue."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.now_s = 0.0
        self.engines = {row.name: Engine(row) for row in make_rows(setup)}
        self.jobs: dict[str, Job] = {}
        self.preempted: set[str] = set()
        self.inversions = 0
        self._events: list[tuple[float, int, str, str]] = []
        self._order = itertools.count()
        self._random = random.Random(setup.seed)
        self._is_ours = setup.policy is PolicyName.EARLIEST_FINISH
        self._policy = Policy(setup.policy, setup.seed)
        self._reports: dict[str, TargetEstimate] = {}
        self._scheduler = Scheduler("north", 100_000, setup.seed, -1.0)
        table = Table()
        for row in [*make_rows(setup), *TIERS, Model(MODEL), *_make_workspaces(setup.mix)]:
            table.rows[get_row_id(row)] = row
        self._scheduler.update_table(table)

    def run(self) -> list[Job]:
        """Run to the end and return every job."""
        drawn = self._draw()
        for item in drawn:
            self._arrive_later(item)
        self._schedule(0.0, "tick", "")
        end_s = self.setup.duration_s + 120.0
        while self._events and self.now_s < end_s:
            self.now_s, _, kind, name = heapq.heappop(self._events)
            self._step(kind, name)
        return list(self.jobs.values())

    def _draw(self) -> list[DrawnRequest]:
        mix = self.setup.mix
        probe = [d for d in RequestSampler(mix, 0).draw(100.0, 10.0) if not d.is_command]
        rate = _estimate_capacity(self.setup, probe) * self.setup.load
        drawn = RequestSampler(mix, self.setup.seed).draw(rate, self.setup.duration_s)
        return [item for item in drawn if not item.is_command]

    def _schedule(self, at_s: float, kind: str, name: str) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), kind, name))

    def _arrive_later(self, drawn: DrawnRequest) -> None:
        tier = next(tier for tier in TIERS if tier.name == drawn.tier)
        prefixes = hash_prefixes(MODEL, drawn.prompt)
        request = drawn.nonce
        ask = PlacementAsk(
            request=request,
            workspace=drawn.workspace,
            tier=tier.name,
            serves=MODEL,
            wait_ms=int(tier.deadline_s * _MILLISECONDS),
            blocks=prefixes.blocks,
            block_tokens=prefixes.block_tokens,
            prompt_tokens=count_tokens(drawn.prompt),
            answer_tokens=drawn.answer_tokens,
        )
        # Callers send an upper limit; answers are shorter.
        tokens = max(1, int(drawn.answer_tokens * self._random.uniform(0.2, 1.0)))
        self.jobs[request] = Job(drawn, ask, prefixes, tier, tokens)
        self._schedule(drawn.at_s, "arrive", request)

    def _step(self, kind: str, name: str) -> None:
        match kind:
            case "arrive":
                self._arrive(self.jobs[name])
            case "tick":
                self._tick()
            case "end":
                engine, _, request = name.partition(" ")
                self._end(self.engines[engine], self.jobs[request])

    def _tick(self) -> None:
        slow_at_s = self.setup.slow_at_s
        if slow_at_s is not None and self.now_s >= slow_at_s:
            self.engines["engine-2"].slowdown = 5.0
        if self._is_ours:
            self._take(self._scheduler.tick(self.now_s))
        if self.now_s < self.setup.duration_s + 60.0:
            self._schedule(self.now_s + _TICK_S, "tick", "")

    def _arrive(self, job: Job) -> None:
        if self._is_ours:
            self._take(self._scheduler.submit("entry", job.ask, self.now_s))
            return
        self._refresh_reports()
        targets = list(self._reports.values())
        choice = self._policy.choose(targets, job.ask, job.prefixes, self.now_s)
        self._submit(self.engines[choice.target.row.name], job)

    def _refresh_reports(self) -> None:
        """Update the load reports at the interval at which engines publish them."""
        if self._reports and self.now_s - self._reported_s < _REPORT_S:
            return
        self._reported_s = self.now_s
        for name, engine in self.engines.items():
            estimate = TargetEstimate(engine.row)
            names = [*engine.running, *(job.ask.request for _, _, job in engine.queue)]
            for request in names:
                ask = self.jobs[request].ask
                run = Running(ask, "entry", name, 0, self.now_s, 0, 0.0)
                estimate.running[RequestId(request)] = run
            self._reports[name] = estimate

    def _take(self, sends: list[Send]) -> None:
        for send in sends:
            match send.message:
                case Grant(request, target):
                    self._submit(self.engines[target], self.jobs[request])
                case Shed(request):
                    self._note_inversion(self.jobs[request])
                case Preempt(request):
                    self.preempted.add(request)
                    engine = next(e for e in self.engines.values() if request in e.running)
                    self._finish(engine, self.jobs[request], ok=False)

    def _note_inversion(self, job: Job) -> None:
        for engine in self.engines.values():
            for request in engine.running - self.preempted:
                if self.jobs[request].tier.rank > job.tier.rank:
                    self.inversions += 1
                    return

    def _submit(self, engine: Engine, job: Job) -> None:
        if len(engine.running) < engine.row.slots:
            self._start(engine, job)
        else:
            heapq.heappush(engine.queue, (job.tier.rank, next(self._order), job))

    def _start(self, engine: Engine, job: Job) -> None:
        request = job.ask.request
        engine.running.add(request)
        held = engine.cache.match(job.prefixes)
        best = max(other.cache.match(job.prefixes) for other in self.engines.values())
        job.computed = job.ask.prompt_tokens - held
        job.missed = max(0, best - held)
        engine.cache.insert(job.prefixes)
        prefill_s = job.computed * engine.slowdown / engine.row.prefill_tokens_per_s
        first_s = max(self.now_s, engine.prefill_free_s) + prefill_s
        engine.prefill_free_s = first_s
        job.first_s = first_s
        decode_s = job.tokens * engine.slowdown / engine.row.decode_tokens_per_s
        self._schedule(first_s + decode_s, "end", f"{engine.row.name} {request}")

    def _end(self, engine: Engine, job: Job) -> None:
        if job.ask.request in engine.running:
            job.is_whole = True
            job.ended_s = self.now_s
            self._finish(engine, job, ok=True)

    def _finish(self, engine: Engine, job: Job, ok: bool) -> None:
        request = job.ask.request
        engine.running.discard(request)
        if engine.queue:
            self._start(engine, heapq.heappop(engine.queue)[2])
        if not self._is_ours:
            return
        first_ms = int(((job.first_s or self.now_s) - self.now_s) * _MILLISECONDS)
        total_ms = 0
        if ok and job.first_s is not None:
            total_ms = int((self.now_s - job.first_s) * _MILLISECONDS)
            first_ms = 0
        finished = Finished(
            request,
            engine.row.name,
            ok,
            answer_tokens=job.tokens if ok else 0,
            first_token_ms=max(0, first_ms),
            total_ms=total_ms,
        )
        self._take(self._scheduler.finish(finished, self.now_s))


def _make_workspaces(mix: Mix) -> list[Workspace]:
    return [
        Workspace(item.workspace, f"{index:064x}", item.tier)
        for index, item in enumerate(mix.classes)
    ]


@dataclass(frozen=True)
class TierOutcome:
    """Hold one tier's share of good answers and its time to the first token."""

    tier: str
    offered: int
    good: int
    first_p95_s: float


@dataclass(frozen=True)
class Outcome:
    """Hold the results of a run."""

    tiers: list[TierOutcome]
    first_p95_s: float
    waste_share: float
    inversions: int

    @property
    def good_share(self) -> float:
        """Return the share of requests that were answered in time."""
        return sum(t.good for t in self.tiers) / max(1, sum(t.offered for t in self.tiers))


def _is_good(job: Job) -> bool:
    if not job.is_whole or job.first_s is None or job.ended_s is None:
        return False
    in_time = job.ended_s - job.drawn.at_s <= job.tier.deadline_s
    return in_time and job.first_s - job.drawn.at_s <= job.tier.first_token_s


def _get_first(jobs: list[Job]) -> list[float]:
    return [j.first_s - j.drawn.at_s for j in jobs if j.first_s is not None and j.is_whole]


def run_setup(setup: Setup, since_s: float = 0.0, until_s: float = 1e9) -> Outcome:
    """Run a setup and score the requests that arrived in a time range."""
    site = VirtualSite(setup)
    jobs = [job for job in site.run() if since_s <= job.drawn.at_s < until_s]
    tiers = []
    for tier in TIERS:
        own = [job for job in jobs if job.tier is tier]
        good = sum(map(_is_good, own))
        tiers.append(
            TierOutcome(tier.name, len(own), good, compute_percentile(_get_first(own), 0.95))
        )
    prompt = sum(job.ask.prompt_tokens for job in jobs)
    wasted = sum(job.missed if job.is_whole else job.computed for job in jobs)
    first_p95_s = compute_percentile(_get_first(jobs), 0.95)
    return Outcome(tiers, first_p95_s, wasted / max(1, prompt), site.inversions)
