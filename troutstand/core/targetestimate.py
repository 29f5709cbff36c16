"""Estimate the speed, load and health of one target from its responses."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.ids import RequestId
from troutstand.core.prefix import PrefixCache, Prefixes
from troutstand.core.selfreport import SelfReport
from troutstand.generated.table import Target, TargetState

if TYPE_CHECKING:
    from troutstand.core.ids import PartId
    from troutstand.generated.messages import Finished, PlacementAsk, TargetNotice

_MS_PER_S = 1000
# Weight of the newest sample in the moving averages.
SPEED_EWMA_WEIGHT = 0.3
MIN_PREFILL_SAMPLE_TOKENS = 32
MIN_DECODE_SAMPLE_TOKENS = 4
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
# Backoff applies to all entry processes of the domain.
_ANY_PROCESS = ""
# Restarts are not visible here, so a target that reported leaving and stays in the table
# is used again after this time.
_LEAVING_TTL_S = 60.0


class Health(Enum):
    """Name the health states of a target."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    PROBING = "probing"


@dataclass
class Running:
    """Hold the state of a granted request."""

    ask: PlacementAsk
    process: str
    target: str
    rank: int
    granted_s: float
    uncached_tokens: int
    expected_s: float
    pools: tuple[str, ...] = ()
    preempted: bool = False
    # Whether it runs isolated, so that a crash of the target is its own, and for which parts.
    is_isolated: bool = False
    suspects: frozenset[PartId] = frozenset()


