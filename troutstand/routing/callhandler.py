"""Take one request from its arrival to its answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import CIMultiDict

from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.generated.configuration import RouteKind
from troutstand.generated.messages import Declined, Ended, Ending, Placed
from troutstand.routing.callerresponse import CallerResponse
from troutstand.routing.calls import add_resume_header
from troutstand.routing.errorresponse import make_error_response
from troutstand.routing.eventstreams import EventBoundaryTracker, EventSplitter
from troutstand.routing.httpclient import ExchangeError
from troutstand.routing.relay import SendError, SentRequest, filter_headers
from troutstand.util.clock import MIN_SUSPEND_S, SuspendWatch, read_clock_s

if TYPE_CHECKING:
    from troutstand.routing.calls import Call
    from troutstand.routing.gateway import Gateway
    from troutstand.routing.relay import OutgoingRequest

_EVENT_STREAM = "text/event-stream"
_FIRST_SERVER_FAULT = 500
_RETRY_SOON_S = 0.1
_MAX_UNSENT = 4
_MIN_SILENCE_S = 0.2
_STREAM_SILENCE = 1.5
_MIN_PAUSE_S = 0.5
_PAUSE_FACTOR = 3.0
_KEPT_BACK = frozenset({"date", "server"})


class CallHandler:
    """Hold one request's attempts and outcome."""

    def __init__(
        self, gateway: Gateway, request: web.BaseRequest, call: Call, outgoing: OutgoingRequest
    ) -> None:
        self._gateway = gateway
        self._request = request
        self._answer = CallerResponse(request)
        self._call = call
        self._outgoing = outgoing
        self._arrivals = 0
        self._unsent = 0
        self._excluded: list[str] = []
        self._has_placed = False
        self._may_have_run = False
        self._last_fault: web.Response | None = None
        self._first_s = -1.0
        self._splitter: EventSplitter | None = None
        self._produced = 0
        self._waited_ms = 0.0
        self._longest_pause_s = 0.0
        self._suspends = SuspendWatch()

    @property
    def _can_repeat(self) -> bool:
        return self._call.is_repeatable and self._arrivals < self._call.route.attempts

    async def run(self) -> web.StreamResponse:
        """Return the answer, at the latest when the request's time is up."""
        call = self._call
        left_s = call.deadline_s - read_clock_s()
        try:
            async with asyncio.timeout(left_s):
                response = await self._attempt_all()
        except TimeoutError:
            response = self._refuse_late()
        except asyncio.CancelledError:
            self._note_cancelled()
            raise
        return response

    def _note_cancelled(self) -> None:
        """Log who ended the request: its caller, or the end of a planned stop."""
        if self._gateway.is_aborting:
            self._emit("request_cut", ResultCode.DRAINING, 0)
        else:
            self._emit("request_left", ResultCode.OK, 0)

    # Attempts

    async def _attempt_all(self) -> web.StreamResponse:
        while True:
            placed = await self._place()
            if isinstance(placed, Declined):
                return self._refuse_declined(placed)
            try:
                return await self._attempt(placed)
            except SendError as error:
                self._note_failure(placed, error)
                if not self._should_try_again(error):
                    return self._refuse_failed(error)

    async def _place(self) -> Placed | Declined:
        work = self._call.create_work(
            read_clock_s(),
            self._arrivals + 1,
            self._excluded,
            not self._has_placed,
            self._gateway.settings.failure_domain,
            self._answer.has_started,
        )
        answer = await self._gateway.placement.place(work)
        if isinstance(answer, Placed):
            self._has_placed = True
            self._waited_ms += answer.waited_ms
            waited_s = answer.waited_ms / 1000.0
            self._gateway.metrics.waited_s.labels(*self._labels()).observe(waited_s)
        return answer

    def _labels(self) -> tuple[str, str]:
        return self._call.route.kind.value, str(self._call.route.tier)

    async def _attempt(self, placed: Placed) -> web.StreamResponse:
        started_s = read_clock_s()
        ending = Ending.left
        is_gone = False
        self._first_s = -1.0
        self._produced = 0
        self._suspends = SuspendWatch()
        try:
            response, ending = await self._exchange(placed)
        except SendError as error:
            ending = error.ending
            if ending is Ending.broken and not error.is_target_gone:
                error.is_target_gone = await self._gateway.sender.is_gone(placed.address)
            is_gone = error.is_target_gone
            raise
        finally:
            self._end(placed, ending, started_s, is_gone)
        return response

    def _end(self, placed: Placed, ending: Ending, started_s: float, is_gone: bool) -> None:
        # What was measured while this host was suspended says nothing of the target.
        is_measured = self._suspends.pop_suspended_s() < MIN_SUSPEND_S
        ended = Ended(
            self._call.request,
            placed.target,
            ending,
            first_s=self._first_s if is_measured else -1.0,
            total_s=read_clock_s() - started_s if is_measured else -1.0,
            longest_pause_s=self._longest_pause_s,
            produced_events=self._produced,
            is_target_gone=is_gone,
            fingerprint=self._call.fingerprint if ending is Ending.broken else "",
        )
        self._gateway.placement.finish(ended)
        self._gateway.metrics.endings.labels(ending.value).inc()

    async def _exchange(self, placed: Placed) -> tuple[web.StreamResponse, Ending]:
        sent = await self._send(placed)
        if self._answer.has_started and not self._fits_begun(sent):
            # Passed on, this answer would stand with a head of its own amid the events that
            # the caller reads: 1 of 13 broken attempts where engines fail a third of their
            # requests (counted in the logs). The stream goes on at another target or is
            # broken off.
            sent.connection.abort()
            raise SendError(Ending.failed, "no events that go on with a stream", sent.head.status)
        if _is_stream(sent):
            return await self._stream(sent)
        self._note_first(sent, sent.first_s)
        body = await self._gateway.sender.read_body(sent)
        response = self._make_whole(sent, body)
        if sent.head.status >= _FIRST_SERVER_FAULT:
            if self._can_try_another():
                self._last_fault = response
                raise SendError(Ending.failed, "a fault of the target's own", sent.head.status)
            return self._finish(response, sent), Ending.failed
        return self._finish(response, sent), Ending.whole

    def _fits_begun(self, sent: SentRequest) -> bool:
        """Tell whether an answer may follow what the caller has of the one that has begun."""
        return _is_stream(sent) and sent.head.status == self._answer.response.status

    def _can_try_another(self) -> bool:
        has_attempts = self._arrivals + 1 < self._call.route.attempts
        return self._call.is_repeatable and has_attempts and self._can_be_continued

    @property
    def _can_be_continued(self) -> bool:
        """Tell whether another target can add to what the caller has.

        Once an answer has begun, only events behind one whose id is known can: all else
        would come twice.
        """
        if not self._answer.has_started:
            return True
        splitter = self._splitter
        return splitter is not None and splitter.can_resume and bool(splitter.last_id)

    async def _send(self, placed: Placed) -> SentRequest:
        outgoing = self._outgoing
        if self._splitter is not None:
            outgoing = add_resume_header(
                outgoing, self._gateway.dialect.headers, self._splitter.last_id
            )
        sending = self._gateway.sender.send(outgoing, placed, self._call.deadline_s)
        if not self._can_try_another():
            return await sending
        try:
            async with asyncio.timeout(self._measure_silence()):
                return await sending
        except TimeoutError as error:
            raise SendError(Ending.silent, "no answer in time, another target may") from error

    def _measure_silence(self) -> float:
        """Return how long a target may be silent while another could be tried."""
        objective_s = self._call.objective_s
        if self._call.route.kind is RouteKind.streaming:
            objective_s *= _STREAM_SILENCE
        return max(_MIN_SILENCE_S, objective_s)

    def _note_first(self, sent: SentRequest, first_s: float) -> None:
        self._first_s = first_s
        is_measured = self._suspends.peek_suspended_s() < MIN_SUSPEND_S
        told_s = first_s if is_measured else -1.0
        self._gateway.placement.record_first_byte(self._call.request, told_s)

    def _note_failure(self, placed: Placed, error: SendError) -> None:
        if error.may_have_arrived:
            self._arrivals += 1
        else:
            self._unsent += 1
        self._may_have_run = self._may_have_run or error.may_have_run
        self._excluded = [*self._excluded, placed.target][-16:]
        self._gateway.node.events.emit(
            "attempt_failed",
            self._call.request,
            target=placed.target,
            address=placed.address,
            ending=error.ending.value,
            detail=error.detail,
            status=error.status,
            target_gone=error.is_target_gone,
            resent=error.was_resent,
            rest_s=error.notice.rest_s or None,
            leaving=error.notice.is_leaving or None,
            limit_per_s=error.notice.limit_per_s,
            fingerprint=self._call.fingerprint,
            begun_ms=self._measure_begun(),
            arrivals=self._arrivals,
        )

    def _should_try_again(self, error: SendError) -> bool:
        if self._answer.has_started and not (self._can_repeat and self._can_be_continued):
            return False
        if not error.may_have_arrived:
            return self._unsent <= _MAX_UNSENT
        if not error.may_have_run and not self._may_have_run:
            return self._arrivals < self._call.route.attempts
        return self._can_repeat

    # Answers

    def _make_headers(self, sent: SentRequest) -> CIMultiDict[str]:
        kept = filter_headers(sent.head.headers, _KEPT_BACK)
        return CIMultiDict(kept)

    def _make_whole(self, sent: SentRequest, body: bytes) -> web.Response:
        return web.Response(status=sent.head.status, headers=self._make_headers(sent), body=body)

    def _finish(self, response: web.StreamResponse, sent: SentRequest) -> web.StreamResponse:
        first_s = read_clock_s() - self._call.arrived_s
        self._gateway.metrics.first_s.labels(*self._labels()).observe(first_s)
        self._emit("request_answered", ResultCode.OK, response.status, target=sent.placed.target)
        return response

    async def _stream(self, sent: SentRequest) -> tuple[web.StreamResponse, Ending]:
        splitter = self._start_splitter()
        end = EventBoundaryTracker()
        began = False
        chunks = sent.connection.receive_chunks()
        try:
            while True:
                asked_s = read_clock_s()
                chunk = await self._next_chunk(chunks)
                if chunk is None:
                    break
                if began:
                    pause_s = read_clock_s() - asked_s
                    self._longest_pause_s = max(self._longest_pause_s, pause_s)
                if not began:
                    began = True
                    self._note_first(sent, read_clock_s() - sent.started_s)
                self._produced += chunk.count(b"\n\n")
                end.feed(chunk)
                data = splitter.feed(chunk) if splitter else chunk
                if data:
                    await self._write(sent, data)
            if not sent.connection.is_framed and not end.is_between_events:
                raise SendError(Ending.broken, "the connection ended within an event")
            if splitter:
                rest = splitter.take_rest()
                if rest:
                    await self._write(sent, rest)
            await self._begin(sent)
            await self._answer.complete()
        except (ExchangeError, SendError) as error:
            sent.connection.abort()
            if splitter:
                splitter.drop_partial()
            ending = error.ending if isinstance(error, SendError) else Ending.broken
            raise SendError(ending, str(error)) from error
        except BaseException:
            sent.connection.abort()
            raise
        self._gateway.sender.release(sent)
        return self._finish(self._answer.response, sent), Ending.whole

    def _start_splitter(self) -> EventSplitter | None:
        if not self._call.route.resumable:
            return None
        if self._splitter is None:
            names = self._gateway.dialect.headers
            self._splitter = EventSplitter(self._request.headers.get(names.resume, ""))
        self._splitter.resume()
        return self._splitter

    async def _next_chunk(self, chunks) -> bytes | None:  # type: ignore[no-untyped-def]
        pending = anext(chunks, None)
        if not self._can_try_another():
            return await pending
        pause_s = self._call.route.pause_ms / 1000.0
        limit_s = max(_MIN_PAUSE_S, _PAUSE_FACTOR * pause_s)
        try:
            async with asyncio.timeout(limit_s):
                return await pending
        except TimeoutError as error:
            raise SendError(Ending.silent, "the stream stands still") from error

    async def _begin(self, sent: SentRequest) -> None:
        """Write the head, once; a target that goes on with the stream adds none."""
        if self._answer.has_started:
            return
        headers = self._make_headers(sent)
        await self._answer.start(sent.head.status, headers, self._gateway.is_stopping)

    async def _write(self, sent: SentRequest, data: bytes) -> None:
        await self._begin(sent)
        await self._answer.write(data)

    # Refusals

    def _refuse_declined(self, declined: Declined) -> web.StreamResponse:
        if self._answer.has_started:
            return self._break_off(ResultCode(declined.code), declined.reason)
        if self._last_fault is not None:
            self._emit("request_answered", ResultCode.TARGET_FAULT, self._last_fault.status)
            return self._last_fault
        if self._may_have_run and not self._call.is_repeatable:
            return self._refuse(ResultCode.TARGET_UNREACHABLE, declined.reason, None)
        if self._may_have_run:
            # A refusal for want of a target says that the request has not run.
            reason = f"{declined.reason}, after an attempt"
            return self._refuse(ResultCode.ANSWER_CUT, reason, declined.retry_after_s)
        return self._refuse(ResultCode(declined.code), declined.reason, declined.retry_after_s)

    def _refuse_failed(self, error: SendError) -> web.StreamResponse:
        if self._answer.has_started:
            return self._break_off(ResultCode.ANSWER_CUT, error.detail)
        if self._last_fault is not None:
            self._emit("request_answered", ResultCode.TARGET_FAULT, self._last_fault.status)
            return self._last_fault
        if not self._may_have_run:
            return self._refuse(ResultCode.NO_TARGET, error.detail, _RETRY_SOON_S)
        return self._refuse(ResultCode.ANSWER_CUT, error.detail, None)

    def _refuse_late(self) -> web.StreamResponse:
        if self._answer.has_started:
            return self._break_off(ResultCode.TARGET_TIMEOUT, "the request's time is up")
        if self._has_placed:
            # Its target may work on it now.
            self._may_have_run = True
            return self._refuse(ResultCode.TARGET_TIMEOUT, "the request's time is up", None)
        return self._refuse(ResultCode.SHED_DEADLINE, "no target in time", _RETRY_SOON_S)

    def _refuse(
        self, code: ResultCode, detail: str, retry_after_s: float | None
    ) -> web.StreamResponse:
        run = Run.UNKNOWN if self._may_have_run else Run.NO
        response = make_error_response(TroutstandError(code, detail, run, retry_after_s))
        self._emit("request_refused", code, response.status, detail=detail)
        return response

    def _break_off(self, code: ResultCode, detail: str) -> web.StreamResponse:
        """End a stream that cannot be completed."""
        response = self._answer.abort()
        self._emit("stream_broken_off", code, response.status, detail=detail)
        return response

    def _measure_begun(self) -> float | None:
        """Return the milliseconds until the caller got the beginning of its answer."""
        begun_s = self._answer.started_s
        return None if begun_s is None else (begun_s - self._call.arrived_s) * 1000.0

    def _emit(self, name: str, code: ResultCode, status: int, **fields: str) -> None:
        call = self._call
        now_s = read_clock_s()
        self._gateway.metrics.answers.labels(*self._labels(), str(int(code))).inc()
        self._gateway.node.events.emit(
            name,
            call.request,
            code=code,
            status=status,
            tier=call.tiers.placement,
            shed_tier=call.tiers.shed,
            route=call.route.name,
            version=call.version,
            total_ms=(now_s - call.arrived_s) * 1000.0,
            objective_ms=call.objective_s * 1000.0,
            waited_ms=self._waited_ms,
            first_ms=self._first_s * 1000.0 if self._first_s >= 0 else None,
            pause_ms=self._longest_pause_s * 1000.0 if self._longest_pause_s else None,
            begun_ms=self._measure_begun(),
            arrivals=self._arrivals,
            decider=self._gateway.placement.decider,
            fingerprint=call.fingerprint,
            **fields,
        )


def _is_stream(sent: SentRequest) -> bool:
    content_type = (sent.head.get("content-type") or "").lower()
    return sent.is_success and sent.head.has_body and content_type.startswith(_EVENT_STREAM)
