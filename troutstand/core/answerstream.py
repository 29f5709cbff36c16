"""Put a streamed answer together: whole, in order, and its caller's own.

Events follow the server-sent events of the WHATWG HTML standard; an engine
that can resume numbers them in the `id` field, and takes `Last-Event-ID`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

_BREAK = b"\n\n"
_DONE = b"data: [DONE]"
_ID = b"id: "
_DATA = b"data: "
_FINISH = b'"finish_reason":"'
_USAGE = b'"usage":{'
# An engine that numbers its events may send this many ahead of a missing one.
MAX_REORDERED_EVENTS = 1024


@dataclass(frozen=True)
class AnswerEvent:
    """Carry one event of an answer."""

    data: bytes
    is_usage: bool


@dataclass
class AnswerStream:
    """Check one answer's events as they come.

    Parameters
    ----------
    answer_id
        The id that every event must carry.
    numbered
        Whether the engine numbers its events from 0.
    """

    answer_id: str
    numbered: bool
    limit_bytes: int
    last_number: int = -1
    is_done: bool = False
    is_finished: bool = False
    token_events: int = 0
    _rest: bytes = b""
    _bytes: int = 0
    _ahead: dict[int, bytes] = field(default_factory=dict)
    _marker: bytes = field(init=False)

    def __post_init__(self) -> None:
        self._marker = b'"id":"' + self.answer_id.encode() + b'"'

    @property
    def is_complete(self) -> bool:
        """Tell whether the answer ended as it should, with nothing missing."""
        return self.is_done and self.is_finished and not self._ahead

    def resume(self) -> None:
        """Begin to read a resumed stream behind the events already taken."""
        self._rest = b""
        self._ahead.clear()
        # A stream that ended with an event missing goes on behind its end.
        self.is_done = False

    def feed(self, data: bytes) -> list[AnswerEvent]:
        """Take bytes and return the events that come next, in order.

        Raises
        ------
        TroutstandError
            ANSWER_FOREIGN for an event of another answer; ANSWER_TOO_LARGE.
        """
        self._bytes += len(data)
        if self._bytes > self.limit_bytes:
            raise TroutstandError(ResultCode.ANSWER_TOO_LARGE, f"over {self.limit_bytes} bytes")
        *blocks, self._rest = (self._rest + data).split(_BREAK)
        events: list[AnswerEvent] = []
        for block in blocks:
            events.extend(self._take_block(block))
        return events

    def _take_block(self, block: bytes) -> list[AnswerEvent]:
        number = None
        if block.startswith(_ID):
            head, _, block = block.partition(b"\n")
            number = _parse_number(head)
        if not block.startswith(_DATA):
            return []
        if number is not None and self.numbered:
            return self._take_numbered(number, block)
        return [] if self.is_done else self._take_event(block)

    def _take_numbered(self, number: int, block: bytes) -> list[AnswerEvent]:
        if number <= self.last_number:
            return []
        if number > self.last_number + 1:
            if len(self._ahead) >= MAX_REORDERED_EVENTS:
                raise TroutstandError(ResultCode.ANSWER_CUT, f"event {self.last_number + 1} lost")
            self._ahead[number] = block
            return []
        events = self._take_event(block)
        self.last_number = number
        following = self._ahead.pop(number + 1, None)
        if following is not None:
            events += self._take_numbered(number + 1, following)
        return events

    def _take_event(self, block: bytes) -> list[AnswerEvent]:
        if block == _DONE:
            self.is_done = True
            return []
        if self._marker not in block:
            raise TroutstandError(ResultCode.ANSWER_FOREIGN, "an event carries another id")
        is_usage = _USAGE in block
        if not is_usage:
            self.token_events += 1
        self.is_finished = self.is_finished or _FINISH in block
        return [AnswerEvent(block[len(_DATA) :], is_usage)]


def _parse_number(head: bytes) -> int:
    digits = head[len(_ID) :]
    if not digits.isdigit():
        raise TroutstandError(ResultCode.TARGET_FAULT, "an event's number is malformed")
    return int(digits)


def frame_event(data: bytes) -> bytes:
    """Frame an event's data for the caller."""
    return _DATA + data + _BREAK


DONE_EVENT = _DONE + _BREAK
