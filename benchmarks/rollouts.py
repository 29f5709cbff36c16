"""Compare canary analyses over many random rollouts on a virtual clock.

Each rollout lasts 12 s at 300 requests/s over three routes; a twentieth of them goes to the
canary. The analysis runs every 0.25 s. A bad version that is not detected 2.5 s before the
end counts as a false completion, a good one that is rejected as a false rollback.
"""

from __future__ import annotations

import argparse
import math
import random
from dataclasses import dataclass, field
from statistics import median

from troutstand.core.rollouts.analysis import (
    CompareRates,
    Rate,
    Verdict,
    compute_bayes_factor,
    evaluate,
)
from troutstand.core.rollouts.outcomes import Outcome, OutcomeCounts

_DURATION_S = 12.0
_DECIDE_S = 9.5
_STEP_S = 0.25
_PER_S = 300.0
_TRIAL_SHARE = 0.05
_ROUTES = {"rulings": 0.25, "summaries": 0.35, "advice": 0.40}
_BASE_FAILURES = {"rulings": 0.005, "summaries": 0.01, "advice": 0.06}
_BURST_S = (4.0, 8.0)
_THRESHOLD_ANSWERS = 20
_THRESHOLD_DIFFERENCE = 0.15


@dataclass
class Version:
    """Describe how a random version and the targets behave."""

    is_good: bool
    fails: float = 0.0
    slows: float = 0.0
    from_s: float = 0.0
    only_route: str = ""
    only_in_burst: bool = False
    # Share of the targets of both versions with faults of their own, and their failure rate.
    grey_share: float = 0.0
    grey_fails: float = 0.45
    # Share of the targets of both versions on slow hardware.
    slow_hardware: float = 0.0


@dataclass
class Sums:
    """Sum up the rollouts of one case."""

    wrong: int = 0
    verdict_s: list[float] = field(default_factory=list)
    lost: list[int] = field(default_factory=list)


def draw_cases(rng: random.Random) -> dict[str, Version]:
    """Return a random version of each case."""
    fails = rng.uniform(0.2, 0.7)
    slows = rng.uniform(0.3, 1.0)
    route = rng.choice(list(_ROUTES))
    return {
        "good": Version(True),
        "good, targets fail": Version(True, grey_share=0.15),
        "good, unlike hardware": Version(True, slow_hardware=1 / 3),
        "good, both": Version(True, slow_hardware=1 / 3, grey_share=0.15),
        "fails at once": Version(False, fails=fails),
        "fails, targets fail": Version(False, fails=fails, grey_share=0.15),
        "fails later": Version(False, fails=fails, from_s=rng.uniform(3.0, 7.0)),
        "fails on one route": Version(False, fails=fails, only_route=route),
        "fails in a burst": Version(False, fails=fails, only_in_burst=True),
        "slow at once": Version(False, slows=slows),
        "slow, unlike hardware": Version(False, slows=slows, slow_hardware=1 / 3),
        "slow later": Version(False, slows=slows, from_s=rng.uniform(3.0, 7.0)),
    }


@dataclass(frozen=True)
class DrawnTarget:
    """Describe one target's own failure rate and speed."""

    name: str
    fails: float
    is_slow: bool


def _draw_targets(rng: random.Random, version: Version, count: int, name: str) -> list[DrawnTarget]:
    return [
        DrawnTarget(
            f"{name}{number}",
            version.grey_fails if rng.random() < version.grey_share else 0.0,
            rng.random() < version.slow_hardware,
        )
        for number in range(count)
    ]


def _draw_outcome(
    rng: random.Random, version: Version, target: DrawnTarget, is_trial: bool, now_s: float
) -> Outcome:
    route = rng.choices(list(_ROUTES), list(_ROUTES.values()))[0]
    is_bad_now = (
        is_trial
        and not version.is_good
        and now_s >= version.from_s
        and version.only_route in ("", route)
        and (not version.only_in_burst or _BURST_S[0] <= now_s < _BURST_S[1])
    )
    fails = 1.0 - (1.0 - _BASE_FAILURES[route]) * (1.0 - target.fails)
    if is_bad_now:
        fails = 1.0 - (1.0 - fails) * (1.0 - version.fails)
    slow = target.is_slow or rng.random() < 0.02 or (is_bad_now and rng.random() < version.slows)
    return Outcome(route, target.name, is_trial, rng.random() < fails, slow)


def run_rollout(
    rng: random.Random, version: Version, targets: int, compare: CompareRates, sums: Sums
) -> None:
    """Run one rollout and add its result to the sums."""
    trial = _draw_targets(rng, version, targets, "new")
    in_force = _draw_targets(rng, version, targets, "old")
    evidence = OutcomeCounts(1)
    lost = 0
    now_s = 0.0
    verdict = Verdict.UNPROVEN
    while now_s < _DECIDE_S:
        now_s += _STEP_S
        rate = _PER_S * (2.0 if _BURST_S[0] <= now_s < _BURST_S[1] else 1.0)
        for number in range(int(rate * _STEP_S)):
            is_trial = number % int(1 / _TRIAL_SHARE) == 0
            target = rng.choice(trial if is_trial else in_force)
            outcome = _draw_outcome(rng, version, target, is_trial, now_s)
            evidence.record(outcome, now_s)
            lost += is_trial and (outcome.is_failed or outcome.is_slow)
        verdict = evaluate(evidence, now_s, compare).verdict
        if verdict is Verdict.BAD:
            break
    is_completed = verdict is Verdict.GOOD
    sums.wrong += is_completed is not version.is_good
    if verdict is Verdict.BAD:
        sums.verdict_s.append(max(0.0, now_s - version.from_s))
        sums.lost.append(lost)


def weigh_by_threshold(trial: Rate, in_force: Rate) -> float:
    """Return infinite odds if the canary's rate exceeds the baseline's by a fixed difference."""
    if trial.responses < _THRESHOLD_ANSWERS:
        return 0.0
    return math.inf if trial.share >= in_force.share + _THRESHOLD_DIFFERENCE else 0.0


def main() -> None:
    """Print the errors of each analysis, by case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--draws", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    analyses: dict[str, CompareRates] = {
        "odds": compute_bayes_factor,
        "threshold": weigh_by_threshold,
    }
    for targets in (15, 3):
        for name, compare in analyses.items():
            rng = random.Random(options.seed)
            found: dict[str, Sums] = {}
            for _ in range(options.draws):
                for case, version in draw_cases(rng).items():
                    run_rollout(rng, version, targets, compare, found.setdefault(case, Sums()))
            for case, sums in found.items():
                time_s = f"{median(sums.verdict_s):.2f} s" if sums.verdict_s else "-"
                lost = f"{median(sums.lost):.0f}" if sums.lost else "-"
                print(
                    f"targets={targets:2} way={name:9} {case:22} wrong={sums.wrong:3}"
                    f" of {options.draws} verdict={time_s} lost={lost}"
                )


if __name__ == "__main__":
    main()
