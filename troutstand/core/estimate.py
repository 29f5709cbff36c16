"""Estimate one target from what its own answers show."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.ids import RequestId
from troutstand.core.prefix import PrefixCache, Prefixes
from troutstand.generated.table import Target, TargetState

if TYPE_CHECKING:
    from troutstand.generated.messages import Finished, PlacementAsk

_MILLISECONDS = 1000
# Weight of the newest answer in the moving averages of speed.
SPEED_GAIN = 0.3
MIN_PREFILL_SAMPLE_TOKENS = 32
MIN_DECODE_SAMPLE_TOKENS = 4
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0


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
    # Until when the target asked not to be sent anything.
    rests_until_s: float = 0.0
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
        """Tell whether the table or the platform's list says it leaves."""
        return self.listed_leaving or self.row.state is TargetState.leaving

    def describe_run(
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
        if self.is_leaving or now_s < self.rests_until_s:
            return 0
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
        self.cache.insert(prefixes)

    def finish(self, done: Finished, now_s: float) -> Running | None:
        """Note a request's end and learn from it."""
        run = self.running.pop(RequestId(done.request), None)
        if done.rest_ms:
            self.rest(done.rest_ms / _MILLISECONDS, now_s)
        if done.fault or done.is_target_gone:
            self._distrust(now_s)
        elif done.ok:
            self._trust()
            self._learn(done)
        return run

    def rest(self, rest_s: float, now_s: float) -> None:
        """Give the target nothing for so long, since it asked for that.

        It asked one entry process. The others leave it alone as well: the scheduler has no
        better choice than another target, and each would be turned away for itself. Without
        this 32 of 40 calls went to the one service worker of three that turned all away
        (real processes, `domainrests.feature`).
        """
        self.rests_until_s = max(self.rests_until_s, now_s + rest_s)

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
