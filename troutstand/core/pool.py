"""Hold the targets and the queue of one service, and estimate their latencies."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from operator import attrgetter
from statistics import median
from typing import TYPE_CHECKING

from troutstand.core.rollouts.admission import Admission
from troutstand.core.rollouts.canary import Canary, TypicalTimes
from troutstand.core.scheduling.headroom import Headroom
from troutstand.core.scheduling.placementestimate import (
    BusyTargets,
    PlacementEstimate,
    estimate_miss_risk,
)
from troutstand.core.scheduling.serviceshares import ServiceShares
from troutstand.core.scheduling.tierminimum import TierMinimum
from troutstand.core.scheduling.tierservice import TierService
from troutstand.core.scheduling.waitingqueue import WaitingQueue, get_shed_tier
from troutstand.core.speed import PrefillSpeed

if TYPE_CHECKING:
    from troutstand.core.scheduling.waitingqueue import WaitingRequest
    from troutstand.core.targetstate import RunningRequest, TargetState
    from troutstand.generated.messages import RoutedWork

# Defaults until the first sample.
_DEFAULT_PREFILL_SPEED = PrefillSpeed(constant_s=3e-2, per_token_s=2e-5)
_DEFAULT_TOKEN_S = 8e-3
_DEFAULT_SERVICE_S = 3e-2
_DEFAULT_HOLD_S = 0.3
_MIN_HOLD_S = 1e-6
_HOLD_EWMA_WEIGHT = 0.1
# Share of the objective available for queueing and the first byte; the rest covers
# network latency and estimation error.
_OBJECTIVE_SHARE = 0.85
_OCCUPANCY_WEIGHT = 0.15
_FAULT_PENALTY_S = 1.0
# Cost of one late response; outweighs the latency terms of the cost.
_LATE_RESPONSE_PENALTY_S = 1.0
# Prompt tokens that an engine prefills between two decode steps of its other streams. A usual
# size; engines do not report theirs.
_PREFILL_CHUNK_TOKENS = 1024
# A request waits for a busy target if that lowers the expected late responses by this much.
_MIN_RISK_REDUCTION = 0.2
# Expected late responses of other streams that placing a late request may cause.
_MAX_LATE_OTHERS_RISK = 0.1
_REMOTE_DOMAIN_PENALTY_S = 0.02
_NEW_CONNECTION_PENALTY_S = 0.005
# Panic threshold: ejected targets beyond this share of a service's targets are probed, so
# that requests are not refused while slots are free.
_MAX_EJECTED_SHARE = 0.5
# Late requests are assumed to get at least this share of the freed slots, since bursts end.
_MIN_LATE_RATE_SHARE = 0.5
# Requests in excess of their workspace's limit leave this share of the slots free.
_MIN_SPARE_SHARE = 0.25
# A promoted request may hold a reserved slot this many times as long as higher tiers do.
_MAX_RESERVED_HOLD_FACTOR = 1.5
# Bounds the slots reserved for higher tiers, so that lower tiers do not starve.
_MAX_RESERVED_SHARE = 0.5

_get_last_loss_s = attrgetter("last_loss_s")


def _is_resuming(target: TargetState) -> bool:
    return target.admission in (Admission.RESUMED, Admission.CANARY)


@dataclass
class Pool:
    """Hold the targets and the queue of one service."""

    targets: dict[str, TargetState] = field(default_factory=dict)
    waiting: WaitingQueue = field(default_factory=WaitingQueue)
    hold_s: float | None = None
    canary: Canary = field(default_factory=Canary)
    tokens_per_event: int = 1
    # Capacity of a target in prompt and output tokens; 0 is no limit.
    memory_tokens: int = 0
    # Medians over the targets with samples, used for targets without; cached until a new
    # sample arrives, since every placement reads them.
    _typical_prefill_speed: PrefillSpeed | None = None
    # Cached result of list_usable.
    _usable: list[TargetState] | None = None
    # Whether some targets take only streams that their version began, or samples.
    _has_resuming: bool = False
    # Queue position where the next tick resumes its scan.
    next_scan_index: int = 0
    # Until then a target may be suspect; later checks for suspect targets are skipped.
    suspects_until_s: float = float("-inf")
    _typical_means: dict[str, float | None] = field(default_factory=dict)
    headroom: Headroom = field(default_factory=Headroom)
    shares: ServiceShares = field(default_factory=ServiceShares)
    tier_service: TierService = field(default_factory=TierService)
    tier_minimum: TierMinimum = field(init=False)
    # Lowest shed tier among running and waiting requests that are not promoted; None without any.
    lowest_shed_tier: int | None = None

    def __post_init__(self) -> None:
        self.tier_minimum = TierMinimum(self.tier_service)

    def update_hold_time(self, sample_s: float) -> None:
        """Add a sample to the mean slot time of a request."""
        mean_s = self.hold_s
        self.hold_s = (
            sample_s if mean_s is None else mean_s + _HOLD_EWMA_WEIGHT * (sample_s - mean_s)
        )

    def list_usable(self) -> list[TargetState]:
        """Return the targets that accept new requests, busy ones included."""
        if self._usable is None:
            self._usable = [t for t in self._list_ready() if t.admission is Admission.OPEN]
        return self._usable

    def _list_ready(self) -> list[TargetState]:
        return [t for t in self.targets.values() if t.is_ready]

    def admit_versions(self) -> None:
        """Update which targets may get requests, by the target list and their versions."""
        self._usable = None
        ready = self._list_ready()
        admissions = self.canary.admit_versions(t.listed.version for t in ready)
        for target in ready:
            target.admission = admissions[target.listed.version]
        self._has_resuming = any(_is_resuming(target) for target in ready)

    def list_resuming(self, now_s: float) -> list[TargetState]:
        """Return the targets that take only streams that their version began, and can now."""
        if not self._has_resuming:
            return []
        return [t for t in self._list_ready() if _is_resuming(t) and t.is_open(now_s)]

    def serves_version(self, version: str) -> bool:
        """Return whether a target of a version takes streams that it began."""
        return any(
            t.listed.version == version and t.admission is not Admission.CLOSED
            for t in self._list_ready()
        )

    def list_canaries(self, now_s: float) -> list[TargetState]:
        """Return the canary targets that can take a request now."""
        if self.canary.order is None:
            return []
        canaries = [t for t in self._list_ready() if t.admission is Admission.CANARY]
        return [t for t in canaries if t.is_open(now_s)]

    def list_open(self, now_s: float) -> list[TargetState]:
        """Return the targets that can take a request now, with ejected ones due for a probe."""
        usable = self.list_usable()
        open_ = [target for target in usable if target.is_open(now_s)]
        return open_ + self._list_probes(usable, now_s)

    def _list_probes(self, usable: list[TargetState], now_s: float) -> list[TargetState]:
        """Return the ejected targets to probe, the least recent loss first."""
        ejected = [target for target in usable if target.is_ejected(now_s)]
        excess = len(ejected) - int(_MAX_EJECTED_SHARE * len(usable))
        if excess <= 0:
            return []
        excess -= sum(target.is_probing() for target in ejected)
        ready = [target for target in ejected if target.may_probe(now_s)]
        return sorted(ready, key=_get_last_loss_s)[: max(0, excess)]

    def _list_healthy(self, now_s: float) -> list[TargetState]:
        """Return the usable targets without recent losses or requested backoff."""
        healthy = [t for t in self.list_usable() if not t.consecutive_losses]
        if now_s >= self.suspects_until_s:
            return healthy
        return [t for t in healthy if not t.report.backoff.is_requested(now_s)]

    def measure_backoff(self, gateway: str, now_s: float) -> float:
        """Return the seconds until the first target leaves backoff for a gateway; 0 if one has."""
        if now_s >= self.suspects_until_s:
            return 0.0
        ends_s = min(
            (t.report.backoff.get_end_s(gateway) for t in self.list_usable()), default=now_s
        )
        return max(0.0, ends_s - now_s)

    def estimate_slot_interval(self, now_s: float) -> float:
        """Return the seconds between two slots that become free.

        A target's rate limit caps the rate at which its slots count.
        """
        healthy = self._list_healthy(now_s)
        if self.hold_s is None and not self.is_rate_limited(now_s):
            # Without a sample no request is refused.
            return 0.0
        hold_s = max(self.hold_s or _MIN_HOLD_S, _MIN_HOLD_S)
        rate_per_s = sum(min(t.listed.slots / hold_s, t.report.rate_per_s) for t in healthy)
        return 1.0 / rate_per_s if rate_per_s else hold_s

    def is_rate_limited(self, now_s: float) -> bool:
        """Return whether all healthy targets have a rate limit."""
        healthy = self._list_healthy(now_s)
        return bool(healthy) and all(t.report.rate_limiter is not None for t in healthy)

    def estimate_late_wait(
        self, waiting: WaitingRequest, ahead: int, slot_interval_s: float
    ) -> float:
        """Return the seconds until a late request gets a slot.

        Requests of its tier and above that can meet their objective take precedence, including
        expected arrivals; late requests share the remaining slots.
        """
        if not slot_interval_s:
            return 0.0
        freed_per_s = 1.0 / slot_interval_s
        late_per_s = freed_per_s - self.headroom.estimate_rate(waiting.work.tier)
        return (ahead + 1) / max(late_per_s, _MIN_LATE_RATE_SHARE * freed_per_s)

    def estimate_first_byte(self, state: TargetState, work: RoutedWork) -> float:
        """Return a target's time to first byte for a request, in seconds."""
        if not work.prompt_tokens:
            return self._get_mean(state, "service_s", _DEFAULT_SERVICE_S)
        return self.get_prefill_speed(state).estimate(
            state.count_uncached(work) + state.backlog_tokens
        )

    def get_token_time(self, state: TargetState) -> float:
        """Return a target's time per output token, in seconds."""
        return self._get_mean(state, "token_s", _DEFAULT_TOKEN_S)

    def estimate_cost(self, state: TargetState, waiting: WaitingRequest, now_s: float) -> float:
        """Return the cost of placing a request at a target, in seconds; lower is better."""
        outcome = self.predict_outcome(state, waiting, now_s)
        is_remote = state.listed.failure_domain != waiting.work.failure_domain
        remote_s = _REMOTE_DOMAIN_PENALTY_S if is_remote else 0.0
        connect_s = 0.0 if state.has_connection(waiting.owner, now_s) else _NEW_CONNECTION_PENALTY_S
        occupancy_s = _OCCUPANCY_WEIGHT * outcome.occupancy_s
        fault_s = _FAULT_PENALTY_S * (1.0 - state.success_rate)
        risk_s = _LATE_RESPONSE_PENALTY_S * (
            outcome.first_byte_risk + outcome.stream_risk + outcome.others_risk
        )
        return outcome.first_s + remote_s + connect_s + occupancy_s + fault_s + risk_s

    def predict_outcome(
        self, state: TargetState, waiting: WaitingRequest, now_s: float
    ) -> PlacementEstimate:
        """Estimate latency and risks of placing a request at a target."""
        work = waiting.work
        if not work.prompt_tokens:
            first_s = self._get_mean(state, "service_s", _DEFAULT_SERVICE_S)
            utilization = len(state.running) / max(1, state.listed.slots)
            first_risk = estimate_miss_risk(first_s, waiting.due_s - now_s)
            return PlacementEstimate(first_s, first_s * utilization, first_risk)
        prefill_speed = self.get_prefill_speed(state)
        prefill_tokens = state.count_uncached(work) + state.backlog_tokens
        first_s = prefill_speed.estimate(prefill_tokens)
        token_s = self.get_token_time(state)
        occupancy_s = token_s * max(1, work.output_tokens)
        event_s = token_s * self.tokens_per_event
        stream_risk = estimate_miss_risk(first_s + occupancy_s, waiting.deadline_s - now_s)
        stream_risk += estimate_miss_risk(event_s, work.pause_s)
        # Prefill chunks are interleaved with the decode steps of the other streams.
        between_events = min(prefill_tokens, float(self.tokens_per_event * _PREFILL_CHUNK_TOKENS))
        pause_s = event_s + prefill_speed.per_token_s * between_events
        others_risk = sum(
            count * estimate_miss_risk(pause_s, limit_s)
            for limit_s, count in state.pause_counts.items()
        )
        first_risk = estimate_miss_risk(first_s, waiting.due_s - now_s)
        return PlacementEstimate(
            first_s, occupancy_s, first_risk, min(1.0, stream_risk), others_risk
        )

    def get_prefill_speed(self, state: TargetState) -> PrefillSpeed:
        """Return a target's prefill speed, or the median of the others, or the default."""
        if state.prefill is not None:
            return state.prefill.speed
        if self._typical_prefill_speed is None:
            self._typical_prefill_speed = self._compute_typical_prefill_speed()
        return self._typical_prefill_speed

    def _compute_typical_prefill_speed(self) -> PrefillSpeed:
        known = [t.prefill.speed for t in self._list_reference_targets() if t.prefill is not None]
        if not known:
            return _DEFAULT_PREFILL_SPEED
        return PrefillSpeed(
            median(speed.constant_s for speed in known),
            median(speed.per_token_s for speed in known),
        )

    def _list_reference_targets(self) -> list[TargetState]:
        """Return the targets that the medians are taken over; excludes canaries."""
        return [t for t in self.targets.values() if not self.canary.is_canary(t.listed.version)]

    def estimate_typical_slot_time(self, work: RoutedWork) -> float:
        """Return how long a request occupies a slot of a typical target, in seconds."""
        first_s = self._estimate_typical_first_byte(work)
        if not work.prompt_tokens:
            return first_s
        return first_s + work.output_tokens * self._get_typical_mean("token_s", _DEFAULT_TOKEN_S)

    def promote(self, work: RoutedWork, now_s: float) -> float | None:
        """Promote an arriving request if its tier is below its minimum; return its slot time.

        Returns None for a request that is not promoted.
        """
        if not self.tier_minimum.is_below_minimum(work.tier, now_s):
            return None
        slots = sum(t.listed.slots for t in self.list_usable())
        slot_time_s = self._estimate_tier_slot_time(work)
        is_promoted = self.tier_minimum.promote(work.tier, slot_time_s, slots, now_s)
        return slot_time_s if is_promoted else None

    def _estimate_tier_slot_time(self, work: RoutedWork) -> float:
        """Return how long a request occupies its slot, by its size or its tier's average."""
        if work.prompt_tokens:
            return self.estimate_typical_slot_time(work)
        mean_s = self.headroom.get_slot_time(work.tier)
        return mean_s if mean_s is not None else self.estimate_typical_slot_time(work)

    def estimate_typical_times(self, run: RunningRequest) -> TypicalTimes:
        """Return the times of a request at a typical target of the stable version."""
        if not run.work.prompt_tokens:
            return TypicalTimes(self._get_typical_mean("service_s", _DEFAULT_SERVICE_S))
        if self._typical_prefill_speed is None:
            self._typical_prefill_speed = self._compute_typical_prefill_speed()
        prefill_tokens = run.uncached_tokens + run.tokens_ahead
        token_s = self._get_typical_mean("token_s", _DEFAULT_TOKEN_S)
        return TypicalTimes(
            self._typical_prefill_speed.estimate(prefill_tokens), token_s * self.tokens_per_event
        )

    def invalidate_typical(self) -> None:
        """Drop the cached medians after a new sample."""
        self._typical_prefill_speed = None
        self._typical_means.clear()

    def _get_mean(self, state: TargetState, name: str, default: float) -> float:
        """Return a target's moving average, or the median of the others, or the default."""
        mean = getattr(state, name).value
        return mean if mean is not None else self._get_typical_mean(name, default)

    def _get_typical_mean(self, name: str, default: float) -> float:
        if name not in self._typical_means:
            known = [
                v
                for t in self._list_reference_targets()
                if (v := getattr(t, name).value) is not None
            ]
            self._typical_means[name] = median(known) if known else None
        typical = self._typical_means[name]
        return typical if typical is not None else default

    def summarize_busy(self, now_s: float) -> BusyTargets:
        """Summarize the targets without a free slot."""
        # With a rate limit the end of a request does not make room for the next one.
        busy = [
            t for t in self._list_healthy(now_s) if not t.free_slots and not t.report.rate_limiter
        ]
        slots = sum(t.listed.slots for t in busy)
        hold_s = self.hold_s or _DEFAULT_HOLD_S
        return BusyTargets(
            count=len(busy),
            slot_interval_s=hold_s / slots if slots else float("inf"),
            prefill_speed=min(
                (self.get_prefill_speed(t) for t in busy),
                key=lambda speed: speed.per_token_s,
                default=_DEFAULT_PREFILL_SPEED,
            ),
            service_s=min(
                (self._get_mean(t, "service_s", _DEFAULT_SERVICE_S) for t in busy), default=0.0
            ),
        )

    def should_wait_for_busy(
        self, state: TargetState, waiting: WaitingRequest, busy: BusyTargets, now_s: float
    ) -> bool:
        """Return whether a busy target puts fewer responses at risk than an open one."""
        if not busy.count:
            return False
        outcome = self.predict_outcome(state, waiting, now_s)
        if waiting.is_late:
            # It misses its objective anywhere and should not delay other streams.
            return outcome.others_risk > _MAX_LATE_OTHERS_RISK
        work = waiting.work
        is_prompt = bool(work.prompt_tokens)
        unloaded_s = (
            busy.prefill_speed.estimate(work.prompt_tokens) if is_prompt else busy.service_s
        )
        busy_risk = estimate_miss_risk(busy.slot_interval_s + unloaded_s, waiting.due_s - now_s)
        return busy_risk + _MIN_RISK_REDUCTION < outcome.first_byte_risk + outcome.others_risk

    def estimate_slack(self, waiting: WaitingRequest) -> None:
        """Estimate how long a request may wait and still meet its objective."""
        work = waiting.work
        healthy = self._list_healthy(waiting.arrived_s)
        first_bytes = [self._estimate_first_bytes(t, work) for t in healthy]
        first_s = min((first_s for first_s, _ in first_bytes), default=0.0)
        waiting.full_slack_s = max(0.0, _OBJECTIVE_SHARE * work.objective_s - first_s)
        waiting.slack_s = max(0.0, waiting.full_slack_s - work.spent_s)
        waiting.min_first_byte_s = min((unloaded_s for _, unloaded_s in first_bytes), default=0.0)

    def _estimate_first_bytes(self, state: TargetState, work: RoutedWork) -> tuple[float, float]:
        """Return the times to first byte with the target's prefill backlog and without it."""
        if not work.prompt_tokens:
            service_s = self._get_mean(state, "service_s", _DEFAULT_SERVICE_S)
            return service_s, service_s
        prefill_speed = self.get_prefill_speed(state)
        uncached = state.count_uncached(work)
        return prefill_speed.estimate(uncached + state.backlog_tokens), prefill_speed.estimate(
            uncached
        )

    def count_same_fingerprint(self, work: RoutedWork) -> int:
        """Return how many running and waiting requests have the same fingerprint."""
        waiting = [w.work for w in self.waiting.list_all()]
        running = [run.work for t in self.targets.values() for run in t.running.values()]
        return sum(1 for other in [*waiting, *running] if other.fingerprint == work.fingerprint)

    def record_arrival(self, work: RoutedWork, now_s: float) -> None:
        """Add a request to the demand of its tier."""
        slack_s = _OBJECTIVE_SHARE * work.objective_s - self._estimate_typical_first_byte(work)
        self.headroom.record_arrival(work.tier, max(0.0, slack_s), now_s)

    def _estimate_typical_first_byte(self, work: RoutedWork) -> float:
        """Return a typical target's time to first byte for a request, in seconds."""
        if not work.prompt_tokens:
            return self._get_typical_mean("service_s", _DEFAULT_SERVICE_S)
        if self._typical_prefill_speed is None:
            self._typical_prefill_speed = self._compute_typical_prefill_speed()
        return self._typical_prefill_speed.estimate(work.prompt_tokens)

    def update_tier_demand(self, now_s: float) -> None:
        """Update the demand of the tiers and the lowest tier that waits or runs.

        Promoted requests do not count: they have only the minimum of their tier.
        """
        self.headroom.update(now_s)
        runs = (run for t in self.targets.values() for run in t.running.values())
        running = (run.work for run in runs if not run.is_promoted)
        waiting = (w.work for w in self.waiting.list_all() if w.promoted_slot_s is None)
        self.lowest_shed_tier = max((get_shed_tier(w) for w in (*running, *waiting)), default=None)

    def has_lower_tier(self, waiting: WaitingRequest) -> bool:
        """Return whether requests with a lower shed tier run or wait."""
        return self.lowest_shed_tier is not None and self.lowest_shed_tier > get_shed_tier(
            waiting.work
        )

    def count_reserved_slots(self, now_s: float, tier: int | None = None) -> int:
        """Return the free slots that a tier, by default the lowest, must leave to higher tiers."""
        if tier is None:
            tier = self.headroom.lowest_tier
        needed = self.headroom.estimate_needed_slots(tier, self.estimate_slot_interval(now_s))
        if needed <= 0.0:
            return 0
        usable = self.list_usable()
        runs = (run for t in usable for run in t.running.values())
        reserved = math.ceil(needed - sum(run.work.tier < tier for run in runs))
        max_reserved = int(_MAX_RESERVED_SHARE * sum(t.listed.slots for t in usable))
        return max(0, min(reserved, max_reserved))

    def is_reserved_for_higher_tiers(self, waiting: WaitingRequest, now_s: float) -> bool:
        """Return whether all free slots are reserved for higher tiers than a request's.

        A promoted request may take a reserved slot that it does not hold much longer than they
        do.
        """
        tier = waiting.work.tier
        slot_time_s = waiting.promoted_slot_s
        max_hold_s = _MAX_RESERVED_HOLD_FACTOR * self.headroom.estimate_slot_time_above(tier)
        if slot_time_s is not None and slot_time_s <= max_hold_s:
            return False
        reserved = self.count_reserved_slots(now_s, tier)
        return reserved > 0 and sum(t.free_slots for t in self.list_open(now_s)) <= reserved

    def has_spare_capacity(self, now_s: float) -> bool:
        """Return whether requests in excess of their workspace's limit may be served."""
        if self.waiting:
            return False
        usable = self.list_usable()
        available = [
            t
            for t in usable
            if not t.report.backoff.is_suspect(now_s) and not t.report.rate_limiter
        ]
        slots = sum(t.listed.slots for t in available)
        free = sum(t.free_slots for t in available if t.is_open(now_s))
        return free > _MIN_SPARE_SHARE * slots
