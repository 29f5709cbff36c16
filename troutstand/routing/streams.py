"""Split a stream of server-sent events so that it can be resumed elsewhere."""

from __future__ import annotations

import re

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Hold back an event until it is whole, and remember the last id passed on.

    Parameters
    ----------
    last_id
        Where the caller's own stream goes on from; empty at its beginning.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events among them and those before."""
        self._rest += data
        end = 0
        for match in _BOUNDARY.finditer(self._rest):
            end = match.end()
        whole, self._rest = self._rest[:end], self._rest[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return whole

    def drop_partial(self) -> None:
        """Forget an event that broke off."""
        self._rest = b""

    def take_rest(self) -> bytes:
        """Return what stands behind the last whole event."""
        rest, self._rest = self._rest, b""
        return rest
