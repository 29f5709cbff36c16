"""Simulate a scheduler of which most gateways end and start again, on a virtual clock.

A workspace below its limit asks the gateways that are attached. What counts usage, shares and
absences is real; links, probes and targets are not.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from troutstand.core.gatewayregistry import GatewayRegistry, ProbeResult, compute_lease
from troutstand.core.ids import ProcessId
from troutstand.core.limits.assumedusage import MAX_RESTART_S, withdraw_assumed
from troutstand.core.limits.quota import QuotaBounds, Quotas, Verdict
from troutstand.generated.messages import AttachAsk, UsageSnapshot
from troutstand.routing.usagehandover import name_decider
from troutstand.testing.limitload import WORKSPACE, LimitPlan, draw_tokens

_STEP_S = 0.02
_HEARTBEAT_S = 0.1
_PROBE_PERIOD_S = 0.25
_FAILED_S = 12.0
_SETTLE_S = 10.0
_MEAN_TOKENS = 200.0


@dataclass(frozen=True)
class ReturnPlan:
    """Describe a simulation.

    Parameters
    ----------
    away
        Number of gateways that end.
    rate
        Tokens asked for, in multiples of the workspace's rate.
    away_s, spread_s
        Seconds until the first of them is back, and from then until the last.
    start_s
        Seconds between accepting connections and the first heartbeat.
    is_cut
        Whether the hosts answer nothing, as if the gateways were cut off.
    """

    seed: int
    gateways: int
    away: int
    rate: float = 0.8
    away_s: float = 3.0
    spread_s: float = 3.0
    start_s: float = 0.2
    is_cut: bool = False


@dataclass
class _Gateway:
    process: ProcessId
    incarnation: str = "0"
    is_first: bool = True
    echo: int = 0
    # When it accepts connections, and when it sends heartbeats.
    listens_s: float = 0.0
    beats_s: float = 0.0
    next_beat_s: float = 0.0


class ReturnSimulation:
    """Run one simulation and count the requests that the limit refuses."""

    def __init__(self, plan: ReturnPlan) -> None:
        self.plan = plan
        self.limit = LimitPlan()
        self.asked = 0
        self.refused_s: list[float] = []
        # Tokens that count although nobody counted them, at most.
        self.assumed = 0.0
        self._rng = random.Random(plan.seed)
        self._now_s = 0.0
        self._registry = GatewayRegistry()
        self._quotas = self._make_quotas("scheduler")
        self._gateways = [_Gateway(ProcessId(f"g{n}")) for n in range(plan.gateways)]

    def _make_quotas(self, name: str, is_private: bool = False) -> Quotas:
        limit = self.limit
        bounds = QuotaBounds(limit.window_s, limit.excess, limit.extra_tokens)
        quotas = Quotas(bounds, name, is_private)
        quotas.update_workspaces([limit.make_workspace()], self._now_s)
        return quotas

    def run(self) -> None:
        """Run the simulation."""
        plan = self.plan
        end_s = _FAILED_S + plan.away_s + plan.spread_s + plan.start_s + _SETTLE_S
        has_failed = False
        next_probe_s = next_ask_s = 0.0
        ask_period_s = _MEAN_TOKENS / (plan.rate * self.limit.tokens_per_s)
        while self._now_s < end_s:
            self._now_s += _STEP_S
            if self._now_s >= _FAILED_S and not has_failed:
                has_failed = True
                self._end_gateways()
            for gateway in self._gateways:
                if self._now_s >= max(gateway.beats_s, gateway.next_beat_s):
                    self._beat(gateway)
            if self._now_s >= next_probe_s:
                next_probe_s += _PROBE_PERIOD_S
                self._probe()
            self._update_share()
            while next_ask_s <= self._now_s:
                next_ask_s += ask_period_s
                self._ask()

    def _end_gateways(self) -> None:
        plan = self.plan
        for gateway in self._gateways[: plan.away]:
            gateway.incarnation, gateway.is_first, gateway.echo = "1", True, 0
            back_s = self._now_s + plan.away_s + self._rng.uniform(0.0, plan.spread_s)
            gateway.listens_s, gateway.beats_s = back_s, back_s + plan.start_s

    def _beat(self, gateway: _Gateway) -> None:
        now_s = self._now_s
        gateway.next_beat_s = now_s + _HEARTBEAT_S * self._rng.uniform(0.9, 1.1)
        usage = self._assume_usage(gateway) if gateway.is_first else []
        ask = AttachAsk(
            gateway.process,
            gateway.incarnation,
            is_attached=True,
            is_first=gateway.is_first,
            gateways=self.plan.gateways,
            asks="scheduler",
            echo=gateway.echo,
        )
        self._registry.record_heartbeat(gateway.process, ask, now_s)
        if gateway.is_first:
            absent_s = self._registry.get_absence_s(gateway.process)
            source = name_decider(gateway.process, gateway.incarnation)
            self._quotas.merge_usage(withdraw_assumed(usage, source, absent_s), now_s)
        gateway.is_first = False
        gateway.echo = self._registry.number_reply(gateway.process, now_s)

    def _assume_usage(self, gateway: _Gateway) -> list[UsageSnapshot]:
        """Return what a gateway that starts assumes that it used before."""
        absent_s = self._now_s - _FAILED_S
        if gateway.incarnation == "0" or absent_s <= MAX_RESTART_S:
            return []
        local = self._make_quotas(f"{gateway.process}|local", is_private=True)
        local.set_share(1.0 / self.plan.gateways)
        known = self._quotas.export_usage(self._now_s)
        source = name_decider(gateway.process, gateway.incarnation)
        return local.assume_usage(source, known, absent_s)

    def _probe(self) -> None:
        for process in self._registry.list_silent(self._now_s, compute_lease(_HEARTBEAT_S)):
            state = self._registry.find(process)
            if state is not None:
                result = self._answer_probe(process)
                heard_s = state.last_heard_s
                self._registry.record_probe(process, heard_s, result, self._now_s, self._now_s)

    def _answer_probe(self, process: ProcessId) -> ProbeResult:
        gateway = next(g for g in self._gateways if g.process == process)
        if self._now_s >= gateway.listens_s:
            return ProbeResult.ACCEPTED
        return ProbeResult.UNANSWERED if self.plan.is_cut else ProbeResult.REFUSED

    def _update_share(self) -> None:
        lease_s = compute_lease(_HEARTBEAT_S)
        share = self._registry.get_limit_share(self._now_s, lease_s)
        told_until_s = self._now_s - lease_s - _HEARTBEAT_S
        self._quotas.set_share(share.value, told_until_s, share.told_value)

    def _ask(self) -> None:
        tokens = float(draw_tokens(self._rng, _MEAN_TOKENS))
        self.asked += 1
        decision = self._quotas.take(WORKSPACE, tokens, self._now_s)
        if decision.verdict is Verdict.REFUSED:
            self.refused_s.append(self._now_s)
        for usage in self._quotas.drain_usage(self._now_s):
            self.assumed = max(self.assumed, usage.of_others + usage.assumed)
