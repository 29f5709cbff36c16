"""Judge a version on trial by its answers, beside those of the version in force.

Both versions are compared on the same routes and over the same seconds, so that what a
route's requests, the load or the network bring about does not count against the version.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from statistics import fmean

from troutstand.core.rollouts.outcomes import OutcomeCounts, Tallies, Tally, TallyKey

# How much more likely the answers must be if the versions differ than if they do not, for a
# roll-back at any moment of the trial. Of 3,200 drawn bad versions 59 were completed, of
# 1,600 good ones 112 rolled back, 99 of them beside unlike hardware; 12 to 18 answers were
# lost before the verdict on versions bad from the start. A fixed difference of 0.15 in
# rates had 80 and 67 such errors and lost 13 to 43 answers (`benchmarks/rollouts.py`).
_BAD_ODDS = 1000.0
# The same at the end of the trial, where a version that is under suspicion is not completed.
_SUSPECT_ODDS = 50.0
# A difference in rates below this is not held against a version (chosen, not measured):
# rolling back costs callers more than one answer in thirty.
_LEAST_DIFFERENCE = 0.03
# Answers that a version must have given before anything is concluded (chosen, not
# measured): the first few come from only some of its targets.
MIN_RESPONSES = 20
# Seconds over which the last answers are judged apart from all of them.
_LAST_S = 3.0
# The name under which the answers of all routes are judged together.
ALL_ROUTES = "*"


class Verdict(Enum):
    """Say what the answers show of a version."""

    BAD = "bad"
    SUSPECT = "suspect"
    GOOD = "good"
    UNPROVEN = "unproven"


@dataclass(frozen=True)
class Evaluation:
    """Tell a verdict and the counts that led to it."""

    verdict: Verdict
    detail: str


@dataclass(frozen=True)
class Rate:
    """Count answers and the bad ones among them."""

    responses: float
    bad: float

    @property
    def share(self) -> float:
        """Return the share of bad answers; 0 where there are none at all."""
        return self.bad / self.responses if self.responses else 0.0


@dataclass(frozen=True)
class Comparison:
    """Hold one route's rates of one kind of bad answer."""

    route: str
    kind: str
    trial: Rate
    in_force: Rate
    odds: float


# Returns how likely it is that the first rate is worse than the second, as odds.
CompareRates = Callable[[Rate, Rate], float]


def evaluate(
    evidence: OutcomeCounts, now_s: float, compare: CompareRates | None = None
) -> Evaluation:
    """Judge a version by all its answers and by its last ones.

    Parameters
    ----------
    compare
        Weighs two rates against each other; by default as odds.
    """
    compare = compare or compute_bayes_factor
    whole = evidence.collect()
    comparisons = list_comparisons(whole, compare)
    comparisons += list_comparisons(evidence.collect_since(now_s - _LAST_S), compare)
    answers = sum(tally.responses for key, tally in whole.items() if key.is_trial)
    worst = max(comparisons, key=lambda c: c.odds, default=None)
    if worst is None:
        return Evaluation(Verdict.UNPROVEN, f"answers={answers}")
    return Evaluation(_find_verdict(worst.odds, answers), _describe(worst, answers))


def _find_verdict(odds: float, answers: int) -> Verdict:
    if answers < MIN_RESPONSES:
        return Verdict.UNPROVEN
    if odds >= _BAD_ODDS:
        return Verdict.BAD
    return Verdict.SUSPECT if odds >= _SUSPECT_ODDS else Verdict.GOOD


def _describe(worst: Comparison, answers: int) -> str:
    return (
        f"answers={answers} worst_route={worst.route} kind={worst.kind} odds={worst.odds:.3g}"
        f" trial={worst.trial.bad:.0f}/{worst.trial.responses:.0f}"
        f" in_force={worst.in_force.bad:.0f}/{worst.in_force.responses:.0f}"
    )


def list_comparisons(tallies: Tallies, compare: CompareRates) -> list[Comparison]:
    """Compare the versions on each route and on all routes together."""
    routes = {key.route for key in tallies if key.is_trial}
    found: list[Comparison] = []
    for route in [*sorted(routes), ALL_ROUTES]:
        trial = _collect_targets(tallies, route, is_trial=True)
        in_force = _collect_targets(tallies, route, is_trial=False)
        if not trial or not in_force:
            continue
        found.extend(_compare_kind(route, kind, trial, in_force, compare) for kind in _KINDS)
    return found


@dataclass(frozen=True)
class Kind:
    """Name a kind of bad answer, how it is counted, and the share of targets left out."""

    name: str
    count: Callable[[Tally], int]
    left_out: float


