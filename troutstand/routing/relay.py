"""Send one request to a target and bring back what the target answered.

What comes back is judged here: only a whole answer of the target to this very
request passes. Everything else is an `Ending` that says whether the request
may have run.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from troutstand.core.notices import parse_notice
from troutstand.generated.messages import Ending, TargetNotice
from troutstand.routing.httpclient import ExchangeError, encode_request_head
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.core.selfreport import BlockReason
    from troutstand.generated.messages import Placed
    from troutstand.routing.dialect import HeaderNames
    from troutstand.routing.httpclient import (
        ConnectionPool,
        Headers,
        ResponseHead,
        TargetConnection,
    )

MISDIRECTED = 421
_FIRST_FAILURE = 300
_FIRST_SUCCESS = 200
_UNSENT = frozenset({Ending.unsent, Ending.kept_back})
# A target may have forgotten a kept connection; what may not be repeated goes
# only on one that was used a moment ago, or on a new one.
_UNREPEATABLE_IDLE_S = 2.0
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


@dataclass(frozen=True)
class OutgoingRequest:
    """Hold a caller's request as it goes to any target."""

    request: str
    method: str
    path: str
    headers: Headers
    body: bytes
    is_repeatable: bool


class SendError(Exception):
    """Report that a target brought no answer that may be passed on.

    Parameters
    ----------
    ending
        What became of it at the target.
    status
        The status with which the target answered, where it did.
    is_target_gone
        Whether the target's address refuses connections.
    was_resent
        Whether a kept connection failed first, and the request was sent on a new one.
    notice
        What the target's answer says of the target, where one came.
    """

    def __init__(
        self,
        ending: Ending,
        detail: str,
        status: int | None = None,
        is_target_gone: bool = False,
        was_resent: bool = False,
        notice: TargetNotice | None = None,
    ) -> None:
        super().__init__(detail)
        self.ending = ending
        self.detail = detail
        self.status = status
        self.is_target_gone = is_target_gone
        self.was_resent = was_resent
        self.notice = notice or TargetNotice("")

    @property
    def may_have_arrived(self) -> bool:
        """Tell whether the target may have seen the request."""
        return self.ending not in _UNSENT

    @property
    def may_have_run(self) -> bool:
        """Tell whether the target may have worked on the request."""
        return self.may_have_arrived and self.ending is not Ending.turned_away


def filter_headers(headers: Headers, drop: frozenset[str]) -> Headers:
    """Return the headers that are passed on; names are compared in lower case."""
    listed = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    banned = CONNECTION_HEADERS | drop | listed
    return [(key, value) for key, value in headers if key.lower() not in banned]


@dataclass
class SentRequest:
    """Hold a request under way at one target; times in seconds on the steady clock."""

    placed: Placed
    connection: TargetConnection
    head: ResponseHead
    started_s: float
    first_s: float
    chunks: list[bytes] = field(default_factory=list)

    @property
    def is_success(self) -> bool:
        """Tell whether the target says that it did what was asked."""
        return _FIRST_SUCCESS <= self.head.status < _FIRST_FAILURE


class NoticeHandler(Protocol):
    """Know which targets want to be left alone."""

    def get_block_reason(self, placed: Placed) -> BlockReason | None:
        """Return why nothing may be sent to a request's target now, or None."""
        ...

    def handle_notice(self, request: str, notice: TargetNotice, asked_s: float) -> None:
        """Take what the answer to a request, sent at a time, says of its target."""


