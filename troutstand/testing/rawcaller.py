"""Call a server and read its one answer strictly, to the end of the connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import httptools

from troutstand.testing.routedsite import HOST, KEY

_READ_BYTES = 64 << 10


@dataclass
class RawResponse:
    """Hold one answer up to the end of its connection; `error` tells what could not be parsed."""

    request: str
    response_count: int = 0
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    error: str = ""

    def read(self, data: bytes) -> None:
        """Parse an answer's bytes."""
        self._parser = httptools.HttpResponseParser(self)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.error = f"{type(error).__name__}: {error}"

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Count answers."""
        self.response_count += 1

    def on_headers_complete(self) -> None:
        """Take the status."""
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Note that the answer looks complete."""
        self.is_complete = True


async def call_raw(callers: str, route: str, request: str, limit_s: float) -> RawResponse:
    """Send one request and read until the gateway closes the connection.

    Parameters
    ----------
    callers
        The gateway's address for callers, IP:PORT.
    limit_s
        Seconds within which the connection must have ended.
    """
    host, _, port = callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f"POST {route}x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request}",
        f"X-Workspace-Key: {KEY}",
        f"X-Deadline-Ms: {int(limit_s * 1000)}",
        "X-Tokens: 10,10",
        "Content-Length: 0",
        "Connection: close",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    data = b""
    try:
        async with asyncio.timeout(limit_s):
            while piece := await reader.read(_READ_BYTES):
                data += piece
    finally:
        writer.close()
    answer = RawResponse(request)
    answer.read(data)
    return answer
