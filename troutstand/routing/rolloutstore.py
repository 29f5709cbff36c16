"""Change the rollout book at a keeper, by a majority of the keepers."""

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
    """Return the book that a keeper holds; an empty one before the first."""
    return decode_record(stored.content, RolloutBook) if stored.version else RolloutBook()


class RolloutStore:
    """Drive changes of the rollout book from one keeper."""

    def __init__(self, line: LineClient, events: EventBus) -> None:
        self._line = line
        self._events = events

    async def read(self) -> RolloutBook:
        """Return a book no older than any that was told before the call.

        Raises
        ------
        TroutstandError
            CONFIGURATION_UNKNOWN where no majority tells it in time.
        """
        return decode_book(await self._line.read())

    async def begin(self, ask: RolloutRequest) -> RolloutBook:
        """Take an operator's order and return the book that holds it.

        Raises
        ------
        TroutstandError
            ROLLOUT_UNDER_WAY, or CONFIGURATION_UNKNOWN; the order may be in the book later
            all the same.
        """
        told = await self._change(lambda book, number: begin(book, ask, number, time.time()))
        return told.book

    async def abort(self, service: str) -> RolloutBook:
        """Roll the order under way back, as an operator wishes.

        Raises
        ------
        TroutstandError
            ROLLOUT_UNKNOWN where none is under way, or CONFIGURATION_UNKNOWN.
        """
        return (await self._change(lambda book, _: abort(book, service))).book

    async def advance(self, ask: RolloutAdvance) -> RolloutsTold:
        """Take an order to its next state and return the book, whatever it says then."""
        return await self._change(
            lambda book, _: advance(book, ask.service, ask.number, ask.state, ask.detail)
        )

    async def record_versions(self, seen: VersionsSeen) -> RolloutsTold:
        """Note which version serves where that is not known yet."""
        return await self._change(lambda book, _: record_versions(book, seen.services))

    async def _change(self, change: Change) -> RolloutsTold:
        """Propose the next book until this change, or none, is needed."""
        while True:
            held = await self._line.read()
            book = decode_book(held)
            following = change(book, held.version + 1)
            if following is book:
                return RolloutsTold(held.version, book)
            wanted = StoredConfiguration(held.version + 1, encode_record(following), Line.rollouts)
            decided = await self._line.replace(wanted)
            if decided == wanted:
                self._note_changes(book, following, decided.version)
                return RolloutsTold(decided.version, following)

    def _note_changes(self, before: RolloutBook, now: RolloutBook, version: int) -> None:
        known = {entry.service: entry for entry in before.services}
        for entry in now.services:
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
