"""Read streams whose events name their target's version, and resume them as callers may."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from troutstand.core.codes import ResultCode
from troutstand.testing.routedsite import HOST, KEY
from troutstand.testing.standins import VERSION_HEADER

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.testing.routedsite import HostProcess

_ROUTE = "/stream/resume/x"
_DEADLINE_S = 8.0
_PAUSE_S = 0.2
# After these a caller begins anew.
_FINAL_CODES = (ResultCode.STREAM_VERSION_GONE, ResultCode.STREAM_ORIGIN_UNKNOWN)
_LAST_EVENT_HEADER = "Last-Event-Id"


class _CallerLeftError(Exception):
    """Report that the caller closes its connection in the middle of a response."""


@dataclass
class StreamTry:
    """Record one request of a caller; `status` is 0 if no head arrived.

    Parameters
    ----------
    first_event
        The event after which it begins; 0 for a new stream.
    code
        The result code of a refusal, 0 without one.
    """

    gateway: str
    first_event: int
    began_s: float
    status: int = 0
    code: int = 0
    run: str = ""
    versions: list[str] = field(default_factory=list)
    is_whole: bool = False

    @property
    def was_judged(self) -> bool:
        """Return whether a gateway that had started took or refused it."""
        return self.status != 0 and self.code != ResultCode.STARTING


@dataclass
class Stream:
    """Record all tries of one caller for a stream."""

    name: str
    tries: list[StreamTry] = field(default_factory=list)
    last_event: int = 0
    # The request that brought the first event.
    origin: str = ""
    # Whether an event was missing or came twice.
    has_gap: bool = False

    @property
    def requests(self) -> list[str]:
        """Return the ids of its tries."""
        return [f"{self.name}-{number}" for number in range(len(self.tries))]

    @property
    def versions(self) -> set[str]:
        """Return the versions that sent its events."""
        return {version for one in self.tries for version in one.versions}

    @property
    def is_whole(self) -> bool:
        """Return whether the last try ended as whole."""
        return bool(self.tries) and self.tries[-1].is_whole


class StreamCaller:
    """Read streams through the gateways of a site."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.streams: list[Stream] = []
        self._session = session

    async def read(
        self,
        name: str,
        choose_gateway: Callable[[int], HostProcess],
        leave_after: int | None = None,
        limit_s: float = _DEADLINE_S,
    ) -> Stream:
        """Read a stream to its end, and resume it at other gateways where it breaks off.

        Parameters
        ----------
        choose_gateway
            Returns the gateway of a try, counted from 0.
        leave_after
            Events after which the caller closes the connection of its first try.
        """
        stream = Stream(name)
        self.streams.append(stream)
        end_s = time.monotonic() + limit_s
        while not stream.is_whole and time.monotonic() < end_s:
            number = len(stream.tries)
            leaves = leave_after if number == 0 else None
            one = await self.send(stream, choose_gateway(number), leaves)
            if one.code in _FINAL_CODES:
                break
            if not stream.is_whole:
                await asyncio.sleep(_PAUSE_S)
        return stream

    async def send(
        self, stream: Stream, gateway: HostProcess, leave_after: int | None = None
    ) -> StreamTry:
        """Send one try, which resumes the stream if the caller has a part of it."""
        request = f"{stream.name}-{len(stream.tries)}"
        one = StreamTry(gateway.name, stream.last_event, time.monotonic())
        stream.tries.append(one)
        headers = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Workspace-Key": KEY,
            "X-Deadline-Ms": str(int(1000 * _DEADLINE_S)),
            "X-Tokens": "10,10",
            VERSION_HEADER: "1",
        }
        if stream.last_event:
            headers |= {
                _LAST_EVENT_HEADER: str(stream.last_event),
                "X-Resumed-Request": stream.origin,
            }
        url = f"http://{gateway.settings.callers}{_ROUTE}"
        timeout = aiohttp.ClientTimeout(total=_DEADLINE_S)
        try:
            async with self._session.post(url, headers=headers, timeout=timeout) as response:
                one.status = response.status
                await self._read_body(stream, one, request, response, leave_after)
        except (aiohttp.ClientError, TimeoutError, OSError, _CallerLeftError):
            # `is_whole` stays unset.
            pass
        return one

    async def _read_body(
        self,
        stream: Stream,
        one: StreamTry,
        request: str,
        response: aiohttp.ClientResponse,
        leave_after: int | None,
    ) -> None:
        if one.status != 200:
            one.code, one.run = _parse_refusal(await response.read())
            return
        version = ""
        async for line in response.content:
            name, _, value = line.decode().strip().partition(": ")
            if name == "software":
                version = value
            elif name == "id":
                stream.has_gap |= int(value) != stream.last_event + 1
                stream.last_event = int(value)
                stream.origin = stream.origin or request
                one.versions.append(version)
            if leave_after is not None and len(one.versions) >= leave_after:
                raise _CallerLeftError
        one.is_whole = True


def _parse_refusal(body: bytes) -> tuple[int, str]:
    """Return the code and the run of a refusal; 0 and nothing for a target's own error."""
    try:
        refusal = json.loads(body)
    except ValueError:
        return 0, ""
    return int(refusal["code"]), str(refusal["run"])


@dataclass(frozen=True)
class Shares:
    """Hold which share of the tries at gateways that had started were served."""

    resumed: int
    resumed_served: int
    new: int
    new_served: int

    @classmethod
    def count(cls, streams: list[Stream], since_s: float, until_s: float) -> Shares:
        """Count the tries that were sent in a time."""
        sent = [t for s in streams for t in s.tries if since_s <= t.began_s < until_s]
        tries = [t for t in sent if t.was_judged]
        resumed = [t for t in tries if t.first_event]
        new = [t for t in tries if not t.first_event]
        return cls(
            len(resumed),
            sum(bool(t.versions) or t.is_whole for t in resumed),
            len(new),
            sum(bool(t.versions) for t in new),
        )

    @property
    def resumed_share(self) -> float:
        """Return the share of resumed streams that went on."""
        return self.resumed_served / max(1, self.resumed)

    @property
    def new_share(self) -> float:
        """Return the share of new streams that began."""
        return self.new_served / max(1, self.new)
