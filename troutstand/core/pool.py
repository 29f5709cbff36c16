"""Keep the targets and the queue of one service, and estimate their times."""

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
from troutstand.core.scheduling.waitingqueue import WaitingQueue, get_shed_tier
from troutstand.core.speed import PrefillSpeed

if TYPE_CHECKING:
    from troutstand.core.scheduling.waitingqueue import WaitingRequest
    from troutstand.core.targetstate import RunningRequest, TargetState
    from troutstand.generated.messages import RoutedWork

# Guesses until something was measured, in seconds.
_GUESS_READING = PrefillSpeed(constant_s=3e-2, per_token_s=2e-5)
_GUESS_TOKEN_S = 8e-3
_GUESS_SERVICE_S = 3e-2
_GUESS_HOLD_S = 0.3
_MIN_HOLD_S = 1e-6
_HOLD_EWMA = 0.1
# The share of its objective that a request's wait and first byte may take
# together; the rest is for the way and for what was estimated wrongly.
_IN_TIME_SHARE = 0.85
_OCCUPANCY_WEIGHT = 0.15
_FAULT_PENALTY_S = 1.0
# What one answer that comes late is worth; more than any difference in time.
_RISK_S = 1.0
# Engines read prompts in pieces, one between two tokens of the streams beside it;
# 1024 tokens are a usual piece (assumed: nothing tells it).
_READ_AT_ONCE_TOKENS = 1024
# A request waits for a busy target that puts so many fewer answers at risk.
_WORTH_WAITING = 0.2
# An answer that is late already may put so many others at risk.
_LATE_HARM = 0.1
# What the way to another failure domain and its bytes are worth.
_FAR_S = 0.02
# What a new connection of the gateway to the target is worth.
_CONNECT_S = 0.005
# Where more than this share of a service's targets is held off for failures, as many as are
# beyond it get probes (a panic threshold; chosen, not measured). With all of them held off,
# requests would be refused though places are free and nobody else waits.
_MOST_HELD_SHARE = 0.5
# This share of the slots is expected for late requests where a burst leaves less: it ends
# before the time of most is up.
_LATE_SHARE = 0.5
# Requests beyond what their workspace is owed leave so many slots free.
_SPARE_SHARE = 0.25
# At most this share of a service's slots is kept free for higher tiers, so that the lower
# ones are served while the higher ones rest.
_MOST_KEPT_SHARE = 0.5


_get_lost = attrgetter("last_loss_s")


