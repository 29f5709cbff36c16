"""Take operators' configurations and rollouts, and tell them the newest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.core.codes import ResultCode, describe_code
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.core.rollouts.state import find_rollout
from troutstand.generated.messages import StoredConfiguration
from troutstand.routing.dialect import ROLLOUTS_PATH, encode_default_rollout
from troutstand.util.listening import listen

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.generated.configuration import Configuration
    from troutstand.generated.messages import RolloutOrder
    from troutstand.generated.settings import Address
    from troutstand.routing.dialect import Dialect
    from troutstand.routing.lineclient import LineClient
    from troutstand.routing.rolloutstore import RolloutStore
    from troutstand.util.events import EventBus

MAX_BODY_BYTES = 64 << 20
_RETRY_AFTER_S = "0.2"


def _make_refusal(errors: list[TroutstandError]) -> web.Response:
    meaning = describe_code(errors[0].code)
    body = {
        "errors": [{"code": int(e.code), "name": e.code.name, "detail": e.detail} for e in errors]
    }
    response = web.json_response(body, status=meaning.http_status)
    if meaning.http_status == 503:
        response.headers["Retry-After"] = _RETRY_AFTER_S
    return response


class ControlServer:
    """Serve the operators' address of a keeper."""

    def __init__(
        self, line: LineClient, rollouts: RolloutStore, dialect: Dialect, events: EventBus
    ) -> None:
        self._line = line
        self._rollouts = rollouts
        self._dialect = dialect
        self._events = events
        self._runner: web.AppRunner | None = None

    async def start(self, address: Address) -> None:
        """Open the address."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route(*self._dialect.configuration_write, self._write)
        app.router.add_route(*self._dialect.configuration_read, self._read)
        app.router.add_route(*self._dialect.rollout_begin, self._begin_rollout)
        app.router.add_route(*self._dialect.rollout_read, self._read_rollout)
        # The operators' command line speaks the product's own form wherever it runs.
        app.router.add_get(f"{ROLLOUTS_PATH}/{{service}}/evidence", self._show_rollout)
        app.router.add_delete(f"{ROLLOUTS_PATH}/{{service}}", self._abort_rollout)
        self._runner = await listen(app, address, "control")

    async def stop(self) -> None:
        """Close the address."""
        if self._runner:
            await self._runner.cleanup()

    async def _write(self, request: web.Request) -> web.Response:
        data = await request.read()
        try:
            configuration = self._dialect.decode_configuration(data)
        except* TroutstandError as group:
            errors = [e for e in flatten_group(group) if isinstance(e, TroutstandError)]
            self._events.emit("configuration_refused", code=errors[0].code, detail=errors[0].detail)
            response = _make_refusal(errors)
        else:
            response = await self._replace(configuration, data)
        return response

    async def _replace(self, configuration: Configuration, data: bytes) -> web.Response:
        wanted = StoredConfiguration(configuration.version, data)
        try:
            held = await self._line.replace(wanted)
        except TroutstandError as error:
            self._events.emit(
                "configuration_unclear", code=error.code, version=wanted.version, bytes=len(data)
            )
            return _make_refusal([error])
        self._events.emit(
            "configuration_acknowledged", version=wanted.version, in_force=held.version
        )
        return web.json_response({"version": held.version})

    async def _read(self, request: web.Request) -> web.Response:
        try:
            held = await self._line.read()
        except TroutstandError as error:
            self._events.emit("configuration_unread", code=error.code)
            return _make_refusal([error])
        if not held.version:
            return _make_refusal([TroutstandError(ResultCode.CONFIGURATION_UNKNOWN, "none yet")])
        return web.Response(body=held.content, content_type="application/json")

    # Rollouts

    async def _begin_rollout(self, request: web.Request) -> web.Response:
        try:
            ask = self._dialect.decode_rollout(await request.read())
            await self._check_service(ask.service)
            await self._rollouts.begin(ask)
        except TroutstandError as error:
            self._events.emit("rollout_refused", code=error.code, detail=error.detail)
            return _make_refusal([error])
        self._events.emit(
            "rollout_acknowledged",
            service=ask.service,
            target_version=ask.version,
            duration_s=ask.duration_s,
        )
        return web.Response(status=200)

    async def _check_service(self, service: str) -> None:
        held = await self._line.read()
        known: set[str] = set()
        if held.version:
            configuration = self._dialect.decode_configuration(held.content)
            known = {entry.name for entry in configuration.services}
        if service not in known:
            detail = f"service {service!r} is not in configuration {held.version}"
            raise TroutstandError(ResultCode.SERVICE_UNKNOWN, detail)

    async def _read_rollout(self, request: web.Request) -> web.Response:
        return await self._tell_rollout(request, self._dialect.encode_rollout)

    async def _show_rollout(self, request: web.Request) -> web.Response:
        return await self._tell_rollout(request, encode_default_rollout)

    async def _tell_rollout(
        self, request: web.Request, encode: Callable[[RolloutOrder], bytes]
    ) -> web.Response:
        service = request.match_info["service"]
        try:
            book = await self._rollouts.read()
        except TroutstandError as error:
            self._events.emit("rollout_unread", code=error.code, service=service)
            return _make_refusal([error])
        rollout = find_rollout(book, service)
        if rollout is None or rollout.order is None:
            detail = f"service {service!r} had no rollout"
            return _make_refusal([TroutstandError(ResultCode.ROLLOUT_UNKNOWN, detail)])
        return web.Response(body=encode(rollout.order), content_type="application/json")

    async def _abort_rollout(self, request: web.Request) -> web.Response:
        service = request.match_info["service"]
        try:
            await self._rollouts.abort(service)
        except TroutstandError as error:
            self._events.emit("rollout_refused", code=error.code, detail=error.detail)
            return _make_refusal([error])
        self._events.emit("rollout_aborted", service=service)
        return web.Response(status=200)
