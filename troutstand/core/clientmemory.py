"""Account for what a process holds for its clients, and choose whose connection is evicted."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# A connection without a request: its transport, parser, task and buffers.
CONNECTION_BYTES = 16 << 10
# A request in flight: its task, its parsed form and its part of the queues.
REQUEST_BYTES = 16 << 10
# One header: its name and value as bytes and as strings, each in tuples and in a mapping.
HEADER_BYTES = 640
# The pieces of a body in chunks that its reader has not joined yet, and the start of its trailers.
CHUNKED_BYTES = 128 << 10
# A body is held once, and once more while it is joined or waits to be written.
BODY_COPIES = 2
_BYTES_PER_MB = 1_000_000
# Share of the memory for clients; the rest is for the process itself.
_CLIENT_SHARE = 0.4
# A client that holds at most this much may use all of it, larger ones only a share.
_SMALL_BYTES = 256 << 10
_LARGE_SHARE = 0.75
# Once the memory is full, connections are evicted until this share of the limit is left over.
_ROOM_SHARE = 0.125


class Phase(Enum):
    """Enumerate what a connection waits for."""

    OPENED = "the first request"
    RECEIVING = "the rest of a request"
    WORKING = "nothing from its client"
    SENDING = "its client to read"
    IDLE = "a further request"


# Clients that are evicted for the memory that others need.
_HOLDING = frozenset({Phase.RECEIVING, Phase.SENDING})
# Clients that are evicted first for the descriptors that others need.
_STALLED = frozenset({Phase.OPENED, Phase.RECEIVING, Phase.SENDING})


@dataclass(eq=False)
class Client:
    """Hold the account of one connection; times in seconds on the steady clock.

    Parameters
    ----------
    evict
        Refuses the request in progress, if there is one, and closes the connection.
    """

    evict: Callable[[], None]
    phase: Phase = Phase.OPENED
    # When the phase began.
    since_s: float = 0.0
    held_bytes: int = 0
    # Bytes of the body of its request, which are among those it holds.
    body_bytes: int = 0
    # Bytes of the bodies of responses to it, which are among those it holds.
    response_bytes: int = 0
    is_evicted: bool = False


def compute_budget(memory_mb: float) -> int:
    """Return the bytes that a process may hold for its clients.

    Parameters
    ----------
    memory_mb
        Memory of the process, in 10^6 bytes.
    """
    return int(_CLIENT_SHARE * memory_mb * _BYTES_PER_MB)


def estimate_head_bytes(size: int, line_count: int) -> int:
    """Return the memory that a request takes once its head is parsed, in bytes."""
    return REQUEST_BYTES + 2 * size + HEADER_BYTES * line_count


def _do_nothing() -> None:
    """Stand for a function that nobody has set, or that must not be kept."""


class ClientMemory:
    """Bound what all clients of a process hold together.

    What a client holds counts until its connection has released it, so that connections which
    are evicted make room only once their memory is free.

    Parameters
    ----------
    max_bytes
        Maximum of all that is held.
    max_clients
        Maximum number of connections.
    max_body_bytes
        Maximum size of all request bodies together; None sets no bound of their own.
    """

    def __init__(self, max_bytes: int, max_clients: int, max_body_bytes: int | None = None) -> None:
        self.held_bytes = 0
        self.body_bytes = 0
        self.response_bytes = 0
        # Called when bytes were released.
        self.on_released: Callable[[], None] = _do_nothing
        self.max_bytes = max_bytes
        self.max_body_bytes = max_body_bytes if max_body_bytes is not None else max_bytes
        self._max_clients = max_clients
        self._evicted_count = 0
        # In the order in which their phases began.
        self._clients: dict[Client, None] = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._clients)

    def __iter__(self) -> Iterator[Client]:
        """Iterate over a copy of the clients, those of the oldest phases first."""
        return iter(list(self._clients))

    def add(self, client: Client, now_s: float) -> bool:
        """Add a new connection; return whether there is room for it."""
        open_count = len(self._clients) - self._evicted_count
        has_room = open_count < self._max_clients or self._close_one()
        if has_room:
            client.since_s = now_s
            self._clients[client] = None
            self._count(client, CONNECTION_BYTES)
        return has_room

    def remove(self, client: Client) -> None:
        """Release all that a connection holds."""
        if client not in self._clients:
            return
        del self._clients[client]
        self._evicted_count -= client.is_evicted
        # The connection and its account would form a cycle, which is freed late.
        client.evict = _do_nothing
        self.release_body(client)
        self.release_responses(client)
        self.release(client, client.held_bytes)

    def set_phase(self, client: Client, phase: Phase, now_s: float) -> None:
        """Record that a connection waits for something else from now on."""
        if client.phase is phase or client not in self._clients:
            return
        client.phase, client.since_s = phase, now_s
        del self._clients[client]
        self._clients[client] = None

    def hold(self, client: Client, count: int) -> bool:
        """Count further bytes of a client; return False if they do not fit.

        If they do not fit, other clients that stall are evicted.
        """
        if client.is_evicted:
            return False
        is_small = client.held_bytes + count <= _SMALL_BYTES
        limit = self.max_bytes if is_small else int(_LARGE_SHARE * self.max_bytes)
        excess = self.held_bytes + count - limit
        if excess > 0:
            self._make_room(client, excess + int(_ROOM_SHARE * limit), is_body=False)
            return False
        self._count(client, count)
        return True

    def hold_unconditionally(self, client: Client, count: int) -> None:
        """Count bytes that are held already; other clients that stall are evicted for them."""
        self._count(client, count)
        excess = self.held_bytes - int(_LARGE_SHARE * self.max_bytes)
        if excess > 0:
            self._make_room(client, excess, is_body=False)

    def release(self, client: Client, count: int) -> None:
        """Release bytes that a client holds no more."""
        if count:
            self._count(client, -min(count, client.held_bytes))
            self.on_released()

    def hold_body(self, client: Client, count: int) -> bool:
        """Count further bytes of a request's body; return False if they do not fit."""
        excess = self.body_bytes + count - self.max_body_bytes
        if excess > 0:
            room = excess + int(_ROOM_SHARE * self.max_body_bytes)
            self._make_room(client, room, is_body=True)
            return False
        if not self.hold(client, BODY_COPIES * count):
            return False
        client.body_bytes += count
        self.body_bytes += count
        return True

    def release_body(self, client: Client) -> None:
        """Release the body of a client's request."""
        self.body_bytes -= client.body_bytes
        self.release(client, BODY_COPIES * client.body_bytes)
        client.body_bytes = 0

    def could_hold_body(self, count: int) -> bool:
        """Return whether a body fits, if all that are still being received are evicted."""
        excess = self.body_bytes + count - self.max_body_bytes
        if excess <= 0:
            return True
        return excess <= sum(
            client.body_bytes for client in self._clients if client.phase is Phase.RECEIVING
        )

    def hold_response(self, client: Client, count: int) -> bool:
        """Count the body of a response; return False if it must wait for room.

        A body that is alone never waits, however large it is.
        """
        is_alone = not self.response_bytes
        if client.is_evicted or not self.hold(client, count):
            if not (is_alone or client.is_evicted):
                return False
            self._count(client, count)
        client.response_bytes += count
        self.response_bytes += count
        return True

    def release_responses(self, client: Client) -> None:
        """Release the bodies of the responses to a client."""
        self.response_bytes -= client.response_bytes
        self.release(client, client.response_bytes)
        client.response_bytes = 0

    def _count(self, client: Client, count: int) -> None:
        client.held_bytes += count
        self.held_bytes += count

    def _make_room(self, requester: Client, count: int, is_body: bool) -> None:
        """Evict the clients that have stalled for longest, until enough is to be freed."""
        freed = 0
        for client in list(self._clients):
            if freed >= count:
                return
            held = client.body_bytes if is_body else client.held_bytes - CONNECTION_BYTES
            if client is requester or held <= 0:
                continue
            if client.is_evicted:
                freed += held
            elif client.phase in _HOLDING:
                freed += held
                self._evict(client)

    def _close_one(self) -> bool:
        """Evict one connection; return whether there was one to evict."""
        for phases in (_STALLED, frozenset({Phase.IDLE})):
            for client in self._clients:
                if client.phase in phases and not client.is_evicted:
                    self._evict(client)
                    return True
        return False

    def _evict(self, client: Client) -> None:
        client.is_evicted = True
        self._evicted_count += 1
        client.evict()
