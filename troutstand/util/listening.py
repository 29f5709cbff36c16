"""Serve HTTP applications and abort or complete their responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from troutstand.generated.settings import Address

MAX_HEADER_BYTES = 64 << 10
_BACKLOG = 1024


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
    timeouts: ServerTimeouts = _DEFAULT_TIMEOUTS,
) -> web.AppRunner:
    """Serve an application at an address and return its runner.

    Raises
    ------
    TroutstandError
        ADDRESS_IN_USE with the name of the settings field.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        keepalive_timeout=timeouts.keep_alive_s,
        shutdown_timeout=timeouts.shutdown_s,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, address.ip, address.port, backlog=_BACKLOG).start()
    except OSError as error:
        detail = f"{settings_field} {address.ip}:{address.port}: {error}"
        raise TroutstandError(ResultCode.ADDRESS_IN_USE, detail) from error
    return runner


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
