"""Choose the target of a request.

Policies share one interface, so that baselines run in the same scheduler as the default.
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


# Additional weight of prefill time in the cost, since it also delays other requests.
PREFILL_WEIGHT = 3.0


class PolicyName(Enum):
    """Name the placement policies."""

    EARLIEST_FINISH = "earliest-finish"
    ROUND_ROBIN = "round-robin"
    LEAST_LOADED = "least-loaded"
    TWO_CHOICES = "two-choices"
    PREFIX_HASH = "hash of the prefix"


@dataclass(frozen=True)
class Choice:
    """Hold a candidate target with its expected times."""

    target: TargetEstimate
    wait_s: float
    first_token_s: float
    finish_s: float
    uncached_tokens: int

    @property
    def cost_s(self) -> float:
        """Return the cost to this request and to those behind it, in seconds."""
        rate = self.target.prefill_tokens_per_s
        return self.finish_s + PREFILL_WEIGHT * self.uncached_tokens / rate


def _estimate_choice(
    target: TargetEstimate, ask: PlacementAsk, prefixes: Prefixes, now_s: float
) -> Choice:
    uncached = target.estimate_uncached(ask, prefixes)
    wait_s = target.estimate_wait_s(now_s)
    first_token_s = wait_s + target.estimate_prefill_s(uncached, now_s)
    finish_s = first_token_s + target.estimate_decode_s(ask.answer_tokens)
    return Choice(target, wait_s, first_token_s, finish_s, uncached)


def _get_utilization(target: TargetEstimate) -> float:
    return len(target.running) / target.row.slots


class Policy:
    """Choose among the eligible targets of a request.

    Parameters
    ----------
    seed
        Seed of the random choices.
    """

    def __init__(self, name: PolicyName, seed: int) -> None:
        self.name = name
        self._random = random.Random(seed)
        self._next_index = 0

    def choose(
        self,
        targets: list[TargetEstimate],
        ask: PlacementAsk,
        prefixes: Prefixes,
        now_s: float,
    ) -> Choice:
        """Return the best target, which may not have a free slot yet."""
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
                self._next_index += 1
                return targets[self._next_index % len(targets)]
            case PolicyName.LEAST_LOADED:
                return min(targets, key=_get_utilization)
            case PolicyName.TWO_CHOICES:
                pair = self._random.sample(targets, min(2, len(targets)))
                return min(pair, key=_get_utilization)
            case _:
                return _choose_by_hash(targets, ask, prefixes)


def _choose_by_hash(
    targets: list[TargetEstimate], ask: PlacementAsk, prefixes: Prefixes
) -> TargetEstimate:
    key = prefixes.blocks[0] if prefixes.blocks else ask.request.encode()
    return max(targets, key=lambda target: xxhash.xxh3_64_intdigest(key + target.row.name.encode()))
