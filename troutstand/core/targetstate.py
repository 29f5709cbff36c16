"""Keep what a scheduler knows of one target: its work, speed, cache and health."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.rollouts.admission import Admission
from troutstand.core.scheduling.serviceshares import UNSHARED, ShareTag
from troutstand.core.selfreport import SelfReport
from troutstand.core.speed import ReadingFit, ReadingSpeed, ReadingSums, Speed
from troutstand.generated.messages import ListedState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from troutstand.generated.messages import ListedTarget, Part, RoutedWork, TargetSpeed

_HEALTH_EWMA = 0.15
_FIRST_BLOCK_S = 0.5
_MAX_BLOCK_S = 4.0
_TURNED_AWAY_BLOCK_S = 0.05
# A target that is held off gets a probe no sooner than this after its last loss, in seconds
# (chosen, not measured): a target that refuses connections would spend a queue of callers
# within milliseconds.
_PROBE_AFTER_S = 0.2
_MIN_SILENT_S = 1.2
_SILENT_FACTOR = 6.0
_KEPT_PARTS = 4000
# How long a gateway is taken to keep an idle connection to a target.
_KEPT_CONNECTION_S = 2.5
_MIN_SERVICE_S = 1e-4


@dataclass
class Running:
    """Follow one request at a target; times in seconds on the steady clock."""

    work: RoutedWork
    owner: str
    started_s: float
    uncached_tokens: float
    expected_first_s: float
    # Prompt tokens of requests that the target had to read before this one.
    tokens_ahead: float = 0.0
    has_first: bool = False
    share: ShareTag = UNSHARED


@dataclass
class KeptConnections:
    """Follow the connections that one gateway keeps to a target."""

    count: int = 0
    used_s: float = float("-inf")


@dataclass
class TargetState:
    """Follow one target."""

    listed: ListedTarget
    running: dict[str, Running] = field(default_factory=dict)
    # Prompt tokens that are still to be read, and how many of the running requests bear
    # which longest pause: kept up to date, since every placement looks at every target.
    backlog: float = 0.0
    pauses: dict[float, int] = field(default_factory=dict)
    reading: ReadingFit | None = None
    token_s: Speed = field(default_factory=Speed)
    service_s: Speed = field(default_factory=Speed)
    success: float = 1.0
    strikes: int = 0
    blocked_until_s: float = 0.0
    # When an answer was last lost, or a probe turned away.
    lost_s: float = float("-inf")
    last_sign_s: float = 0.0
    parts: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    connections: dict[str, KeptConnections] = field(default_factory=dict)
    # Which requests it may get, by the version that it runs.
    admission: Admission = Admission.OPEN
    # What it said in its answers, whatever any list shows.
    report: SelfReport = field(default_factory=SelfReport)
    # Whether the list of another process shows it as leaving, until the next list here.
    is_listed_leaving: bool = False

    @property
    def is_ready(self) -> bool:
        """Tell whether the target takes new work at all, as far as is known."""
        is_told = self.report.is_leaving or self.is_listed_leaving
        return self.listed.state is ListedState.ready and not is_told

    @property
    def free_slots(self) -> int:
        """Return how many more requests the target works on at once."""
        # A target under suspicion gets one request at a time, as a probe.
        slots = 1 if self.strikes else self.listed.slots
        return max(0, slots - len(self.running))

    def is_open(self, now_s: float) -> bool:
        """Tell whether the target may be given work now."""
        if now_s < self.blocked_until_s or not self.report.may_send(now_s):
            return False
        return len(self.running) < (1 if self.strikes else self.listed.slots)

    def is_held_off(self, now_s: float) -> bool:
        """Tell whether the target is held off for its failures; it may still get probes."""
        return self.strikes > 0 and now_s < self.blocked_until_s

    def is_probed(self) -> bool:
        """Tell whether a request given since the last loss has no answer yet."""
        return any(not r.has_first and r.started_s > self.lost_s for r in self.running.values())

    def may_probe(self, now_s: float) -> bool:
        """Tell whether a target that is held off may be given a probe now."""
        is_due = now_s - self.lost_s >= _PROBE_AFTER_S
        return self.free_slots > 0 and is_due and self.report.may_send(now_s)

    def may_try_doubted(self, now_s: float) -> bool:
        """Tell whether the target, doubted for a rest, may be given one request now."""
        is_tried = any(
            not r.has_first and self.report.rest.is_since(r.started_s)
            for r in self.running.values()
        )
        return not is_tried and self.report.rest.may_try(now_s)

    def start(self, run: Running) -> None:
        """Count a request that the target was given."""
        self.running[run.work.request] = run
        if not run.has_first:
            self.backlog += run.uncached_tokens
        pause_s = run.work.pause_s
        self.pauses[pause_s] = self.pauses.get(pause_s, 0) + 1

    def finish(self, request: str) -> Running | None:
        """Return a request that is no longer at the target, and count it no more."""
        run = self.running.pop(request, None)
        if run is None:
            return None
        if not run.has_first:
            self.backlog -= run.uncached_tokens
        self.pauses[run.work.pause_s] -= 1
        if not self.pauses[run.work.pause_s]:
            del self.pauses[run.work.pause_s]
        if not self.running:
            self.backlog = 0.0
        return run

    def count_uncached(self, work: RoutedWork) -> float:
        """Return the prompt tokens of a request that the target does not hold."""
        if not self.parts:
            return float(work.prompt_tokens)
        held = 0
        for part in work.parts:
            if (work.model, part.part) not in self.parts:
                break
            held += part.tokens
        return max(0.0, work.prompt_tokens - held)

    def has_memory(self, work: RoutedWork, memory_tokens: int) -> bool:
        """Tell whether a request fits beside those that run; 0 tokens of memory is no limit."""
        if not memory_tokens or not self.running:
            return True
        needed = sum(r.work.prompt_tokens + r.work.output_tokens for r in self.running.values())
        return needed + work.prompt_tokens + work.output_tokens <= memory_tokens

    def remember(self, model: str, parts: Sequence[Part]) -> None:
        """Note the prompt parts that the target has read."""
        for part in parts:
            self.parts[(model, part.part)] = part.tokens
            self.parts.move_to_end((model, part.part))
        while len(self.parts) > _KEPT_PARTS:
            self.parts.popitem(last=False)

    # Connections of gateways

    def has_connection(self, owner: str, now_s: float) -> bool:
        """Tell whether a gateway seems to have an idle connection to the target."""
        kept = self.connections.get(owner)
        if kept is None or now_s - kept.used_s > _KEPT_CONNECTION_S:
            return False
        return kept.count > self._count_running(owner)

    def _count_running(self, owner: str) -> int:
        return sum(1 for run in self.running.values() if run.owner == owner)

    def note_connection(self, owner: str, now_s: float) -> None:
        """Note that a gateway's new request, counted already, uses a connection."""
        kept = self.connections.setdefault(owner, KeptConnections())
        in_use = self._count_running(owner)
        if now_s - kept.used_s > _KEPT_CONNECTION_S:
            kept.count = in_use
        kept.count = max(kept.count, in_use)
        kept.used_s = now_s

    def note_released(self, owner: str, is_kept: bool, now_s: float) -> None:
        """Note that a gateway's request ended, and whether its connection lives on."""
        kept = self.connections.get(owner)
        if kept is None:
            return
        kept.used_s = now_s
        if not is_kept:
            kept.count = max(0, kept.count - 1)

    def learn_reading(self, run: Running, first_s: float, prior: ReadingSpeed) -> None:
        """Learn from the first byte of an answer how fast prompts are read."""
        if self.reading is None:
            self.reading = ReadingFit(prior)
        self.reading.learn(run.uncached_tokens + run.tokens_ahead, first_s)

    def inherit_speed(self, seen: TargetSpeed, prior: ReadingSpeed) -> None:
        """Take in how fast others saw the target to be."""
        if seen.reading:
            if self.reading is None:
                self.reading = ReadingFit(prior)
            self.reading.merge(ReadingSums(*seen.reading))
        self.token_s.merge(seen.token_s, seen.token_samples)
        self.service_s.merge(seen.service_s, seen.service_samples)

    # Signs of life

    def note_first(self, run: Running, now_s: float) -> None:
        """Take the first byte of an answer as a sign of life."""
        if not run.has_first:
            self.backlog -= run.uncached_tokens
        run.has_first = True
        self.last_sign_s = now_s
        self.report.note_answer(run.started_s)

    def note_whole(self, now_s: float) -> None:
        """Take a whole answer as a sign of health."""
        self.success += _HEALTH_EWMA * (1.0 - self.success)
        self.strikes = 0
        self.blocked_until_s = 0.0
        self.last_sign_s = now_s

    def note_fault(self, now_s: float) -> None:
        """Take a fault of the target's own, which it answered with."""
        self.success += _HEALTH_EWMA * (0.0 - self.success)
        self.last_sign_s = now_s

    def note_lost(self, run: Running, now_s: float) -> None:
        """Take an answer that broke off or never came, and hold the target off."""
        is_probe = self.is_held_off(now_s) and run.started_s > self.lost_s
        self.lost_s = now_s
        if is_probe:
            # It tells nothing new. Counted, probes would lengthen the hold of a target
            # that is sound again.
            return
        self.success += _HEALTH_EWMA * (0.0 - self.success)
        block_s = min(_MAX_BLOCK_S, _FIRST_BLOCK_S * 2.0**self.strikes)
        self.strikes += 1
        self.blocked_until_s = max(self.blocked_until_s, now_s + block_s)

    def note_turned_away(self, now_s: float) -> None:
        """Take a refusal for want of room."""
        self.last_sign_s = now_s
        if self.is_held_off(now_s):
            # The next probe must not follow at once.
            self.lost_s = now_s
        self.blocked_until_s = max(self.blocked_until_s, now_s + _TURNED_AWAY_BLOCK_S)

    def find_silence(self, now_s: float) -> Running | None:
        """Return a request whose first byte the target owes for far longer than expected."""
        for run in self.running.values():
            if run.has_first:
                continue
            waited_s = now_s - run.started_s
            limit_s = max(_MIN_SILENT_S, _SILENT_FACTOR * run.expected_first_s)
            if waited_s > limit_s and now_s - self.last_sign_s > limit_s:
                return run
        return None


def measure_service(total_s: float) -> float:
    """Return a service time that may be divided by."""
    return max(total_s, _MIN_SERVICE_S)
