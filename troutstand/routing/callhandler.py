"""Handle one call: relay the response of one of its attempts, or refuse it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import CIMultiDict

from troutstand.core.answerpromises import AnswerKind
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import Ending
from troutstand.routing.callattempts import CallAttempts, PlacementDeclinedError
from troutstand.routing.callerresponse import CallerResponse
from troutstand.routing.errorresponse import make_error_response
from troutstand.routing.eventstreams import MAX_EVENT_BYTES, EventSplitter
from troutstand.routing.relay import SendError, SentRequest, filter_headers
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.generated.messages import Declined
    from troutstand.routing.attempt import Attempt
    from troutstand.routing.bodymemory import HeldBodies
    from troutstand.routing.calls import Call
    from troutstand.routing.gateway import Gateway
    from troutstand.routing.relay import OutgoingRequest

_MIN_ERROR_STATUS = 400
_RETRY_AFTER_S = 0.1
_MIN_EVENT_TIMEOUT_S = 0.5
_EVENT_TIMEOUT_FACTOR = 3.0
_DROPPED_HEADERS = frozenset({"date", "server"})


class TargetSilentError(Exception):
    """Report that a target has sent no data for long in the middle of its response."""


class CallHandler:
    """Relay a response to the caller of one call.

    Parameters
    ----------
    held_bodies
        Counts the bodies of responses until they are written to the caller.
    """

    def __init__(
        self,
        gateway: Gateway,
        request: web.BaseRequest,
        call: Call,
        outgoing: OutgoingRequest,
        held_bodies: HeldBodies,
    ) -> None:
        self._gateway = gateway
        self._call = call
        splitter = None
        if call.route.resumable:
            splitter = EventSplitter(request.headers.get(gateway.dialect.headers.resume, ""))
        self._caller_response = CallerResponse(request, splitter)
        self._held_bodies = held_bodies
        self._attempts = CallAttempts(gateway, call, outgoing, self._caller_response, held_bodies)
        # The attempt whose response was relayed last.
        self._relayed: Attempt | None = None

    async def run(self) -> web.StreamResponse:
        """Return the response, at the latest at the deadline of the request."""
        call = self._call
        if reason := self._gateway.explain_refusal(call):
            return self._refuse(ResultCode.DRAINING, reason, _RETRY_AFTER_S)
        remaining_s = call.deadline_s - read_clock_s()
        try:
            async with asyncio.timeout(remaining_s) as timeout:
                with self._gateway.refuse_on_abort(timeout, self._has_started):
                    response = await self._attempt_all()
        except TimeoutError:
            response = self._refuse_expired()
        except asyncio.CancelledError:
            self._log_cancelled()
            raise
        return response

    def _has_started(self) -> bool:
        return self._caller_response.has_started

    def _log_cancelled(self) -> None:
        """Log whether the caller disconnected or a planned stop aborted the request."""
        if self._gateway.is_aborting:
            self._emit("request_cut", ResultCode.DRAINING, 0)
        else:
            self._emit("request_left", ResultCode.OK, 0)

    async def _attempt_all(self) -> web.StreamResponse:
        attempts = self._attempts
        try:
            while True:
                try:
                    attempt = await attempts.receive()
                except PlacementDeclinedError as error:
                    return self._refuse_declined(error.declined)
                except SendError as error:
                    return self._refuse_failed(error)
                try:
                    response, ending = await self._relay(attempt)
                except TargetSilentError:
                    attempts.record_silence(attempt)
                except SendError as error:
                    await attempts.record_failure(attempt, error)
                    if not attempts.should_retry(error):
                        return self._refuse_failed(error)
                else:
                    attempts.record_end(attempt, ending)
                    return response
        finally:
            attempts.close()

    async def _relay(self, attempt: Attempt) -> tuple[web.StreamResponse, Ending]:
        sent = attempt.sent
        assert sent is not None
        is_continued = attempt is self._relayed
        self._relayed = attempt
        if sent.is_stream:
            splitter = self._caller_response.splitter
            if splitter is not None and not is_continued:
                splitter.drop_partial()
                splitter.resume()
            return await self._relay_stream(attempt, sent)
        self._attempts.record_first_byte(attempt, sent.first_s)
        body = await self._gateway.sender.read_body(sent, self._held_bodies)
        response = self._make_full_response(sent, body)
        is_error = sent.kind is AnswerKind.FAILED
        return self._record_answered(response, sent), Ending.failed if is_error else Ending.whole

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
        if response.status < _MIN_ERROR_STATUS:
            self._gateway.answer_lengths.record(self._call.route.name, self._call.service, first_s)
        self._gateway.metrics.first_byte_s.labels(*self._get_metric_labels()).observe(first_s)
        self._emit(
            "request_answered",
            ResultCode.OK,
            response.status,
            target=sent.placed.target,
            **({"via": sent.connection.peer} if sent.connection.peer else {}),
        )
        return response

    async def _relay_stream(
        self, attempt: Attempt, sent: SentRequest
    ) -> tuple[web.StreamResponse, Ending]:
        try:
            while (chunk := await self._next_chunk(attempt)) is not None:
                await self._relay_chunk(attempt, sent, chunk)
            if not sent.connection.is_framed and not attempt.boundary.is_between_events:
                raise SendError(Ending.broken, "the connection closed within an event")
            splitter = self._caller_response.splitter
            if splitter is not None and (remainder := splitter.take_remainder()):
                await self._write_body(sent, remainder)
            await self._start_response(sent)
            await self._caller_response.complete()
        except TargetSilentError:
            raise
        except BaseException:
            sent.connection.abort()
            raise
        self._gateway.sender.release(sent)
        return self._record_answered(self._caller_response.response, sent), Ending.whole

    async def _next_chunk(self, attempt: Attempt) -> bytes | None:
        """Return the next data of a response, None at its end.

        Raises
        ------
        SendError
            If the response is incomplete.
        TargetSilentError
            If no data came for long and another target may continue the response.
        """
        if attempt.has_chunk:
            return attempt.take_chunk()
        attempt.waiting_since_s = read_clock_s()
        if not self._attempts.may_fail_over(attempt):
            await attempt.receive()
            return attempt.take_chunk()
        pause_s = self._call.route.pause_ms / 1000.0
        timeout_s = max(_MIN_EVENT_TIMEOUT_S, _EVENT_TIMEOUT_FACTOR * pause_s)
        try:
            async with asyncio.timeout(timeout_s):
                await attempt.receive()
        except TimeoutError as error:
            raise TargetSilentError from error
        return attempt.take_chunk()

    async def _relay_chunk(self, attempt: Attempt, sent: SentRequest, chunk: bytes) -> None:
        if not attempt.has_data:
            attempt.has_data = True
            self._attempts.record_first_byte(attempt, read_clock_s() - sent.started_s)
        attempt.event_count += chunk.count(b"\n\n")
        attempt.boundary.feed(chunk)
        splitter = self._caller_response.splitter
        data = splitter.feed(chunk) if splitter is not None else chunk
        if data:
            self._attempts.bind_version(attempt)
            await self._write_body(sent, data)
        if splitter is not None and splitter.partial_bytes > MAX_EVENT_BYTES:
            detail = (
                f"got {splitter.partial_bytes} bytes of an event, "
                f"at most {MAX_EVENT_BYTES} bytes are accepted"
            )
            raise SendError(Ending.broken, detail, sent.head.status)

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
        if self._attempts.server_error is not None:
            return self._relay_server_error(*self._attempts.server_error)
        if self._attempts.history.may_have_run and not self._call.is_repeatable:
            return self._refuse(ResultCode.TARGET_UNREACHABLE, declined.reason, None)
        if self._attempts.history.may_have_run:
            # The code of the declined placement would state that the request has not run.
            reason = f"{declined.reason}, after an attempt that may have run"
            return self._refuse(ResultCode.ANSWER_CUT, reason, declined.retry_after_s)
        return self._refuse(ResultCode(declined.code), declined.reason, declined.retry_after_s)

    def _refuse_failed(self, error: SendError) -> web.StreamResponse:
        if self._caller_response.has_started:
            return self._abort_response(ResultCode.ANSWER_CUT, error.detail)
        if self._attempts.server_error is not None:
            return self._relay_server_error(*self._attempts.server_error)
        if not self._attempts.history.may_have_run:
            return self._refuse(ResultCode.NO_TARGET, error.detail, _RETRY_AFTER_S)
        code = ResultCode.ANSWER_CUT
        if error.ending is Ending.failed:
            code = ResultCode.TARGET_FAULT
        return self._refuse(code, error.detail, None)

    def _refuse_aborted(self) -> web.StreamResponse:
        """Refuse a request whose response has not started when a stopping gateway aborts it."""
        may_have_run = self._attempts.history.may_have_run
        code = ResultCode.ANSWER_CUT if may_have_run else ResultCode.DRAINING
        detail = "the gateway stopped before the response began"
        return self._refuse(code, detail, None if may_have_run else _RETRY_AFTER_S, "request_cut")

    def _refuse_expired(self) -> web.StreamResponse:
        if self._gateway.is_aborting and not self._caller_response.has_started:
            return self._refuse_aborted()
        if self._caller_response.has_started:
            return self._abort_response(
                ResultCode.TARGET_TIMEOUT, "the request reached its deadline"
            )
        if self._attempts.was_placed:
            # The target may still be processing the request.
            self._attempts.history.may_have_run = True
            return self._refuse(ResultCode.TARGET_TIMEOUT, "the request reached its deadline", None)
        return self._refuse(
            ResultCode.SHED_DEADLINE,
            "no target became available before the deadline",
            _RETRY_AFTER_S,
        )

    def _refuse(
        self,
        code: ResultCode,
        detail: str,
        retry_after_s: float | None,
        event: str = "request_refused",
    ) -> web.StreamResponse:
        run = Run.UNKNOWN if self._attempts.history.may_have_run else Run.NO
        response = make_error_response(TroutstandError(code, detail, run, retry_after_s))
        self._emit(event, code, response.status, detail=detail)
        return response

    def _relay_server_error(self, sent: SentRequest, body: bytes) -> web.StreamResponse:
        response = self._make_full_response(sent, body)
        self._emit("request_answered", ResultCode.TARGET_FAULT, response.status)
        return response

    def _abort_response(self, code: ResultCode, detail: str) -> web.StreamResponse:
        """Abort a response that cannot be completed; log why no other target continues it."""
        attempts, response = self._attempts, self._caller_response.abort()
        self._emit(
            "stream_broken_off",
            code,
            response.status,
            ended_by=attempts.last_ending.value if attempts.last_ending is not None else None,
            silent_ms=f"{1000.0 * attempts.last_silence_s:g}",
            declined=attempts.declined.reason if attempts.declined is not None else None,
            detail=detail,
        )
        return response

    def _get_response_start_ms(self) -> float | None:
        """Return the milliseconds from arrival to the start of the response, if it started."""
        started_s = self._caller_response.started_s
        return None if started_s is None else (started_s - self._call.arrived_s) * 1000.0

    def _get_metric_labels(self) -> tuple[str, str]:
        return self._call.route.kind.value, str(self._call.route.tier)

    def _emit(self, name: str, code: ResultCode, status: int, **fields: str | None) -> None:
        call, relayed = self._call, self._relayed
        first_s = relayed.first_byte_s if relayed is not None else -1.0
        pause_s = relayed.longest_pause_s if relayed is not None else 0.0
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
            waited_ms=self._attempts.waited_ms,
            first_ms=first_s * 1000.0 if first_s >= 0 else None,
            pause_ms=pause_s * 1000.0 if pause_s else None,
            begun_ms=self._get_response_start_ms(),
            arrivals=self._attempts.history.arrived_count,
            decider=self._gateway.placement.decider,
            fingerprint=call.fingerprint,
            **fields,
        )
