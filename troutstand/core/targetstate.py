"""Per-target scheduling state: running requests, speed, cache contents and health."""

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

    from troutstand.core.ids import PartId
    from troutstand.generated.messages import ListedTarget, Part, RoutedWork, TargetSpeed

_HEALTH_EWMA_WEIGHT = 0.15
_INITIAL_EJECTION_S = 0.5
_MAX_EJECTION_S = 4.0
_REJECTION_BLOCK_S = 0.05
# Minimum time between a loss and the next probe. Without it a target that refuses
# connections would fail many queued requests within milliseconds.
_PROBE_AFTER_S = 0.2
_MIN_OVERDUE_S = 1.2
_OVERDUE_FACTOR = 6.0
_MAX_CACHED_PARTS = 4000
_CONNECTION_IDLE_TIMEOUT_S = 2.5
_MIN_SERVICE_S = 1e-4


@dataclass
class RunningRequest:
    """Describe one request in flight at a target; times in seconds on the steady clock."""

    work: RoutedWork
    owner: str
    started_s: float
    uncached_tokens: float
    expected_first_s: float
    # Uncached prompt tokens queued at the target before this request.
    tokens_ahead: float = 0.0
    has_first_byte: bool = False
    first_byte_s: float = float("-inf")
    # Tokens charged to its workspace's limit when it was placed here.
    charge: float = 0.0
    share: ShareTag = UNSHARED
    # Whether it took its slot by the minimum of its tier.
    is_promoted: bool = False
    # Whether its gateway has lost the path on which the answer would come.
    is_path_lost: bool = False
    # Whether the target has sent nothing for long; another attempt may run elsewhere.
    is_silent: bool = False
    # Whether it runs isolated, so that a crash of the target is its own, and for which parts.
    is_isolated: bool = False
    # Whether enough targets were sound when it was placed, so that a crash is not theirs.
    is_conclusive: bool = False
    suspects: frozenset[PartId] = frozenset()
    # Whether its response has cleared the parts of its prompt.
    is_cleared: bool = False


@dataclass
class GatewayConnections:
    """Count the connections that one gateway has open to a target."""

    count: int = 0
    last_used_s: float = float("-inf")


