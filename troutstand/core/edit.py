"""Accept an operator's edit as the next version of the table, once.

Each version has one write-once register. An edit first reads on until nothing
newer is decided; it is known there if it was accepted before, stale if the
table moved underneath it, and proposed otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True)
class ReadVersion:
    """Read a version's register from a majority."""

    version: int


@dataclass(frozen=True)
class ProposeVersion:
    """Propose the edit as a version."""

    version: int


@dataclass(frozen=True)
class EditAccepted:
    """Answer that the edit is a version of the table."""

    version: int


@dataclass(frozen=True)
class EditStale:
    """Answer that the table moved since the edit began."""

    version: int


@dataclass(frozen=True)
class EditOutcomeUnknown:
    """Answer that the edit's fate is not known; sending it again tells."""


Action = ReadVersion | ProposeVersion | EditAccepted | EditStale | EditOutcomeUnknown


@dataclass(frozen=True)
class VersionEmpty:
    """A majority holds nothing for the version."""


@dataclass(frozen=True)
class VersionDecided:
    """The version's change is decided, and is this edit's."""

    edit_id: str


@dataclass(frozen=True)
class QuorumUnreachable:
    """No majority answered."""


Event = VersionEmpty | VersionDecided | QuorumUnreachable


class EditState(Enum):
    """Tell how far an edit has come."""

    READING = "reading"
    PROPOSING = "proposing"
    ENDED = "ended"


class Edit:
    """Decide what becomes of one sending of an edit.

    Parameters
    ----------
    base
        The version that the operator edited.
    version
        The version that this process knows.
    known
        The version that this process knows the edit to have made, if any.
    """

    def __init__(self, edit_id: str, base: int, version: int, known: int | None) -> None:
        self.state = EditState.READING
        self._edit_id = edit_id
        self._base = base
        self._version = version
        self._known = known

    def start(self) -> Action:
        """Begin to read on from the known version."""
        return ReadVersion(self._version + 1)

    def receive(self, event: Event) -> Action:
        """Take what a register told and return what to do next."""
        match (self.state, event):
            case (EditState.READING, VersionDecided(edit_id)):
                self._note(edit_id)
                return self.start()
            case (EditState.READING, VersionEmpty()):
                return self._judge()
            case (EditState.PROPOSING, VersionDecided(edit_id)):
                self._note(edit_id)
                return self._answer()
            case _:
                self.state = EditState.ENDED
                return EditOutcomeUnknown()

    def _note(self, edit_id: str) -> None:
        self._version += 1
        if edit_id == self._edit_id:
            self._known = self._version

    def _judge(self) -> Action:
        if self._known is not None or self._base != self._version:
            return self._answer()
        self.state = EditState.PROPOSING
        return ProposeVersion(self._version + 1)

    def _answer(self) -> Action:
        self.state = EditState.ENDED
        if self._known is not None:
            return EditAccepted(self._known)
        return EditStale(self._version)
