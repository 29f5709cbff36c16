"""Connect the processes of a site by authenticated WebSocket links that carry CBOR messages."""

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
from troutstand.daemon.pendingpeers import PendingPeers
from troutstand.generated.messages import PeerMessage, Refused
from troutstand.util.listening import ACCEPTED_AT_ONCE, lengthen_backlog, open_listener

if TYPE_CHECKING:
    from troutstand.generated.settings import Address, Limits
    from troutstand.util.events import EventBus

Handler = Callable[[ProcessId, PeerMessage], "PeerMessage | Awaitable[PeerMessage | None] | None"]

_NONCE_BYTES = 16
_MAX_HANDSHAKE_BYTES = 1024
# What a peer may send before it is authenticated: the opening of the connection, a greeting.
_MAX_UNAUTHENTICATED_BYTES = 16 << 10
_INITIAL_BACKOFF_S = 0.05
# A lost link is reopened at once: if the peer's process has ended, the connection is refused.
_REOPEN_DELAY_S = 0.01
_MAX_BACKOFF_S = 1.0
# Sequence number of a message that expects no reply.
_ONE_WAY_SEQUENCE = 0
# What a refusal may hold.
_MAX_DETAIL_CHARACTERS = 1024
# How long a stopping process waits for its peers to close their links.
_STOP_TIMEOUT_S = 0.5
# Limit of unsent replies on a connection whose peer reads slowly.
_MAX_QUEUED_REPLIES = 20_000


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """Identify a process and prove that it holds the site's key."""

    site: str
    process: str
    nonce: bytes
    proof: bytes


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Wrap a message with a clock stamp, its sequence number and that of the message answered."""

    stamp: int
    sequence: int
    reply_to: int
    message: PeerMessage


@dataclass
class _Replies:
    """Hold the replies of one connection that are not sent, and those that are not ready."""

    queue: asyncio.Queue[bytes] = field(default_factory=lambda: asyncio.Queue(_MAX_QUEUED_REPLIES))
    awaited: set[asyncio.Future[PeerMessage | None]] = field(default_factory=set)

    def cancel(self) -> None:
        """Cancel the futures of the replies that are not ready."""
        for future in list(self.awaited):
            future.cancel()


@dataclass(frozen=True)
class Identity:
    """Identify a process of a site and hold the site's key."""

    site: str
    process: ProcessId
    key: bytes

    def compute_proof(self, process: str, challenge: bytes, nonce: bytes) -> bytes:
        """Return the HMAC by which a process proves that it holds the site's key."""
        payload = b"|".join([self.site.encode(), process.encode(), challenge, nonce])
        return hmac.digest(self.key, payload, "sha256")


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def decode_frame(data: bytes | str) -> Frame:
    """Decode a frame.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED if the bytes are not a valid frame.
    """
    try:
        decoded = cbor2.loads(data if isinstance(data, bytes) else data.encode())
    except Exception as error:
        # cbor2 raises various exception types for malformed input.
        raise TroutstandError(ResultCode.LINK_MALFORMED, str(error)) from error
    return convert_record(decoded, Frame)


class _LinkConnection(ServerConnection):
    """Bound what a peer sends until it is authenticated."""

    # Shared by the connections of a server, which makes a subclass of its own.
    pending: PendingPeers
    _unauthenticated_bytes = 0
    _is_authenticated = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        oldest = self.pending.add(self.transport)
        if oldest is not None:
            oldest.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.pending.discard(self.transport)

    def data_received(self, data: bytes) -> None:
        if not self._is_authenticated:
            self._unauthenticated_bytes += len(data)
            if self._unauthenticated_bytes > _MAX_UNAUTHENTICATED_BYTES:
                self.transport.abort()
                return
        super().data_received(data)

    def record_authenticated(self) -> None:
        """Record that the peer is authenticated."""
        self._is_authenticated = True
        self.pending.discard(self.transport)


