"""Keep what is known of the other processes of a site, and forget the dead."""

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
    """Keep a process's latest contact and when it was last heard, in seconds."""

    contact: Contact
    last_heard_s: float


class ContactRegistry:
    """Hold the freshest contact of every process.

    A contact passed on by others counts from when they heard it, so that
    word of a dead process fades although it still travels.
    """

    def __init__(self) -> None:
        self._known: dict[ProcessId, KnownContact] = {}

    def update(self, contact: Contact, now_s: float) -> bool:
        """Take a contact where it is fresher; tell whether the process is new."""
        process = ProcessId(contact.process)
        heard_s = now_s - contact.age_ms / _MILLISECONDS
        held = self._known.get(process)
        if now_s - heard_s > CONTACT_TTL_S or (held is not None and held.last_heard_s >= heard_s):
            return False
        self._known[process] = KnownContact(contact, heard_s)
        return held is None

    def expire(self, now_s: float) -> list[ProcessId]:
        """Drop and return the processes that were silent for long."""
        gone = [p for p, known in self._known.items() if now_s - known.last_heard_s > CONTACT_TTL_S]
        for process in gone:
            del self._known[process]
        return gone

    def find(self, process: str) -> KnownContact | None:
        """Return what is known of a process."""
        return self._known.get(ProcessId(process))

    def get_age_s(self, process: str, now_s: float) -> float:
        """Return the seconds since a process was heard; infinite where it never was."""
        known = self.find(process)
        return now_s - known.last_heard_s if known else float("inf")

    def list_by_role(self, role: str) -> list[ProcessId]:
        """Return the known processes of a role, in a fixed order."""
        return sorted(p for p, known in self._known.items() if known.contact.role == role)

    def digest(self, roles: Iterable[str]) -> str:
        """Return what tells sets of processes of some roles apart."""
        wanted = set(roles)
        named = sorted(
            f"{p} {known.contact.incarnation}"
            for p, known in self._known.items()
            if known.contact.role in wanted
        )
        return xxhash.xxh3_64_hexdigest("\n".join(named).encode())

    def refresh(self, processes: Iterable[str], now_s: float) -> None:
        """Count processes as heard now, since somebody who hears them still lists them."""
        for process in processes:
            known = self.find(process)
            if known is not None:
                self._known[ProcessId(process)] = KnownContact(known.contact, now_s)

    def export(self, roles: Iterable[str], now_s: float) -> list[Contact]:
        """Return the contacts of some roles with their present age."""
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
