"""Evaluate a canary version by its responses, compared with the version in force.

Both versions are compared on the same routes over the same time, so that effects of the
requests, the load or the network cancel out.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from statistics import fmean

from troutstand.core.rollouts.outcomes import OutcomeCounts, Tallies, Tally, TallyKey

# Bayes factor from which a canary is rolled back at any time. In simulations about 2 in 100
# bad versions are completed and 7 in 100 good ones rolled back, most beside unlike hardware.
_BAD_ODDS = 1000.0
# Bayes factor from which a canary is not completed at the deadline.
_SUSPECT_ODDS = 50.0
# Smaller differences between the rates are ignored: a rollback costs callers more than one
# response in thirty.
_MIN_RATE_DIFFERENCE = 0.03
# Responses needed for a verdict; the first few come from only some of the canary's targets.
MIN_RESPONSES = 20
# The most recent responses are evaluated on their own over this window.
_RECENT_WINDOW_S = 3.0
# The route name under which the responses of all routes are pooled.
ALL_ROUTES = "*"


class Verdict(Enum):
    """Classify a canary version by its responses."""

    BAD = "bad"
    SUSPECT = "suspect"
    GOOD = "good"
    UNPROVEN = "unproven"


@dataclass(frozen=True)
class Evaluation:
    """Hold a verdict and the counts that led to it."""

    verdict: Verdict
    detail: str


@dataclass(frozen=True)
class Rate:
    """Count responses and the bad ones among them."""

    responses: float
    bad: float

    @property
    def share(self) -> float:
        """Return the share of bad responses; 0 if there are no responses."""
        return self.bad / self.responses if self.responses else 0.0


@dataclass(frozen=True)
class Comparison:
    """Compare the rates of one kind of bad response on one route."""

    route: str
    kind: str
    canary: Rate
    baseline: Rate
    odds: float


# Returns the odds that the first rate is higher than the second.
CompareRates = Callable[[Rate, Rate], float]


def evaluate(
    outcomes: OutcomeCounts, now_s: float, compare: CompareRates | None = None
) -> Evaluation:
    """Evaluate a canary by all its responses and by the most recent ones.

    Parameters
    ----------
    compare
        Compares two rates; by default `compute_bayes_factor`.
    """
    compare = compare or compute_bayes_factor
    total_tallies = outcomes.collect()
    comparisons = compare_versions(total_tallies, compare)
    comparisons += compare_versions(outcomes.collect_since(now_s - _RECENT_WINDOW_S), compare)
    responses = sum(tally.responses for key, tally in total_tallies.items() if key.is_canary)
    worst = max(comparisons, key=lambda c: c.odds, default=None)
    if worst is None:
        return Evaluation(Verdict.UNPROVEN, f"answers={responses}")
    return Evaluation(_find_verdict(worst.odds, responses), _describe(worst, responses))


def _find_verdict(odds: float, responses: int) -> Verdict:
    if responses < MIN_RESPONSES:
        return Verdict.UNPROVEN
    if odds >= _BAD_ODDS:
        return Verdict.BAD
    return Verdict.SUSPECT if odds >= _SUSPECT_ODDS else Verdict.GOOD


def _describe(worst: Comparison, responses: int) -> str:
    return (
        f"answers={responses} worst_route={worst.route} kind={worst.kind} odds={worst.odds:.3g}"
        f" trial={worst.canary.bad:.0f}/{worst.canary.responses:.0f}"
        f" in_force={worst.baseline.bad:.0f}/{worst.baseline.responses:.0f}"
    )


def compare_versions(tallies: Tallies, compare: CompareRates) -> list[Comparison]:
    """Compare the versions on each route and on all routes pooled."""
    routes = {key.route for key in tallies if key.is_canary}
    found: list[Comparison] = []
    for route in [*sorted(routes), ALL_ROUTES]:
        canary = _collect_targets(tallies, route, is_canary=True)
        baseline = _collect_targets(tallies, route, is_canary=False)
        if not canary or not baseline:
            continue
        found.extend(_compare_kind(route, kind, canary, baseline, compare) for kind in _KINDS)
    return found


@dataclass(frozen=True)
class FailureKind:
    """Describe a kind of bad response.

    Parameters
    ----------
    excluded_share
        The share of targets, worst first, that the comparison excludes.
    """

    name: str
    count: Callable[[Tally], int]
    excluded_share: float


# A bad version is bad at all its targets. The worst targets of both versions are excluded,
# so that one faulty target neither rolls back a good version nor hides a bad one. Mixed
# hardware slows more targets than it makes fail, so slowness excludes more of them.
_KINDS = (
    FailureKind("failed", lambda tally: tally.failed, 1.0 / 3.0),
    FailureKind("slow", lambda tally: tally.slow, 1.0 / 2.0),
)


def _collect_targets(tallies: Tallies, route: str, is_canary: bool) -> list[Tally]:
    """Sum the tallies of each target."""
    by_target: dict[str, Tally] = {}
    for key, tally in tallies.items():
        if key.is_canary is is_canary and _matches_route(key, route):
            by_target.setdefault(key.target, Tally()).add(tally)
    return list(by_target.values())


def _matches_route(key: TallyKey, route: str) -> bool:
    return route in (ALL_ROUTES, key.route)


def _compare_kind(
    route: str,
    kind: FailureKind,
    canary: list[Tally],
    baseline: list[Tally],
    compare: CompareRates,
) -> Comparison:
    canary_rates = _exclude_worst(canary, kind)
    baseline_rates = _exclude_worst(baseline, kind)
    effect = compute_design_effect(baseline_rates, canary_rates)
    canary_total = _sum(canary_rates)
    # Canary samples are spread evenly over the targets, so the targets of the baseline are
    # weighted equally too, although fast ones serve more requests.
    baseline_total = _sum(baseline_rates)
    weighted_total = Rate(
        baseline_total.responses,
        baseline_total.responses * fmean(rate.share for rate in baseline_rates),
    )
    odds = compare(_scale(canary_total, 1.0 / effect), _scale(weighted_total, 1.0 / effect))
    return Comparison(route, kind.name, canary_total, weighted_total, odds)


def _exclude_worst(tallies: list[Tally], kind: FailureKind) -> list[Rate]:
    rates = [Rate(tally.responses, kind.count(tally)) for tally in tallies]
    excluded = math.ceil(kind.excluded_share * len(rates)) if len(rates) > 1 else 0
    ordered = sorted(rates, key=lambda rate: rate.share)
    return ordered[: len(ordered) - excluded]


def _sum(rates: list[Rate]) -> Rate:
    return Rate(sum(rate.responses for rate in rates), sum(rate.bad for rate in rates))


def _scale(rate: Rate, factor: float) -> Rate:
    return Rate(rate.responses * factor, rate.bad * factor)


def compute_design_effect(baseline: list[Rate], canary: list[Rate]) -> float:
    """Return the factor by which correlated responses reduce the effective sample size.

    Targets of one version may differ, for example by hardware, so responses of one target
    are not independent. Uses Kish's design effect for clusters, from the variance between
    the baseline's targets beyond chance.
    """
    sampled = [rate for rate in baseline if rate.responses]
    mean = fmean(rate.share for rate in sampled) if sampled else 0.0
    variance = mean * (1.0 - mean)
    if len(sampled) < 2 or variance <= 0.0:
        return 1.0
    total = sum(rate.responses for rate in sampled)
    between_variance = sum(rate.responses * (rate.share - mean) ** 2 for rate in sampled) / total
    chance_variance = variance * len(sampled) / total
    correlation = min(1.0, max(0.0, between_variance - chance_variance) / variance)
    per_target = sum(rate.responses for rate in canary) / max(1, len(canary))
    return 1.0 + max(0.0, per_target - 1.0) * correlation


def compute_bayes_factor(canary: Rate, baseline: Rate) -> float:
    """Return the Bayes factor for the canary having a higher rate than the baseline.

    Compares separate rates with one common rate, each under a uniform prior. For one
    comparison, the chance that equal rates ever reach a bound is at most its reciprocal;
    this does not hold across excluded targets, several routes and two windows.
    """
    if canary.share < baseline.share + _MIN_RATE_DIFFERENCE:
        return 0.0
    log_separate = _log_beta(canary) + _log_beta(baseline)
    pooled = Rate(canary.responses + baseline.responses, canary.bad + baseline.bad)
    return math.exp(min(700.0, log_separate - _log_beta(pooled)))


def _log_beta(rate: Rate) -> float:
    """Return the log marginal likelihood of the counts under a uniform prior."""
    good = rate.responses - rate.bad
    return math.lgamma(rate.bad + 1.0) + math.lgamma(good + 1.0) - math.lgamma(rate.responses + 2.0)
