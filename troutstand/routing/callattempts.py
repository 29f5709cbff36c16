"""Run the attempts of one call; those at silent targets go on until another one answers.

Silence does not tell a target that is gone from one that still works on the request. Another
attempt may be started after it, but the silent one is kept: the first that sends data is
relayed, and only then are the others dropped.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from troutstand.core.answerpromises import AnswerKind
from troutstand.core.codes import ResultCode
from troutstand.core.paths import Reach
from troutstand.generated.configuration import RouteKind
from troutstand.generated.messages import Declined, Ended, Ending, Placed
from troutstand.routing.attempt import Attempt
from troutstand.routing.attempthistory import AttemptHistory
from troutstand.routing.calls import add_resume_header
from troutstand.routing.originsync import KnownOrigin, UnknownOrigin
from troutstand.routing.relay import SendError, SentRequest
from troutstand.util.clock import MIN_SUSPEND_S, read_clock_s

if TYPE_CHECKING:
    from troutstand.routing.bodymemory import HeldBodies
    from troutstand.routing.callerresponse import CallerResponse
    from troutstand.routing.calls import Call
    from troutstand.routing.gateway import Gateway
    from troutstand.routing.relay import OutgoingRequest

_MIN_RESPONSE_TIMEOUT_S = 0.2
_STREAM_TIMEOUT_FACTOR = 1.5
# Time after a declined placement before another one is requested beside silent targets.
_PLACEMENT_RETRY_S = 0.5
# A caller may begin the stream anew meanwhile.
_UNKNOWN_RETRY_AFTER_S = 1.0
# Endings that may be the fault of the target or of the path to it.
_LOSSES = frozenset({Ending.unsent, Ending.broken})


class PlacementDeclinedError(Exception):
    """Report that the decider placed no attempt and none is in flight."""

    def __init__(self, declined: Declined) -> None:
        super().__init__(declined.reason)
        self.declined = declined


class CallAttempts:
    """Place and send the attempts of one call, and report how each of them ends."""

    def __init__(
        self,
        gateway: Gateway,
        call: Call,
        outgoing: OutgoingRequest,
        response: CallerResponse,
        held_bodies: HeldBodies,
    ) -> None:
        self.history = AttemptHistory(call.route.attempts, call.is_repeatable)
        self.was_placed = False
        self.waited_ms = 0.0
        # The last server error of a target that was not relayed, with its body.
        self.server_error: tuple[SentRequest, bytes] | None = None
        # Why the decider placed no other attempt beside those in flight.
        self.declined: Declined | None = None
        # How the last attempt that failed ended, and how long its target was silent by then.
        self.last_ending: Ending | None = None
        self.last_silence_s = 0.0
        self._gateway = gateway
        self._call = call
        self._outgoing = outgoing
        self._response = response
        self._held_bodies = held_bodies
        self._live: list[Attempt] = []
        self._placing: asyncio.Task[Placed | Declined] | None = None
        # Placements that were cancelled and have not been withdrawn at the decider yet.
        self._cancelled: set[asyncio.Task[Placed | Declined]] = set()
        self._place_after_s = float("-inf")
        # Version of the targets' software that began the stream, once the caller has a part of
        # it; None allows any.
        self._software_version: str | None = None
        self._is_origin_known = not call.is_resumed

    async def receive(self) -> Attempt:
        """Return the first attempt that has something to relay; all others are dropped.

        Raises
        ------
        PlacementDeclinedError
            If no attempt is in flight and none was placed.
        SendError
            If the last attempt failed and no other one is allowed.
        """
        while True:
            if not self._live and self._placing is None:
                self._use_decision(await self._place())
            await self._wait()
            if self._placing is not None and self._placing.done():
                placing, self._placing = self._placing, None
                self._use_decision(placing.result())
            self._find_silent()
            answering = await self._sort_finished()
            if answering is not None:
                self._keep_only(answering)
                return answering
            if self._may_place_beside():
                self._placing = asyncio.create_task(self._place())

    def close(self) -> None:
        """Drop the attempts in flight, since the call has ended."""
        for attempt in list(self._live):
            self.last_silence_s = max(self.last_silence_s, attempt.measure_silence_s())
            self._drop(attempt, Ending.left)
        self._cancel_placing()

    def may_fail_over(self, attempt: Attempt) -> bool:
        """Return whether another attempt may be started while this one is in flight."""
        return self.history.can_repeat_beside(attempt.placed) and self._response.can_resume

    def should_retry(self, error: SendError) -> bool:
        """Return whether the call may be tried again after the last attempt has failed."""
        can_continue = self.history.can_repeat and self._response.can_resume
        if self._response.has_started and not can_continue:
            return False
        return self.history.allows_retry(error)

    # Placement

    def _may_place_beside(self) -> bool:
        is_due = self._placing is None and read_clock_s() >= self._place_after_s
        return bool(self._live) and is_due and self._may_start_other()

    def _may_start_other(self) -> bool:
        return (
            all(attempt.is_silent for attempt in self._live)
            and self.history.can_repeat
            and self.history.can_send
            and self._response.can_resume
        )

    async def _place(self) -> Placed | Declined:
        if self._cancelled:
            # A later withdrawal would also withdraw this placement of the same request.
            await asyncio.wait(self._cancelled)
        if not self._is_origin_known and (declined := await self._find_origin()) is not None:
            return declined
        work = self._call.create_work(
            read_clock_s(),
            self.history.arrived_count + 1,
            self.history.excluded,
            self._gateway.settings.failure_domain,
            self._response.has_started,
            [attempt.placed.target for attempt in self._live],
            self._software_version,
        )
        decision = await self._gateway.placement.place(work)
        if isinstance(decision, Placed):
            self.was_placed = True
            self.waited_ms += decision.waited_ms
            route = self._call.route
            wait_s = self._gateway.metrics.wait_s.labels(route.kind.value, str(route.tier))
            wait_s.observe(decision.waited_ms / 1000.0)
        return decision

    def bind_version(self, attempt: Attempt) -> None:
        """Have any later attempt go to the version of an attempt whose events are relayed."""
        self._software_version = attempt.placed.software_version

    async def _find_origin(self) -> Declined | None:
        """Find out which version began a stream that the caller resumes, or refuse it."""
        call = self._call
        remaining_s = call.deadline_s - read_clock_s()
        placement = self._gateway.placement
        origin = await placement.find_origin(call.service, call.stream, remaining_s)
        match origin:
            case KnownOrigin(software_version, source):
                self._software_version, self._is_origin_known = software_version, True
                self._emit_origin(software_version, source)
                return None
            case UnknownOrigin(reason, _):
                code = int(ResultCode.STREAM_ORIGIN_UNKNOWN)
                self._emit_origin(None, "unknown")
                return Declined(call.request, code, _UNKNOWN_RETRY_AFTER_S, reason)

    def _emit_origin(self, version: str | None, source: str) -> None:
        self._gateway.metrics.stream_origins.labels(source).inc()
        self._gateway.node.events.emit(
            "stream_origin",
            self._call.request,
            stream=self._call.stream,
            software=version,
            source=source,
        )

    def _use_decision(self, decision: Placed | Declined) -> None:
        """Start the attempt that was placed; if it was declined, leave those in flight."""
        if isinstance(decision, Placed):
            self._start(decision)
        elif self._live:
            self.declined = decision
            self._place_after_s = read_clock_s() + _PLACEMENT_RETRY_S
        else:
            raise PlacementDeclinedError(decision)

    def _cancel_placing(self) -> None:
        placing, self._placing = self._placing, None
        if placing is None or placing.cancelled():
            return
        if placing.cancel():
            self._cancelled.add(placing)
            placing.add_done_callback(self._cancelled.discard)
            return
        decision = placing.result()
        if isinstance(decision, Placed):
            self._gateway.placement.finish(
                Ended(self._call.request, decision.target, Ending.kept_back)
            )

    # Attempts

    def _start(self, placed: Placed) -> None:
        attempt = Attempt(placed, self._compute_response_timeout())
        attempt.start(self._begin(attempt))
        self._live.append(attempt)

    def _compute_response_timeout(self) -> float:
        objective_s = self._call.objective_s
        if self._call.route.kind is RouteKind.streaming:
            objective_s *= _STREAM_TIMEOUT_FACTOR
        return max(_MIN_RESPONSE_TIMEOUT_S, objective_s)

    @property
    def _has_others(self) -> bool:
        """Return whether an attempt has others beside it, or will have one."""
        return len(self._live) > 1 or self._placing is not None

    async def _begin(self, attempt: Attempt) -> None:
        """Send the request and receive the head, and beside others the first data.

        Raises
        ------
        SendError
            If the response cannot be relayed.
        """
        outgoing = self._outgoing
        if self._response.last_id:
            headers = self._gateway.dialect.headers
            outgoing = add_resume_header(outgoing, headers, self._response.last_id)
        sent = attempt.sent = await self._gateway.sender.send(
            outgoing,
            attempt.placed,
            self._call.deadline_s,
            lambda: self._handle_path_lost(attempt),
            attempt.record_written,
        )
        if self._response.has_started and not self._response.is_continued_by(sent):
            # The caller already has a response head, so only events can follow; another
            # response would appear with its own head between the events.
            sent.connection.abort()
            detail = "the response does not continue the event stream"
            raise SendError(Ending.failed, detail, sent.head.status)
        if sent.is_stream:
            if self._has_others:
                await self._receive_first(attempt, sent)
            return
        is_error = sent.kind is AnswerKind.FAILED
        if is_error and (self._has_others or self.may_fail_over(attempt)):
            body = await self._gateway.sender.read_body(sent, self._held_bodies)
            self.server_error = sent, body
            detail = "the target responded with a server error"
            raise SendError(Ending.failed, detail, sent.head.status)

    async def _receive_first(self, attempt: Attempt, sent: SentRequest) -> None:
        """Receive the first data of a stream.

        Raises
        ------
        SendError
            If the stream ends without data, unless it resumes one and its end is certain.
        """
        await attempt.receive()
        is_end_certain = sent.connection.is_framed and self._response.has_started
        if attempt.chunk is None and not is_end_certain:
            sent.connection.abort()
            raise SendError(Ending.broken, "the response ended without data")

    async def _wait(self) -> None:
        """Wait until an attempt or a placement makes progress, or a target counts as silent."""
        now_s = read_clock_s()
        awaited: set[asyncio.Future[object]] = set()
        timeouts_s: list[float] = []
        for attempt in self._live:
            awaited.add(attempt.progress)  # type: ignore[arg-type]
            if not attempt.is_silent and self.may_fail_over(attempt):
                awaited.add(attempt.path_lost)  # type: ignore[arg-type]
                timeouts_s.append(attempt.waiting_since_s + attempt.timeout_s - now_s)
        if self._placing is not None:
            awaited.add(self._placing)  # type: ignore[arg-type]
        elif self._may_start_other():
            timeouts_s.append(self._place_after_s - now_s)
        timeout_s = max(0.0, min(timeouts_s)) if timeouts_s else None
        await asyncio.wait(awaited, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)

    async def _sort_finished(self) -> Attempt | None:
        """Return an attempt that has something to relay, after removing those that failed."""
        finished = [attempt for attempt in self._live if attempt.progress.done()]
        answering = next((a for a in finished if a.get_error() is None), None)
        for attempt in finished:
            error = attempt.get_error()
            if error is None:
                continue
            if len(self._live) > 1:
                self._record_failure_aside(attempt, error)
                continue
            await self.record_failure(attempt, error)
            if not self.should_retry(error):
                raise error
        return answering

    def _keep_only(self, kept: Attempt) -> None:
        for attempt in [a for a in self._live if a is not kept]:
            self._emit("attempt_dropped", attempt, answered_by=kept.placed.target)
            self._drop(attempt, Ending.silent if attempt.is_silent else Ending.left)
        self._cancel_placing()
        if kept.is_silent:
            kept.is_silent = False
            self._emit("attempt_resumed", kept)
            self._gateway.placement.report_silence(
                self._call.request, kept.placed.target, is_over=True
            )

    def _drop(self, attempt: Attempt, ending: Ending) -> None:
        """Close the connection of an attempt, so that its target stops the request."""
        attempt.drop()
        if attempt.was_written:
            self.history.record_arrival(attempt.placed)
            self.record_end(attempt, ending)
        else:
            self.record_end(attempt, Ending.kept_back)

    # Silence

    def _find_silent(self) -> None:
        for attempt in self._live:
            if attempt.is_silent or attempt.progress.done() or not self.may_fail_over(attempt):
                continue
            if attempt.path_lost.done() or attempt.measure_silence_s() >= attempt.timeout_s:
                self._mark_silent(attempt)

    def record_silence(self, attempt: Attempt) -> None:
        """Record that a target is silent in the middle of its response, and listen on."""
        attempt.start_listening()
        self._mark_silent(attempt)

    def _mark_silent(self, attempt: Attempt) -> None:
        attempt.is_silent = True
        self.history.record_arrival(attempt.placed)
        self._emit("attempt_silent", attempt)
        if self._gateway.sender.is_checking(attempt.placed.address):
            self._gateway.node.spawn(self._report_after_check(attempt), "report silence")
        else:
            self._report_silence(attempt)

    async def _report_after_check(self, attempt: Attempt) -> None:
        await self._gateway.sender.check(attempt.placed.address)
        if attempt.is_silent and attempt in self._live:
            self._report_silence(attempt)

    def _report_silence(self, attempt: Attempt) -> None:
        request, target = self._call.request, attempt.placed.target
        if self._gateway.sender.is_path_lost(attempt.placed.address):
            attempt.record_path_lost()
            self._gateway.placement.report_path_lost(request, target)
        else:
            self._gateway.placement.report_silence(request, target, is_over=False)

    def _handle_path_lost(self, attempt: Attempt) -> None:
        """Let another target be tried; the response may still come once the path is back."""
        attempt.record_path_lost()
        self._gateway.placement.report_path_lost(self._call.request, attempt.placed.target)

    # Endings

    async def record_failure(self, attempt: Attempt, error: SendError) -> None:
        """Record that an attempt failed, and find out whether its target or path is at fault."""
        self._remove_failed(attempt, error)
        await self._report_failure(attempt, error, read_clock_s() - attempt.started_s)

    def _record_failure_aside(self, attempt: Attempt, error: SendError) -> None:
        """Record that an attempt failed; the others go on while its fault is found out."""
        self._remove_failed(attempt, error)
        self._place_after_s = read_clock_s() + _PLACEMENT_RETRY_S
        total_s = read_clock_s() - attempt.started_s
        report = self._report_failure(attempt, error, total_s)
        self._gateway.node.spawn(report, "report failure")

    def _remove_failed(self, attempt: Attempt, error: SendError) -> None:
        self._live.remove(attempt)
        self.history.record_failure(attempt.placed, error)
        self.last_ending = error.ending
        self.last_silence_s = attempt.measure_silence_s()
        # A waiting placement would still leave out the target of this attempt.
        self._cancel_placing()

    async def _report_failure(self, attempt: Attempt, error: SendError, total_s: float) -> None:
        try:
            await self._find_fault(attempt.placed, error)
        finally:
            self._report_end(attempt, error.ending, total_s, error)
        self._emit(
            "attempt_failed",
            attempt,
            address=attempt.placed.address,
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
        )

    async def _find_fault(self, placed: Placed, error: SendError) -> None:
        """Find out whether the target has ended or this gateway has lost its path to it."""
        if error.ending not in _LOSSES:
            return
        sender = self._gateway.sender
        if error.ending is Ending.broken and not error.is_target_gone:
            error.is_target_gone = await sender.check(placed.address) is Reach.REFUSED
        error.is_path_lost = not error.is_target_gone and sender.is_path_lost(placed.address)

    def record_end(self, attempt: Attempt, ending: Ending) -> None:
        """Record how an attempt ended that did not fail."""
        self._live.remove(attempt)
        self._report_end(attempt, ending, read_clock_s() - attempt.started_s)

    def _report_end(
        self, attempt: Attempt, ending: Ending, total_s: float, failure: SendError | None = None
    ) -> None:
        # Times that include a suspend of this host are not reported.
        is_measured = attempt.suspend_watch.pop_suspended_s() < MIN_SUSPEND_S
        ended = Ended(
            self._call.request,
            attempt.placed.target,
            ending,
            first_s=attempt.first_byte_s if is_measured else -1.0,
            total_s=total_s if is_measured else -1.0,
            longest_pause_s=attempt.longest_pause_s,
            produced_events=attempt.event_count,
            is_target_gone=failure is not None and failure.is_target_gone,
            is_path_lost=attempt.path_lost.done() if failure is None else failure.is_path_lost,
        )
        if ending is Ending.broken:
            ended = self._call.identify_broken(ended)
        self._gateway.metrics.endings.labels(ending.value).inc()
        self._gateway.placement.finish(ended)

    def record_first_byte(self, attempt: Attempt, first_s: float) -> None:
        """Record the time to the first byte of a response, in seconds."""
        attempt.first_byte_s = first_s
        is_measured = attempt.suspend_watch.peek_suspended_s() < MIN_SUSPEND_S
        self._gateway.placement.record_first_byte(
            self._call.request,
            attempt.placed.target,
            attempt.placed.software_version,
            first_s if is_measured else -1.0,
        )

    def _emit(self, name: str, attempt: Attempt, **fields: Any) -> None:
        started_s = self._response.started_s
        begun_ms = None if started_s is None else (started_s - self._call.arrived_s) * 1000.0
        self._gateway.node.events.emit(
            name,
            self._call.request,
            target=attempt.placed.target,
            **fields,
            begun_ms=begun_ms,
            arrivals=self.history.arrived_count,
            silent_ms=attempt.measure_silence_s() * 1000.0,
        )
