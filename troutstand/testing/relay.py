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
_START_S = 10.0


@dataclass(frozen=True)
class Pair:
    """Name a direction: who dials whom."""

    dialler: str
    peer: str


class RelayHub:
    """Forward bytes for many pairs, in a thread of the tests' own.

    A cut holds bytes back without closing anything, as a network does: the
    processes see silence, not an error. New connections are taken but lead
    nowhere.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._cut: set[Pair] = set()
        self._healed = asyncio.Event()
        self._writers: dict[Pair, list[asyncio.StreamWriter]] = {}
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, pair: Pair, listen: Address, to: Address) -> None:
        """Begin to relay a pair."""
        future = asyncio.run_coroutine_threadsafe(self._listen(pair, listen, to), self._loop)
        future.result(_START_S)

    def cut(self, pairs: set[Pair]) -> None:
        """Hold back every byte of some pairs."""
        self._loop.call_soon_threadsafe(self._cut.update, pairs)

    def heal(self) -> None:
        """Let everything through again; held connections break."""
        self._loop.call_soon_threadsafe(self._heal)

    def stop(self) -> None:
        """Stop relaying."""
        asyncio.run_coroutine_threadsafe(self._cancel_all(), self._loop).result(_START_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _heal(self) -> None:
        cut, self._cut = self._cut, set()
        for pair in cut:
            for writer in self._writers.pop(pair, []):
                writer.transport.abort()
        self._healed.set()
        self._healed = asyncio.Event()

    async def _listen(self, pair: Pair, listen: Address, to: Address) -> None:
        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay(pair, to, reader, writer)

        await asyncio.start_server(take, listen.ip, listen.port)

    async def _relay(
        self,
        pair: Pair,
        to: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.setdefault(pair, []).append(writer)
        while pair in self._cut:
            await self._healed.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(to.ip, to.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers.setdefault(pair, []).append(far_writer)
        await asyncio.gather(
            self._pump(pair, reader, far_writer), self._pump(pair, far_reader, writer)
        )

    async def _pump(
        self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                while pair in self._cut:
                    await self._healed.wait()
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
