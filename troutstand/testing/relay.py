"""Relay links between processes, so that tests can cut and heal them."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.generated.settings import Address

_READ_BYTES = 65536
_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class LinkDirection:
    """Identify a direction: the connecting process and its peer."""

    source: str
    peer: str


class RelayHub:
    """Forward bytes for many links, in a background thread.

    A cut link holds bytes back without closing connections, like a network
    partition. New connections are accepted but not forwarded.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._cut: set[LinkDirection] = set()
        self._healed = asyncio.Event()
        self._writers: dict[LinkDirection, list[asyncio.StreamWriter]] = {}
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, link: LinkDirection, listen: Address, to: Address) -> None:
        """Start to relay a link."""
        future = asyncio.run_coroutine_threadsafe(self._listen(link, listen, to), self._loop)
        future.result(_TIMEOUT_S)

    def cut(self, links: set[LinkDirection]) -> None:
        """Hold back all bytes of the links."""
        self._loop.call_soon_threadsafe(self._cut.update, links)

    def heal(self) -> None:
        """Restore all links and abort the connections that were held back."""
        self._loop.call_soon_threadsafe(self._heal)

    def stop(self) -> None:
        """Stop relaying."""
        asyncio.run_coroutine_threadsafe(self._cancel_all(), self._loop).result(_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _heal(self) -> None:
        cut, self._cut = self._cut, set()
        for link in cut:
            for writer in self._writers.pop(link, []):
                writer.transport.abort()
        self._healed.set()
        self._healed = asyncio.Event()

    async def _listen(self, link: LinkDirection, listen: Address, to: Address) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay(link, to, reader, writer)

        await asyncio.start_server(accept, listen.ip, listen.port)

    async def _relay(
        self,
        link: LinkDirection,
        to: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.setdefault(link, []).append(writer)
        while link in self._cut:
            await self._healed.wait()
        try:
            peer_reader, peer_writer = await asyncio.open_connection(to.ip, to.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers.setdefault(link, []).append(peer_writer)
        await asyncio.gather(
            self._pump(link, reader, peer_writer), self._pump(link, peer_reader, writer)
        )

    async def _pump(
        self, link: LinkDirection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                while link in self._cut:
                    await self._healed.wait()
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