class LinkServer:
    """Accept links from peers and reply to their messages.

    Parameters
    ----------
    peers
        The processes that may connect; None accepts every process with the site's key.
    handler
        Returns the reply, if there is one, or an awaitable of it. A future is cancelled if its
        connection closes, since nobody gets its result; a coroutine runs to its end.
    """

    def __init__(
        self,
        identity: Identity,
        peers: frozenset[ProcessId] | None,
        limits: Limits,
        events: EventBus,
        handler: Handler,
        pending: PendingPeers | None = None,
    ) -> None:
        self._pending = pending or PendingPeers()
        self._identity = identity
        self._peers = peers
        self._limits = limits
        self._events = events
        self._handler = handler
        self._server: Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        # The open links, with the name of the peer once it is known.
        self._connections: dict[ServerConnection, str] = {}

    async def start(self, address: Address) -> None:
        """Open the listening socket.

        Raises
        ------
        OSError
        """

        class Connection(_LinkConnection):
            pending = self._pending

        listener = open_listener(address)
        self._server = await serve(
            self._handle_connection,
            sock=listener,
            backlog=ACCEPTED_AT_ONCE,
            create_connection=Connection,
            max_size=self._limits.message_bytes,
            compression=None,
            ping_interval=None,
            open_timeout=self._limits.lease_s,
            close_timeout=self._limits.lease_s,
        )
        lengthen_backlog(listener)

    async def stop(self) -> None:
        """Close the listening socket and every link; abort those that peers do not close."""
        if self._server is None:
            return
        self._server.close()
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self._server.wait_closed()
        except TimeoutError:
            self._abort_links()
            await self._server.wait_closed()

    def _abort_links(self) -> None:
        """Abort the links that are open; the data of a peer that does not read is dropped."""
        for connection, peer in self._connections.items():
            self._events.emit("link_aborted", code=ResultCode.LINK_TIMEOUT, peer=peer)
            connection.transport.abort()

    async def _handle_connection(self, connection: ServerConnection) -> None:
        self._connections[connection] = ""
        try:
            await self._serve_link(connection)
        finally:
            del self._connections[connection]

    async def _serve_link(self, connection: ServerConnection) -> None:
        try:
            peer = await asyncio.wait_for(self._authenticate(connection), self._limits.lease_s)
        except (TroutstandError, TimeoutError, websockets.ConnectionClosed) as error:
            detail = str(error) or type(error).__name__
            self._events.emit("link_refused", code=ResultCode.LINK_REFUSED, detail=detail)
            await connection.close(code=1008, reason=str(ResultCode.LINK_REFUSED.value))
            return
        self._connections[connection] = peer
        self._events.emit("link_accepted", peer=peer)
        replies = _Replies()
        writer = asyncio.create_task(_send_queued(connection, replies.queue))
        try:
            await self._read_frames(connection, peer, replies)
        except websockets.ConnectionClosed:
            # Logged as link_lost below.
            pass
        finally:
            writer.cancel()
            replies.cancel()
            self._events.emit("link_lost", peer=peer)

    async def _authenticate(self, connection: ServerConnection) -> ProcessId:
        challenge = secrets.token_bytes(_NONCE_BYTES)
        await connection.send(challenge)
        data = await connection.recv()
        if not isinstance(data, bytes) or len(data) > _MAX_HANDSHAKE_BYTES:
            raise TroutstandError(ResultCode.LINK_REFUSED, "the greeting is malformed")
        try:
            greeting = convert_record(cbor2.loads(data), Greeting)
        except Exception as error:
            raise TroutstandError(ResultCode.LINK_REFUSED, "the greeting is malformed") from error
        proof = self._identity.compute_proof(greeting.process, challenge, greeting.nonce)
        if not hmac.compare_digest(proof, greeting.proof) or greeting.site != self._identity.site:
            raise TroutstandError(
                ResultCode.LINK_REFUSED, f"invalid key or site from {greeting.process!r}"
            )
        # Without a list of peers, the site's key is sufficient.
        if self._peers is not None and greeting.process not in self._peers:
            raise TroutstandError(ResultCode.LINK_REFUSED, f"unknown process {greeting.process!r}")
        assert isinstance(connection, _LinkConnection)
        connection.record_authenticated()
        own = self._identity.process
        await connection.send(self._identity.compute_proof(own, greeting.nonce, challenge))
        return ProcessId(greeting.process)

    async def _read_frames(
        self, connection: ServerConnection, peer: ProcessId, replies: _Replies
    ) -> None:
        async for data in connection:
            try:
                frame = decode_frame(data)
            except TroutstandError as error:
                self._events.emit("link_malformed", code=error.code, peer=peer)
                await connection.close(code=1007, reason=str(error.code.value))
                return
            self._events.clock.receive(frame.stamp)
            self._handle_frame(peer, frame, replies)

    def _handle_frame(self, peer: ProcessId, frame: Frame, replies: _Replies) -> None:
        try:
            result = self._handler(peer, frame.message)
        except Exception as error:
            result = self._refuse_failed(peer, frame, error)
        if isinstance(result, asyncio.Future):
            replies.awaited.add(result)
            result.add_done_callback(replies.awaited.discard)
        if isinstance(result, Awaitable):
            task = asyncio.create_task(self._reply_when_ready(peer, result, frame, replies))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif result is not None and frame.sequence != _ONE_WAY_SEQUENCE:
            self._queue_reply(result, frame, replies)

    async def _reply_when_ready(
        self,
        peer: ProcessId,
        result: Awaitable[PeerMessage | None],
        frame: Frame,
        replies: _Replies,
    ) -> None:
        try:
            reply = await result
        except Exception as error:
            reply = self._refuse_failed(peer, frame, error)
        if reply is not None and frame.sequence != _ONE_WAY_SEQUENCE:
            self._queue_reply(reply, frame, replies)

    def _refuse_failed(self, peer: ProcessId, frame: Frame, error: Exception) -> Refused:
        """Return the error of a message's handler as the reply to its sender."""
        if isinstance(error, TroutstandError):
            return Refused(int(error.code), error.detail[:_MAX_DETAIL_CHARACTERS])
        # One message must not close the link, on which others wait for their replies.
        detail = f"{type(frame.message).__name__}: {error!r}"
        self._events.emit("message_failed", code=ResultCode.INTERNAL, peer=peer, detail=detail)
        return Refused(int(ResultCode.INTERNAL), f"{type(frame.message).__name__} failed")

    def _queue_reply(self, reply: PeerMessage, frame: Frame, replies: _Replies) -> None:
        stamp = self._events.clock.tick().pack()
        data = encode_frame(Frame(stamp, _ONE_WAY_SEQUENCE, frame.sequence, reply))
        try:
            replies.queue.put_nowait(data)
        except asyncio.QueueFull:
            self._events.emit("link_queue_full", code=ResultCode.LINK_QUEUE_FULL)


