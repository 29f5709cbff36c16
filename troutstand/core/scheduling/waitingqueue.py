"""Queue the requests that wait for a target of one service.

Keeps the placement and the shedding order sorted, so that an event does not sort a long queue.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from troutstand.core.scheduling.serviceshares import UNSHARED, ShareTag

if TYPE_CHECKING:
    from collections.abc import Iterator

    from troutstand.generated.messages import RoutedWork

# Tier, lateness, start tag and due time.
Rank = tuple[int, bool, float, float]
# A rank and the sequence number that breaks ties in order of arrival.
_SortKey = tuple[Rank, int]
_HIGHEST_TIER = 0


def get_shed_tier(work: RoutedWork) -> int:
    """Return the tier that applies when requests are shed."""
    return work.tier if work.shed_tier is None else work.shed_tier


@dataclass
class WaitingRequest:
    """Hold a request that waits for a target; times in seconds."""

    work: RoutedWork
    owner: str
    arrived_s: float
    deadline_s: float
    is_late: bool = False
    # Time that the request may wait and still meet its objective, estimated on arrival.
    slack_s: float = 0.0
    # Slack before the time spent prior to arrival is deducted.
    full_slack_s: float = 0.0
    # Shortest time to first byte of any target without other prompts, estimated on arrival.
    min_first_byte_s: float = 0.0
    share: ShareTag = UNSHARED
    # Slot time charged for the promotion to the highest tier; None if the request has its own.
    promoted_slot_s: float | None = None

    # Placement order.
    rank: Rank = field(init=False)
    # Shedding order: as the placement order, but by shed tier.
    shed_rank: Rank = field(init=False)

    def __post_init__(self) -> None:
        self._update_ranks()

    def _update_ranks(self) -> None:
        work = self.work
        if self.promoted_slot_s is not None:
            # Tags of different tiers do not compare.
            self.rank = self.shed_rank = (_HIGHEST_TIER, self.is_late, 0.0, self.due_s)
            return
        key = (self.is_late, self.share.start_s, self.due_s)
        self.rank = (work.tier, *key)
        self.shed_rank = (get_shed_tier(work), *key)

    @property
    def due_s(self) -> float:
        """Return the time by which the first byte meets the objective."""
        return self.arrived_s + self.work.objective_s - self.work.spent_s

    @property
    def first_byte_deadline_s(self) -> float:
        """Return the time after which the caller no longer waits for the first byte."""
        silence_s = self.work.silence_s
        if not silence_s:
            return self.deadline_s
        return min(self.deadline_s, self.arrived_s + silence_s - self.work.spent_s)

    @property
    def arrived_late(self) -> bool:
        """Tell whether the request could no longer meet its objective on arrival."""
        return not self.can_meet_objective(self.arrived_s)

    def can_meet_objective(self, now_s: float) -> bool:
        """Tell whether the request could meet its objective if it were placed now."""
        return now_s + self.min_first_byte_s <= self.due_s

    def mark_late(self) -> None:
        """Rank the request behind on-time ones; use the queue's method for queued requests."""
        self.is_late = True
        self.cancel_promotion()

    def cancel_promotion(self) -> None:
        """Rank the request by its own tier; use the queue's method for queued requests."""
        self.promoted_slot_s = None
        self._update_ranks()


class WaitingQueue:
    """Index waiting requests by id, by placement order and by shedding order."""

    def __init__(self) -> None:
        self._waiting: dict[str, WaitingRequest] = {}
        self._sequence = count()
        self._numbers: dict[str, int] = {}
        self._by_number: dict[int, WaitingRequest] = {}
        self._placement_keys: list[_SortKey] = []
        self._shed_keys: list[_SortKey] = []
        # Late requests by shed tier.
        self._late_counts: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: str) -> bool:
        return request in self._waiting

    def __iter__(self) -> Iterator[str]:
        return iter(self._waiting)

    def list_all(self) -> list[WaitingRequest]:
        """Return all waiting requests in order of arrival."""
        return list(self._waiting.values())

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request, replacing an earlier one with the same id."""
        request = waiting.work.request
        self.pop(request)
        number = next(self._sequence)
        self._waiting[request] = waiting
        self._numbers[request] = number
        self._by_number[number] = waiting
        self._insert_keys(waiting)
        self._late_counts[get_shed_tier(waiting.work)] += waiting.is_late

    def pop(self, request: str) -> WaitingRequest | None:
        """Remove and return a request; return None if it is not queued."""
        waiting = self._waiting.pop(request, None)
        if waiting is None:
            return None
        self._remove_keys(waiting)
        del self._by_number[self._numbers.pop(request)]
        self._late_counts[get_shed_tier(waiting.work)] -= waiting.is_late
        return waiting

    def mark_late(self, waiting: WaitingRequest) -> None:
        """Move a request behind those of its tier that can meet their objective."""
        self._late_counts[get_shed_tier(waiting.work)] += not waiting.is_late
        self._remove_keys(waiting)
        waiting.mark_late()
        self._insert_keys(waiting)

    def cancel_promotion(self, waiting: WaitingRequest) -> None:
        """Move a promoted request back to its own tier."""
        self._remove_keys(waiting)
        waiting.cancel_promotion()
        self._insert_keys(waiting)

    def _remove_keys(self, waiting: WaitingRequest) -> None:
        number = self._numbers[waiting.work.request]
        _remove(self._placement_keys, (waiting.rank, number))
        _remove(self._shed_keys, (waiting.shed_rank, number))

    def _insert_keys(self, waiting: WaitingRequest) -> None:
        number = self._numbers[waiting.work.request]
        insort(self._placement_keys, (waiting.rank, number))
        insort(self._shed_keys, (waiting.shed_rank, number))

    def list_placement_order(
        self, first: int = 0, limit: int | None = None
    ) -> list[WaitingRequest]:
        """Return the waiting requests, or a slice of them, in placement order."""
        end = None if limit is None else first + limit
        return [self._by_number[number] for _, number in self._placement_keys[first:end]]

    def list_shed_order(self) -> list[WaitingRequest]:
        """Return the waiting requests in shedding order; the last is shed first."""
        return [self._by_number[number] for _, number in self._shed_keys]

    def count_placed_before(self, waiting: WaitingRequest) -> int:
        """Return how many other requests rank no later than a queued one for placement."""
        return _count(self._placement_keys, waiting.rank) - 1

    def count_shed_after(self, waiting: WaitingRequest) -> int:
        """Return how many other requests are shed no earlier than a queued one."""
        return _count(self._shed_keys, waiting.shed_rank) - 1

    def count_late_above(self, waiting: WaitingRequest) -> int:
        """Return how many late requests of higher shed tiers are queued."""
        tier = get_shed_tier(waiting.work)
        return sum(count for other, count in self._late_counts.items() if other < tier)


def _remove(keys: list[_SortKey], key: _SortKey) -> None:
    del keys[bisect_left(keys, key)]


def _count(keys: list[_SortKey], rank: Rank) -> int:
    """Return the number of keys whose rank is at most the given one."""
    return bisect_right(keys, rank, key=_get_rank)


def _get_rank(key: _SortKey) -> Rank:
    return key[0]
