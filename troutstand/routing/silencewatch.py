"""Notice that the path to a target, or a peer, is lost while a response is awaited."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.paths import Reach
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from troutstand.routing.connectionpool import ConnectionPool
    from troutstand.routing.httpclient import TargetConnection

# Silence of all targets after which the path to one of them is checked. Short, since a request
# that may run only once is lost if it is written to a connection that hangs.
_SILENCE_S = 0.3
# Silence of one target, while others send, after which its path is checked.
_TARGET_SILENCE_S = 1.0
# A path that was found to work is not checked again within this time.
_RECHECK_S = 1.0
_MAX_CHECKED_AT_ONCE = 16
_MAX_REMEMBERED_CHECKS = 1024


@dataclass
class _AwaitedResponse:
    """Describe a response that is awaited."""

    sent_s: float
    on_lost: Callable[[], None]
    timer: asyncio.TimerHandle | None = None


class SilenceWatch:
    """Check the paths to targets, and the peers, that are silent for long."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._dialer = pool.dialer
        self._awaited: dict[TargetConnection, _AwaitedResponse] = {}
        self._checked_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.contextmanager
    def watch(self, connection: TargetConnection, on_lost: Callable[[], None]) -> Iterator[None]:
        """Watch for silence while the head of a response is awaited.

        Parameters
        ----------
        on_lost
            Called if the response cannot arrive, because the path of the connection is cut.
        """
        if not self._dialer.has_peers:
            yield
            return
        awaited = _AwaitedResponse(read_clock_s(), on_lost)
        self._awaited[connection] = awaited
        self._schedule(connection, awaited, _SILENCE_S)
        try:
            yield
        finally:
            del self._awaited[connection]
            if awaited.timer is not None:
                awaited.timer.cancel()

    def _schedule(
        self, connection: TargetConnection, awaited: _AwaitedResponse, delay_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        awaited.timer = loop.call_later(delay_s, self._handle_silence, connection, awaited)

    def _handle_silence(self, connection: TargetConnection, awaited: _AwaitedResponse) -> None:
        now_s = read_clock_s()
        is_first = now_s - awaited.sent_s < _TARGET_SILENCE_S
        key = connection.peer or connection.address
        was_checked = now_s - self._checked_s.get(key, float("-inf")) < _RECHECK_S
        if self._is_silent(connection, awaited, is_first) and not was_checked:
            self._record_check(key, now_s)
            check = self._check_peer(key) if connection.peer else self._check(key)
            task = asyncio.create_task(check)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if is_first:
            self._schedule(connection, awaited, awaited.sent_s + _TARGET_SILENCE_S - now_s)

    def _record_check(self, key: str, now_s: float) -> None:
        if len(self._checked_s) >= _MAX_REMEMBERED_CHECKS:
            self._checked_s = {
                k: at_s for k, at_s in self._checked_s.items() if now_s - at_s < _RECHECK_S
            }
        self._checked_s[key] = now_s

    def _is_silent(
        self, connection: TargetConnection, awaited: _AwaitedResponse, is_first: bool
    ) -> bool:
        """Return whether nothing came since a request was sent: through its peer, or directly.

        On a direct connection, first all targets must be silent, and later its own.
        """
        if connection.peer:
            tunnels = self._dialer.tunnels
            assert tunnels is not None
            return tunnels.heard.get_last_s(connection.peer) < awaited.sent_s
        heard = self._dialer.paths.heard
        return heard.get_last_s(None if is_first else connection.address) < awaited.sent_s

    async def _check_peer(self, peer: str) -> None:
        """Check a peer; if it does not respond, give up the connections through it."""
        tunnels = self._dialer.tunnels
        assert tunnels is not None
        started_s = read_clock_s()
        if await tunnels.is_reachable(peer):
            return
        self._dialer.log_peer_lost(peer)
        self._pool.drop_peer(peer)
        self._report_lost(started_s, lambda connection: connection.peer == peer)

    def _report_lost(self, started_s: float, concerns: Callable[[TargetConnection], bool]) -> None:
        """Report the awaited responses of some connections as lost, if nothing came meanwhile."""
        for connection, awaited in list(self._awaited.items()):
            if concerns(connection) and connection.heard_s < started_s:
                awaited.on_lost()

    async def _check(self, address: str) -> None:
        """Check a path; if it is cut, check those of all other connections too."""
        if not await self._is_lost(address):
            return
        others = {c.address for c in self._awaited if not c.peer} | set(
            self._pool.list_direct_addresses()
        )
        unknown = [other for other in others if not self._dialer.paths.is_cut(other)]
        await asyncio.gather(*(self._is_lost(other) for other in unknown[:_MAX_CHECKED_AT_ONCE]))

    async def _is_lost(self, address: str) -> bool:
        """Check a path; if packets on it are lost, give up its direct connections."""
        started_s = read_clock_s()
        reach = await self._dialer.check(address)
        if reach is not Reach.TUNNEL or not self._dialer.paths.is_silent(address):
            return False
        self._pool.drop_direct(address)
        self._report_lost(started_s, lambda c: c.address == address and not c.peer)
        return True
