"""Choose a gateway's scheduler from heartbeats, and the heartbeat periods of the others."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.gatewayregistry import SCHEDULER_TIMEOUT_S
from troutstand.core.ids import ProcessId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from troutstand.generated.messages import Attached

# Timeout of a heartbeat to a standby scheduler.
HEARTBEAT_TIMEOUT_S = 0.3
_INITIAL_PERIOD_S = 0.1
_STANDBY_PERIOD_S = 1.0
# Only the next standbys in order get frequent heartbeats, since every gateway sends
# heartbeats to every scheduler.
_NEAR_STANDBY_COUNT = 2
_FAR_STANDBY_PERIOD_S = 4.0
_LIVE_SLACK_S = 0.15
# Response timeout right after a switch: the new scheduler gets all gateways and their
# waiting requests at once, 0.3 to 0.4 s for 73 gateways in a burst. Left too early, a quarter
# of the gateways moved on to a third scheduler, and two schedulers decided at the same time.
_SWITCH_TIMEOUT_S = 1.0
# A placement request may wait in the queue of a live scheduler, so a heartbeat follows it.
PROBE_DELAY_S = 0.1
# Shortest stall of the gateway's own process that is not counted against schedulers.
MIN_STALL_S = 0.15
# A gateway that decides locally uses a scheduler without gateways only after this time, so
# that others can answer (a few round trips between failure domains).
_DISCOVERY_S = 0.15
_LOCAL_PERIOD_S = 0.1
# Time that a gateway that decides locally waits for the most used scheduler, so that
# gateways do not split between two schedulers after a network partition; without it two
# schedulers filled the same targets for 1.6 to 2.6 s.
_AWAIT_MOST_USED_S = 0.6
# Time after the first scheduler became ready in which gateways switch without delay, so that
# they agree on one soon after a restart of the whole site.
_STARTUP_S = 3.0
# Time that another scheduler must be live before a gateway leaves a live one for it.
_MIN_LIVE_S = 1.5


class LocalDecider(Enum):
    """Represent the gateway as its own decider."""

    LOCAL = "alone"


Decider = ProcessId | LocalDecider


@dataclass
class SchedulerHealth:
    """Track one scheduler's heartbeats; times in seconds on the steady clock."""

    last_heard_s: float = float("-inf")
    live_since_s: float = float("inf")
    period_s: float = _INITIAL_PERIOD_S
    incarnation: str = ""
    # Number of the scheduler's last reply.
    reply_number: int = 0
    is_ready: bool = False
    is_attached: bool = False
    # Whether the scheduler asks for the state that it keeps of this gateway.
    is_state_asked: bool = False
    # When the scheduler became ready, as it reports.
    ready_since_s: float = float("-inf")
    # Attached gateways, as last reported by the scheduler.
    gateway_count: int = 0
    # The scheduler that most gateways use, as this scheduler last reported.
    most_used: str = ""
    most_used_count: int = 0
    # When the oldest request without any later response was sent.
    unanswered_since_s: float = float("inf")
    # When this gateway switched to the scheduler.
    switched_s: float = float("-inf")
    standby_period_s: float = _STANDBY_PERIOD_S
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def mark_lost(self) -> None:
        """Treat the scheduler as lost until it answers a heartbeat."""
        self.is_ready = False
        self.live_since_s = float("inf")
        self.record_response()

    def record_request(self, now_s: float) -> None:
        """Record that a request was sent to the scheduler."""
        self.unanswered_since_s = min(self.unanswered_since_s, now_s)

    def record_response(self) -> None:
        """Record a response of any kind."""
        self.unanswered_since_s = float("inf")

    def record_switch(self, now_s: float) -> None:
        """Record that this gateway uses the scheduler from now on."""
        self.switched_s = now_s

    def update(self, reply: Attached, now_s: float) -> None:
        """Apply the answer to a heartbeat."""
        self.record_response()
        self.reply_number = reply.number
        self.last_heard_s = now_s
        self.period_s = reply.period_s
        self.is_ready = reply.is_ready
        self.ready_since_s = now_s - reply.ready_s
        self.gateway_count = reply.attached
        self.most_used = reply.most_asked
        self.most_used_count = reply.most_asked_by
        if not reply.is_ready:
            self.live_since_s = float("inf")
        elif self.live_since_s == float("inf"):
            self.live_since_s = now_s

    def discount_stall(self, stall_s: float) -> None:
        """Exclude a stall of this gateway's own process from the timeouts."""
        self.last_heard_s += stall_s
        self.unanswered_since_s += stall_s

    def is_live(self, now_s: float) -> bool:
        """Return whether the scheduler answers within its timeouts.

        An unanswered request detects a loss sooner than the heartbeat period, which grows
        with the number of gateways.
        """
        has_just_switched = now_s - self.switched_s <= _SWITCH_TIMEOUT_S
        if now_s - self.unanswered_since_s > (
            _SWITCH_TIMEOUT_S if has_just_switched else SCHEDULER_TIMEOUT_S
        ):
            return False
        if has_just_switched:
            return self.is_ready
        limit_s = max(self.period_s, self.standby_period_s if not self.is_attached else 0.0)
        return (
            self.is_ready
            and now_s - self.last_heard_s <= limit_s + HEARTBEAT_TIMEOUT_S + _LIVE_SLACK_S
        )


