"""Cut hosts from a stand-in's sockets, by the source address of their packets."""

from __future__ import annotations

import ctypes
import socket
import struct
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Sequence

# Socket options and instructions of the classic packet filter, see socket(7) and linux/filter.h.
_ATTACH_FILTER = 26
_LOAD_WORD = 0x20
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x06
_ACCEPT_ALL_BYTES = 0xFFFFFFFF
_DROP = 0
# Position of the source address: the network header, which the filter addresses with this
# negative offset, and 12 bytes into it.
_SOURCE_ADDRESS = (-0x100000 + 12) & 0xFFFFFFFF


class CutKind(Enum):
    """Name what happens to the connections of a host that is cut from a target."""

    # Nothing arrives in either direction, and new connections time out.
    HANG = "hang"
    # Open connections are reset, and new ones too.
    RESET = "are reset"
    # The same, but new connections open first and are reset a moment later.
    RESET_LATE = "are reset late"
    # Open connections go on, and new ones are reset.
    REJECT_NEW = "live on"
    # Open connections go on, and new ones open and are reset a moment later.
    REJECT_NEW_LATE = "live on with late resets"


def drop_packets(sock: socket.socket, sources: Sequence[str]) -> None:
    """Drop the packets that arrive at a TCP socket from the given IPv4 addresses.

    A listening socket then lets connections from there time out; no privileges are needed.
    """
    count = len(sources)
    program = [_encode(_LOAD_WORD, 0, 0, _SOURCE_ADDRESS)]
    for index, source in enumerate(sources):
        (address,) = struct.unpack("!I", socket.inet_aton(source))
        program.append(_encode(_JUMP_IF_EQUAL, count - index, 0, address))
    program.append(_encode(_RETURN, 0, 0, _ACCEPT_ALL_BYTES))
    program.append(_encode(_RETURN, 0, 0, _DROP))
    code = ctypes.create_string_buffer(b"".join(program))
    header = struct.pack("HL", len(program), ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, _ATTACH_FILTER, header)


def _encode(code: int, if_true: int, if_false: int, value: int) -> bytes:
    return struct.pack("HBBI", code, if_true, if_false, value)


class GatedWriter:
    """Write to a connection, or hold its bytes back while it is cut.

    Parameters
    ----------
    reader
        Reads from the same connection.
    """

    def __init__(self, writer: asyncio.StreamWriter, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self.source: str = writer.get_extra_info("peername")[0]
        self._writer = writer
        self._held: list[bytes] | None = None
        self._is_close_held = False

    @property
    def transport(self) -> asyncio.WriteTransport:
        """Return the transport of the connection."""
        return self._writer.transport

    @property
    def is_left(self) -> bool:
        """Return whether the peer has closed the connection."""
        return self._reader.at_eof() or self._writer.transport.is_closing()

    @property
    def socket(self) -> socket.socket:
        """Return the socket of the connection."""
        return self._writer.get_extra_info("socket")

    def hold(self) -> None:
        """Drop what arrives and keep back what is written."""
        self._held = self._held or []
        drop_packets(self.socket, [self.source])

    def release(self) -> None:
        """Let bytes through again, those kept back first."""
        if self._held is None or self._writer.transport.is_closing():
            return
        drop_packets(self.socket, [])
        held, self._held = self._held, None
        self._writer.write(b"".join(held))
        if self._is_close_held:
            self._writer.close()

    def write(self, data: bytes) -> None:
        """Write bytes."""
        if self._held is None:
            self._writer.write(data)
        else:
            self._held.append(data)

    async def drain(self) -> None:
        """Wait until the written bytes are sent, unless they are kept back."""
        if self._held is None:
            await self._writer.drain()

    def close(self) -> None:
        """Close the connection, once it is no longer cut."""
        if self._held is None:
            self._writer.close()
        else:
            self._is_close_held = True
