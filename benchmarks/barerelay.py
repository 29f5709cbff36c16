"""Relay requests to one target and do nothing else, as the baseline of a comparison."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
from aiohttp import web

from troutstand.backends.http import make_session
from troutstand.testing.engine import serve_app
from troutstand.testing.site import IP


class BareRelay:
    """Forward bytes unchanged."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def relay(self, http: web.Request) -> web.StreamResponse:
        """Relay one request."""
        if self._session is None:
            self._session = make_session()
        body = await http.read()
        async with self._session.post(self._url + http.path, data=body) as answer:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(http)
            async for data in answer.content.iter_any():
                await response.write(data)
            await response.write_eof()
            return response


def main() -> None:
    """Serve until killed."""
    port, url = int(sys.argv[1]), sys.argv[2]
    application = web.Application()
    application.router.add_post("/{path:.*}", BareRelay(url).relay)
    asyncio.run(serve_app(application, IP, port))


if __name__ == "__main__":
    main()
