"""Serve calls of plain services: idempotent calls are retried, commands run at most once."""

from __future__ import annotations

import asyncio
import fnmatch
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash
from aiohttp import web

from troutstand.backends.base import Call, Reply
from troutstand.core.codes import ResultCode, Run
from troutstand.core.command import UNKNOWN_OUTCOME, make_not_run_outcome
from troutstand.core.errors import TroutstandError
from troutstand.core.fingerprint import compute_fingerprint
from troutstand.core.ids import CommandKey
from troutstand.daemon.errorresponse import IDEMPOTENCY_KEY_HEADER
from troutstand.generated.messages import Finished, Grant, Outcome, OutcomeKind, PlacementAsk
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.daemon.callerrequests import Caller
    from troutstand.daemon.entry import EntryProcess
    from troutstand.generated.table import Service

MAX_ATTEMPTS = 3
_MS_PER_S = 1000
_REQUEST_ID_BYTES = 12
_RETRYABLE_CODES = (ResultCode.TARGET_UNREACHABLE, ResultCode.ANSWER_CUT, ResultCode.TARGET_TIMEOUT)


@dataclass(frozen=True)
class ServiceCall:
    """Describe a validated call of a service."""

    key: str
    is_key_generated: bool
    caller: Caller
    service: Service
    method: str
    path: str
    body: bytes
    content_type: str
    attempt: int = 1

    @property
    def is_command(self) -> bool:
        """Tell whether the call is not idempotent and must run at most once."""
        text = f"{self.method} {self.path}"
        return any(fnmatch.fnmatchcase(text, pattern) for pattern in self.service.unrepeatable)

    @property
    def command_key(self) -> CommandKey:
        """Return the idempotency key, qualified by the workspace."""
        return CommandKey(f"{self.caller.workspace.name}/{self.key}")

    @property
    def fingerprint(self) -> str:
        """Return a hash that is equal for a workspace's calls with equal method, path and body."""
        workspace = self.caller.workspace.name
        return compute_fingerprint(workspace, self.method, "", self.path, self.body)

    def compute_digest(self) -> str:
        """Return a digest that detects a different call with the same idempotency key."""
        parts = [self.service.name, self.method, self.path, self.content_type]
        return xxhash.xxh3_128_hexdigest("\n".join(parts).encode() + b"\n" + self.body)


