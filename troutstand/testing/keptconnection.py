"""Send requests one after the other on a single connection, and record their responses."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.testing.routedsite import HOST, KEY

if TYPE_CHECKING:
    from troutstand.testing.routedsite import HostProcess

_HEAD_END = b"\r\n\r\n"
_END_TIMEOUT_S = 15.0


@dataclass
class KeptAnswer:
    """Record the response to one request; status 0 means that no head arrived.

    Parameters
    ----------
    closes
        Whether the head says that the connection closes.
    is_whole
        Whether the body arrived to its end.
    """

    request: str
    route: str
    sent_s: float
    status: int = 0
    head_s: float = 0.0
    ended_s: float = 0.0
    closes: bool = False
    body: bytes = b""
    is_whole: bool = False


class KeptConnection:
    """Hold one connection to a gateway that is never opened again."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.answers: list[KeptAnswer] = []

    async def open(self, gateway: HostProcess) -> None:
        """Connect to the gateway.

        Raises
        ------
        OSError
            If the gateway accepts no connections.
        """
        ip, _, port = gateway.settings.callers.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))

    async def call(self, route: str, deadline_s: float) -> KeptAnswer:
        """Send one request and read its response to the end or to its cut."""
        request = f"{self.name}-{len(self.answers) + 1}"
        lines = [
            f"POST {route}x HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request}",
            f"X-Workspace-Key: {KEY}",
            f"X-Deadline-Ms: {1000 * deadline_s:.0f}",
            "Content-Length: 1",
        ]
        if route.startswith("/stream"):
            lines.append("X-Tokens: 10,10")
        answer = KeptAnswer(request, route, time.monotonic())
        self.answers.append(answer)
        self._writer.write("\r\n".join([*lines, "", "x"]).encode())
        try:
            async with asyncio.timeout(_END_TIMEOUT_S):
                await self._read(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            # `is_whole` stays unset.
            pass
        answer.ended_s = time.monotonic()
        return answer

    async def _read(self, answer: KeptAnswer) -> None:
        first, *lines = (await self._reader.readuntil(_HEAD_END)).decode("latin-1").split("\r\n")
        answer.head_s = time.monotonic()
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        answer.status = int(first.split()[1])
        answer.closes = headers.get("connection", "").lower() == "close"
        if headers.get("transfer-encoding", "") == "chunked":
            await self._read_chunks(answer)
        else:
            answer.body = await self._reader.readexactly(int(headers["content-length"]))
        answer.is_whole = True

    async def _read_chunks(self, answer: KeptAnswer) -> None:
        while length := int(await self._reader.readuntil(b"\r\n"), 16):
            answer.body += await self._reader.readexactly(length)
            await self._reader.readexactly(2)
        await self._reader.readexactly(2)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
