"""Keep a routed keeper alive while its disk refuses writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.daemon.journal import Journal

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.stored import StoredRecord
    from troutstand.daemon.storage import Storage
    from troutstand.util.events import EventBus


class RecoveringJournal(Journal):
    """Write records to the disk, and stop voting while it refuses them.

    After a refused write memory is ahead of the disk. Nothing that rests on it
    may be told until the whole state was written anew.

    Parameters
    ----------
    collect
        Returns the whole state, to be written where the log cannot be trusted.
    """

    def __init__(
        self, storage: Storage, events: EventBus, collect: Callable[[], list[StoredRecord]]
    ) -> None:
        super().__init__(storage)
        self.is_failed = False
        self._events = events
        self._collect = collect

    def _append(self, records: list[StoredRecord]) -> TroutstandError | None:
        if self.is_failed:
            return TroutstandError(ResultCode.STORAGE_FAILED, "the disk refused an earlier write")
        if not records:
            return None
        try:
            self._storage.append(records)
        except TroutstandError as error:
            self.is_failed = True
            self._events.emit("disk_failed", code=error.code, detail=error.detail)
            return error
        return None

    async def recover(self) -> None:
        """Try to write the whole state anew after a refused write."""
        if not self.is_failed:
            return
        try:
            self.write_snapshot()
        except TroutstandError:
            # disk_failed was logged when it began to refuse; disk_recovered ends it.
            return
        self.is_failed = False
        self._events.emit("disk_recovered")

    def write_snapshot(self) -> None:
        """Replace the log by the state it leads to.

        Raises
        ------
        TroutstandError
            STORAGE_FAILED.
        """
        records = self._collect()
        try:
            self._storage.replace(records)
        except OSError as error:
            raise TroutstandError(ResultCode.STORAGE_FAILED, str(error)) from error
        self._events.emit("snapshot_written", records=len(records))