class Sender:
    """Send requests to targets."""

    def __init__(self, pool: ConnectionPool, names: HeaderNames, watch: NoticeHandler) -> None:
        self._pool = pool
        self._names = names
        self._watch = watch

    async def send(
        self, outgoing: OutgoingRequest, placed: Placed, deadline_s: float
    ) -> SentRequest:
        """Send a request and return its answer's head.

        Raises
        ------
        SendError
            Where no head of an answer to this request came.
        """
        fresh = False
        was_written = False
        while True:
            self._check_may_send(placed, was_written)
            max_idle_s = None if outgoing.is_repeatable else _UNREPEATABLE_IDLE_S
            if fresh:
                max_idle_s = 0.0
            try:
                return await self._send_once(outgoing, placed, deadline_s, max_idle_s)
            except ExchangeError as error:
                was_written = was_written or error.was_written
                if not error.was_written and not error.was_stale:
                    # Written on the kept connection, it may have run though no new one came
                    # up. Counted as never sent it was free to be sent 4 times more and was
                    # answered with "not run": 2 of 135 such attempts had reached targets
                    # that ended under them (counted in the logs of 7 gateways).
                    raise SendError(
                        Ending.broken if was_written else Ending.unsent,
                        str(error),
                        is_target_gone=error.is_refused,
                        was_resent=fresh,
                    ) from error
                repeats = outgoing.is_repeatable or not error.was_written
                if not (error.was_stale and repeats and not fresh):
                    raise SendError(Ending.broken, str(error), was_resent=fresh) from error
                # The target had forgotten the connection; a new one tells more.
                fresh = True

    def _check_may_send(self, placed: Placed, was_written: bool) -> None:
        """Keep a request back from a target that wants to be left alone.

        Written on a kept connection that failed, it may have run all the same.
        """
        kept_back = self._watch.get_block_reason(placed)
        if kept_back is not None:
            ending = Ending.broken if was_written else Ending.kept_back
            raise SendError(ending, f"the target is {kept_back.value}", was_resent=was_written)

    async def _send_once(
        self, outgoing: OutgoingRequest, placed: Placed, deadline_s: float, max_idle_s: float | None
    ) -> SentRequest:
        connection = await self._pool.acquire(placed.address, max_idle_s)
        started_s = read_clock_s()
        try:
            head = self._write_head(outgoing, placed, deadline_s - started_s)
            connection.send(head, outgoing.body, outgoing.method == "HEAD")
            answer = await connection.receive_head()
        except BaseException:
            connection.abort()
            raise
        notice = parse_notice(answer.status, answer.get, self._names, placed.target, placed.born_ms)
        self._watch.handle_notice(outgoing.request, notice, started_s)
        sent = SentRequest(placed, connection, answer, started_s, read_clock_s() - started_s)
        try:
            self._check_head(outgoing, answer, notice)
        except SendError as error:
            await self._finish_refused(sent, error)
            raise
        return sent

    def _write_head(self, outgoing: OutgoingRequest, placed: Placed, left_s: float) -> bytes:
        left_ms = max(1, int(left_s * 1000))
        headers = [
            *outgoing.headers,
            (self._names.deadline_ms, str(left_ms)),
            (self._names.expected_target, placed.target),
        ]
        if outgoing.body or outgoing.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append(("Content-Length", str(len(outgoing.body))))
        return encode_request_head(outgoing.method, outgoing.path, headers)

    def _check_head(
        self, outgoing: OutgoingRequest, head: ResponseHead, notice: TargetNotice
    ) -> None:
        echo = head.get(self._names.request)
        if echo and echo != outgoing.request:
            raise SendError(Ending.broken, f"the answer is for request {echo!r}", head.status)
        if head.status == MISDIRECTED or head.get(self._names.not_run) is not None:
            detail = "the target did not run it"
            raise SendError(Ending.turned_away, detail, head.status, notice=notice)
        if head.get(self._names.seal) is None or not echo:
            raise SendError(Ending.broken, "the target's seal is missing", head.status)
        if head.get("content-encoding") is not None:
            raise SendError(Ending.broken, "the body is encoded", head.status)

    async def _finish_refused(self, sent: SentRequest, error: SendError) -> None:
        """Read a refusal to its end, so that its connection can be kept."""
        if error.ending is not Ending.turned_away:
            sent.connection.abort()
            return
        try:
            async with asyncio.timeout(0.1):
                await self.read_body(sent)
        except (SendError, TimeoutError):
            sent.connection.abort()

    async def read_body(self, sent: SentRequest) -> bytes:
        """Return an answer's whole body and keep its connection.

        Raises
        ------
        SendError
            Where it broke off.
        """
        chunks: list[bytes] = []
        try:
            async for chunk in sent.connection.receive_chunks():
                chunks.append(chunk)
        except ExchangeError as error:
            sent.connection.abort()
            raise SendError(Ending.broken, str(error)) from error
        except BaseException:
            sent.connection.abort()
            raise
        self._pool.release(sent.connection)
        return b"".join(chunks)

    async def is_gone(self, address: str) -> bool:
        """Tell whether a target's process has ended."""
        return await self._pool.refuses_connections(address)

    def release(self, sent: SentRequest) -> None:
        """Keep the connection of an answer that was read to its end."""
        self._pool.release(sent.connection)
