"""Receive requests from clients that may send too much, stop short, or not read.

What a connection holds is counted before it is parsed, so that its cost is known while it
is still bytes. One request of a connection is parsed at a time.
"""

from __future__ import annotations

import asyncio
import json
import re
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp import web

from troutstand.core.clientmemory import (
    CHUNKED_BYTES,
    HEADER_BYTES,
    Client,
    Phase,
    estimate_head_bytes,
)
from troutstand.core.codes import ResultCode, Run, describe_code
from troutstand.core.errors import TroutstandError
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.streams import StreamReader

    from troutstand.util.clientguard import ClientGuard, ClientLimits

MAX_HEADER_BYTES = 64 << 10
_HEAD_END = re.compile(rb"\n\r?\n")
# The longest end of a head less one byte: a search must go back by this much.
_HEAD_END_OVERLAP = 3
_MESSAGE_END = b"\r\n\r\n"
# The end of a body in chunks without trailers.
_LAST_CHUNK = b"0\r\n\r\n"
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
# Empty lines are skipped before a request up to this size.
_MAX_EMPTY_BYTES = 4 << 10
# A parser keeps the headers of the last request, so that a connection with more is closed.
_MAX_KEPT_HEADERS = 256
# Bytes that one call of the transport reads.
READ_BYTES = 32 << 10
# Bytes of a chunked body that are parsed before its reader may take them.
_SLICE_BYTES = 8 << 10
# What is still read from a client whose head was refused.
_MAX_DROPPED_BYTES = 4 << 20
_DROP_S = 1.0
_RETRY_AFTER_S = 0.5


