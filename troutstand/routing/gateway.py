"""Run a gateway: accept callers' requests, send them to targets and return the responses."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.plannedstop import AnswerLengths, PlannedStop
from troutstand.generated.configuration import RouteKind
from troutstand.generated.messages import ProcessState
from troutstand.routing.bodymemory import HeldBodies
from troutstand.routing.callerwriter import CallerWriter
from troutstand.routing.callhandler import CallHandler
from troutstand.routing.calls import add_fingerprint, make_outgoing, parse_call
from troutstand.routing.connectionpool import ConnectionPool
from troutstand.routing.dialer import Dialer
from troutstand.routing.errorresponse import make_error_response
from troutstand.routing.follower import Follower
from troutstand.routing.metrics import GatewayMetrics
from troutstand.routing.node import RoutingNode, parse_address
from troutstand.routing.placement import Placement
from troutstand.routing.relay import Sender
from troutstand.routing.targetlist import TargetList
from troutstand.routing.tunnelclient import TunnelClient
from troutstand.routing.tunnelserver import TunnelServer
from troutstand.util.clientguard import ClientLimits
from troutstand.util.clock import read_clock_s
from troutstand.util.guardedconnection import MAX_HEADER_BYTES, GuardedConnection
from troutstand.util.guardedserver import MAX_HEADERS, GuardedServer, receive_body
from troutstand.util.listening import listen, open_site, write_full_response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from troutstand.core.configuration import RouteTable
    from troutstand.generated.routing import RoutingSettings
    from troutstand.routing.calls import Call
    from troutstand.routing.dialect import Dialect

_MS_PER_S = 1000.0
_CONNECT_TIMEOUT_S = 0.3
_PRUNE_INTERVAL_S = 1.0
_KEEP_ALIVE_TIMEOUT_S = 75.0
_DRAIN_POLL_INTERVAL_S = 0.02
_IDLE_BEFORE_STOP_S = 0.6
# After an answer, the caller's next request may already be on its way.
_IDLE_BEFORE_CLOSE_S = 0.1
# Shares of the stop timeout. The server waits the cleanup share for open requests and again
# after it cancels them; all must end before the process is killed from outside. With 0.4 s
# each, a gateway with 8 s to stop was killed 0.3 s before its end.
_CLEANUP_SHARE = 0.02
# New connections are accepted until this share, while load balancers see it is not ready.
_ACCEPT_SHARE = 0.375
_STARTING_RETRY_AFTER_S = 0.5
_STOPPED_RETRY_AFTER_S = 0.1


class Gateway:
    """Serve the callers of one host."""

    def __init__(self, settings: RoutingSettings, dialect: Dialect) -> None:
        self.settings = settings
        self.dialect = dialect
        self.node = RoutingNode(settings)
        self.metrics = GatewayMetrics(self.node.events)
        self.node.metrics = self.metrics
        self.follower = Follower(self.node, dialect, self._update_table)
        self.targets = TargetList(settings.target_list, dialect)
        self.tunnels = TunnelClient(
            self.node.identity,
            settings.failure_domain,
            _CONNECT_TIMEOUT_S,
            self.node.random,
            settings.bind_ip,
        )
        self.dialer = Dialer(_CONNECT_TIMEOUT_S, settings.bind_ip, self.tunnels, self.node.events)
        paths = self.dialer.paths
        self.tunnel_server = TunnelServer(
            self.node, paths, _CONNECT_TIMEOUT_S, self.metrics.served_tunnels.set
        )
        self.placement = Placement(
            self.node,
            self.targets,
            self.follower,
            paths,
            self.tunnels,
        )
        self.pool = ConnectionPool(self.dialer)
        self.sender = Sender(self.pool, dialect.headers, self.placement)
        memory = self.node.guard.memory
        memory.max_body_bytes = settings.request_bodies_bytes
        self.node.guard.get_limits = self._get_client_limits
        self.metrics.watch_clients(memory)
        self._busy_connections: set[web.RequestHandler] = set()
        # When the last answer ended on a connection that was not told to close, while stopping.
        self._answered_s: dict[web.RequestHandler, float] = {}
        self.answer_lengths = AnswerLengths()
        self.planned_stop: PlannedStop | None = None
        # Set when the drain of a planned stop is over and open requests are aborted.
        self.is_aborting = False
        # Called before open requests are aborted; refuse those whose response has not started.
        self.on_abort: set[Callable[[], None]] = set()
        self._runners: list[web.BaseRunner] = []
        self._site: web.BaseSite | None = None
        self._server: web.Server | None = None

    def _update_table(self, table: RouteTable) -> None:
        self.metrics.version.set(table.version)
        self.placement.update_table(table)

    async def start(self) -> None:
        """Open the listening addresses and start the background tasks."""
        self.node.start_event_log()
        await self.tunnel_server.start()
        await self._listen_callers()
        await self._listen_readiness()
        self.node.state = ProcessState.serving
        self.node.spawn_loop(self.follower.run, "follower")
        self.placement.start()
        self.node.spawn_loop(self._run_pruning, "upkeep")
        await self.node.start_metrics()

    async def _listen_callers(self) -> None:
        server = GuardedServer(
            self._handle,
            request_factory=_create_request,
            handler_cancellation=True,
            access_log=None,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            keepalive_timeout=_KEEP_ALIVE_TIMEOUT_S,
            # Bodies reach targets as they were sent.
            auto_decompress=False,
        )
        server.guard = self.node.guard
        self._server = server
        runner = web.ServerRunner(server, shutdown_timeout=_CLEANUP_SHARE * self.settings.stop_s)
        await runner.setup()
        address = parse_address(self.settings.callers)
        self._site = await open_site(runner, address, "callers")
        self._runners.append(runner)

    async def _listen_readiness(self) -> None:
        app = web.Application()
        app.router.add_get(self.dialect.readiness_path, self._handle_readiness)
        address = parse_address(self.settings.readiness)
        self._runners.append(await listen(app, address, "readiness", self.node.guard))

    @property
    def is_stopping(self) -> bool:
        """Return whether the gateway was told to stop."""
        return self.planned_stop is not None

    @property
    def is_ready(self) -> bool:
        """Return whether the gateway accepts new callers."""
        is_routable = self.follower.table is not None and self.placement.can_place
        return is_routable and self.follower.is_fresh and not self.is_stopping

    async def _handle_readiness(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    async def _run_pruning(self) -> None:
        while True:
            await asyncio.sleep(_PRUNE_INTERVAL_S)
            self.pool.prune()
            self.metrics.cut_paths.set(len(self.dialer.paths))
            await self.dialer.probe_cut_paths()

    async def stop(self) -> None:
        """Drain the open requests, abort those that remain, and close."""
        stop_s = self.settings.stop_s
        self.planned_stop = stop = PlannedStop.begin(read_clock_s(), stop_s)
        self.tunnel_server.is_stopping = True
        self.node.state = ProcessState.draining
        self.node.events.emit("stop_started", open=self.open_requests)
        await asyncio.sleep(_ACCEPT_SHARE * stop_s)
        if self._site is not None:
            await self._site.stop()
        await self._wait_drained(stop.aborted_s)
        self.node.events.emit("stop_ended", left=self.open_requests)
        self.is_aborting = True
        for refuse in list(self.on_abort):
            refuse()
        for runner in self._runners:
            try:
                await runner.cleanup()
            except Exception as error:  # a failed cleanup must not prevent the exit
                self.node.events.emit("stop_failed", code=ResultCode.INTERNAL, detail=repr(error))
        self.tunnel_server.close()
        self.pool.close()
        self.targets.close()
        await self.node.close()

    async def _wait_drained(self, end_s: float) -> None:
        """Wait until no request was open for a while, since one may still be in transit."""
        last_busy_s = read_clock_s()
        while read_clock_s() < end_s:
            now_s = read_clock_s()
            self._close_idle_connections()
            if self.open_requests or self.tunnel_server.busy_count:
                last_busy_s = now_s
            elif now_s - last_busy_s > _IDLE_BEFORE_STOP_S:
                return
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)

    # Requests

    def explain_refusal(self, call: Call) -> str:
        """Return why a stopping gateway cannot take a request; empty if it can."""
        stop, now_s = self.planned_stop, read_clock_s()
        if stop is None:
            return ""
        length_s = self.answer_lengths.estimate_s(call.route.name, call.service)
        is_stream = call.route.kind is RouteKind.streaming
        if stop.can_answer(now_s, call.deadline_s, length_s, is_stream):
            return ""
        usual = "unknown" if length_s is None else f"{length_s:.3f}"
        left_s, deadline_s = stop.aborted_s - now_s, call.deadline_s - now_s
        return (
            f"the gateway is stopping: left_s={left_s:.3f} deadline_s={deadline_s:.3f} "
            f"usual_s={usual} stream={is_stream}"
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, GuardedConnection)
        self._busy_connections.add(connection)
        try:
            with HeldBodies(connection) as held_bodies:
                response = await self._respond(request, held_bodies)
                await self._write_response(request, response)
            if self.is_stopping and response.keep_alive:
                self._answered_s[connection] = read_clock_s()
        finally:
            self._busy_connections.discard(connection)
        return response

    async def _write_response(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Write a response while its connection still counts as busy."""
        if response.prepared:
            return
        if self.is_stopping:
            response.force_close()
        try:
            # The caller has disconnected.
            with contextlib.suppress(ConnectionError):
                if not await write_full_response(request, response):
                    self._log_dropped_response(request, response)
        finally:
            if isinstance(response, web.Response):
                # The connection keeps its last response for as long as it is idle.
                response.body = None

    def _log_dropped_response(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        self.node.events.emit(
            "second_answer_dropped",
            request.headers.get(self.dialect.headers.request, ""),
            code=ResultCode.INTERNAL,
            status=response.status,
        )

    @property
    def open_requests(self) -> int:
        """Return the number of requests in flight."""
        return len(self._busy_connections)

    def _close_idle_connections(self) -> None:
        """Close idle connections; a busy one closes after its response."""
        if self._server is None:
            return
        least_s = read_clock_s() - _IDLE_BEFORE_CLOSE_S
        for connection in self._server.connections:
            if connection in self._busy_connections or connection.transport is None:
                continue
            if self._answered_s.get(connection, least_s) <= least_s:
                connection.transport.close()

    async def _respond(
        self, request: web.BaseRequest, held_bodies: HeldBodies
    ) -> web.StreamResponse:
        table = self.follower.table
        if table is None:
            detail = "the gateway has not received a configuration yet"
            return make_error_response(
                TroutstandError(ResultCode.STARTING, detail, retry_after_s=_STARTING_RETRY_AFTER_S)
            )
        try:
            call, data = await self._receive_call(request, table)
        except TroutstandError as error:
            self._log_refused(request, error, table.version)
            return make_error_response(error)
        headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in request.raw_headers]
        names, path = self.dialect.headers, request.raw_path
        outgoing = make_outgoing(call, names, request.method, path, headers, data)
        return await CallHandler(self, request, call, outgoing, held_bodies).run()

    async def _receive_call(
        self, request: web.BaseRequest, table: RouteTable
    ) -> tuple[Call, bytes]:
        path, names = request.raw_path, self.dialect.headers
        call = parse_call(table, names, request.headers, path, self.settings.tier_order)
        limit = table.configuration.limits.body_bytes
        data = await self._receive_body(request, limit, call.deadline_s)
        host = request.headers.get("host", "")
        return add_fingerprint(call, request.method, host, path, data), data

    def _log_refused(self, request: web.BaseRequest, error: TroutstandError, version: int) -> None:
        key = request.headers.get(self.dialect.headers.request, "")
        self.node.events.emit(
            "request_refused", key, code=error.code, detail=error.detail, version=version
        )

    async def _receive_body(self, request: web.BaseRequest, limit: int, deadline_s: float) -> bytes:
        """Return the body of a request.

        Raises
        ------
        TroutstandError
            BODY_TOO_LARGE, BODIES_FULL, REQUEST_TIMEOUT at the deadline of the request, or
            DRAINING if the gateway aborts its requests first.
        """
        try:
            async with asyncio.timeout(deadline_s - read_clock_s()) as timeout:
                with self.refuse_on_abort(timeout):
                    return await receive_body(request, limit)
        except TimeoutError as error:
            if self.is_aborting:
                detail = "the gateway stopped before the request body had arrived"
                raise TroutstandError(
                    ResultCode.DRAINING, detail, retry_after_s=_STOPPED_RETRY_AFTER_S
                ) from error
            detail = "the request body had not arrived whole at the deadline of the request"
            raise TroutstandError(ResultCode.REQUEST_TIMEOUT, detail) from error

    def _get_client_limits(self) -> ClientLimits:
        """Return the limits of the configuration in force."""
        table = self.follower.table
        if table is None:
            return ClientLimits()
        limits = table.configuration.limits
        return ClientLimits(
            header_bytes=limits.header_bytes,
            head_s=limits.header_timeout_ms / _MS_PER_S,
            # The deadline of a request ends its body.
            body_s=None,
            idle_s=limits.idle_timeout_ms / _MS_PER_S,
        )

    @contextlib.contextmanager
    def refuse_on_abort(
        self, timeout: asyncio.Timeout, has_started: Callable[[], bool] = lambda: False
    ) -> Iterator[None]:
        """End a timeout when open requests are aborted, unless a response has started."""

        def end() -> None:
            if not has_started():
                timeout.reschedule(asyncio.get_running_loop().time())

        self.on_abort.add(end)
        try:
            yield
        finally:
            self.on_abort.discard(end)


def _create_request(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
    """Create a request object with the gateway's own writer."""
    loop = asyncio.get_running_loop()
    return web.BaseRequest(
        message,
        payload,
        protocol,
        CallerWriter(protocol, loop),
        task,
        loop,
    )
