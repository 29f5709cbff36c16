"""Ask a link server for replies that are never read."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import cbor2
import msgspec
from websockets.asyncio.client import ClientConnection, connect

from troutstand.core.clock import HybridClock
from troutstand.core.ids import ProcessId
from troutstand.daemon.links import Frame, Greeting, Identity, LinkServer, encode_frame
from troutstand.generated.settings import Address, Limits
from troutstand.util.events import EventBus

if TYPE_CHECKING:
    from troutstand.generated.messages import PeerMessage

_PORT = 7700
_LIMITS = Limits(lease_s=0.8, message_bytes=16 << 20)
_KEY = bytes(16)
_NONCE = bytes(16)
_WAIT_S = 10.0


class IdlePeer:
    """Hold a link server and the connection of a peer that reads no replies.

    Parameters
    ----------
    ip
        A loopback address that is free.
    reply
        The server's reply to each message.
    """

    def __init__(self, ip: str, reply: PeerMessage) -> None:
        self.name = "idle"
        self.events = EventBus(ProcessId("server"), HybridClock(time.time))
        identity = Identity("demo", ProcessId("server"), _KEY)
        self.server = LinkServer(identity, None, _LIMITS, self.events, self._handle)
        self._address = Address(ip, _PORT)
        self._reply = reply
        self._handled_count = 0

    def _handle(self, _peer: ProcessId, _message: PeerMessage) -> PeerMessage:
        self._handled_count += 1
        return self._reply

    async def open(self) -> None:
        """Start the server and authenticate the peer."""
        await self.server.start(self._address)
        uri = f"ws://{self._address.ip}:{self._address.port}/"
        # The library stops reading the socket when this queue is full.
        self._connection: ClientConnection = await connect(
            uri, max_size=None, max_queue=1, compression=None, ping_interval=None, proxy=None
        )
        challenge = await self._connection.recv()
        assert isinstance(challenge, bytes)
        proof = Identity("demo", ProcessId(self.name), _KEY).compute_proof(
            self.name, challenge, _NONCE
        )
        greeting = Greeting("demo", self.name, _NONCE, proof)
        await self._connection.send(
            cbor2.dumps(msgspec.to_builtins(greeting, builtin_types=(bytes,)))
        )
        await self._connection.recv()

    async def ask(self, count: int, message: PeerMessage) -> None:
        """Send messages until the peer's side of the connection is full of unread replies."""
        for sequence in range(1, count + 1):
            await self._connection.send(encode_frame(Frame(0, sequence, 0, message)))
        async with asyncio.timeout(_WAIT_S):
            while self._handled_count < count or self._connection.transport.is_reading():
                await asyncio.sleep(0.01)

    def close(self) -> None:
        """Abort the peer's connection."""
        self._connection.transport.abort()
