"""Serve HTTP under a guard, and receive the bodies of requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.util.guardedconnection import MAX_HEADER_BYTES, READ_BYTES, GuardedConnection

if TYPE_CHECKING:
    from troutstand.util.clientguard import ClientGuard

# The shortest header takes this many bytes, so that the bytes of a head bound their number.
_MIN_HEADER_BYTES = 4
MAX_HEADERS = MAX_HEADER_BYTES // _MIN_HEADER_BYTES


class GuardedServer(web.Server):
    """Serve the connections of clients under a guard."""

    guard: ClientGuard

    def __call__(self) -> GuardedConnection:
        """Return the protocol of a new connection."""
        options = {**self._kwargs, "read_bufsize": READ_BYTES}
        connection = GuardedConnection(self, loop=self._loop, **options)
        connection.guard = self.guard
        return connection


class GuardedAppRunner(web.AppRunner):
    """Run an application whose connections are under a guard."""

    __slots__ = ("_guard",)

    def __init__(self, app: web.Application, guard: ClientGuard, **kwargs: Any) -> None:
        super().__init__(app, **kwargs)
        self._guard = guard

    async def _make_server(self) -> web.Server:
        made = await super()._make_server()
        server = GuardedServer(
            made.request_handler,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            loop=asyncio.get_running_loop(),
            **made._kwargs,
        )
        server.guard = self._guard
        return server


async def receive_body(request: web.BaseRequest, limit: int) -> bytes:
    """Return the body of a request.

    Parameters
    ----------
    limit
        Maximum size in bytes.

    Raises
    ------
    TroutstandError
        BODY_TOO_LARGE, or why the connection refuses the body.
    """
    connection = request.protocol
    assert isinstance(connection, GuardedConnection)
    length = request.content_length or 0
    if length > limit:
        raise _make_too_large(length, limit)
    connection.raise_refusal()
    connection.check_body_length(length)
    if request.headers.get("expect", "").lower() == "100-continue" and request.transport:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    try:
        async with asyncio.timeout(None) as timeout:
            connection.on_body_refused = lambda: timeout.reschedule(
                asyncio.get_running_loop().time()
            )
            return await _read_pieces(connection, request, limit)
    except TimeoutError:
        connection.raise_refusal()
        raise
    except asyncio.CancelledError:
        # The handler awaits the rest no longer.
        connection.stop_reading()
        raise
    finally:
        connection.on_body_refused = None


async def _read_pieces(
    connection: GuardedConnection, request: web.BaseRequest, limit: int
) -> bytes:
    # A list of pieces would take more than their bytes.
    body = bytearray()
    while request.can_read_body and (piece := await request.content.readany()):
        body += piece
        if len(body) > limit:
            raise _make_too_large(len(body), limit)
        connection.raise_refusal()
    connection.raise_refusal()
    return bytes(body)


def _make_too_large(size: int, limit: int) -> TroutstandError:
    detail = f"got {size} bytes of a request body, at most {limit} bytes are accepted"
    return TroutstandError(ResultCode.BODY_TOO_LARGE, detail)
