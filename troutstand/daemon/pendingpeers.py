"""Bound the connections whose peers are not authenticated."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# Connections that a process accepts from such peers, unless its settings say less.
MAX_PENDING_PEERS = 1024


class PendingPeers:
    """Hold the connections of such peers; the oldest is reset where there are too many."""

    def __init__(self, max_count: int = MAX_PENDING_PEERS) -> None:
        self._max_count = max_count
        # In the order in which they were accepted.
        self._transports: dict[asyncio.WriteTransport, None] = {}

    def add(self, transport: asyncio.WriteTransport) -> asyncio.WriteTransport | None:
        """Add a connection; return the one that must be reset for it, if there are too many."""
        self._transports[transport] = None
        if len(self._transports) <= self._max_count:
            return None
        oldest = next(iter(self._transports))
        del self._transports[oldest]
        return oldest

    def discard(self, transport: asyncio.WriteTransport) -> None:
        """Remove a connection that has closed, or whose peer is authenticated."""
        self._transports.pop(transport, None)
