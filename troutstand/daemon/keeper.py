"""Run the keeper role: durable registers, the table, and votes for leases."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from troutstand.core.acceptor import Acceptor, list_voters
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import ProcessId
from troutstand.core.lease import LeaseVoter
from troutstand.daemon.configuration import Configuration
from troutstand.daemon.journal import Journal
from troutstand.daemon.links import ask_oneself
from troutstand.daemon.membership import Membership
from troutstand.daemon.node import Node
from troutstand.daemon.registers import RegisterClient
from troutstand.daemon.storage import Storage, read_identity
from troutstand.generated.messages import (
    Accept,
    Acknowledged,
    Changes,
    ChangesAsk,
    CopyAsk,
    Heartbeat,
    KeepersAsk,
    KeepersInstall,
    LeaseAsk,
    LeaseRelease,
    MemberState,
    PeerMessage,
    Prepare,
    ProcessState,
    Refused,
    Snapshot,
    StoredChange,
    StoredTable,
)
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from troutstand.core.stored import StoredRecord
    from troutstand.generated.settings import Settings

# The log is replaced by a snapshot when it holds this many records.
MAX_LOG_RECORDS = 20_000


@dataclass(frozen=True)
class Seen:
    """Keep how far a peer's disk had come when it was last heard."""

    disk_id: str
    sequence: int


