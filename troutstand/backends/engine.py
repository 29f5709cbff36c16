"""Speak to a model engine over the OpenAI-compatible protocol.

Beyond the published paths, an engine that resumes numbers its server-sent
events; `X-Request-Id`, `X-Priority` and the paths under `/engine/` are met by
our stand-in and named in the target's row.
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
_SMALL_TIMEOUT_S = 2.0
_ERROR_BYTES = 300


def make_completion_id(request: str) -> str:
    """Return the id that the engine's answer to a request carries."""
    return f"chatcmpl-{request}"


class EngineBackend(HttpBackend):
    """Adapt an OpenAI-compatible engine."""

    def make_headers(self, call: Call) -> dict[str, str]:
        """Make a call's headers, with the request's id and priority."""
        headers = {"Content-Type": call.content_type, "X-Priority": str(call.priority)}
        if call.request:
            headers["X-Request-Id"] = call.request
        if call.resume_after is not None:
            headers["Last-Event-ID"] = str(call.resume_after)
        return headers

    async def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Send a call and yield the answer's bytes as they come."""
        async with self._open(call) as (response, notice):
            if response.status != _OK:
                text = (await response.content.read(_ERROR_BYTES)).decode(errors="replace")
                detail = f"status {response.status}: {text}"
                raise TargetRejection(detail, notice)
            async for data in response.content.iter_any():
                yield data

    async def cancel(self, request: str) -> None:
        """Stop a running request; an engine that cannot is left alone."""
        if not self.row.cancels:
            return
        call = self._make_small_call("DELETE", f"/engine/requests/{request}")
        # The request has its own line; an engine that is not told ends it by itself.
        with contextlib.suppress(TroutstandError):
            await self.request(call)

    async def read_load(self) -> LoadReport:
        """Read the engine's load report."""
        reply = await self.request(self._make_small_call("GET", "/engine/load"))
        return _decode(reply, LoadReport)

    async def read_cache_events(self, after: int) -> CacheEvents:
        """Read the cache events behind a number."""
        call = self._make_small_call("GET", f"/engine/cache-events?after={after}")
        return _decode(await self.request(call), CacheEvents)

    async def order(self, order: Order) -> bool:
        """Give a fenced order; tell whether the engine took it."""
        call = self._make_small_call("POST", "/engine/orders", msgspec.json.encode(order))
        reply = await self.request(call)
        if reply.status not in (_OK, _CONFLICT):
            raise TroutstandError(ResultCode.TARGET_FAULT, f"status {reply.status}", Run.UNKNOWN)
        return reply.status == _OK

    def _make_small_call(self, method: str, path: str, body: bytes = b"") -> Call:
        return Call("", method, path, body, "application/json", 0, _SMALL_TIMEOUT_S)


def _decode(reply: Reply, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        raise TroutstandError(ResultCode.TARGET_FAULT, str(error), Run.UNKNOWN) from error