def list_live(schedulers: Mapping[ProcessId, SchedulerHealth], now_s: float) -> list[ProcessId]:
    """Return the live schedulers, ordered by identifier."""
    return sorted(process for process, health in schedulers.items() if health.is_live(now_s))


def choose_decider(
    schedulers: Mapping[ProcessId, SchedulerHealth], current: Decider, now_s: float
) -> Decider:
    """Return the live scheduler that most gateways use; ties go to the first in order.

    Gateways do not switch back to a scheduler that recovers: they would do so at different
    times, and two schedulers would place requests on the same targets meanwhile.
    """
    live = list_live(schedulers, now_s)
    if isinstance(current, LocalDecider):
        if _should_await_most_used(schedulers, live, now_s):
            return current
        # Right after a start of the whole site no scheduler is in use that could be missed.
        if not _have_just_started(schedulers, live, now_s):
            live = [
                p
                for p in live
                if schedulers[p].gateway_count or _is_discovery_over(schedulers[p], now_s)
            ]

    def rank(process: ProcessId) -> tuple[int, ProcessId]:
        return -_count_gateways(schedulers, live, process), process

    if isinstance(current, LocalDecider) or current not in live:
        return min(live, key=rank) if live else LocalDecider.LOCAL
    min_live_s = 0.0 if _have_just_started(schedulers, live, now_s) else _MIN_LIVE_S
    steady = [p for p in live if now_s - schedulers[p].live_since_s > min_live_s]
    return min([current, *steady], key=rank)


def _have_just_started(
    schedulers: Mapping[ProcessId, SchedulerHealth], live: list[ProcessId], now_s: float
) -> bool:
    """Return whether every live scheduler became ready within the last few seconds.

    Gateways then start with different schedulers and need no minimum live time to switch.
    """
    first_ready_s = min((schedulers[p].ready_since_s for p in live), default=float("-inf"))
    return now_s - first_ready_s <= _STARTUP_S


def _count_gateways(
    schedulers: Mapping[ProcessId, SchedulerHealth], live: list[ProcessId], process: ProcessId
) -> int:
    """Return the largest number of gateways that any live scheduler reports for a scheduler.

    A standby's own report may be several seconds old; the most used scheduler learns from
    every gateway's heartbeat which scheduler it uses.
    """
    reported = (h.most_used_count for p in live if (h := schedulers[p]).most_used == process)
    return max(schedulers[process].gateway_count, *reported, 0)


def _should_await_most_used(
    schedulers: Mapping[ProcessId, SchedulerHealth], live: list[ProcessId], now_s: float
) -> bool:
    """Return whether the most used scheduler is reported but not live for this gateway yet."""
    max_gateways = max((schedulers[p].gateway_count for p in live), default=0)
    for process in live:
        health = schedulers[process]
        is_more_used = health.most_used_count > max_gateways and health.most_used not in live
        if is_more_used and now_s - health.live_since_s < _AWAIT_MOST_USED_S:
            return True
    return False


def _is_discovery_over(health: SchedulerHealth, now_s: float) -> bool:
    """Return whether the other schedulers had time to answer."""
    return now_s - health.live_since_s >= _DISCOVERY_S


def update_standby_periods(
    schedulers: Mapping[ProcessId, SchedulerHealth], current: Decider, now_s: float
) -> None:
    """Set short heartbeat periods for the next standbys, or for all without a scheduler."""
    is_local = isinstance(current, LocalDecider)
    others = [process for process in list_live(schedulers, now_s) if process != current]
    far = set() if is_local else set(others[_NEAR_STANDBY_COUNT:])
    near_s = _choose_near_period(schedulers, current, now_s)
    for process, health in schedulers.items():
        period_s = _FAR_STANDBY_PERIOD_S if process in far else near_s
        if period_s < health.standby_period_s:
            health.wake.set()
        health.standby_period_s = period_s


def _choose_near_period(
    schedulers: Mapping[ProcessId, SchedulerHealth], current: Decider, now_s: float
) -> float:
    """Return the heartbeat period of the next standbys, in seconds.

    It is short while the current scheduler is new, since others may have more gateways.
    """
    if isinstance(current, LocalDecider):
        return _LOCAL_PERIOD_S
    health = schedulers[current]
    if now_s - health.ready_since_s > _STARTUP_S:
        return _STANDBY_PERIOD_S
    return min(_STANDBY_PERIOD_S, max(_LOCAL_PERIOD_S, health.period_s))
