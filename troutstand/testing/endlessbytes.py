"""Answer with bytes without end, at a target alone or at one of a site."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.testing.standins import make_body, make_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.testing.partition import GatedWriter
    from troutstand.testing.standins import Head

EVENT_COUNT = 4
_HEAD_END = b"\r\n\r\n"
_PIECE_BYTES = 16 << 10


class Delivery(Enum):
    """Name how the bytes without end come."""

    FAST = "as fast as they are read"
    TRICKLE = "one piece every 0.2 s"


@dataclass
class EndlessTarget:
    """Answer each request with `begin` and then `repeated` until the caller closes.

    Parameters
    ----------
    most_bytes
        Bytes after which a reply is given up, so that a caller that never closes is shown.
    """

    begin: bytes
    repeated: bytes
    delivery: Delivery = Delivery.FAST
    most_bytes: int = 256 << 20
    trickle_s: float = 0.2
    # Bytes of each reply that were written by the time it was closed.
    written: list[int] = field(default_factory=list)
    # Replies that the caller closed before `most_bytes`.
    closed_count: int = 0
    address: str = ""
    _server: asyncio.Server | None = None
    _replies: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening, and wait until every reply has ended."""
        if self._server is not None:
            self._server.close()
        if self._replies:
            await asyncio.wait(self._replies)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._replies.add(task)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                await reader.readuntil(_HEAD_END)
                await self._reply(writer)
        finally:
            self._replies.discard(task)
            writer.transport.abort()

    async def _reply(self, writer: asyncio.StreamWriter) -> None:
        index = len(self.written)
        self.written.append(0)
        piece = self.repeated
        if self.delivery is Delivery.FAST:
            piece *= max(1, _PIECE_BYTES // len(self.repeated))
        data = self.begin
        try:
            while self.written[index] < self.most_bytes:
                writer.write(data)
                await writer.drain()
                self.written[index] += len(data)
                data = piece
                if self.delivery is Delivery.TRICKLE:
                    await asyncio.sleep(self.trickle_s)
        except OSError:
            self.closed_count += 1
            raise


@dataclass
class EndlessResponses:
    """Write responses without end at one of a site's targets, and whole streams elsewhere.

    Parameters
    ----------
    make_begin
        Returns the first bytes of a response, by target and request.
    """

    endless_target: str
    make_begin: Callable[[str, str], bytes]
    repeated: bytes
    most_bytes: int = 256 << 20
    # Bytes of each endless response that were written by the time it was closed.
    written: list[int] = field(default_factory=list)

    async def answer(self, target: str, head: Head, writer: GatedWriter) -> bool:
        """Write one response and return whether the connection stays open."""
        request = head.headers["x-request-id"]
        if target != self.endless_target:
            return await self._write_whole(target, request, head, writer)
        index = len(self.written)
        self.written.append(0)
        data = self.make_begin(target, request)
        with contextlib.suppress(OSError):
            while self.written[index] < self.most_bytes:
                writer.write(data)
                await writer.drain()
                self.written[index] += len(data)
                data = self.repeated * max(1, _PIECE_BYTES // len(self.repeated))
        return False

    async def _write_whole(
        self, target: str, request: str, head: Head, writer: GatedWriter
    ) -> bool:
        after = int(head.headers.get("last-event-id") or 0)
        if "/stream" in head.path:
            content_type = "text/event-stream"
            body = b"".join(make_event(request, n) for n in range(after + 1, EVENT_COUNT + 1))
        else:
            content_type, body = "text/plain", make_body(request, b"x")
        writer.write(make_response_head(target, request, content_type, len(body)) + body)
        await writer.drain()
        return True


def make_response_head(target: str, request: str, content_type: str, length: int | None) -> bytes:
    """Return the head of a response; without a length its body ends with the connection."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {request}",
        f"X-Answer-Seal: {target}",
        f"Content-Type: {content_type}",
        *([] if length is None else [f"Content-Length: {length}"]),
    ]
    return "\r\n".join([*lines, "", ""]).encode()
