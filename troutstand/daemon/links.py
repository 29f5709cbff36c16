"""Link our processes by authenticated websockets that carry CBOR messages."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import cbor2
import msgspec
import websockets
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve

from troutstand.core.codec import convert_record
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import ProcessId
from troutstand.generated.messages import PeerMessage, Refused

if TYPE_CHECKING:
    from troutstand.generated.settings import Address, Limits
    from troutstand.util.events import EventBus

Handler = Callable[[ProcessId, PeerMessage], "PeerMessage | Awaitable[PeerMessage | None] | None"]

_NONCE_BYTES = 16
_HANDSHAKE_BYTES = 1024
_FIRST_BACKOFF_S = 0.05
# A link that was open is opened again almost at once: where its peer's process has
# ended, the refusal tells so within a round trip (chosen, not measured).
_REOPEN_S = 0.01
_MAX_BACKOFF_S = 1.0
_ONE_WAY = 0
# A replying connection may hold this many unsent replies for a slow reader.
_REPLY_QUEUE_MESSAGES = 20_000


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """Introduce a process and prove that it knows the site's key."""

    site: str
    process: str
    nonce: bytes
    proof: bytes


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Wrap a message with its stamp and what it replies to."""

    stamp: int
    sequence: int
    reply_to: int
    message: PeerMessage


@dataclass(frozen=True)
class Identity:
    """Tell which process of which site this is, and the site's key."""

    site: str
    process: ProcessId
    key: bytes

    def compute_proof(self, process: str, challenge: bytes, nonce: bytes) -> bytes:
        """Make the proof that a process answers a challenge with."""
        text = b"|".join([self.site.encode(), process.encode(), challenge, nonce])
        return hmac.digest(self.key, text, "sha256")


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def decode_frame(data: bytes | str) -> Frame:
    """Decode a frame.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED where the bytes are no frame.
    """
    try:
        plain = cbor2.loads(data if isinstance(data, bytes) else data.encode())
    except Exception as error:
        # cbor2 raises many kinds for hostile bytes; all mean the same here.
        raise TroutstandError(ResultCode.LINK_MALFORMED, str(error)) from error
    return convert_record(plain, Frame)


