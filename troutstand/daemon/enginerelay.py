"""Read an engine's answer, resume it after an interruption, and assemble it for the caller."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from troutstand.backends.base import Call
from troutstand.backends.engine import EngineBackend, make_completion_id
from troutstand.core.answerstream import AnswerEvent, AnswerStream
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.util.clock import SuspendWatch, read_clock_s

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from troutstand.daemon.callerrequests import EngineRequest

MAX_RESUMES = 3
# A target that sends no event for this long, and for this multiple of the expected time to
# the first token, counts as stalled. One that has sent an event may pause.
MIN_STALL_TIMEOUT_S = 2.0
STALL_TIMEOUT_FACTOR = 8.0
_MS_PER_S = 1000
_JSON_CONTENT_TYPE = "application/json"


class PromptDetails(msgspec.Struct):
    """Hold the number of prompt tokens that the engine served from its cache."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Hold the token counts of an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: PromptDetails | None = None


class UsageEvent(msgspec.Struct):
    """Hold the final event of an answer, which reports the usage."""

    usage: Usage


@dataclass
class Progress:
    """Track the timing, token usage and resumes of one answer."""

    started_s: float
    first_token_s: float | None = None
    usage: Usage | None = None
    resumes: int = 0
    suspends: SuspendWatch = field(default_factory=SuspendWatch)

    def first_token_ms(self) -> int:
        """Return the time to the first token in milliseconds, or 0 before it."""
        if self.first_token_s is None:
            return 0
        return max(1, int((self.first_token_s - self.started_s) * _MS_PER_S))

    def total_ms(self) -> int:
        """Return the time since the start in milliseconds."""
        return int((read_clock_s() - self.started_s) * _MS_PER_S)


class EngineRelay:
    """Read one answer from one target, and resume it if the target supports that.

    Parameters
    ----------
    expected_first_s
        The expected seconds to the first token; sets the stall timeout.
    is_last
        Whether no other target may be tried after this one.
    """

    def __init__(
        self,
        backend: EngineBackend,
        request: EngineRequest,
        deadline_s: float,
        expected_first_s: float,
        limit_bytes: int,
        is_last: bool = False,
    ) -> None:
        self.progress = Progress(read_clock_s())
        self._backend = backend
        self._request = request
        self._deadline_s = deadline_s
        self._is_last = is_last
        self._stall_timeout_s = max(MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_FACTOR * expected_first_s)
        self.stream = AnswerStream(
            make_completion_id(request.request), backend.row.resumes, limit_bytes
        )

    async def read(self) -> AsyncIterator[list[AnswerEvent]]:
        """Yield the answer's events in batches, as they arrive.

        Raises
        ------
        TroutstandError
            If the answer is not received completely.
        """
        while not self.stream.is_complete:
            try:
                async for batch in self._read_attempt():
                    yield batch
                if not self.stream.is_complete:
                    raise TroutstandError(
                        ResultCode.ANSWER_CUT,
                        f"the stream ended after event {self.stream.last_number}",
                        Run.UNKNOWN,
                    )
            except TroutstandError as error:
                if not self._may_resume(error):
                    raise self._convert_if_begun(error) from error
                self.progress.resumes += 1
                self.stream.resume()

    def _convert_if_begun(self, error: TroutstandError) -> TroutstandError:
        """Return ANSWER_CUT for an unreachable target that sent part of the answer before.

        TARGET_UNREACHABLE would mean that the request never ran.
        """
        if error.code is not ResultCode.TARGET_UNREACHABLE or self.stream.last_number < 0:
            return error
        return TroutstandError(ResultCode.ANSWER_CUT, error.detail, Run.UNKNOWN)

    def _may_resume(self, error: TroutstandError) -> bool:
        if not self._backend.row.resumes or self.stream.last_number < 0:
            return False
        if error.code not in (ResultCode.ANSWER_CUT, ResultCode.TARGET_UNREACHABLE):
            return False
        return self.progress.resumes < MAX_RESUMES

    async def _read_attempt(self) -> AsyncIterator[list[AnswerEvent]]:
        source = self._backend.stream(self._make_call())
        try:
            while True:
                try:
                    async with asyncio.timeout(self._get_stall_timeout_s()):
                        data = await anext(source)
                except StopAsyncIteration:
                    return
                except TimeoutError as error:
                    raise TroutstandError(
                        ResultCode.TARGET_TIMEOUT,
                        f"{self._backend.row.name} sent nothing for {self._stall_timeout_s:.1f} s",
                        Run.UNKNOWN,
                    ) from error
                events = self.stream.feed(data)
                if events:
                    yield self._record_events(events)
                if self.stream.is_complete:
                    return
        finally:
            await source.aclose()  # pyright: ignore[reportAttributeAccessIssue]

    def _get_stall_timeout_s(self) -> float | None:
        """Return after which silence another target is tried; None if the answer is awaited."""
        has_begun = self.progress.first_token_s is not None
        return None if has_begun or self._is_last else self._stall_timeout_s

    def _record_events(self, events: list[AnswerEvent]) -> list[AnswerEvent]:
        if self.progress.first_token_s is None:
            self.progress.first_token_s = read_clock_s()
        if events[-1].is_usage:
            try:
                decoded = msgspec.json.decode(events[-1].data, type=UsageEvent)
            except (ValueError, RecursionError) as error:
                raise TroutstandError(ResultCode.TARGET_FAULT, str(error), Run.UNKNOWN) from error
            self.progress.usage = decoded.usage
        return events

    def _make_call(self) -> Call:
        remaining_s = max(0.05, self._deadline_s - read_clock_s())
        last_number = self.stream.last_number
        return Call(
            request=self._request.request,
            method="POST",
            path=self._request.path,
            body=self._request.body,
            content_type=_JSON_CONTENT_TYPE,
            priority=self._request.caller.tier.rank,
            timeout_s=remaining_s,
            resume_after=last_number if last_number >= 0 else None,
        )


