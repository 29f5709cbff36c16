"""Find requests that reached targets in spite of a backoff, a shutdown or a rate limit."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from itertools import groupby
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from troutstand.testing.routedcaller import CallResult

# Requests in flight when a target asks for backoff arrive within this time; after it, one
# gateway may send at most this many requests until the backoff ends.
_IN_FLIGHT_S = 0.5
_MAX_DURING_BACKOFF = 2
# A window may hold this multiple of the limit, plus a few requests. A limit is enforced
# from this long after the target first named it.
_LIMIT_WINDOW_S = 4.0
_LIMIT_SHARE = 1.5
_LIMIT_EXTRA_COUNT = 5
_LIMIT_GRACE_S = 1.0


@dataclass(frozen=True)
class Arrival:
    """Describe a request that reached a target; times in seconds on the steady clock.

    Parameters
    ----------
    backoff_s
        Backoff that the target asked for; 0 if it accepted the request.
    is_leaving
        Whether the target's response announced that it shuts down.
    born_ms
        Start time that the target reports; identifies its incarnation.
    limit
        Limit in the target's responses, in requests per second; empty if none.
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
    """Describe a response that named its target's limit, as text in requests per second."""

    request: str
    target: str
    at_s: float
    limit: str


@dataclass(frozen=True)
class LimitViolation:
    """Describe a window in which a target received more requests than its limit allows."""

    target: str
    from_s: float
    count: int
    allowed: int


@dataclass(frozen=True)
class BackoffViolation:
    """Describe a backoff during which one gateway sent more requests than allowed."""

    gateway: str
    target: str
    started_s: float
    backoff_s: float
    arrivals: int


@dataclass(frozen=True)
class _Sender:
    """Identify a gateway and one incarnation of the target that it sent to."""

    gateway: str
    target: str
    born_ms: int


def _group_by_sender(
    arrivals: Iterable[Arrival], results: Mapping[str, CallResult]
) -> dict[_Sender, list[Arrival]]:
    """Group the arrivals by gateway and target incarnation."""
    grouped: dict[_Sender, list[Arrival]] = {}
    for arrival in arrivals:
        if arrival.request not in results:
            # The call was still in flight when the record was closed.
            continue
        sender = _Sender(results[arrival.request].gateway, arrival.target, arrival.born_ms)
        grouped.setdefault(sender, []).append(arrival)
    return grouped


def find_backoff_violations(
    arrivals: Iterable[Arrival],
    results: Mapping[str, CallResult],
    max_count: int = _MAX_DURING_BACKOFF,
) -> list[BackoffViolation]:
    """Return the backoffs during which a gateway sent more requests than allowed."""
    found: list[BackoffViolation] = []
    for sender, group in _group_by_sender(arrivals, results).items():
        for rejected in (arrival for arrival in group if arrival.backoff_s):
            first_s, last_s = rejected.at_s + _IN_FLIGHT_S, rejected.at_s + rejected.backoff_s
            count = sum(1 for arrival in group if first_s < arrival.at_s < last_s)
            if count > max_count:
                found.append(
                    BackoffViolation(
                        sender.gateway, sender.target, rejected.at_s, rejected.backoff_s, count
                    )
                )
    return found


def find_late_sends(
    arrivals: Iterable[Arrival], results: Mapping[str, CallResult], allowed_s: float
) -> list[Arrival]:
    """Return requests that a gateway sent later than `allowed_s` after it saw the shutdown."""
    found: list[Arrival] = []
    for group in _group_by_sender(arrivals, results).values():
        announced_s = min((a.at_s for a in group if a.is_leaving), default=float("inf"))
        found += [a for a in group if results[a.request].began_s > announced_s + allowed_s]
    return found


def find_limit_violations(
    arrivals: Iterable[Arrival],
    limit_notices: Iterable[LimitNotice],
    results: Mapping[str, CallResult],
) -> list[LimitViolation]:
    """Return the windows in which gateways that knew a target's limit exceeded it."""
    notices_by_target: dict[str, list[LimitNotice]] = {}
    for notice in limit_notices:
        notices_by_target.setdefault(notice.target, []).append(notice)
    arrived: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        arrived.setdefault(arrival.target, []).append(arrival)
    return [
        over
        for target, group in arrived.items()
        for period in _list_limit_periods(group)
        for over in _find_over_limit(period, notices_by_target.get(target, []), results)
    ]


def _list_limit_periods(arrivals: list[Arrival]) -> list[list[Arrival]]:
    """Split the arrivals at one target into periods of an unchanged limit."""
    ordered = sorted(arrivals, key=lambda arrival: arrival.at_s)
    periods = groupby(ordered, key=lambda arrival: arrival.limit)
    return [list(period) for limit, period in periods if limit]


def _find_over_limit(
    period: list[Arrival], limit_notices: list[LimitNotice], results: Mapping[str, CallResult]
) -> list[LimitViolation]:
    from_s, to_s, limit = period[0].at_s, period[-1].at_s, period[0].limit
    notices = [n for n in limit_notices if from_s <= n.at_s <= to_s and n.limit == limit]
    enforced_from_s = min((n.at_s for n in notices), default=float("inf")) + _LIMIT_GRACE_S
    known_from_s: dict[str, float] = {}
    for notice in sorted(notices, key=lambda notice: notice.at_s):
        if notice.request in results:
            gateway = results[notice.request].gateway
            known_from_s.setdefault(gateway, max(enforced_from_s, notice.at_s + _IN_FLIGHT_S))
    unknown_s = float("inf")
    times = [
        arrival.at_s
        for arrival in period
        if arrival.request in results
        and arrival.at_s >= known_from_s.get(results[arrival.request].gateway, unknown_s)
    ]
    allowed = int(_LIMIT_SHARE * float(limit) * _LIMIT_WINDOW_S) + _LIMIT_EXTRA_COUNT
    return [
        LimitViolation(period[0].target, from_s, count, allowed)
        for from_s, count in _count_windows(times)
        if count > allowed
    ]


def _count_windows(times: list[float]) -> Iterable[tuple[float, int]]:
    """Yield, for each of the sorted times, the count in the window that it starts."""
    for first, from_s in enumerate(times):
        yield from_s, bisect_left(times, from_s + _LIMIT_WINDOW_S) - first
