"""Judge from heartbeats which scheduler a gateway asks, and how closely to watch the others."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.ids import ProcessId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from troutstand.generated.messages import Attached

# How long a scheduler that is not asked may take to answer a heartbeat.
HEARTBEAT_TIMEOUT_S = 0.3
_FIRST_PERIOD_S = 0.1
_STANDBY_PERIOD_S = 1.0
# The schedulers next in order are watched closely; the others only now and then,
# since every gateway watches every scheduler.
_CLOSE_STANDBYS = 2
_FAR_STANDBY_PERIOD_S = 4.0
_LIVE_SLACK_S = 0.15
# A scheduler that is asked and answers nothing for so long is left. One packet that is
# lost costs 0.2 s (the least time before TCP sends it again) and must not suffice.
RESPONSE_TIMEOUT_S = 0.4
# A scheduler that was just moved to may take so long to answer, in seconds: it takes in all
# gateways at once, with what waits there. 73 of them took 0.3 to 0.4 s in a burst; left after
# 0.4 s, a quarter of them moved on to a third scheduler, and two decided for 1.5 s.
_TAKE_OVER_S = 1.0
# An ask may wait in the queue of a live scheduler, so that a heartbeat goes after it.
PROBE_DELAY_S = 0.1
# A gateway that stood still for longer than this does not take the silence for others'.
MIN_STALL_S = 0.15
# A gateway that decides alone hears of schedulers one after the other; one that nobody
# asks yet is taken only after so long (a few round trips between failure domains).
_LOOK_OVER_S = 0.15
_ALONE_PERIOD_S = 0.1
# For so long a gateway that decides alone waits for the scheduler that others are said to
# ask. Without it gateways that came back from a cut took whichever they heard first, and
# two schedulers filled the same targets for 1.6 to 2.6 s (site of 6 gateways, its logs).
_AWAIT_ASKED_S = 0.6
# For so long after the first live scheduler began to serve, in seconds, gateways move without
# delay: after a loss of all power two schedulers that were ready within 0.13 s of each other
# had gateways for 1.7 s.
_SETTLING_S = 3.0
# Another scheduler is moved to, while one's own lives, once it was live for so long.
_MOVE_AFTER_S = 1.5


class LocalDecider(Enum):
    """Stand for the gateway's own decisions in place of a scheduler's."""

    LOCAL = "alone"


Decider = ProcessId | LocalDecider


@dataclass
class SchedulerHealth:
    """Follow one scheduler's heartbeat; times in seconds on the steady clock."""

    last_heard_s: float = float("-inf")
    live_since_s: float = float("inf")
    period_s: float = _FIRST_PERIOD_S
    incarnation: str = ""
    is_ready: bool = False
    is_attached: bool = False
    # Since when the scheduler's process has been able to serve, by its own word.
    ready_since_s: float = float("-inf")
    # Gateways that ask the scheduler, as it told last.
    gateway_count: int = 0
    # The scheduler that most gateways ask by what they told this one, and their number.
    most_used: str = ""
    most_used_count: int = 0
    # Since when something is asked and nothing at all was answered.
    unanswered_since_s: float = float("inf")
    # When this gateway began to ask it.
    switched_s: float = float("-inf")
    standby_period_s: float = _STANDBY_PERIOD_S
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def mark_lost(self) -> None:
        """Note that the scheduler did not answer, or was left: it must answer first."""
        self.is_ready = False
        self.live_since_s = float("inf")
        self.record_response()

    def record_request(self, now_s: float) -> None:
        """Note that something was asked of the scheduler."""
        self.unanswered_since_s = min(self.unanswered_since_s, now_s)

    def record_response(self) -> None:
        """Take any answer as a sign of life."""
        self.unanswered_since_s = float("inf")

    def record_switch(self, now_s: float) -> None:
        """Note that this gateway asks the scheduler from now on."""
        self.switched_s = now_s

    def update(self, reply: Attached, now_s: float) -> None:
        """Take an answer to a heartbeat."""
        self.record_response()
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
        """Leave out of account a time in which this gateway itself stood still."""
        self.last_heard_s += stall_s
        self.unanswered_since_s += stall_s

    def is_live(self, now_s: float) -> bool:
        """Tell whether the scheduler answered lately.

        Heartbeats slow down with the number of gateways, so that their age alone tells
        after 0.55 s at 6 hosts and after 1.13 s at 195; an unanswered ask tells after 0.4 s.
        """
        is_taking_over = now_s - self.switched_s <= _TAKE_OVER_S
        if now_s - self.unanswered_since_s > (
            _TAKE_OVER_S if is_taking_over else RESPONSE_TIMEOUT_S
        ):
            return False
        if is_taking_over:
            return self.is_ready
        limit_s = max(self.period_s, self.standby_period_s if not self.is_attached else 0.0)
        return (
            self.is_ready
            and now_s - self.last_heard_s <= limit_s + HEARTBEAT_TIMEOUT_S + _LIVE_SLACK_S
        )


