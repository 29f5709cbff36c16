"""Serve HTTP applications and abort or complete their responses."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.util.guardedconnection import MAX_HEADER_BYTES
from troutstand.util.guardedserver import GuardedAppRunner

if TYPE_CHECKING:
    from troutstand.generated.settings import Address
    from troutstand.util.clientguard import ClientGuard

# Connections that wait to be accepted.
_BACKLOG = 1024
# Connections that are accepted in one turn of the event loop, before any of them is counted.
ACCEPTED_AT_ONCE = 16


@dataclass(frozen=True)
class ServerTimeouts:
    """Set the timeouts of an HTTP server in seconds."""

    keep_alive_s: float = 75.0
    shutdown_s: float = 0.3


_DEFAULT_TIMEOUTS = ServerTimeouts()


async def listen(
    application: web.Application,
    address: Address,
    settings_field: str,
    guard: ClientGuard,
    timeouts: ServerTimeouts = _DEFAULT_TIMEOUTS,
) -> web.AppRunner:
    """Serve an application at an address and return its runner.

    Raises
    ------
    TroutstandError
        ADDRESS_IN_USE with the name of the settings field.
    """
    runner = GuardedAppRunner(
        application,
        guard,
        access_log=None,
        handler_cancellation=True,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        keepalive_timeout=timeouts.keep_alive_s,
        shutdown_timeout=timeouts.shutdown_s,
    )
    await runner.setup()
    await open_site(runner, address, settings_field)
    return runner


async def open_site(runner: web.BaseRunner, address: Address, settings_field: str) -> web.SockSite:
    """Listen at an address with a runner that is set up.

    Raises
    ------
    TroutstandError
        ADDRESS_IN_USE with the name of the settings field.
    """
    listener: socket.socket | None = None
    try:
        listener = open_listener(address)
        site = web.SockSite(runner, listener, backlog=ACCEPTED_AT_ONCE)
        await site.start()
        lengthen_backlog(listener)
    except OSError as error:
        if listener is not None:
            listener.close()
        detail = f"{settings_field} {address.ip}:{address.port}: {error}"
        raise TroutstandError(ResultCode.ADDRESS_IN_USE, detail) from error
    return site


def open_listener(address: Address) -> socket.socket:
    """Return a bound socket, to be listened on with `ACCEPTED_AT_ONCE` as the backlog at first.

    Raises
    ------
    OSError
    """
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.ip, address.port))
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def lengthen_backlog(listener: socket.socket) -> None:
    """Let more connections wait than asyncio accepts at once, which uses one number for both."""
    listener.listen(_BACKLOG)


def has_response_started(request: web.BaseRequest) -> bool:
    """Return whether part of the response has been written to the caller."""
    return request.writer.output_size > 0


def abort_response(request: web.BaseRequest) -> None:
    """Close the connection without completing the response."""
    if request.transport is not None:
        request.transport.close()


async def write_full_response(request: web.BaseRequest, response: web.StreamResponse) -> bool:
    """Write a complete response; if another one has started, abort it and return False.

    After a response has started, the caller would read another head as part of its body.
    """
    if has_response_started(request):
        abort_response(request)
        return False
    await response.prepare(request)
    await response.write_eof()
    return True
