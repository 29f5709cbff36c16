"""Stand in for a plain service that writes down every call it runs."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import msgspec
from aiohttp import web
from cyclopts import App

from troutstand.testing.engine import serve_app

app = App(name="service", help="Stand in for a plain service.")


class ServiceSettings(msgspec.Struct, frozen=True):
    """Describe one stand-in service worker.

    `checks_keys` makes it refuse a key that it ran before, as targets that
    check orders do.
    """

    name: str
    ip: str
    port: int
    record_file: str
    run_s: float = 0.002
    checks_keys: bool = False
    # Turns every call away and asks for so many seconds of rest; 0 turns none away.
    rest_s: float = 0.0
    # The limit that every answer names, in requests a second; empty is not told.
    limit: str = ""


class ServiceRecord(msgspec.Struct, frozen=True):
    """Tell one call that the service ran; the tests' oracle."""

    at_s: float
    service: str
    key: str
    path: str
    body: str


class ServiceAnswer(msgspec.Struct, frozen=True):
    """Answer a call with what it was."""

    ran: str
    path: str
    body: str


class ServiceWorker:
    """Run calls and record each before answering."""

    def __init__(self, settings: ServiceSettings) -> None:
        self._settings = settings
        self._records = Path(settings.record_file).open("ab", buffering=0)
        self._keys: set[str] = set()

    def make_app(self) -> web.Application:
        """Make the worker's application."""
        application = web.Application(client_max_size=2**28)
        application.router.add_route("*", "/{path:.*}", self.run_call)
        return application

    async def run_call(self, http: web.Request) -> web.Response:
        """Run one call."""
        key = http.headers.get("Idempotency-Key", "")
        body = (await http.read()).decode(errors="replace")
        if self._settings.checks_keys and key in self._keys:
            return web.Response(status=409)
        record = ServiceRecord(time.time(), self._settings.name, key, http.path, body)
        self._records.write(msgspec.json.encode(record) + b"\n")
        if self._settings.rest_s:
            return web.Response(status=503, headers={"Retry-After": f"{self._settings.rest_s:g}"})
        self._keys.add(key)
        await asyncio.sleep(self._settings.run_s)
        answer = msgspec.json.encode(ServiceAnswer(key, http.path, body))
        limit = {"X-Target-Limit": self._settings.limit} if self._settings.limit else None
        return web.Response(body=answer, content_type="application/json", headers=limit)


@app.default
def run(settings: Path) -> None:
    """Run the stand-in that a settings file describes."""
    loaded = msgspec.json.decode(settings.read_bytes(), type=ServiceSettings)
    asyncio.run(serve_app(ServiceWorker(loaded).make_app(), loaded.ip, loaded.port))


if __name__ == "__main__":
    app()
