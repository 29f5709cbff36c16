"""Open connections to targets, directly or through a peer gateway while the own path is cut."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.paths import PathTable, Reach
from troutstand.routing.httpclient import ExchangeError, TargetConnection
from troutstand.routing.node import parse_address
from troutstand.routing.tunnelclient import TunnelError
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.generated.settings import Address
    from troutstand.routing.tunnelclient import TunnelClient
    from troutstand.util.events import EventBus

# A connection that is not open after this time is opened through a peer meanwhile.
_HEAD_START_S = 0.1


class Dialer:
    """Open connections to targets.

    Parameters
    ----------
    connect_timeout_s
        Timeout of a connection, in seconds.
    bind_ip
        The local address to connect from; empty for any.
    tunnels
        Opens connections through peers; None for never.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        bind_ip: str = "",
        tunnels: TunnelClient | None = None,
        events: EventBus | None = None,
    ) -> None:
        self.paths = PathTable()
        self.opened_count = 0
        # Called with each open connection that nobody waits for.
        self.on_unused: Callable[[TargetConnection], None] = TargetConnection.abort
        self._connect_timeout_s = connect_timeout_s
        self._bind_address = (bind_ip, 0) if bind_ip else None
        self.tunnels = tunnels
        self._events = events
        self._checks: dict[str, asyncio.Task[Reach]] = {}
        self._late: set[asyncio.Task[TargetConnection]] = set()

    async def connect(self, address: str) -> TargetConnection:
        """Open a connection.

        Raises
        ------
        ExchangeError
            If neither this gateway nor a peer could open one; nothing was written.
        """
        if not self.has_peers:
            return await self._connect_directly(address)
        if not self.paths.prefers_tunnel(address, read_clock_s()):
            return await self._connect_either(address)
        try:
            return await self._connect_through_peer(address)
        except TunnelError as error:
            return await self._connect_after_peers(address, error)

    @property
    def has_peers(self) -> bool:
        """Return whether any peer is known that could open a connection."""
        return self.tunnels is not None and self.tunnels.has_peers

    async def _connect_directly(self, address: str) -> TargetConnection:
        endpoint: Address = parse_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: self._make_direct(address),
                    endpoint.ip,
                    endpoint.port,
                    local_addr=self._bind_address,
                )
        except (OSError, TimeoutError) as error:
            detail = f"cannot connect: {type(error).__name__}"
            is_refused = isinstance(error, ConnectionRefusedError)
            is_timeout = isinstance(error, TimeoutError)
            raise ExchangeError(
                detail, False, is_refused=is_refused, is_timeout=is_timeout
            ) from error
        self.opened_count += 1
        return connection

    def _make_direct(self, address: str) -> TargetConnection:
        connection = TargetConnection(address, self.paths.heard)
        connection.on_dropped = self._handle_dropped
        return connection

    async def _connect_through_peer(
        self, address: str, timeout_s: float | None = None
    ) -> TargetConnection:
        assert self.tunnels is not None
        heard = self.tunnels.heard
        connection = await self.tunnels.open(lambda: TargetConnection(address, heard), timeout_s)
        self.opened_count += 1
        return connection

    async def _connect_after_peers(self, address: str, error: TunnelError) -> TargetConnection:
        """Connect directly after no peer could."""
        try:
            return await self._connect_directly(address)
        except ExchangeError as direct_error:
            # A refusal on a path that is cut does not show that the target has ended.
            raise ExchangeError(
                f"{direct_error}; {error}", False, is_refused=error.is_refused
            ) from direct_error

    async def _connect_either(self, address: str) -> TargetConnection:
        """Connect directly, or through a peer if that fails or takes long."""
        direct = asyncio.create_task(self._connect_directly(address))
        try:
            await asyncio.wait({direct}, timeout=_HEAD_START_S)
            if direct.done() and direct.exception() is None:
                return direct.result()
            # A target that is silent for all takes no longer than one connection may take.
            remaining_s = self._connect_timeout_s - _HEAD_START_S
            tunnel = asyncio.create_task(self._connect_through_peer(address, remaining_s))
            try:
                return await self._take_first(address, direct, tunnel)
            finally:
                self._release_late(tunnel)
        finally:
            self._release_late(direct)

    async def _take_first(
        self,
        address: str,
        direct: asyncio.Task[TargetConnection],
        tunnel: asyncio.Task[TargetConnection],
    ) -> TargetConnection:
        """Return the first open connection; record a cut path once the direct one has failed."""
        pending = {direct, tunnel}
        while pending:
            _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if direct.done() and direct.exception() is None:
                return direct.result()
            if tunnel.done() and tunnel.exception() is None:
                direct.add_done_callback(lambda task: self._record_late(address, task))
                return tunnel.result()
        tunnel_error = tunnel.exception()
        assert isinstance(tunnel_error, TunnelError)
        raise ExchangeError(
            f"{direct.exception()}; {tunnel_error}", False, is_refused=tunnel_error.is_refused
        ) from direct.exception()

    def _record_late(self, address: str, direct: asyncio.Task[TargetConnection]) -> None:
        """Record a cut path if the direct connection fails after a peer's was open."""
        error = None if direct.cancelled() else direct.exception()
        if isinstance(error, ExchangeError):
            self._record_cut(address, error)

    def _release_late(self, attempt: asyncio.Task[TargetConnection]) -> None:
        """Let an attempt that nobody waits for end, and hand on its connection."""
        if attempt.done():
            return
        self._late.add(attempt)
        attempt.add_done_callback(self._finish_late)

    def _finish_late(self, attempt: asyncio.Task[TargetConnection]) -> None:
        self._late.discard(attempt)
        if not attempt.cancelled() and attempt.exception() is None:
            self.on_unused(attempt.result())

    # Checks of paths

    async def check(self, address: str) -> Reach:
        """Check how an address is reached; concurrent calls share one check."""
        return await asyncio.shield(self._checks.get(address) or self._start_check(address))

    def _start_check(self, address: str) -> asyncio.Task[Reach]:
        check = self._checks[address] = asyncio.create_task(self._check(address))
        check.add_done_callback(lambda _: self._checks.pop(address, None))
        return check

    def is_checking(self, address: str) -> bool:
        """Return whether a check of an address is in progress."""
        return address in self._checks

    async def _check(self, address: str) -> Reach:
        try:
            await self._probe(address)
        except ExchangeError as direct_error:
            return await self._check_through_peer(address, direct_error)
        self._record_direct(address)
        return Reach.DIRECT

    async def _probe(self, address: str) -> None:
        """Open a connection that stays open; keep it for later requests.

        Raises
        ------
        ExchangeError
            If no connection could be opened, or if it was closed at once.
        """
        connection = await self._connect_directly(address)
        if self.has_peers:
            await asyncio.sleep(self.paths.dropped.get_settle_s(read_clock_s()))
        if connection.is_closed:
            raise ExchangeError("the connection was closed after it was opened", False)
        self.on_unused(connection)

    def _handle_dropped(self, connection: TargetConnection) -> None:
        """Check a path again whose connection was dropped after it counted as open."""
        now_s, address = read_clock_s(), connection.address
        is_in_doubt = self.paths.dropped.record(now_s - connection.opened_s, now_s)
        is_known = self.is_checking(address) or self.paths.is_cut(address)
        if is_in_doubt and self.has_peers and not is_known:
            self._start_check(address)

    async def _check_through_peer(self, address: str, direct_error: ExchangeError) -> Reach:
        if not self.has_peers:
            return Reach.REFUSED if direct_error.is_refused else Reach.UNREACHED
        try:
            connection = await self._connect_through_peer(address)
        except TunnelError as error:
            return Reach.REFUSED if error.is_refused else Reach.UNREACHED
        self._record_cut(address, direct_error)
        self.on_unused(connection)
        return Reach.TUNNEL

    async def probe_cut_paths(self) -> None:
        """Probe a cut path if one is due, and all others once it works again."""
        address = self.paths.take_due_probe(read_clock_s())
        if address is None or not await self._is_restored(address):
            return
        others = self.paths.list_probes_after_success()
        await asyncio.gather(*(self._is_restored(other) for other in others))

    async def _is_restored(self, address: str) -> bool:
        try:
            await self._probe(address)
        except ExchangeError:
            # The path stays cut, as logged before.
            return False
        self._record_direct(address)
        return True

    def log_peer_lost(self, peer: str) -> None:
        """Log that a peer with open connections does not respond."""
        if self._events is not None:
            self._events.emit("peer_lost", peer=peer)

    def _record_cut(self, address: str, error: ExchangeError) -> None:
        is_new = self.paths.record_cut(address, error.is_timeout, read_clock_s())
        if is_new and self._events is not None:
            self._events.emit(
                "path_cut",
                address=address,
                detail=str(error),
                cut=len(self.paths),
                isolated=self.paths.is_isolated,
                settle_ms=self.paths.dropped.get_settle_s(read_clock_s()) * 1000.0,
            )

    def _record_direct(self, address: str) -> None:
        now_s = read_clock_s()
        age_s = self.paths.get_cut_age_s(address, now_s)
        is_restored = self.paths.record_direct(address, now_s)
        if is_restored and self._events is not None:
            self._events.emit("path_restored", address=address, age_s=age_s, cut=len(self.paths))