@dataclass
class TargetEstimate:
    """Track a target's load, speed, cache and health."""

    row: Target
    listed_leaving: bool = False
    running: dict[RequestId, Running] = field(default_factory=dict)
    health: Health = Health.TRUSTED
    retry_at_s: float = 0.0
    # Notices from the target to any entry process of the domain.
    report: SelfReport = field(default_factory=SelfReport)
    _leaving_reported_s: float = float("-inf")
    backoff_s: float = INITIAL_BACKOFF_S
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    cache: PrefixCache = field(init=False)

    def __post_init__(self) -> None:
        self.cache = PrefixCache(self.row.cache_tokens)
        self.prefill_tokens_per_s = self.row.prefill_tokens_per_s
        self.decode_tokens_per_s = self.row.decode_tokens_per_s

    @property
    def is_leaving(self) -> bool:
        """Return whether the table, the platform's list or a notice shows it as leaving."""
        is_reported = self.listed_leaving or self.report.is_leaving
        return is_reported or self.row.state is TargetState.leaving

    def create_run(
        self,
        ask: PlacementAsk,
        process: str,
        rank: int,
        now_s: float,
        uncached_tokens: int,
        expected_s: float,
    ) -> Running:
        """Create the state of a request that is granted to the target now."""
        return Running(
            ask,
            process,
            self.row.name,
            rank,
            now_s,
            uncached_tokens,
            expected_s,
            tuple(self.row.serves),
        )

    def count_free(self, now_s: float) -> int:
        """Return how many requests may be granted now."""
        if self.is_leaving or self.report.get_block_reason(_ANY_PROCESS, now_s) is not None:
            return 0
        return min(self._count_free_slots(now_s), self.report.count_permits(now_s))

    def _count_free_slots(self, now_s: float) -> int:
        if self.health is Health.TRUSTED:
            return max(0, self.row.slots - len(self.running))
        if self.health is Health.SUSPECT and now_s >= self.retry_at_s:
            return 0 if self.running else 1
        return 0

    def estimate_uncached(self, ask: PlacementAsk, prefixes: Prefixes) -> int:
        """Return the prompt tokens of a request that are not in the target's cache."""
        return max(0, ask.prompt_tokens - self.cache.match(prefixes))

    def estimate_prefill_s(self, uncached_tokens: int, now_s: float) -> float:
        """Return the time to first token of a request granted now, behind earlier prefills."""
        backlog_tokens = uncached_tokens
        for other in self.running.values():
            processed_tokens = (now_s - other.granted_s) * self.prefill_tokens_per_s
            backlog_tokens += max(0, other.uncached_tokens - processed_tokens)
        return backlog_tokens / self.prefill_tokens_per_s

    def estimate_decode_s(self, answer_tokens: int) -> float:
        """Return the time to decode an answer of this length."""
        return answer_tokens / self.decode_tokens_per_s

    def estimate_wait_s(self, now_s: float) -> float:
        """Return the time until a slot becomes free."""
        if self.count_free(now_s) > 0 or not self.running:
            return 0.0
        ends = [run.granted_s + run.expected_s - now_s for run in self.running.values()]
        return max(0.0, min(ends))

    def start(self, request: RequestId, run: Running, prefixes: Prefixes) -> None:
        """Add a granted request."""
        for other in self.running.values():
            # A crash could be caused by either from now on.
            other.is_isolated = False
        if self.health is Health.SUSPECT:
            self.health = Health.PROBING
        self.running[request] = run
        self.report.record_sent(run.granted_s)
        self.cache.insert(prefixes)

    def finish(self, done: Finished, now_s: float) -> Running | None:
        """Remove a finished request, and update health and speed from its result."""
        run = self.running.pop(RequestId(done.request), None)
        if run is not None and done.ok:
            self.report.record_answer(run.granted_s)
        if done.fault or done.is_target_gone:
            self._mark_suspect(now_s)
        elif done.ok:
            self._mark_trusted()
            self._update_speeds(done)
        return run

    @property
    def backoff_until_s(self) -> float:
        """Return the end of the backoff that the target asked for, in seconds."""
        return self.report.backoff.get_end_s(_ANY_PROCESS)

    def apply_notice(self, notice: TargetNotice, now_s: float) -> bool:
        """Apply a notice from the target; return whether it has new content.

        A backoff requested of one entry process applies to all of them, so that not each
        is rejected in turn.
        """
        if notice.is_leaving:
            self._leaving_reported_s = now_s
        return self.report.apply_notice(_ANY_PROCESS, notice, now_s)

    def expire_leaving(self, now_s: float) -> None:
        """Use a target again that reported leaving long ago and is still listed."""
        if self.report.is_leaving and now_s - self._leaving_reported_s > _LEAVING_TTL_S:
            self.report.is_leaving = False

    def update_listed_leaving(self, is_leaving: bool) -> None:
        """Apply the state in the platform's list; clears a reported leaving that ended there."""
        if self.listed_leaving and not is_leaving:
            self.report.is_leaving = False
        self.listed_leaving = is_leaving

    def update_row(self, row: Target) -> None:
        """Apply a newer row; a new address is a new process without a report."""
        if row.url != self.row.url:
            self.report = SelfReport()
        self.row = row

    def _mark_suspect(self, now_s: float) -> None:
        if self.health is not Health.TRUSTED:
            self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
        self.health = Health.SUSPECT
        self.retry_at_s = now_s + self.backoff_s

    def _mark_trusted(self) -> None:
        self.health = Health.TRUSTED
        self.backoff_s = INITIAL_BACKOFF_S

    def _update_speeds(self, done: Finished) -> None:
        uncached = done.prompt_tokens - done.cached_tokens
        if uncached >= MIN_PREFILL_SAMPLE_TOKENS and done.first_token_ms > 0:
            rate = uncached * _MS_PER_S / done.first_token_ms
            self.prefill_tokens_per_s += SPEED_EWMA_WEIGHT * (rate - self.prefill_tokens_per_s)
        decode_ms = done.total_ms - done.first_token_ms
        if done.answer_tokens >= MIN_DECODE_SAMPLE_TOKENS and decode_ms > 0:
            rate = done.answer_tokens * _MS_PER_S / decode_ms
            self.decode_tokens_per_s += SPEED_EWMA_WEIGHT * (rate - self.decode_tokens_per_s)
