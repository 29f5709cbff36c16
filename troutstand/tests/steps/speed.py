"""Feed times to first byte to the estimate of prefill speeds."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.speed import PrefillFit, PrefillSpeed

if TYPE_CHECKING:
    from behave.runner import Context

_PRIOR = PrefillSpeed(constant_s=0.03, per_token_s=2e-5)
_SEED = 20261202
_THOUSAND = 1000.0


@given("a target that takes {constant:g} ms and {more:g} ms a 1000 tokens until its first byte")
def use_speed(context: Context, constant: float, more: float) -> None:
    context.truth = PrefillSpeed(constant / _THOUSAND, more / _THOUSAND / _THOUSAND)
    context.fit = PrefillFit(_PRIOR)


@when("it has answered {count:d} requests of {least:d} to {most:d} tokens")
def answer(context: Context, count: int, least: int, most: int) -> None:
    luck = random.Random(_SEED)
    for _ in range(count):
        tokens = luck.uniform(least, most)
        context.fit.add_sample(tokens, context.truth.estimate(tokens) * luck.uniform(0.95, 1.05))


@then("a prompt of {tokens:d} tokens is expected to take {ms:d} ms, within {share:d} in 100")
def check_estimate(context: Context, tokens: int, ms: int, share: int) -> None:
    expected_ms = _THOUSAND * context.fit.speed.estimate(tokens)
    assert abs(expected_ms - ms) <= ms * share / 100, expected_ms


@then("a prompt of {tokens:d} tokens is expected to take what the prior says")
def check_prior(context: Context, tokens: int) -> None:
    assert context.fit.speed.estimate(tokens) == _PRIOR.estimate(tokens)


@then("a longer prompt is still expected to take longer")
def check_slope(context: Context) -> None:
    assert context.fit.speed.estimate(8000) > context.fit.speed.estimate(200)
