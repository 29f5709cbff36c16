"""Serve the operators' HTTP interface of a keeper: configurations and rollouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.core.codes import ResultCode, describe_code
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.core.rollouts.state import find_rollout
from troutstand.generated.messages import StoredConfiguration
from troutstand.routing.dialect import ROLLOUTS_PATH, encode_default_rollout
from troutstand.util.guardedserver import receive_body
from troutstand.util.listening import listen

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.generated.configuration import Configuration
    from troutstand.generated.messages import RolloutOrder
    from troutstand.generated.settings import Address
    from troutstand.routing.dialect import Dialect
    from troutstand.routing.lineclient import LineClient
    from troutstand.routing.rolloutstore import RolloutStore
    from troutstand.util.clientguard import ClientGuard
    from troutstand.util.events import EventBus

MAX_BODY_BYTES = 64 << 20
_RETRY_AFTER_S = "0.2"


def _make_error_response(errors: list[TroutstandError]) -> web.Response:
    description = describe_code(errors[0].code)
    body = {
        "errors": [{"code": int(e.code), "name": e.code.name, "detail": e.detail} for e in errors]
    }
    response = web.json_response(body, status=description.http_status)
    if description.http_status == 503:
        response.headers["Retry-After"] = _RETRY_AFTER_S
    return response


class ControlServer:
    """Accept and return configurations and rollout orders over HTTP."""

    def __init__(
        self, line: LineClient, rollouts: RolloutStore, dialect: Dialect, events: EventBus
    ) -> None:
        self._line = line
        self._rollouts = rollouts
        self._dialect = dialect
        self._events = events
        self._runner: web.AppRunner | None = None

    async def start(self, address: Address, guard: ClientGuard) -> None:
        """Start listening on the address."""
        app = web.Application()
        app.router.add_route(*self._dialect.configuration_write, self._write_configuration)
        app.router.add_route(*self._dialect.configuration_read, self._read_configuration)
        app.router.add_route(*self._dialect.rollout_begin, self._begin_rollout)
        app.router.add_route(*self._dialect.rollout_read, self._read_rollout)
        # The command line uses the default dialect in every deployment.
        app.router.add_get(f"{ROLLOUTS_PATH}/{{service}}/evidence", self._read_rollout_evidence)
        app.router.add_delete(f"{ROLLOUTS_PATH}/{{service}}", self._abort_rollout)
        self._runner = await listen(app, address, "control", guard)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner:
            await self._runner.cleanup()

    async def _write_configuration(self, request: web.Request) -> web.Response:
        try:
            data = await receive_body(request, MAX_BODY_BYTES)
            configuration = self._dialect.decode_configuration(data)
        except* TroutstandError as group:
            errors = [e for e in flatten_group(group) if isinstance(e, TroutstandError)]
            self._events.emit("configuration_refused", code=errors[0].code, detail=errors[0].detail)
            response = _make_error_response(errors)
        else:
            response = await self._replace_configuration(configuration, data)
        return response

    async def _replace_configuration(
        self, configuration: Configuration, data: bytes
    ) -> web.Response:
        proposal = StoredConfiguration(configuration.version, data)
        try:
            current = await self._line.replace(proposal)
        except TroutstandError as error:
            self._events.emit(
                "configuration_unclear", code=error.code, version=proposal.version, bytes=len(data)
            )
            return _make_error_response([error])
        self._events.emit(
            "configuration_acknowledged", version=proposal.version, in_force=current.version
        )
        return web.json_response({"version": current.version})

    async def _read_configuration(self, request: web.Request) -> web.Response:
        try:
            current = await self._line.read()
        except TroutstandError as error:
            self._events.emit("configuration_unread", code=error.code)
            return _make_error_response([error])
        if not current.version:
            return _make_error_response(
                [TroutstandError(ResultCode.CONFIGURATION_UNKNOWN, "no configuration is stored")]
            )
        return web.Response(body=current.content, content_type="application/json")

    # Rollouts

    async def _begin_rollout(self, request: web.Request) -> web.Response:
        try:
            rollout_request = self._dialect.decode_rollout(
                await receive_body(request, MAX_BODY_BYTES)
            )
            await self._check_service(rollout_request.service)
            await self._rollouts.begin(rollout_request)
        except TroutstandError as error:
            self._events.emit("rollout_refused", code=error.code, detail=error.detail)
            return _make_error_response([error])
        self._events.emit(
            "rollout_acknowledged",
            service=rollout_request.service,
            target_version=rollout_request.version,
            duration_s=rollout_request.duration_s,
        )
        return web.Response(status=200)

    async def _check_service(self, service: str) -> None:
        current = await self._line.read()
        services: set[str] = set()
        if current.version:
            configuration = self._dialect.decode_configuration(current.content)
            services = {entry.name for entry in configuration.services}
        if service not in services:
            detail = f"service {service!r} is not in configuration {current.version}"
            raise TroutstandError(ResultCode.SERVICE_UNKNOWN, detail)

    async def _read_rollout(self, request: web.Request) -> web.Response:
        return await self._respond_with_rollout(request, self._dialect.encode_rollout)

    async def _read_rollout_evidence(self, request: web.Request) -> web.Response:
        return await self._respond_with_rollout(request, encode_default_rollout)

    async def _respond_with_rollout(
        self, request: web.Request, encode: Callable[[RolloutOrder], bytes]
    ) -> web.Response:
        service = request.match_info["service"]
        try:
            book = await self._rollouts.read()
        except TroutstandError as error:
            self._events.emit("rollout_unread", code=error.code, service=service)
            return _make_error_response([error])
        rollout = find_rollout(book, service)
        if rollout is None or rollout.order is None:
            detail = f"service {service!r} has no rollout"
            return _make_error_response([TroutstandError(ResultCode.ROLLOUT_UNKNOWN, detail)])
        return web.Response(body=encode(rollout.order), content_type="application/json")

    async def _abort_rollout(self, request: web.Request) -> web.Response:
        service = request.match_info["service"]
        try:
            await self._rollouts.abort(service)
        except TroutstandError as error:
            self._events.emit("rollout_refused", code=error.code, detail=error.detail)
            return _make_error_response([error])
        self._events.emit("rollout_aborted", service=service)
        return web.Response(status=200)
