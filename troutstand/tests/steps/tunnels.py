"""Send requests to scripted targets through peer gateways, in one process."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.paths import PathTable
from troutstand.daemon.links import Identity
from troutstand.generated.messages import PeerGateway, Placed
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.routing.connectionpool import ConnectionPool
from troutstand.routing.dialect import HeaderNames
from troutstand.routing.dialer import Dialer
from troutstand.routing.httpclient import TargetConnection
from troutstand.routing.node import RoutingNode, parse_address
from troutstand.routing.relay import OutgoingRequest, Sender, SendError
from troutstand.routing.tunnel import (
    CHALLENGE_BYTES,
    FRAME_HEADER,
    REQUEST_HEADER,
    TunnelOutcome,
    make_reply,
    parse_request,
)
from troutstand.routing.tunnelclient import TunnelClient, TunnelError
from troutstand.routing.tunnelserver import TunnelServer
from troutstand.testing.ports import pick_ports
from troutstand.testing.routedsite import LINK_KEY_HEX
from troutstand.testing.scriptedtarget import AfterReply, Reply, ScriptedTarget
from troutstand.tests.steps.relay import NoticeWatch, make_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from behave.runner import Context

_REQUEST = "request-1"
_IP = "127.0.0.1"
_DOMAIN = "north"
_OTHER_KEY_HEX = "ff" * 16
_TIMEOUT_S = 0.3
_LIMIT_S = 2.0
_END_S = 0.2
_READ_BYTES = 1 << 16
_GONE = "that has ended"
_DARK = "that lets connections time out"
_DROPS = "that resets connections a moment after they open"
_DROPPED_AGE_S = 0.03
_CHUNKED = "Transfer-Encoding: chunked\r\n"
_REPLIES = {
    "that answers in full": Reply(make_answer()),
    "that answers without a length and ends": Reply(make_answer(framing=""), AfterReply.END),
    "that answers without a length and resets": Reply(make_answer(framing=""), AfterReply.RESET),
    "that answers without a length and stays open": Reply(
        make_answer(framing=""), AfterReply.SILENT
    ),
    "that answers nothing and stays open": Reply(b"", AfterReply.SILENT),
    "that writes half of an answer and stays open": Reply(make_answer()[:-2], AfterReply.SILENT),
    "that writes a chunk of a stream and stays open": Reply(
        make_answer(body=b"5\r\nhello\r\n", framing=_CHUNKED), AfterReply.SILENT
    ),
    "that writes 100 and stays open": Reply(b"HTTP/1.1 100 Continue\r\n\r\n", AfterReply.SILENT),
    "that answers in full and stays open": Reply(make_answer(), AfterReply.SILENT),
    "that answers in chunks and stays open": Reply(
        make_answer(body=b"5\r\nhello\r\n0\r\n\r\n", framing=_CHUNKED), AfterReply.SILENT
    ),
    _GONE: Reply(b""),
    _DARK: Reply(b""),
    _DROPS: Reply(b""),
}


def _make_node(port: int, key_hex: str = LINK_KEY_HEX) -> RoutingNode:
    settings = RoutingSettings(
        site="test",
        host=f"gateway-{port}",
        failure_domain=_DOMAIN,
        role=RoutingRole.gateway,
        ip=_IP,
        first_port=port - 2,
        link_key_hex=key_hex,
        seeds=[],
    )
    return RoutingNode(settings)


@dataclass
class Peer:
    """Hold a peer gateway's part that opens connections, and how it behaves."""

    port: int
    kind: str = ""
    key_hex: str = LINK_KEY_HEX
    server: TunnelServer | None = None
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Start the peer as its kind says."""
        match self.kind:
            case "do not listen":
                return
            case "accept and stay silent":
                self.listening = await asyncio.start_server(self._accept, _IP, self.port)
                return
            case "end after 0.2 s":
                self.listening = await asyncio.start_server(self._serve_and_end, _IP, self.port)
                return
        node = _make_node(self.port, self.key_hex)
        paths = PathTable()
        self.server = TunnelServer(node, paths, _TIMEOUT_S, lambda _: None)
        if self.kind == "have lost their paths":
            now_s = time.monotonic()
            for number in range(2):
                paths.record_cut(f"{_IP}:{number + 1}", True, now_s)
        if self.kind == "had connections reset a moment after they opened":
            paths.dropped.record(_DROPPED_AGE_S, time.monotonic())
        await self.server.start()

    async def _serve_and_end(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one tunnel, then close it as the kernel does when the process ends."""
        node = _make_node(self.port)
        challenge = b"c" * CHALLENGE_BYTES
        writer.write(challenge)
        (length,) = REQUEST_HEADER.unpack(await reader.readexactly(REQUEST_HEADER.size))
        request = parse_request(node.identity, challenge, await reader.readexactly(length))
        endpoint = parse_address(request.address)
        target_reader, target_writer = await asyncio.open_connection(endpoint.ip, endpoint.port)
        reply = make_reply(node.identity, challenge, request.nonce, TunnelOutcome.OPENED)
        writer.write(reply)
        target_writer.write(await reader.readuntil(b"\r\n\r\n"))
        try:
            async with asyncio.timeout(_END_S):
                while data := await target_reader.read(_READ_BYTES):
                    writer.write(FRAME_HEADER.pack(len(data)) + data)
        except TimeoutError:
            writer.close()
            target_writer.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await reader.read()

    def close(self) -> None:
        """Stop listening."""
        for listening in (self.server, self.listening):
            if listening is not None:
                listening.close()
        for writer in self.writers:
            writer.close()


