"""Bound the memory of response bodies that are received whole, until their callers have them."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from troutstand.util.guardedconnection import GuardedConnection

MAX_BODY_BYTES = 16 << 20
# Bytes of all large bodies together that are being received or wait for their callers.
MAX_LARGE_BODIES_BYTES = 64 << 20
# A body counts as large beyond this, so that small ones are received whatever others do.
_SMALL_BODY_BYTES = 1 << 20
# What a body is counted with whose length its head does not tell.
UNKNOWN_BODY_BYTES = 256 << 10


class BodyTooLargeError(Exception):
    """Report a body that exceeds a bound."""


class BodyMemory:
    """Count the bytes of the large bodies that are held.

    Parameters
    ----------
    max_body_bytes
        Maximum size of one body.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._large_bytes = 0

    @contextlib.contextmanager
    def track(self) -> Iterator[TrackedBody]:
        """Count the bytes of one body until the context ends."""
        body = TrackedBody(self)
        try:
            yield body
        finally:
            self._large_bytes -= body.large_bytes

    def count(self, body: TrackedBody, added: int) -> None:
        """Count received bytes of a body.

        Raises
        ------
        BodyTooLargeError
        """
        body.received_bytes += added
        if body.received_bytes > self._max_body_bytes:
            raise BodyTooLargeError(
                f"got {body.received_bytes} bytes of the response body, "
                f"at most {self._max_body_bytes} bytes are accepted"
            )
        if body.received_bytes <= _SMALL_BODY_BYTES:
            return
        growth = body.received_bytes - body.large_bytes
        if self._large_bytes + growth > MAX_LARGE_BODIES_BYTES:
            raise BodyTooLargeError(
                f"got {body.received_bytes} bytes of the response body beside "
                f"{self._large_bytes - body.large_bytes} bytes of other large ones, "
                f"at most {MAX_LARGE_BODIES_BYTES} bytes together are accepted"
            )
        self._large_bytes += growth
        body.large_bytes += growth


class HeldBodies(contextlib.ExitStack):
    """Count the bodies of responses to one request until its caller has them.

    Parameters
    ----------
    connection
        The caller's connection; None waits for no room.
    """

    def __init__(self, connection: GuardedConnection | None) -> None:
        super().__init__()
        self._connection = connection

    async def reserve(self, length: int) -> None:
        """Wait until there is room for a body of this length, in bytes."""
        connection = self._connection
        if connection is not None:
            await connection.guard.hold_response(connection.client, length)


class TrackedBody:
    """Hold the size of one body."""

    def __init__(self, memory: BodyMemory) -> None:
        self.received_bytes = 0
        # What of it counts among the large bodies.
        self.large_bytes = 0
        self._memory = memory

    def add(self, count: int) -> None:
        """Count received bytes.

        Raises
        ------
        BodyTooLargeError
        """
        self._memory.count(self, count)
