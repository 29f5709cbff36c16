"""Judge when requests reached targets that had asked to be left alone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from troutstand.testing.routedcaller import CallResult

# What is on its way when a target asks for rest may still come for so long, in seconds, and
# so many requests of one gateway may come in the rest that is left.
_ON_ITS_WAY_S = 0.5
_MOST_IN_REST = 2


@dataclass(frozen=True)
class Arrival:
    """Tell of a request that reached a target; times in seconds on the steady clock.

    Parameters
    ----------
    rest_s
        How long the target asked the gateway not to send; 0 where it took the request.
    tells_leaving
        Whether the target's answer said that it leaves.
    born_ms
        When the target says that it was born; tells its lives apart.
    """

    request: str
    target: str
    at_s: float
    rest_s: float = 0.0
    tells_leaving: bool = False
    born_ms: int = 0


@dataclass(frozen=True)
class Crowded:
    """Tell of a rest in which one gateway sent more than is allowed."""

    gateway: str
    target: str
    asked_s: float
    rest_s: float
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


def find_crowded(
    arrivals: Iterable[Arrival], results: Mapping[str, CallResult], most: int = _MOST_IN_REST
) -> list[Crowded]:
    """Return the rests in which a gateway sent more requests than it may."""
    found: list[Crowded] = []
    for sender, group in _group(arrivals, results).items():
        for asked in (arrival for arrival in group if arrival.rest_s):
            first_s, last_s = asked.at_s + _ON_ITS_WAY_S, asked.at_s + asked.rest_s
            count = sum(1 for arrival in group if first_s < arrival.at_s < last_s)
            if count > most:
                found.append(
                    Crowded(sender.gateway, sender.target, asked.at_s, asked.rest_s, count)
                )
    return found


def find_late(
    arrivals: Iterable[Arrival], results: Mapping[str, CallResult], allowed_s: float
) -> list[Arrival]:
    """Return what was sent to a target by a gateway that knew for so long that it leaves."""
    found: list[Arrival] = []
    for group in _group(arrivals, results).values():
        told_s = min((a.at_s for a in group if a.tells_leaving), default=float("inf"))
        found += [a for a in group if results[a.request].began_s > told_s + allowed_s]
    return found
