"""Share what HTTP adapters have in common."""

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
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.core.notices import LEAVING_HEADER, LIMIT_HEADER, parse_notice
from troutstand.generated.messages import TargetNotice
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.generated.table import Target

# Connections are checked for reuse by request, never shared, so that a late
# answer of one request cannot be read as another's.
CONNECT_TIMEOUT_S = 2.0
# How long a look at a target's address may take, in seconds: a refusal takes one round
# trip, and a request that is sent again waits for it. With 0.1 s a busy machine (load 22 on
# 8 processors) missed the end of one target of three.
_LOOK_S = 0.3


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


@dataclass(frozen=True)
class NoticeHeaders:
    """Name the headers in which a target speaks of itself.

    Engines refuse by their status alone, so that no header has to say that nothing ran.
    """

    leaving: str = LEAVING_HEADER
    limit: str = LIMIT_HEADER
    not_run: str = ""


_NOTICE_HEADERS = NoticeHeaders()
# Takes what the answer to a request, sent at a time in seconds, says of its target.
HearTarget = Callable[[str, TargetNotice, float], None]


def hear_nothing(request: str, notice: TargetNotice, asked_s: float) -> None:
    """Leave aside what a target says of itself."""


class HttpBackend(Backend):
    """Send calls over HTTP; what differs is the headers and the stream."""

    def __init__(
        self, row: Target, session: aiohttp.ClientSession, hear: HearTarget = hear_nothing
    ) -> None:
        super().__init__(row)
        self._session = session
        self._hear = hear

    @abstractmethod
    def make_headers(self, call: Call) -> dict[str, str]:
        """Make a call's headers."""

    async def request(self, call: Call) -> Reply:
        """Send a call and return its whole answer."""
        async with self._open(call) as (response, notice):
            body = await response.read()
            return Reply(response.status, response.content_type, body, notice)

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

    @asynccontextmanager
    async def _open(self, call: Call) -> AsyncIterator[tuple[aiohttp.ClientResponse, TargetNotice]]:
        """Send a call; give its response and what its head says of the target."""
        asked_s = read_clock_s()
        headers = self.make_headers(call)
        async with open_call(self._session, self.row.url, call, headers) as response:
            notice = parse_notice(
                response.status, response.headers.get, _NOTICE_HEADERS, self.row.name
            )
            self._hear(call.request, notice, asked_s)
            yield response, notice
