"""Hold the links to the peers and their latest heartbeats."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import ProcessId, name_process
from troutstand.daemon.links import Identity, Link, Traffic
from troutstand.generated.settings import Role

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import Heartbeat, PeerMessage
    from troutstand.generated.settings import Settings
    from troutstand.util.events import EventBus


@dataclass(frozen=True)
class ReceivedHeartbeat:
    """Pair a peer's latest heartbeat with the time it was received."""

    heartbeat: Heartbeat
    received_s: float


class Peers:
    """Send messages to the other processes of the site and track their heartbeats."""

    def __init__(self, settings: Settings, identity: Identity, events: EventBus) -> None:
        self.identity = identity
        self.traffic = Traffic()
        self.heartbeats: dict[ProcessId, ReceivedHeartbeat] = {}
        self.links: dict[ProcessId, Link] = {}
        self.keepers: set[ProcessId] = set()
        self.domain_entries: set[ProcessId] = set()
        self.domain_keepers: set[ProcessId] = set()
        for peer in settings.peers:
            process = name_process(peer.host, peer.role.value)
            is_local = peer.failure_domain == settings.failure_domain
            if peer.role is Role.keeper:
                self.keepers.add(process)
            if is_local:
                group = self.domain_keepers if peer.role is Role.keeper else self.domain_entries
                group.add(process)
            if process != identity.process:
                self.links[process] = Link(
                    identity, process, peer.link, settings.limits, events, self.traffic
                )

    @property
    def process_ids(self) -> frozenset[ProcessId]:
        """Return the ids of all other processes of the site."""
        return frozenset(self.links)

    def start_links(self) -> list[asyncio.Task[None]]:
        """Start a task for each link and return the tasks."""
        return [asyncio.create_task(link.run(), name=f"link {p}") for p, link in self.links.items()]

    def is_refused(self, process: str) -> bool:
        """Return whether a process refuses connections, which means that it has ended."""
        link = self.links.get(ProcessId(process))
        return link is not None and link.is_refused

    def is_live(self, process: ProcessId, now_s: float, within_s: float) -> bool:
        """Return whether a process sent a heartbeat within the last `within_s` seconds."""
        latest = self.heartbeats.get(process)
        return latest is not None and now_s - latest.received_s <= within_s

    def send(self, process: str, message: PeerMessage) -> bool:
        """Send a message that expects no reply; return whether it was queued."""
        link = self.links.get(ProcessId(process))
        return link is not None and link.send(message)

    def broadcast(self, message: PeerMessage, to: Iterable[ProcessId] | None = None) -> None:
        """Send a message to the given peers, by default to all."""
        for process in self.links if to is None else to:
            self.send(process, message)

    async def ask(self, process: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a message to a peer and return the reply.

        Raises
        ------
        TroutstandError
            The errors of `Link.ask`; LINK_REFUSED for an unknown peer.
        """
        link = self.links.get(ProcessId(process))
        if link is None:
            raise TroutstandError(ResultCode.LINK_REFUSED, f"unknown peer {process!r}")
        return await link.ask(message, timeout_s)
