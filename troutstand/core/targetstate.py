"""Keep what a scheduler knows of one target: its work, speed, cache and health."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.rollouts.admission import Admission
from troutstand.core.scheduling.serviceshares import UNSHARED, ShareTag
from troutstand.core.selfreport import SelfReport
from troutstand.core.speed import MovingAverage, PrefillFit, PrefillSpeed, PrefillSums
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
class RunningRequest:
    """Follow one request at a target; times in seconds on the steady clock."""

    work: RoutedWork
    owner: str
    started_s: float
    uncached_tokens: float
    expected_first_s: float
    # Prompt tokens of requests that the target had to read before this one.
    tokens_ahead: float = 0.0
    has_first_byte: bool = False
    share: ShareTag = UNSHARED


@dataclass
class GatewayConnections:
    """Follow the connections that one gateway keeps to a target."""

    count: int = 0
    last_used_s: float = float("-inf")


@dataclass
class TargetState:
    """Follow one target."""

    listed: ListedTarget
    running: dict[str, RunningRequest] = field(default_factory=dict)
    # Prompt tokens that are still to be read, and how many of the running requests bear
    # which longest pause: kept up to date, since every placement looks at every target.
    backlog_tokens: float = 0.0
    pause_counts: dict[float, int] = field(default_factory=dict)
    prefill: PrefillFit | None = None
    token_s: MovingAverage = field(default_factory=MovingAverage)
    service_s: MovingAverage = field(default_factory=MovingAverage)
    success: float = 1.0
    consecutive_losses: int = 0
    blocked_until_s: float = 0.0
    # When an answer was last lost, or a probe turned away.
    last_loss_s: float = float("-inf")
    last_response_s: float = 0.0
    cached_parts: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    connections: dict[str, GatewayConnections] = field(default_factory=dict)
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
        slots = 1 if self.consecutive_losses else self.listed.slots
        return max(0, slots - len(self.running))

    def is_open(self, now_s: float) -> bool:
        """Tell whether the target may be given work now."""
        if now_s < self.blocked_until_s or not self.report.may_send(now_s):
            return False
        return len(self.running) < (1 if self.consecutive_losses else self.listed.slots)

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether the target is held off for its failures; it may still get probes."""
        return self.consecutive_losses > 0 and now_s < self.blocked_until_s

    def is_probing(self) -> bool:
        """Tell whether a request given since the last loss has no answer yet."""
        return any(
            not r.has_first_byte and r.started_s > self.last_loss_s for r in self.running.values()
        )

    def may_probe(self, now_s: float) -> bool:
        """Tell whether a target that is held off may be given a probe now."""
        is_due = now_s - self.last_loss_s >= _PROBE_AFTER_S
        return self.free_slots > 0 and is_due and self.report.may_send(now_s)

    def may_probe_suspect(self, now_s: float) -> bool:
        """Tell whether the target, doubted for a rest, may be given one request now."""
        is_tried = any(
            not r.has_first_byte and self.report.backoff.is_after_last(r.started_s)
            for r in self.running.values()
        )
        return not is_tried and self.report.backoff.may_probe(now_s)

    def start(self, run: RunningRequest) -> None:
        """Count a request that the target was given."""
        self.running[run.work.request] = run
        if not run.has_first_byte:
            self.backlog_tokens += run.uncached_tokens
        pause_s = run.work.pause_s
        self.pause_counts[pause_s] = self.pause_counts.get(pause_s, 0) + 1

    def finish(self, request: str) -> RunningRequest | None:
        """Return a request that is no longer at the target, and count it no more."""
        run = self.running.pop(request, None)
        if run is None:
            return None
        if not run.has_first_byte:
            self.backlog_tokens -= run.uncached_tokens
        self.pause_counts[run.work.pause_s] -= 1
        if not self.pause_counts[run.work.pause_s]:
            del self.pause_counts[run.work.pause_s]
        if not self.running:
            self.backlog_tokens = 0.0
        return run

    def count_uncached(self, work: RoutedWork) -> float:
        """Return the prompt tokens of a request that the target does not hold."""
        if not self.cached_parts:
            return float(work.prompt_tokens)
        held = 0
        for part in work.parts:
            if (work.model, part.part) not in self.cached_parts:
                break
            held += part.tokens
        return max(0.0, work.prompt_tokens - held)

    def has_memory(self, work: RoutedWork, memory_tokens: int) -> bool:
        """Tell whether a request fits beside those that run; 0 tokens of memory is no limit."""
        if not memory_tokens or not self.running:
            return True
        needed = sum(r.work.prompt_tokens + r.work.output_tokens for r in self.running.values())
        return needed + work.prompt_tokens + work.output_tokens <= memory_tokens

    def add_cached_parts(self, model: str, parts: Sequence[Part]) -> None:
        """Note the prompt parts that the target has read."""
        for part in parts:
            self.cached_parts[(model, part.part)] = part.tokens
            self.cached_parts.move_to_end((model, part.part))
        while len(self.cached_parts) > _KEPT_PARTS:
            self.cached_parts.popitem(last=False)

    # Connections of gateways

    def has_connection(self, owner: str, now_s: float) -> bool:
        """Tell whether a gateway seems to have an idle connection to the target."""
        kept = self.connections.get(owner)
        if kept is None or now_s - kept.last_used_s > _KEPT_CONNECTION_S:
            return False
        return kept.count > self._count_running(owner)

    def _count_running(self, owner: str) -> int:
        return sum(1 for run in self.running.values() if run.owner == owner)

    def record_connection(self, owner: str, now_s: float) -> None:
        """Note that a gateway's new request, counted already, uses a connection."""
        kept = self.connections.setdefault(owner, GatewayConnections())
        in_use = self._count_running(owner)
        if now_s - kept.last_used_s > _KEPT_CONNECTION_S:
            kept.count = in_use
        kept.count = max(kept.count, in_use)
        kept.last_used_s = now_s

    def record_release(self, owner: str, is_kept: bool, now_s: float) -> None:
        """Note that a gateway's request ended, and whether its connection lives on."""
        kept = self.connections.get(owner)
        if kept is None:
            return
        kept.last_used_s = now_s
        if not is_kept:
            kept.count = max(0, kept.count - 1)

    def record_prefill(self, run: RunningRequest, first_s: float, prior: PrefillSpeed) -> None:
        """Learn from the first byte of an answer how fast prompts are read."""
        if self.prefill is None:
            self.prefill = PrefillFit(prior)
        self.prefill.add_sample(run.uncached_tokens + run.tokens_ahead, first_s)

    def merge_speed(self, seen: TargetSpeed, prior: PrefillSpeed) -> None:
        """Take in how fast others saw the target to be."""
        if seen.reading:
            if self.prefill is None:
                self.prefill = PrefillFit(prior)
            self.prefill.merge(PrefillSums(*seen.reading))
        self.token_s.merge(seen.token_s, seen.token_samples)
        self.service_s.merge(seen.service_s, seen.service_samples)

    # Signs of life

    def record_first_byte(self, run: RunningRequest, now_s: float) -> None:
        """Take the first byte of an answer as a sign of life."""
        if not run.has_first_byte:
            self.backlog_tokens -= run.uncached_tokens
        run.has_first_byte = True
        self.last_response_s = now_s
        self.report.record_answer(run.started_s)

    def record_success(self, now_s: float) -> None:
        """Take a whole answer as a sign of health."""
        self.success += _HEALTH_EWMA * (1.0 - self.success)
        self.consecutive_losses = 0
        self.blocked_until_s = 0.0
        self.last_response_s = now_s

    def record_fault(self, now_s: float) -> None:
        """Take a fault of the target's own, which it answered with."""
        self.success += _HEALTH_EWMA * (0.0 - self.success)
        self.last_response_s = now_s

    def record_loss(self, run: RunningRequest, now_s: float) -> None:
        """Take an answer that broke off or never came, and hold the target off."""
        is_probe = self.is_ejected(now_s) and run.started_s > self.last_loss_s
        self.last_loss_s = now_s
        if is_probe:
            # It tells nothing new. Counted, probes would lengthen the hold of a target
            # that is sound again.
            return
        self.success += _HEALTH_EWMA * (0.0 - self.success)
        block_s = min(_MAX_BLOCK_S, _FIRST_BLOCK_S * 2.0**self.consecutive_losses)
        self.consecutive_losses += 1
        self.blocked_until_s = max(self.blocked_until_s, now_s + block_s)

    def record_rejection(self, now_s: float) -> None:
        """Take a refusal for want of room."""
        self.last_response_s = now_s
        if self.is_ejected(now_s):
            # The next probe must not follow at once.
            self.last_loss_s = now_s
        self.blocked_until_s = max(self.blocked_until_s, now_s + _TURNED_AWAY_BLOCK_S)

    def find_overdue(self, now_s: float) -> RunningRequest | None:
        """Return a request whose first byte the target owes for far longer than expected."""
        for run in self.running.values():
            if run.has_first_byte:
                continue
            waited_s = now_s - run.started_s
            limit_s = max(_MIN_SILENT_S, _SILENT_FACTOR * run.expected_first_s)
            if waited_s > limit_s and now_s - self.last_response_s > limit_s:
                return run
        return None


def clamp_service_s(total_s: float) -> float:
    """Return a service time that may be divided by."""
    return max(total_s, _MIN_SERVICE_S)
