"""Run the keeper role: durable registers, the table, and lease votes."""

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
from troutstand.daemon.links import handle_locally
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

# A longer log is replaced by a snapshot, which bounds the time to replay it.
MAX_LOG_RECORDS = 20_000


@dataclass(frozen=True)
class DiskPosition:
    """Identify a peer's disk and its highest known count of written records."""

    disk_id: str
    sequence: int


class KeeperProcess:
    """Run one keeper and serve its durable state to its peers."""

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
        for record in self.storage.loaded_records:
            self.acceptor.load_record(record)
        self.storage.loaded_records = []
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
        self._is_catch_up_failing = False
        # The disk votes only after a peer has confirmed that it is not an outdated copy.
        self.is_disk_checked = self.node.peers.keepers == {self.node.process}
        self._is_disk_outdated = False
        self._peer_disks: dict[ProcessId, DiskPosition] = {}
        self._last_heartbeat_s = read_clock_s()

    async def start(self) -> None:
        """Open the links and start sending heartbeats."""
        await self.node.start(self.handle)
        self.node.state = ProcessState.serving
        self.node.spawn_loop(self._run_heartbeats, "heartbeat")

    async def stop(self) -> None:
        """Stop the node and close the storage."""
        await self.node.stop()
        self.storage.close()

    async def ask_keeper(self, process: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a message to a keeper, possibly this one, and return its reply."""
        if process != self.node.process:
            return await self.node.peers.ask(process, message, timeout_s)
        return await handle_locally(self.handle, self.node.process, message)

    def handle(
        self, peer: ProcessId, message: PeerMessage
    ) -> PeerMessage | Awaitable[PeerMessage | None] | None:
        """Handle a peer's message and return the reply, if any."""
        match message:
            case Prepare() | Accept():
                return self._handle_register(message)
            case Heartbeat():
                self._handle_heartbeat(message)
                return None
            case ChangesAsk():
                return self.acceptor.follower.answer(message)
            case Changes() | Snapshot():
                return self._apply_changes(message)
            case LeaseAsk():
                if self.node.peers.is_refused(peer):
                    return Refused(int(ResultCode.LINK_CLOSED), "the requesting process has ended")
                self._drop_votes_for_ended()
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
                return Refused(
                    int(ResultCode.LINK_MALFORMED), "a keeper does not handle this message"
                )

    def _handle_register(self, message: Prepare | Accept) -> PeerMessage | Awaitable[PeerMessage]:
        if not self.is_disk_checked:
            return Refused(
                int(ResultCode.KEEPER_NOT_VOTING),
                "the disk is not confirmed to be up to date",
            )
        result = self.acceptor.handle(message, time.time())
        if not result.records:
            return result.reply
        return self._reply_after_sync(result.reply, result.records)

    async def _reply_after_sync(
        self, reply: PeerMessage, records: list[StoredRecord]
    ) -> PeerMessage:
        await self.journal.write(records)
        return reply

    def _drop_votes_for_ended(self) -> None:
        self.voter.drop_ended_holders(self.node.peers.is_refused)

    async def _apply_changes(self, message: Changes | Snapshot) -> PeerMessage:
        await self.configuration.apply_changes(message)
        return Acknowledged()

    async def _persist_change(self, version: int, data: bytes) -> None:
        await self.journal.write([StoredChange(version, data)])

    async def _persist_table(self, version: int, table: bytes) -> None:
        await self.journal.write([StoredTable(version, table)])

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.node.record_heartbeat(heartbeat)
        process = ProcessId(heartbeat.process)
        if process in self.node.peers.keepers:
            self._record_peer_disk(heartbeat)
            self._check_disk_age(heartbeat)
        if heartbeat.epoch > self.acceptor.epoch:
            self.node.spawn(self.membership.fetch(process), "fetch keepers")
        if heartbeat.version > self.acceptor.follower.version:
            # The peer has a version that this disk lacks.
            self.is_caught_up = False
            self.node.spawn(self.configuration.pull(process), "pull")

    def _check_disk_age(self, heartbeat: Heartbeat) -> None:
        is_own_disk = heartbeat.seen_disk_id in ("", self.acceptor.identity.disk_id)
        if not is_own_disk or heartbeat.seen_sequence <= self.storage.sequence:
            self.is_disk_checked = self.is_disk_checked or not self._is_disk_outdated
            return
        if not self._is_disk_outdated:
            detail = f"peer saw {heartbeat.seen_sequence} records, disk has {self.storage.sequence}"
            self.node.events.emit("disk_old", code=ResultCode.KEEPER_DISK_OLD, detail=detail)
        self.is_disk_checked, self._is_disk_outdated = False, True

    async def _run_heartbeats(self) -> None:
        limits = self.node.settings.limits
        while True:
            now_s = read_clock_s()
            if now_s - self._last_heartbeat_s > limits.lease_s:
                # This process was paused, and its peers may have decided newer versions.
                self.is_caught_up = False
            self._last_heartbeat_s = now_s
            self.node.send_heartbeats()
            if not self.is_caught_up:
                await self._catch_up()
            await self._join()
            if self.storage.log_record_count > MAX_LOG_RECORDS:
                self.write_snapshot()
            await asyncio.sleep(limits.heartbeat_s)

    def _make_heartbeat(self, peer: ProcessId) -> Heartbeat:
        position = self._peer_disks.get(peer) or DiskPosition("", 0)
        return Heartbeat(
            process=self.node.process,
            incarnation=self.node.incarnation,
            state=self.node.state,
            version=self.acceptor.follower.version,
            epoch=self.acceptor.epoch,
            sequence=self.storage.sequence,
            complete=self.is_caught_up,
            seen_sequence=position.sequence,
            seen_disk_id=position.disk_id,
            disk_id=self.acceptor.identity.disk_id,
        )

    def _record_peer_disk(self, heartbeat: Heartbeat) -> None:
        process = ProcessId(heartbeat.process)
        position = self._peer_disks.get(process)
        if (
            position is None
            or position.disk_id != heartbeat.disk_id
            or heartbeat.sequence > position.sequence
        ):
            self._peer_disks[process] = DiskPosition(heartbeat.disk_id, heartbeat.sequence)

    async def _catch_up(self) -> None:
        """Read from a majority what was decided while this process was unavailable."""
        if not list_voters(self.acceptor.keepers):
            await self.registers.refresh_keepers()
            return
        try:
            await self.configuration.catch_up()
        except TroutstandError as error:
            self._log_catch_up_failure(error)
            return
        self.is_caught_up = True
        self._is_catch_up_failing = False

    def _log_catch_up_failure(self, error: TroutstandError) -> None:
        """Log the first failure to reach a majority; the next heartbeat retries."""
        if not self._is_catch_up_failing:
            self._is_catch_up_failing = True
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
        """Replace the log by a snapshot of the current state."""
        retention_s = self.node.settings.limits.claim_retention_s
        records = self.acceptor.collect_snapshot(time.time(), retention_s)
        self.storage.write_snapshot(records)
        self.node.events.emit("snapshot_written", records=len(records))
