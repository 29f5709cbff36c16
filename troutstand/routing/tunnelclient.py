"""Open connections to targets through peer gateways."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.errors import TroutstandError
from troutstand.core.paths import HeardTimes
from troutstand.core.peers import make_peers_version
from troutstand.routing.node import parse_address
from troutstand.routing.tunnel import (
    CHALLENGE_BYTES,
    FRAME_HEADER,
    REPLY_BYTES,
    TunnelOutcome,
    make_request,
    parse_reply,
)
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from troutstand.daemon.links import Identity
    from troutstand.generated.messages import PeerGateway
    from troutstand.routing.httpclient import TargetConnection

_NONCE_BYTES = 16
# After this time without an outcome of the first peer, all others are asked too.
_NEXT_PEERS_DELAY_S = 0.1
# A peer that failed where another one succeeded is asked last for this long.
_AVOID_S = 2.0
# Assigned peers and former ones together.
_MAX_KNOWN = 12
# Outcomes of peers that tried to connect.
_TRIED = frozenset({TunnelOutcome.REFUSED, TunnelOutcome.UNREACHED})


class TunnelError(Exception):
    """Report that no peer could open a connection.

    Parameters
    ----------
    is_refused
        Whether every peer that tried found that the address refuses connections.
    """

    def __init__(self, detail: str, is_refused: bool = False) -> None:
        super().__init__(detail)
        self.is_refused = is_refused


class _TunnelProtocol(asyncio.Protocol):
    """Make the request to a peer, then unpack the frames for the connection to the target."""

    def __init__(self, identity: Identity, peer: str, connection: TargetConnection) -> None:
        self.outcome: asyncio.Future[TunnelOutcome] = asyncio.get_running_loop().create_future()
        self._identity = identity
        self._peer = peer
        self._connection = connection
        self._nonce = secrets.token_bytes(_NONCE_BYTES)
        self._challenge = b""
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._is_open = False
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if not self._is_open:
            self._continue_handshake()
        if self._is_open:
            self._unpack_frames()

    def _continue_handshake(self) -> None:
        assert self._transport is not None
        if not self._challenge and len(self._buffer) >= CHALLENGE_BYTES:
            self._challenge = bytes(self._take(CHALLENGE_BYTES))
            address = self._connection.address
            request = make_request(self._identity, self._challenge, self._nonce, address)
            self._transport.write(request)
        if not self._challenge or len(self._buffer) < REPLY_BYTES:
            return
        reply = bytes(self._take(REPLY_BYTES))
        try:
            outcome = parse_reply(self._identity, self._peer, self._challenge, self._nonce, reply)
        except TroutstandError as error:
            self._fail(error)
            self._transport.abort()
            return
        if outcome is TunnelOutcome.OPENED:
            self._is_open = True
            self._connection.connection_made(self._transport)
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def _take(self, count: int) -> bytearray:
        taken = self._buffer[:count]
        del self._buffer[:count]
        return taken

    def _unpack_frames(self) -> None:
        while len(self._buffer) >= FRAME_HEADER.size and not self._has_ended:
            (length,) = FRAME_HEADER.unpack_from(self._buffer)
            if not length:
                self._has_ended = True
                self._connection.eof_received()
                return
            end = FRAME_HEADER.size + length
            if len(self._buffer) < end:
                return
            data = bytes(self._buffer[FRAME_HEADER.size : end])
            del self._buffer[:end]
            self._connection.data_received(data)

    def _fail(self, error: Exception) -> None:
        if not self.outcome.done():
            self.outcome.set_exception(error)
            self.outcome.exception()  # marks the exception as retrieved

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(exc or ConnectionResetError("the peer closed the connection"))
        if self._is_open:
            self._connection.connection_lost(exc)


class _ChallengeProbe(asyncio.Protocol):
    """Wait for the first bytes of a peer."""

    def __init__(self) -> None:
        self.received = asyncio.Event()

    def data_received(self, data: bytes) -> None:
        if data:
            self.received.set()


class TunnelClient:
    """Choose peers, and open connections through them.

    Parameters
    ----------
    timeout_s
        Time in which a peer must have opened a connection, in seconds.
    bind_ip
        The local address to connect from; empty for any.
    """

    def __init__(
        self,
        identity: Identity,
        failure_domain: str,
        timeout_s: float,
        rng: random.Random,
        bind_ip: str = "",
    ) -> None:
        self._identity = identity
        self._failure_domain = failure_domain
        self._timeout_s = timeout_s
        self._rng = rng
        self._bind_address = (bind_ip, 0) if bind_ip else None
        self._peers: dict[str, PeerGateway] = {}
        self._assigned: set[str] = set()
        # When bytes came through each peer.
        self.heard = HeardTimes()
        # Digest of the assigned peers, by which schedulers send only changes.
        self.peers_version = ""
        # When each peer last failed where another one succeeded.
        self._failed_s: dict[str, float] = {}

    @property
    def has_peers(self) -> bool:
        """Return whether any peer is known."""
        return bool(self._peers)

    def update_peers(self, peers: list[PeerGateway]) -> None:
        """Replace the assigned peers; the former ones stay known, to be asked last.

        A scheduler that has just started knows few gateways or none.
        """
        former = [peer for peer in self._peers.values() if peer not in peers]
        self._peers = {peer.process: peer for peer in [*peers, *former][:_MAX_KNOWN]}
        self._assigned = {peer.process for peer in peers}
        self.peers_version = make_peers_version(peers)
        self._failed_s = {p: at_s for p, at_s in self._failed_s.items() if p in self._peers}

    def _order_peers(self, now_s: float) -> list[str]:
        """Return the peers: working, assigned and near ones first."""

        def rank(peer: PeerGateway) -> tuple[bool, bool, bool, float]:
            has_failed = now_s - self._failed_s.get(peer.process, float("-inf")) < _AVOID_S
            is_former = peer.process not in self._assigned
            is_remote = peer.failure_domain != self._failure_domain
            return has_failed, is_former, is_remote, self._rng.random()

        return [peer.process for peer in sorted(self._peers.values(), key=rank)]

    async def open(
        self, make_connection: Callable[[], TargetConnection], timeout_s: float | None = None
    ) -> TargetConnection:
        """Open a connection through a peer.

        One peer is asked first, and all others if it fails or takes long. The first connection
        that is open is returned, and the others are closed.

        Parameters
        ----------
        make_connection
            Makes a connection to the target that has no transport yet.
        timeout_s
            Time in which it must be open, in seconds; None for that of this client.

        Raises
        ------
        TunnelError
            If no peer opened it in time.
        """
        peers = self._order_peers(read_clock_s())
        if not peers:
            raise TunnelError("no peer gateway is known")
        race = _Race()
        end_s = read_clock_s() + (self._timeout_s if timeout_s is None else timeout_s)
        try:
            race.start(peers[0], self._ask(peers[0], make_connection()))
            opened = await race.wait(_NEXT_PEERS_DELAY_S)
            if opened is None:
                for peer in peers[1:]:
                    race.start(peer, self._ask(peer, make_connection()))
                opened = await race.wait(end_s - read_clock_s())
        finally:
            race.cancel()
        if opened is None:
            raise TunnelError(race.describe(), race.is_refused)
        self._record_failed(peers[0], race, opened)
        return opened

    def _record_failed(self, first: str, race: _Race, opened: TargetConnection) -> None:
        """Avoid the peers that failed, and the first one if it was overtaken."""
        now_s = read_clock_s()
        for peer in {first, *race.outcomes}:
            if peer != opened.peer:
                self._failed_s[peer] = now_s
        self._failed_s.pop(opened.peer, None)

    async def is_reachable(self, peer: str) -> bool:
        """Return whether a peer accepts a connection and sends its challenge in time."""
        endpoint = parse_address(peer)
        transport: asyncio.BaseTransport | None = None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._timeout_s):
                transport, probe = await loop.create_connection(
                    _ChallengeProbe, endpoint.ip, endpoint.port, local_addr=self._bind_address
                )
                await probe.received.wait()
        except (OSError, TimeoutError):
            # Logged by the caller.
            self._failed_s[peer] = read_clock_s()
            return False
        finally:
            if transport is not None:
                transport.abort()
        return True

    async def _ask(self, peer: str, connection: TargetConnection) -> _Asked:
        """Ask a peer for a connection."""
        endpoint = parse_address(peer)
        loop = asyncio.get_running_loop()
        transport: asyncio.BaseTransport | None = None
        outcome: TunnelOutcome | None = None
        connection.peer = peer
        try:
            async with asyncio.timeout(self._timeout_s):
                transport, protocol = await loop.create_connection(
                    lambda: _TunnelProtocol(self._identity, peer, connection),
                    endpoint.ip,
                    endpoint.port,
                    local_addr=self._bind_address,
                )
                outcome = await protocol.outcome
        except (OSError, TimeoutError, TroutstandError):
            # Reported with the outcomes of the other peers.
            return _Asked(peer, None, connection)
        finally:
            if outcome is not TunnelOutcome.OPENED and transport is not None:
                transport.abort()
        return _Asked(peer, outcome, connection)


@dataclass(frozen=True)
class _Asked:
    """Hold a peer's outcome, None if it did not reply, and the connection if it is open."""

    peer: str
    outcome: TunnelOutcome | None
    connection: TargetConnection


