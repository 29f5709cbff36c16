"""Keep at a keeper what deciders counted of the limits, in memory and on disk."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.codec import decode_record
from troutstand.core.errors import TroutstandError
from troutstand.core.limits.usagebook import UsageBook
from troutstand.daemon.storage import frame_record, read_frame
from troutstand.generated.messages import StoredUsage
from troutstand.routing.usagehandover import is_counted_by
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from troutstand.core.ids import ProcessId
    from troutstand.generated.messages import UsageSnapshot
    from troutstand.util.events import EventBus

# Written in turn, so that a torn write leaves the one before.
_FILES = ("usage.0", "usage.1")
MIN_WRITE_PERIOD_S = 0.1
# A slow disk is written to less often: a sync stops the process for as long as it takes.
_MIN_PERIOD_FACTOR = 20.0
# Older usage has left all windows, even if the time of day was set meanwhile.
_MAX_AGE_S = 60.0
# A lower count of gateways replaces a higher one after this time.
_MAX_COUNT_AGE_S = 30.0


@dataclass
class GatewayCount:
    """Hold how many gateways a site has, as deciders tell it.

    A decider that has just started knows few, so that the highest count stays for a while.
    """

    _count: int = 0
    _told_s: float = float("-inf")

    def record(self, count: int, now_s: float) -> None:
        """Record a decider's count; 0 tells nothing."""
        if count and (count >= self._count or now_s - self._told_s > _MAX_COUNT_AGE_S):
            self._count, self._told_s = count, now_s

    @property
    def count(self) -> int:
        """Return the count, 0 if it is unknown."""
        return self._count


class UsageStore:
    """Hold the usage that deciders told a keeper.

    After a start usage from the disk counts as just told, since its age is not known well.
    """

    def __init__(self, folder: Path, counted_s: float, events: EventBus) -> None:
        self._folder = folder
        self._restored_until_s = read_clock_s() + counted_s
        self._events = events
        self._book = UsageBook(counted_s)
        self._gateways = GatewayCount()
        self._number = 0
        self._is_changed = False
        self._next_write_s = float("-inf")
        self._has_failed = False
        self._load()

    def _load(self) -> None:
        stored = [record for name in _FILES if (record := self._read(self._folder / name))]
        if not stored:
            return
        newest = max(stored, key=lambda record: record.number)
        self._number = newest.number
        if abs(time.time() - newest.written_s) > _MAX_AGE_S:
            return
        self._book.merge(newest.usage, read_clock_s())
        self._gateways.record(newest.gateways, read_clock_s())
        self._events.emit(
            "limit_usage_restored",
            number=newest.number,
            sources=len(self._book),
            gateways=newest.gateways,
        )

    def _read(self, path: Path) -> StoredUsage | None:
        """Return the record of a file, or None if it was never written as a whole."""
        body = read_frame(path.read_bytes(), 0) if path.exists() else None
        if body is None:
            return None
        try:
            return decode_record(body, StoredUsage)
        except TroutstandError as error:
            self._events.emit("limit_usage_unread", code=error.code, detail=error.detail)
            return None

    def merge(self, usage: Iterable[UsageSnapshot], gateways: int = 0) -> None:
        """Keep the usage that a decider tells, and how many gateways it knows."""
        self._gateways.record(gateways, read_clock_s())
        if self._book.merge(usage, read_clock_s()):
            self._is_changed = True

    @property
    def is_restored(self) -> bool:
        """Return whether the usage may lack what was told just before a start."""
        return read_clock_s() < self._restored_until_s

    @property
    def gateway_count(self) -> int:
        """Return the number of gateways that deciders told, 0 if none did."""
        return self._gateways.count

    def list_usage(self) -> list[UsageSnapshot]:
        """Return the usage that is known here."""
        return self._book.list_snapshots(read_clock_s())

    def list_usage_for(self, gateway: ProcessId) -> list[UsageSnapshot]:
        """Return the usage without what other gateways counted, who hand it over themselves."""
        return [u for u in self.list_usage() if not u.is_private or is_counted_by(u, gateway)]

    def write(self) -> None:
        """Write the usage to the disk, if it has changed and the last write is old enough."""
        started_s = read_clock_s()
        if not self._is_changed or started_s < self._next_write_s:
            return
        self._is_changed = False
        self._number += 1
        record = StoredUsage(self._number, time.time(), self.gateway_count, self.list_usage())
        try:
            self._write_file(self._folder / _FILES[self._number % 2], frame_record(record))
        except OSError as error:
            # The other file still holds the usage before.
            self._log_failure(str(error))
        else:
            self._has_failed = False
        took_s = read_clock_s() - started_s
        self._next_write_s = started_s + max(MIN_WRITE_PERIOD_S, _MIN_PERIOD_FACTOR * took_s)

    def _write_file(self, path: Path, data: bytes) -> None:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _log_failure(self, detail: str) -> None:
        if not self._has_failed:
            self._has_failed = True
            self._events.emit("limit_usage_unwritten", detail=detail)
