"""Check the windows of simulated sites."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.testing.limitload import LimitPlan
from troutstand.testing.limitsimulation import (
    POWER_FAULTS,
    PROCESS_FAULTS,
    LimitSimulation,
    SimulatedFault,
    SimulationPlan,
)

if TYPE_CHECKING:
    from behave.runner import Context

_LARGE_SITE = 50
# Seconds and tokens of a large site's simulation, whose steps take longer.
_LARGE_LENGTH_S = 20.0
_SMALL_TOKENS = 60.0
# Mean seconds between two faults that leave time to recover.
_LONG_INTERVAL_S = 15.0


@given("simulations of {gateways:d} gateways with seeds from {first:d} to {last:d}")
def plan_simulations(context: Context, gateways: int, first: int, last: int) -> None:
    context.plans = [SimulationPlan(seed, gateways) for seed in range(first, last + 1)]
    if gateways > _LARGE_SITE:
        context.plans = [
            replace(plan, length_s=_LARGE_LENGTH_S, mean_tokens=_SMALL_TOKENS)
            for plan in context.plans
        ]


def _parse_faults(fault: str) -> tuple[SimulatedFault, ...]:
    return () if fault == "nothing fails" else (SimulatedFault(fault),)


def _run_all(context: Context, faults: tuple[SimulatedFault, ...]) -> None:
    context.simulations = [LimitSimulation(replace(p, faults=faults)) for p in context.plans]
    context.fullest = [simulation.run() for simulation in context.simulations]


@when("{fault} again and again")
def run_one_fault(context: Context, fault: str) -> None:
    _run_all(context, _parse_faults(fault))


@when("faults of all kinds follow one another")
def run_all_faults(context: Context) -> None:
    _run_all(context, PROCESS_FAULTS)


@when("{fault} while it asks for {rate:g} of its rate")
def run_below_limit(context: Context, fault: str, rate: float) -> None:
    context.plans = [
        replace(
            plan,
            demand=rate,
            again_share=0.0,
            fault_interval_s=_LONG_INTERVAL_S,
            is_balanced=True,
        )
        for plan in context.plans
    ]
    _run_all(context, _parse_faults(fault))


@then("none of its requests is refused from {settle_s:g} s after the last process is back")
def check_served(context: Context, settle_s: float) -> None:
    for simulation in context.simulations:
        settled = [a for a in simulation.answers if a.returned_s >= settle_s]
        refused = [round(a.at_s, 1) for a in settled if a.is_refused]
        summary = f"seed {simulation.plan.seed}: {len(refused)} of {len(settled)} refused"
        assert settled, summary
        assert not refused, f"{summary} at {refused[:10]} s, {simulation.history}"


@when("losses of power of all kinds follow one another")
def run_losses(context: Context) -> None:
    _run_all(context, POWER_FAULTS)


@then(
    "at least {share:g} of its requests are served "
    "from {first_s:g} to {last_s:g} s after the last process is back"
)
def check_share(context: Context, share: float, first_s: float, last_s: float) -> None:
    for simulation in context.simulations:
        answers = [a for a in simulation.answers if first_s <= a.returned_s < last_s]
        served = sum(not answer.is_refused for answer in answers)
        assert served >= share * len(answers), (
            f"seed {simulation.plan.seed}: {served} of {len(answers)}, {simulation.history}"
        )


@then("none of its requests is refused")
def check_all_served(context: Context) -> None:
    check_served(context, 0.0)


@then("no window of them holds more than the limit and its tolerated excess")
def check_windows(context: Context) -> None:
    most = LimitPlan().max_tokens
    over = [
        f"seed {simulation.plan.seed}: {fullest.tokens / most:.3f} "
        f"from {fullest.start_s:.2f} s on, {simulation.history}"
        for simulation, fullest in zip(context.simulations, context.fullest, strict=True)
        if fullest.tokens > most
    ]
    assert not over, "\n".join(over)


@then("each of them runs at least {share:g} of what the limit alone allows")
def check_used(context: Context, share: float) -> None:
    used = [simulation.get_used_share() for simulation in context.simulations]
    assert min(used) >= share, used
