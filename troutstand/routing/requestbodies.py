"""Receive the bodies of callers' requests, bounded for each and for all together."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aiohttp import web

# A place is free again once one of the requests in flight has ended.
_RETRY_AFTER_S = 0.5
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBodies:
    """Count the bytes of the request bodies that are held until their requests end.

    Parameters
    ----------
    max_bytes
        Maximum of all of them together.
    """

    def __init__(self, max_bytes: int) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes

    @contextlib.contextmanager
    def hold(self) -> Iterator[HeldBody]:
        """Hold one body until the context ends."""
        body = HeldBody(self)
        try:
            yield body
        finally:
            self.held_bytes -= body.count

    def check_room(self, count: int) -> None:
        """Raise if further bytes do not fit.

        Raises
        ------
        TroutstandError
            BODIES_FULL
        """
        if self.held_bytes + count <= self._max_bytes:
            return
        detail = (
            f"got {count} bytes of a request body beside {self.held_bytes} held bytes, "
            f"at most {self._max_bytes} bytes together are accepted"
        )
        raise TroutstandError(ResultCode.BODIES_FULL, detail, Run.NO, _RETRY_AFTER_S)


class HeldBody:
    """Hold the body of one request."""

    def __init__(self, bodies: RequestBodies) -> None:
        self.count = 0
        self._bodies = bodies

    def _add(self, count: int) -> None:
        self._bodies.check_room(count)
        self._bodies.held_bytes += count
        self.count += count

    async def receive(self, request: web.BaseRequest, limit: int) -> bytes:
        """Return the body of a request.

        Parameters
        ----------
        limit
            Maximum size in bytes.

        Raises
        ------
        TroutstandError
            BODY_TOO_LARGE or BODIES_FULL.
        """
        length = request.content_length or 0
        if length > limit:
            raise _make_too_large(limit)
        self._bodies.check_room(length)
        if request.headers.get("expect", "").lower() == "100-continue" and request.transport:
            request.transport.write(_CONTINUE)
        chunks: list[bytes] = []
        while request.can_read_body and (chunk := await request.content.readany()):
            if self.count + len(chunk) > limit:
                raise _make_too_large(limit)
            self._add(len(chunk))
            chunks.append(chunk)
        return b"".join(chunks)


def _make_too_large(limit: int) -> TroutstandError:
    detail = f"the request body exceeds {limit} bytes"
    return TroutstandError(ResultCode.BODY_TOO_LARGE, detail)
