"""Serve the HTTP API for callers: model requests, service calls and readiness."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.daemon.callerrequests import (
    get_idempotency_key,
    parse_attempt,
    parse_engine_request,
    read_body,
)
from troutstand.daemon.enginerequests import EngineRequests
from troutstand.daemon.errorresponse import make_error_response
from troutstand.daemon.servicecalls import ServiceCall, ServiceCallHandler
from troutstand.generated.messages import ProcessState
from troutstand.util.listening import abort_response, has_response_started

if TYPE_CHECKING:
    from troutstand.daemon.callerrequests import Caller
    from troutstand.daemon.entry import EntryProcess

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

MAX_HEADER_BYTES = 8190
_RETRY_AFTER_S = 1.0
_DEFAULT_CONTENT_TYPE = "application/octet-stream"


class ListedModel(msgspec.Struct):
    """Describe one model in the response of /v1/models."""

    id: str
    object: str = "model"
    owned_by: str = "troutstand"
    created: int = 0


class ModelList(msgspec.Struct):
    """Carry the response body of /v1/models."""

    data: list[ListedModel]
    object: str = "list"


class CallerApi:
    """Serve callers and turn every failure into an error response with a result code."""

    def __init__(self, entry: EntryProcess) -> None:
        self._entry = entry
        self._engine_requests = EngineRequests(entry)
        self._service_calls = ServiceCallHandler(entry)

    def make_app(self) -> web.Application:
        """Return the aiohttp application with the API's routes."""
        limit = self._entry.settings.limits.body_bytes
        app = web.Application(middlewares=[self._handle_errors], client_max_size=limit)
        app.router.add_post("/v1/chat/completions", self._serve_engine)
        app.router.add_post("/v1/completions", self._serve_engine)
        app.router.add_get("/v1/models", self._list_models)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._serve_service)
        app.router.add_get("/healthz", self._get_health)
        return app

    @web.middleware
    async def _handle_errors(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Count the running call and turn every failure into an error response."""
        self._entry.running_calls += 1
        try:
            return await handler(request)
        except TroutstandError as error:
            return self._respond_to_error(request, error)
        except web.HTTPException as error:
            return self._respond_to_error(request, _convert_http_error(error))
        except ConnectionError:
            raise
        except Exception as error:  # unexpected errors get a result code too
            internal = TroutstandError(ResultCode.INTERNAL, type(error).__name__)
            self._entry.events.emit("internal_error", code=internal.code, detail=repr(error))
            return self._respond_to_error(request, internal)
        finally:
            self._entry.running_calls -= 1

    def _respond_to_error(self, request: web.Request, error: TroutstandError) -> web.Response:
        """Log and return an error response, or abort a response that has already started."""
        if has_response_started(request):
            self._entry.events.emit(
                "answer_broken_off",
                request.get("request_id", ""),
                error.code,
                detail=error.detail,
            )
            # aiohttp writes nothing more to the closing connection.
            abort_response(request)
        else:
            self._log_refusal(request, error)
        return make_error_response(error, request.headers.get("Idempotency-Key", "")[:128])

    def _log_refusal(self, request: web.Request, error: TroutstandError) -> None:
        self._entry.events.emit(
            "refused",
            request.get("request_id", ""),
            error.code,
            tier=request.get("tier", ""),
            run=error.run.value,
            detail=error.detail,
        )

    def _admit(self, request: web.Request) -> Caller:
        match self._entry.node.state:
            case ProcessState.serving:
                return self._entry.table_index.authorize_caller(request)
            case ProcessState.starting:
                raise TroutstandError(ResultCode.STARTING, retry_after_s=_RETRY_AFTER_S)
            case _:
                raise TroutstandError(ResultCode.DRAINING, retry_after_s=_RETRY_AFTER_S)

    async def _serve_engine(self, request: web.Request) -> web.StreamResponse:
        caller = self._admit(request)
        body = await read_body(request, self._entry.settings.limits)
        parsed = parse_engine_request(request, body, caller, self._entry.table_index)
        request["request_id"], request["tier"] = parsed.request, caller.tier.name
        self._entry.events.emit(
            "request_received",
            parsed.request,
            key=parsed.key,
            workspace=caller.workspace.name,
            tier=caller.tier.name,
            model=parsed.model,
            prompt_tokens=parsed.prompt_tokens,
        )
        return await self._engine_requests.serve(request, parsed)

    async def _serve_service(self, request: web.Request) -> web.StreamResponse:
        caller = self._admit(request)
        name = request.match_info["service"]
        service = self._entry.table_index.services.get(name)
        if service is None:
            raise TroutstandError(ResultCode.SERVICE_UNKNOWN, f"service {name[:64]!r}")
        body = await read_body(request, self._entry.settings.limits)
        key, is_key_generated = get_idempotency_key(request)
        call = ServiceCall(
            key=key,
            is_key_generated=is_key_generated,
            caller=caller,
            service=service,
            method=request.method,
            path="/" + request.match_info["path"],
            body=body,
            content_type=request.headers.get("Content-Type", _DEFAULT_CONTENT_TYPE),
            attempt=1 if is_key_generated else parse_attempt(request),
        )
        request["tier"] = caller.tier.name
        return await self._service_calls.serve(call)

    async def _list_models(self, request: web.Request) -> web.StreamResponse:
        self._admit(request)
        listed = [ListedModel(name) for name in sorted(self._entry.table_index.models)]
        return web.Response(
            body=msgspec.json.encode(ModelList(listed)), content_type="application/json"
        )

    async def _get_health(self, _: web.Request) -> web.StreamResponse:
        """Report to the load balancer whether this host accepts callers."""
        state = self._entry.node.state
        has_scheduler = self._entry.placement.scheduler is not None
        is_ready = state is ProcessState.serving and has_scheduler
        return web.Response(status=200 if is_ready else 503, text=state.value)


def _convert_http_error(error: web.HTTPException) -> TroutstandError:
    if error.status == web.HTTPRequestEntityTooLarge.status_code:
        return TroutstandError(ResultCode.BODY_TOO_LARGE)
    if error.status in (404, 405):
        return TroutstandError(ResultCode.PATH_UNKNOWN, error.reason)
    return TroutstandError(ResultCode.BODY_MALFORMED, error.reason)
