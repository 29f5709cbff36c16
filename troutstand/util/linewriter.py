"""Write log lines to a descriptor without ever waiting for its reader."""

from __future__ import annotations

import contextlib
import logging
import os

MAX_BUFFER_BYTES = 1 << 20


class LineWriter(logging.Handler):
    """Hand log lines to a descriptor; drop and count what a slow reader cannot take.

    Parameters
    ----------
    descriptor
        Where lines go; it is switched to non-blocking writes.
    limit_bytes
        How much may wait in memory.
    """

    def __init__(self, descriptor: int, limit_bytes: int = MAX_BUFFER_BYTES) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._waiting = b""
        self._told = 0
        # Where there is no such descriptor, each write fails and its lines are counted.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's lines, or keep them for the next call."""
        data = record.getMessage().encode() + b"\n"
        if len(self._waiting) + len(data) > self._limit_bytes:
            self.dropped += data.count(b"\n")
            data = b""
        elif self.dropped > self._told:
            data = b"event=log_lines_dropped count=%d\n" % (self.dropped - self._told) + data
            self._told = self.dropped
        self._waiting += data
        self._write()

    def _write(self) -> None:
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except (BlockingIOError, InterruptedError):
                # What waits goes with the next call.
                return
            except OSError:
                # Nobody reads any more; a log must not end the process.
                self.dropped += self._waiting.count(b"\n")
                self._waiting = b""
                return
            self._waiting = self._waiting[written:]
