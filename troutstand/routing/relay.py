"""Send requests to targets and check their responses.

Only a response of the expected target to the same request is returned. Anything else
raises `SendError`, whose `Ending` says whether the request may have run.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from troutstand.core.answerpromises import AnswerKind, classify_answer
from troutstand.core.notices import parse_notice
from troutstand.generated.messages import Ending, TargetNotice
from troutstand.routing.bodymemory import MAX_BODY_BYTES, UNKNOWN_BODY_BYTES, BodyMemory
from troutstand.routing.httpclient import ExchangeError, encode_request_head
from troutstand.routing.silencewatch import SilenceWatch
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.paths import Reach
    from troutstand.core.selfreport import BlockReason
    from troutstand.generated.messages import Placed
    from troutstand.routing.bodymemory import HeldBodies
    from troutstand.routing.connectionpool import ConnectionPool
    from troutstand.routing.dialect import HeaderNames
    from troutstand.routing.httpclient import (
        Headers,
        ResponseHead,
        TargetConnection,
    )

_EVENT_STREAM = "text/event-stream"
_FIRST_NON_SUCCESS = 300
_FIRST_SUCCESS = 200
# Endings of responses that are valid, but not relayed.
_WHOLE_REJECTIONS = frozenset({Ending.turned_away, Ending.failed})
_UNSENT = frozenset({Ending.unsent, Ending.kept_back})
# A target may have closed an idle connection, so requests that must not be repeated
# reuse only a connection that was idle for less than this.
_UNREPEATABLE_MAX_IDLE_S = 2.0
# A rejection with a longer body costs its connection.
_MAX_REJECTION_BYTES = 64 << 10
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
    """Describe a caller's request in the form that is sent to any target."""

    request: str
    method: str
    path: str
    headers: Headers
    body: bytes
    is_repeatable: bool
    # Connections that carried an attempt. A late copy of its answer has the same request ID as
    # the answer of the next attempt, so no other attempt uses them.
    used: list[TargetConnection] = field(default_factory=list)


class SendError(Exception):
    """Report that a target returned no usable response.

    Parameters
    ----------
    ending
        How the request ended at the target.
    status
        The HTTP status of the target's response, or None.
    is_target_gone
        Whether the target's address refuses connections.
    was_resent
        Whether a reused connection failed first and the request was sent on a new one.
    notice
        The notice in the target's response; empty without a response.

    `is_path_lost` is set if this gateway's path is at fault rather than the target, and
    `was_written_before` if the request was also written on a reused connection that failed.
    """

    is_path_lost = False
    was_written_before = False

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
        """Return whether the target may have received the request."""
        return self.was_written_before or self.ending not in _UNSENT

    @property
    def may_have_run(self) -> bool:
        """Return whether the target may have run the request."""
        is_turned_away = self.ending is Ending.turned_away
        return self.was_written_before or (self.may_have_arrived and not is_turned_away)


def filter_headers(headers: Headers, drop: frozenset[str]) -> Headers:
    """Return the headers to forward, without hop-by-hop headers and those in `drop`."""
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
    """Describe a request in flight at a target; times in seconds on the steady clock."""

    placed: Placed
    connection: TargetConnection
    head: ResponseHead
    started_s: float
    first_s: float
    kind: AnswerKind = AnswerKind.ANSWERED

    @property
    def is_success(self) -> bool:
        """Return whether the target's status is 2xx."""
        return _FIRST_SUCCESS <= self.head.status < _FIRST_NON_SUCCESS

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        content_type = (self.head.get("content-type") or "").lower()
        return self.is_success and self.head.has_body and content_type.startswith(_EVENT_STREAM)


class NoticeHandler(Protocol):
    """Handle notices of targets, and decide which targets may get requests."""

    def get_block_reason(self, placed: Placed) -> BlockReason | None:
        """Return why nothing may be sent to a request's target now, or None."""
        ...

    def handle_notice(self, request: str, notice: TargetNotice, sent_s: float) -> None:
        """Handle the notice in the response to a request that was sent at `sent_s`."""

    async def charge_resend(self, request: str, target: str) -> bool:
        """Charge a repeated run of a request at its target; return whether limits allow it."""
        ...

    async def confirm_charge(self, request: str, target: str) -> bool:
        """Return whether a request may be sent now by the charge that its decider made."""
        ...


def _ignore_written() -> None:
    """Ignore that a request is written."""


