"""Reassemble a streamed answer: complete, in order, and with the expected answer id.

The format is server-sent events (WHATWG HTML standard). An engine that supports resuming
numbers the events in the `id` field and accepts `Last-Event-ID`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

_EVENT_END = b"\n\n"
_DONE = b"data: [DONE]"
_ID = b"id: "
_DATA = b"data: "
_FINISH = b'"finish_reason":"'
_USAGE = b'"usage":{'
# Maximum number of events buffered behind a missing one.
MAX_REORDERED_EVENTS = 1024


@dataclass(frozen=True)
class AnswerEvent:
    """Hold one event of an answer."""

    data: bytes
    is_usage: bool


@dataclass
class AnswerStream:
    """Parse, order and check the events of one answer.

    Parameters
    ----------
    answer_id
        The id that every event must carry.
    numbered
        Whether the engine numbers its events from 0.
    limit_bytes
        Maximum size of the stream.
    """

    answer_id: str
    numbered: bool
    limit_bytes: int
    last_number: int = -1
    is_done: bool = False
    is_finished: bool = False
    token_events: int = 0
    _buffer: bytes = b""
    _received_bytes: int = 0
    _reordered: dict[int, bytes] = field(default_factory=dict)
    _id_field: bytes = field(init=False)

    def __post_init__(self) -> None:
        self._id_field = b'"id":"' + self.answer_id.encode() + b'"'

    @property
    def is_complete(self) -> bool:
        """Return whether the answer ended normally, with no event missing."""
        return self.is_done and self.is_finished and not self._reordered

    def resume(self) -> None:
        """Reset the parser for a resumed stream that continues after the accepted events."""
        self._buffer = b""
        self._reordered.clear()
        # A stream with a missing event may have ended already.
        self.is_done = False

    def feed(self, data: bytes) -> list[AnswerEvent]:
        """Parse bytes and return the next events in order.

        Raises
        ------
        TroutstandError
            ANSWER_FOREIGN for an event of another answer, ANSWER_TOO_LARGE above the limit,
            ANSWER_CUT for too many reordered events, TARGET_FAULT for a malformed number.
        """
        self._received_bytes += len(data)
        if self._received_bytes > self.limit_bytes:
            raise TroutstandError(
                ResultCode.ANSWER_TOO_LARGE, f"answer exceeds {self.limit_bytes} bytes"
            )
        *blocks, self._buffer = (self._buffer + data).split(_EVENT_END)
        events: list[AnswerEvent] = []
        for block in blocks:
            events.extend(self._parse_block(block))
        return events

    def _parse_block(self, block: bytes) -> list[AnswerEvent]:
        number = None
        if block.startswith(_ID):
            id_line, _, block = block.partition(b"\n")
            number = _parse_number(id_line)
        if not block.startswith(_DATA):
            return []
        if number is not None and self.numbered:
            return self._parse_numbered(number, block)
        return [] if self.is_done else self._parse_event(block)

    def _parse_numbered(self, number: int, block: bytes) -> list[AnswerEvent]:
        if number <= self.last_number:
            return []
        if number > self.last_number + 1:
            if len(self._reordered) >= MAX_REORDERED_EVENTS:
                raise TroutstandError(
                    ResultCode.ANSWER_CUT, f"event {self.last_number + 1} missing"
                )
            self._reordered[number] = block
            return []
        events = self._parse_event(block)
        self.last_number = number
        following = self._reordered.pop(number + 1, None)
        if following is not None:
            events += self._parse_numbered(number + 1, following)
        return events

    def _parse_event(self, block: bytes) -> list[AnswerEvent]:
        if block == _DONE:
            self.is_done = True
            return []
        if self._id_field not in block:
            raise TroutstandError(ResultCode.ANSWER_FOREIGN, "event has a different answer id")
        is_usage = _USAGE in block
        if not is_usage:
            self.token_events += 1
        self.is_finished = self.is_finished or _FINISH in block
        return [AnswerEvent(block[len(_DATA) :], is_usage)]


def _parse_number(id_line: bytes) -> int:
    digits = id_line[len(_ID) :]
    if not digits.isdigit():
        raise TroutstandError(ResultCode.TARGET_FAULT, "event id is not a number")
    return int(digits)


def frame_event(data: bytes) -> bytes:
    """Encode an event for the caller."""
    return _DATA + data + _EVENT_END


DONE_EVENT = _DONE + _EVENT_END
