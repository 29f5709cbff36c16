"""Choose the peer gateways that open connections to targets for a gateway whose path is cut."""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass

import xxhash

from troutstand.generated.messages import PeerGateway

# Peers of a gateway's own failure domain, and of all others together. All gateways of a domain
# may lose their paths at once.
_MAX_LOCAL = 3
_MAX_REMOTE = 3


@dataclass(frozen=True)
class AssignedPeers:
    """Hold the peers of a gateway, and a digest by which only changes are sent."""

    peers: list[PeerGateway]
    version: str


@dataclass(frozen=True)
class _Member:
    """Describe a gateway."""

    failure_domain: str
    is_usable: bool


class PeerDirectory:
    """Hold the gateways of a site, and assign each one a few peers.

    Each gateway is the peer of about as many others as it has peers itself. The lists are built
    again only when a gateway comes, goes or changes.
    """

    def __init__(self) -> None:
        self._members: dict[str, _Member] = {}
        self._local: dict[str, list[str]] = {}
        self._remote: dict[str, list[str]] = {}
        self._assigned: dict[str, AssignedPeers] = {}
        self._has_changed = False

    def update(self, process: str, failure_domain: str, is_usable: bool) -> None:
        """Add or update a gateway.

        Parameters
        ----------
        is_usable
            Whether it is heard from and reaches targets itself.
        """
        member = _Member(failure_domain, is_usable)
        if self._members.get(process) != member:
            self._members[process] = member
            self._has_changed = True

    def mark_unusable(self, process: str) -> None:
        """Do not assign a gateway to others until its next update."""
        member = self._members.get(process)
        if member is not None:
            self.update(process, member.failure_domain, is_usable=False)

    def remove(self, process: str) -> None:
        """Remove a gateway."""
        if self._members.pop(process, None) is not None:
            self._has_changed = True

    def choose(self, process: str) -> AssignedPeers:
        """Return the peers of a gateway, those of its own failure domain first."""
        if self._has_changed:
            self._build()
        assigned = self._assigned.get(process)
        if assigned is None:
            peers = self._choose(process)
            assigned = self._assigned[process] = AssignedPeers(peers, make_peers_version(peers))
        return assigned

    def _choose(self, process: str) -> list[PeerGateway]:
        member = self._members.get(process)
        if member is None:
            return []
        local = self._local.get(member.failure_domain, [])
        remote = self._remote.get(member.failure_domain, [])
        following = bisect(local, process)
        chosen = [p for p in [*local[following:], *local[:following]] if p != process]
        chosen = chosen[:_MAX_LOCAL] + _spread(remote, process)
        return [PeerGateway(p, self._members[p].failure_domain) for p in chosen]

    def _build(self) -> None:
        self._has_changed = False
        self._assigned.clear()
        usable = sorted((m.failure_domain, p) for p, m in self._members.items() if m.is_usable)
        domains = {member.failure_domain for member in self._members.values()}
        self._local = {d: [p for domain, p in usable if domain == d] for d in domains}
        self._remote = {d: [p for domain, p in usable if domain != d] for d in domains}


def _spread(processes: list[str], process: str) -> list[str]:
    """Return a few processes at equal distances, from a start that depends on a process."""
    count = min(_MAX_REMOTE, len(processes))
    if not count:
        return []
    start = xxhash.xxh3_64_intdigest(process.encode())
    step = len(processes) // count
    return [processes[(start + number * step) % len(processes)] for number in range(count)]


def make_peers_version(peers: list[PeerGateway]) -> str:
    """Return a digest of a list of peers; empty if there are none."""
    if not peers:
        return ""
    names = "\n".join(peer.process for peer in peers)
    return xxhash.xxh3_64_hexdigest(names.encode())
