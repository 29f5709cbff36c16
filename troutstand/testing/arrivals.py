"""Judge when requests reached targets that had asked to be left alone."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from itertools import groupby
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from troutstand.testing.routedcaller import CallResult

# What is on its way when a target asks for rest may still come for so long, in seconds, and
# so many requests of one gateway may come in the rest that is left.
_ON_ITS_WAY_S = 0.5
_MOST_IN_REST = 2
# A limit is judged in windows of so many seconds: so many times what it allows may come, and
# so many requests more. It counts from so many seconds after the target first named it.
_LIMIT_WINDOW_S = 4.0
_LIMIT_SHARE = 1.5
_LIMIT_EXTRA = 5
_LIMIT_SETTLED_S = 1.0


@dataclass(frozen=True)
class Arrival:
    """Tell of a request that reached a target; times in seconds on the steady clock.

    Parameters
    ----------
    backoff_s
        How long the target asked the gateway not to send; 0 where it took the request.
    is_leaving
        Whether the target's answer said that it leaves.
    born_ms
        When the target says that it was born; tells its lives apart.
    limit
        The limit that its answers name then, in requests a second; empty is not told.
    """

    request: str
    target: str
    at_s: float
    backoff_s: float = 0.0
    is_leaving: bool = False
    born_ms: int = 0
    limit: str = ""


@dataclass(frozen=True)
class LimitNotice:
    """Tell of an answer that named its target's limit, as written in requests a second."""

    request: str
    target: str
    at_s: float
    limit: str


@dataclass(frozen=True)
class LimitViolation:
    """Tell of a window in which a target got more than its limit allows."""

    target: str
    from_s: float
    count: int
    allowed: int


@dataclass(frozen=True)
class BackoffViolation:
    """Tell of a rest in which one gateway sent more than is allowed."""

    gateway: str
    target: str
    started_s: float
    backoff_s: float
    arrivals: int


@dataclass(frozen=True)
class _Sender:
    """Name a gateway and one life of the target that it sent to."""

    gateway: str
    target: str
    born_ms: int


def _group(
    arrivals: Iterable[Arrival], results: Mapping[str, CallResult]
) -> dict[_Sender, list[Arrival]]:
    """Return the arrivals by gateway and target."""
    grouped: dict[_Sender, list[Arrival]] = {}
    for arrival in arrivals:
        if arrival.request not in results:
            # Its caller was still waiting when the record was closed.
            continue
        sender = _Sender(results[arrival.request].gateway, arrival.target, arrival.born_ms)
        grouped.setdefault(sender, []).append(arrival)
    return grouped


def find_backoff_violations(
    arrivals: Iterable[Arrival], results: Mapping[str, CallResult], most: int = _MOST_IN_REST
) -> list[BackoffViolation]:
    """Return the rests in which a gateway sent more requests than it may."""
    found: list[BackoffViolation] = []
    for sender, group in _group(arrivals, results).items():
        for asked in (arrival for arrival in group if arrival.backoff_s):
            first_s, last_s = asked.at_s + _ON_ITS_WAY_S, asked.at_s + asked.backoff_s
            count = sum(1 for arrival in group if first_s < arrival.at_s < last_s)
            if count > most:
                found.append(
                    BackoffViolation(
                        sender.gateway, sender.target, asked.at_s, asked.backoff_s, count
                    )
                )
    return found


def find_late_sends(
    arrivals: Iterable[Arrival], results: Mapping[str, CallResult], allowed_s: float
) -> list[Arrival]:
    """Return what was sent to a target by a gateway that knew for so long that it leaves."""
    found: list[Arrival] = []
    for group in _group(arrivals, results).values():
        told_s = min((a.at_s for a in group if a.is_leaving), default=float("inf"))
        found += [a for a in group if results[a.request].began_s > told_s + allowed_s]
    return found


def find_limit_violations(
    arrivals: Iterable[Arrival],
    limit_notices: Iterable[LimitNotice],
    results: Mapping[str, CallResult],
) -> list[LimitViolation]:
    """Return the windows in which targets got too much from gateways that knew their limit."""
    named: dict[str, list[LimitNotice]] = {}
    for naming in limit_notices:
        named.setdefault(naming.target, []).append(naming)
    came: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        came.setdefault(arrival.target, []).append(arrival)
    return [
        over
        for target, some in came.items()
        for spell in _list_spells(some)
        for over in _find_over_limit(spell, named.get(target, []), results)
    ]


def _list_spells(arrivals: list[Arrival]) -> list[list[Arrival]]:
    """Return the runs of arrivals at one target in which it kept to one limit."""
    ordered = sorted(arrivals, key=lambda arrival: arrival.at_s)
    spells = groupby(ordered, key=lambda arrival: arrival.limit)
    return [list(spell) for limit, spell in spells if limit]


def _find_over_limit(
    spell: list[Arrival], limit_notices: list[LimitNotice], results: Mapping[str, CallResult]
) -> list[LimitViolation]:
    from_s, to_s, limit = spell[0].at_s, spell[-1].at_s, spell[0].limit
    told = [n for n in limit_notices if from_s <= n.at_s <= to_s and n.limit == limit]
    settled_s = min((n.at_s for n in told), default=float("inf")) + _LIMIT_SETTLED_S
    knew_s: dict[str, float] = {}
    for naming in sorted(told, key=lambda naming: naming.at_s):
        if naming.request in results:
            gateway = results[naming.request].gateway
            knew_s.setdefault(gateway, max(settled_s, naming.at_s + _ON_ITS_WAY_S))
    never_s = float("inf")
    times = [
        arrival.at_s
        for arrival in spell
        if arrival.request in results
        and arrival.at_s >= knew_s.get(results[arrival.request].gateway, never_s)
    ]
    allowed = int(_LIMIT_SHARE * float(limit) * _LIMIT_WINDOW_S) + _LIMIT_EXTRA
    return [
        LimitViolation(spell[0].target, from_s, count, allowed)
        for from_s, count in _count_windows(times)
        if count > allowed
    ]


def _count_windows(times: list[float]) -> Iterable[tuple[float, int]]:
    """Return how many of some ordered times lie in the window that begins with each of them."""
    for first, from_s in enumerate(times):
        yield from_s, bisect_left(times, from_s + _LIMIT_WINDOW_S) - first