def _close_unused(attempt: asyncio.Task[_Asked]) -> None:
    """Close the connection of a peer that was slower than another one."""
    if attempt.cancelled() or attempt.exception() is not None:
        return
    asked = attempt.result()
    if asked.outcome is TunnelOutcome.OPENED:
        asked.connection.abort()


class _Race:
    """Wait for the first of several peers that opens a connection."""

    def __init__(self) -> None:
        # Outcomes of the peers that opened no connection; None for those that did not reply.
        self.outcomes: dict[str, TunnelOutcome | None] = {}
        self._attempts: set[asyncio.Task[_Asked]] = set()

    def start(self, peer: str, attempt: Coroutine[None, None, _Asked]) -> None:
        """Start to ask a peer."""
        self._attempts.add(asyncio.create_task(attempt, name=f"tunnel {peer}"))

    async def wait(self, limit_s: float) -> TargetConnection | None:
        """Return the first open connection, or None after the limit or if all have failed."""
        end_s = read_clock_s() + limit_s
        while self._attempts and (remaining_s := end_s - read_clock_s()) > 0.0:
            done, _ = await asyncio.wait(
                self._attempts, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
            )
            for attempt in done:
                self._attempts.discard(attempt)
                asked = attempt.result()
                if asked.outcome is TunnelOutcome.OPENED:
                    return asked.connection
                self.outcomes[asked.peer] = asked.outcome
        return None

    def cancel(self) -> None:
        """End the attempts that are left; close the connections that they opened."""
        for attempt in self._attempts:
            attempt.add_done_callback(_close_unused)
            attempt.cancel()

    @property
    def is_refused(self) -> bool:
        """Return whether every peer that tried found that the address refuses connections."""
        tried = _TRIED & set(self.outcomes.values())
        return not self._attempts and tried == {TunnelOutcome.REFUSED}

    def describe(self) -> str:
        """Return the outcomes for the log."""
        told = ", ".join(
            f"{peer} {'silent' if outcome is None else outcome.name.lower()}"
            for peer, outcome in self.outcomes.items()
        )
        return f"no peer opened a connection: {told or 'timed out'}"
