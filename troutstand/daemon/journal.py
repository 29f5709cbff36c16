"""Sync the records of all that arrives in one turn of the loop together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from troutstand.core.stored import StoredRecord
    from troutstand.daemon.storage import Storage


class Journal:
    """Write records to the disk; a disk that refuses ends the process."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._records: list[StoredRecord] = []
        self._done: asyncio.Future[None] | None = None

    def write(self, records: list[StoredRecord]) -> asyncio.Future[None]:
        """Return a future that is done once the records are synced."""
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
        """Append records; return what those who wait for them are told."""
        try:
            self._storage.append(records)
        except TroutstandError as error:
            # What was not synced must never be acknowledged; memory is ahead
            # of the disk now, so that the process cannot go on.
            raise SystemExit(str(error)) from error
        return None
