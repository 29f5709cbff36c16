"""Score the results of a load: goodput by tier, wasted prefill and command guarantees."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.prefix import PrefixCache, hash_prefixes
from troutstand.generated.table import Tier
from troutstand.testing.engine import EngineRecord
from troutstand.testing.service import ServiceRecord
from troutstand.testing.site import MODEL

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from troutstand.core.table import Row
    from troutstand.testing.load import Result


@dataclass(frozen=True)
class TierScore:
    """Count the outcomes of one tier's requests."""

    tier: str
    offered: int
    correct: int
    good: int
    refused: int
    first_token_p95_s: float


def _is_good(result: Result, tier: Tier) -> bool:
    if not result.is_correct or result.first_token_s is None:
        return False
    first_s = result.first_token_s - result.sent_s
    in_time = result.ended_s - result.sent_s <= tier.deadline_s
    return (
        first_s <= tier.first_token_s and result.longest_gap_s <= tier.between_tokens_s and in_time
    )


def compute_percentile(values: list[float], share: float) -> float:
    """Return the percentile for `share` from 0 to 1; 0.0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def score_tiers(results: Iterable[Result], rows: Iterable[Row]) -> list[TierScore]:
    """Score each tier's model requests, in order of rank."""
    tiers = sorted((row for row in rows if isinstance(row, Tier)), key=lambda row: row.rank)
    scores: list[TierScore] = []
    model_results = [result for result in results if not result.drawn.is_command]
    for tier in tiers:
        tier_results = [result for result in model_results if result.drawn.tier == tier.name]
        first = [r.first_token_s - r.sent_s for r in tier_results if r.first_token_s is not None]
        scores.append(
            TierScore(
                tier=tier.name,
                offered=len(tier_results),
                correct=sum(result.is_correct for result in tier_results),
                good=sum(_is_good(result, tier) for result in tier_results),
                refused=sum(result.refusal is not None for result in tier_results),
                first_token_p95_s=compute_percentile(first, 0.95),
            )
        )
    return scores


def count_refusals(results: Iterable[Result]) -> dict[str, int]:
    """Count refusals by code, and connection errors by type."""
    counts: Counter[str] = Counter()
    for result in results:
        if result.refusal:
            counts[f"{result.refusal.number} {result.refusal.code} run={result.refusal.run}"] += 1
        elif result.connection_error:
            counts[f"broken {result.connection_error}"] += 1
    return dict(sorted(counts.items()))


@dataclass(frozen=True)
class PrefillWaste:
    """Count prompt tokens and how many of them were computed needlessly."""

    prompt_tokens: int
    computed_tokens: int
    wasted_tokens: int

    @property
    def share(self) -> float:
        """Return the wasted share of all prompt tokens, from 0 to 1."""
        return self.wasted_tokens / self.prompt_tokens if self.prompt_tokens else 0.0


@dataclass(frozen=True)
class _StartedRecord:
    engine: str
    record: EngineRecord


def _read_started(path: Path) -> list[_StartedRecord]:
    lines = path.read_bytes().splitlines() if path.exists() else []
    records = [msgspec.json.decode(line, type=EngineRecord) for line in lines]
    return [_StartedRecord(path.stem, record) for record in records if record.event == "started"]


def score_prefill_waste(
    record_files: Iterable[Path], results: Iterable[Result], cache_tokens: int
) -> PrefillWaste:
    """Replay the engines' records and count wasted prefill.

    A token is wasted if another target had it in its cache, or if its request
    got no correct response.
    """
    prompts = {result.drawn.nonce: result for result in results if not result.drawn.is_command}
    started = [item for path in record_files for item in _read_started(path)]
    caches: dict[str, PrefixCache] = {}
    prompt = computed = wasted = 0
    for item in sorted(started, key=lambda item: item.record.at_s):
        result = prompts.get(item.record.nonce)
        if result is None:
            continue
        prefixes = hash_prefixes(MODEL, f"user: {result.drawn.prompt}")
        max_cached = max((cache.match(prefixes) for cache in caches.values()), default=0)
        cache_of_engine = caches.setdefault(item.engine, PrefixCache(cache_tokens))
        cache_of_engine.insert(prefixes)
        record = item.record
        prompt += record.prompt_tokens
        computed += record.computed_tokens
        wasted += record.computed_tokens if not result.is_correct else 0
        wasted += max(0, max_cached - record.held_tokens) if result.is_correct else 0
    return PrefillWaste(prompt, computed, wasted)


@dataclass(frozen=True)
class CommandScore:
    """Count the outcomes of commands, checked against the services' records."""

    sent: int
    done: int
    ran_twice: int
    false_not_run: int
    lost: int
    unknown: int


def count_command_runs(record_files: Iterable[Path]) -> Counter[str]:
    """Count from the services' records how often each command's body ran."""
    runs: Counter[str] = Counter()
    for path in record_files:
        for line in path.read_bytes().splitlines() if path.exists() else []:
            runs[msgspec.json.decode(line, type=ServiceRecord).body] += 1
    return runs


def score_commands(results: Iterable[Result], record_files: Iterable[Path]) -> CommandScore:
    """Compare the responses to commands with the services' records."""
    runs = count_command_runs(record_files)
    commands = [result for result in results if result.drawn.is_command]
    reported_not_run = [r for r in commands if r.refusal is not None and r.refusal.run == "no"]
    return CommandScore(
        sent=len(commands),
        done=sum(result.is_correct for result in commands),
        ran_twice=sum(count > 1 for count in runs.values()),
        false_not_run=sum(runs[result.drawn.nonce] > 0 for result in reported_not_run),
        lost=sum(result.is_correct and runs[result.drawn.nonce] == 0 for result in commands),
        unknown=sum(r.refusal is not None and r.refusal.run == "unknown" for r in commands),
    )
