"""Let a routed keeper recover from failed writes to its disk."""

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
    """Write records to the disk, and fail all writes after an error until a snapshot succeeds.

    After a failed write, the state in memory is ahead of the disk and must not be
    acknowledged before a snapshot of it is written.

    Parameters
    ----------
    collect_state
        Returns the full state as records, for a snapshot.
    """

    def __init__(
        self, storage: Storage, events: EventBus, collect_state: Callable[[], list[StoredRecord]]
    ) -> None:
        super().__init__(storage)
        self.is_failed = False
        self._events = events
        self._collect_state = collect_state

    def _append(self, records: list[StoredRecord]) -> TroutstandError | None:
        if self.is_failed:
            return TroutstandError(ResultCode.STORAGE_FAILED, "an earlier write to the disk failed")
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
        """Try to write a snapshot after a failed write."""
        if not self.is_failed:
            return
        try:
            self.write_snapshot()
        except TroutstandError:
            # Already logged as disk_failed; disk_recovered follows once a snapshot succeeds.
            return
        self.is_failed = False
        self._events.emit("disk_recovered")

    def write_snapshot(self) -> None:
        """Replace the log with a snapshot of the state.

        Raises
        ------
        TroutstandError
            STORAGE_FAILED.
        """
        records = self._collect_state()
        try:
            self._storage.write_snapshot(records)
        except OSError as error:
            raise TroutstandError(ResultCode.STORAGE_FAILED, str(error)) from error
        self._events.emit("snapshot_written", records=len(records))
