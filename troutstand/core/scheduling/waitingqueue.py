"""Keep the requests that wait for a target of one service, in their order.

Answers long queues: sorted anew at each event, a queue of 400 took two thirds of a
decider's time in bursts.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from troutstand.core.scheduling.serviceshares import UNSHARED, ShareTag

if TYPE_CHECKING:
    from collections.abc import Iterator

    from troutstand.generated.messages import RoutedWork

# Tier, whether it is late, its share, until when it is due.
Rank = tuple[int, bool, float, float]
# A rank, and what keeps those of one rank in the order in which they came.
_Key = tuple[Rank, int]


def get_shed_tier(work: RoutedWork) -> int:
    """Return the tier by which a request is refused."""
    return work.tier if work.shed_tier is None else work.shed_tier


@dataclass
class WaitingRequest:
    """Hold a request that has no target yet; times in seconds."""

    work: RoutedWork
    owner: str
    arrived_s: float
    deadline_s: float
    is_late: bool = False
    # How long it may wait and still be in time, as estimated when it arrived.
    slack_s: float = 0.0
    # The same, had it just come from its caller.
    full_slack_s: float = 0.0
    # The least that a target needs until its first byte, as estimated when it arrived.
    min_first_byte_s: float = 0.0
    # Where its workspace's share puts it, and what it was charged; 0 without fair sharing.
    share: ShareTag = UNSHARED

    # What orders the queue: the tier, who can be in time, whose share it is, who is due first.
    rank: Rank = field(init=False)
    # What decides who is refused: the same, by another tier where the two differ.
    shed_rank: Rank = field(init=False)

    def __post_init__(self) -> None:
        self._rank()

    def _rank(self) -> None:
        work = self.work
        place = (self.is_late, self.share.start_s, self.due_s)
        self.rank = (work.tier, *place)
        self.shed_rank = (get_shed_tier(work), *place)

    @property
    def due_s(self) -> float:
        """Return until when the first byte is in time."""
        return self.arrived_s + self.work.objective_s - self.work.spent_s

    @property
    def first_byte_deadline_s(self) -> float:
        """Return until when the first byte must come: later its caller has left."""
        silence_s = self.work.silence_s
        if not silence_s:
            return self.deadline_s
        return min(self.deadline_s, self.arrived_s + silence_s - self.work.spent_s)

    @property
    def arrived_late(self) -> bool:
        """Tell whether it could not be in time any more when it came."""
        return not self.can_meet_objective(self.arrived_s)

    def can_meet_objective(self, now_s: float) -> bool:
        """Tell whether a target that got the request now could still be in time."""
        return now_s + self.min_first_byte_s <= self.due_s

    def mark_late(self) -> None:
        """Take the rank of those that cannot be in time; a queue that holds it must know."""
        self.is_late = True
        self._rank()


class WaitingQueue:
    """Hold those that wait by request, in the order of placements and of refusals."""

    def __init__(self) -> None:
        self._waiting: dict[str, WaitingRequest] = {}
        self._numbers = count()
        self._numbered: dict[str, int] = {}
        self._by_number: dict[int, WaitingRequest] = {}
        self._placed: list[_Key] = []
        self._shed: list[_Key] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: str) -> bool:
        return request in self._waiting

    def __iter__(self) -> Iterator[str]:
        return iter(self._waiting)

    def list_all(self) -> list[WaitingRequest]:
        """Return all that wait, in the order in which they came."""
        return list(self._waiting.values())

    def add(self, waiting: WaitingRequest) -> None:
        """Take a request in."""
        request = waiting.work.request
        self.pop(request)
        number = next(self._numbers)
        self._waiting[request] = waiting
        self._numbered[request] = number
        self._by_number[number] = waiting
        insort(self._placed, (waiting.rank, number))
        insort(self._shed, (waiting.shed_rank, number))

    def pop(self, request: str) -> WaitingRequest | None:
        """Take a request out and return it; None where it does not wait."""
        waiting = self._waiting.pop(request, None)
        if waiting is None:
            return None
        number = self._numbered.pop(request)
        del self._by_number[number]
        _remove(self._placed, (waiting.rank, number))
        _remove(self._shed, (waiting.shed_rank, number))
        return waiting

    def mark_late(self, waiting: WaitingRequest) -> None:
        """Put a request behind those of its tier that can be in time."""
        number = self._numbered[waiting.work.request]
        _remove(self._placed, (waiting.rank, number))
        _remove(self._shed, (waiting.shed_rank, number))
        waiting.mark_late()
        insort(self._placed, (waiting.rank, number))
        insort(self._shed, (waiting.shed_rank, number))

    def list_placement_order(self, first: int = 0, most: int | None = None) -> list[WaitingRequest]:
        """Return those that wait in the order of placements, or some of them."""
        end = None if most is None else first + most
        return [self._by_number[number] for _, number in self._placed[first:end]]

    def list_shed_order(self) -> list[WaitingRequest]:
        """Return those that wait, who is refused last first."""
        return [self._by_number[number] for _, number in self._shed]

    def count_placed_before(self, waiting: WaitingRequest) -> int:
        """Return how many others are placed before a request that waits."""
        return _count(self._placed, waiting.rank) - 1

    def count_shed_after(self, waiting: WaitingRequest) -> int:
        """Return how many others are refused after a request that waits."""
        return _count(self._shed, waiting.shed_rank) - 1


def _remove(keys: list[_Key], key: _Key) -> None:
    del keys[bisect_left(keys, key)]


def _count(keys: list[_Key], rank: Rank) -> int:
    """Return how many keys have at most a rank."""
    return bisect_right(keys, rank, key=_get_rank)


def _get_rank(key: _Key) -> Rank:
    return key[0]
