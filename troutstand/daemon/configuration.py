"""Bring accepted table versions into force, and accept operators' edits."""

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

Persist = Callable[[int, bytes], Awaitable[None]]
PersistTable = Callable[[int, bytes], Awaitable[None]]


class Configuration:
    """Move one process along the line of table versions.

    Parameters
    ----------
    persist
        Makes a change durable before it is in force; a diskless process has none.
    """

    def __init__(
        self,
        follower: Follower,
        peers: Peers,
        registers: RegisterClient,
        events: EventBus,
        ask_timeout_s: float,
        persist: Persist | None = None,
        persist_table: PersistTable | None = None,
    ) -> None:
        self.follower = follower
        self.on_change: Callable[[], None] = lambda: None
        self._peers = peers
        self._registers = registers
        self._events = events
        self._ask_timeout_s = ask_timeout_s
        self._persist = persist
        self._persist_table = persist_table
        self._lock = asyncio.Lock()
        self._told: dict[ProcessId, int] = {}

    @property
    def version(self) -> Version:
        """Return the version in force."""
        return self.follower.version

    async def apply_changes(self, message: Changes | Snapshot) -> None:
        """Bring decided changes into force and pass them on."""
        async with self._lock:
            before = self.version
            match message:
                case Changes():
                    for version, data in self.follower.list_unapplied(message):
                        if self._persist:
                            await self._persist(version, data)
                        self.follower.apply(version, data)
                case Snapshot(version, table):
                    if version > self.version:
                        if self._persist_table:
                            await self._persist_table(version, table)
                        self.follower.install(version, table)
        if self.version > before:
            self._events.emit("table_in_force", version=self.version, before=before)
            self.on_change()
            self._pass_on(before)

    def _pass_on(self, before: int) -> None:
        """Send news to the peers that should know the version before it.

        Heartbeats lag behind what was sent since; a peer that lost a message
        hears of the newer version by the next heartbeat and asks.
        """
        behind = []
        for process, heard in self._peers.heard.items():
            known = max(heard.heartbeat.version, self._told.get(process, 0))
            if before <= known < self.version:
                behind.append(process)
                self._told[process] = self.version
        if behind:
            self._peers.broadcast(self.follower.answer(ChangesAsk(before)), behind)

    async def pull(self, process: ProcessId) -> None:
        """Fetch what a peer has and this process does not."""
        while True:
            before = self.version
            ask = ChangesAsk(before)
            try:
                reply = await self._peers.ask(process, ask, self._ask_timeout_s)
            except TroutstandError:
                # Its next heartbeat tells of the newer version again.
                return
            if not isinstance(reply, Changes | Snapshot):
                return
            await self.apply_changes(reply)
            if self.version == before:
                return

    async def catch_up(self) -> Version:
        """Read from a majority of keepers until nothing newer is decided.

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
        """Accept an operator's edit as the next version, once.

        Raises
        ------
        TroutstandError
            TABLE_STALE with what changed underneath; TABLE_UNKNOWN where no
            majority answered, so that the edit should be sent again.
        ExceptionGroup
            Of TABLE_INVALID.
        """
        known = self.follower.table.find_edit(change.edit_id)
        edit = Edit(change.edit_id, change.base, self.version, known)
        action = edit.start()
        while True:
            match action:
                case ReadVersion(version):
                    event = await self._read(version)
                case ProposeVersion(version):
                    self.follower.table.preview(change)
                    event = await self._propose(version, change)
                case EditAccepted(version):
                    self._events.emit("table_accepted", version=version, edit=change.edit_id)
                    return Version(version)
                case EditStale():
                    raise self._make_stale(change.base)
                case EditOutcomeUnknown():
                    detail = f"edit {change.edit_id}: no majority answered; send it again"
                    raise TroutstandError(ResultCode.TABLE_UNKNOWN, detail)
            action = edit.receive(event)

    async def _read(self, version: int) -> Event:
        try:
            data = await self._registers.read(name_version_register(version))
        except TroutstandError:
            # The operator gets an error if the edit fails for want of it.
            return QuorumUnreachable()
        if data is None:
            return VersionBlank()
        return await self._learn_decided(version, data)

    async def _propose(self, version: int, change: Change) -> Event:
        try:
            data = await self._registers.decide(
                name_version_register(version), encode_record(change)
            )
        except TroutstandError:
            # The operator gets an error if the edit fails for want of it.
            return QuorumUnreachable()
        return await self._learn_decided(version, data)

    async def _learn_decided(self, version: int, data: bytes) -> Event:
        await self.apply_changes(Changes(version, version, [data]))
        return VersionDecided(decode_record(data, Change).edit_id)

    def _make_stale(self, base: int) -> TroutstandError:
        lines = [f"edited from version {base}, the table is at {self.version}"]
        for version in range(base + 1, self.version + 1):
            data = self.follower.get_change(version)
            if data is None:
                lines.append(f"version {version}: no longer kept as a change")
                continue
            lines.extend(_describe_change(version, decode_record(data, Change)))
        return TroutstandError(ResultCode.TABLE_STALE, "\n".join(lines))


def _describe_change(version: int, change: Change) -> list[str]:
    changed = [f"version {version}: edit {change.edit_id}: set {row}" for row in change.upserts]
    gone = [
        f"version {version}: edit {change.edit_id}: delete {key.kind.value} {key.name}"
        for key in change.deletes
    ]
    return changed + gone
