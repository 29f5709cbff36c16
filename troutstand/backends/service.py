"""Adapt plain HTTP services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.backends.http import HttpBackend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from troutstand.backends.base import Call


class ServiceBackend(HttpBackend):
    """Adapt a plain HTTP service; the request id is sent as the Idempotency-Key."""

    def make_headers(self, call: Call) -> dict[str, str]:
        """Make the headers of a call."""
        return {"Content-Type": call.content_type, "Idempotency-Key": call.request}

    async def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Send a call and yield the response body in chunks as they arrive."""
        async with self._open(call) as (response, _):
            async for data in response.content.iter_any():
                yield data

    async def cancel(self, request: str) -> None:
        """Do nothing: plain services can't cancel a request."""
