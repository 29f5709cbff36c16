"""Exchange one HTTP request and answer with a target over kept connections.

The parser is a library's. The connection is our own, since the promise of
whole answers needs what client libraries hide: whether an answer without a
length ended or was reset, whether bytes came that no request waits for, and
whether a request was written at all before its connection failed.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httptools

from troutstand.routing.node import parse_address
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from troutstand.generated.settings import Address

Headers = list[tuple[str, str]]

_PAUSE_BYTES = 256 << 10
_DEFAULT_IDLE_S = 3.0
_IDLE_SHARE = 0.6
_MAX_HEAD_BYTES = 64 << 10
_FIRST_FINAL_STATUS = 200
# How long a look at a target's address may take, in seconds: a refusal takes one round
# trip, and a request that is sent again waits for it. 0.1 s is too short on a busy machine.
_LOOK_S = 0.3
_BODILESS = frozenset({204, 304})


class ExchangeError(Exception):
    """Report a connection that failed.

    Parameters
    ----------
    was_written
        Whether any byte of the request may have reached the target.
    was_stale
        Whether a kept connection failed before the first byte of an answer.
    is_refused
        Whether the address refused the connection, so that nothing listens there.
    """

    def __init__(
        self,
        detail: str,
        was_written: bool,
        was_stale: bool = False,
        is_refused: bool = False,
    ) -> None:
        super().__init__(detail)
        self.was_written = was_written
        self.was_stale = was_stale
        self.is_refused = is_refused


@dataclass
class ResponseHead:
    """Hold an answer's status and headers; names are in lower case."""

    status: int
    headers: Headers
    index: dict[str, str] = field(default_factory=dict)

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        return self.index.get(name)

    @property
    def has_body(self) -> bool:
        """Tell whether a body may follow."""
        return self.status not in _BODILESS


