"""Run a gateway: take callers' requests and bring each to one target and back."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import ProcessState
from troutstand.routing.callhandler import CallHandler
from troutstand.routing.calls import identify, make_outgoing, parse_call
from troutstand.routing.errorresponse import make_error_response
from troutstand.routing.follower import Follower
from troutstand.routing.httpclient import ConnectionPool
from troutstand.routing.metrics import GatewayMetrics
from troutstand.routing.node import RoutingNode, parse_address
from troutstand.routing.placement import Placement
from troutstand.routing.relay import Sender
from troutstand.routing.targetlist import TargetList
from troutstand.util.clock import read_clock_s
from troutstand.util.listening import MAX_HEADER_BYTES, listen, write_full_response

if TYPE_CHECKING:
    from troutstand.core.configuration import RouteTable
    from troutstand.generated.routing import RoutingSettings
    from troutstand.routing.dialect import Dialect

_CONNECT_S = 0.3
_PRUNE_S = 1.0
_MAX_BODY_BYTES = 256 << 20
_BACKLOG = 1024
_KEEP_ALIVE_S = 75.0
_POLL_S = 0.02
_QUIET_S = 0.6
# For what is left then the server waits for this share of the time to stop, and as long again
# once it is cancelled. With 0.4 s each a gateway of 8 s was ended from outside 0.3 s before it
# would have ended by itself (3 to 7 processes on each of ten recorded days, none with this).
_SHUTDOWN_SHARE = 0.02
# After this share of the time to stop, no new request is expected any more.
_QUIET_SHARE = 0.375
# What is left at this share is cut, so that the process ends by itself.
_END_SHARE = 0.92
_STARTING_RETRY_S = 0.5


class Gateway:
    """Serve callers of one host."""

    def __init__(self, settings: RoutingSettings, dialect: Dialect) -> None:
        self.settings = settings
        self.dialect = dialect
        self.node = RoutingNode(settings)
        self.metrics = GatewayMetrics(self.node.events)
        self.node.metrics = self.metrics
        self.follower = Follower(self.node, dialect, self._use_table)
        self.targets = TargetList(settings.target_list, dialect)
        self.placement = Placement(self.node, self.targets, self.follower.rollouts)
        self.pool = ConnectionPool(_CONNECT_S)
        self.sender = Sender(self.pool, dialect.headers, self.placement)
        self._busy: set[web.RequestHandler] = set()
        self.is_stopping = False
        # Whether a planned stop has come to its end: what is still open is cut now.
        self.is_cutting = False
        self._runners: list[web.BaseRunner] = []
        self._site: web.TCPSite | None = None
        self._server: web.Server | None = None

    def _use_table(self, table: RouteTable) -> None:
        self.metrics.version.set(table.version)
        self.placement.update_table(table)

    async def start(self) -> None:
        """Open the addresses and find the others."""
        self.node.open_events()
        await self._listen_callers()
        await self._listen_readiness()
        self.node.state = ProcessState.serving
        self.node.spawn(self.follower.run(), "follower")
        self.placement.start()
        self.node.spawn(self._run_upkeep(), "upkeep")
        await self.node.open_metrics()

    async def _listen_callers(self) -> None:
        server = web.Server(
            self._handle,
            request_factory=_make_request,
            handler_cancellation=True,
            access_log=None,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            keepalive_timeout=_KEEP_ALIVE_S,
        )
        self._server = server
        runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_SHARE * self.settings.stop_s)
        await runner.setup()
        address = parse_address(self.settings.callers)
        self._site = web.TCPSite(runner, address.ip, address.port, backlog=_BACKLOG)
        try:
            await self._site.start()
        except OSError as error:
            detail = f"callers {self.settings.callers}: {error}"
            raise TroutstandError(ResultCode.ADDRESS_IN_USE, detail) from error
        self._runners.append(runner)

    async def _listen_readiness(self) -> None:
        app = web.Application()
        app.router.add_get(self.dialect.readiness_path, self._tell_readiness)
        address = parse_address(self.settings.readiness)
        self._runners.append(await listen(app, address, "readiness"))

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers should come here."""
        knows = self.follower.table is not None and self.placement.can_place
        return knows and self.follower.is_fresh and not self.is_stopping

    async def _tell_readiness(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    async def _run_upkeep(self) -> None:
        while True:
            await asyncio.sleep(_PRUNE_S)
            self.pool.prune()

    async def stop(self) -> None:
        """Let others take new callers, finish what is open, then end."""
        started_s = read_clock_s()
        self.is_stopping = True
        self.node.state = ProcessState.draining
        self.node.events.emit("stop_started", open=self.open_requests)
        await asyncio.sleep(_QUIET_SHARE * self.settings.stop_s)
        if self._site is not None:
            await self._site.stop()
        await self._wait_quiet(started_s + _END_SHARE * self.settings.stop_s)
        self.node.events.emit("stop_ended", left=self.open_requests)
        self.is_cutting = True
        for runner in self._runners:
            try:
                await runner.cleanup()
            except Exception as error:  # the process ends all the same
                self.node.events.emit("stop_failed", code=ResultCode.INTERNAL, detail=repr(error))
        self.pool.close()
        self.targets.close()
        await self.node.close()

    async def _wait_quiet(self, end_s: float) -> None:
        """Wait until no request was open for a while: one may be on its way here."""
        busy_s = read_clock_s()
        while read_clock_s() < end_s:
            now_s = read_clock_s()
            self._close_idle()
            if self.open_requests:
                busy_s = now_s
            elif now_s - busy_s > _QUIET_S:
                return
            await asyncio.sleep(_POLL_S)

    # Requests

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        self._busy.add(protocol)
        try:
            response = await self._answer(request)
            await self._send(request, response)
        finally:
            self._busy.discard(protocol)
        return response

    async def _send(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Write an answer while its connection still counts as busy."""
        if response.prepared:
            return
        if self.is_stopping:
            response.force_close()
        # The caller left; its answer is logged, and nobody is there to be told.
        with contextlib.suppress(ConnectionError):
            if not await write_full_response(request, response):
                self._note_second_answer(request, response)

    def _note_second_answer(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        self.node.events.emit(
            "second_answer_dropped",
            request.headers.get(self.dialect.headers.request, ""),
            code=ResultCode.INTERNAL,
            status=response.status,
        )

    @property
    def open_requests(self) -> int:
        """Return how many requests are being answered."""
        return len(self._busy)

    def _close_idle(self) -> None:
        """Close connections at rest; a busy one ends behind its answer."""
        if self._server is None:
            return
        for connection in self._server.connections:
            if connection not in self._busy and connection.transport is not None:
                connection.transport.close()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        table = self.follower.table
        if table is None:
            detail = "no configuration is known yet"
            return make_error_response(
                TroutstandError(ResultCode.STARTING, detail, retry_after_s=_STARTING_RETRY_S)
            )
        names = self.dialect.headers
        path = request.raw_path
        limit = table.configuration.limits.body_bytes
        try:
            call = parse_call(table, names, request.headers, path, self.settings.tier_order)
            body = await _read_body(request, limit)
            call = identify(call, request.method, request.headers.get("host", ""), path, body)
        except TroutstandError as error:
            key = request.headers.get(names.request, "")
            self.node.events.emit(
                "request_refused", key, code=error.code, detail=error.detail, version=table.version
            )
            return make_error_response(error)
        headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in request.raw_headers]
        outgoing = make_outgoing(call, names, request.method, path, headers, body)
        return await CallHandler(self, request, call, outgoing).run()


def _make_request(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
    """Make a request object that lets bodies up to our own bound through."""
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=_MAX_BODY_BYTES,
    )


async def _read_body(request: web.BaseRequest, limit: int) -> bytes:
    if (request.content_length or 0) > limit:
        raise TroutstandError(ResultCode.BODY_TOO_LARGE, f"{limit} bytes are accepted")
    if request.headers.get("expect", "").lower() == "100-continue" and request.transport:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    if not request.body_exists:
        return b""
    data = await request.read()
    if len(data) > limit:
        raise TroutstandError(ResultCode.BODY_TOO_LARGE, f"{limit} bytes are accepted")
    return data
