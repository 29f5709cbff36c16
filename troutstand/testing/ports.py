"""Reserve ports and loopback networks that no other test process uses."""

from __future__ import annotations

import fcntl
import itertools
import os
import socket
import tempfile
from functools import cache
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import IO

IP = "127.0.0.1"
# Below the ephemeral port range: an outgoing connection could take a port of that range
# before the test process binds it.
_FIRST_PORT, _LAST_PORT = 20_000, 32_000
_BLOCK_SIZE = 100
# Loopback networks 127.N for tests; the soak and the system use lower ones.
_FIRST_NETWORK, _LAST_NETWORK = 100, 250


class NumberLocks:
    """Lock numbers against other test processes for the lifetime of this one.

    A free port may be taken by another test process before it is bound. The kernel releases
    the file locks when the process exits.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._locks: list[IO[bytes]] = []

    def try_lock(self, kind: str, number: int) -> bool:
        """Lock a number and return whether this process now holds it."""
        self._folder.mkdir(exist_ok=True)
        lock = (self._folder / f"{kind}-{number}").open("ab")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            # Another test process holds the lock.
            lock.close()
            return False
        self._locks.append(lock)
        return True


_LOCKS = NumberLocks(Path(tempfile.gettempdir()) / "troutstand-tests")


def _rotate_range(first: int, last: int) -> Iterator[int]:
    """Yield each number of a range once, from an offset that depends on the process id."""
    count = last - first
    return (first + (os.getpid() + offset) % count for offset in range(count))


def _reserve_ports() -> Iterator[int]:
    """Yield the ports of one locked block after the other, then cycle through them."""
    reserved: list[int] = []
    for block in _rotate_range(_FIRST_PORT // _BLOCK_SIZE, _LAST_PORT // _BLOCK_SIZE):
        if _LOCKS.try_lock("ports", block):
            ports = range(block * _BLOCK_SIZE, (block + 1) * _BLOCK_SIZE)
            reserved.extend(ports)
            yield from ports
    yield from itertools.cycle(reserved)


_PORTS = _reserve_ports()


def pick_ports(count: int) -> list[int]:
    """Return free ports that are reserved for this test process."""
    return list(itertools.islice(filter(_is_free, _PORTS), count))


@cache
def reserve_network() -> int:
    """Reserve a loopback network and return its second octet."""
    networks = _rotate_range(_FIRST_NETWORK, _LAST_NETWORK)
    return next(number for number in networks if _LOCKS.try_lock("network", number))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((IP, port))
        except OSError:
            return False
    return True
