"""Stand between processes on loopback, and delay, silence, cut or reset what passes."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from enum import Enum

from troutstand.testing.scriptedtarget import reset_connection

_CHUNK = 1 << 16
_HOLD_POLL_S = 0.02


class FaultKind(Enum):
    """Say what a proxy does to bytes on one way."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"


@dataclass
class LinkFault:
    """Hold the trouble of one direction between two hosts."""

    trouble: FaultKind = FaultKind.NONE
    delay_s: float = 0.0


@dataclass
class FaultProxy:
    """Pass connections from one address to another.

    Parameters
    ----------
    here
        IP and port to listen at.
    there
        IP and port of the real process.
    """

    here: tuple[str, int]
    there: tuple[str, int]
    _ways: dict[tuple[str, bool], LinkFault] = field(default_factory=dict)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.here)

    async def stop(self) -> None:
        """Close everything."""
        if self._server:
            self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    def set_link_fault(self, source: str, inward: bool, way: LinkFault) -> None:
        """Set the trouble of one direction; an empty source stands for every host."""
        self._ways[(source, inward)] = way

    def heal(self) -> None:
        """Take all trouble away."""
        self._ways.clear()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError, ValueError):
                reset_connection(writer)
        self._writers.clear()

    def _find_way(self, source: str, inward: bool) -> LinkFault:
        own = self._ways.get((source, inward))
        return own or self._ways.get(("", inward)) or LinkFault()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        own = asyncio.current_task()
        assert own is not None
        self._tasks.add(own)
        own.add_done_callback(self._tasks.discard)
        # A silenced way takes the connection and says nothing, as a cut link does.
        while self._find_way(source, True).trouble is FaultKind.SILENCE:
            await asyncio.sleep(_HOLD_POLL_S)
        try:
            there_reader, there_writer = await asyncio.open_connection(*self.there)
        except OSError:
            reset_connection(writer)
            return
        self._writers |= {writer, there_writer}
        ways = [
            asyncio.create_task(self._pass(reader, there_writer, source, True)),
            asyncio.create_task(self._pass(there_reader, writer, source, False)),
        ]
        self._tasks.update(ways)
        await asyncio.wait(ways, return_when=asyncio.ALL_COMPLETED)
        self._tasks.difference_update(ways)
        self._writers -= {writer, there_writer}
        for one in (writer, there_writer):
            with contextlib.suppress(OSError, RuntimeError):
                one.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, inward: bool
    ) -> None:
        try:
            while data := await reader.read(_CHUNK):
                way = self._find_way(source, inward)
                if way.trouble is FaultKind.DELAY:
                    await asyncio.sleep(way.delay_s)
                while self._find_way(source, inward).trouble is FaultKind.SILENCE:
                    await asyncio.sleep(_HOLD_POLL_S)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except ConnectionResetError:
            reset_connection(writer)
        except (OSError, RuntimeError):
            return
