"""Keep idle connections to targets for later requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Collection

    from troutstand.routing.dialer import Dialer
    from troutstand.routing.httpclient import TargetConnection


class ConnectionPool:
    """Pool idle connections to targets.

    Parameters
    ----------
    dialer
        Opens new connections.
    """

    def __init__(self, dialer: Dialer) -> None:
        self.dialer = dialer
        self.reused_count = 0
        self._idle: dict[str, list[TargetConnection]] = {}
        dialer.on_unused = self._return_idle

    async def acquire(
        self,
        address: str,
        max_idle_s: float | None = None,
        used: Collection[TargetConnection] = (),
    ) -> TargetConnection:
        """Return an idle connection, or a new one.

        Parameters
        ----------
        max_idle_s
            Connections that were idle for longer are not used; 0 forces a new one.
        used
            Connections that are not returned; they stay idle.

        Raises
        ------
        ExchangeError
            If no connection could be opened; nothing was written.
        """
        connection = self._take_idle(address, max_idle_s, used)
        if connection is None:
            return await self.dialer.connect(address)
        self.reused_count += 1
        return connection

    def _take_idle(
        self, address: str, max_idle_s: float | None, used: Collection[TargetConnection]
    ) -> TargetConnection | None:
        """Return the connection that became idle last; close those that are too old."""
        idle = self._idle.get(address, [])
        now_s = read_clock_s()
        for connection in reversed(idle.copy()):
            idle_s = now_s - connection.idle_since_s
            if connection.is_closed or idle_s > connection.idle_limit_s:
                idle.remove(connection)
                connection.abort()
                continue
            if max_idle_s is not None and idle_s >= max_idle_s:
                return None
            if connection not in used:
                idle.remove(connection)
                return connection
        return None

    def release(self, connection: TargetConnection) -> None:
        """Return a reusable connection to the pool; close any other."""
        if not connection.is_reusable():
            connection.abort()
            return
        self._return_idle(connection)

    def _return_idle(self, connection: TargetConnection) -> None:
        connection.mark_idle()
        self._idle.setdefault(connection.address, []).append(connection)

    def prune(self) -> None:
        """Close connections that were idle for too long."""
        now_s = read_clock_s()
        for address, idle in list(self._idle.items()):
            usable: list[TargetConnection] = []
            for connection in idle:
                if (
                    connection.is_closed
                    or now_s - connection.idle_since_s > connection.idle_limit_s
                ):
                    connection.abort()
                else:
                    usable.append(connection)
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def list_direct_addresses(self) -> list[str]:
        """Return the addresses with idle connections that are not open through a peer."""
        return [a for a, idle in self._idle.items() if any(not c.peer for c in idle)]

    def drop_direct(self, address: str) -> None:
        """Close the idle connections to an address that are not open through a peer."""
        idle = self._idle.pop(address, [])
        for connection in idle:
            if not connection.peer:
                connection.abort()
        if through_peers := [connection for connection in idle if connection.peer]:
            self._idle[address] = through_peers

    def drop_peer(self, peer: str) -> None:
        """Close the idle connections that are open through a peer."""
        for address, idle in list(self._idle.items()):
            for connection in idle:
                if connection.peer == peer:
                    connection.abort()
            self._idle[address] = [c for c in idle if c.peer != peer]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()
