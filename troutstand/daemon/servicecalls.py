"""Serve callers' calls of plain services, some of which may not be repeated."""

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
    from troutstand.daemon.entry import EntryProcess
    from troutstand.daemon.requests import Caller
    from troutstand.generated.table import Service

MAX_TRIES = 3
_MILLISECONDS = 1000
_REQUEST_BYTES = 12
_AGAIN = (ResultCode.TARGET_UNREACHABLE, ResultCode.ANSWER_CUT, ResultCode.TARGET_TIMEOUT)


@dataclass(frozen=True)
class ServiceCall:
    """Carry a checked call of a service."""

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
        """Tell whether the call may not be repeated."""
        text = f"{self.method} {self.path}"
        return any(fnmatch.fnmatchcase(text, pattern) for pattern in self.service.unrepeatable)

    @property
    def command_key(self) -> CommandKey:
        """Return the key that names the command within its workspace."""
        return CommandKey(f"{self.caller.workspace.name}/{self.key}")

    @property
    def fingerprint(self) -> str:
        """Return what is the same for all calls of the workspace with one path and body."""
        workspace = self.caller.workspace.name
        return compute_fingerprint(workspace, self.method, "", self.path, self.body)

    def compute_digest(self) -> str:
        """Return a digest that tells this call from others of its key."""
        parts = [self.service.name, self.method, self.path, self.content_type]
        return xxhash.xxh3_128_hexdigest("\n".join(parts).encode() + b"\n" + self.body)


class ServiceCallHandler:
    """Place calls of services, and run commands at most once."""

    def __init__(self, entry: EntryProcess) -> None:
        self._entry = entry

    async def serve(self, call: ServiceCall) -> web.Response:
        """Serve a call and return the caller's response.

        Raises
        ------
        TroutstandError
            With `run` told truly.
        """
        if not call.is_command:
            return _make_response(await self._repeat(call), call.key)
        # A command goes on when its caller hangs up: its outcome is recorded
        # for the resend.
        task = asyncio.create_task(self._run_command(call))
        self._entry.node.keep_command(task)
        outcome = await asyncio.shield(task)
        return _make_response(outcome, call.key)

    async def _run_command(self, call: ServiceCall) -> Outcome:
        request = f"c-{secrets.token_hex(_REQUEST_BYTES)}"
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
        total_ms = int((read_clock_s() - started_s) * _MILLISECONDS)
        self._entry.events.emit(
            "command_done", request, key=call.command_key, target=outcome.target, total_ms=total_ms
        )
        return outcome

    async def _send_once(self, call: ServiceCall, request: str) -> Outcome:
        """Dispatch a claimed command to one target, once."""
        try:
            grant = await self._place(call, request, [])
        except TroutstandError as error:
            # The outcome carries the number.
            return make_not_run_outcome(error.code)
        target = grant.target
        self._entry.events.emit("command_dispatched", request, target=target, key=call.command_key)
        try:
            reply = await self._request(call, grant, call.key)
        except TroutstandError as error:
            # target_failed tells of it.
            if error.code is ResultCode.TARGET_UNREACHABLE:
                return make_not_run_outcome(error.code)
            return UNKNOWN_OUTCOME
        return Outcome(OutcomeKind.done, 0, reply.status, reply.content_type, reply.body, target)

    async def _repeat(self, call: ServiceCall) -> Reply:
        """Try a repeatable call at one target after another."""
        tried: list[str] = []
        while True:
            request = secrets.token_hex(_REQUEST_BYTES)
            try:
                grant = await self._place(call, request, tried)
                tried.append(grant.target)
                reply = await self._request(call, grant, request)
                if not reply.notice.rest_s or len(tried) >= MAX_TRIES:
                    return reply
            except TroutstandError as error:
                if tried and error.code is not ResultCode.TARGET_UNREACHABLE:
                    error.run = Run.UNKNOWN
                if error.code not in _AGAIN or len(tried) >= MAX_TRIES:
                    raise

    async def _place(self, call: ServiceCall, request: str, exclude: list[str]) -> Grant:
        tier = call.caller.tier
        wait_s = min(tier.deadline_s, call.service.timeout_s)
        ask = PlacementAsk(
            request=request,
            workspace=call.caller.workspace.name,
            tier=tier.name,
            serves=call.service.name,
            wait_ms=int(wait_s * _MILLISECONDS),
            protocol="service",
            exclude=exclude,
            fingerprint=call.fingerprint,
        )
        return await self._entry.placement.place(ask, lambda _: None)

    async def _request(self, call: ServiceCall, grant: Grant, request: str) -> Reply:
        started_s = read_clock_s()
        ok = is_cut = is_gone = False
        fault = ""
        backend = self._entry.find_backend(grant.target)
        try:
            if backend is None:
                raise TroutstandError(ResultCode.TARGET_UNREACHABLE, f"{grant.target} has gone")
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
            is_cut = error.code is ResultCode.ANSWER_CUT
            is_lost = is_cut or error.code is ResultCode.TARGET_UNREACHABLE
            is_gone = is_lost and backend is not None and await backend.is_gone()
            self._entry.events.emit(
                "target_failed", grant.request, error.code, target=grant.target, detail=error.detail
            )
            raise
        finally:
            total_ms = int((read_clock_s() - started_s) * _MILLISECONDS)
            self._entry.placement.finish(
                Finished(
                    grant.request,
                    grant.target,
                    ok,
                    total_ms=total_ms,
                    fault=fault,
                    fingerprint=call.fingerprint,
                    is_broken_off=is_cut,
                    is_target_gone=is_gone,
                )
            )


def _make_response(reply: Reply | Outcome, key: str) -> web.Response:
    return web.Response(
        status=reply.status,
        body=reply.body,
        content_type=reply.content_type or None,
        headers={IDEMPOTENCY_KEY_HEADER: key},
    )
