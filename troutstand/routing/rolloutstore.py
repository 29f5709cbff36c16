"""Change the rollout book through a quorum of the keepers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from troutstand.core.codec import decode_record, encode_record
from troutstand.core.rollouts.state import abort, advance, begin, record_versions
from troutstand.generated.messages import Line, RolloutBook, RolloutsTold, StoredConfiguration

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.rollouts.state import RolloutRequest
    from troutstand.generated.messages import RolloutAdvance, VersionsSeen
    from troutstand.routing.lineclient import LineClient
    from troutstand.util.events import EventBus

    Change = Callable[[RolloutBook, int], RolloutBook]


def decode_book(stored: StoredConfiguration) -> RolloutBook:
    """Decode a stored book; return an empty one if nothing is stored yet."""
    return decode_record(stored.content, RolloutBook) if stored.version else RolloutBook()


class RolloutStore:
    """Read the rollout book and propose changes to it."""

    def __init__(self, line: LineClient, events: EventBus) -> None:
        self._line = line
        self._events = events

    async def read(self) -> RolloutBook:
        """Return the current book, as a linearizable read.

        Raises
        ------
        TroutstandError
            CONFIGURATION_UNKNOWN if no quorum replies in time.
        """
        return decode_book(await self._line.read())

    async def begin(self, request: RolloutRequest) -> RolloutBook:
        """Add an operator's order and return the book that contains it.

        Raises
        ------
        TroutstandError
            ROLLOUT_UNDER_WAY if the service has another active order.
            CONFIGURATION_UNKNOWN if no quorum replies in time; the order may take effect later.
        """
        result = await self._change(lambda book, number: begin(book, request, number, time.time()))
        return result.book

    async def abort(self, service: str) -> RolloutBook:
        """Roll back the active order of a service.

        Raises
        ------
        TroutstandError
            ROLLOUT_UNKNOWN if there is none; CONFIGURATION_UNKNOWN as for `begin`.
        """
        return (await self._change(lambda book, _: abort(book, service))).book

    async def advance(self, request: RolloutAdvance) -> RolloutsTold:
        """Move an order to a state if that is allowed, and return the resulting book."""
        return await self._change(
            lambda book, _: advance(
                book, request.service, request.number, request.state, request.detail
            )
        )

    async def record_versions(self, seen: VersionsSeen) -> RolloutsTold:
        """Record the versions in force of services that have none, and return the book."""
        return await self._change(lambda book, _: record_versions(book, seen.services))

    async def _change(self, change: Change) -> RolloutsTold:
        """Apply a change by compare-and-set; retry while other changes are decided first."""
        while True:
            current = await self._line.read()
            book = decode_book(current)
            updated = change(book, current.version + 1)
            if updated is book:
                return RolloutsTold(current.version, book)
            proposal = StoredConfiguration(
                current.version + 1, encode_record(updated), Line.rollouts
            )
            decided = await self._line.replace(proposal)
            if decided == proposal:
                self._log_changes(book, updated, decided.version)
                return RolloutsTold(decided.version, updated)

    def _log_changes(self, before: RolloutBook, after: RolloutBook, version: int) -> None:
        known = {entry.service: entry for entry in before.services}
        for entry in after.services:
            if known.get(entry.service) == entry:
                continue
            order = entry.order
            self._events.emit(
                "rollout_decided",
                service=entry.service,
                in_force=entry.in_force,
                target_version=order.version if order is not None else "",
                state=order.state.value if order is not None else "none",
                detail=order.detail if order is not None else "",
                book=version,
            )