@dataclass
class Pool:
    """Hold the targets and the queue of one service."""

    targets: dict[str, TargetState] = field(default_factory=dict)
    waiting: WaitingQueue = field(default_factory=WaitingQueue)
    hold_s: float | None = None
    canary: Canary = field(default_factory=Canary)
    # Tokens that one event of a stream carries.
    tokens_per_event: int = 1
    # What a target's memory holds, in tokens of prompts and answers; 0 is no limit.
    memory_tokens: int = 0
    # What targets of which nothing was learnt are taken to be like. Without keeping the
    # medians until something is learnt the decider took 1.00 to 1.07 of a core at 1,248
    # requests/s and 78 targets, with it 0.78 to 0.92 (`benchmarks/dispatching.py`, busy
    # machine).
    _typical_reading: PrefillSpeed | None = None
    # Which targets take new work: several steps of each decision ask for them.
    _usable: list[TargetState] | None = None
    # The place in the queue from which the next tick looks.
    next_scan_index: int = 0
    # Until when a target may be doubted, in seconds: mostly none is, and none is looked at.
    suspects_until_s: float = float("-inf")
    _typical: dict[str, float | None] = field(default_factory=dict)
    headroom: Headroom = field(default_factory=Headroom)
    shares: ServiceShares = field(default_factory=ServiceShares)
    # The lowest tier, by the order of refusals, of what runs and waits; None is nothing.
    lowest_shed_tier: int | None = None

    def update_hold_time(self, sample_s: float) -> None:
        """Learn how long a request keeps its slot."""
        held = self.hold_s
        self.hold_s = sample_s if held is None else held + _HOLD_EWMA * (sample_s - held)

    def list_usable(self) -> list[TargetState]:
        """Return the targets that take new work at all."""
        if self._usable is None:
            self._usable = [t for t in self._list_ready() if t.admission is Admission.OPEN]
        return self._usable

    def _list_ready(self) -> list[TargetState]:
        return [t for t in self.targets.values() if t.is_ready]

    def admit_versions(self) -> None:
        """Find out anew which targets may get requests, by the list and their versions."""
        self._usable = None
        ready = self._list_ready()
        standings = self.canary.admit_versions(t.listed.version for t in ready)
        for target in ready:
            target.admission = standings[target.listed.version]

    def list_canaries(self, now_s: float) -> list[TargetState]:
        """Return the targets of a version on trial that may be given work now."""
        if self.canary.order is None:
            return []
        canaries = [t for t in self._list_ready() if t.admission is Admission.CANARY]
        return [t for t in canaries if t.is_open(now_s)]

    def list_open(self, now_s: float) -> list[TargetState]:
        """Return the targets that may be given work now, among them those to be probed."""
        usable = self.list_usable()
        open_ = [target for target in usable if target.is_open(now_s)]
        return open_ + self._list_probes(usable, now_s)

    def _list_probes(self, usable: list[TargetState], now_s: float) -> list[TargetState]:
        """Return as many as are held off beyond the share, the oldest last loss first."""
        held = [target for target in usable if target.is_ejected(now_s)]
        excess = len(held) - int(_MOST_HELD_SHARE * len(usable))
        if excess <= 0:
            return []
        excess -= sum(target.is_probing() for target in held)
        ready = [target for target in held if target.may_probe(now_s)]
        return sorted(ready, key=_get_lost)[: max(0, excess)]

    def _list_sound(self, now_s: float) -> list[TargetState]:
        """Return the targets that are expected to answer what they are sent."""
        sound = [t for t in self.list_usable() if not t.consecutive_losses]
        if now_s >= self.suspects_until_s:
            return sound
        return [t for t in sound if not t.report.backoff.is_requested(now_s)]

    def measure_backoff(self, gateway: str, now_s: float) -> float:
        """Return the seconds until a gateway may send to any target; 0 where it may now."""
        if now_s >= self.suspects_until_s:
            return 0.0
        ends_s = min(
            (t.report.backoff.get_end_s(gateway) for t in self.list_usable()), default=now_s
        )
        return max(0.0, ends_s - now_s)

    def estimate_slot_interval(self, now_s: float) -> float:
        """Return the seconds between two places that become free.

        A target that names a limit gives no more places than that. Counted by its slots alone
        it made callers wait for places that did not come.
        """
        sound = self._list_sound(now_s)
        if self.hold_s is None and not self.is_rate_limited(now_s):
            # A guess must not refuse anybody; the first ending tells.
            return 0.0
        hold_s = max(self.hold_s or _MIN_HOLD_S, _MIN_HOLD_S)
        rate_per_s = sum(min(t.listed.slots / hold_s, t.report.rate_per_s) for t in sound)
        return 1.0 / rate_per_s if rate_per_s else hold_s

    def is_rate_limited(self, now_s: float) -> bool:
        """Tell whether all targets that are expected to answer name a limit."""
        sound = self._list_sound(now_s)
        return bool(sound) and all(t.report.rate_limiter is not None for t in sound)

    def estimate_late_wait(self, waiting: WaitingRequest, ahead: int, turn_s: float) -> float:
        """Return the seconds until a late request gets a slot.

        Those of its tier and above that can be in time come before it, also the ones that
        are still to come: only the slots that they leave are for who is late.
        """
        if not turn_s:
            return 0.0
        per_s = 1.0 / turn_s
        left_per_s = per_s - self.headroom.estimate_rate(waiting.work.tier)
        return (ahead + 1) / max(left_per_s, _LATE_SHARE * per_s)

    def estimate_first_byte(self, state: TargetState, work: RoutedWork) -> float:
        """Return the seconds until a target's first byte for a request."""
        if not work.prompt_tokens:
            return self._know(state, "service_s", _GUESS_SERVICE_S)
        return self.get_prefill_speed(state).estimate(
            state.count_uncached(work) + state.backlog_tokens
        )

    def get_token_time(self, state: TargetState) -> float:
        """Return the seconds that a target takes for a token of an answer."""
        return self._know(state, "token_s", _GUESS_TOKEN_S)

    def estimate_cost(self, state: TargetState, waiting: WaitingRequest, now_s: float) -> float:
        """Return what giving a request to a target costs, in seconds; the least is best."""
        outcome = self.predict_outcome(state, waiting, now_s)
        far = state.listed.failure_domain != waiting.work.failure_domain
        far_s = _FAR_S if far else 0.0
        connect_s = 0.0 if state.has_connection(waiting.owner, now_s) else _CONNECT_S
        held_s = _OCCUPANCY_WEIGHT * outcome.occupancy_s
        fault_s = _FAULT_PENALTY_S * (1.0 - state.success_rate)
        risk_s = _RISK_S * (outcome.first_byte_risk + outcome.stream_risk + outcome.others_risk)
        return outcome.first_s + far_s + connect_s + held_s + fault_s + risk_s

    def predict_outcome(
        self, state: TargetState, waiting: WaitingRequest, now_s: float
    ) -> PlacementEstimate:
        """Estimate what comes of giving a request to a target."""
        work = waiting.work
        if not work.prompt_tokens:
            first_s = self._know(state, "service_s", _GUESS_SERVICE_S)
            busy = len(state.running) / max(1, state.listed.slots)
            first_risk = estimate_miss_risk(first_s, waiting.due_s - now_s)
            return PlacementEstimate(first_s, first_s * busy, first_risk)
        reading = self.get_prefill_speed(state)
        to_read = state.count_uncached(work) + state.backlog_tokens
        first_s = reading.estimate(to_read)
        token_s = self.get_token_time(state)
        held_s = token_s * max(1, work.output_tokens)
        event_s = token_s * self.tokens_per_event
        rest_risk = estimate_miss_risk(first_s + held_s, waiting.deadline_s - now_s)
        rest_risk += estimate_miss_risk(event_s, work.pause_s)
        # While prompts are read, the tokens of the others come slower.
        between_events = min(to_read, float(self.tokens_per_event * _READ_AT_ONCE_TOKENS))
        pause_s = event_s + reading.per_token_s * between_events
        others = sum(
            count * estimate_miss_risk(pause_s, limit_s)
            for limit_s, count in state.pause_counts.items()
        )
        first_risk = estimate_miss_risk(first_s, waiting.due_s - now_s)
        return PlacementEstimate(first_s, held_s, first_risk, min(1.0, rest_risk), others)

    def get_prefill_speed(self, state: TargetState) -> PrefillSpeed:
        """Return how fast a target reads prompts, or what its like show, or a guess."""
        if state.prefill is not None:
            return state.prefill.speed
        if self._typical_reading is None:
            self._typical_reading = self._find_typical_reading()
        return self._typical_reading

    def _find_typical_reading(self) -> PrefillSpeed:
        known = [t.prefill.speed for t in self._list_models() if t.prefill is not None]
        if not known:
            return _GUESS_READING
        return PrefillSpeed(
            median(speed.constant_s for speed in known),
            median(speed.per_token_s for speed in known),
        )

    def _list_models(self) -> list[TargetState]:
        """Return the targets that show what is typical: not those of a version on trial."""
        return [t for t in self.targets.values() if not self.canary.is_canary(t.listed.version)]

    def estimate_typical_slot_time(self, work: RoutedWork) -> float:
        """Return how long a request stays at a typical target, in seconds."""
        first_s = self._estimate_typical_first(work)
        if not work.prompt_tokens:
            return first_s
        return first_s + work.output_tokens * self._know_typical("token_s", _GUESS_TOKEN_S)

    def estimate_typical_times(self, run: RunningRequest) -> TypicalTimes:
        """Return what a typical target of the version in force needs for a request."""
        if not run.work.prompt_tokens:
            return TypicalTimes(self._know_typical("service_s", _GUESS_SERVICE_S))
        if self._typical_reading is None:
            self._typical_reading = self._find_typical_reading()
        to_read = run.uncached_tokens + run.tokens_ahead
        token_s = self._know_typical("token_s", _GUESS_TOKEN_S)
        return TypicalTimes(
            self._typical_reading.estimate(to_read), token_s * self.tokens_per_event
        )

    def invalidate_typical(self) -> None:
        """Note that something was learnt of a target, so that the medians are old."""
        self._typical_reading = None
        self._typical.clear()

    def _know(self, state: TargetState, name: str, guess: float) -> float:
        """Return a target's learnt speed, or what its like show, or a guess."""
        own = getattr(state, name).value
        return own if own is not None else self._know_typical(name, guess)

    def _know_typical(self, name: str, guess: float) -> float:
        if name not in self._typical:
            known = [v for t in self._list_models() if (v := getattr(t, name).value) is not None]
            self._typical[name] = median(known) if known else None
        typical = self._typical[name]
        return typical if typical is not None else guess

    def summarize_busy(self, now_s: float) -> BusyTargets:
        """Describe the targets that have no free slot, as whoever waits for one sees them."""
        # The place of a target that names a limit does not come with the end of a request.
        busy = [
            t for t in self._list_sound(now_s) if not t.free_slots and not t.report.rate_limiter
        ]
        slots = sum(t.listed.slots for t in busy)
        hold_s = self.hold_s or _GUESS_HOLD_S
        return BusyTargets(
            count=len(busy),
            slot_interval_s=hold_s / slots if slots else float("inf"),
            prefill_speed=min(
                (self.get_prefill_speed(t) for t in busy),
                key=lambda speed: speed.per_token_s,
                default=_GUESS_READING,
            ),
            service_s=min(
                (self._know(t, "service_s", _GUESS_SERVICE_S) for t in busy), default=0.0
            ),
        )

    def should_wait_for_busy(
        self, state: TargetState, waiting: WaitingRequest, busy: BusyTargets, now_s: float
    ) -> bool:
        """Tell whether a busy target puts fewer answers at risk than an open one."""
        if not busy.count:
            return False
        outcome = self.predict_outcome(state, waiting, now_s)
        if waiting.is_late:
            # Its own answer is late anywhere; it must not make others late too.
            return outcome.others_risk > _LATE_HARM
        work = waiting.work
        is_prompt = bool(work.prompt_tokens)
        alone_s = busy.prefill_speed.estimate(work.prompt_tokens) if is_prompt else busy.service_s
        risk_there = estimate_miss_risk(busy.slot_interval_s + alone_s, waiting.due_s - now_s)
        return risk_there + _WORTH_WAITING < outcome.first_byte_risk + outcome.others_risk

    def estimate_slack(self, waiting: WaitingRequest) -> None:
        """Estimate how long a request may wait and still be in time."""
        work = waiting.work
        sound = self._list_sound(waiting.arrived_s)
        least = [self._estimate_firsts(t, work) for t in sound]
        first_s = min((first_s for first_s, _ in least), default=0.0)
        waiting.full_slack_s = max(0.0, _IN_TIME_SHARE * work.objective_s - first_s)
        waiting.slack_s = max(0.0, waiting.full_slack_s - work.spent_s)
        waiting.min_first_byte_s = min((alone_s for _, alone_s in least), default=0.0)

    def _estimate_firsts(self, state: TargetState, work: RoutedWork) -> tuple[float, float]:
        """Return the seconds until a first byte, as the target is and without other prompts."""
        if not work.prompt_tokens:
            service_s = self._know(state, "service_s", _GUESS_SERVICE_S)
            return service_s, service_s
        reading = self.get_prefill_speed(state)
        uncached = state.count_uncached(work)
        return reading.estimate(uncached + state.backlog_tokens), reading.estimate(uncached)

    def count_same_fingerprint(self, work: RoutedWork) -> int:
        """Return how many requests with the same fingerprint run or wait."""
        waiting = [w.work for w in self.waiting.list_all()]
        running = [run.work for t in self.targets.values() for run in t.running.values()]
        return sum(1 for other in [*waiting, *running] if other.fingerprint == work.fingerprint)

    def record_arrival(self, work: RoutedWork, now_s: float) -> None:
        """Count a request among those that its tier asks for."""
        patience_s = _IN_TIME_SHARE * work.objective_s - self._estimate_typical_first(work)
        self.headroom.record_arrival(work.tier, max(0.0, patience_s), now_s)

    def _estimate_typical_first(self, work: RoutedWork) -> float:
        """Return the seconds until a typical target's first byte for a request."""
        if not work.prompt_tokens:
            return self._know_typical("service_s", _GUESS_SERVICE_S)
        if self._typical_reading is None:
            self._typical_reading = self._find_typical_reading()
        return self._typical_reading.estimate(work.prompt_tokens)

    def update_tier_demand(self, now_s: float) -> None:
        """Sum up what the tiers ask for, and find the lowest that is served."""
        self.headroom.update(now_s)
        running = (run.work for t in self.targets.values() for run in t.running.values())
        waiting = (waiting.work for waiting in self.waiting.list_all())
        self.lowest_shed_tier = max((get_shed_tier(w) for w in (*running, *waiting)), default=None)

    def has_lower_tier(self, waiting: WaitingRequest) -> bool:
        """Tell whether requests that are refused before one run or wait."""
        return self.lowest_shed_tier is not None and self.lowest_shed_tier > get_shed_tier(
            waiting.work
        )

    def count_reserved_slots(self, now_s: float, tier: int | None = None) -> int:
        """Return how many free slots a tier must leave to those above; by default the lowest."""
        if tier is None:
            tier = self.headroom.lowest_tier
        wanted = self.headroom.estimate_needed_slots(tier, self.estimate_slot_interval(now_s))
        if wanted <= 0.0:
            return 0
        usable = self.list_usable()
        runs = (run for t in usable for run in t.running.values())
        kept = math.ceil(wanted - sum(run.work.tier < tier for run in runs))
        most = int(_MOST_KEPT_SHARE * sum(t.listed.slots for t in usable))
        return max(0, min(kept, most))

    def is_reserved_for_higher_tiers(self, tier: int, now_s: float) -> bool:
        """Tell whether all free slots are kept for tiers above one."""
        kept = self.count_reserved_slots(now_s, tier)
        return kept > 0 and sum(t.free_slots for t in self.list_open(now_s)) <= kept

    def has_spare_capacity(self, now_s: float) -> bool:
        """Tell whether room is free that nobody who is owed it waits for."""
        if self.waiting:
            return False
        usable = self.list_usable()
        trusted = [
            t
            for t in usable
            if not t.report.backoff.is_suspect(now_s) and not t.report.rate_limiter
        ]
        slots = sum(t.listed.slots for t in trusted)
        free = sum(t.free_slots for t in trusted if t.is_open(now_s))
        return free > _SPARE_SHARE * slots