class GuardedConnection(web.RequestHandler):
    """Parse one request at a time, once the memory for it is counted."""

    # Set by the server after the connection is created.
    guard: ClientGuard
    client: Client
    is_handling = False
    # Whether the body of the request in progress is refused.
    _is_body_refused = False
    # Why, until the handler of the request takes it. An error keeps the frames that raised it.
    _refusal: TroutstandError | None = None
    # Called when the body of the request in progress is refused.
    on_body_refused: Callable[[], None] | None = None
    # Received bytes that are not parsed yet.
    _unparsed: bytearray
    # How many of them are counted.
    _unparsed_bytes = 0
    # How many of them hold no end of a head; 0 before a head begins.
    _searched_bytes = 0
    # Empty lines that came before a head.
    _empty_bytes = 0
    # The body that is being received.
    _payload: StreamReader | None = None
    # Bytes that are left of a body with a length; None for a body in chunks.
    _body_left: int | None = 0
    # The end of what was parsed of a body in chunks.
    _tail = b""
    # Bytes of a body in chunks that were parsed since the last byte of its content.
    _framing_bytes = 0
    # What is counted for the framing of a body in chunks, and for the last head.
    _chunked_bytes = 0
    _head_bytes = 0
    _awaits_turn = False
    # What the client had not read when that was last checked, and what of it is counted.
    _unread_bytes = 0
    _sending_bytes = 0
    # Whether the connection closes after the response in progress.
    _must_close = False
    # Whether the rest of a request is read and dropped, since it has been answered.
    _is_lingering = False
    # What came after the head was refused; None before.
    _dropped_bytes: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count a new connection, or close it if there is no room for it."""
        self._unparsed = bytearray()
        super().connection_made(transport)
        # Less than the default, so that many connections hold little that is not parsed.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self.client = Client(self._evict)
        if not self.guard.add(self, self.client):
            detail = f"got a connection beside {len(self.guard.memory)} others, none can be closed"
            self.guard.on_refused(TroutstandError(ResultCode.CONNECTIONS_FULL, detail))
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection held."""
        super().connection_lost(exc)
        self._unparsed.clear()
        self._payload = None
        # A handler is cancelled, and what it holds is released at its end.
        if not self.is_handling:
            self.guard.remove(self.client)

    # Receiving

    def data_received(self, data: bytes) -> None:
        """Count the data, and parse what may be parsed."""
        if self._dropped_bytes is not None:
            self._drop(data)
        elif not data:
            # The reader of a body has made room.
            super().data_received(b"")
            self._finish_body_if_whole()
            self._parse()
        elif not (self._close or self._force_close):
            self._unparsed += data
            self._parse()

    def _drop(self, data: bytes) -> None:
        assert self._dropped_bytes is not None
        self._dropped_bytes += len(data)
        if self._dropped_bytes > _MAX_DROPPED_BYTES:
            self.force_close()

    @property
    def _is_receiving_body(self) -> bool:
        return self._payload is not None

    def _parse(self) -> None:
        """Parse received bytes until more are needed, or until others have their turn."""
        while self._unparsed and not self._awaits_turn and self._dropped_bytes is None:
            if self._force_close or self._close:
                self._unparsed.clear()
            elif self._is_receiving_body:
                if self._reading_paused or not self._parse_body(has_turn=False):
                    break
            elif self.is_handling or self._messages or not self._parse_head(has_turn=False):
                break
        self._limit_reading()

    def _limit_reading(self) -> None:
        """Count what is not parsed, and stop reading while that is much."""
        if len(self._unparsed) != self._unparsed_bytes:
            memory = self.guard.memory
            memory.release(self.client, self._unparsed_bytes)
            self._unparsed_bytes = len(self._unparsed)
            memory.hold_unconditionally(self.client, self._unparsed_bytes)
        if self._must_wait:
            self._pause_transport_reading()
        elif not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    @property
    def _must_wait(self) -> bool:
        """Return whether what was received must be parsed before more is read."""
        return len(self._unparsed) > MAX_HEADER_BYTES or (
            self._awaits_turn and bool(self._unparsed)
        )

    def _resume_transport_reading(self) -> None:
        if not self._must_wait:
            super()._resume_transport_reading()

    def _take_turn(self, lines: int, has_turn: bool) -> bool:
        """Return whether lines may be parsed now; wait for a turn otherwise."""
        turns = self.guard.turns
        if has_turn or turns.take(lines):
            return True
        self._awaits_turn = True
        turns.wait(lines, self._use_turn)
        return False

    def _use_turn(self) -> None:
        self._awaits_turn = False
        if self._unparsed and self.transport is not None and self._dropped_bytes is None:
            if self._is_receiving_body:
                if not self._reading_paused:
                    self._parse_body(has_turn=True)
            elif not (self.is_handling or self._messages):
                self._parse_head(has_turn=True)
        self._parse()

    def _set_phase(self, phase: Phase) -> None:
        self.guard.memory.set_phase(self.client, phase, read_clock_s())

    def _find_phase(self) -> Phase:
        """Return what the connection waits for, unless its client must read first."""
        if self._is_receiving_body or self._searched_bytes:
            return Phase.RECEIVING
        if self.is_handling or self._messages:
            return Phase.WORKING
        return Phase.IDLE

    # Heads

    def _skip_empty_lines(self) -> None:
        content = self._unparsed.lstrip(b"\r\n")
        self._empty_bytes += len(self._unparsed) - len(content)
        self._unparsed = content

    def _parse_head(self, has_turn: bool) -> bool:
        """Parse the next head if it is whole; return whether it was parsed."""
        if not self._searched_bytes:
            self._skip_empty_lines()
            if self._empty_bytes > _MAX_EMPTY_BYTES:
                self._refuse_head(self._empty_bytes, "empty lines", _MAX_EMPTY_BYTES)
                return False
            if not self._unparsed:
                return False
            self._set_phase(Phase.RECEIVING)
        end = self._find_head_end()
        size = len(self._unparsed) if end is None else end
        if self._is_head_too_large(size):
            return False
        if end is None:
            return False
        lines = self._unparsed.count(b"\n", 0, end)
        if not self._take_turn(lines, has_turn) or not self._hold_head(end, lines):
            return False
        self._feed_head(end, lines)
        return True

    def _is_head_too_large(self, size: int) -> bool:
        """Refuse a head that exceeds its bounds; return whether it does."""
        if size > MAX_HEADER_BYTES:
            self._refuse_head(size, "a request head", MAX_HEADER_BYTES)
            return True
        line_bytes = self._unparsed.find(b"\n", 0, size) + 1
        header_bytes, limit = size - line_bytes, self.guard.get_limits().header_bytes
        if line_bytes and header_bytes > limit:
            self._refuse_head(header_bytes, "request headers", limit)
            return True
        return False

    def _find_head_end(self) -> int | None:
        """Return the size of the next head, None before it is whole."""
        line_end = self._unparsed.find(b"\n")
        if line_end >= 0 and not self._unparsed[:line_end].rstrip().endswith(_VERSIONS):
            # The parser says what is wrong with it.
            return min(len(self._unparsed), MAX_HEADER_BYTES)
        start = max(0, self._searched_bytes - _HEAD_END_OVERLAP)
        match = _HEAD_END.search(self._unparsed, start)
        if match is None:
            self._searched_bytes = len(self._unparsed)
            return None
        # The same end is found again after a wait for a turn.
        self._searched_bytes = max(1, match.start())
        return match.end()

    def _hold_head(self, size: int, lines: int) -> bool:
        memory = self.guard.memory
        memory.release(self.client, self._head_bytes)
        self._head_bytes = 0
        count = estimate_head_bytes(size, lines)
        if memory.hold(self.client, count):
            self._head_bytes = count
            return True
        detail = (
            f"the request takes {count} bytes beside {memory.held_bytes} held bytes, "
            f"at most {memory.max_bytes} bytes together are accepted"
        )
        self._refuse(TroutstandError(ResultCode.MEMORY_FULL, detail, Run.NO, _RETRY_AFTER_S))
        return False

    def _feed_head(self, size: int, lines: int) -> None:
        head = bytes(self._unparsed[:size])
        del self._unparsed[:size]
        self._searched_bytes = self._empty_bytes = 0
        self._must_close = lines > _MAX_KEPT_HEADERS
        super().data_received(head)
        if not self._messages:
            detail = f"the head of {size} bytes is not a request"
            self._refuse(TroutstandError(ResultCode.HEAD_MALFORMED, detail, Run.NO))
            return
        message: Any = self._messages[-1][0]
        payload: Any = self._messages[-1][1]
        if payload.is_eof():
            self._set_phase(Phase.WORKING)
            return
        self._payload = payload
        self._tail, self._framing_bytes = b"", 0
        # A method without a body, such as CONNECT, may have no length.
        length = int(message.headers.get("Content-Length", 0))
        self._body_left = None if message.chunked else length
        if self._body_left is None:
            self._chunked_bytes = CHUNKED_BYTES
            self.guard.memory.hold_unconditionally(self.client, CHUNKED_BYTES)

    # Bodies

    def _parse_body(self, has_turn: bool) -> bool:
        """Parse a part of the body; return whether it was parsed."""
        size = len(self._unparsed)
        lines = 0
        if self._body_left is None:
            size = min(size, _SLICE_BYTES)
            lines = self._unparsed.count(b"\n", 0, size)
        else:
            size = min(size, self._body_left)
            self._body_left -= size
        if not size or not self._take_turn(lines, has_turn):
            return False
        payload = self._payload
        assert payload is not None
        received_bytes = payload.total_bytes
        data = bytes(self._unparsed[:size])
        if self._body_left is None:
            data = data[: self._feed_chunks(payload, data)]
        else:
            super().data_received(data)
        del self._unparsed[: len(data)]
        self._count_body(payload.total_bytes - received_bytes, len(data), lines)
        self._tail = (self._tail + data)[-len(_MESSAGE_END) :]
        self._finish_body_if_whole()
        return True

    def _feed_chunks(self, payload: StreamReader, data: bytes) -> int:
        """Parse a part of a body in chunks, at most up to its end; return the bytes parsed."""
        parsed = 0
        while parsed < len(data) and not payload.is_eof() and not self._reading_paused:
            # What looks like the end of the body may be a part of its content.
            end = data.find(_LAST_CHUNK, parsed)
            piece_end = len(data) if end < 0 else end + len(_LAST_CHUNK)
            super().data_received(data[parsed:piece_end])
            parsed = piece_end
        return parsed

    def _count_body(self, content_bytes: int, size: int, lines: int) -> None:
        if self._is_body_refused:
            return
        memory = self.guard.memory
        self._framing_bytes = 0 if content_bytes else self._framing_bytes + size
        if not content_bytes:
            self._hold_trailers(lines)
        if self._framing_bytes > MAX_HEADER_BYTES:
            self._must_close = True
            detail = (
                f"got {self._framing_bytes} bytes of trailers or chunk extensions, "
                f"at most {MAX_HEADER_BYTES} bytes are accepted"
            )
            self._refuse_body(TroutstandError(ResultCode.HEAD_TOO_LARGE, detail, Run.NO))
        elif content_bytes and not memory.hold_body(self.client, content_bytes):
            self._refuse_body(self._make_bodies_full(content_bytes))

    def _hold_trailers(self, lines: int) -> None:
        """Count lines that may be trailers, which the parser keeps like headers."""
        count = HEADER_BYTES * lines
        if self.guard.memory.hold(self.client, count):
            self._chunked_bytes += count
            return
        self._must_close = True
        detail = (
            f"the trailers take {self._chunked_bytes + count} bytes beside "
            f"{self.guard.memory.held_bytes} held bytes, "
            f"at most {self.guard.memory.max_bytes} bytes together are accepted"
        )
        error = TroutstandError(ResultCode.MEMORY_FULL, detail, Run.NO, _RETRY_AFTER_S)
        self._refuse_body(error)

    def _make_bodies_full(self, count: int) -> TroutstandError:
        memory = self.guard.memory
        detail = (
            f"got {count} bytes of a request body beside {memory.body_bytes} bytes of bodies and "
            f"{memory.held_bytes} held bytes, at most {memory.max_body_bytes} and "
            f"{memory.max_bytes} bytes together are accepted"
        )
        return TroutstandError(ResultCode.BODIES_FULL, detail, Run.NO, _RETRY_AFTER_S)

    def check_body_length(self, length: int) -> None:
        """Raise if a body of this length does not fit.

        Raises
        ------
        TroutstandError
            BODIES_FULL
        """
        if not self.guard.memory.could_hold_body(length):
            raise self._make_bodies_full(length)

    def stop_reading(self) -> None:
        """Close the connection after the response, without the rest of the body."""
        self._must_close = True

    def raise_refusal(self) -> None:
        """Raise why the body is refused, if it is and that has not been raised yet.

        Raises
        ------
        TroutstandError
        """
        if self._refusal is None:
            return
        # A local variable would form a cycle with the frames, which hold the body.
        try:
            raise self._refusal from None
        finally:
            self._refusal = None

    def _refuse_body(self, error: TroutstandError) -> None:
        """Let the handler of the request refuse it."""
        self._is_body_refused, self._refusal = True, error
        if self.on_body_refused is not None:
            self.on_body_refused()

    def _finish_body_if_whole(self) -> None:
        payload = self._payload
        if payload is None or not payload.is_eof():
            return
        self._payload = None
        if self._framing_bytes <= _SLICE_BYTES:
            self._release_chunked()
        else:
            # The parser keeps the trailers until the next request.
            self._must_close = True
        if self._is_lingering:
            self._is_lingering = self._is_body_refused = False
        if self._body_left is None and self._tail != _MESSAGE_END:
            # The parser has a part of the next request, which was not counted.
            self._close = True
        self._set_phase(self._find_phase())

    def _release_chunked(self) -> None:
        self.guard.memory.release(self.client, self._chunked_bytes)
        self._chunked_bytes = 0

    # Requests

    async def _handle_request(
        self, request: web.BaseRequest, start_time: float | None, request_handler: Any
    ) -> tuple[web.StreamResponse, bool]:
        self.is_handling = True
        if not self._is_receiving_body and self.client.phase is not Phase.SENDING:
            self._set_phase(Phase.WORKING)
        try:
            return await super()._handle_request(request, start_time, request_handler)
        except asyncio.CancelledError:
            # Raised below without the frames of the handler, which hold bodies; the server's
            # task and its error form a cycle.
            pass
        finally:
            self._end_request()
        raise asyncio.CancelledError

    def _end_request(self) -> None:
        self.is_handling = False
        memory, client = self.guard.memory, self.client
        memory.release_body(client)
        memory.release_responses(client)
        self._release_chunked()
        if self.transport is None:
            self.guard.remove(client)
            return
        if self._must_close or client.is_evicted:
            # Neither the rest of a body nor another request is read.
            self._lingering_time = 0.0
            self._close = True
        self._refusal = None
        self._is_lingering = self._is_body_refused = self._payload is not None
        if not self._is_lingering:
            if client.phase is not Phase.SENDING:
                self._set_phase(self._find_phase())
            if self._unparsed:
                self._loop.call_soon(self._parse)

    # Sending

    def pause_writing(self) -> None:
        """Count what the client has not read yet."""
        super().pause_writing()
        if self.transport is None:
            return
        self._set_phase(Phase.SENDING)
        self._count_unread()

    def _count_unread(self) -> None:
        """Count the unread bytes that are not counted as the body of a response."""
        assert self.transport is not None
        memory, client = self.guard.memory, self.client
        memory.release(client, self._sending_bytes)
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._sending_bytes = max(0, self._unread_bytes - client.response_bytes)
        memory.hold_unconditionally(client, self._sending_bytes)

    def resume_writing(self) -> None:
        """Release what the client has read."""
        super().resume_writing()
        self.guard.memory.release(self.client, self._sending_bytes)
        self._sending_bytes = 0
        self._set_phase(self._find_phase())

    # Refusals

    def check_timeouts(self, client: Client, limits: ClientLimits, now_s: float) -> None:
        """Close the connection if its client takes too long."""
        passed_s = now_s - client.since_s
        match client.phase:
            case Phase.OPENED | Phase.IDLE if passed_s > limits.idle_s and not self.is_handling:
                self.force_close()
            case Phase.RECEIVING if self._is_receiving_body:
                if limits.body_s is not None and passed_s > limits.body_s:
                    self._refuse_body(self._make_timeout(passed_s))
            case Phase.RECEIVING if passed_s > limits.head_s and not self._awaits_turn:
                self._refuse(self._make_timeout(passed_s))
            case Phase.SENDING if self.transport is not None:
                self._check_sending(limits, passed_s)

    def _make_timeout(self, passed_s: float) -> TroutstandError:
        detail = f"the request was not received whole in {passed_s:.1f} s"
        return TroutstandError(ResultCode.REQUEST_TIMEOUT, detail, Run.NO)

    def _check_sending(self, limits: ClientLimits, passed_s: float) -> None:
        assert self.transport is not None
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes != self._unread_bytes:
            self._count_unread()
            self.client.since_s = read_clock_s()
        elif passed_s > limits.idle_s:
            self._close_connection(f"nothing of the response was read for {passed_s:.1f} s")

    def _close_connection(self, detail: str) -> None:
        self.guard.on_refused(TroutstandError(ResultCode.CLIENT_STALLED, detail))
        self._abort()

    def _abort(self) -> None:
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    def _evict(self) -> None:
        """Refuse the request that is being received, or close the connection."""
        detail = (
            "the client stalls, and others need what it holds; "
            f"its connection waits for {self.client.phase.value}"
        )
        error = TroutstandError(ResultCode.CLIENT_STALLED, detail, Run.NO, _RETRY_AFTER_S)
        if self._is_lingering or self.client.phase is not Phase.RECEIVING:
            self._close_connection(detail)
        elif self._is_receiving_body:
            self._refuse_body(error)
        else:
            self._refuse(error)

    def _refuse_head(self, size: int, what: str, limit: int) -> None:
        detail = f"got {size} bytes of {what}, at most {limit} bytes are accepted"
        self._refuse(TroutstandError(ResultCode.HEAD_TOO_LARGE, detail, Run.NO))

    def _refuse(self, error: TroutstandError) -> None:
        """Answer a request that is not parsed, and close the connection."""
        self.guard.on_refused(error)
        self._dropped_bytes = 0
        self._unparsed.clear()
        if self.transport is None:
            return
        assert isinstance(self.transport, asyncio.Transport)
        self.transport.write(encode_refusal(error))
        # A connection that is closed while bytes come is reset, and the response may be lost.
        self.transport.write_eof()
        asyncio.get_running_loop().call_later(_DROP_S, self.force_close)


def encode_refusal(error: TroutstandError) -> bytes:
    """Return the response that refuses a request without a handler."""
    status = HTTPStatus(describe_code(error.code).http_status)
    told = {"code": int(error.code), "error": error.detail, "run": error.run.value}
    body = json.dumps(told).encode()
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if error.retry_after_s is not None:
        lines.append(f"Retry-After: {error.retry_after_s:.3f}")
    return "\r\n".join([*lines, "", ""]).encode() + body
