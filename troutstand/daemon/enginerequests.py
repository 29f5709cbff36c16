"""Serve callers' requests for models."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.backends.base import TargetRefusal
from troutstand.backends.engine import EngineBackend
from troutstand.core.answerstream import DONE_EVENT, AnswerEvent, frame_event
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.daemon.errorresponse import IDEMPOTENCY_KEY_HEADER, encode_error
from troutstand.daemon.relay import EngineRelay, assemble_answer
from troutstand.daemon.triedtargets import MAX_TARGETS
from troutstand.generated.messages import Finished, Grant, PlacementAsk
from troutstand.util.clock import MIN_SUSPEND_S, read_clock_s

if TYPE_CHECKING:
    from troutstand.daemon.entry import EntryProcess
    from troutstand.daemon.requests import EngineRequest

MAX_TRIES = 3
_MILLISECONDS = 1000
_STALLS = (ResultCode.TARGET_TIMEOUT, ResultCode.TARGET_UNREACHABLE, ResultCode.TARGET_FAULT)
# Failures after which the target's process may have ended.
_LOST = (ResultCode.ANSWER_CUT, ResultCode.TARGET_UNREACHABLE)
_AGAIN = (*_STALLS, ResultCode.ANSWER_CUT, ResultCode.ANSWER_FOREIGN)


@dataclass
class _Try:
    """Keep the state of one request over its tries."""

    request: EngineRequest
    deadline_s: float
    task: asyncio.Task[None] | None
    tried: list[str] = field(default_factory=list)
    excluded: list[str] = field(default_factory=list)
    dispatched: bool = False
    last_error: TroutstandError | None = None
    preempted_retry_s: float | None = None
    response: web.StreamResponse | None = None

    def preempt(self, retry_s: float) -> None:
        """Break the request off in favour of a higher tier."""
        self.preempted_retry_s = retry_s
        if self.task:
            self.task.cancel()


class EngineRequests:
    """Place, relay and retry requests for models."""

    def __init__(self, entry: EntryProcess) -> None:
        self._entry = entry

    async def serve(self, http: web.Request, request: EngineRequest) -> web.StreamResponse:
        """Serve a request and return the caller's response.

        Raises
        ------
        TroutstandError
            Where nothing was sent to the caller yet.
        """
        tier = request.caller.tier
        deadline_s = read_clock_s() + tier.deadline_s
        attempt = _Try(request, deadline_s, asyncio.current_task())
        if not request.minted:
            self._exclude(attempt, await self._entry.tried_targets.collect(request.tried_key))
        try:
            while True:
                response = await self._try_once(http, attempt)
                if response is not None:
                    return response
        except asyncio.CancelledError:
            if attempt.preempted_retry_s is None:
                raise
            asyncio.current_task().uncancel()  # pyright: ignore[reportOptionalMemberAccess]
            error = TroutstandError(
                ResultCode.PREEMPTED,
                run=Run.UNKNOWN,
                retry_after_s=attempt.preempted_retry_s,
            )
            return await self._fail(attempt, error)

    async def _try_once(self, http: web.Request, attempt: _Try) -> web.StreamResponse | None:
        """Try one target; return None where another should be tried."""
        grant = await self._place(attempt)
        if not await self._note_target(attempt, grant):
            return None
        target = self._entry.directory.targets.get(grant.target)
        backend = self._entry.find_backend(grant.target)
        if target is None or not isinstance(backend, EngineBackend):
            self._entry.placement.finish(Finished(grant.request, grant.target, False))
            raise TroutstandError(ResultCode.NO_TARGET, f"target {grant.target} has gone")
        uncached = max(0, attempt.request.prompt_tokens - grant.cached_tokens)
        relay = EngineRelay(
            backend,
            attempt.request,
            attempt.deadline_s,
            uncached / target.prefill_tokens_per_s,
            self._entry.settings.limits.answer_bytes,
        )
        attempt.tried.append(grant.target)
        try:
            response = await self._relay(http, attempt, relay)
        except TroutstandError as error:
            self._entry.events.emit(
                "target_failed", grant.request, error.code, target=grant.target, detail=error.detail
            )
            is_gone = error.code in _LOST and await backend.is_gone()
            self._finish(attempt, grant, relay, error, is_gone=is_gone)
            return await self._decide_again(attempt, error)
        except BaseException:
            self._finish(attempt, grant, relay, None, cancelled=True)
            self._entry.node.spawn(backend.cancel(attempt.request.request), "cancel")
            raise
        self._finish(attempt, grant, relay, None)
        return response

    async def _note_target(self, attempt: _Try, grant: Grant) -> bool:
        """Note a keyed request's target; tell whether it never had it before."""
        request = attempt.request
        if request.minted:
            return True
        known = await self._entry.tried_targets.note(request.tried_key, grant.target)
        if grant.target not in known:
            return True
        self._entry.placement.finish(Finished(grant.request, grant.target, False))
        self._exclude(attempt, known)
        return False

    def _exclude(self, attempt: _Try, known: set[str]) -> None:
        attempt.excluded = sorted({*attempt.excluded, *known})[:MAX_TARGETS]
        attempt.dispatched = attempt.dispatched or bool(known)

    async def _decide_again(
        self, attempt: _Try, error: TroutstandError
    ) -> web.StreamResponse | None:
        if error.code is not ResultCode.TARGET_UNREACHABLE:
            attempt.dispatched = True
        error.run = Run.UNKNOWN if attempt.dispatched else Run.NO
        attempt.last_error = error
        has_time = read_clock_s() < attempt.deadline_s
        may_again = attempt.response is None and error.code in _AGAIN
        if may_again and has_time and len(attempt.tried) < MAX_TRIES:
            return None
        return await self._fail(attempt, error)

    async def _place(self, attempt: _Try) -> Grant:
        request = attempt.request
        wait_ms = int(max(0.0, attempt.deadline_s - read_clock_s()) * _MILLISECONDS)
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
            exclude=sorted({*attempt.tried, *attempt.excluded})[:MAX_TARGETS],
            fingerprint=request.fingerprint,
        )
        try:
            return await self._entry.placement.place(ask, attempt.preempt)
        except TroutstandError as error:
            error.run = Run.UNKNOWN if attempt.dispatched else Run.NO
            if attempt.last_error and error.code is ResultCode.NO_TARGET:
                # What the last target did tells the caller more.
                raise attempt.last_error from error
            raise

    async def _relay(
        self, http: web.Request, attempt: _Try, relay: EngineRelay
    ) -> web.StreamResponse:
        if not attempt.request.stream:
            events = [event async for batch in relay.read() for event in batch]
            body = assemble_answer(events, attempt.request.is_chat, relay.progress.usage)
            headers = {IDEMPOTENCY_KEY_HEADER: attempt.request.key}
            return web.Response(body=body, content_type="application/json", headers=headers)
        async for batch in relay.read():
            response = attempt.response or await self._begin(http, attempt)
            await response.write(self._frame(attempt.request, batch))
        response = attempt.response
        assert response is not None
        await response.write(DONE_EVENT)
        await response.write_eof()
        return response

    async def _begin(self, http: web.Request, attempt: _Try) -> web.StreamResponse:
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            IDEMPOTENCY_KEY_HEADER: attempt.request.key,
        }
        response = web.StreamResponse(headers=headers)
        attempt.response = response
        await response.prepare(http)
        return response

    def _frame(self, request: EngineRequest, batch: list[AnswerEvent]) -> bytes:
        return b"".join(
            frame_event(event.data)
            for event in batch
            if request.include_usage or not event.is_usage
        )

    async def _fail(self, attempt: _Try, error: TroutstandError) -> web.StreamResponse:
        """Refuse, or break a begun stream off so that it cannot pass for an end."""
        response = attempt.response
        if response is None:
            raise error
        await response.write(frame_event(encode_error(error)))
        transport = response._req.transport if response._req else None
        if transport:
            transport.abort()
        self._entry.events.emit(
            "answer_broken_off", attempt.request.request, error.code, detail=error.detail
        )
        return response

    def _finish(
        self,
        attempt: _Try,
        grant: Grant,
        relay: EngineRelay,
        error: TroutstandError | None,
        cancelled: bool = False,
        is_gone: bool = False,
    ) -> None:
        progress, usage = relay.progress, relay.progress.usage
        rest_s = error.notice.rest_s if isinstance(error, TargetRefusal) else 0.0
        # A target that asks for rest is sound, and left alone for as long as it asks.
        is_fault = error is not None and error.code in _STALLS and not rest_s
        fault = error.code.name.lower() if error and is_fault else ""
        ok = error is None and not cancelled
        # What was measured while this host was suspended says nothing of the target.
        is_measured = progress.suspends.pop_suspended_s() < MIN_SUSPEND_S
        finished = Finished(
            request=grant.request,
            target=grant.target,
            ok=ok,
            answer_tokens=relay.stream.token_events,
            prompt_tokens=usage.prompt_tokens if usage else 0,
            cached_tokens=_get_cached(relay),
            first_token_ms=progress.first_token_ms() if is_measured else 0,
            total_ms=progress.total_ms() if is_measured else 0,
            fault=fault,
            fingerprint=attempt.request.fingerprint,
            is_broken_off=error is not None and error.code is ResultCode.ANSWER_CUT,
            is_target_gone=is_gone,
        )
        self._entry.placement.finish(finished)
        self._entry.events.emit(
            "try_ended",
            attempt.request.request,
            error.code if error else ResultCode.OK,
            tier=attempt.request.caller.tier.name,
            workspace=attempt.request.caller.workspace.name,
            target=grant.target,
            ok=ok,
            cancelled=cancelled,
            prompt_tokens=finished.prompt_tokens,
            cached_tokens=finished.cached_tokens,
            answer_tokens=finished.answer_tokens,
            first_token_ms=finished.first_token_ms,
            total_ms=finished.total_ms,
            resumes=progress.resumes,
            target_gone=is_gone,
            rest_s=rest_s or None,
            fingerprint=attempt.request.fingerprint,
        )


def _get_cached(relay: EngineRelay) -> int:
    usage = relay.progress.usage
    if usage is None or usage.prompt_tokens_details is None:
        return 0
    return usage.prompt_tokens_details.cached_tokens