class ServiceCallHandler:
    """Place service calls, with retries if idempotent and at most once if not."""

    def __init__(self, entry: EntryProcess) -> None:
        self._entry = entry

    async def serve(self, call: ServiceCall) -> web.Response:
        """Serve a call and return the caller's response.

        Raises
        ------
        TroutstandError
            Its `run` tells whether the call may have run.
        """
        if not call.is_command:
            return _make_response(await self._send_with_retries(call), call.key)
        # A command continues after its caller disconnects: a resend gets the recorded outcome.
        task = asyncio.create_task(self._run_command(call))
        self._entry.node.track_command(task)
        outcome = await asyncio.shield(task)
        return _make_response(outcome, call.key)

    async def _run_command(self, call: ServiceCall) -> Outcome:
        request = f"c-{secrets.token_hex(_REQUEST_ID_BYTES)}"
        self._entry.events.emit("command_received", request, key=call.command_key)
        started_s = read_clock_s()
        try:
            outcome = await self._entry.command_runner.run(
                call.command_key,
                call.compute_digest(),
                call.is_key_generated,
                call.attempt,
                call.service.timeout_s,
                lambda: self._send_once(call, request),
            )
        except TroutstandError as error:
            self._entry.events.emit(
                "command_refused", request, error.code, key=call.command_key, run=error.run.value
            )
            raise
        total_ms = int((read_clock_s() - started_s) * _MS_PER_S)
        self._entry.events.emit(
            "command_done", request, key=call.command_key, target=outcome.target, total_ms=total_ms
        )
        return outcome

    async def _send_once(self, call: ServiceCall, request: str) -> Outcome:
        """Send a claimed command to one target without retries."""
        try:
            grant = await self._place(call, request, [])
        except TroutstandError as error:
            # The outcome carries the result code.
            return make_not_run_outcome(error.code)
        target = grant.target
        self._entry.events.emit("command_dispatched", request, target=target, key=call.command_key)
        try:
            reply = await self._send_to_target(call, grant, call.key)
        except TroutstandError as error:
            # _send_to_target has logged target_failed.
            if error.code is ResultCode.TARGET_UNREACHABLE:
                return make_not_run_outcome(error.code)
            return UNKNOWN_OUTCOME
        return Outcome(OutcomeKind.done, 0, reply.status, reply.content_type, reply.body, target)

    async def _send_with_retries(self, call: ServiceCall) -> Reply:
        """Send an idempotent call, retrying at other targets."""
        tried: list[str] = []
        may_have_run = False
        while True:
            request = secrets.token_hex(_REQUEST_ID_BYTES)
            try:
                grant = await self._place(call, request, tried)
                tried.append(grant.target)
                reply = await self._send_to_target(call, grant, request)
                if not reply.notice.rest_s or len(tried) >= MAX_ATTEMPTS:
                    return reply
                may_have_run = True
            except TroutstandError as error:
                may_have_run = may_have_run or error.run is Run.UNKNOWN
                error.run = Run.UNKNOWN if may_have_run else Run.NO
                if error.code not in _RETRYABLE_CODES or len(tried) >= MAX_ATTEMPTS:
                    raise

    async def _place(self, call: ServiceCall, request: str, exclude: list[str]) -> Grant:
        tier = call.caller.tier
        wait_s = min(tier.deadline_s, call.service.timeout_s)
        ask = PlacementAsk(
            request=request,
            workspace=call.caller.workspace.name,
            tier=tier.name,
            serves=call.service.name,
            wait_ms=int(wait_s * _MS_PER_S),
            protocol="service",
            exclude=exclude,
            fingerprint=call.fingerprint,
        )
        return await self._entry.placement.place(ask, lambda _: None)

    async def _send_to_target(self, call: ServiceCall, grant: Grant, request: str) -> Reply:
        started_s = read_clock_s()
        ok = is_truncated = is_target_gone = False
        fault = ""
        backend = self._entry.find_backend(grant.target)
        try:
            if backend is None:
                raise TroutstandError(
                    ResultCode.TARGET_UNREACHABLE,
                    f"target {grant.target} is no longer in the table",
                )
            reply = await backend.request(
                Call(
                    request,
                    call.method,
                    call.path,
                    call.body,
                    call.content_type,
                    call.caller.tier.rank,
                    call.service.timeout_s,
                )
            )
            ok = not reply.notice.rest_s
            return reply
        except TroutstandError as error:
            fault = error.code.name.lower()
            is_truncated = error.code is ResultCode.ANSWER_CUT
            is_lost = is_truncated or error.code is ResultCode.TARGET_UNREACHABLE
            is_target_gone = is_lost and backend is not None and await backend.is_gone()
            self._entry.events.emit(
                "target_failed", grant.request, error.code, target=grant.target, detail=error.detail
            )
            raise
        finally:
            total_ms = int((read_clock_s() - started_s) * _MS_PER_S)
            self._entry.placement.finish(
                Finished(
                    grant.request,
                    grant.target,
                    ok,
                    total_ms=total_ms,
                    fault=fault,
                    fingerprint=call.fingerprint,
                    is_broken_off=is_truncated,
                    is_target_gone=is_target_gone,
                )
            )


def _make_response(reply: Reply | Outcome, key: str) -> web.Response:
    return web.Response(
        status=reply.status,
        body=reply.body,
        content_type=reply.content_type or None,
        headers={IDEMPOTENCY_KEY_HEADER: key},
    )
