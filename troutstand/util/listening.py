"""Open an HTTP address of a process."""

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
    """Say how long idle connections are kept, and answers waited for at the end, in seconds."""

    keep_alive_s: float = 75.0
    shutdown_s: float = 0.3


_WAITS = ServerTimeouts()


async def listen(
    application: web.Application, address: Address, field: str, waits: ServerTimeouts = _WAITS
) -> web.AppRunner:
    """Serve an application at an address.

    Raises
    ------
    TroutstandError
        ADDRESS_IN_USE, naming the settings field.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        keepalive_timeout=waits.keep_alive_s,
        shutdown_timeout=waits.shutdown_s,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, address.ip, address.port, backlog=_BACKLOG).start()
    except OSError as error:
        detail = f"{field} {address.ip}:{address.port}: {error}"
        raise TroutstandError(ResultCode.ADDRESS_IN_USE, detail) from error
    return runner


def has_response_started(request: web.BaseRequest) -> bool:
    """Tell whether a part of a request's answer was written to the caller."""
    return request.writer.output_size > 0


def abort_response(request: web.BaseRequest) -> None:
    """Close the connection of an answer that has begun, without the answer's end."""
    if request.transport is not None:
        request.transport.close()


async def write_full_response(request: web.BaseRequest, response: web.StreamResponse) -> bool:
    """Write a whole answer; where another has begun, break that off and return False.

    A head amid a body that has begun is read as a part of that body.
    """
    if has_response_started(request):
        abort_response(request)
        return False
    await response.prepare(request)
    await response.write_eof()
    return True
