"""Split a stream of server-sent events so that another target can resume it."""

from __future__ import annotations

import re

_EVENT_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_DATA_FIELD = re.compile(rb"^data", re.MULTILINE)
_EVENT_ENDINGS = (b"\n\n", b"\n\r\n")
_MAX_ENDING_BYTES = 3
# Maximum size of one event of a stream that may be resumed, which is relayed once it is whole.
MAX_EVENT_BYTES = 4 << 20


class EventSplitter:
    """Buffer partial events and track the id of the last complete one.

    A resumed stream may repeat events that the caller already has; these are dropped.
    Events with ids that are not decimal numbers cannot be compared and are passed on.

    Parameters
    ----------
    last_id
        Id of the last event that the caller has; empty for a new stream.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        # False once an event with data has no id, so that its position is unknown.
        self.can_resume = True
        self._resume_id = last_id
        self._buffer = bytearray()
        # The first bytes of the buffer, in which no boundary begins.
        self._searched_bytes = 0

    @property
    def partial_bytes(self) -> int:
        """Return the size of the event that is not whole yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add data and return the complete events that the caller does not have yet."""
        self._buffer += data
        events: list[bytes] = []
        start = 0
        for match in _EVENT_BOUNDARY.finditer(self._buffer, self._searched_bytes):
            event, start = bytes(self._buffer[start : match.end()]), match.end()
            if self._record_event(event):
                events.append(event)
        if start:
            self._buffer = self._buffer[start:]
        self._searched_bytes = max(0, len(self._buffer) - _MAX_ENDING_BYTES)
        return b"".join(events)

    def _record_event(self, event: bytes) -> bool:
        """Record the id of an event and return whether the event is new."""
        id_match = _ID_FIELD.search(event)
        if id_match is None:
            if _DATA_FIELD.search(event):
                self.can_resume = False
            return True
        event_id = id_match[1].decode("latin-1").strip()
        if not _is_after(event_id, self._resume_id):
            return False
        self.last_id = event_id
        return True

    def resume(self) -> None:
        """Drop events up to the last id, which a resumed stream may repeat."""
        self._resume_id = self.last_id

    def drop_partial(self) -> None:
        """Discard an incomplete event."""
        self.take_remainder()

    def take_remainder(self) -> bytes:
        """Return and clear the data after the last complete event."""
        remainder = bytes(self._buffer)
        self._buffer.clear()
        self._searched_bytes = 0
        return remainder


def _is_after(event_id: str, last_id: str) -> bool:
    """Return whether an event follows another; True if an id is not a number."""
    if event_id.isdecimal() and last_id.isdecimal():
        return int(event_id) > int(last_id)
    return True


class EventBoundaryTracker:
    """Track whether a stream ends at an event boundary."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Add a chunk of the stream."""
        self._tail = (self._tail + data)[-_MAX_ENDING_BYTES:]

    @property
    def is_between_events(self) -> bool:
        """Return whether no data follows the last complete event."""
        return not self._tail or self._tail.endswith(_EVENT_ENDINGS)
