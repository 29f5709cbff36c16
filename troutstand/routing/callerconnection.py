"""Accept callers' connections: bound the heads of requests, write those of responses unchanged."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.client_exceptions import ClientConnectionResetError
from aiohttp.http import StreamWriter

from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.routing.errorresponse import make_error_response
from troutstand.util.listening import MAX_HEADER_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.streams import StreamReader
    from multidict import CIMultiDict

# The shortest header takes this many bytes, so that the bytes of a head bound their number.
_MIN_HEADER_BYTES = 4
MAX_HEADERS = MAX_HEADER_BYTES // _MIN_HEADER_BYTES
_HEAD_END = b"\r\n\r\n"
# What is still read from a caller whose head was refused.
_MAX_DROPPED_BYTES = 4 << 20
_DROP_S = 1.0
_CONTROL_CHARACTERS = frozenset(map(chr, [*range(0x20), 0x7F])) - {"\t"}


class CallerConnection(web.RequestHandler):
    """Refuse a head that exceeds its bound before it has been received whole."""

    # Set by the server after the connection is created.
    on_refused: Callable[[TroutstandError], None]
    is_handling = False
    _payload: StreamReader | None = None
    _head_bytes = 0
    # What came after the head was refused; None before.
    _dropped_bytes: int | None = None
    # The last received bytes, in which the end of a head may begin.
    _tail = b""

    def begin_request(self, payload: StreamReader) -> None:
        """Record that a head was received whole; bytes count again once its request is answered."""
        self.is_handling = True
        self._payload = payload
        self._head_bytes = 0
        self._tail = b""

    def _is_awaiting_head(self) -> bool:
        is_body_read = self._payload is None or self._payload.is_eof()
        return not self.is_handling and not self._messages and is_body_read

    def data_received(self, data: bytes) -> None:
        """Parse the data, unless they exceed the bound of a head."""
        if self._dropped_bytes is not None:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > _MAX_DROPPED_BYTES:
                self.force_close()
            return
        if data and self._is_awaiting_head():
            end = (self._tail + data).find(_HEAD_END)
            is_ended = end >= 0
            self._head_bytes += end - len(self._tail) if is_ended else len(data)
            self._tail = (self._tail + data)[-len(_HEAD_END) + 1 :]
            if self._head_bytes > MAX_HEADER_BYTES:
                self._refuse_head()
                return
        super().data_received(data)

    def _refuse_head(self) -> None:
        detail = (
            f"got {self._head_bytes} bytes of a request head, "
            f"at most {MAX_HEADER_BYTES} bytes are accepted"
        )
        error = TroutstandError(ResultCode.HEAD_TOO_LARGE, detail, Run.NO)
        self.on_refused(error)
        body = make_error_response(error).body
        assert isinstance(body, bytes)
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self._dropped_bytes = 0
        if self.transport is None:
            return
        assert isinstance(self.transport, asyncio.Transport)
        self.transport.write(head.encode() + body)
        # A connection that is closed while bytes come is reset, and the response may be lost.
        self.transport.write_eof()
        asyncio.get_running_loop().call_later(_DROP_S, self.force_close)


class CallerServer(web.Server):
    """Serve callers' connections.

    `on_refused` is called with the reason when a head is refused.
    """

    on_refused: Callable[[TroutstandError], None]

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        connection = CallerConnection(self, loop=self._loop, **self._kwargs)
        connection.on_refused = self.on_refused
        return connection


class CallerWriter(StreamWriter):
    """Write header values, which are decoded as latin-1, as the bytes that they came from."""

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Write the head of a response.

        Raises
        ------
        ValueError
            If a header contains control characters.
        """
        if all(value.isascii() for value in headers.values()):
            await super().write_headers(status_line, headers)
            return
        lines = [status_line, *(f"{name}: {value}" for name, value in headers.items())]
        for line in lines:
            if not _CONTROL_CHARACTERS.isdisjoint(line):
                raise ValueError(f"got a control character in the response head line {line!r}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        if self.transport is None or self.transport.is_closing():
            raise ClientConnectionResetError("the caller's connection is closed")
        self.output_size += len(head)
        self.transport.write(head)
