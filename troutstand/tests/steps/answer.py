"""Feed events to the state machine that assembles an answer."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.answerstream import AnswerStream
from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from behave.runner import Context

_ID = "chatcmpl-r1"
_LIMIT_BYTES = 100_000


def make_event(number: int, answer_id: str = _ID, finish: bool = False) -> bytes:
    """Make a numbered event."""
    reason = ',"finish_reason":"stop"' if finish else ""
    return f'id: {number}\ndata: {{"id":"{answer_id}","n":{number}{reason}}}\n\n'.encode()


_DONE = b"data: [DONE]\n\n"


@given("an answer of {count:d} numbered events")
def make_answer(context: Context, count: int) -> None:
    context.stream = AnswerStream(_ID, numbered=True, limit_bytes=_LIMIT_BYTES)
    context.events = [make_event(n, finish=n == count - 1) for n in range(count)]
    context.taken = []
    context.error = None


@given("an answer limit of {limit:d} bytes")
def make_limited(context: Context, limit: int) -> None:
    make_answer(context, 12)
    context.stream = AnswerStream(_ID, numbered=True, limit_bytes=limit)


def feed(context: Context, *parts: bytes) -> None:
    """Feed parts and store the output or the error."""
    try:
        for part in parts:
            context.taken += context.stream.feed(part)
    except TroutstandError as error:
        context.error = error


@when("its events come in order")
def feed_in_order(context: Context) -> None:
    feed(context, *context.events, _DONE)


@when("its events come backwards")
def feed_backwards(context: Context) -> None:
    feed(context, *context.events[::-1], _DONE)


@when("its events come twice")
def feed_twice(context: Context) -> None:
    feed(context, *(event + event for event in context.events), _DONE)


@when("its events come shuffled with seed {seed:d}")
def feed_shuffled(context: Context, seed: int) -> None:
    random.Random(seed).shuffle(context.events)
    feed(context, *context.events, _DONE)


@when("its events come one byte at a time")
def feed_bytes(context: Context) -> None:
    whole = b"".join(context.events) + _DONE
    feed(context, *(whole[i : i + 1] for i in range(len(whole))))


@when("its events come cut off and resumed")
def feed_resumed(context: Context) -> None:
    feed(context, *context.events[:5], context.events[5][:10])
    assert not context.stream.is_complete
    context.stream.resume()
    feed(context, *context.events[5:], _DONE)


@when("its events come resumed from too early")
def feed_early(context: Context) -> None:
    feed(context, *context.events[:5])
    context.stream.resume()
    feed(context, *context.events[2:], _DONE)


@when("its events come with event {number:d} behind the end mark")
def feed_behind_end(context: Context, number: int) -> None:
    missing = context.events.pop(number)
    feed(context, *context.events, _DONE, missing)


@when("its events come cut off in a gap behind the end mark")
def feed_gap_resumed(context: Context) -> None:
    feed(context, *context.events[:3], *context.events[4:], _DONE)
    assert not context.stream.is_complete
    context.stream.resume()
    feed(context, *context.events[3:], _DONE)


@when("event {number:d} carries another id")
def feed_foreign(context: Context, number: int) -> None:
    context.events[number] = make_event(number, "chatcmpl-r2")
    feed(context, *context.events, _DONE)


@when("it comes without its last mark")
def feed_unmarked(context: Context) -> None:
    feed(context, *context.events)


@when("it comes without event {number:d}")
def feed_gap(context: Context, number: int) -> None:
    del context.events[number]
    feed(context, *context.events, _DONE)


@when("it comes without a finish reason")
def feed_unfinished(context: Context) -> None:
    feed(context, *context.events[:-1], _DONE)


@when("{count:d} events of {size:d} bytes come")
def feed_large(context: Context, count: int, size: int) -> None:
    feed(context, *(make_event(n) + b" " * size for n in range(count)))


@then("the whole answer is given in order")
def assert_whole(context: Context) -> None:
    assert context.stream.is_complete and context.error is None, context.error
    numbers = [
        int(event.data.split(b'"n":')[1].rstrip(b"}").split(b",")[0]) for event in context.taken
    ]
    assert numbers == list(range(12)), numbers


@then("the answer is not whole")
def assert_not_whole(context: Context) -> None:
    assert not context.stream.is_complete


@then("it fails with {code:d}")
def assert_fails(context: Context, code: int) -> None:
    assert context.error is not None and context.error.code == code, context.error
