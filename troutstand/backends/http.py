"""Provide the common base of the HTTP adapters."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from troutstand.backends.base import Backend, Call, Reply
from troutstand.core.answerpromises import is_final_status
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.core.notices import LEAVING_HEADER, LIMIT_HEADER, parse_notice
from troutstand.generated.messages import TargetNotice
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.generated.table import Target

CONNECT_TIMEOUT_S = 2.0
# A refused connection takes one round trip; a retried request waits for the probe. 0.1 s is
# too short on a busy host, which then misses that a target has ended.
_PROBE_TIMEOUT_S = 0.3


def make_session() -> aiohttp.ClientSession:
    """Make the HTTP session that all adapters of a process share."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30)
    return aiohttp.ClientSession(connector=connector, auto_decompress=False, read_bufsize=2**18)


@asynccontextmanager
async def open_call(
    session: aiohttp.ClientSession, url: str, call: Call, headers: dict[str, str]
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a call and yield its response.

    Raises
    ------
    TroutstandError
        TARGET_UNREACHABLE if no connection was made, so that nothing was sent;
        TARGET_TIMEOUT or ANSWER_CUT if the request may have run.
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
        raise TroutstandError(
            code, f"no complete response within {call.timeout_s} s", Run.UNKNOWN
        ) from error
    except aiohttp.ClientError as error:
        raise TroutstandError(ResultCode.ANSWER_CUT, type(error).__name__, Run.UNKNOWN) from error


@dataclass(frozen=True)
class NoticeHeaders:
    """Name the headers that carry target notices.

    `not_run` is empty: engines mark a rejected request by the status alone.
    """

    leaving: str = LEAVING_HEADER
    limit: str = LIMIT_HEADER
    not_run: str = ""


_NOTICE_HEADERS = NoticeHeaders()
# Called with a request id, the notice in its response and the time when it was sent, in s.
NoticeHandler = Callable[[str, TargetNotice, float], None]


def ignore_notice(request: str, notice: TargetNotice, sent_s: float) -> None:
    """Ignore a target notice."""


class HttpBackend(Backend):
    """Send calls over HTTP; subclasses define the headers and the stream."""

    def __init__(
        self,
        row: Target,
        session: aiohttp.ClientSession,
        handle_notice: NoticeHandler = ignore_notice,
    ) -> None:
        super().__init__(row)
        self._session = session
        self._handle_notice = handle_notice

    @abstractmethod
    def make_headers(self, call: Call) -> dict[str, str]:
        """Make the headers of a call."""

    async def request(self, call: Call) -> Reply:
        """Send a call and return its complete response."""
        async with self._open(call) as (response, notice):
            body = await response.read()
            return Reply(response.status, response.content_type, body, notice)

    async def is_gone(self) -> bool:
        """Return whether the target's process has ended (its address refuses connections)."""
        url = URL(self.row.url)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(url.host, url.port)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            # No refusal: the process may still run.
            return False
        writer.close()
        return False

    @asynccontextmanager
    async def _open(self, call: Call) -> AsyncIterator[tuple[aiohttp.ClientResponse, TargetNotice]]:
        """Send a call; yield its response and the notice from its headers."""
        sent_s = read_clock_s()
        headers = self.make_headers(call)
        async with open_call(self._session, self.row.url, call, headers) as response:
            if not is_final_status(response.status):
                detail = f"the response has status {response.status:03}, 200 to 599 are accepted"
                raise TroutstandError(ResultCode.TARGET_FAULT, detail, Run.UNKNOWN)
            notice = parse_notice(
                response.status, response.headers.get, _NOTICE_HEADERS, self.row.name
            )
            self._handle_notice(call.request, notice, sent_s)
            yield response, notice