def list_live(watches: Mapping[ProcessId, SchedulerHealth], now_s: float) -> list[ProcessId]:
    """Return the live schedulers in their fixed order."""
    return sorted(process for process, watch in watches.items() if watch.is_live(now_s))


def choose_decider(
    watches: Mapping[ProcessId, SchedulerHealth], current: Decider, now_s: float
) -> Decider:
    """Return the live scheduler that most gateways ask, and of those the first in order.

    A scheduler that comes back is not gone back to: gateways judge it steady at
    different moments, and until the last has moved two schedulers fill every target.
    """
    live = list_live(watches, now_s)
    if isinstance(current, LocalDecider):
        if _should_await_asked(watches, live, now_s):
            return current
        # Where all have just begun there is nobody to look for: gateways that looked about
        # decided alone for 0.2 s beside a scheduler that was ready, and for 0.03 s with this
        # (50 draws, `schedulerwatch.feature`).
        if not _have_just_begun(watches, live, now_s):
            live = [
                p for p in live if watches[p].gateway_count or _is_looked_over(watches[p], now_s)
            ]

    def rank(process: ProcessId) -> tuple[int, ProcessId]:
        return -_count_asking(watches, live, process), process

    if isinstance(current, LocalDecider) or current not in live:
        return min(live, key=rank) if live else LocalDecider.LOCAL
    move_after_s = 0.0 if _have_just_begun(watches, live, now_s) else _MOVE_AFTER_S
    steady = [p for p in live if now_s - watches[p].live_since_s > move_after_s]
    return min([current, *steady], key=rank)


def _have_just_begun(
    watches: Mapping[ProcessId, SchedulerHealth], live: list[ProcessId], now_s: float
) -> bool:
    """Tell whether no live scheduler is older than a few seconds.

    Gateways took the one that each heard first then, and come together at the one that most
    ask as soon as they hear of it: nobody has a reason to distrust a scheduler that has just
    come, since all have.
    """
    first_s = min((watches[p].ready_since_s for p in live), default=float("-inf"))
    return now_s - first_s <= _SETTLING_S


def _count_asking(
    watches: Mapping[ProcessId, SchedulerHealth], live: list[ProcessId], process: ProcessId
) -> int:
    """Return how many gateways ask a scheduler, by its own word or that of another.

    A standby's own word is up to 4 s old where there are many schedulers; the scheduler
    that is asked hears from every gateway whom it asks.
    """
    told = (w.most_used_count for p in live if (w := watches[p]).most_used == process)
    return max(watches[process].gateway_count, *told, 0)


def _should_await_asked(
    watches: Mapping[ProcessId, SchedulerHealth], live: list[ProcessId], now_s: float
) -> bool:
    """Tell whether others are said to ask a scheduler that was not heard yet."""
    asked_by = max((watches[p].gateway_count for p in live), default=0)
    for process in live:
        watch = watches[process]
        is_more = watch.most_used_count > asked_by and watch.most_used not in live
        if is_more and now_s - watch.live_since_s < _AWAIT_ASKED_S:
            return True
    return False


def _is_looked_over(watch: SchedulerHealth, now_s: float) -> bool:
    """Tell whether the other schedulers had time to answer as well."""
    return now_s - watch.live_since_s >= _LOOK_OVER_S


def update_standby_periods(
    watches: Mapping[ProcessId, SchedulerHealth], current: Decider, now_s: float
) -> None:
    """Watch the next schedulers in order closely, and all while there is none to ask."""
    is_alone = isinstance(current, LocalDecider)
    others = [process for process in list_live(watches, now_s) if process != current]
    far = set() if is_alone else set(others[_CLOSE_STANDBYS:])
    near_s = _choose_near_period(watches, current, now_s)
    for process, watch in watches.items():
        period_s = _FAR_STANDBY_PERIOD_S if process in far else near_s
        if period_s < watch.standby_period_s:
            watch.wake.set()
        watch.standby_period_s = period_s


def _choose_near_period(
    watches: Mapping[ProcessId, SchedulerHealth], current: Decider, now_s: float
) -> float:
    """Return how often the next schedulers in order are watched, in seconds.

    While the one that is asked has just begun, others may be asked by more gateways.
    """
    if isinstance(current, LocalDecider):
        return _ALONE_PERIOD_S
    watch = watches[current]
    if now_s - watch.ready_since_s > _SETTLING_S:
        return _STANDBY_PERIOD_S
    return min(_STANDBY_PERIOD_S, max(_ALONE_PERIOD_S, watch.period_s))
