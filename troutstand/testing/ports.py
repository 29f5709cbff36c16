"""Pick ports for the processes of tests."""

from __future__ import annotations

import itertools
import os
import socket

IP = "127.0.0.1"


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((IP, port))
        except OSError:
            return False
    return True


# Below the ports that outgoing connections take by themselves; a port from
# among those could be gone before the process that it is for opens it.
_PORTS = itertools.cycle(range(20_000, 32_000))
for _ in range(os.getpid() * 137 % 12_000):
    next(_PORTS)


def pick_ports(count: int) -> list[int]:
    """Return ports that are free now, none of them twice."""
    return list(itertools.islice(filter(_is_free, _PORTS), count))
