"""Sync the records of all that arrives in one turn of the loop together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.stored import StoredRecord
    from troutstand.daemon.storage import Storage
    from troutstand.util.events import EventBus


class Journal:
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
        self.is_failed = False
        self._storage = storage
        self._events = events
        self._collect = collect
        self._records: list[StoredRecord] = []
        self._done: asyncio.Future[None] | None = None

    def write(self, records: list[StoredRecord]) -> asyncio.Future[None]:
        """Return a future that is done once the records are synced.

        It fails with STORAGE_FAILED where the disk refuses.
        """
        loop = asyncio.get_running_loop()
        if self._done is None:
            self._done = loop.create_future()
            # Two turns of the loop let every message that is already read join.
            loop.call_soon(loop.call_soon, self._flush)
        self._records.extend(records)
        return self._done

    def _flush(self) -> None:
        records, self._records = self._records, []
        done, self._done = self._done, None
        assert done is not None
        error = self._append(records)
        if done.cancelled():
            return
        if error is None:
            done.set_result(None)
            return
        done.set_exception(error)
        # Some callers do not wait; the failure is logged already.
        done.exception()

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

    async def mend(self) -> None:
        """Try to write the whole state anew after a refused write."""
        if not self.is_failed:
            return
        try:
            self.replace()
        except TroutstandError:
            return
        self.is_failed = False
        self._events.emit("disk_recovered")

    def replace(self) -> None:
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
