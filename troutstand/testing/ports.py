"""Give the processes of tests ports and loopback networks that no other test has."""

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
# Below the ports that outgoing connections take by themselves; a port from
# among those could be gone before the process that it is for opens it.
_FIRST, _LAST = 20_000, 32_000
_BLOCK = 100
# Loopback networks 127.N for tests; lower ones are used by the soak and by the system itself.
_FIRST_NETWORK, _LAST_NETWORK = 100, 250


class NumberLocks:
    """Claim numbers that no other test process has, for the life of this one.

    What is free now may be taken by another test process a second later: six that began
    together picked 911 of 1,185 ports twice, and two whose ids differ by 200 used the same
    network. So a number is locked first; the system drops the locks with the process.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._locks: list[IO[bytes]] = []

    def claim(self, kind: str, number: int) -> bool:
        """Tell whether a number is this process's own from now on."""
        self._folder.mkdir(exist_ok=True)
        lock = (self._folder / f"{kind}-{number}").open("ab")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            # Another test process has it.
            lock.close()
            return False
        self._locks.append(lock)
        return True


_CLAIMS = NumberLocks(Path(tempfile.gettempdir()) / "troutstand-tests")


def _turn(first: int, last: int) -> Iterator[int]:
    """Yield some numbers once, from a place that differs between processes."""
    count = last - first
    return (first + (os.getpid() + offset) % count for offset in range(count))


def _draw_ports() -> Iterator[int]:
    """Yield the ports of one claimed block after the other, then those ports again."""
    own: list[int] = []
    for block in _turn(_FIRST // _BLOCK, _LAST // _BLOCK):
        if _CLAIMS.claim("ports", block):
            ports = range(block * _BLOCK, (block + 1) * _BLOCK)
            own.extend(ports)
            yield from ports
    yield from itertools.cycle(own)


_PORTS = _draw_ports()


def pick_ports(count: int) -> list[int]:
    """Return ports that are free now and that no other test process picks."""
    return list(itertools.islice(filter(_is_free, _PORTS), count))


@cache
def reserve_network() -> int:
    """Return the second number of the loopback network that only this test process uses."""
    networks = _turn(_FIRST_NETWORK, _LAST_NETWORK)
    return next(number for number in networks if _CLAIMS.claim("network", number))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((IP, port))
        except OSError:
            return False
    return True
