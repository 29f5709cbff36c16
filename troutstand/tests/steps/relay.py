"""Send requests to scripted targets over loopback."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.core.noticestore import NoticeStore
from troutstand.core.selfreport import BlockReason
from troutstand.generated.configuration import RoutedWorkspace, RouteKind
from troutstand.generated.messages import Placed, TargetNotice
from troutstand.routing.calls import Call, make_outgoing
from troutstand.routing.connectionpool import ConnectionPool
from troutstand.routing.dialect import HeaderNames
from troutstand.routing.dialer import Dialer
from troutstand.routing.eventstreams import EventBoundaryTracker, EventSplitter
from troutstand.routing.relay import OutgoingRequest, Sender, SendError
from troutstand.testing.scriptedtarget import AfterReply, ReceivedRequest, Reply, ScriptedTarget
from troutstand.tests.steps.configuration import make_route

if TYPE_CHECKING:
    from behave.runner import Context


_REQUEST = "request-1"
_LIMIT_S = 5.0
_PATH = "/a/b?c=%2Fd"


def make_answer(
    status: str = "200 OK",
    body: bytes = b"hello",
    request: str = _REQUEST,
    extra: str = "",
    seal: str = "X-Answer-Seal: s\r\n",
    framing: str | None = None,
) -> bytes:
    """Write an answer's bytes."""
    length = f"Content-Length: {len(body)}\r\n" if framing is None else framing
    head = f"HTTP/1.1 {status}\r\nX-Request-Id: {request}\r\n{seal}{extra}{length}\r\n"
    return head.encode() + body


