"""Write log lines to a file descriptor without blocking."""

from __future__ import annotations

import contextlib
import logging
import os

MAX_BUFFER_BYTES = 1 << 20


class LineWriter(logging.Handler):
    """Write log lines to a descriptor; drop and count lines when its reader is too slow.

    Parameters
    ----------
    descriptor
        The file descriptor; it is set to non-blocking mode.
    limit_bytes
        Size limit of the buffer of unwritten lines.
    """

    def __init__(self, descriptor: int, limit_bytes: int = MAX_BUFFER_BYTES) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._buffer = b""
        self._reported_count = 0
        # If the descriptor is not open, each write fails and its lines count as dropped.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the lines of a record, or buffer them until the next call."""
        data = record.getMessage().encode() + b"\n"
        if len(self._buffer) + len(data) > self._limit_bytes:
            self.dropped += data.count(b"\n")
            data = b""
        elif self.dropped > self._reported_count:
            data = (
                b"event=log_lines_dropped count=%d\n" % (self.dropped - self._reported_count) + data
            )
            self._reported_count = self.dropped
        self._buffer += data
        self._write()

    def _write(self) -> None:
        while self._buffer:
            try:
                written_bytes = os.write(self._descriptor, self._buffer)
            except (BlockingIOError, InterruptedError):
                # The rest is written with the next record.
                return
            except OSError:
                # The reader has closed the descriptor; this must not end the process.
                self.dropped += self._buffer.count(b"\n")
                self._buffer = b""
                return
            self._buffer = self._buffer[written_bytes:]
