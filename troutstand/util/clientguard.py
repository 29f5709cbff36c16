"""Share memory, parsing time and timeouts between the HTTP connections of a process."""

from __future__ import annotations

import asyncio
import resource
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.clientmemory import BODY_COPIES, Client, ClientMemory, compute_budget
from troutstand.core.codes import ResultCode
from troutstand.core.parseturns import ParseTurns
from troutstand.util.clock import read_clock_s
from troutstand.util.guardedconnection import MAX_HEADER_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.errors import TroutstandError
    from troutstand.util.events import EventBus
    from troutstand.util.guardedconnection import GuardedConnection

_SWEEP_INTERVAL_S = 1.0
# A process that stood still for longer has not read what its clients may have sent in time.
_MAX_SWEEP_LAG_S = 0.5
# Share of the descriptors for clients; the rest is for targets, peers and files.
_CONNECTION_SHARE = 0.5


@dataclass(frozen=True)
class ClientLimits:
    """Set what clients may send, and how long they may take, in seconds.

    Parameters
    ----------
    header_bytes
        Maximum size of the headers of a request, without its first line.
    head_s
        From the first byte of a head to its end.
    body_s
        From the first byte of a head to the end of the body; None leaves it to the handler.
    idle_s
        Without a request, or without reading any of a response.
    """

    header_bytes: int = MAX_HEADER_BYTES
    head_s: float = 10.0
    body_s: float | None = 60.0
    idle_s: float = 75.0


class ClientGuard:
    """Hold what all HTTP connections of a process share.

    Parameters
    ----------
    get_limits
        Returns the limits in force.
    on_refused
        Called with the reason when a connection is refused or closed.
    """

    def __init__(
        self,
        memory: ClientMemory,
        get_limits: Callable[[], ClientLimits],
        on_refused: Callable[[TroutstandError], None],
    ) -> None:
        self.memory = memory
        self.on_refused = on_refused
        self.get_limits = get_limits
        self._turns: ParseTurns | None = None
        self._connections: dict[Client, GuardedConnection] = {}
        self._room_waiters: list[asyncio.Future[None]] = []
        memory.on_released = self._wake_waiters
        self._sweep_due_s = 0.0
        self._sweep_handle: asyncio.TimerHandle | None = None

    @property
    def turns(self) -> ParseTurns:
        """Return the turns of the running event loop."""
        if self._turns is None:
            self._turns = ParseTurns(asyncio.get_running_loop().call_soon)
        return self._turns

    def add(self, connection: GuardedConnection, client: Client) -> bool:
        """Add a connection; return whether there is room for it."""
        if not self.memory.add(client, read_clock_s()):
            return False
        self._connections[client] = connection
        if self._sweep_handle is None:
            self._schedule_sweep()
        return True

    def remove(self, client: Client) -> None:
        """Release what a connection held."""
        self.memory.remove(client)
        self._connections.pop(client, None)

    async def hold_response(self, client: Client, count: int) -> None:
        """Count the body of a response, once there is room for it."""
        while not self.memory.hold_response(client, BODY_COPIES * count):
            waiter = asyncio.get_running_loop().create_future()
            self._room_waiters.append(waiter)
            await waiter

    def _wake_waiters(self) -> None:
        waiters, self._room_waiters = self._room_waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _schedule_sweep(self) -> None:
        self._sweep_due_s = read_clock_s() + _SWEEP_INTERVAL_S
        loop = asyncio.get_running_loop()
        self._sweep_handle = loop.call_later(_SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Close the connections of clients that take too long."""
        self._sweep_handle = None
        now_s = read_clock_s()
        if now_s - self._sweep_due_s <= _MAX_SWEEP_LAG_S:
            limits = self.get_limits()
            for client, connection in list(self._connections.items()):
                connection.check_timeouts(client, limits, now_s)
        if self._connections:
            self._schedule_sweep()


def count_usable_descriptors(max_descriptors: int) -> int:
    """Return the descriptors that a process may open.

    Parameters
    ----------
    max_descriptors
        What the settings allow; 0 takes the limit of the system.
    """
    return max_descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def make_guard(
    memory_mb: float, max_descriptors: int, limits: ClientLimits, events: EventBus
) -> ClientGuard:
    """Return the guard of a process.

    Parameters
    ----------
    memory_mb
        Memory that the process may use, in 10^6 bytes.
    max_descriptors
        As in `count_usable_descriptors`.
    """
    count = count_usable_descriptors(max_descriptors)
    memory = ClientMemory(compute_budget(memory_mb), int(_CONNECTION_SHARE * count))

    def log_refused(error: TroutstandError) -> None:
        is_head = error.code is ResultCode.HEAD_TOO_LARGE
        name = "head_refused" if is_head else "client_refused"
        events.emit(name, code=error.code, detail=error.detail)

    return ClientGuard(memory, lambda: limits, log_refused)
