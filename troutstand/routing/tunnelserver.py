"""Open connections to targets for peer gateways that have lost their own paths to them."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import socket
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.routing.node import parse_address
from troutstand.routing.responseprogress import ResponseProgress
from troutstand.routing.tunnel import (
    CHALLENGE_BYTES,
    END_FRAME,
    FRAME_HEADER,
    MAX_REQUEST_BYTES,
    REQUEST_HEADER,
    TunnelOutcome,
    TunnelRequest,
    make_reply,
    parse_request,
)
from troutstand.util.clock import read_clock_s
from troutstand.util.listening import ACCEPTED_AT_ONCE, lengthen_backlog, open_listener

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.paths import PathTable
    from troutstand.routing.node import RoutingNode

_HANDSHAKE_TIMEOUT_S = 1.0
_READ_BYTES = 1 << 16
_MAX_TUNNELS = 512
# A tunnel may get its next request for this long after its latest traffic.
_IDLE_S = 0.3
# A gateway whose host is lost is noticed after 8 s, so that its tunnels do not stay open.
_KEEP_ALIVE_IDLE_S = 5
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 3
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(eq=False)
class OpenTunnel:
    """Track the traffic of one tunnel; times in seconds on the steady clock."""

    last_traffic_s: float
    progress: ResponseProgress = field(default_factory=ResponseProgress)

    def is_busy(self, now_s: float) -> bool:
        """Return whether a request is under way, or was until just now."""
        return self.progress.is_under_way or now_s - self.last_traffic_s < _IDLE_S


class TunnelServer:
    """Pass bytes between peer gateways and targets.

    Parameters
    ----------
    connect_timeout_s
        Timeout of a connection to a target, in seconds.
    on_change
        Called with the number of open tunnels when it changes.
    """

    def __init__(
        self,
        node: RoutingNode,
        paths: PathTable,
        connect_timeout_s: float,
        on_change: Callable[[int], None],
    ) -> None:
        self._node = node
        self._paths = paths
        self._connect_timeout_s = connect_timeout_s
        self._on_change = on_change
        self._tunnels: set[OpenTunnel] = set()
        self._server: asyncio.Server | None = None
        self.is_stopping = False

    async def start(self) -> None:
        """Listen at the process's link address.

        Raises
        ------
        TroutstandError
            ADDRESS_IN_USE.
        """
        address = self._node.listen_address
        try:
            listener = open_listener(address)
            self._server = await asyncio.start_server(
                self._serve, sock=listener, backlog=ACCEPTED_AT_ONCE
            )
            lengthen_backlog(listener)
        except OSError as error:
            detail = f"tunnels {self._node.process}: {error}"
            raise TroutstandError(ResultCode.ADDRESS_IN_USE, detail) from error

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    @property
    def busy_count(self) -> int:
        """Return the number of tunnels that carry a request, or did until just now."""
        now_s = read_clock_s()
        return sum(tunnel.is_busy(now_s) for tunnel in self._tunnels)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _enable_keep_alive(writer)
        pending = self._node.pending_peers
        oldest = pending.add(writer.transport)
        if oldest is not None:
            oldest.abort()
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                request, challenge = await self._receive_request(reader, writer)
        except TroutstandError as error:
            self._node.events.emit("tunnel_refused", code=error.code, detail=error.detail)
            writer.transport.abort()
            return
        except (OSError, EOFError, TimeoutError) as error:
            # The gateway has given up, since another peer was faster.
            self._node.events.emit("tunnel_abandoned", detail=type(error).__name__)
            writer.transport.abort()
            return
        finally:
            pending.discard(writer.transport)
        outcome, target = await self._connect(request)
        writer.write(make_reply(self._node.identity, challenge, request.nonce, outcome))
        if target is None:
            writer.close()
            return
        tunnel = OpenTunnel(read_clock_s())
        self._tunnels.add(tunnel)
        self._on_change(len(self._tunnels))
        try:
            await _pass_bytes(tunnel, (reader, writer), target)
        finally:
            self._tunnels.discard(tunnel)
            self._on_change(len(self._tunnels))

    async def _receive_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[TunnelRequest, bytes]:
        challenge = secrets.token_bytes(CHALLENGE_BYTES)
        writer.write(challenge)
        (length,) = REQUEST_HEADER.unpack(await reader.readexactly(REQUEST_HEADER.size))
        if length > MAX_REQUEST_BYTES:
            detail = f"the tunnel request has {length} bytes, at most {MAX_REQUEST_BYTES} allowed"
            raise TroutstandError(ResultCode.LINK_REFUSED, detail)
        data = await reader.readexactly(length)
        return parse_request(self._node.identity, challenge, data), challenge

    async def _connect(
        self, request: TunnelRequest
    ) -> tuple[TunnelOutcome, tuple[asyncio.StreamReader, asyncio.StreamWriter] | None]:
        """Connect to the target of a request, directly and never through another peer."""
        if self._paths.prefers_tunnel(request.address, read_clock_s()):
            return TunnelOutcome.CUT, None
        if self.is_stopping or len(self._tunnels) >= _MAX_TUNNELS:
            return TunnelOutcome.BUSY, None
        bind_ip = self._node.settings.bind_ip
        try:
            endpoint = parse_address(request.address)
            async with asyncio.timeout(self._connect_timeout_s):
                target = await asyncio.open_connection(
                    endpoint.ip,
                    endpoint.port,
                    local_addr=(bind_ip, 0) if bind_ip else None,
                )
        except ConnectionRefusedError:
            return TunnelOutcome.REFUSED, None
        except (OSError, TimeoutError):
            return TunnelOutcome.UNREACHED, None
        except ValueError:
            # The address has no valid port.
            return TunnelOutcome.DENIED, None
        if await self._is_dropped(target[0]):
            target[1].transport.abort()
            return TunnelOutcome.UNREACHED, None
        return TunnelOutcome.OPENED, target

    async def _is_dropped(self, reader: asyncio.StreamReader) -> bool:
        """Return whether a new connection is dropped; waits only if others were lately."""
        opened_s, dropped = read_clock_s(), self._paths.dropped
        if not dropped.is_recent(opened_s):
            return False
        await asyncio.sleep(dropped.get_settle_s(opened_s))
        is_dropped = reader.at_eof() or reader.exception() is not None
        if is_dropped:
            dropped.record(read_clock_s() - opened_s, read_clock_s())
        return is_dropped


Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _pass_bytes(tunnel: OpenTunnel, peer: Stream, target: Stream) -> None:
    """Pass bytes in both directions until either side ends, then end both."""
    sending = asyncio.create_task(_pass_request_bytes(tunnel, peer[0], target[1]))
    receiving = asyncio.create_task(_pass_response_bytes(tunnel, target[0], peer[1]))
    try:
        await asyncio.wait({sending, receiving}, return_when=asyncio.FIRST_COMPLETED)
        has_ended = receiving.done() and receiving.exception() is None
    finally:
        for task in (sending, receiving):
            task.cancel()
        await asyncio.gather(sending, receiving, return_exceptions=True)
        # The target stops the work for a caller that has left.
        target[1].transport.abort()
    if has_ended:
        with contextlib.suppress(OSError):
            await peer[1].drain()
        peer[1].close()
    else:
        _reset(peer[1])


async def _pass_request_bytes(
    tunnel: OpenTunnel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(_READ_BYTES):
        tunnel.last_traffic_s = read_clock_s()
        tunnel.progress.record_request()
        writer.write(data)
        await writer.drain()


async def _pass_response_bytes(
    tunnel: OpenTunnel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(_READ_BYTES):
        tunnel.last_traffic_s = read_clock_s()
        tunnel.progress.feed(data)
        writer.write(FRAME_HEADER.pack(len(data)) + data)
        await writer.drain()
    writer.write(END_FRAME)


def _enable_keep_alive(writer: asyncio.StreamWriter) -> None:
    """Have the kernel end the connection of a gateway whose host is lost."""
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its peer sees a reset."""
    # The socket may be closed already.
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    writer.transport.abort()
