"""Measure the memory and descriptors of a process from outside."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

_SAMPLE_S = 0.02
_LISTENING = "0A"
_BYTES_PER_KB = 1024


def read_peak_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had, in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return int(fields["VmHWM"].split()[0]) * _BYTES_PER_KB


def count_descriptors(pid: int) -> int:
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


@dataclass
class DescriptorWatch:
    """Record the most descriptors that a process has open at once."""

    pid: int
    most: int = 0

    async def run(self) -> None:
        """Sample until cancelled, or until the process ends."""
        try:
            while True:
                self.most = max(self.most, count_descriptors(self.pid))
                await asyncio.sleep(_SAMPLE_S)
        except FileNotFoundError:
            # The check that the process still runs reports this.
            return


def count_connections(address: str) -> int:
    """Return the number of connections that a process holds at its address on IPv4."""
    ip, _, port = address.rpartition(":")
    local = f"{int.from_bytes(socket.inet_aton(ip), sys.byteorder):08X}:{int(port):04X}"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    # A connection that its process has closed has no inode any more.
    return sum(row[1] == local and row[3] != _LISTENING and row[9] != "0" for row in rows)