@dataclass
class TargetState:
    """Track the requests, speed, cache and health of one target."""

    listed: ListedTarget
    running: dict[str, RunningRequest] = field(default_factory=dict)
    # Pending prefill tokens and running requests per pause limit, updated incrementally
    # since every placement reads them for every target.
    backlog_tokens: float = 0.0
    pause_counts: dict[float, int] = field(default_factory=dict)
    prefill: PrefillFit | None = None
    token_s: MovingAverage = field(default_factory=MovingAverage)
    service_s: MovingAverage = field(default_factory=MovingAverage)
    success_rate: float = 1.0
    consecutive_losses: int = 0
    blocked_until_s: float = 0.0
    # Time of the last lost answer or rejected probe.
    last_loss_s: float = float("-inf")
    last_response_s: float = 0.0
    cached_parts: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    connections: dict[str, GatewayConnections] = field(default_factory=dict)
    # Which requests the target accepts, by the version that it runs.
    admission: Admission = Admission.OPEN
    # State that the target reported in its answers, independent of the target lists.
    report: SelfReport = field(default_factory=SelfReport)
    # A newer list of another process shows the target as leaving; reset by the next own list.
    is_listed_leaving: bool = False
    # Until then only isolated requests may be sent.
    reserved_until_s: float = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Return whether the target accepts new requests, by the lists and its own reports."""
        is_leaving = self.report.is_leaving or self.is_listed_leaving
        return self.listed.state is ListedState.ready and not is_leaving

    @property
    def free_slots(self) -> int:
        """Return the number of free request slots."""
        if self.consecutive_losses:
            # After a loss a target gets one request at a time, as a probe.
            return max(0, 1 - self._count_sounding())
        return max(0, self.listed.slots - len(self.running))

    def _count_sounding(self) -> int:
        """Return the number of running requests whose target is not silent for long."""
        return sum(not run.is_silent for run in self.running.values())

    def is_open(self, now_s: float) -> bool:
        """Return whether the target may be sent any request now."""
        return self.can_take(now_s) and not self.is_reserved(now_s)

    def is_reserved(self, now_s: float) -> bool:
        """Return whether the target takes isolated requests only."""
        return now_s < self.reserved_until_s

    def can_take(self, now_s: float) -> bool:
        """Return whether the target has room for a request now, if only for an isolated one."""
        if now_s < self.blocked_until_s or not self.report.may_send(now_s):
            return False
        if self.consecutive_losses:
            return self.free_slots > 0
        # Read for every target at every decision, so that the usual case calls nothing.
        return len(self.running) < self.listed.slots

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target is ejected after losses; it may still get probes."""
        return self.consecutive_losses > 0 and now_s < self.blocked_until_s

    def is_probing(self) -> bool:
        """Return whether a request sent since the last loss is still unanswered."""
        return any(
            not r.has_first_byte and r.started_s > self.last_loss_s for r in self.running.values()
        )

    def may_probe(self, now_s: float) -> bool:
        """Return whether an ejected target may be probed now."""
        is_due = now_s - self.last_loss_s >= _PROBE_AFTER_S
        return self.free_slots > 0 and is_due and self.report.may_send(now_s)

    def may_probe_suspect(self, now_s: float) -> bool:
        """Return whether a target that is suspect after a rejection may be probed now."""
        has_probe = any(
            not r.has_first_byte and self.report.backoff.is_after_last_rejection(r.started_s)
            for r in self.running.values()
        )
        return not has_probe and self.report.backoff.may_probe(now_s)

    def start(self, run: RunningRequest) -> None:
        """Add a request that was sent to the target, in place of an earlier run of it here."""
        self.finish(run.work.request)
        for other in self.running.values():
            # A crash could be caused by either from now on.
            other.is_isolated = False
        self.running[run.work.request] = run
        if not run.has_first_byte:
            self.backlog_tokens += run.uncached_tokens
        pause_s = run.work.pause_s
        self.pause_counts[pause_s] = self.pause_counts.get(pause_s, 0) + 1

    def finish(self, request: str) -> RunningRequest | None:
        """Remove a request that ended and return it, or None if it is unknown."""
        run = self.running.pop(request, None)
        if run is None:
            return None
        if run.is_isolated:
            self.reserved_until_s = float("-inf")
        if not run.has_first_byte:
            self.backlog_tokens -= run.uncached_tokens
        self.pause_counts[run.work.pause_s] -= 1
        if not self.pause_counts[run.work.pause_s]:
            del self.pause_counts[run.work.pause_s]
        if not self.running:
            self.backlog_tokens = 0.0
        return run

    def count_uncached(self, work: RoutedWork) -> float:
        """Return the number of prompt tokens that are not in the target's cache."""
        if not self.cached_parts:
            return float(work.prompt_tokens)
        cached = 0
        for part in work.parts:
            if (work.model, part.part) not in self.cached_parts:
                break
            cached += part.tokens
        return max(0.0, work.prompt_tokens - cached)

    def has_memory(self, work: RoutedWork, memory_tokens: int) -> bool:
        """Return whether a request fits into memory beside the running ones; 0 means no limit."""
        if not memory_tokens or not self.running:
            return True
        needed = sum(r.work.prompt_tokens + r.work.output_tokens for r in self.running.values())
        return needed + work.prompt_tokens + work.output_tokens <= memory_tokens

    def add_cached_parts(self, model: str, parts: Sequence[Part]) -> None:
        """Add prompt parts to the cache, evicting the least recently used ones."""
        for part in parts:
            self.cached_parts[(model, part.part)] = part.tokens
            self.cached_parts.move_to_end((model, part.part))
        while len(self.cached_parts) > _MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)

    # Gateway connections

    def has_connection(self, owner: str, now_s: float) -> bool:
        """Return whether a gateway probably has an idle connection to the target."""
        entry = self.connections.get(owner)
        if entry is None or now_s - entry.last_used_s > _CONNECTION_IDLE_TIMEOUT_S:
            return False
        return entry.count > self._count_running(owner)

    def _count_running(self, owner: str) -> int:
        return sum(1 for run in self.running.values() if run.owner == owner)

    def record_connection(self, owner: str, now_s: float) -> None:
        """Record that a gateway opened or reused a connection for a request in `running`."""
        entry = self.connections.setdefault(owner, GatewayConnections())
        in_use = self._count_running(owner)
        if now_s - entry.last_used_s > _CONNECTION_IDLE_TIMEOUT_S:
            entry.count = in_use
        entry.count = max(entry.count, in_use)
        entry.last_used_s = now_s

    def record_release(self, owner: str, is_kept: bool, now_s: float) -> None:
        """Record that a gateway's request ended, and whether its connection stays open."""
        entry = self.connections.get(owner)
        if entry is None:
            return
        entry.last_used_s = now_s
        if not is_kept:
            entry.count = max(0, entry.count - 1)

    def record_prefill(self, run: RunningRequest, first_s: float, prior: PrefillSpeed) -> None:
        """Update the prefill speed from the time to first byte of a request."""
        if self.prefill is None:
            self.prefill = PrefillFit(prior)
        self.prefill.add_sample(run.uncached_tokens + run.tokens_ahead, first_s)

    def merge_speed(self, observed: TargetSpeed, prior: PrefillSpeed) -> None:
        """Merge the speed that another process observed."""
        if observed.reading:
            if self.prefill is None:
                self.prefill = PrefillFit(prior)
            self.prefill.merge(PrefillSums(*observed.reading))
        self.token_s.merge(observed.token_s, observed.token_samples)
        self.service_s.merge(observed.service_s, observed.service_samples)

    # Health

    def record_first_byte(self, run: RunningRequest, now_s: float) -> None:
        """Record the first byte of an answer."""
        if not run.has_first_byte:
            self.backlog_tokens -= run.uncached_tokens
        run.has_first_byte = True
        run.first_byte_s = now_s
        self.last_response_s = now_s
        self.report.record_answer(run.started_s)

    def record_success(self, now_s: float) -> None:
        """Record a complete answer, which ends an ejection."""
        self.success_rate += _HEALTH_EWMA_WEIGHT * (1.0 - self.success_rate)
        self.consecutive_losses = 0
        self.blocked_until_s = 0.0
        self.last_response_s = now_s

    def record_resumed(self, now_s: float) -> None:
        """Record that the target goes on with an answer after a silence, which ends an ejection."""
        self.consecutive_losses = 0
        self.blocked_until_s = 0.0
        self.last_response_s = now_s

    def record_fault(self, now_s: float) -> None:
        """Record an error response of the target."""
        self.success_rate += _HEALTH_EWMA_WEIGHT * (0.0 - self.success_rate)
        self.last_response_s = now_s

    def record_loss(self, run: RunningRequest, now_s: float) -> None:
        """Record an answer that broke off or never came, and eject the target with backoff."""
        is_probe = self.is_ejected(now_s) and run.started_s > self.last_loss_s
        self.last_loss_s = now_s
        if is_probe:
            # A failed probe must not extend the ejection of a target that has recovered.
            return
        self.success_rate += _HEALTH_EWMA_WEIGHT * (0.0 - self.success_rate)
        block_s = min(_MAX_EJECTION_S, _INITIAL_EJECTION_S * 2.0**self.consecutive_losses)
        self.consecutive_losses += 1
        self.blocked_until_s = max(self.blocked_until_s, now_s + block_s)

    def record_rejection(self, now_s: float) -> None:
        """Record a rejection for lack of capacity."""
        self.last_response_s = now_s
        if self.is_ejected(now_s):
            # Delays the next probe.
            self.last_loss_s = now_s
        self.blocked_until_s = max(self.blocked_until_s, now_s + _REJECTION_BLOCK_S)

    def find_overdue(self, now_s: float) -> RunningRequest | None:
        """Return a request whose first byte is long overdue, or None."""
        for run in self.running.values():
            if run.has_first_byte:
                continue
            waited_s = now_s - run.started_s
            limit_s = max(_MIN_OVERDUE_S, _OVERDUE_FACTOR * run.expected_first_s)
            if waited_s > limit_s and now_s - self.last_response_s > limit_s:
                return run
        return None


def clamp_service_s(total_s: float) -> float:
    """Return a service time that is safe as a divisor."""
    return max(total_s, _MIN_SERVICE_S)
