"""Track the other processes of a site and expire those that are no longer heard from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from troutstand.core.ids import ProcessId
from troutstand.generated.messages import Contact

if TYPE_CHECKING:
    from collections.abc import Iterable

CONTACT_TTL_S = 20.0
_MILLISECONDS = 1000


@dataclass(frozen=True)
class KnownContact:
    """Pair a process's latest contact with the time it was last heard from."""

    contact: Contact
    last_heard_s: float


class ContactRegistry:
    """Keep the most recent contact of every process.

    A contact relayed by a peer keeps the age that the peer reports, so that a failed
    process expires although peers still relay its contact.
    """

    def __init__(self) -> None:
        self._known: dict[ProcessId, KnownContact] = {}

    def update(self, contact: Contact, now_s: float) -> bool:
        """Store a contact if it is more recent; return whether the process is new."""
        process = ProcessId(contact.process)
        last_heard_s = now_s - contact.age_ms / _MILLISECONDS
        previous = self._known.get(process)
        if now_s - last_heard_s > CONTACT_TTL_S or (
            previous is not None and previous.last_heard_s >= last_heard_s
        ):
            return False
        self._known[process] = KnownContact(contact, last_heard_s)
        return previous is None

    def expire(self, now_s: float) -> list[ProcessId]:
        """Remove and return the processes whose contact is older than the time to live."""
        expired = [
            p for p, known in self._known.items() if now_s - known.last_heard_s > CONTACT_TTL_S
        ]
        for process in expired:
            del self._known[process]
        return expired

    def find(self, process: str) -> KnownContact | None:
        """Return the contact of a process, or None if there is none."""
        return self._known.get(ProcessId(process))

    def get_age_s(self, process: str, now_s: float) -> float:
        """Return the seconds since a process was last heard from, or infinity if never."""
        known = self.find(process)
        return now_s - known.last_heard_s if known else float("inf")

    def list_by_role(self, role: str) -> list[ProcessId]:
        """Return the known processes of a role, sorted by id."""
        return sorted(p for p, known in self._known.items() if known.contact.role == role)

    def digest(self, roles: Iterable[str]) -> str:
        """Return a hash of the processes of some roles and their incarnations."""
        wanted = set(roles)
        members = sorted(
            f"{p} {known.contact.incarnation}"
            for p, known in self._known.items()
            if known.contact.role in wanted
        )
        return xxhash.xxh3_64_hexdigest("\n".join(members).encode())

    def refresh(self, processes: Iterable[str], now_s: float) -> None:
        """Reset the age of processes that a peer still lists."""
        for process in processes:
            known = self.find(process)
            if known is not None:
                self._known[ProcessId(process)] = KnownContact(known.contact, now_s)

    def export(self, roles: Iterable[str], now_s: float) -> list[Contact]:
        """Return the contacts of some roles with their current age."""
        wanted = set(roles)
        return [
            _with_age(known.contact, now_s - known.last_heard_s)
            for known in self._known.values()
            if known.contact.role in wanted
        ]


def _with_age(contact: Contact, age_s: float) -> Contact:
    return Contact(
        process=contact.process,
        host=contact.host,
        role=contact.role,
        failure_domain=contact.failure_domain,
        incarnation=contact.incarnation,
        state=contact.state,
        version=contact.version,
        age_ms=max(0, int(age_s * _MILLISECONDS)),
        disk_id=contact.disk_id,
        epoch=contact.epoch,
    )
