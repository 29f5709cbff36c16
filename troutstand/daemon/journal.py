"""Batch record writes so that one fsync covers several messages (group commit)."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from troutstand.core.stored import StoredRecord
    from troutstand.daemon.storage import Storage


class Journal:
    """Write records durably; end the process if a write fails."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._records: list[StoredRecord] = []
        self._done: asyncio.Future[None] | None = None

    def write(self, records: list[StoredRecord]) -> asyncio.Future[None]:
        """Return a future that is done once the records are synced."""
        loop = asyncio.get_running_loop()
        if self._done is None:
            self._done = loop.create_future()
            # Two loop iterations let all messages that are already read join the batch.
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
        # Marks the exception as retrieved: some callers do not await, and it is already logged.
        done.exception()

    def _append(self, records: list[StoredRecord]) -> TroutstandError | None:
        """Append records and return the error for the waiting callers, if any."""
        try:
            self._storage.append(records)
        except TroutstandError as error:
            # State in memory is ahead of the disk and must never be acknowledged.
            raise SystemExit(str(error)) from error
        return None