class KeeperProcess:
    """Serve one keeper's durable state to the site."""

    def __init__(self, settings: Settings) -> None:
        assert settings.data_folder is not None
        folder = Path(settings.data_folder)
        self.node = Node(settings)
        identity = read_identity(folder)
        if (identity.process, identity.site) != (self.node.process, settings.site):
            owner = f"{identity.site}/{identity.process}"
            detail = f"data_folder {folder.name!r} belongs to {owner}, not {self.node.process}"
            raise TroutstandError(ResultCode.DATA_FOLDER_FOREIGN, detail)
        self.storage = Storage(folder)
        self.journal = Journal(self.storage)
        self.acceptor = Acceptor(identity)
        for record in self.storage.loaded:
            self.acceptor.load_record(record)
        self.storage.loaded = []
        limits = settings.limits
        self.registers = RegisterClient(
            self.ask_keeper,
            self.node.process,
            self.node.incarnation,
            self.node.peers.keepers,
            limits.register_timeout_s,
            self.node.seed,
        )
        self.registers.update_keepers(self.acceptor.keepers)
        self.configuration = Configuration(
            self.acceptor.follower,
            self.node.peers,
            self.registers,
            self.node.events,
            limits.register_timeout_s,
            self._persist_change,
            self._persist_table,
        )
        self.voter = LeaseVoter(read_clock_s() + limits.lease_s)
        self.membership = Membership(self)
        self.node.make_heartbeat = self._make_heartbeat
        self.is_caught_up = False
        self._is_waiting = False
        # A disk votes only once another keeper has told how far it had come,
        # so that an older copy of it is found out.
        self.is_disk_checked = self.node.peers.keepers == {self.node.process}
        self._is_outdated = False
        self._seen: dict[ProcessId, Seen] = {}
        self._last_beat_s = read_clock_s()

    async def start(self) -> None:
        """Open the links and begin the heartbeat."""
        await self.node.start(self.handle)
        self.node.state = ProcessState.serving
        self.node.spawn(self._beat(), "heartbeat")

    async def stop(self) -> None:
        """Stop and close the files."""
        await self.node.stop()
        self.storage.close()

    async def ask_keeper(self, process: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Ask a keeper, which may be this one."""
        if process != self.node.process:
            return await self.node.peers.ask(process, message, timeout_s)
        return await ask_oneself(self.handle, self.node.process, message)

    def handle(
        self, peer: ProcessId, message: PeerMessage
    ) -> PeerMessage | Awaitable[PeerMessage | None] | None:
        """Answer a message of a peer."""
        match message:
            case Prepare() | Accept():
                return self._handle_register(message)
            case Heartbeat():
                self._hear(message)
                return None
            case ChangesAsk():
                return self.acceptor.follower.answer(message)
            case Changes() | Snapshot():
                return self._learn(message)
            case LeaseAsk():
                if self.node.peers.is_refused(peer):
                    return Refused(int(ResultCode.LINK_CLOSED), "the asker has ended")
                self._drop_dead_votes()
                return self.voter.handle_ask(message, read_clock_s())
            case LeaseRelease():
                self.voter.handle_release(message)
                return Acknowledged()
            case KeepersAsk():
                return self.acceptor.report_keepers()
            case KeepersInstall(keepers):
                return self.membership.install(keepers)
            case CopyAsk():
                return self.acceptor.copy_page(message)
            case _:
                return Refused(int(ResultCode.LINK_MALFORMED), "not for a keeper")

    def _handle_register(self, message: Prepare | Accept) -> PeerMessage | Awaitable[PeerMessage]:
        if not self.is_disk_checked:
            return Refused(int(ResultCode.KEEPER_NOT_VOTING), "its disk's age is not checked yet")
        handled = self.acceptor.handle(message, time.time())
        if not handled.records:
            return handled.reply
        return self._reply_synced(handled.reply, handled.records)

    async def _reply_synced(self, reply: PeerMessage, records: list[StoredRecord]) -> PeerMessage:
        await self.journal.write(records)
        return reply

    def _drop_dead_votes(self) -> None:
        self.voter.drop_ended_holders(self.node.peers.is_refused)

    async def _learn(self, message: Changes | Snapshot) -> PeerMessage:
        await self.configuration.apply_changes(message)
        return Acknowledged()

    async def _persist_change(self, version: int, data: bytes) -> None:
        await self.journal.write([StoredChange(version, data)])

    async def _persist_table(self, version: int, table: bytes) -> None:
        await self.journal.write([StoredTable(version, table)])

    def _hear(self, heartbeat: Heartbeat) -> None:
        self.node.hear(heartbeat)
        process = ProcessId(heartbeat.process)
        if process in self.node.peers.keepers:
            self._note_sequence(heartbeat)
            self._check_age(heartbeat)
        if heartbeat.epoch > self.acceptor.epoch:
            self.node.spawn(self.membership.fetch(process), "fetch keepers")
        if heartbeat.version > self.acceptor.follower.version:
            # Somebody runs a version that this disk lacks.
            self.is_caught_up = False
            self.node.spawn(self.configuration.pull(process), "pull")

    def _check_age(self, heartbeat: Heartbeat) -> None:
        is_own_disk = heartbeat.seen_disk_id in ("", self.acceptor.identity.disk_id)
        if not is_own_disk or heartbeat.seen_sequence <= self.storage.sequence:
            self.is_disk_checked = self.is_disk_checked or not self._is_outdated
            return
        if not self._is_outdated:
            detail = f"peer saw {heartbeat.seen_sequence} records, disk has {self.storage.sequence}"
            self.node.events.emit("disk_old", code=ResultCode.KEEPER_DISK_OLD, detail=detail)
        self.is_disk_checked, self._is_outdated = False, True

    async def _beat(self) -> None:
        limits = self.node.settings.limits
        while True:
            now_s = read_clock_s()
            if now_s - self._last_beat_s > limits.lease_s:
                # This process was frozen; the others may have gone on.
                self.is_caught_up = False
            self._last_beat_s = now_s
            self.node.send_heartbeats()
            if not self.is_caught_up:
                await self._complete()
            await self._join()
            if self.storage.log_record_count > MAX_LOG_RECORDS:
                self.write_snapshot()
            await asyncio.sleep(limits.heartbeat_s)

    def _make_heartbeat(self, peer: ProcessId) -> Heartbeat:
        seen = self._seen.get(peer) or Seen("", 0)
        return Heartbeat(
            process=self.node.process,
            incarnation=self.node.incarnation,
            state=self.node.state,
            version=self.acceptor.follower.version,
            epoch=self.acceptor.epoch,
            sequence=self.storage.sequence,
            complete=self.is_caught_up,
            seen_sequence=seen.sequence,
            seen_disk_id=seen.disk_id,
            disk_id=self.acceptor.identity.disk_id,
        )

    def _note_sequence(self, heartbeat: Heartbeat) -> None:
        process = ProcessId(heartbeat.process)
        seen = self._seen.get(process)
        if seen is None or seen.disk_id != heartbeat.disk_id or heartbeat.sequence > seen.sequence:
            self._seen[process] = Seen(heartbeat.disk_id, heartbeat.sequence)

    async def _complete(self) -> None:
        """Read from a majority what was decided while this process was away."""
        if not list_voters(self.acceptor.keepers):
            await self.registers.refresh_keepers()
            return
        try:
            await self.configuration.catch_up()
        except TroutstandError as error:
            self._note_waiting(error)
            return
        self.is_caught_up = True
        self._is_waiting = False

    def _note_waiting(self, error: TroutstandError) -> None:
        """Log once that no majority tells what was decided; it is tried again."""
        if not self._is_waiting:
            self._is_waiting = True
            self.node.events.emit("catch_up_waits", code=error.code, detail=error.detail)

    async def _join(self) -> None:
        member = self.acceptor.find_member()
        if member is None or member.state is not MemberState.copying:
            return
        try:
            await self.membership.copy_and_join()
        except TroutstandError as error:
            self.node.events.emit("copy_failed", code=error.code, detail=error.detail)

    def write_snapshot(self) -> None:
        """Replace the log by the state it leads to."""
        retention_s = self.node.settings.limits.claim_retention_s
        records = self.acceptor.collect_snapshot(time.time(), retention_s)
        self.storage.write_snapshot(records)
        self.node.events.emit("snapshot_written", records=len(records))