@dataclass
class TunnelScene:
    """Hold a target, peers, and what came of the requests sent."""

    target: ScriptedTarget
    is_gone: bool
    peers: list[Peer]
    key_hex: str = LINK_KEY_HEX
    is_dark: bool = False
    outcome: str = ""
    error: SendError | None = None
    took_s: float = 0.0
    # The peer through which the response came.
    via: str = ""
    closed_s: float = float("inf")
    busy_count: int = 0
    # Why no connection was opened; empty if one was.
    refusal: str = ""
    # Ports of peers that a scheduler assigns later; nothing listens there.
    assigned: list[int] | None = None

    def make_sender(self) -> tuple[Sender, TunnelClient, ConnectionPool]:
        """Make a sender that knows the peers."""
        node = _make_node(pick_ports(1)[0], self.key_hex)
        identity = Identity("test", node.process, bytes.fromhex(self.key_hex))
        tunnels = TunnelClient(identity, _DOMAIN, _TIMEOUT_S, random.Random(1))
        tunnels.update_peers([PeerGateway(f"{_IP}:{peer.port}", _DOMAIN) for peer in self.peers])
        if self.assigned is not None:
            tunnels.update_peers([PeerGateway(f"{_IP}:{port}", _DOMAIN) for port in self.assigned])
        pool = ConnectionPool(Dialer(_TIMEOUT_S, "", tunnels, node.events))
        return Sender(pool, HeaderNames(), NoticeWatch(99)), tunnels, pool


def _open(context: Context, what: str, peers: list[Peer]) -> None:
    target = ScriptedTarget([_REPLIES[what]])
    if what == _DROPS:
        target.reset_after_s = _DROPPED_AGE_S
    context.tunnels = TunnelScene(target, what == _GONE, peers, is_dark=what == _DARK)


@given("{count:d} peers, and a target {what}")
def use_peers(context: Context, what: str, count: int) -> None:
    _open(context, what, [Peer(port) for port in pick_ports(count)])


@given("{count:d} peers of which {bad:d} {kind}, and a target {what}")
def use_unlike_peers(context: Context, what: str, count: int, bad: int, kind: str) -> None:
    ports = pick_ports(count)
    _open(context, what, [Peer(p, kind if n < bad else "") for n, p in enumerate(ports)])


@given("{count:d} peers with another key, and a target {what}")
def use_other_keys(context: Context, what: str, count: int) -> None:
    peers = [Peer(port, key_hex=_OTHER_KEY_HEX) for port in pick_ports(count)]
    _open(context, what, peers)


async def _play(
    scene: TunnelScene,
    is_cut: bool,
    is_repeatable: bool = True,
    meanwhile: Callable[[TunnelScene, asyncio.Task[None]], Awaitable[None]] | None = None,
) -> None:
    """Send one request, and let something happen meanwhile."""
    await scene.target.start()
    if scene.is_gone:
        await scene.target.stop()
    if scene.is_dark:
        scene.target.drop_connections()
    for peer in scene.peers:
        await peer.start()
    sender, _, pool = scene.make_sender()
    if is_cut:
        pool.dialer.paths.record_cut(scene.target.address, True, time.monotonic())
    sending = asyncio.create_task(_send(scene, sender, is_repeatable))
    try:
        if meanwhile is not None:
            await meanwhile(scene, sending)
        async with asyncio.timeout(_LIMIT_S):
            await asyncio.wait({sending})
    except TimeoutError:
        sending.cancel()
        await asyncio.wait({sending})
    finally:
        for peer in scene.peers:
            peer.close()
        await scene.target.stop()
        pool.close()


async def _send(scene: TunnelScene, sender: Sender, is_repeatable: bool) -> None:
    began_s = time.monotonic()
    headers = [("X-Request-Id", _REQUEST)]
    outgoing = OutgoingRequest(_REQUEST, "POST", "/x", headers, b"", is_repeatable)
    placed = Placed(_REQUEST, "t1", scene.target.address)
    try:
        sent = await sender.send(outgoing, placed, began_s + _LIMIT_S, lambda: None)
        assert await sender.read_body(sent) == b"hello"
        scene.outcome, scene.via = "whole", sent.connection.peer
    except SendError as error:
        scene.outcome, scene.error = error.ending.value, error
    scene.took_s = time.monotonic() - began_s


