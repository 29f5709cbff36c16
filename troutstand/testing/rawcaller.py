"""Call a server and parse all bytes up to the end of the connection strictly."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import httptools

from troutstand.testing.routedsite import HOST, KEY

_READ_BYTES = 64 << 10


@dataclass
class RawResponse:
    """Hold the response on one connection; `error` describes a parse error."""

    request: str
    response_count: int = 0
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    error: str = ""

    def read(self, data: bytes) -> None:
        """Parse the bytes of the connection."""
        self._parser = httptools.HttpResponseParser(self)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.error = f"{type(error).__name__}: {error}"

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Count the responses."""
        self.response_count += 1

    def on_headers_complete(self) -> None:
        """Store the status."""
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True


async def call_raw(callers: str, route: str, request: str, timeout_s: float) -> RawResponse:
    """Send one request and read until the gateway closes the connection.

    Parameters
    ----------
    callers
        The gateway's address for callers, IP:PORT.
    timeout_s
        Timeout for the whole connection, in seconds.
    """
    host, _, port = callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f"POST {route}x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request}",
        f"X-Workspace-Key: {KEY}",
        f"X-Deadline-Ms: {int(timeout_s * 1000)}",
        "X-Tokens: 10,10",
        "Content-Length: 0",
        "Connection: close",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    data = b""
    try:
        async with asyncio.timeout(timeout_s):
            while chunk := await reader.read(_READ_BYTES):
                data += chunk
    finally:
        writer.close()
    response = RawResponse(request)
    response.read(data)
    return response
