"""Handle one call: place it, send it to targets, and relay the response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.core.paths import Reach
from troutstand.generated.configuration import RouteKind
from troutstand.generated.messages import Declined, Ended, Ending, Placed
from troutstand.routing.attempthistory import AttemptHistory
from troutstand.routing.callerresponse import CallerResponse
from troutstand.routing.calls import add_resume_header
from troutstand.routing.errorresponse import make_error_response
from troutstand.routing.eventstreams import EventBoundaryTracker, EventSplitter
from troutstand.routing.httpclient import ExchangeError
from troutstand.routing.overdueattempt import OverdueAttempt
from troutstand.routing.relay import SendError, SentRequest, filter_headers
from troutstand.util.clock import MIN_SUSPEND_S, SuspendWatch, read_clock_s

if TYPE_CHECKING:
    from troutstand.routing.calls import Call
    from troutstand.routing.gateway import Gateway
    from troutstand.routing.relay import OutgoingRequest

_EVENT_STREAM = "text/event-stream"
_MIN_SERVER_ERROR_STATUS = 500
_RETRY_AFTER_S = 0.1
_MIN_RESPONSE_TIMEOUT_S = 0.2
_STREAM_TIMEOUT_FACTOR = 1.5
_MIN_EVENT_TIMEOUT_S = 0.5
_EVENT_TIMEOUT_FACTOR = 3.0
# Endings that may be the fault of the target or of the path to it.
_LOSSES = frozenset({Ending.unsent, Ending.broken, Ending.silent})
_DROPPED_HEADERS = frozenset({"date", "server"})


class CallHandler:
    """Run the attempts of one call and respond to its caller."""

    def __init__(
        self, gateway: Gateway, request: web.BaseRequest, call: Call, outgoing: OutgoingRequest
    ) -> None:
        self._gateway = gateway
        self._request = request
        self._caller_response = CallerResponse(request)
        self._call = call
        self._outgoing = outgoing
        self._attempts = AttemptHistory(call.route.attempts, call.is_repeatable)
        self._overdue: OverdueAttempt | None = None
        self._was_placed = False
        self._last_error_response: web.Response | None = None
        self._first_byte_s = -1.0
        self._splitter: EventSplitter | None = None
        self._event_count = 0
        self._waited_ms = 0.0
        self._longest_pause_s = 0.0
        self._suspend_watch = SuspendWatch()
        # When the attempt started or its target last sent data, on the steady clock.
        self._heard_s = 0.0
        # How the last failed attempt ended, and how long its target had been silent by then.
        self._last_ending: Ending | None = None
        self._last_silence_ms = 0.0

    async def run(self) -> web.StreamResponse:
        """Return the response, at the latest at the deadline of the request."""
        call = self._call
        remaining_s = call.deadline_s - read_clock_s()
        try:
            async with asyncio.timeout(remaining_s):
                response = await self._attempt_all()
        except TimeoutError:
            response = self._refuse_expired()
        except asyncio.CancelledError:
            self._log_cancelled()
            raise
        return response

    def _log_cancelled(self) -> None:
        """Log whether the caller disconnected or a planned stop aborted the request."""
        if self._gateway.is_aborting:
            self._emit("request_cut", ResultCode.DRAINING, 0)
        else:
            self._emit("request_left", ResultCode.OK, 0)

    # Attempts

    async def _attempt_all(self) -> web.StreamResponse:
        try:
            while True:
                placed = await self._choose_attempt()
                if isinstance(placed, Declined):
                    return self._refuse_declined(placed)
                try:
                    return await self._attempt(placed)
                except SendError as error:
                    self._record_failure(placed, error)
                    if not self._should_retry(error):
                        return self._refuse_failed(error)
        finally:
            self._abort_overdue()

    async def _choose_attempt(self) -> Placed | Declined:
        """Return a new placement, or that of the overdue attempt if no other target is found."""
        overdue = self._overdue
        if overdue is None:
            return await self._place()
        placing = asyncio.create_task(self._place())
        try:
            await overdue.wait_for_either(placing)
        finally:
            placing.cancel()
        await asyncio.wait({placing})
        if placing.cancelled():
            return overdue.placed
        decision = placing.result()
        if isinstance(decision, Placed):
            if not overdue.has_response and decision.target != overdue.placed.target:
                return decision
            self._gateway.placement.finish(Ended(self._call.request, decision.target, Ending.left))
        return overdue.placed

    async def _place(self) -> Placed | Declined:
        work = self._call.create_work(
            read_clock_s(),
            self._attempts.arrived_count + 1,
            self._attempts.excluded,
            self._gateway.settings.failure_domain,
            self._caller_response.has_started,
        )
        decision = await self._gateway.placement.place(work)
        if isinstance(decision, Placed):
            self._was_placed = True
            self._waited_ms += decision.waited_ms
            waited_s = decision.waited_ms / 1000.0
            self._gateway.metrics.wait_s.labels(*self._get_metric_labels()).observe(waited_s)
        return decision

    def _get_metric_labels(self) -> tuple[str, str]:
        return self._call.route.kind.value, str(self._call.route.tier)

    async def _attempt(self, placed: Placed) -> web.StreamResponse:
        overdue = self._take_overdue(placed)
        started_s = read_clock_s() if overdue is None else overdue.started_s
        ending = Ending.left
        failure: SendError | None = None
        ended_s: float | None = None
        self._first_byte_s = -1.0
        self._event_count = 0
        self._suspend_watch = SuspendWatch()
        self._heard_s = started_s
        try:
            response, ending = await self._send_and_relay(placed, overdue)
        except SendError as error:
            ending, failure, ended_s = error.ending, error, read_clock_s()
            await self._find_fault(placed, error)
            raise
        finally:
            total_s = (read_clock_s() if ended_s is None else ended_s) - started_s
            self._report_end(placed, ending, total_s, failure)
        return response

    async def _find_fault(self, placed: Placed, error: SendError) -> None:
        """Find out whether the target has ended or this gateway has lost its path to it."""
        if error.ending not in _LOSSES:
            return
        sender = self._gateway.sender
        if error.ending is Ending.broken and not error.is_target_gone:
            error.is_target_gone = await sender.check(placed.address) is Reach.REFUSED
        error.is_path_lost = not error.is_target_gone and sender.is_path_lost(placed.address)

    def _report_end(
        self, placed: Placed, ending: Ending, total_s: float, failure: SendError | None
    ) -> None:
        # Times that include a suspend of this host are not reported.
        is_measured = self._suspend_watch.pop_suspended_s() < MIN_SUSPEND_S
        ended = Ended(
            self._call.request,
            placed.target,
            ending,
            first_s=self._first_byte_s if is_measured else -1.0,
            total_s=total_s if is_measured else -1.0,
            longest_pause_s=self._longest_pause_s,
            produced_events=self._event_count,
            is_target_gone=failure is not None and failure.is_target_gone,
            is_path_lost=failure is not None and failure.is_path_lost,
        )
        if ending is Ending.broken:
            ended = self._call.identify_broken(ended)
        self._gateway.metrics.endings.labels(ending.value).inc()
        if ending is Ending.silent and self._gateway.sender.is_checking(placed.address):
            # Another target is tried without waiting for the check.
            self._gateway.node.spawn(self._report_after_check(placed, ended), "report silence")
        else:
            self._gateway.placement.finish(ended)

    async def _report_after_check(self, placed: Placed, ended: Ended) -> None:
        sender = self._gateway.sender
        await sender.check(placed.address)
        is_path_lost = sender.is_path_lost(placed.address)
        self._gateway.placement.finish(msgspec.structs.replace(ended, is_path_lost=is_path_lost))

    async def _send_and_relay(
        self, placed: Placed, overdue: OverdueAttempt | None
    ) -> tuple[web.StreamResponse, Ending]:
        sent = await (self._send(placed) if overdue is None else overdue.receive())
        if self._caller_response.has_started and not self._continues_response(sent):
            # The caller already has a response head, so only events can follow; another
            # response would appear with its own head between the events.
            sent.connection.abort()
            raise SendError(
                Ending.failed, "the response does not continue the event stream", sent.head.status
            )
        if _is_stream(sent):
            return await self._stream(sent)
        self._record_first_byte(sent, sent.first_s)
        body = await self._gateway.sender.read_body(sent)
        response = self._make_full_response(sent, body)
        if sent.head.status >= _MIN_SERVER_ERROR_STATUS:
            if self._can_fail_over():
                self._last_error_response = response
                raise SendError(
                    Ending.failed, "the target responded with a server error", sent.head.status
                )
            return self._record_answered(response, sent), Ending.failed
        return self._record_answered(response, sent), Ending.whole

    def _continues_response(self, sent: SentRequest) -> bool:
        """Return whether a response can continue the one that the caller is receiving."""
        return _is_stream(sent) and sent.head.status == self._caller_response.response.status

    def _can_fail_over(self) -> bool:
        return self._attempts.can_repeat_after_next and self._can_resume

    @property
    def _can_resume(self) -> bool:
        """Return whether another target can continue the response.

        A started response can only be resumed after an event with a known id; otherwise
        events would be repeated.
        """
        if not self._caller_response.has_started:
            return True
        splitter = self._splitter
        return splitter is not None and splitter.can_resume and bool(splitter.last_id)

    async def _send(self, placed: Placed) -> SentRequest:
        outgoing = self._outgoing
        if self._splitter is not None:
            outgoing = add_resume_header(
                outgoing, self._gateway.dialect.headers, self._splitter.last_id
            )
        send = self._gateway.sender.send(outgoing, placed, self._call.deadline_s)
        if not self._can_fail_over():
            return await send
        timeout_s = self._compute_response_timeout()
        attempt = OverdueAttempt(placed, asyncio.create_task(send), read_clock_s(), timeout_s)
        sent = await attempt.wait_until_overdue()
        if sent is not None:
            return sent
        self._overdue = attempt
        raise SendError(Ending.silent, "the target sent no response in time; another can be tried")

    def _take_overdue(self, placed: Placed) -> OverdueAttempt | None:
        """Return the overdue attempt if it has this placement; abort it otherwise."""
        overdue = self._overdue
        if overdue is None or overdue.placed is not placed:
            self._abort_overdue()
            return None
        self._overdue = None
        return overdue

    def _abort_overdue(self) -> None:
        if self._overdue is not None:
            self._overdue.abort()
            self._overdue = None

    def _compute_response_timeout(self) -> float:
        """Return the seconds to wait for a response before another target is tried."""
        objective_s = self._call.objective_s
        if self._call.route.kind is RouteKind.streaming:
            objective_s *= _STREAM_TIMEOUT_FACTOR
        return max(_MIN_RESPONSE_TIMEOUT_S, objective_s)

    def _record_first_byte(self, sent: SentRequest, first_s: float) -> None:
        self._first_byte_s = first_s
        is_measured = self._suspend_watch.peek_suspended_s() < MIN_SUSPEND_S
        reported_s = first_s if is_measured else -1.0
        self._gateway.placement.record_first_byte(self._call.request, reported_s)

    def _record_failure(self, placed: Placed, error: SendError) -> None:
        self._attempts.record_failure(placed, error)
        self._last_ending = error.ending
        self._last_silence_ms = (read_clock_s() - self._heard_s) * 1000.0
        self._gateway.node.events.emit(
            "attempt_failed",
            self._call.request,
            target=placed.target,
            address=placed.address,
            ending=error.ending.value,
            detail=error.detail,
            status=error.status,
            target_gone=error.is_target_gone,
            path_lost=error.is_path_lost,
            resent=error.was_resent,
            rest_s=error.notice.rest_s or None,
            leaving=error.notice.is_leaving or None,
            limit_per_s=error.notice.limit_per_s,
            fingerprint=self._call.fingerprint,
            parts="+".join(self._call.shared_parts) or None,
            begun_ms=self._get_response_start_ms(),
            arrivals=self._attempts.arrived_count,
            silent_ms=self._last_silence_ms,
        )

    def _should_retry(self, error: SendError) -> bool:
        can_continue = self._attempts.can_repeat and self._can_resume
        if self._caller_response.has_started and not can_continue:
            return False
        return self._attempts.allows_retry(error)

    # Responses

    def _make_headers(self, sent: SentRequest) -> CIMultiDict[str]:
        passed_headers = filter_headers(sent.head.headers, _DROPPED_HEADERS)
        return CIMultiDict(passed_headers)

    def _make_full_response(self, sent: SentRequest, body: bytes) -> web.Response:
        return web.Response(status=sent.head.status, headers=self._make_headers(sent), body=body)

    def _record_answered(
        self, response: web.StreamResponse, sent: SentRequest
    ) -> web.StreamResponse:
        first_s = read_clock_s() - self._call.arrived_s
        self._gateway.metrics.first_byte_s.labels(*self._get_metric_labels()).observe(first_s)
        self._emit(
            "request_answered",
            ResultCode.OK,
            response.status,
            target=sent.placed.target,
            **({"via": sent.connection.peer} if sent.connection.peer else {}),
        )
        return response

    async def _stream(self, sent: SentRequest) -> tuple[web.StreamResponse, Ending]:
        splitter = self._start_splitter()
        boundary = EventBoundaryTracker()
        has_data = False
        chunks = sent.connection.receive_chunks()
        try:
            while True:
                waiting_since_s = read_clock_s()
                chunk = await self._next_chunk(chunks)
                self._heard_s = read_clock_s()
                if chunk is None:
                    break
                if has_data:
                    pause_s = read_clock_s() - waiting_since_s
                    self._longest_pause_s = max(self._longest_pause_s, pause_s)
                if not has_data:
                    has_data = True
                    self._record_first_byte(sent, read_clock_s() - sent.started_s)
                self._event_count += chunk.count(b"\n\n")
                boundary.feed(chunk)
                data = splitter.feed(chunk) if splitter else chunk
                if data:
                    await self._write_body(sent, data)
            if not sent.connection.is_framed and not boundary.is_between_events:
                raise SendError(Ending.broken, "the connection closed within an event")
            if splitter:
                remainder = splitter.take_remainder()
                if remainder:
                    await self._write_body(sent, remainder)
            await self._start_response(sent)
            await self._caller_response.complete()
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
        return self._record_answered(self._caller_response.response, sent), Ending.whole

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
        if not self._can_fail_over():
            return await pending
        pause_s = self._call.route.pause_ms / 1000.0
        timeout_s = max(_MIN_EVENT_TIMEOUT_S, _EVENT_TIMEOUT_FACTOR * pause_s)
        try:
            async with asyncio.timeout(timeout_s):
                return await pending
        except TimeoutError as error:
            raise SendError(Ending.silent, "the target sent no data in time") from error

    async def _start_response(self, sent: SentRequest) -> None:
        """Write the response head unless it is already written."""
        if self._caller_response.has_started:
            return
        headers = self._make_headers(sent)
        await self._caller_response.start(sent.head.status, headers, self._gateway.is_stopping)

    async def _write_body(self, sent: SentRequest, data: bytes) -> None:
        await self._start_response(sent)
        await self._caller_response.write(data)

    # Refusals

    def _refuse_declined(self, declined: Declined) -> web.StreamResponse:
        if self._caller_response.has_started:
            return self._abort_response(ResultCode(declined.code), declined.reason)
        if self._last_error_response is not None:
            self._emit(
                "request_answered", ResultCode.TARGET_FAULT, self._last_error_response.status
            )
            return self._last_error_response
        if self._attempts.may_have_run and not self._call.is_repeatable:
            return self._refuse(ResultCode.TARGET_UNREACHABLE, declined.reason, None)
        if self._attempts.may_have_run:
            # The code of the declined placement would state that the request has not run.
            reason = f"{declined.reason}, after an attempt that may have run"
            return self._refuse(ResultCode.ANSWER_CUT, reason, declined.retry_after_s)
        return self._refuse(ResultCode(declined.code), declined.reason, declined.retry_after_s)

    def _refuse_failed(self, error: SendError) -> web.StreamResponse:
        if self._caller_response.has_started:
            return self._abort_response(ResultCode.ANSWER_CUT, error.detail)
        if self._last_error_response is not None:
            self._emit(
                "request_answered", ResultCode.TARGET_FAULT, self._last_error_response.status
            )
            return self._last_error_response
        if not self._attempts.may_have_run:
            return self._refuse(ResultCode.NO_TARGET, error.detail, _RETRY_AFTER_S)
        return self._refuse(ResultCode.ANSWER_CUT, error.detail, None)

    def _refuse_expired(self) -> web.StreamResponse:
        if self._caller_response.has_started:
            return self._abort_response(
                ResultCode.TARGET_TIMEOUT, "the request reached its deadline"
            )
        if self._was_placed:
            # The target may still be processing the request.
            self._attempts.may_have_run = True
            return self._refuse(ResultCode.TARGET_TIMEOUT, "the request reached its deadline", None)
        return self._refuse(
            ResultCode.SHED_DEADLINE,
            "no target became available before the deadline",
            _RETRY_AFTER_S,
        )

    def _refuse(
        self, code: ResultCode, detail: str, retry_after_s: float | None
    ) -> web.StreamResponse:
        run = Run.UNKNOWN if self._attempts.may_have_run else Run.NO
        response = make_error_response(TroutstandError(code, detail, run, retry_after_s))
        self._emit("request_refused", code, response.status, detail=detail)
        return response

    def _abort_response(self, code: ResultCode, detail: str) -> web.StreamResponse:
        """Abort a response that cannot be completed; log why no other target continues it."""
        response = self._caller_response.abort()
        ended_by = self._last_ending.value if self._last_ending is not None else ""
        silent_ms = f"{self._last_silence_ms:g}"
        self._emit(
            "stream_broken_off",
            code,
            response.status,
            ended_by=ended_by,
            silent_ms=silent_ms,
            detail=detail,
        )
        return response

    def _get_response_start_ms(self) -> float | None:
        """Return the milliseconds from arrival to the start of the response, if it started."""
        started_s = self._caller_response.started_s
        return None if started_s is None else (started_s - self._call.arrived_s) * 1000.0

    def _emit(self, name: str, code: ResultCode, status: int, **fields: str) -> None:
        call = self._call
        now_s = read_clock_s()
        self._gateway.metrics.responses.labels(*self._get_metric_labels(), str(int(code))).inc()
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
            first_ms=self._first_byte_s * 1000.0 if self._first_byte_s >= 0 else None,
            pause_ms=self._longest_pause_s * 1000.0 if self._longest_pause_s else None,
            begun_ms=self._get_response_start_ms(),
            arrivals=self._attempts.arrived_count,
            decider=self._gateway.placement.decider,
            fingerprint=call.fingerprint,
            **fields,
        )


def _is_stream(sent: SentRequest) -> bool:
    content_type = (sent.head.get("content-type") or "").lower()
    return sent.is_success and sent.head.has_body and content_type.startswith(_EVENT_STREAM)