async def _send_queued(
    connection: ServerConnection | ClientConnection, queue: asyncio.Queue[bytes]
) -> None:
    # The task that reads the connection reports its close.
    with contextlib.suppress(websockets.ConnectionClosed):
        while True:
            await connection.send(await queue.get())


async def handle_locally(handler: Handler, process: ProcessId, message: PeerMessage) -> PeerMessage:
    """Handle a message of this process to itself and return the reply.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED if the handler returns no reply.
    """
    result = handler(process, message)
    if isinstance(result, Awaitable):
        result = await result
    if result is None:
        raise TroutstandError(ResultCode.LINK_MALFORMED, "the local handler returned no reply")
    return result


def _format_uri(address: Address) -> str:
    """Return the URI of a link, with an IPv6 address in brackets."""
    ip = f"[{address.ip}]" if ":" in address.ip else address.ip
    return f"ws://{ip}:{address.port}/"


@dataclass
class Traffic:
    """Count the messages and bytes that a process sends to its peers."""

    messages: int = 0
    bytes: int = 0


@dataclass
class Link:
    """Keep an outgoing link to a peer open and send messages over it.

    Parameters
    ----------
    bind_ip
        The local address to connect from; empty for any.
    ping_interval_s
        The interval between keepalive pings; None for the lease duration.
    on_refused
        Called with the peer at the first refused connection.
    on_unawaited
        Called with the peer and each reply that nobody waits for any more.

    `is_refused` is set while the peer's address refuses connections, which means that
    its process has ended. Timeouts and other failures do not set it.
    """

    identity: Identity
    peer: ProcessId
    address: Address
    limits: Limits
    events: EventBus
    traffic: Traffic
    is_up: bool = False
    is_refused: bool = False
    # How often the link was opened.
    openings: int = 0
    bind_ip: str = ""
    ping_interval_s: float | None = None
    on_refused: Callable[[ProcessId], None] | None = None
    on_unawaited: Callable[[ProcessId, PeerMessage], None] | None = None
    _last_sequence: int = 0
    _pending_replies: dict[int, asyncio.Future[PeerMessage]] = field(default_factory=dict)
    _send_queue: asyncio.Queue[bytes] = field(init=False)
    _up_event: asyncio.Event = field(default_factory=asyncio.Event)
    _was_opened: bool = False
    _is_full_logged: bool = False

    def __post_init__(self) -> None:
        self._send_queue = asyncio.Queue(self.limits.link_queue_messages)

    async def wait_until_up(self) -> None:
        """Wait until the link is open."""
        await self._up_event.wait()

    async def run(self) -> None:
        """Connect, and reconnect with backoff after each failure, until cancelled."""
        backoff_s = _INITIAL_BACKOFF_S
        while True:
            self._was_opened = False
            try:
                await self._run_connection()
            except ConnectionRefusedError:
                self._handle_refused()
            except Exception as error:
                # Every failure leads to a reconnect. The library's close raises
                # AttributeError if the socket is lost during a write.
                self.is_refused = False
                self.events.emit("link_failed", peer=self.peer, detail=type(error).__name__)
            self._fail_pending_replies()
            if self._was_opened:
                backoff_s = _INITIAL_BACKOFF_S
                await asyncio.sleep(_REOPEN_DELAY_S)
                continue
            await asyncio.sleep(backoff_s)
            backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)

    def _handle_refused(self) -> None:
        was_refused, self.is_refused = self.is_refused, True
        if was_refused:
            return
        self.events.emit("link_unopened", peer=self.peer, detail="connection refused")
        if self.on_refused is not None:
            self.on_refused(self.peer)

    async def _run_connection(self) -> None:
        async with connect(
            _format_uri(self.address),
            max_size=self.limits.message_bytes,
            compression=None,
            open_timeout=self.limits.lease_s,
            ping_interval=self.ping_interval_s or self.limits.lease_s,
            ping_timeout=self.limits.lease_s,
            close_timeout=self.limits.lease_s,
            proxy=None,
            local_addr=(self.bind_ip, 0) if self.bind_ip else None,
        ) as connection:
            await asyncio.wait_for(self._authenticate(connection), self.limits.lease_s)
            self.is_up, self.is_refused, self._was_opened = True, False, True
            self.openings += 1
            self._up_event.set()
            self._send_queue = asyncio.Queue(self.limits.link_queue_messages)
            writer = asyncio.create_task(_send_queued(connection, self._send_queue))
            self.events.emit("link_up", peer=self.peer)
            try:
                await self._read_frames(connection)
            finally:
                self.is_up = False
                self._up_event.clear()
                writer.cancel()
                self.events.emit("link_down", peer=self.peer)

    async def _authenticate(self, connection: ClientConnection) -> None:
        challenge = await connection.recv()
        if not isinstance(challenge, bytes):
            raise TroutstandError(ResultCode.LINK_REFUSED, "the challenge is malformed")
        nonce = secrets.token_bytes(_NONCE_BYTES)
        own = self.identity.process
        proof = self.identity.compute_proof(own, challenge, nonce)
        greeting = Greeting(self.identity.site, own, nonce, proof)
        await connection.send(cbor2.dumps(msgspec.to_builtins(greeting, builtin_types=(bytes,))))
        peer_proof = await connection.recv()
        expected_proof = self.identity.compute_proof(self.peer, nonce, challenge)
        if not isinstance(peer_proof, bytes) or not hmac.compare_digest(peer_proof, expected_proof):
            raise TroutstandError(ResultCode.LINK_REFUSED, f"{self.peer} sent an invalid proof")

    async def _read_frames(self, connection: ClientConnection) -> None:
        async for data in connection:
            frame = decode_frame(data)
            self.events.clock.receive(frame.stamp)
            future = self._pending_replies.pop(frame.reply_to, None)
            if future and not future.done():
                future.set_result(frame.message)
            elif self.on_unawaited is not None:
                self.on_unawaited(self.peer, frame.message)

    def _fail_pending_replies(self) -> None:
        pending, self._pending_replies = self._pending_replies, {}
        for future in pending.values():
            if not future.done():
                future.set_exception(TroutstandError(ResultCode.LINK_CLOSED, self.peer))
                future.exception()  # marks the exception as retrieved

    def _enqueue(self, sequence: int, message: PeerMessage) -> None:
        if not self.is_up:
            raise TroutstandError(ResultCode.LINK_CLOSED, self.peer)
        stamp = self.events.clock.tick().pack()
        data = encode_frame(Frame(stamp, sequence, 0, message))
        if self._send_queue.empty():
            self._is_full_logged = False
        try:
            self._send_queue.put_nowait(data)
        except asyncio.QueueFull as error:
            self._log_queue_full()
            raise TroutstandError(ResultCode.LINK_QUEUE_FULL, self.peer) from error
        self.traffic.messages += 1
        self.traffic.bytes += len(data)

    def _log_queue_full(self) -> None:
        """Log that the queue is full, once until it is empty again."""
        if not self._is_full_logged:
            self._is_full_logged = True
            self.events.emit("link_queue_full", code=ResultCode.LINK_QUEUE_FULL, peer=self.peer)

    def send(self, message: PeerMessage) -> bool:
        """Send a message that expects no reply; return whether it was queued."""
        try:
            self._enqueue(_ONE_WAY_SEQUENCE, message)
        except TroutstandError:
            # Logged before as link_down or link_queue_full.
            return False
        return True

    async def ask(self, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a message and return the reply, which may be a `Refused`.

        Raises
        ------
        TroutstandError
            LINK_CLOSED, LINK_TIMEOUT or LINK_QUEUE_FULL.
        """
        self._last_sequence += 1
        sequence = self._last_sequence
        self._enqueue(sequence, message)
        future: asyncio.Future[PeerMessage] = asyncio.get_running_loop().create_future()
        self._pending_replies[sequence] = future
        try:
            async with asyncio.timeout(timeout_s):
                reply = await future
        except TimeoutError as error:
            raise TroutstandError(ResultCode.LINK_TIMEOUT, self.peer) from error
        finally:
            self._pending_replies.pop(sequence, None)
        return reply
