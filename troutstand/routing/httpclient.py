"""Send HTTP requests over connections to targets.

Client libraries hide what the detection of incomplete responses and safe retries need:
whether a response without a length ended or was reset, whether unexpected bytes arrived,
and whether a request was written before its connection failed.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httptools

from troutstand.routing.bodymemory import BodyTooLargeError
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.paths import HeardTimes
    from troutstand.routing.bodymemory import TrackedBody

Headers = list[tuple[str, str]]

_MAX_BUFFERED_BYTES = 256 << 10
_DEFAULT_IDLE_LIMIT_S = 3.0
_KEEP_ALIVE_SHARE = 0.6
# Bytes before the end of the head, and between two parts of the body.
_MAX_FRAMING_BYTES = 64 << 10
# Time from the first byte of a head after which further bytes must end it.
_MAX_HEAD_S = 10.0
_MIN_INTERIM_STATUS = 100
_MIN_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Where it stands within a line of a head, another response was cut in front of this one.
_STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}")


class ExchangeError(Exception):
    """Report a failed connection.

    Parameters
    ----------
    was_written
        Whether any byte of the request may have reached the target.
    was_stale
        Whether a reused connection failed before the first byte of a response.
    is_refused
        Whether the address refused the connection.
    is_timeout
        Whether no connection was open in time.
    """

    def __init__(
        self,
        detail: str,
        was_written: bool,
        was_stale: bool = False,
        is_refused: bool = False,
        is_timeout: bool = False,
    ) -> None:
        super().__init__(detail)
        self.was_written = was_written
        self.was_stale = was_stale
        self.is_refused = is_refused
        self.is_timeout = is_timeout


@dataclass
class ResponseHead:
    """Hold the status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers
    index: dict[str, str] = field(default_factory=dict)

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        return self.index.get(name)

    @property
    def has_body(self) -> bool:
        """Return whether a body may follow."""
        return self.status not in _STATUSES_WITHOUT_BODY


