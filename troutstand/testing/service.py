"""Simulate a plain service that records every call it runs."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import msgspec
from aiohttp import web
from cyclopts import App

from troutstand.testing.engine import serve_app

app = App(name="service", help="Simulate a plain service.")


class ServiceSettings(msgspec.Struct, frozen=True):
    """Hold the settings of one simulated service worker.

    With `checks_keys` it rejects an idempotency key that it ran before.
    """

    name: str
    ip: str
    port: int
    record_file: str
    run_s: float = 0.002
    checks_keys: bool = False
    # If not 0, rejects every call with this Retry-After, in seconds.
    rest_s: float = 0.0
    # Limit sent in every response, in requests per second; empty sends none.
    limit: str = ""


class ServiceRecord(msgspec.Struct, frozen=True):
    """Record one call that the service ran, for the tests to check against."""

    at_s: float
    service: str
    key: str
    path: str
    body: str


class ServiceAnswer(msgspec.Struct, frozen=True):
    """Echo a call in its response."""

    ran: str
    path: str
    body: str


class ServiceWorker:
    """Run calls and record each one before responding."""

    def __init__(self, settings: ServiceSettings) -> None:
        self._settings = settings
        self._records = Path(settings.record_file).open("ab", buffering=0)
        self._keys: set[str] = set()

    def make_app(self) -> web.Application:
        """Make the worker's HTTP application."""
        application = web.Application(client_max_size=2**28)
        application.router.add_route("*", "/{path:.*}", self.run_call)
        return application

    async def run_call(self, http: web.Request) -> web.Response:
        """Record and run one call; answer 409 for a repeated key and 503 during backoff."""
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
    """Run the service worker that a settings file describes."""
    loaded = msgspec.json.decode(settings.read_bytes(), type=ServiceSettings)
    asyncio.run(serve_app(ServiceWorker(loaded).make_app(), loaded.ip, loaded.port))


if __name__ == "__main__":
    app()
