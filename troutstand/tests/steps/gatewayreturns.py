"""Check what counts of a limit while simulated gateways end and start again."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.gatewayregistry import GatewayRegistry, ProbeResult
from troutstand.core.ids import ProcessId
from troutstand.generated.messages import AttachAsk
from troutstand.testing.returnsimulation import ReturnPlan, ReturnSimulation

if TYPE_CHECKING:
    from behave.runner import Context

_GATEWAY = ProcessId("g0")
_HEARD_S = 100.0
_START_S = 0.2


@given(
    "simulated returns of {away:d} of {gateways:d} gateways with seeds from {first:d} to {last:d}"
)
def plan_returns(context: Context, away: int, gateways: int, first: int, last: int) -> None:
    context.plans = [ReturnPlan(seed, gateways, away) for seed in range(first, last + 1)]


def _run_all(context: Context, spread_s: float, start_s: float, is_cut: bool) -> None:
    context.simulations = [
        ReturnSimulation(replace(plan, spread_s=spread_s, start_s=start_s, is_cut=is_cut))
        for plan in context.plans
    ]
    for simulation in context.simulations:
        simulation.run()


@when("they return within {spread_s:g} s, and take {start_s:g} s from listening to a heartbeat")
def run_returns(context: Context, spread_s: float, start_s: float) -> None:
    _run_all(context, spread_s, start_s, is_cut=False)


@when("they return within {spread_s:g} s, and their hosts answered nothing")
def run_cut_returns(context: Context, spread_s: float) -> None:
    _run_all(context, spread_s, _START_S, is_cut=True)


@then("no usage counts that nobody counted")
def check_none_assumed(context: Context) -> None:
    assumed = [round(simulation.assumed) for simulation in context.simulations]
    assert not any(assumed), f"{assumed} tokens by seed"


@then("usage counts that nobody counted")
def check_assumed(context: Context) -> None:
    assumed = [round(simulation.assumed) for simulation in context.simulations]
    assert all(assumed), f"{assumed} tokens by seed"


@then("none of the requests is refused")
def check_refused(context: Context) -> None:
    for simulation in context.simulations:
        refused = [round(at_s, 2) for at_s in simulation.refused_s]
        summary = f"{len(refused)} of {simulation.asked} refused, {refused[:5]}"
        assert not refused, f"seed {simulation.plan.seed}: {summary}"


def _record_heartbeat(context: Context, incarnation: str, echo: int, now_s: float) -> None:
    ask = AttachAsk(_GATEWAY, incarnation, is_attached=True, asks="scheduler", echo=echo)
    context.registry.record_heartbeat(_GATEWAY, ask, now_s)
    context.echo = context.registry.number_reply(_GATEWAY, now_s)


@given("a gateway that was last heard {silent_s:g} s ago and whose host refuses connections")
def use_ended_gateway(context: Context, silent_s: float) -> None:
    context.registry = GatewayRegistry()
    _record_heartbeat(context, "one", 0, _HEARD_S - 0.1)
    context.early_echo = context.echo
    _record_heartbeat(context, "one", context.echo, _HEARD_S)
    context.now_s = _HEARD_S + silent_s
    state = context.registry.find(_GATEWAY)
    refused = ProbeResult.REFUSED
    args = (state.last_heard_s, refused, context.now_s, context.now_s)
    assert context.registry.record_probe(_GATEWAY, *args)


@when("a heartbeat that it sent before arrives, and the gateway starts again")
def receive_late_heartbeat(context: Context) -> None:
    _record_heartbeat(context, "one", context.early_echo, context.now_s + 0.1)
    _record_heartbeat(context, "two", 0, context.now_s + 0.3)


@then("it may have decided alone for {absent_s:g} s at least")
def check_absence(context: Context, absent_s: float) -> None:
    assert context.registry.get_absence_s(_GATEWAY) >= absent_s
