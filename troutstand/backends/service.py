"""Speak to a plain HTTP service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.backends.http import HttpBackend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from troutstand.backends.base import Call


class ServiceBackend(HttpBackend):
    """Adapt a plain service; a request's id goes along as its Idempotency-Key."""

    def make_headers(self, call: Call) -> dict[str, str]:
        """Make a call's headers."""
        return {"Content-Type": call.content_type, "Idempotency-Key": call.request}

    async def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Send a call and yield the answer's bytes as they come."""
        async with self._open(call) as (response, _):
            async for data in response.content.iter_any():
                yield data

    async def cancel(self, request: str) -> None:
        """Leave the request alone: plain services cannot cancel."""
