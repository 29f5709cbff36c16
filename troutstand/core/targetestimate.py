"""Estimate one target from what its own answers show."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.ids import RequestId
from troutstand.core.prefix import PrefixCache, Prefixes
from troutstand.core.selfreport import SelfReport
from troutstand.generated.table import Target, TargetState

if TYPE_CHECKING:
    from troutstand.generated.messages import Finished, PlacementAsk, TargetNotice

_MILLISECONDS = 1000
# Weight of the newest answer in the moving averages of speed.
SPEED_GAIN = 0.3
MIN_PREFILL_SAMPLE_TOKENS = 32
MIN_DECODE_SAMPLE_TOKENS = 4
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
# Whom a rest binds: all entry processes of the domain.
_ANY_PROCESS = ""
# Nothing here tells one life of a target from the next, so that one that said that it leaves
# and stays in the table is tried again after so long, in seconds (chosen, not measured).
_LEAVING_S = 60.0


class Health(Enum):
    """Tell how far a target is trusted."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    PROBING = "probing"


@dataclass
class Running:
    """Keep what the scheduler knows of a granted request."""

    ask: PlacementAsk
    process: str
    target: str
    rank: int
    granted_s: float
    uncached_tokens: int
    expected_s: float
    pools: tuple[str, ...] = ()
    preempted: bool = False


@dataclass
class TargetEstimate:
    """Follow a target's load, speed, cache and health."""

    row: Target
    listed_leaving: bool = False
    running: dict[RequestId, Running] = field(default_factory=dict)
    health: Health = Health.TRUSTED
    retry_at_s: float = 0.0
    # What it said in its answers, to any entry process of the domain.
    report: SelfReport = field(default_factory=SelfReport)
    _said_leaving_s: float = float("-inf")
    backoff_s: float = FIRST_BACKOFF_S
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    cache: PrefixCache = field(init=False)

    def __post_init__(self) -> None:
        self.cache = PrefixCache(self.row.cache_tokens)
        self.prefill_tokens_per_s = self.row.prefill_tokens_per_s
        self.decode_tokens_per_s = self.row.decode_tokens_per_s

    @property
    def is_leaving(self) -> bool:
        """Tell whether the table, the platform's list or the target itself says it leaves."""
        is_told = self.listed_leaving or self.report.is_leaving
        return is_told or self.row.state is TargetState.leaving

    def create_run(
        self,
        ask: PlacementAsk,
        process: str,
        rank: int,
        now_s: float,
        uncached_tokens: int,
        expected_s: float,
    ) -> Running:
        """Describe a request that is granted to the target now."""
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
        """Return how many prompt tokens it would have to compute."""
        return max(0, ask.prompt_tokens - self.cache.match(prefixes))

    def estimate_prefill_s(self, uncached_tokens: int, now_s: float) -> float:
        """Return the time to the first token once granted, behind its earlier prefills."""
        backlog = uncached_tokens
        for other in self.running.values():
            spent = (now_s - other.granted_s) * self.prefill_tokens_per_s
            backlog += max(0, other.uncached_tokens - spent)
        return backlog / self.prefill_tokens_per_s

    def estimate_decode_s(self, answer_tokens: int) -> float:
        """Return the time to decode an answer."""
        return answer_tokens / self.decode_tokens_per_s

    def estimate_wait_s(self, now_s: float) -> float:
        """Return the time until a slot falls free."""
        if self.count_free(now_s) > 0 or not self.running:
            return 0.0
        ends = [run.granted_s + run.expected_s - now_s for run in self.running.values()]
        return max(0.0, min(ends))

    def start(self, request: RequestId, run: Running, prefixes: Prefixes) -> None:
        """Note a granted request."""
        if self.health is Health.SUSPECT:
            self.health = Health.PROBING
        self.running[request] = run
        self.report.record_sent(run.granted_s)
        self.cache.insert(prefixes)

    def finish(self, done: Finished, now_s: float) -> Running | None:
        """Note a request's end and learn from it."""
        run = self.running.pop(RequestId(done.request), None)
        if run is not None and done.ok:
            self.report.record_answer(run.granted_s)
        if done.fault or done.is_target_gone:
            self._distrust(now_s)
        elif done.ok:
            self._trust()
            self._learn(done)
        return run

    @property
    def backoff_until_s(self) -> float:
        """Return until when the target wants nothing, in seconds."""
        return self.report.backoff.get_end_s(_ANY_PROCESS)

    def apply_notice(self, notice: TargetNotice, now_s: float) -> bool:
        """Take what the target said of itself; tell whether it is news.

        It told one entry process. The others leave it alone as well where it wants rest: the
        scheduler has no better choice than another target, and each would be turned away for
        itself. Without this 32 of 40 calls went to the one service worker of three that
        turned all away (real processes, `domainrests.feature`).
        """
        if notice.is_leaving:
            self._said_leaving_s = now_s
        return self.report.apply_notice(_ANY_PROCESS, notice, now_s)

    def expire_leaving(self, now_s: float) -> None:
        """Take a target back that said long ago that it leaves, and is still there."""
        if self.report.is_leaving and now_s - self._said_leaving_s > _LEAVING_S:
            self.report.is_leaving = False

    def update_listed_leaving(self, is_leaving: bool) -> None:
        """Take what the platform's list shows; one that is shown as leaving no more is back."""
        if self.listed_leaving and not is_leaving:
            self.report.is_leaving = False
        self.listed_leaving = is_leaving

    def update_row(self, row: Target) -> None:
        """Take a newer row; another address is another process, which said nothing yet."""
        if row.url != self.row.url:
            self.report = SelfReport()
        self.row = row

    def _distrust(self, now_s: float) -> None:
        if self.health is not Health.TRUSTED:
            self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
        self.health = Health.SUSPECT
        self.retry_at_s = now_s + self.backoff_s

    def _trust(self) -> None:
        self.health = Health.TRUSTED
        self.backoff_s = FIRST_BACKOFF_S

    def _learn(self, done: Finished) -> None:
        uncached = done.prompt_tokens - done.cached_tokens
        if uncached >= MIN_PREFILL_SAMPLE_TOKENS and done.first_token_ms > 0:
            rate = uncached * _MILLISECONDS / done.first_token_ms
            self.prefill_tokens_per_s += SPEED_GAIN * (rate - self.prefill_tokens_per_s)
        decode_ms = done.total_ms - done.first_token_ms
        if done.answer_tokens >= MIN_DECODE_SAMPLE_TOKENS and decode_ms > 0:
            rate = done.answer_tokens * _MILLISECONDS / decode_ms
            self.decode_tokens_per_s += SPEED_GAIN * (rate - self.decode_tokens_per_s)
