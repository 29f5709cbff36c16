"""Speak to a plain HTTP service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.backends.base import Backend, Call, Reply
from troutstand.backends.http import open_call

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

    from troutstand.generated.table import Target


class ServiceBackend(Backend):
    """Adapt a plain service; a request's id goes along as its Idempotency-Key."""

    def __init__(self, row: Target, session: aiohttp.ClientSession) -> None:
        super().__init__(row)
        self._session = session

    async def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Send a call and yield the answer's bytes as they come."""
        async with open_call(self._session, self.row.url, call, _make_headers(call)) as response:
            async for data in response.content.iter_any():
                yield data

    async def request(self, call: Call) -> Reply:
        """Send a call and return its whole answer."""
        async with open_call(self._session, self.row.url, call, _make_headers(call)) as response:
            return Reply(response.status, response.content_type, await response.read())

    async def cancel(self, request: str) -> None:
        """Leave the request alone: plain services cannot cancel."""


def _make_headers(call: Call) -> dict[str, str]:
    return {"Content-Type": call.content_type, "Idempotency-Key": call.request}