def _find_failure(
    error: ExchangeError, outgoing: OutgoingRequest, was_written: bool, is_resent: bool
) -> SendError | None:
    """Return how an attempt failed, or None if it may be sent again on a new connection.

    Parameters
    ----------
    was_written
        Whether the request was written, on the connection that failed or on one before it.
    """
    if not error.was_written and not error.was_stale:
        # A request written on the reused connection may have run, even if no new connection
        # could be opened. Counted as unsent it would be sent again and could be refused as
        # "not run".
        return SendError(
            Ending.broken if was_written else Ending.unsent,
            str(error),
            is_target_gone=error.is_refused,
            was_resent=is_resent,
        )
    may_resend = outgoing.is_repeatable or not error.was_written
    if error.was_stale and may_resend and not is_resent:
        return None
    return SendError(Ending.broken, str(error), was_resent=is_resent)


def _get_length(head: ResponseHead) -> int:
    """Return the length of a response body, or what one of unknown length is counted with."""
    length = head.get("content-length") or ""
    return min(int(length), MAX_BODY_BYTES) if length.isdecimal() else UNKNOWN_BODY_BYTES


class Sender:
    """Send requests to targets."""

    def __init__(self, pool: ConnectionPool, names: HeaderNames, notices: NoticeHandler) -> None:
        self._pool = pool
        self._names = names
        self._notices = notices
        self._silence = SilenceWatch(pool)
        self._body_memory = BodyMemory()
        self._rejection_memory = BodyMemory(_MAX_REJECTION_BYTES)

    async def send(
        self,
        outgoing: OutgoingRequest,
        placed: Placed,
        deadline_s: float,
        on_path_lost: Callable[[], None],
        on_written: Callable[[], None] = _ignore_written,
    ) -> SentRequest:
        """Send a request and receive the head of its response.

        Parameters
        ----------
        on_path_lost
            Called if the path to the target is found cut while the head is awaited.
        on_written
            Called before the request is written.

        Raises
        ------
        SendError
            If no valid response head for this request arrived.
        """
        use_new_connection = False
        was_written = False
        while True:
            self._check_may_send(placed, was_written)
            max_idle_s = None if outgoing.is_repeatable else _UNREPEATABLE_MAX_IDLE_S
            if use_new_connection:
                max_idle_s = 0.0
            try:
                connection = await self._acquire(outgoing, placed, max_idle_s)
                on_written()
                return await self._send_once(connection, outgoing, placed, deadline_s, on_path_lost)
            except SendError as error:
                error.was_written_before = was_written
                raise
            except ExchangeError as error:
                was_written = was_written or error.was_written
                failure = _find_failure(error, outgoing, was_written, use_new_connection)
                if failure is not None:
                    raise failure from error
                if error.was_written and not await self._notices.charge_resend(
                    outgoing.request, placed.target
                ):
                    detail = f"{error}; the limit or the retry budget allows no further run"
                    raise SendError(Ending.broken, detail) from error
                # The target closed the idle connection; retry on a new one.
                use_new_connection = True

    def _check_may_send(self, placed: Placed, was_written: bool) -> None:
        """Raise if the target's notices block requests.

        A request written on a reused connection that failed may have run all the same.
        """
        reason = self._notices.get_block_reason(placed)
        if reason is not None:
            ending = Ending.broken if was_written else Ending.kept_back
            raise SendError(ending, f"the target is {reason.value}", was_resent=was_written)

    async def _acquire(
        self, outgoing: OutgoingRequest, placed: Placed, max_idle_s: float | None
    ) -> TargetConnection:
        """Return a connection on which the request may be written now."""
        connection = await self._pool.acquire(placed.address, max_idle_s, outgoing.used)
        is_allowed = False
        try:
            is_allowed = await self._notices.confirm_charge(outgoing.request, placed.target)
        finally:
            if not is_allowed:
                self._pool.release(connection)
        if not is_allowed:
            raise SendError(Ending.kept_back, "the workspace's limit allows no run so late")
        return connection

    async def _send_once(
        self,
        connection: TargetConnection,
        outgoing: OutgoingRequest,
        placed: Placed,
        deadline_s: float,
        on_path_lost: Callable[[], None],
    ) -> SentRequest:
        started_s = read_clock_s()
        try:
            request_head = self._encode_head(outgoing, placed, deadline_s - started_s)
            outgoing.used.append(connection)
            connection.send(request_head, outgoing.body, outgoing.method == "HEAD")
            with self._silence.watch(connection, on_path_lost):
                head = await connection.receive_head()
        except BaseException:
            connection.abort()
            raise
        notice = parse_notice(head.status, head.get, self._names, placed.target, placed.born_ms)
        self._notices.handle_notice(outgoing.request, notice, started_s)
        is_marked = head.get(self._names.not_run) is not None
        kind = classify_answer(head.status, is_marked, outgoing.is_repeatable)
        sent = SentRequest(placed, connection, head, started_s, read_clock_s() - started_s, kind)
        try:
            self._check_head(outgoing, sent, notice)
        except SendError as error:
            await self._drain_rejection(sent, error)
            raise
        return sent

    def _encode_head(self, outgoing: OutgoingRequest, placed: Placed, remaining_s: float) -> bytes:
        remaining_ms = max(1, int(remaining_s * 1000))
        headers = [
            *outgoing.headers,
            (self._names.deadline_ms, str(remaining_ms)),
            (self._names.expected_target, placed.target),
        ]
        if outgoing.body or outgoing.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append(("Content-Length", str(len(outgoing.body))))
        return encode_request_head(outgoing.method, outgoing.path, headers)

    def _check_head(
        self, outgoing: OutgoingRequest, sent: SentRequest, notice: TargetNotice
    ) -> None:
        head = sent.head
        echo = head.get(self._names.request)
        if echo and echo != outgoing.request:
            raise SendError(Ending.broken, f"the response has request ID {echo!r}", head.status)
        if sent.kind is AnswerKind.NOT_RUN:
            detail = "the target did not run the request"
            raise SendError(Ending.turned_away, detail, head.status, notice=notice)
        if head.get(self._names.seal) is None or not echo:
            raise SendError(
                Ending.broken, "the target's response seal or request ID is missing", head.status
            )
        if sent.kind is AnswerKind.INVALID:
            detail = f"the response has status {head.status}, 200 to 599 are accepted"
            raise SendError(Ending.broken, detail, head.status)
        if head.get("content-encoding") is not None:
            raise SendError(Ending.broken, "the response has a content encoding", head.status)
        if sent.kind is AnswerKind.FALSE_PROMISE:
            detail = f"the target ran the request and answered {head.status}, which says it has not"
            raise SendError(Ending.failed, detail, head.status)

    async def _drain_rejection(self, sent: SentRequest, error: SendError) -> None:
        """Read a response that is not relayed to its end, so that its connection can be reused.

        Nothing tells a late copy of a rejection without a request ID from the next answer.
        """
        has_id = bool(sent.head.get(self._names.request))
        if error.ending not in _WHOLE_REJECTIONS or not has_id:
            sent.connection.abort()
            return
        try:
            async with asyncio.timeout(0.1):
                await self._read_body(sent, self._rejection_memory)
        except (SendError, TimeoutError):
            sent.connection.abort()

    async def read_body(self, sent: SentRequest, held: HeldBodies | None = None) -> bytes:
        """Return a response's whole body and release its connection.

        Parameters
        ----------
        held
            Counts the body until it closes; without it the body counts until it is received.

        Raises
        ------
        SendError
            If the body is incomplete or too large.
        """
        return await self._read_body(sent, self._body_memory, held)

    async def _read_body(
        self, sent: SentRequest, memory: BodyMemory, held: HeldBodies | None = None
    ) -> bytes:
        with contextlib.ExitStack() as receiving:
            received = receiving.enter_context(memory.track())
            try:
                if held is not None:
                    await held.reserve(_get_length(sent.head))
                body = await sent.connection.receive_body(received)
            except ExchangeError as error:
                sent.connection.abort()
                raise SendError(Ending.broken, str(error)) from error
            except BaseException:
                sent.connection.abort()
                raise
            if held is not None:
                held.enter_context(receiving.pop_all())
        self._pool.release(sent.connection)
        return body

    async def check(self, address: str) -> Reach:
        """Check how a target is reached."""
        return await self._pool.dialer.check(address)

    def is_checking(self, address: str) -> bool:
        """Return whether a check of a target is in progress."""
        return self._pool.dialer.is_checking(address)

    def is_path_lost(self, address: str) -> bool:
        """Return whether this gateway has lost its path to a target, or to several others."""
        paths = self._pool.dialer.paths
        return paths.is_cut(address) or paths.is_isolated

    def release(self, sent: SentRequest) -> None:
        """Release the connection of a response that was read to its end."""
        self._pool.release(sent.connection)
