"""Split a stream of server-sent events so that it can be resumed elsewhere."""

from __future__ import annotations

import re

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_DATA = re.compile(rb"^data", re.MULTILINE)
# The endings of an event, and the bytes of the longest of them.
_ENDINGS = (b"\n\n", b"\n\r\n")
_TAIL_BYTES = 3


class EventSplitter:
    """Hold back an event until it is whole, and remember the last id passed on.

    Whoever goes on with a stream may begin too early; without dropping what was passed
    on already, its caller reads those events twice. Ids that are no whole numbers cannot
    be compared: what comes under them is passed on.

    Parameters
    ----------
    last_id
        Where the caller's own stream goes on from; empty at its beginning.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        # Whether every event with data so far had an id; only then can others go on.
        self.can_resume = True
        self._resumed_behind = last_id
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events among them that were not passed on yet."""
        self._rest += data
        events: list[bytes] = []
        start = 0
        for match in _BOUNDARY.finditer(self._rest):
            event, start = self._rest[start : match.end()], match.end()
            if self._take(event):
                events.append(event)
        self._rest = self._rest[start:]
        return b"".join(events)

    def _take(self, event: bytes) -> bool:
        """Note an event that is passed on; tell whether it comes for the first time."""
        found = _ID.search(event)
        if found is None:
            if _DATA.search(event):
                self.can_resume = False
            return True
        event_id = found[1].decode("latin-1").strip()
        if not _is_behind(event_id, self._resumed_behind):
            return False
        self.last_id = event_id
        return True

    def resume(self) -> None:
        """Expect the stream to go on behind the last event that was passed on."""
        self._resumed_behind = self.last_id

    def drop_partial(self) -> None:
        """Forget an event that broke off."""
        self._rest = b""

    def take_rest(self) -> bytes:
        """Return what stands behind the last whole event."""
        rest, self._rest = self._rest, b""
        return rest


def _is_behind(event_id: str, last_id: str) -> bool:
    """Tell whether an event follows another; ids that are no numbers are taken to."""
    if event_id.isdecimal() and last_id.isdecimal():
        return int(event_id) > int(last_id)
    return True


class EventBoundaryTracker:
    """Tell whether a stream stands between two events."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Take a piece of the stream."""
        self._tail = (self._tail + data)[-_TAIL_BYTES:]

    @property
    def is_between_events(self) -> bool:
        """Tell whether nothing came behind the last whole event."""
        return not self._tail or self._tail.endswith(_ENDINGS)
