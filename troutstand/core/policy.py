"""Choose the target of a request.

Policies share one interface, so that the baselines run behind the same
scheduler as the policy in use (issue 5).
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from troutstand.core.prefix import Prefixes
    from troutstand.core.targetestimate import TargetEstimate
    from troutstand.generated.messages import PlacementAsk


# A prompt token that must be computed also keeps the target from others; it
# counts this many times beyond its own delay. Measured on both mixes at 0.8 and
# 2.0 load: 0, 1, 3 and 10 were tried.
COMPUTE_WEIGHT = 3.0


class PolicyName(Enum):
    """Name the policies that can be measured."""

    EARLIEST_FINISH = "earliest-finish"
    ROUND_ROBIN = "round-robin"
    LEAST_LOADED = "least-loaded"
    TWO_CHOICES = "two-choices"
    PREFIX_HASH = "hash of the prefix"


@dataclass(frozen=True)
class Choice:
    """Tell the chosen target and what is expected of it."""

    target: TargetEstimate
    wait_s: float
    first_token_s: float
    finish_s: float
    uncached_tokens: int

    @property
    def cost_s(self) -> float:
        """Return what the choice costs this request and those behind it."""
        rate = self.target.prefill_tokens_per_s
        return self.finish_s + COMPUTE_WEIGHT * self.uncached_tokens / rate


def _estimate_choice(
    target: TargetEstimate, ask: PlacementAsk, prefixes: Prefixes, now_s: float
) -> Choice:
    uncached = target.estimate_uncached(ask, prefixes)
    wait_s = target.estimate_wait_s(now_s)
    first_token_s = wait_s + target.estimate_prefill_s(uncached, now_s)
    finish_s = first_token_s + target.estimate_decode_s(ask.answer_tokens)
    return Choice(target, wait_s, first_token_s, finish_s, uncached)


def _count_load(target: TargetEstimate) -> float:
    return len(target.running) / target.row.slots


class Policy:
    """Choose among the targets that may take a request at all.

    Parameters
    ----------
    seed
        Fixes the random choices.
    """

    def __init__(self, name: PolicyName, seed: int) -> None:
        self.name = name
        self._random = random.Random(seed)
        self._turn = 0

    def choose(
        self,
        targets: list[TargetEstimate],
        ask: PlacementAsk,
        prefixes: Prefixes,
        now_s: float,
    ) -> Choice:
        """Return the best target; its wait may not be over yet."""
        if self.name is PolicyName.EARLIEST_FINISH:
            choices = [_estimate_choice(target, ask, prefixes, now_s) for target in targets]
            return min(choices, key=lambda choice: choice.cost_s)
        target = self._choose_baseline(targets, ask, prefixes)
        return _estimate_choice(target, ask, prefixes, now_s)

    def _choose_baseline(
        self, targets: list[TargetEstimate], ask: PlacementAsk, prefixes: Prefixes
    ) -> TargetEstimate:
        match self.name:
            case PolicyName.ROUND_ROBIN:
                self._turn += 1
                return targets[self._turn % len(targets)]
            case PolicyName.LEAST_LOADED:
                return min(targets, key=_count_load)
            case PolicyName.TWO_CHOICES:
                pair = self._random.sample(targets, min(2, len(targets)))
                return min(pair, key=_count_load)
            case _:
                return _choose_by_hash(targets, ask, prefixes)


def _choose_by_hash(
    targets: list[TargetEstimate], ask: PlacementAsk, prefixes: Prefixes
) -> TargetEstimate:
    key = prefixes.blocks[0] if prefixes.blocks else ask.request.encode()
    return max(targets, key=lambda target: xxhash.xxh3_64_intdigest(key + target.row.name.encode()))
