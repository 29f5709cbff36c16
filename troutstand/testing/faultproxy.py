"""Forward connections between processes on loopback, with delays, stalls or resets."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from enum import Enum

from troutstand.testing.scriptedtarget import reset_connection

_READ_BYTES = 1 << 16
_STALL_POLL_S = 0.02


class FaultKind(Enum):
    """Name what a proxy does to the bytes of one direction."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"


@dataclass
class LinkFault:
    """Describe the fault of one direction between two hosts."""

    kind: FaultKind = FaultKind.NONE
    delay_s: float = 0.0


@dataclass
class FaultProxy:
    """Forward connections from one address to another.

    Parameters
    ----------
    listen_address
        IP and port to listen on.
    upstream_address
        IP and port of the process behind the proxy.
    """

    listen_address: tuple[str, int]
    upstream_address: tuple[str, int]
    _faults: dict[tuple[str, bool], LinkFault] = field(default_factory=dict)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, *self.listen_address)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server:
            self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    def set_link_fault(self, source: str, inbound: bool, fault: LinkFault) -> None:
        """Set the fault of one direction; an empty source matches every host."""
        self._faults[(source, inbound)] = fault

    def heal(self) -> None:
        """Clear all faults."""
        self._faults.clear()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError, ValueError):
                reset_connection(writer)
        self._writers.clear()

    def _find_fault(self, source: str, inbound: bool) -> LinkFault:
        matched = self._faults.get((source, inbound))
        return matched or self._faults.get(("", inbound)) or LinkFault()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # A silenced direction accepts the connection without a response, like a partition.
        while self._find_fault(source, True).kind is FaultKind.SILENCE:
            await asyncio.sleep(_STALL_POLL_S)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.upstream_address)
        except OSError:
            reset_connection(writer)
            return
        self._writers |= {writer, upstream_writer}
        pumps = [
            asyncio.create_task(self._forward(reader, upstream_writer, source, True)),
            asyncio.create_task(self._forward(upstream_reader, writer, source, False)),
        ]
        self._tasks.update(pumps)
        await asyncio.wait(pumps, return_when=asyncio.ALL_COMPLETED)
        self._tasks.difference_update(pumps)
        self._writers -= {writer, upstream_writer}
        for one in (writer, upstream_writer):
            with contextlib.suppress(OSError, RuntimeError):
                one.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, inbound: bool
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                fault = self._find_fault(source, inbound)
                if fault.kind is FaultKind.DELAY:
                    await asyncio.sleep(fault.delay_s)
                while self._find_fault(source, inbound).kind is FaultKind.SILENCE:
                    await asyncio.sleep(_STALL_POLL_S)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except ConnectionResetError:
            reset_connection(writer)
        except (OSError, RuntimeError):
            return