class TargetConnection(asyncio.Protocol):
    """Hold one connection to a target, which carries one request at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.uses = 0
        self.idle_since_s = 0.0
        self.idle_limit_s = _DEFAULT_IDLE_S
        self.is_closed = False
        self.has_bytes = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._wake = asyncio.Event()
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._headers: Headers = []
        self._head: ResponseHead | None = None
        self._chunks: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._is_whole = False
        self._is_framed = False
        self._is_informational = False
        self._error: str | None = None
        self._is_surplus = False
        self._expects = False
        self._is_bodiless = False
        self.has_bytes = False

    # asyncio's protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that no request waits for spoil the connection."""
        if not self._expects or self._is_whole:
            self._is_surplus = True
            self.abort()
            return
        self.has_bytes = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the answer asks for another protocol")
        except httptools.HttpParserError as error:
            if self._is_whole:
                # The answer is whole; what follows it only spoils the connection.
                self._is_surplus = True
            else:
                self._fail(f"not an answer: {error}")
        if self._waiting_bytes > _PAUSE_BYTES and self._transport:
            self._transport.pause_reading()
        self._wake.set()

    def eof_received(self) -> bool:
        """Take an orderly end, which completes an answer without a length."""
        if self._head is not None and not self._is_framed and not self._is_whole:
            self._is_whole = True
        self._wake.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what still waits."""
        self.is_closed = True
        if not self._is_whole:
            self._fail(f"connection lost: {exc or 'closed'}")
        self._wake.set()

    def _fail(self, detail: str) -> None:
        if self._error is None:
            self._error = detail
        self._wake.set()

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Note a second answer behind a whole one."""
        if self._is_whole:
            self._is_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self._is_whole:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Take the head of an answer; an informational one is passed over."""
        if self._is_whole:
            return
        status = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        self._is_informational = status < _FIRST_FINAL_STATUS
        if self._is_informational:
            return
        index: dict[str, str] = {}
        for name, value in headers:
            index.setdefault(name, value)
        self._head = ResponseHead(status, headers, index)
        is_chunked = "chunked" in index.get("transfer-encoding", "").lower()
        self._is_framed = "content-length" in index or is_chunked or status in _BODILESS
        self._learn_idle_limit(index.get("keep-alive", ""))
        if self._is_bodiless:
            self._is_whole = True
            self._is_surplus = True

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        if not self._is_whole:
            self._chunks.append(body)
            self._waiting_bytes += len(body)

    def on_message_complete(self) -> None:
        """Note the end of a framed answer."""
        if not self._is_informational:
            self._is_whole = True

    def _learn_idle_limit(self, keep_alive: str) -> None:
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self.idle_limit_s = int(value) * _IDLE_SHARE

    # One exchange

    def send(self, head: bytes, body: bytes, is_bodiless: bool) -> None:
        """Write a whole request.

        The body is always written to its end, also where the answer comes
        early: the target may go on reading it.
        """
        self._reset_answer()
        if self.uses:
            self._parser = httptools.HttpResponseParser(self)
        self.uses += 1
        self._expects = True
        self._is_bodiless = is_bodiless
        self._wake.clear()
        if self.is_closed or self._transport is None or self._transport.is_closing():
            raise ExchangeError("closed before the request", False, self.uses > 1)
        self._transport.write(head + body if len(body) < _PAUSE_BYTES else head)
        if len(body) >= _PAUSE_BYTES:
            self._transport.write(body)

    async def receive_head(self) -> ResponseHead:
        """Return the answer's head.

        Raises
        ------
        ExchangeError
        """
        while self._head is None:
            if self._error is not None:
                is_stale = self.uses > 1 and not self.has_bytes
                raise ExchangeError(self._error, True, is_stale)
            self._wake.clear()
            await self._wake.wait()
        return self._head

    async def receive_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes, all that is at hand at a time.

        Raises
        ------
        ExchangeError
            Where the answer broke off.
        """
        while True:
            if self._chunks:
                data = b"".join(self._chunks)
                self._chunks.clear()
                self._waiting_bytes = 0
                if self._transport and not self.is_closed:
                    self._transport.resume_reading()
                yield data
            elif self._is_whole:
                return
            elif self._error is not None:
                raise ExchangeError(self._error, True)
            else:
                self._wake.clear()
                await self._wake.wait()

    @property
    def is_framed(self) -> bool:
        """Tell whether the answer tells its own end, so that one cut short is noticed."""
        return self._is_framed

    def can_be_kept(self) -> bool:
        """Tell whether another request may follow on this connection."""
        if self.is_closed or self._is_surplus or not self._is_whole or not self._is_framed:
            return False
        if self._transport is None or self._transport.get_write_buffer_size():
            return False
        assert self._head is not None
        return "close" not in (self._head.get("connection") or "").lower()

    def rest(self) -> None:
        """Wait for the next request."""
        self._expects = False
        self.idle_since_s = read_clock_s()

    def abort(self) -> None:
        """Drop the connection at once, which cancels the request at the target."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()


@dataclass
class PoolCounts:
    """Count what connections cost."""

    opened: int = 0
    reused: int = 0


class ConnectionPool:
    """Keep idle connections to targets.

    Parameters
    ----------
    connect_s
        Seconds within which a new connection must come up.
    """

    def __init__(self, connect_s: float) -> None:
        self.counts = PoolCounts()
        self._connect_s = connect_s
        self._idle: dict[str, list[TargetConnection]] = {}
        self._looks: dict[str, asyncio.Task[bool]] = {}

    async def acquire(self, address: str, max_idle_s: float | None = None) -> TargetConnection:
        """Return a kept connection, or a new one.

        Parameters
        ----------
        max_idle_s
            Kept connections that rested for longer are not used; 0 forces a new one.

        Raises
        ------
        ExchangeError
            Where none comes up; nothing was written then.
        """
        idle = self._idle.get(address, [])
        now_s = read_clock_s()
        while idle:
            connection = idle.pop()
            rested_s = now_s - connection.idle_since_s
            if connection.is_closed or rested_s > connection.idle_limit_s:
                connection.abort()
                continue
            if max_idle_s is not None and rested_s > max_idle_s:
                idle.append(connection)
                break
            self.counts.reused += 1
            return connection
        return await self._connect(address)

    async def _connect(self, address: str) -> TargetConnection:
        place: Address = parse_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_s):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(address), place.ip, place.port
                )
        except (OSError, TimeoutError) as error:
            detail = f"no connection: {type(error).__name__}"
            is_refused = isinstance(error, ConnectionRefusedError)
            raise ExchangeError(detail, False, is_refused=is_refused) from error
        self.counts.opened += 1
        return connection

    async def refuses_connections(self, address: str) -> bool:
        """Tell whether a target's process has ended, by whether its address refuses connections.

        Those that ask at once share one connection.
        """
        look = self._looks.get(address)
        if look is None:
            look = asyncio.create_task(self._look(address))
            self._looks[address] = look
            look.add_done_callback(lambda _: self._looks.pop(address, None))
        return await asyncio.shield(look)

    async def _look(self, address: str) -> bool:
        try:
            async with asyncio.timeout(_LOOK_S):
                connection = await self._connect(address)
        except ExchangeError as error:
            return error.is_refused
        except TimeoutError:
            # Neither refused nor accepted in time: nothing is known.
            return False
        self._rest(connection)
        return False

    def release(self, connection: TargetConnection) -> None:
        """Keep a connection whose answer is whole, or drop it."""
        if not connection.can_be_kept():
            connection.abort()
            return
        self._rest(connection)

    def _rest(self, connection: TargetConnection) -> None:
        connection.rest()
        self._idle.setdefault(connection.address, []).append(connection)

    def prune(self) -> None:
        """Close connections that rested for too long."""
        now_s = read_clock_s()
        for address, idle in list(self._idle.items()):
            kept: list[TargetConnection] = []
            for connection in idle:
                if (
                    connection.is_closed
                    or now_s - connection.idle_since_s > connection.idle_limit_s
                ):
                    connection.abort()
                else:
                    kept.append(connection)
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()


def encode_request_head(method: str, path: str, headers: Headers) -> bytes:
    """Write a request's head."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")
