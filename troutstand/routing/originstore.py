"""Keep at a keeper which versions began streams, in memory and on disk."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from typing import TYPE_CHECKING

from troutstand.core.codec import decode_record
from troutstand.core.errors import TroutstandError
from troutstand.core.streamorigins import GENERATION_S, MAX_STREAMS, StreamOrigins
from troutstand.daemon.storage import frame_record, read_frames
from troutstand.generated.messages import StoredOrigins
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from troutstand.generated.messages import OriginGroup
    from troutstand.util.events import EventBus

# Used in turn, each for a generation, so that one of them always holds a whole one.
_FILES = ("origins.0", "origins.1")
_MIN_SYNC_PERIOD_S = 0.05
# A slow disk is synced less often: a sync stops the process for as long as it takes.
_SYNC_PERIOD_FACTOR = 20.0
# Older streams are not resumed any more, even if the time of day was set meanwhile.
_MAX_AGE_S = 60.0


class OriginStore:
    """Hold the origins of streams that deciders told a keeper.

    What was told survives the end of the process, and after the next sync the loss of power.
    """

    def __init__(self, folder: Path, events: EventBus) -> None:
        self._folder = folder
        self._events = events
        self._origins = StreamOrigins()
        self._number = 0
        self._file: int | None = None
        self._file_began_s = float("-inf")
        self._file_bytes = 0
        self._file_streams = 0
        self._next_sync_s = float("-inf")
        self._is_sync_due = False
        self._has_failed = False
        self._load()

    def merge(self, groups: list[OriginGroup]) -> None:
        """Keep what a decider tells."""
        self._origins.merge(groups, read_clock_s())
        self._write(groups)
        self._schedule_sync()

    def find(self, stream: str) -> str | None:
        """Return the version that began a stream, or None if it is not known."""
        return self._origins.find(stream)

    def close(self) -> None:
        """Close the file in use."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    # Reading

    def _load(self) -> None:
        """Load what is stored, and store it again as a whole, so that restarts lose nothing."""
        # Records of one file stay in the order in which they were written: clocks may be set back.
        stored = sorted(self._read_all(), key=lambda record: record.number)
        if not stored:
            return
        self._number = stored[-1].number
        if abs(time.time() - stored[-1].written_s) > _MAX_AGE_S:
            return
        for record in stored:
            self._origins.merge(record.groups, read_clock_s())
        self._write(self._origins.list_groups())
        self._sync()
        self._events.emit("stream_origins_restored", streams=len(self._origins))

    def _read_all(self) -> Iterator[StoredOrigins]:
        for name in _FILES:
            path = self._folder / name
            try:
                bodies, _ = read_frames(path.read_bytes() if path.exists() else b"")
                for body in bodies:
                    yield decode_record(body, StoredOrigins)
            except (OSError, TroutstandError) as error:
                self._events.emit("stream_origins_unread", file=name, detail=str(error))

    # Writing

    def _write(self, groups: list[OriginGroup]) -> None:
        now_s = read_clock_s()
        is_full = self._file_streams >= MAX_STREAMS
        try:
            if self._file is None or is_full or now_s - self._file_began_s >= GENERATION_S:
                self._open_next(now_s)
            self._append(frame_record(StoredOrigins(self._number, time.time(), groups)))
        except OSError as error:
            self._log_failure(str(error))
            return
        self._file_streams += sum(len(group.streams) for group in groups)
        self._has_failed = False

    def _open_next(self, now_s: float) -> None:
        """Begin the next file, in place of the older one."""
        if self._file is not None:
            self._sync()
        self.close()
        self._number += 1
        path = self._folder / _FILES[self._number % len(_FILES)]
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        self._file_began_s, self._file_bytes, self._file_streams = now_s, 0, 0

    def _append(self, data: bytes) -> None:
        assert self._file is not None
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(self._file, view) :]
        except OSError:
            # A part of a record would hide the records behind it.
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, self._file_bytes)
                os.lseek(self._file, self._file_bytes, os.SEEK_SET)
            raise
        self._file_bytes += len(data)

    def _schedule_sync(self) -> None:
        if self._is_sync_due:
            return
        self._is_sync_due = True
        delay_s = max(0.0, self._next_sync_s - read_clock_s())
        asyncio.get_running_loop().call_later(delay_s, self._sync)

    def _sync(self) -> None:
        self._is_sync_due = False
        started_s = read_clock_s()
        try:
            if self._file is not None:
                os.fsync(self._file)
        except OSError as error:
            self._log_failure(str(error))
        took_s = read_clock_s() - started_s
        self._next_sync_s = started_s + max(_MIN_SYNC_PERIOD_S, _SYNC_PERIOD_FACTOR * took_s)

    def _log_failure(self, detail: str) -> None:
        """Log that the disk failed, once until a write succeeds."""
        if not self._has_failed:
            self._has_failed = True
            self._events.emit("stream_origins_unwritten", detail=detail)
