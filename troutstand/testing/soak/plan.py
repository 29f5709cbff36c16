"""Generate the faults and operator actions of a soak from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class EventKind(Enum):
    """Name the kinds of faults and operator actions."""

    SUSPEND = "freeze"
    KILL = "kill"
    STOP = "stop"
    RELOAD = "reload"
    KILL_KEEPERS = "kill all keepers"
    LOSE_DISK = "lose disk"
    REPLACE_KEEPER = "replace keeper"
    CUT_LINK = "cut link"
    CUT_LINK_ONE_WAY = "cut one way"
    DELAY_LINK = "delay link"
    RESET_LINKS = "reset links"
    TARGET_FAULT = "target fault"
    TARGET_CRASH = "target crash"
    TARGET_DRAIN = "target drain"
    LIST_OUTAGE = "list down"
    CONFIGURE = "configure"
    CONFIGURE_CONCURRENTLY = "race"
    DISCONNECT_CALLER = "leave"
    CUT_GATEWAYS = "cut gateways from targets"
    LOSE_ALL_POWER = "all processes are away"
    LOSE_ALL_POWER_AND_DISK = "all processes are away, and a disk is lost"
    LOSE_MOST = "most gateways and schedulers are away"
    SEND_CRASHING_PART = "send a prompt part that crashes targets"


# Relative frequencies.
_WEIGHTS = {
    EventKind.SUSPEND: 12,
    EventKind.KILL: 12,
    EventKind.STOP: 10,
    EventKind.RELOAD: 3,
    EventKind.KILL_KEEPERS: 2,
    EventKind.LOSE_DISK: 5,
    EventKind.REPLACE_KEEPER: 3,
    EventKind.CUT_LINK: 9,
    EventKind.CUT_LINK_ONE_WAY: 5,
    EventKind.DELAY_LINK: 5,
    EventKind.RESET_LINKS: 4,
    EventKind.TARGET_FAULT: 10,
    EventKind.TARGET_CRASH: 5,
    EventKind.TARGET_DRAIN: 4,
    EventKind.LIST_OUTAGE: 2,
    EventKind.CONFIGURE: 12,
    EventKind.CONFIGURE_CONCURRENTLY: 5,
    EventKind.DISCONNECT_CALLER: 2,
}
# These events need a complete keeper set and time for its recovery.
_DISK_EVENTS = (EventKind.LOSE_DISK, EventKind.REPLACE_KEEPER)
_MIN_DISK_EVENT_GAP_S = 10.0
_MAX_DURATION_S = 4.0
# A cut must outlast the time after which its callers have to be served again.
_CUT_DURATION_S = (4.0, 8.0)
_CUT_INTERVAL_S = 10.0
_PART_INTERVAL_S = 0.5
_LOSSES = (
    EventKind.LOSE_ALL_POWER,
    EventKind.LOSE_ALL_POWER_AND_DISK,
    EventKind.LOSE_MOST,
    EventKind.LOSE_MOST,
)
_LOSS_INTERVAL_S = 6.0
_LOSS_DURATION_S = (0.3, 4.0)


@dataclass(frozen=True)
class SoakEvent:
    """Describe one event; times are in seconds from the start of the traffic.

    Parameters
    ----------
    choice
        Number that selects one of the eligible processes or targets, modulo their count.
    second_choice
        Number that selects a second one or a variant of the event.
    """

    at_s: float
    kind: EventKind
    duration_s: float
    choice: int
    second_choice: int


def generate_gateway_cuts(seed: int, duration_s: float) -> list[SoakEvent]:
    """Generate cuts of gateways from all targets.

    They have random numbers of their own, so that the other events of a seed stay the same.
    """
    rng = random.Random(f"gateway cuts {seed}")
    events: list[SoakEvent] = []
    at_s = rng.uniform(0.5, 2.0)
    while at_s < duration_s:
        choice, second_choice = rng.randrange(1 << 16), rng.randrange(1 << 16)
        cut_s = rng.uniform(*_CUT_DURATION_S)
        events.append(SoakEvent(at_s, EventKind.CUT_GATEWAYS, cut_s, choice, second_choice))
        at_s += cut_s + rng.expovariate(1.0 / _CUT_INTERVAL_S)
    return events


def generate_losses(seed: int, duration_s: float) -> list[SoakEvent]:
    """Generate losses of most or all processes, the last one at the end of the soak.

    They have random numbers of their own, so that the other events of a seed stay the same.
    """
    rng = random.Random(f"losses {seed}")
    times_s: list[float] = []
    at_s = rng.uniform(1.0, _LOSS_INTERVAL_S)
    while at_s < duration_s - 1.0:
        times_s.append(at_s)
        at_s += rng.expovariate(1.0 / _LOSS_INTERVAL_S)
    return [
        SoakEvent(
            loss_s,
            rng.choice(_LOSSES),
            rng.uniform(*_LOSS_DURATION_S),
            rng.randrange(1 << 16),
            rng.randrange(1 << 16),
        )
        for loss_s in (*times_s, duration_s - 0.1)
    ]


def generate_crashing_parts(seed: int, duration_s: float) -> list[SoakEvent]:
    """Generate requests with prompt parts that crash targets, with random numbers of their own."""
    rng = random.Random(f"crashing parts {seed}")
    events: list[SoakEvent] = []
    at_s = rng.uniform(0.5, duration_s / 2)
    while at_s < duration_s:
        choice, second_choice = rng.randrange(1 << 16), rng.randrange(1 << 16)
        events.append(SoakEvent(at_s, EventKind.SEND_CRASHING_PART, 0.0, choice, second_choice))
        at_s += rng.expovariate(1.0 / _PART_INTERVAL_S)
    return events


def generate_events(seed: int, duration_s: float, faults_per_s: float) -> list[SoakEvent]:
    """Generate the events of one soak; equal seeds give equal events."""
    rng = random.Random(seed)
    kinds, weights = list(_WEIGHTS), list(_WEIGHTS.values())
    events: list[SoakEvent] = []
    last_disk_event_s = float("-inf")
    at_s = 1.0
    while at_s < duration_s:
        kind = rng.choices(kinds, weights)[0]
        event_duration_s = rng.uniform(0.2, _MAX_DURATION_S)
        choice, second_choice = rng.randrange(1 << 16), rng.randrange(1 << 16)
        if kind in _DISK_EVENTS:
            if (
                at_s - last_disk_event_s < _MIN_DISK_EVENT_GAP_S
                or at_s > duration_s - _MIN_DISK_EVENT_GAP_S
            ):
                kind = EventKind.KILL
            else:
                last_disk_event_s = at_s
        events.append(SoakEvent(at_s, kind, event_duration_s, choice, second_choice))
        at_s += rng.expovariate(faults_per_s)
    return events