class Delta(msgspec.Struct):
    """Hold the next part of a chat answer."""

    content: str | None = None


class Choice(msgspec.Struct):
    """Hold one choice of an event."""

    delta: Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class ChunkBody(msgspec.Struct):
    """Hold one event of an answer."""

    id: str
    created: int = 0
    model: str = ""
    choices: list[Choice] = []


class AssembledMessage(msgspec.Struct):
    """Hold the message of a complete chat answer."""

    content: str
    role: str = "assistant"


class AssembledChoice(msgspec.Struct, omit_defaults=True):
    """Hold the only choice of a complete answer."""

    finish_reason: str
    index: int | None = None
    message: AssembledMessage | None = None
    text: str | None = None


class AssembledBody(msgspec.Struct):
    """Hold a complete answer for a caller that did not request a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: list[AssembledChoice]
    usage: Usage


def assemble_answer(events: list[AnswerEvent], is_chat: bool, usage: Usage | None) -> bytes:
    """Assemble the events of a complete answer into one response body.

    Raises
    ------
    TroutstandError
        TARGET_FAULT if an event is malformed.
    """
    try:
        chunks = [msgspec.json.decode(e.data, type=ChunkBody) for e in events if not e.is_usage]
    except (ValueError, RecursionError) as error:
        raise TroutstandError(ResultCode.TARGET_FAULT, str(error), Run.UNKNOWN) from error
    choices = [choice for chunk in chunks for choice in chunk.choices]
    if is_chat:
        text = "".join(c.delta.content or "" for c in choices if c.delta)
    else:
        text = "".join(c.text or "" for c in choices)
    finish_reason = next((c.finish_reason for c in reversed(choices) if c.finish_reason), "stop")
    if is_chat:
        choice = AssembledChoice(finish_reason, 0, AssembledMessage(text))
    else:
        choice = AssembledChoice(finish_reason, 0, text=text)
    object_type = "chat.completion" if is_chat else "text_completion"
    first = chunks[0]
    body = AssembledBody(
        first.id, object_type, first.created, first.model, [choice], usage or Usage()
    )
    return msgspec.json.encode(body)
