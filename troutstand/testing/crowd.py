"""Run clients that send too much, stop short or do not read, as a crowd of raw connections."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_READ_BYTES = 64 << 10
_CONNECT_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class Script:
    """Define what a client sends before it stays connected without sending any more.

    Parameters
    ----------
    piece
        Sent `count` times after `begin`.
    must_read
        Whether the client reads what it is sent; it reads one byte otherwise.
    """

    begin: bytes
    piece: bytes = b""
    count: int = 0
    end: bytes = b""
    must_read: bool = True
    # Between two pieces.
    pause_s: float = 0.0


@dataclass(eq=False)
class CrowdClient:
    """Play a script on one connection.

    `has_settled` is set once the script has been sent or the connection has closed.
    """

    script: Script
    written_bytes: int = 0
    received: bytearray = field(default_factory=bytearray)
    has_settled: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self, host: str, port: int) -> None:
        """Connect, send, and read until the server closes the connection."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port, limit=_READ_BYTES)
            reading = asyncio.create_task(self._read(reader))
            sending = asyncio.create_task(self._send(writer))
            try:
                await reading
            finally:
                for task in (reading, sending):
                    task.cancel()
                await asyncio.gather(reading, sending, return_exceptions=True)
        except (OSError, TimeoutError):
            # The server refused the connection or reset it.
            pass
        finally:
            self.has_settled.set()
            if writer is not None:
                writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        script = self.script
        pieces = (script.begin, *(script.piece for _ in range(script.count)), script.end)
        # The task that reads sees the end of the connection.
        with contextlib.suppress(OSError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                self.written_bytes += len(piece)
                if script.pause_s:
                    await asyncio.sleep(script.pause_s)
        self.has_settled.set()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        if not self.script.must_read:
            self.received += await reader.read(1)
            await asyncio.get_running_loop().create_future()
        while data := await reader.read(_READ_BYTES):
            self.received += data


class Crowd:
    """Hold the clients that play a script at one address at the same time."""

    def __init__(self, address: str, make_script: Callable[[int], Script], count: int) -> None:
        self.clients = [CrowdClient(make_script(number)) for number in range(count)]
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, limit_s: float) -> None:
        """Connect all clients, and wait until they have sent what they can.

        A client whose server does not read settles only at the limit.
        """
        self._tasks = [
            asyncio.create_task(client.run(self._host, self._port)) for client in self.clients
        ]
        settled = [asyncio.create_task(client.has_settled.wait()) for client in self.clients]
        await asyncio.wait(settled, timeout=limit_s)
        for task in settled:
            task.cancel()

    async def leave(self) -> None:
        """Reset all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
