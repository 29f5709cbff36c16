"""Adapt model engines that offer the OpenAI-compatible protocol.

Extensions to the published protocol: numbered server-sent events for resuming a
stream, the headers `X-Request-Id` and `X-Priority`, and the paths under `/engine/`.
The target's row declares whether an engine resumes streams and cancels requests.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, TypeVar

import msgspec

from troutstand.backends.base import (
    CacheEvents,
    Call,
    LoadReport,
    Order,
    Reply,
    TargetRejection,
)
from troutstand.backends.http import HttpBackend
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


T = TypeVar("T")

_OK = 200
_CONFLICT = 409
_CONTROL_TIMEOUT_S = 2.0
_MAX_ERROR_BYTES = 300


def make_completion_id(request: str) -> str:
    """Return the completion id in the engine's response to a request."""
    return f"chatcmpl-{request}"


class EngineBackend(HttpBackend):
    """Adapt an OpenAI-compatible engine."""

    def make_headers(self, call: Call) -> dict[str, str]:
        """Make the headers of a call, with its request id, priority and resume position."""
        headers = {"Content-Type": call.content_type, "X-Priority": str(call.priority)}
        if call.request:
            headers["X-Request-Id"] = call.request
        if call.resume_after is not None:
            headers["Last-Event-ID"] = str(call.resume_after)
        return headers

    async def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Send a call and yield the response body in chunks as they arrive."""
        async with self._open(call) as (response, notice):
            if response.status != _OK:
                text = (await response.content.read(_MAX_ERROR_BYTES)).decode(errors="replace")
                detail = f"status {response.status}: {text}"
                raise TargetRejection(detail, notice)
            async for data in response.content.iter_any():
                yield data

    async def cancel(self, request: str) -> None:
        """Cancel a running request if the engine supports it."""
        if not self.row.cancels:
            return
        call = self._make_control_call("DELETE", f"/engine/requests/{request}")
        # Best effort: an engine that misses the cancellation still ends the request by itself.
        with contextlib.suppress(TroutstandError):
            await self.request(call)

    async def fetch_load(self) -> LoadReport:
        """Fetch the engine's load report."""
        reply = await self.request(self._make_control_call("GET", "/engine/load"))
        return _decode(reply, LoadReport)

    async def fetch_cache_events(self, after: int) -> CacheEvents:
        """Fetch the cache events that follow an event number."""
        call = self._make_control_call("GET", f"/engine/cache-events?after={after}")
        return _decode(await self.request(call), CacheEvents)

    async def send_order(self, order: Order) -> bool:
        """Send a fenced order; return False if the engine rejects its epoch."""
        call = self._make_control_call("POST", "/engine/orders", msgspec.json.encode(order))
        reply = await self.request(call)
        if reply.status not in (_OK, _CONFLICT):
            raise TroutstandError(ResultCode.TARGET_FAULT, f"status {reply.status}", Run.UNKNOWN)
        return reply.status == _OK

    def _make_control_call(self, method: str, path: str, body: bytes = b"") -> Call:
        return Call("", method, path, body, "application/json", 0, _CONTROL_TIMEOUT_S)


def _decode(reply: Reply, record_type: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=record_type)
    except (ValueError, RecursionError) as error:
        raise TroutstandError(ResultCode.TARGET_FAULT, str(error), Run.UNKNOWN) from error