# A version that is bad is so at all its targets. The worst targets of both versions are
# left out, so that a target that fails by itself neither rolls a good version back nor
# hides a bad one: left out of the version on trial alone, 40 of 80 bad versions beside
# such targets were completed, left out of both 6 of 200. Hardware of two generations makes
# more targets slow than fail: with a third left out for slowness as well, 29 of 80 good
# versions beside such targets were rolled back, with a half 22 of 200 (`benchmarks/rollouts.py`).
_KINDS = (
    Kind("failed", lambda tally: tally.failed, 1.0 / 3.0),
    Kind("slow", lambda tally: tally.slow, 1.0 / 2.0),
)


def _collect_targets(tallies: Tallies, route: str, is_trial: bool) -> list[Tally]:
    """Sum up the answers of each target."""
    by_target: dict[str, Tally] = {}
    for key, tally in tallies.items():
        if key.is_trial is is_trial and _is_on(key, route):
            by_target.setdefault(key.target, Tally()).add(tally)
    return list(by_target.values())


def _is_on(key: TallyKey, route: str) -> bool:
    return route in (ALL_ROUTES, key.route)


def _compare_kind(
    route: str,
    kind: Kind,
    trial: list[Tally],
    in_force: list[Tally],
    compare: CompareRates,
) -> Comparison:
    trial_rates = _leave_out_worst(trial, kind)
    other_rates = _leave_out_worst(in_force, kind)
    effect = measure_design_effect(other_rates, trial_rates)
    summed = _sum(trial_rates)
    # Each target of the version in force counts alike, as in the trial's sample, though
    # fast targets get more requests.
    total = _sum(other_rates)
    evened = Rate(total.responses, total.responses * fmean(rate.share for rate in other_rates))
    odds = compare(_scale(summed, 1.0 / effect), _scale(evened, 1.0 / effect))
    return Comparison(route, kind.name, summed, evened, odds)


def _leave_out_worst(tallies: list[Tally], kind: Kind) -> list[Rate]:
    rates = [Rate(tally.responses, kind.count(tally)) for tally in tallies]
    left_out = math.ceil(kind.left_out * len(rates)) if len(rates) > 1 else 0
    ordered = sorted(rates, key=lambda rate: rate.share)
    return ordered[: len(ordered) - left_out]


def _sum(rates: list[Rate]) -> Rate:
    return Rate(sum(rate.responses for rate in rates), sum(rate.bad for rate in rates))


def _scale(rate: Rate, factor: float) -> Rate:
    return Rate(rate.responses * factor, rate.bad * factor)


def measure_design_effect(in_force: list[Rate], trial: list[Rate]) -> float:
    """Return by how much fewer independent answers there are than were counted.

    Targets of one version may differ, such as hardware of two generations does: then the
    answers of one target tell little more than one answer. It follows from how far the
    targets of the version in force lie apart, beyond what chance brings (Kish's design
    effect for clusters).
    """
    known = [rate for rate in in_force if rate.responses]
    mean = fmean(rate.share for rate in known) if known else 0.0
    spread = mean * (1.0 - mean)
    if len(known) < 2 or spread <= 0.0:
        return 1.0
    total = sum(rate.responses for rate in known)
    between = sum(rate.responses * (rate.share - mean) ** 2 for rate in known) / total
    by_chance = spread * len(known) / total
    correlation = min(1.0, max(0.0, between - by_chance) / spread)
    per_target = sum(rate.responses for rate in trial) / max(1, len(trial))
    return 1.0 + max(0.0, per_target - 1.0) * correlation


def compute_bayes_factor(trial: Rate, in_force: Rate) -> float:
    """Return the odds that the trial's rate is the higher one (a Bayes factor).

    Rates of their own are weighed against one rate for both, each drawn evenly from 0 to 1.
    For two such rates alone the chance that the odds ever reach a bound, although the rates
    are the same, is at most one over that bound. With targets left out by their answers,
    several routes and the last seconds judged apart that is no bound any more.
    """
    if trial.share < in_force.share + _LEAST_DIFFERENCE:
        return 0.0
    log_apart = _log_beta(trial) + _log_beta(in_force)
    together = Rate(trial.responses + in_force.responses, trial.bad + in_force.bad)
    return math.exp(min(700.0, log_apart - _log_beta(together)))


def _log_beta(rate: Rate) -> float:
    """Return the logarithm of how likely counts are under a rate drawn evenly from 0 to 1."""
    good = rate.responses - rate.bad
    return math.lgamma(rate.bad + 1.0) + math.lgamma(good + 1.0) - math.lgamma(rate.responses + 2.0)
