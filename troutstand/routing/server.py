"""Open an HTTP address of a routed site's process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from troutstand.generated.settings import Address

MAX_HEADER_BYTES = 64 << 10
_BACKLOG = 1024
_SHUTDOWN_S = 0.3
_KEEP_ALIVE_S = 75.0


async def listen(application: web.Application, address: Address, field: str) -> web.AppRunner:
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
        keepalive_timeout=_KEEP_ALIVE_S,
        shutdown_timeout=_SHUTDOWN_S,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, address.ip, address.port, backlog=_BACKLOG).start()
    except OSError as error:
        detail = f"{field} {address.ip}:{address.port}: {error}"
        raise TroutstandError(ResultCode.ADDRESS_IN_USE, detail) from error
    return runner