class LinkServer:
    """Take links from peers and answer their messages."""

    def __init__(
        self,
        identity: Identity,
        peers: frozenset[ProcessId] | None,
        limits: Limits,
        events: EventBus,
        handler: Handler,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._limits = limits
        self._events = events
        self._handler = handler
        self._server: Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> None:
        """Open the listening socket."""
        self._server = await serve(
            self._serve,
            address.ip,
            address.port,
            max_size=self._limits.message_bytes,
            compression=None,
            ping_interval=None,
        )

    async def stop(self) -> None:
        """Close the socket and every link."""
        if self._server:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(self, socket: ServerConnection) -> None:
        try:
            peer = await asyncio.wait_for(self._greet(socket), self._limits.lease_s)
        except (TroutstandError, TimeoutError, websockets.ConnectionClosed) as error:
            detail = str(error) or type(error).__name__
            self._events.emit("link_refused", code=ResultCode.LINK_REFUSED, detail=detail)
            await socket.close(code=1008, reason=str(ResultCode.LINK_REFUSED.value))
            return
        self._events.emit("link_accepted", peer=peer)
        replies: asyncio.Queue[bytes] = asyncio.Queue(_REPLY_QUEUE_MESSAGES)
        writer = asyncio.create_task(_write_queue(socket, replies))
        try:
            await self._read(socket, peer, replies)
        except websockets.ConnectionClosed:
            # link_lost is logged for it.
            pass
        finally:
            writer.cancel()
            self._events.emit("link_lost", peer=peer)

    async def _greet(self, socket: ServerConnection) -> ProcessId:
        challenge = secrets.token_bytes(_NONCE_BYTES)
        await socket.send(challenge)
        data = await socket.recv()
        if not isinstance(data, bytes) or len(data) > _HANDSHAKE_BYTES:
            raise TroutstandError(ResultCode.LINK_REFUSED, "the greeting is malformed")
        try:
            greeting = convert_record(cbor2.loads(data), Greeting)
        except Exception as error:
            raise TroutstandError(ResultCode.LINK_REFUSED, "the greeting is malformed") from error
        proof = self._identity.compute_proof(greeting.process, challenge, greeting.nonce)
        if not hmac.compare_digest(proof, greeting.proof) or greeting.site != self._identity.site:
            raise TroutstandError(ResultCode.LINK_REFUSED, f"wrong key from {greeting.process!r}")
        # Without a list, whoever knows the site's key is a peer.
        if self._peers is not None and greeting.process not in self._peers:
            raise TroutstandError(ResultCode.LINK_REFUSED, f"unknown host {greeting.process!r}")
        own = self._identity.process
        await socket.send(self._identity.compute_proof(own, greeting.nonce, challenge))
        return ProcessId(greeting.process)

    async def _read(
        self, socket: ServerConnection, peer: ProcessId, replies: asyncio.Queue[bytes]
    ) -> None:
        async for data in socket:
            try:
                frame = decode_frame(data)
            except TroutstandError as error:
                self._events.emit("link_malformed", code=error.code, peer=peer)
                await socket.close(code=1007, reason=str(error.code.value))
                return
            self._events.clock.receive(frame.stamp)
            self._answer(peer, frame, replies)

    def _answer(self, peer: ProcessId, frame: Frame, replies: asyncio.Queue[bytes]) -> None:
        result = self._handler(peer, frame.message)
        if isinstance(result, Awaitable):
            task = asyncio.create_task(self._answer_later(result, frame, replies))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif result is not None and frame.sequence != _ONE_WAY:
            self._put_reply(result, frame, replies)

    async def _answer_later(
        self,
        result: Awaitable[PeerMessage | None],
        frame: Frame,
        replies: asyncio.Queue[bytes],
    ) -> None:
        try:
            reply = await result
        except TroutstandError as error:
            # Whoever asked is told.
            reply = Refused(int(error.code), error.detail)
        if reply is not None and frame.sequence != _ONE_WAY:
            self._put_reply(reply, frame, replies)

    def _put_reply(self, reply: PeerMessage, frame: Frame, replies: asyncio.Queue[bytes]) -> None:
        stamp = self._events.clock.tick().pack()
        data = encode_frame(Frame(stamp, _ONE_WAY, frame.sequence, reply))
        try:
            replies.put_nowait(data)
        except asyncio.QueueFull:
            self._events.emit("link_queue_full", code=ResultCode.LINK_QUEUE_FULL)


async def _write_queue(
    socket: ServerConnection | ClientConnection, queue: asyncio.Queue[bytes]
) -> None:
    # Whoever reads the socket tells that it closed.
    with contextlib.suppress(websockets.ConnectionClosed):
        while True:
            await socket.send(await queue.get())


async def handle_locally(handler: Handler, own: ProcessId, message: PeerMessage) -> PeerMessage:
    """Return a process's own answer to a message.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED where the message has no answer.
    """
    result = handler(own, message)
    if isinstance(result, Awaitable):
        result = await result
    if result is None:
        raise TroutstandError(ResultCode.LINK_MALFORMED, "no answer to oneself")
    return result


def _write_uri(address: Address) -> str:
    """Write where a link connects to; an IPv6 number stands in brackets."""
    ip = f"[{address.ip}]" if ":" in address.ip else address.ip
    return f"ws://{ip}:{address.port}/"


@dataclass
class Traffic:
    """Count what a process sends to its peers."""

    messages: int = 0
    bytes: int = 0


@dataclass
class Link:
    """Keep one outgoing link open and ask the peer things.

    `is_refused` tells that nothing listens at the peer's address, so that its
    process has ended; silence alone tells nothing. `on_refused` is called with the
    peer when that is found. A link that is at rest is probed every `probe_s`
    seconds, by default once a lease.
    """

    identity: Identity
    peer: ProcessId
    address: Address
    limits: Limits
    events: EventBus
    traffic: Traffic
    is_up: bool = False
    is_refused: bool = False
    bind_ip: str = ""
    ping_interval_s: float | None = None
    on_refused: Callable[[ProcessId], None] | None = None
    _sequence: int = 0
    _asks: dict[int, asyncio.Future[PeerMessage]] = field(default_factory=dict)
    _queue: asyncio.Queue[bytes] = field(init=False)
    _up: asyncio.Event = field(default_factory=asyncio.Event)
    _was_up: bool = False
    _is_full: bool = False

    def __post_init__(self) -> None:
        self._queue = asyncio.Queue(self.limits.link_queue_messages)

    async def wait_until_up(self) -> None:
        """Return once the link is open."""
        await self._up.wait()

    async def run(self) -> None:
        """Connect again and again until cancelled."""
        backoff_s = _FIRST_BACKOFF_S
        while True:
            self._was_up = False
            try:
                await self._connect()
            except ConnectionRefusedError:
                self._note_refused()
            except Exception as error:
                # Whatever ends a connection, the next one is tried: the library's own
                # close raises AttributeError where the socket was lost amid a write.
                self.is_refused = False
                self.events.emit("link_failed", peer=self.peer, detail=type(error).__name__)
            self._fail_asks()
            if self._was_up:
                backoff_s = _FIRST_BACKOFF_S
                await asyncio.sleep(_REOPEN_S)
                continue
            await asyncio.sleep(backoff_s)
            backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)

    def _note_refused(self) -> None:
        was_refused, self.is_refused = self.is_refused, True
        if was_refused:
            return
        self.events.emit("link_unopened", peer=self.peer, detail="nothing listens there")
        if self.on_refused is not None:
            self.on_refused(self.peer)

    async def _connect(self) -> None:
        async with connect(
            _write_uri(self.address),
            max_size=self.limits.message_bytes,
            compression=None,
            open_timeout=self.limits.lease_s,
            ping_interval=self.ping_interval_s or self.limits.lease_s,
            ping_timeout=self.limits.lease_s,
            close_timeout=self.limits.lease_s,
            proxy=None,
            local_addr=(self.bind_ip, 0) if self.bind_ip else None,
        ) as socket:
            await asyncio.wait_for(self._greet(socket), self.limits.lease_s)
            self.is_up, self.is_refused, self._was_up = True, False, True
            self._up.set()
            self._queue = asyncio.Queue(self.limits.link_queue_messages)
            writer = asyncio.create_task(_write_queue(socket, self._queue))
            self.events.emit("link_up", peer=self.peer)
            try:
                await self._read(socket)
            finally:
                self.is_up = False
                self._up.clear()
                writer.cancel()
                self.events.emit("link_down", peer=self.peer)

    async def _greet(self, socket: ClientConnection) -> None:
        challenge = await socket.recv()
        if not isinstance(challenge, bytes):
            raise TroutstandError(ResultCode.LINK_REFUSED, "the challenge is malformed")
        nonce = secrets.token_bytes(_NONCE_BYTES)
        own = self.identity.process
        proof = self.identity.compute_proof(own, challenge, nonce)
        greeting = Greeting(self.identity.site, own, nonce, proof)
        await socket.send(cbor2.dumps(msgspec.to_builtins(greeting, builtin_types=(bytes,))))
        answer = await socket.recv()
        expected = self.identity.compute_proof(self.peer, nonce, challenge)
        if not isinstance(answer, bytes) or not hmac.compare_digest(answer, expected):
            raise TroutstandError(ResultCode.LINK_REFUSED, f"{self.peer} has another key")

    async def _read(self, socket: ClientConnection) -> None:
        async for data in socket:
            frame = decode_frame(data)
            self.events.clock.receive(frame.stamp)
            waiting = self._asks.pop(frame.reply_to, None)
            if waiting and not waiting.done():
                waiting.set_result(frame.message)

    def _fail_asks(self) -> None:
        asks, self._asks = self._asks, {}
        for waiting in asks.values():
            if not waiting.done():
                waiting.set_exception(TroutstandError(ResultCode.LINK_CLOSED, self.peer))
                waiting.exception()

    def _put(self, sequence: int, message: PeerMessage) -> None:
        if not self.is_up:
            raise TroutstandError(ResultCode.LINK_CLOSED, self.peer)
        stamp = self.events.clock.tick().pack()
        data = encode_frame(Frame(stamp, sequence, 0, message))
        if self._queue.empty():
            self._is_full = False
        try:
            self._queue.put_nowait(data)
        except asyncio.QueueFull as error:
            self._note_full()
            raise TroutstandError(ResultCode.LINK_QUEUE_FULL, self.peer) from error
        self.traffic.messages += 1
        self.traffic.bytes += len(data)

    def _note_full(self) -> None:
        """Log that the queue is full, once until it was empty again."""
        if not self._is_full:
            self._is_full = True
            self.events.emit("link_queue_full", code=ResultCode.LINK_QUEUE_FULL, peer=self.peer)

    def send(self, message: PeerMessage) -> bool:
        """Send a message that has no answer; tell whether it was queued."""
        try:
            self._put(_ONE_WAY, message)
        except TroutstandError:
            # link_down or link_queue_full told it before.
            return False
        return True

    async def ask(self, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a message and return the answer.

        Raises
        ------
        TroutstandError
            LINK_CLOSED, LINK_TIMEOUT, LINK_QUEUE_FULL, or what the peer refused with.
        """
        self._sequence += 1
        sequence = self._sequence
        self._put(sequence, message)
        waiting: asyncio.Future[PeerMessage] = asyncio.get_running_loop().create_future()
        self._asks[sequence] = waiting
        try:
            async with asyncio.timeout(timeout_s):
                reply = await waiting
        except TimeoutError as error:
            raise TroutstandError(ResultCode.LINK_TIMEOUT, self.peer) from error
        finally:
            self._asks.pop(sequence, None)
        return reply
