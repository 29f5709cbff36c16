"""Replicate the log of accepted table versions and serve it to peers."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from troutstand.core.codec import decode_record
from troutstand.core.table import Table
from troutstand.generated.messages import Changes, ChangesAsk, Snapshot
from troutstand.generated.table import Change

if TYPE_CHECKING:
    from troutstand.core.ids import Version

# A peer that is further behind is sent a snapshot.
MAX_KEPT_CHANGES = 2000
# Size limit of the changes in one message; a single larger change is sent alone.
MAX_PAGE_BYTES = 512 * 1024


class Follower:
    """Hold the table and its latest changes; versions only increase."""

    def __init__(self) -> None:
        self.table = Table()
        self._changes: OrderedDict[int, bytes] = OrderedDict()

    @property
    def version(self) -> Version:
        """Return the latest applied version."""
        return self.table.version

    def list_unapplied(self, message: Changes) -> list[tuple[int, bytes]]:
        """Return the changes of a message that are newer than the table, in order."""
        skipped_count = self.version + 1 - message.first
        if skipped_count < 0:
            return []
        numbered = enumerate(message.changes, start=message.first)
        return [(version, data) for version, data in numbered if version > self.version]

    def apply(self, version: int, data: bytes) -> bool:
        """Apply a change and return True, or return False if it is not the next version."""
        if not self.table.apply(version, decode_record(data, Change)):
            return False
        self._changes[version] = data
        while len(self._changes) > MAX_KEPT_CHANGES:
            self._changes.popitem(last=False)
        return True

    def install(self, version: int, packed: bytes) -> bool:
        """Replace the table by an encoded snapshot and return True if that is newer."""
        if not self.table.unpack(version, packed):
            return False
        self._changes.clear()
        return True

    def get_change(self, version: int) -> bytes | None:
        """Return a version's encoded change, or None if it is no longer kept."""
        return self._changes.get(version)

    def answer(self, ask: ChangesAsk) -> Changes | Snapshot:
        """Return the changes after the version that a peer has, or a snapshot."""
        first = ask.after + 1
        if first <= self.version and first not in self._changes:
            return Snapshot(self.version, self.table.pack())
        page: list[bytes] = []
        size = 0
        for version in range(first, self.version + 1):
            data = self._changes[version]
            size += len(data)
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(data)
        return Changes(first, self.version, page)