class TargetConnection(asyncio.Protocol):
    """Manage one connection to a target, with one request at a time.

    Parameters
    ----------
    heard
        Records when bytes came, by peer if the connection is open through one.
    """

    def __init__(self, address: str, heard: HeardTimes | None = None) -> None:
        self.address = address
        self._heard = heard
        # The peer gateway through which it is open; empty if it is direct.
        self.peer = ""
        self.request_count = 0
        self.opened_s = 0.0
        # Called if the other side closes the connection before any byte came.
        self.on_dropped: Callable[[TargetConnection], None] | None = None
        # Time of the latest bytes, on the steady clock.
        self.heard_s = float("-inf")
        self.idle_since_s = 0.0
        self.idle_limit_s = _DEFAULT_IDLE_LIMIT_S
        self.max_head_s = _MAX_HEAD_S
        self.is_closed = False
        self.has_response_bytes = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._state_changed = asyncio.Event()
        self._reset_response()

    def _reset_response(self) -> None:
        self._headers: Headers = []
        self._reason = b""
        self._head: ResponseHead | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        # Bytes since the request, or since the latest part of the body.
        self._framing_bytes = 0
        # When the head that is being received began, on the steady clock.
        self._head_began_s: float | None = None
        self._is_complete = False
        self._is_framed = False
        self._is_informational = False
        self._error: str | None = None
        self._must_close = False
        self._is_awaiting_response = False
        self._is_head_request = False
        self.has_response_bytes = False

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_s = read_clock_s()

    def data_received(self, data: bytes) -> None:
        """Parse the data; unexpected bytes make the connection unusable."""
        self.heard_s = read_clock_s()
        if self._heard is not None:
            self._heard.record(self.peer or self.address, self.heard_s)
        if not self._is_awaiting_response or self._is_complete:
            self._must_close = True
            self.abort()
            return
        self.has_response_bytes = True
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the response switches to another protocol")
        except httptools.HttpParserError as error:
            if self._is_complete:
                # Bytes after a complete response only prevent reuse of the connection.
                self._must_close = True
            else:
                self._fail(f"the response is not valid HTTP: {error}")
        self._check_progress()
        if self._buffered_bytes > _MAX_BUFFERED_BYTES and self._transport:
            self._transport.pause_reading()
        self._state_changed.set()

    def _check_progress(self) -> None:
        """Close a connection whose bytes become neither a head nor a body.

        Silence is no reason: the time counts only once further bytes have come.
        """
        if self._is_complete or self._error is not None:
            return
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            part = "before the end of the response head"
            if self._head is not None:
                part = "between two parts of the response body"
            self._fail(
                f"got {self._framing_bytes} bytes {part}, "
                f"at most {_MAX_FRAMING_BYTES} bytes are accepted"
            )
            self.abort()
        elif self._head_began_s is not None and self.heard_s - self._head_began_s > self.max_head_s:
            self._fail(f"the response head has not ended after {self.max_head_s:g} s")
            self.abort()

    def eof_received(self) -> bool:
        """Complete a response without a length at an orderly close."""
        if self._head is not None and not self._is_framed and not self._is_complete:
            self._is_complete = True
        self._state_changed.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an incomplete response."""
        is_dropped = not self.is_closed and self.heard_s == float("-inf")
        self.is_closed = True
        if is_dropped and self.on_dropped is not None:
            self.on_dropped(self)
        if not self._is_complete:
            self._fail(f"connection lost: {exc or 'closed'}")
        self._state_changed.set()

    def _fail(self, detail: str) -> None:
        if self._error is None:
            self._error = detail
        self._state_changed.set()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Record a second response after a complete one."""
        if self._is_complete:
            self._must_close = True
        self._head_began_s = read_clock_s()

    def on_status(self, reason: bytes) -> None:
        """Collect the text behind the status."""
        if not self._is_complete:
            self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; those of a trailer are dropped."""
        if not self._is_complete and self._head is None:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Store the head of a response; skip an informational one."""
        self._head_began_s = None
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        reason, self._reason = self._reason.decode("latin-1"), b""
        if self.request_count > 1 and _holds_status_line(reason, headers):
            self._fail("the response head is joined to a part of another one")
            return
        if status < _MIN_INTERIM_STATUS:
            # The parser takes any three digits.
            self._fail(f"the response has status {status:03}, 100 to 599 are accepted")
            self._must_close = True
            return
        self._is_informational = status < _MIN_FINAL_STATUS
        if self._is_informational:
            return
        index: dict[str, str] = {}
        for name, value in headers:
            index.setdefault(name, value)
        self._head = ResponseHead(status, headers, index)
        is_chunked = "chunked" in index.get("transfer-encoding", "").lower()
        self._is_framed = (
            "content-length" in index or is_chunked or status in _STATUSES_WITHOUT_BODY
        )
        self._update_idle_limit(index.get("keep-alive", ""))
        if self._is_head_request:
            self._is_complete = True
            self._must_close = True

    def on_body(self, body: bytes) -> None:
        """Buffer a chunk of the body."""
        if not self._is_complete:
            self._chunks.append(body)
            self._buffered_bytes += len(body)
            self._framing_bytes = 0

    def on_message_complete(self) -> None:
        """Complete a response with a length or chunked encoding."""
        if not self._is_informational:
            self._is_complete = True

    def _update_idle_limit(self, keep_alive: str) -> None:
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self.idle_limit_s = int(value) * _KEEP_ALIVE_SHARE

    # Request and response

    def send(self, head: bytes, body: bytes, is_head_request: bool) -> None:
        """Write a request.

        The body is written in full even if the response arrives early, since the target may
        still read it.
        """
        self._reset_response()
        if self.request_count:
            self._parser = httptools.HttpResponseParser(self)
        self.request_count += 1
        self._is_awaiting_response = True
        self._is_head_request = is_head_request
        self._state_changed.clear()
        if self.is_closed or self._transport is None or self._transport.is_closing():
            raise ExchangeError(
                "the connection closed before the request was sent", False, self.request_count > 1
            )
        self._transport.write(head + body if len(body) < _MAX_BUFFERED_BYTES else head)
        if len(body) >= _MAX_BUFFERED_BYTES:
            self._transport.write(body)

    async def receive_head(self) -> ResponseHead:
        """Return the head of the response.

        Raises
        ------
        ExchangeError
        """
        while self._head is None:
            if self._error is not None:
                is_stale = self.request_count > 1 and not self.has_response_bytes
                raise ExchangeError(self._error, True, is_stale)
            self._state_changed.clear()
            await self._state_changed.wait()
        return self._head

    async def receive_chunk(self) -> bytes | None:
        """Return all buffered bytes of the body, or None at its end.

        No bytes are lost if the call is cancelled while it waits.

        Raises
        ------
        ExchangeError
            If the response is incomplete.
        """
        while not self._chunks:
            if self._is_complete:
                return None
            if self._error is not None:
                raise ExchangeError(self._error, True)
            self._state_changed.clear()
            await self._state_changed.wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._transport and not self.is_closed:
            self._transport.resume_reading()
        return data

    async def receive_body(self, received: TrackedBody) -> bytes:
        """Return the rest of the body; close the connection if it is too large.

        Parameters
        ----------
        received
            Counts the bytes of the body and bounds them.

        Raises
        ------
        ExchangeError
            If the response is incomplete or too large.
        """
        chunks: list[bytes] = []
        while (chunk := await self.receive_chunk()) is not None:
            try:
                received.add(len(chunk))
            except BodyTooLargeError as error:
                self.abort()
                raise ExchangeError(str(error), True) from error
            chunks.append(chunk)
        return b"".join(chunks)

    @property
    def is_framed(self) -> bool:
        """Return whether the response has a length or chunked encoding that reveals truncation."""
        return self._is_framed

    def is_reusable(self) -> bool:
        """Return whether another request may use this connection."""
        if self.is_closed or self._must_close or not self._is_complete or not self._is_framed:
            return False
        if self._transport is None or self._transport.get_write_buffer_size():
            return False
        assert self._head is not None
        return "close" not in (self._head.get("connection") or "").lower()

    def mark_idle(self) -> None:
        """Record the start of an idle period."""
        self._is_awaiting_response = False
        self.idle_since_s = read_clock_s()

    def abort(self) -> None:
        """Close the connection immediately, which cancels the request at the target."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()


def _holds_status_line(reason: str, headers: Headers) -> bool:
    """Return whether a status line stands within a line of a head."""
    return any(_STATUS_LINE.search(text) for text in (reason, *(value for _, value in headers)))


def encode_request_head(method: str, path: str, headers: Headers) -> bytes:
    """Encode the request line and the headers."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")
