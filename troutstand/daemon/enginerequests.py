"""Serve model requests: place, relay and retry them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.backends.base import TargetRejection
from troutstand.backends.engine import EngineBackend
from troutstand.core.answerstream import DONE_EVENT, AnswerEvent, frame_event
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.daemon.enginerelay import EngineRelay, assemble_answer
from troutstand.daemon.errorresponse import IDEMPOTENCY_KEY_HEADER, encode_error
from troutstand.daemon.triedtargets import MAX_TARGETS
from troutstand.generated.messages import Finished, Grant, PlacementAsk
from troutstand.util.clock import MIN_SUSPEND_S, read_clock_s

if TYPE_CHECKING:
    from troutstand.daemon.callerrequests import EngineRequest
    from troutstand.daemon.entry import EntryProcess

MAX_TRIES = 3
_MS_PER_S = 1000
_FAULT_CODES = (ResultCode.TARGET_TIMEOUT, ResultCode.TARGET_UNREACHABLE, ResultCode.TARGET_FAULT)
# Codes after which the target's process may have ended.
_LOST_CODES = (ResultCode.ANSWER_CUT, ResultCode.TARGET_UNREACHABLE)
_RETRYABLE_CODES = (*_FAULT_CODES, ResultCode.ANSWER_CUT, ResultCode.ANSWER_FOREIGN)


@dataclass
class _RequestState:
    """Hold the state of one request across its tries."""

    request: EngineRequest
    deadline_s: float
    task: asyncio.Task[None] | None
    tried: list[str] = field(default_factory=list)
    excluded: list[str] = field(default_factory=list)
    dispatched: bool = False
    last_error: TroutstandError | None = None
    preempted_retry_after_s: float | None = None
    response: web.StreamResponse | None = None

    def preempt(self, retry_after_s: float) -> None:
        """Cancel the request in favour of a higher tier."""
        self.preempted_retry_after_s = retry_after_s
        if self.task:
            self.task.cancel()


class EngineRequests:
    """Place, relay and retry model requests."""

    def __init__(self, entry: EntryProcess) -> None:
        self._entry = entry

    async def serve(self, http_request: web.Request, request: EngineRequest) -> web.StreamResponse:
        """Serve a request and return the caller's response.

        Raises
        ------
        TroutstandError
            If the request fails before its response has started.
        """
        tier = request.caller.tier
        deadline_s = read_clock_s() + tier.deadline_s
        state = _RequestState(request, deadline_s, asyncio.current_task())
        if not request.is_key_generated:
            self._exclude(state, await self._entry.tried_targets.collect(request.workspace_key))
        try:
            while True:
                response = await self._try_target(http_request, state)
                if response is not None:
                    return response
        except asyncio.CancelledError:
            if state.preempted_retry_after_s is None:
                raise
            asyncio.current_task().uncancel()  # pyright: ignore[reportOptionalMemberAccess]
            error = TroutstandError(
                ResultCode.PREEMPTED,
                run=Run.UNKNOWN,
                retry_after_s=state.preempted_retry_after_s,
            )
            return await self._fail(state, error)

    async def _try_target(
        self, http_request: web.Request, state: _RequestState
    ) -> web.StreamResponse | None:
        """Try one target; return None if another target should be tried."""
        grant = await self._place(state)
        if not await self._record_target(state, grant):
            return None
        target = self._entry.table_index.targets.get(grant.target)
        backend = self._entry.find_backend(grant.target)
        if target is None or not isinstance(backend, EngineBackend):
            self._entry.placement.finish(Finished(grant.request, grant.target, False))
            detail = f"target {grant.target} is no longer in the table"
            run = Run.UNKNOWN if state.dispatched else Run.NO
            raise TroutstandError(ResultCode.NO_TARGET, detail, run)
        uncached_tokens = max(0, state.request.prompt_tokens - grant.cached_tokens)
        relay = EngineRelay(
            backend,
            state.request,
            state.deadline_s,
            uncached_tokens / target.prefill_tokens_per_s,
            self._entry.settings.limits.answer_bytes,
            is_last=len(state.tried) + 1 >= MAX_TRIES,
        )
        state.tried.append(grant.target)
        try:
            response = await self._relay(http_request, state, relay)
        except TroutstandError as error:
            self._entry.events.emit(
                "target_failed", grant.request, error.code, target=grant.target, detail=error.detail
            )
            is_target_gone = False
            try:
                is_target_gone = error.code in _LOST_CODES and await backend.is_gone()
            finally:
                self._finish(state, grant, relay, error, is_target_gone=is_target_gone)
            return await self._retry_or_fail(state, error)
        except BaseException:
            self._finish(state, grant, relay, None, cancelled=True)
            self._entry.node.spawn(backend.cancel(state.request.request), "cancel")
            raise
        self._finish(state, grant, relay, None)
        return response

    async def _record_target(self, state: _RequestState, grant: Grant) -> bool:
        """Record a keyed request's target; return whether it is new for the key."""
        request = state.request
        if request.is_key_generated:
            return True
        is_new = False
        try:
            earlier_targets = await self._entry.tried_targets.record(
                request.workspace_key, grant.target
            )
            is_new = grant.target not in earlier_targets
        finally:
            if not is_new:
                self._entry.placement.finish(Finished(grant.request, grant.target, False))
        if not is_new:
            self._exclude(state, earlier_targets)
        return is_new

    def _exclude(self, state: _RequestState, earlier_targets: set[str]) -> None:
        state.excluded = sorted({*state.excluded, *earlier_targets})[:MAX_TARGETS]
        state.dispatched = state.dispatched or bool(earlier_targets)

    async def _retry_or_fail(
        self, state: _RequestState, error: TroutstandError
    ) -> web.StreamResponse | None:
        if error.code is not ResultCode.TARGET_UNREACHABLE:
            state.dispatched = True
        error.run = Run.UNKNOWN if state.dispatched else Run.NO
        state.last_error = error
        has_time = read_clock_s() < state.deadline_s
        is_retryable = state.response is None and error.code in _RETRYABLE_CODES
        if is_retryable and has_time and len(state.tried) < MAX_TRIES:
            return None
        return await self._fail(state, error)

    async def _place(self, state: _RequestState) -> Grant:
        request = state.request
        wait_ms = int(max(0.0, state.deadline_s - read_clock_s()) * _MS_PER_S)
        ask = PlacementAsk(
            request=request.request,
            workspace=request.caller.workspace.name,
            tier=request.caller.tier.name,
            serves=request.model,
            wait_ms=wait_ms,
            blocks=request.prefixes.blocks,
            block_tokens=request.prefixes.block_tokens,
            prompt_tokens=request.prompt_tokens,
            answer_tokens=request.answer_tokens,
            exclude=sorted({*state.tried, *state.excluded})[:MAX_TARGETS],
            fingerprint=request.fingerprint,
            shared_parts=request.shared_parts,
        )
        try:
            return await self._entry.placement.place(ask, state.preempt)
        except TroutstandError as error:
            error.run = Run.UNKNOWN if state.dispatched else Run.NO
            if state.last_error and error.code is ResultCode.NO_TARGET:
                # The last target's error is more specific.
                raise state.last_error from error
            raise

    async def _relay(
        self, http_request: web.Request, state: _RequestState, relay: EngineRelay
    ) -> web.StreamResponse:
        if not state.request.stream:
            events = [event async for batch in relay.read() for event in batch]
            body = assemble_answer(events, state.request.is_chat, relay.progress.usage)
            headers = {IDEMPOTENCY_KEY_HEADER: state.request.key}
            return web.Response(body=body, content_type="application/json", headers=headers)
        async for batch in relay.read():
            response = state.response or await self._start_response(http_request, state)
            await response.write(self._encode_batch(state.request, batch))
        response = state.response
        assert response is not None
        await response.write(DONE_EVENT)
        await response.write_eof()
        return response

    async def _start_response(
        self, http_request: web.Request, state: _RequestState
    ) -> web.StreamResponse:
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            IDEMPOTENCY_KEY_HEADER: state.request.key,
        }
        response = web.StreamResponse(headers=headers)
        state.response = response
        await response.prepare(http_request)
        return response

    def _encode_batch(self, request: EngineRequest, batch: list[AnswerEvent]) -> bytes:
        return b"".join(
            frame_event(event.data)
            for event in batch
            if request.include_usage or not event.is_usage
        )

    async def _fail(self, state: _RequestState, error: TroutstandError) -> web.StreamResponse:
        """Raise the error, or end a started stream with it and abort the connection."""
        response = state.response
        if response is None:
            raise error
        await response.write(frame_event(encode_error(error)))
        transport = response._req.transport if response._req else None
        if transport:
            transport.abort()
        self._entry.events.emit(
            "answer_broken_off", state.request.request, error.code, detail=error.detail
        )
        return response

    def _finish(
        self,
        state: _RequestState,
        grant: Grant,
        relay: EngineRelay,
        error: TroutstandError | None,
        cancelled: bool = False,
        is_target_gone: bool = False,
    ) -> None:
        progress, usage = relay.progress, relay.progress.usage
        backoff_s = error.notice.rest_s if isinstance(error, TargetRejection) else 0.0
        # A target that requests a backoff is not counted as faulty.
        is_fault = error is not None and error.code in _FAULT_CODES and not backoff_s
        fault = error.code.name.lower() if error and is_fault else ""
        ok = error is None and not cancelled
        # Timings that include a suspension of this host are discarded.
        is_measured = progress.suspends.pop_suspended_s() < MIN_SUSPEND_S
        finished = Finished(
            request=grant.request,
            target=grant.target,
            ok=ok,
            answer_tokens=relay.stream.token_events,
            prompt_tokens=usage.prompt_tokens if usage else 0,
            cached_tokens=_get_cached_tokens(relay),
            first_token_ms=progress.first_token_ms() if is_measured else 0,
            total_ms=progress.total_ms() if is_measured else 0,
            fault=fault,
            fingerprint=state.request.fingerprint,
            shared_parts=state.request.shared_parts,
            is_broken_off=error is not None and error.code is ResultCode.ANSWER_CUT,
            is_target_gone=is_target_gone,
        )
        self._entry.placement.finish(finished)
        self._entry.events.emit(
            "try_ended",
            state.request.request,
            error.code if error else ResultCode.OK,
            tier=state.request.caller.tier.name,
            workspace=state.request.caller.workspace.name,
            target=grant.target,
            ok=ok,
            cancelled=cancelled,
            prompt_tokens=finished.prompt_tokens,
            cached_tokens=finished.cached_tokens,
            answer_tokens=finished.answer_tokens,
            first_token_ms=finished.first_token_ms,
            total_ms=finished.total_ms,
            resumes=progress.resumes,
            target_gone=is_target_gone,
            rest_s=backoff_s or None,
            fingerprint=state.request.fingerprint,
        )


def _get_cached_tokens(relay: EngineRelay) -> int:
    usage = relay.progress.usage
    if usage is None or usage.prompt_tokens_details is None:
        return 0
    return usage.prompt_tokens_details.cached_tokens
