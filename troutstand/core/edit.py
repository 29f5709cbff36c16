"""Accept an operator's edit as the next version of the table, exactly once.

Each version has one write-once register. An edit first reads all decided versions.
If it is among them, it was accepted before; if the table has moved past the edit's
base version, it is stale; otherwise it is proposed as the next version.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True)
class ReadVersion:
    """Read a version's register from a quorum."""

    version: int


@dataclass(frozen=True)
class ProposeVersion:
    """Propose the edit as the given version."""

    version: int


@dataclass(frozen=True)
class EditAccepted:
    """Report that the edit was accepted as the given version."""

    version: int


@dataclass(frozen=True)
class EditStale:
    """Report that the table has changed since the edit's base version."""

    version: int


@dataclass(frozen=True)
class EditOutcomeUnknown:
    """Report that the outcome is unknown; the operator may safely send the edit again."""


Action = ReadVersion | ProposeVersion | EditAccepted | EditStale | EditOutcomeUnknown


@dataclass(frozen=True)
class VersionBlank:
    """A quorum has no value for the version."""


@dataclass(frozen=True)
class VersionDecided:
    """The version is decided with the change of the given edit."""

    edit_id: str


@dataclass(frozen=True)
class QuorumUnreachable:
    """No quorum answered."""


Event = VersionBlank | VersionDecided | QuorumUnreachable


class EditState(Enum):
    """Enumerate the states of an edit."""

    READING = "reading"
    PROPOSING = "proposing"
    ENDED = "ended"


class Edit:
    """Run the state machine of one attempt to commit an edit.

    Parameters
    ----------
    base
        The table version that the operator edited.
    version
        The latest version that this process has applied.
    accepted_version
        The version that the edit created, if it was accepted before.
    """

    def __init__(self, edit_id: str, base: int, version: int, accepted_version: int | None) -> None:
        self.state = EditState.READING
        self._edit_id = edit_id
        self._base = base
        self._version = version
        self._accepted_version = accepted_version

    def start(self) -> Action:
        """Read the version after the latest applied one."""
        return ReadVersion(self._version + 1)

    def receive(self, event: Event) -> Action:
        """Return the next action after a register's result."""
        match (self.state, event):
            case (EditState.READING, VersionDecided(edit_id)):
                self._record_decided(edit_id)
                return self.start()
            case (EditState.READING, VersionBlank()):
                return self._propose_or_answer()
            case (EditState.PROPOSING, VersionDecided(edit_id)):
                self._record_decided(edit_id)
                return self._answer()
            case _:
                self.state = EditState.ENDED
                return EditOutcomeUnknown()

    def _record_decided(self, edit_id: str) -> None:
        self._version += 1
        if edit_id == self._edit_id:
            self._accepted_version = self._version

    def _propose_or_answer(self) -> Action:
        if self._accepted_version is not None or self._base != self._version:
            return self._answer()
        self.state = EditState.PROPOSING
        return ProposeVersion(self._version + 1)

    def _answer(self) -> Action:
        self.state = EditState.ENDED
        if self._accepted_version is not None:
            return EditAccepted(self._accepted_version)
        return EditStale(self._version)
