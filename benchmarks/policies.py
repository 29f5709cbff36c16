"""Compare the default policy with the baselines on both mixes, three seeds each."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from benchmarks.report import report
from benchmarks.virtual import Outcome, Setup, run_setup
from troutstand.core.policy import PolicyName
from troutstand.testing.mixes import DONOR, IRRIGATION, Mix

if TYPE_CHECKING:
    from collections.abc import Callable

_SEEDS = (1, 2, 3)


def _spread(values: list[float]) -> str:
    return f"{min(values):.4g}..{max(values):.4g}"


def _report_all(mix: Mix, load: float, policy: PolicyName, outcomes: list[Outcome]) -> None:
    def put(name: str, read: Callable[[Outcome], float], unit: str) -> None:
        values = [read(outcome) for outcome in outcomes]
        report(
            "policies",
            name,
            statistics.mean(values),
            unit,
            mix=mix.name,
            load=load,
            policy=policy.value,
            seeds=len(values),
            spread=_spread(values),
        )

    put("good share, all tiers", lambda o: o.good_share, "share")
    for index, tier in enumerate(outcomes[0].tiers):
        name = f"good share, {tier.tier}"
        put(name, lambda o, i=index: o.tiers[i].good / max(1, o.tiers[i].offered), "share")
    put("first token, 95th percentile", lambda o: o.first_p95_s, "s")
    put("wasted prefill", lambda o: o.waste_share, "share")
    put("tier inversions", lambda o: float(o.inversions), "count")


def run(quick: bool) -> None:
    """Run every policy."""
    seeds = _SEEDS[:1] if quick else _SEEDS
    duration_s = 15.0 if quick else 40.0
    for mix in (IRRIGATION, DONOR):
        for load in (0.8, 2.0):
            for policy in PolicyName:
                setups = [Setup(mix, seed, load, policy, duration_s=duration_s) for seed in seeds]
                _report_all(mix, load, policy, [run_setup(setup) for setup in setups])


def run_slowdown(quick: bool) -> None:
    """Slow one engine fivefold, and report the scores before and after."""
    for policy in (PolicyName.EARLIEST_FINISH, PolicyName.LEAST_LOADED, PolicyName.PREFIX_HASH):
        for name, since_s, until_s in (("before", 0, 15), ("after", 15, 25), ("later", 25, 40)):
            setup = Setup(IRRIGATION, 1, 0.8, policy, slow_at_s=15.0)
            outcome = run_setup(setup, since_s, until_s)
            share = outcome.good_share
            report("slowdown", f"good share, {name}", share, "share", policy=policy.value, seed=1)
