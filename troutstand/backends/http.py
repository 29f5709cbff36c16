"""Share what HTTP adapters have in common."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from troutstand.backends.base import Backend, Call, Reply
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.core.retryafter import read_retry_after

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from troutstand.generated.table import Target

# Connections are checked for reuse by request, never shared, so that a late
# answer of one request cannot be read as another's.
CONNECT_TIMEOUT_S = 2.0
# How long a look at a target's address may take, in seconds: a refusal takes one round
# trip, and a request that is sent again waits for it. With 0.1 s a busy machine (load 22 on
# 8 processors) missed the end of one target of three.
_LOOK_S = 0.3
_REFUSALS = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


def make_session() -> aiohttp.ClientSession:
    """Make the session that all adapters of a process share."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
    return aiohttp.ClientSession(connector=connector, auto_decompress=False, read_bufsize=2**18)


@asynccontextmanager
async def open_call(
    session: aiohttp.ClientSession, url: str, call: Call, headers: dict[str, str]
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a call and give its response.

    Raises
    ------
    TroutstandError
        TARGET_UNREACHABLE where no connection came about, so that nothing
        was sent; TARGET_TIMEOUT or ANSWER_CUT where something may have run.
    """
    timeout = aiohttp.ClientTimeout(total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    try:
        async with session.request(
            call.method, url + call.path, data=call.body, headers=headers, timeout=timeout
        ) as response:
            yield response
    except aiohttp.ClientConnectorError as error:
        raise TroutstandError(ResultCode.TARGET_UNREACHABLE, type(error).__name__) from error
    except TimeoutError as error:
        code = ResultCode.TARGET_TIMEOUT
        raise TroutstandError(code, f"after {call.timeout_s} s", Run.UNKNOWN) from error
    except aiohttp.ClientError as error:
        raise TroutstandError(ResultCode.ANSWER_CUT, type(error).__name__, Run.UNKNOWN) from error


def read_rest(response: aiohttp.ClientResponse) -> float:
    """Return the seconds of rest that a refusal asks for; 0 is not asked."""
    if response.status not in _REFUSALS:
        return 0.0
    return read_retry_after(response.headers.get("Retry-After"))


class HttpBackend(Backend):
    """Send calls over HTTP; what differs is the headers and the stream."""

    def __init__(self, row: Target, session: aiohttp.ClientSession) -> None:
        super().__init__(row)
        self._session = session

    @abstractmethod
    def make_headers(self, call: Call) -> dict[str, str]:
        """Make a call's headers."""

    async def request(self, call: Call) -> Reply:
        """Send a call and return its whole answer."""
        async with self._open(call) as response:
            body = await response.read()
            return Reply(response.status, response.content_type, body, read_rest(response))

    async def is_gone(self) -> bool:
        """Tell whether the target's process has ended: its address refuses connections."""
        url = URL(self.row.url)
        try:
            async with asyncio.timeout(_LOOK_S):
                _, writer = await asyncio.open_connection(url.host, url.port)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            # Neither refused nor accepted: nothing is known.
            return False
        writer.close()
        return False

    def _open(self, call: Call) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        return open_call(self._session, self.row.url, call, self.make_headers(call))