_FULL = Reply(make_answer())
_CHUNKED = "Transfer-Encoding: chunked\r\n"
_REPLIES: dict[str, list[Reply]] = {
    "in full": [_FULL],
    "in chunks": [Reply(make_answer(body=b"5\r\nhello\r\n0\r\n\r\n", framing=_CHUNKED))],
    "without a length and ends": [Reply(make_answer(framing=""), AfterReply.END)],
    "without a length and resets": [Reply(make_answer(framing=""), AfterReply.RESET)],
    "short of its length and ends": [Reply(make_answer()[:-2], AfterReply.END)],
    "with a chunk cut off": [
        Reply(make_answer(body=b"5\r\nhello\r\n", framing=_CHUNKED), AfterReply.END)
    ],
    "for another request": [Reply(make_answer(request="request-0"))],
    "without the seal": [Reply(make_answer(seal=""))],
    "with an encoded body": [Reply(make_answer(extra="Content-Encoding: gzip\r\n"))],
    "with bytes that are no answer": [Reply(b"\x00\x01rubbish\r\n\r\n", AfterReply.END)],
    "that it is full": [Reply(make_answer("503 Full", seal="X-Not-Run: 1\r\n", request=""))],
    "that it is somebody else": [Reply(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")],
    "with 100 first": [Reply(b"HTTP/1.1 100 Continue\r\n\r\n" + make_answer())],
    "with 103 first": [Reply(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + make_answer())],
    **{
        f"with status {status}": [Reply(make_answer(f"{status} Odd"))]
        for status in ("000", "099", "600", "999", "0", "1000", "-01", "OK", "101")
    },
    "with status 000, then in full": [Reply(make_answer("000 Odd") + make_answer())],
    "nothing and resets": [Reply(b"", AfterReply.RESET)],
    "twice, then in full": [Reply(make_answer() + make_answer(body=b"ghost")), _FULL],
    "in full, resets at the next request, then answers in full": [
        _FULL,
        Reply(b"", AfterReply.RESET),
        _FULL,
    ],
    "in full, ends at the next request": [_FULL, Reply(b"", AfterReply.GONE)],
    "that it is full and wants rest": [
        Reply(
            make_answer("503 Full", seal="X-Not-Run: 1\r\n", request="", extra="Retry-After: 2\r\n")
        )
    ],
    "in full and that it leaves": [Reply(make_answer(extra="X-Target-Leaving: 1\r\n"))],
    "before it reads the body": [Reply(make_answer(), is_early=True)],
}


def make_outgoing_request(is_repeatable: bool, body: bytes = b"") -> OutgoingRequest:
    """Write a request with headers of its own and headers that are not forwarded."""
    names = HeaderNames()
    headers = [
        ("X-Request-Id", _REQUEST),
        ("X-Custom", "kept"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "dropped"),
        ("X-Workspace-Key", "secret"),
        ("X-Workspace", "another"),
        ("X-Target-Order", "admit ahead of all"),
    ]
    kind = RouteKind.idempotent if is_repeatable else RouteKind.non_idempotent
    call = Call(
        request=_REQUEST,
        route=msgspec.structs.replace(make_route("r", "/a/"), kind=kind),
        service="work",
        workspace=RoutedWorkspace("w"),
        version=1,
        tokens=None,
        expected_output=0,
        model="",
        parts=[],
        arrived_s=0.0,
        deadline_s=_LIMIT_S,
    )
    return make_outgoing(call, names, "POST", _PATH, headers, body)


class NoticeWatch:
    """Store the notices of targets, like a gateway."""

    allows_resend = True

    def __init__(self, looks_before_rest: int | None = None) -> None:
        self.book = NoticeStore()
        self._looks_before_rest = looks_before_rest

    def get_block_reason(self, placed: Placed) -> BlockReason | None:
        """Return why nothing may be sent to a request's target now, or None."""
        if self._looks_before_rest is not None:
            if not self._looks_before_rest:
                return BlockReason.BACKOFF
            self._looks_before_rest -= 1
        return self.book.get_block_reason(placed.target, placed.born_ms, time.monotonic())

    def handle_notice(self, request: str, notice: TargetNotice, sent_s: float) -> None:
        """Handle the notice in the answer to a request."""
        self.book.record(notice, sent_s, time.monotonic())

    async def charge_resend(self, request: str, target: str) -> bool:
        """Return whether further runs are allowed."""
        return self.allows_resend

    async def confirm_charge(self, request: str, target: str) -> bool:
        """Allow every run."""
        return True


async def _send_all(context: Context, outgoings: list[OutgoingRequest]) -> None:
    target = context.target
    if target is not None:
        await target.start()
        context.address = target.address
    pool = ConnectionPool(Dialer(1.0))
    watch = NoticeWatch(context.looks_before_rest)
    watch.allows_resend = context.allows_resend
    sender = Sender(pool, HeaderNames(), watch)
    context.outcomes = []
    for outgoing in outgoings:
        placed = Placed(_REQUEST, "t1", context.address)
        try:
            async with asyncio.timeout(_LIMIT_S):
                end_s = time.monotonic() + _LIMIT_S
                sent = await sender.send(outgoing, placed, end_s, lambda: None)
                body = await sender.read_body(sent)
            assert body == b"hello", body
            context.outcomes.append("whole")
        except SendError as error:
            context.outcomes.append(error.ending.value)
            context.is_target_gone = error.is_target_gone
    if target is not None:
        sent_ones = zip(outgoings, context.outcomes, strict=True)
        lengths = [len(o.body) for o, outcome in sent_ones if outcome != "kept_back"]
        await _wait_bodies(target.received, lengths)
        await target.stop()
    pool.close()


async def _wait_bodies(received: list[ReceivedRequest], lengths: list[int]) -> None:
    if len(received) != len(lengths):
        return
    async with asyncio.timeout(_LIMIT_S):
        while [len(request.body) for request in received] != lengths:
            await asyncio.sleep(0)


@given("an address where nothing listens")
def use_nothing(context: Context) -> None:
    context.target = None
    context.looks_before_rest, context.allows_resend = None, True
    context.address = "127.0.0.1:9"


@given("a target that answers {answer}")
def use_target(context: Context, answer: str) -> None:
    context.target = ScriptedTarget(_REPLIES[answer])
    context.looks_before_rest, context.allows_resend = None, True


@given("the workspace's limit allows no further run")
def refuse_further_runs(context: Context) -> None:
    context.allows_resend = False


@given("the target asks for rest while the second request is under way")
def ask_meanwhile(context: Context) -> None:
    # One check before the first request, one before the second is written.
    context.looks_before_rest = 2


@when("two {kind} requests are sent one after the other")
def send_two(context: Context, kind: str) -> None:
    both = [make_outgoing_request(kind == "repeatable") for _ in range(2)]
    asyncio.run(_send_all(context, both))


@when("a request with a body of {length:d} bytes is sent, then another")
def send_long(context: Context, length: int) -> None:
    both = [make_outgoing_request(True, b"x" * length), make_outgoing_request(True, b"y" * 10)]
    asyncio.run(_send_all(context, both))


@when("a {kind} request is sent")
@when("an {kind} request is sent")
def send_one(context: Context, kind: str) -> None:
    asyncio.run(_send_all(context, [make_outgoing_request(kind == "repeatable")]))


@then("the outcome is {outcome}")
def check_outcome(context: Context, outcome: str) -> None:
    assert context.outcomes == [outcome], context.outcomes


@then("both outcomes are whole and came on {count:d} connections")
def check_connections(context: Context, count: int) -> None:
    assert context.outcomes == ["whole", "whole"], context.outcomes
    used = {request.connection for request in context.target.received}
    assert len(used) == count, used


@then("the second outcome is {outcome} and the target saw {count:d} requests")
def check_second(context: Context, outcome: str, count: int) -> None:
    assert context.outcomes == ["whole", outcome], context.outcomes
    assert len(context.target.received) == count


@then("both outcomes are whole and the target read both bodies")
def check_bodies(context: Context) -> None:
    assert context.outcomes == ["whole", "whole"], context.outcomes
    first, second = context.target.received
    assert set(first.body) == {ord("x")}
    assert second.body == b"y" * 10


@then("the target got its path, its own headers, the time left and the expected target")
def check_head(context: Context) -> None:
    request = context.target.received[0]
    assert request.head.startswith(f"POST {_PATH} HTTP/1.1".encode()), request.head
    assert request.find_header("x-custom") == "kept"
    assert request.find_header("x-request-id") == _REQUEST
    assert request.find_header("x-expected-target") == "t1"
    assert 0 < int(request.find_header("x-deadline-ms")) <= _LIMIT_S * 1000


@then("the target got neither the key nor the headers of the caller's connection")
def check_dropped(context: Context) -> None:
    request = context.target.received[0]
    for name in ("x-workspace-key", "x-hop", "connection"):
        assert not request.find_header(name), name


@then("the target got the caller's workspace, and no order that a caller wrote")
def check_orders(context: Context) -> None:
    request = context.target.received[0]
    assert request.find_header("x-workspace") == "w"
    assert not request.find_header("x-target-order")


@when("a stream breaks within its third event")
def break_stream(context: Context) -> None:
    context.splitter = EventSplitter()
    pieces = [b"id: 4\ndata: a\n\nid: 7\nda", b"ta: b\n\nid: 9\ndata", b": c"]
    context.passed = b"".join(context.splitter.feed(piece) for piece in pieces)
    context.splitter.drop_partial()


@then("two events were passed on and the stream resumes behind the second")
def check_events(context: Context) -> None:
    assert context.passed == b"id: 4\ndata: a\n\nid: 7\ndata: b\n\n", context.passed
    assert context.splitter.last_id == "7"
    assert context.splitter.feed(b"id: 9\ndata: c\n\n") == b"id: 9\ndata: c\n\n"


@when("a stream sends two events under one id")
def send_alike(context: Context) -> None:
    context.splitter = EventSplitter()
    context.sent = b"id: 4\ndata: a\n\nid: 4\ndata: b\n\n"
    context.passed = context.splitter.feed(context.sent)


@then("both were passed on")
def check_both(context: Context) -> None:
    assert context.passed == context.sent, context.passed


@when("it is resumed by a target that begins with the event before the last")
def resume_early(context: Context) -> None:
    context.splitter.resume()
    context.passed = context.splitter.feed(
        b"id: 3\ndata: y\n\nid: 4\ndata: z\n\nid: 5\ndata: c\n\n"
    )


@then("only the event that follows was passed on")
def check_following(context: Context) -> None:
    assert context.passed == b"id: 5\ndata: c\n\n", context.passed


@when('a stream ends with "{ending}"')
def end_stream(context: Context, ending: str) -> None:
    context.end = EventBoundaryTracker()
    for byte in b"data: a" + ending.encode().decode("unicode_escape").encode():
        context.end.feed(bytes([byte]))


@then("it stands between events")
def check_between(context: Context) -> None:
    assert context.end.is_between_events


@then("it stands within an event")
def check_within(context: Context) -> None:
    assert not context.end.is_between_events


@then("the second outcome is {outcome}, since the target is gone")
def check_second_gone(context: Context, outcome: str) -> None:
    assert context.outcomes == ["whole", outcome], context.outcomes
    assert context.is_target_gone
