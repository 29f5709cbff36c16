"""Keep the newest rollout book that a process heard of, and how sure it may be of it."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.rollouts.canary import RolloutView
from troutstand.generated.messages import RolloutBook
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.core.rollouts.admission import ExposureLimit
    from troutstand.generated.messages import ContactReply, RolloutOrder
    from troutstand.util.events import EventBus

# The lease on a version on trial as a share of the time within which a failed version must
# get no more requests: the verdict and its agreement take a part of that time as well.
_LEASE_SHARE = 0.3


@dataclass(frozen=True)
class ReceivedOrder:
    """Keep when an order was heard of, and how old it was then; in seconds."""

    received_s: float
    age_s: float


class RolloutCache:
    """Hold the book; it only moves forward.

    Parameters
    ----------
    rollback_s
        Seconds within which a version that failed gets no more requests.
    bound
        What a version on trial may get until its order's deadline.
    """

    def __init__(self, events: EventBus, rollback_s: float, bound: ExposureLimit) -> None:
        self.book = RolloutBook()
        self.version = 0
        self._events = events
        self._lease_s = _LEASE_SHARE * rollback_s
        self._bound = bound
        self._confirmed_s = float("-inf")
        self._orders: dict[int, ReceivedOrder] = {}
        self._switched_s: dict[int, float] = {}

    def handle_reply(self, reply: ContactReply, asked_s: float) -> None:
        """Take a keeper's word; it confirms the book where a newer one would be known to it."""
        if reply.rollouts is not None:
            self.install(reply.rollouts, reply.rollouts_version)
        if reply.is_backed and reply.rollouts_version == self.version:
            self._confirmed_s = max(self._confirmed_s, asked_s)

    def install(self, book: RolloutBook, version: int) -> None:
        """Take a newer book."""
        if version <= self.version:
            return
        now_s = read_clock_s()
        known = {entry.service: entry for entry in self.book.services}
        for entry in book.services:
            if entry.order is not None and entry.order.number not in self._orders:
                self._orders[entry.order.number] = _hear_order(entry.order, now_s)
            if known.get(entry.service) == entry:
                continue
            self._events.emit(
                "rollout_in_force",
                service=entry.service,
                in_force=entry.in_force,
                target_version=entry.order.version if entry.order is not None else "",
                state=entry.order.state.value if entry.order is not None else "none",
                book=version,
            )
        self.book, self.version = book, version

    def is_leased(self, now_s: float) -> bool:
        """Tell whether the book was confirmed lately enough to send to a version on trial."""
        return now_s - self._confirmed_s < self._lease_s

    def make_view(self, now_s: float, may_sample: bool) -> RolloutView:
        """Describe the book to a decider."""
        return RolloutView(self.book, self.is_leased(now_s), may_sample, self._bound)

    def get_order_age_s(self, order: RolloutOrder, now_s: float) -> float:
        """Return the seconds since an order was taken.

        The steady clock counts from when it was heard of; only the age it had then comes
        from the time of day, which may be wrong or jump.
        """
        heard = self._orders[order.number]
        return heard.age_s + now_s - heard.received_s

    def measure_switched_s(self, order: RolloutOrder, now_s: float) -> float:
        """Return the seconds since this process first acted on an order's switch."""
        return now_s - self._switched_s.setdefault(order.number, now_s)


def _hear_order(order: RolloutOrder, now_s: float) -> ReceivedOrder:
    age_s = min(order.duration_s, max(0.0, time.time() - order.began_at_s))
    return ReceivedOrder(now_s, age_s)
