"""Cache the newest rollout book of a process, with a lease on its validity."""

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

# Duration of the lease on a canary version as a share of the rollback time, which must also
# cover the evaluation and the keepers' agreement.
_LEASE_SHARE = 0.3


@dataclass(frozen=True)
class ReceivedOrder:
    """Hold when an order was received and its age at that time, in seconds."""

    received_s: float
    age_s: float


class RolloutCache:
    """Hold the newest known book; older books are ignored.

    Parameters
    ----------
    rollback_s
        Time within which a failed version must receive no more requests, in seconds.
    limit
        What a canary version may receive until its order's deadline.
    """

    def __init__(self, events: EventBus, rollback_s: float, limit: ExposureLimit) -> None:
        self.book = RolloutBook()
        self.version = 0
        self._events = events
        self._lease_s = _LEASE_SHARE * rollback_s
        self._limit = limit
        self._confirmed_s = float("-inf")
        self._orders: dict[int, ReceivedOrder] = {}
        self._switched_s: dict[int, float] = {}

    def handle_reply(self, reply: ContactReply, asked_s: float) -> None:
        """Install the book of a keeper's reply, and renew the lease if a quorum backs the reply."""
        if reply.rollouts is not None:
            self.install(reply.rollouts, reply.rollouts_version)
        if reply.is_backed and reply.rollouts_version == self.version:
            self._confirmed_s = max(self._confirmed_s, asked_s)

    def install(self, book: RolloutBook, version: int) -> None:
        """Install a book if it is newer, and log the entries that changed."""
        if version <= self.version:
            return
        now_s = read_clock_s()
        known = {entry.service: entry for entry in self.book.services}
        for entry in book.services:
            if entry.order is not None and entry.order.number not in self._orders:
                self._orders[entry.order.number] = _make_received_order(entry.order, now_s)
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
        """Return whether the lease, which sending to a canary version requires, is valid."""
        return now_s - self._confirmed_s < self._lease_s

    def make_view(self, now_s: float, may_sample: bool) -> RolloutView:
        """Return the rollouts as a dispatcher sees them."""
        return RolloutView(self.book, self.is_leased(now_s), may_sample, self._limit)

    def get_order_age_s(self, order: RolloutOrder, now_s: float) -> float:
        """Return the seconds since an order was accepted.

        Counts on the steady clock since the order was received; only its age at that time
        depends on the wall clock, which may be wrong or jump.
        """
        received = self._orders[order.number]
        return received.age_s + now_s - received.received_s

    def measure_switched_s(self, order: RolloutOrder, now_s: float) -> float:
        """Return the seconds since this process first acted on an order's switch.

        The first call for an order starts the count.
        """
        return now_s - self._switched_s.setdefault(order.number, now_s)


def _make_received_order(order: RolloutOrder, now_s: float) -> ReceivedOrder:
    age_s = min(order.duration_s, max(0.0, time.time() - order.began_at_s))
    return ReceivedOrder(now_s, age_s)