@when("a scheduler assigns {count:d} other peers that do not listen")
def assign(context: Context, count: int) -> None:
    context.tunnels.assigned = pick_ports(count)


@when("a request is sent through a peer")
def send(context: Context) -> None:
    asyncio.run(_play(context.tunnels, is_cut=True))


@when("a request is sent")
def send_directly(context: Context) -> None:
    asyncio.run(_play(context.tunnels, is_cut=False))


@when("a request that may run once is sent through a peer")
def send_once(context: Context) -> None:
    asyncio.run(_play(context.tunnels, is_cut=True, is_repeatable=False))


@when("a request is sent through a peer and given up after {after_s:g} s")
def give_up(context: Context, after_s: float) -> None:
    async def leave(scene: TunnelScene, sending: asyncio.Task[None]) -> None:
        await asyncio.wait({sending}, timeout=after_s)
        assert scene.target.received, "the request has not arrived"
        sending.cancel()
        left_s = time.monotonic()
        async with asyncio.timeout(_LIMIT_S):
            await scene.target.closed.wait()
        scene.closed_s = time.monotonic() - left_s

    asyncio.run(_play(context.tunnels, is_cut=True, meanwhile=leave))


@when("a request is sent through a peer that is told to stop {after_s:g} s later")
def stop_peer(context: Context, after_s: float) -> None:
    async def stop(scene: TunnelScene, sending: asyncio.Task[None]) -> None:
        await asyncio.sleep(after_s)
        server = scene.peers[0].server
        assert server is not None
        server.is_stopping = True
        scene.busy_count = server.busy_count
        if sending.done():
            return
        await _ask(scene)
        assert not sending.done(), "the open connection was closed"
        sending.cancel()

    asyncio.run(_play(context.tunnels, is_cut=True, meanwhile=stop))


async def _ask(scene: TunnelScene) -> None:
    """Ask for a connection through a peer, and record why none was opened."""
    _, tunnels, pool = scene.make_sender()
    try:
        connection = await tunnels.open(lambda: TargetConnection(scene.target.address))
        connection.abort()
        scene.refusal = ""
    except TunnelError as error:
        scene.refusal = str(error)
    pool.close()


async def _ask_alone(scene: TunnelScene) -> None:
    await scene.target.start()
    for peer in scene.peers:
        await peer.start()
    await _ask(scene)
    for peer in scene.peers:
        peer.close()
    await scene.target.stop()


@when("a connection through a peer is asked for")
def ask(context: Context) -> None:
    asyncio.run(_ask_alone(context.tunnels))


@when("a connection through a peer is asked for with another key")
def ask_with_other_key(context: Context) -> None:
    context.tunnels.key_hex = _OTHER_KEY_HEX
    asyncio.run(_ask_alone(context.tunnels))


@then("no connection is opened")
def check_not_opened(context: Context) -> None:
    assert "silent" in context.tunnels.refusal, context.tunnels.refusal


@then("the peer is still busy, and opens no other connection")
def check_stopping(context: Context) -> None:
    assert context.tunnels.busy_count == 1
    assert "busy" in context.tunnels.refusal, context.tunnels.refusal


@then("it is refused, since the peer reports that the target is unreached")
def check_unreached(context: Context) -> None:
    assert "unreached" in context.tunnels.refusal, context.tunnels.refusal


@then("the stopping peer is {state}")
def check_busy(context: Context, state: str) -> None:
    assert context.tunnels.busy_count == (state == "busy"), context.tunnels.busy_count


@then("the target sees its connection closed within {limit_s:g} s")
def check_closed(context: Context, limit_s: float) -> None:
    assert context.tunnels.closed_s <= limit_s, context.tunnels.closed_s


@then("its outcome is {outcome}, and the target saw {count:d} requests")
def check_outcome(context: Context, outcome: str, count: int) -> None:
    scene = context.tunnels
    expected, _, limit = outcome.partition(" within ")
    assert scene.outcome == expected, (scene.outcome, scene.error)
    assert len(scene.target.received) == count, scene.target.received
    if limit:
        assert scene.took_s <= float(limit.removesuffix(" s")), scene.took_s


@then("the request went through a peer")
def check_via(context: Context) -> None:
    assert context.tunnels.via


@then("its outcome is unsent, and the target {whether} as gone")
def check_gone(context: Context, whether: str) -> None:
    scene = context.tunnels
    assert scene.outcome == "unsent", scene.outcome
    assert scene.error is not None
    assert scene.error.is_target_gone is (whether == "counts"), scene.error
