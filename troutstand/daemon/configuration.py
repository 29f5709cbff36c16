"""Replicate accepted table versions to a process and accept operators' edits."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from troutstand.core.codec import decode_record, encode_record
from troutstand.core.codes import ResultCode
from troutstand.core.edit import (
    Edit,
    EditAccepted,
    EditOutcomeUnknown,
    EditStale,
    Event,
    ProposeVersion,
    QuorumUnreachable,
    ReadVersion,
    VersionBlank,
    VersionDecided,
)
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import ProcessId, Version
from troutstand.core.table import name_version_register
from troutstand.generated.messages import Changes, ChangesAsk, Snapshot
from troutstand.generated.table import Change

if TYPE_CHECKING:
    from troutstand.core.follower import Follower
    from troutstand.daemon.peers import Peers
    from troutstand.daemon.registers import RegisterClient
    from troutstand.util.events import EventBus

PersistChange = Callable[[int, bytes], Awaitable[None]]
PersistTable = Callable[[int, bytes], Awaitable[None]]


class Configuration:
    """Keep one process's table at the latest decided version.

    Parameters
    ----------
    persist_change
        Makes a change durable before it is applied; None in a process without a disk.
    """

    def __init__(
        self,
        follower: Follower,
        peers: Peers,
        registers: RegisterClient,
        events: EventBus,
        ask_timeout_s: float,
        persist_change: PersistChange | None = None,
        persist_table: PersistTable | None = None,
    ) -> None:
        self.follower = follower
        self.on_change: Callable[[], None] = lambda: None
        self._peers = peers
        self._registers = registers
        self._events = events
        self._ask_timeout_s = ask_timeout_s
        self._persist_change = persist_change
        self._persist_table = persist_table
        self._lock = asyncio.Lock()
        self._sent_versions: dict[ProcessId, int] = {}

    @property
    def version(self) -> Version:
        """Return the version of the applied table."""
        return self.follower.version

    async def apply_changes(self, message: Changes | Snapshot) -> None:
        """Apply decided changes and forward them to peers that are behind."""
        async with self._lock:
            before = self.version
            match message:
                case Changes():
                    for version, data in self.follower.list_unapplied(message):
                        if self._persist_change:
                            await self._persist_change(version, data)
                        self.follower.apply(version, data)
                case Snapshot(version, table):
                    if version > self.version:
                        if self._persist_table:
                            await self._persist_table(version, table)
                        self.follower.install(version, table)
        if self.version > before:
            self._events.emit("table_in_force", version=self.version, before=before)
            self.on_change()
            self._forward_changes(before)

    def _forward_changes(self, base_version: int) -> None:
        """Send the changes since the base version to the peers known to have that version.

        A peer that misses the message pulls the changes after the next heartbeat.
        """
        behind = []
        for process, latest in self._peers.heartbeats.items():
            # Heartbeats can be older than the version sent to the peer last.
            known_version = max(latest.heartbeat.version, self._sent_versions.get(process, 0))
            if base_version <= known_version < self.version:
                behind.append(process)
                self._sent_versions[process] = self.version
        if behind:
            self._peers.broadcast(self.follower.answer(ChangesAsk(base_version)), behind)

    async def pull(self, process: ProcessId) -> None:
        """Fetch and apply the changes that a peer has and this process lacks."""
        while True:
            before = self.version
            ask = ChangesAsk(before)
            try:
                reply = await self._peers.ask(process, ask, self._ask_timeout_s)
            except TroutstandError:
                # The peer's next heartbeat triggers another pull.
                return
            if not isinstance(reply, Changes | Snapshot):
                return
            await self.apply_changes(reply)
            if self.version == before:
                return

    async def catch_up(self) -> Version:
        """Apply versions read from a majority of keepers until none newer is decided.

        Raises
        ------
        TroutstandError
            QUORUM_UNREACHABLE.
        """
        while True:
            version = self.version + 1
            data = await self._registers.read(name_version_register(version))
            if data is None:
                return self.version
            await self.apply_changes(Changes(version, version, [data]))

    async def accept(self, change: Change) -> Version:
        """Accept an operator's edit as the next version; an edit sent again is accepted once.

        Raises
        ------
        TroutstandError
            TABLE_STALE with the changes made since the edit's base version;
            TABLE_UNKNOWN if no majority answered and the edit should be sent again.
        ExceptionGroup
            TABLE_INVALID errors.
        """
        accepted_version = self.follower.table.find_edit(change.edit_id)
        edit = Edit(change.edit_id, change.base, self.version, accepted_version)
        action = edit.start()
        while True:
            match action:
                case ReadVersion(version):
                    event = await self._read_version(version)
                case ProposeVersion(version):
                    self.follower.table.preview(change)
                    event = await self._propose_version(version, change)
                case EditAccepted(version):
                    self._events.emit("table_accepted", version=version, edit=change.edit_id)
                    return Version(version)
                case EditStale():
                    raise self._make_stale_error(change.base)
                case EditOutcomeUnknown():
                    detail = f"edit {change.edit_id}: no majority answered; send it again"
                    raise TroutstandError(ResultCode.TABLE_UNKNOWN, detail)
            action = edit.receive(event)

    async def _read_version(self, version: int) -> Event:
        try:
            data = await self._registers.read(name_version_register(version))
        except TroutstandError:
            # If the edit fails because of this, the operator gets an error.
            return QuorumUnreachable()
        if data is None:
            return VersionBlank()
        return await self._apply_decided(version, data)

    async def _propose_version(self, version: int, change: Change) -> Event:
        try:
            data = await self._registers.decide(
                name_version_register(version), encode_record(change)
            )
        except TroutstandError:
            # If the edit fails because of this, the operator gets an error.
            return QuorumUnreachable()
        return await self._apply_decided(version, data)

    async def _apply_decided(self, version: int, data: bytes) -> Event:
        await self.apply_changes(Changes(version, version, [data]))
        return VersionDecided(decode_record(data, Change).edit_id)

    def _make_stale_error(self, base: int) -> TroutstandError:
        lines = [f"the edit is based on version {base}; the table is at version {self.version}"]
        for version in range(base + 1, self.version + 1):
            data = self.follower.get_change(version)
            if data is None:
                lines.append(f"version {version}: its change is no longer stored")
                continue
            lines.extend(_describe_change(version, decode_record(data, Change)))
        return TroutstandError(ResultCode.TABLE_STALE, "\n".join(lines))


def _describe_change(version: int, change: Change) -> list[str]:
    changed = [f"version {version}: edit {change.edit_id}: set {row}" for row in change.upserts]
    deleted = [
        f"version {version}: edit {change.edit_id}: delete {key.kind.value} {key.name}"
        for key in change.deletes
    ]
    return changed + deleted
