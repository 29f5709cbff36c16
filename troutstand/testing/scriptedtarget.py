"""Run a target that replies with the exact bytes that a test defines."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.testing.partition import GatedWriter, drop_packets

if TYPE_CHECKING:
    from collections.abc import Sequence

_LINGER_RESET = struct.pack("ii", 1, 0)
_HEAD_END = b"\r\n\r\n"


class AfterReply(Enum):
    """Name what the target does after the bytes of a reply."""

    KEEP = "keep"
    END = "end"
    RESET = "reset"
    # As if the process exits: stops listening and resets the connection.
    GONE = "gone"
    SILENT = "silent"


@dataclass(frozen=True)
class Reply:
    """Hold the bytes of one reply and the action after them."""

    data: bytes
    close: AfterReply = AfterReply.KEEP
    is_early: bool = False


@dataclass
class ReceivedRequest:
    """Hold one request as received."""

    head: bytes
    body: bytes
    connection: int

    def find_header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        for line in self.head.decode("latin-1").split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.strip().lower() == name:
                return value.strip()
        return ""


@dataclass
class ScriptedTarget:
    """Answer requests with the given replies in order, repeating the last one."""

    replies: Sequence[Reply]
    received: list[ReceivedRequest] = field(default_factory=list)
    address: str = ""
    # Resets each connection this long after it has opened; None resets none.
    reset_after_s: float | None = None
    # Set when a caller has closed a connection.
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    _connections: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def drop_connections(self) -> None:
        """Let new connections time out."""
        if self._server:
            drop_packets(self._server.sockets[0], ["127.0.0.1"])

    async def stop(self) -> None:
        """Close the listening socket."""
        if self._server:
            self._server.close()

    def _next_reply(self) -> Reply:
        return self.replies[min(len(self.received), len(self.replies)) - 1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        connection = self._connections
        if self.reset_after_s is not None:
            await asyncio.sleep(self.reset_after_s)
            reset_connection(writer)
            return
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await self._serve_one(reader, writer, connection):
                pass
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: int
    ) -> bool:
        head = (await reader.readuntil(_HEAD_END))[: -len(_HEAD_END)]
        request = ReceivedRequest(head, b"", connection)
        length = int(request.find_header("content-length") or 0)
        self.received.append(request)
        reply = self._next_reply()
        if reply.is_early:
            writer.write(reply.data)
            await writer.drain()
        request.body = await reader.readexactly(length)
        if not reply.is_early:
            writer.write(reply.data)
            await writer.drain()
        match reply.close:
            case AfterReply.KEEP:
                return True
            case AfterReply.SILENT:
                await reader.read()
                self.closed.set()
            case AfterReply.GONE:
                await self.stop()
                reset_connection(writer)
            case AfterReply.RESET:
                reset_connection(writer)
            case AfterReply.END:
                pass
        return False


def reset_connection(writer: asyncio.StreamWriter | GatedWriter) -> None:
    """Close a connection so that its peer sees a reset."""
    raw = writer.socket if isinstance(writer, GatedWriter) else writer.get_extra_info("socket")
    # The socket may be closed already.
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    writer.transport.abort()
