"""Draw a soak's faults from a seed: in series, overlapping, more than once."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """Say what is done to the site."""

    FREEZE = "freeze"
    KILL = "kill"
    STOP = "stop"
    RELOAD = "reload"
    KILL_KEEPERS = "kill all keepers"
    LOSE_DISK = "lose disk"
    REPLACE_KEEPER = "replace keeper"
    CUT_LINK = "cut link"
    CUT_ONE_WAY = "cut one way"
    DELAY_LINK = "delay link"
    RESET_LINKS = "reset links"
    TARGET_FAULT = "target fault"
    TARGET_CRASH = "target crash"
    TARGET_DRAIN = "target drain"
    LIST_DOWN = "list down"
    CONFIGURE = "configure"
    RACE = "race"
    LEAVE = "leave"


# How often each kind comes among a hundred.
_WEIGHTS = {
    Kind.FREEZE: 12,
    Kind.KILL: 12,
    Kind.STOP: 10,
    Kind.RELOAD: 3,
    Kind.KILL_KEEPERS: 2,
    Kind.LOSE_DISK: 5,
    Kind.REPLACE_KEEPER: 3,
    Kind.CUT_LINK: 9,
    Kind.CUT_ONE_WAY: 5,
    Kind.DELAY_LINK: 5,
    Kind.RESET_LINKS: 4,
    Kind.TARGET_FAULT: 10,
    Kind.TARGET_CRASH: 5,
    Kind.TARGET_DRAIN: 4,
    Kind.LIST_DOWN: 2,
    Kind.CONFIGURE: 12,
    Kind.RACE: 5,
    Kind.LEAVE: 2,
}
# Losing a disk, or a keeper for good, needs a whole set, and time to mend it.
_DISK_KINDS = (Kind.LOSE_DISK, Kind.REPLACE_KEEPER)
_DISK_PAUSE_S = 10.0
_MAX_LENGTH_S = 4.0


@dataclass(frozen=True)
class Event:
    """Hold one fault; times in seconds from the start of traffic.

    Parameters
    ----------
    pick
        Chooses among the processes or targets that fit, whatever their number.
    """

    at_s: float
    kind: Kind
    length_s: float
    pick: int
    other: int


def draw_plan(seed: int, length_s: float, per_s: float) -> list[Event]:
    """Draw the faults of one soak."""
    chance = random.Random(seed)
    kinds, weights = list(_WEIGHTS), list(_WEIGHTS.values())
    events: list[Event] = []
    disk_at_s = float("-inf")
    at_s = 1.0
    while at_s < length_s:
        kind = chance.choices(kinds, weights)[0]
        length = chance.uniform(0.2, _MAX_LENGTH_S)
        pick, other = chance.randrange(1 << 16), chance.randrange(1 << 16)
        if kind in _DISK_KINDS:
            if at_s - disk_at_s < _DISK_PAUSE_S or at_s > length_s - _DISK_PAUSE_S:
                kind = Kind.KILL
            else:
                disk_at_s = at_s
        events.append(Event(at_s, kind, length, pick, other))
        at_s += chance.expovariate(per_s)
    return events
