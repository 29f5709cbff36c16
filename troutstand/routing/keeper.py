"""Run a keeper, which stores the configuration and rollouts and tracks the processes."""

from __future__ import annotations

import asyncio
import secrets
import time
from pathlib import Path
from typing import TYPE_CHECKING

from troutstand.core.acceptor import Acceptor, list_voters
from troutstand.core.codec import encode_record
from troutstand.core.codes import ResultCode
from troutstand.core.compression import compress, decompress
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import ProcessId
from troutstand.core.limits.quota import make_bounds
from troutstand.core.membership import INITIAL_DISK_ID, make_initial_set
from troutstand.daemon.links import handle_locally
from troutstand.daemon.registers import RegisterClient
from troutstand.daemon.storage import Storage, format_folder, read_identity, replace_identity
from troutstand.generated.messages import (
    Accept,
    Acknowledged,
    ConfigurationAsk,
    Contact,
    ContactAsk,
    ContactReply,
    CopyAsk,
    KeepersAsk,
    KeepersInstall,
    Learned,
    Line,
    NewestAsk,
    OriginAsk,
    OriginNews,
    OriginTold,
    PartNews,
    PeerMessage,
    Prepare,
    ProcessState,
    Refused,
    RolloutAdvance,
    StoredConfiguration,
    StoredIdentity,
    StoredKeepers,
    UsageAsk,
    UsageNews,
    UsageTold,
    VersionsSeen,
)
from troutstand.generated.routing import RoutingRole
from troutstand.routing.controlserver import ControlServer
from troutstand.routing.keeperreplacement import KeeperReplacement
from troutstand.routing.lineclient import LineClient
from troutstand.routing.node import RoutingNode, make_process_id, parse_address
from troutstand.routing.originstore import OriginStore
from troutstand.routing.partevidencestore import PartEvidenceStore, decode_stored
from troutstand.routing.recoveringjournal import RecoveringJournal
from troutstand.routing.rolloutstore import RolloutStore, decode_book
from troutstand.routing.usagestore import UsageStore
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from troutstand.core.stored import StoredRecord
    from troutstand.generated.routing import RoutingSettings
    from troutstand.routing.dialect import Dialect

_CONTACT_PERIOD_S = 0.3
_CONTACT_TIMEOUT_S = 0.6
_REGISTER_TIMEOUT_S = 2.5
_LINE_TIMEOUT_S = 2.5
_STALL_S = 1.0
# Tolerates lost contacts, since it spans four contact periods.
_VOTER_CONTACT_MAX_AGE_S = 1.2
_SNAPSHOT_BYTES = 8 << 20
_DISK_ID_BYTES = 12
_SHARED_ROLES = (RoutingRole.keeper.value, RoutingRole.scheduler.value)


def open_data_folder(settings: RoutingSettings, process: str) -> tuple[StoredIdentity, Storage]:
    """Open the data folder; format it if it is empty.

    The seeds become the first voters only at the site's first start. On any other empty
    disk, the keeper starts without a vote.
    """
    folder = Path(settings.data_folder)
    folder.mkdir(parents=True, exist_ok=True)
    storage = Storage(folder)
    try:
        return read_identity(folder), storage
    except TroutstandError as error:
        if error.code is not ResultCode.DATA_FOLDER_UNFORMATTED:
            raise
    seeds = [
        make_process_id(RoutingRole.keeper, parse_address(seed).ip, settings.first_port)
        for seed in settings.seeds
    ]
    disk_id = secrets.token_hex(_DISK_ID_BYTES)
    if settings.first_start and process in seeds:
        disk_id = INITIAL_DISK_ID
        initial = StoredKeepers(make_initial_set(list(seeds)))
        storage.append([initial])
        storage.loaded_records.append(initial)
    identity = StoredIdentity(settings.site, process, disk_id)
    format_folder(folder, identity)
    return identity, storage


class RoutingKeeper:
    """Serve the durable state of one keeper to a routed site."""

    def __init__(self, settings: RoutingSettings, dialect: Dialect) -> None:
        self.node = RoutingNode(settings)
        self.dialect = dialect
        identity, self.storage = open_data_folder(settings, self.node.process)
        self.acceptor = Acceptor(identity)
        for record in self.storage.loaded_records:
            self.acceptor.load_record(record)
        self.storage.loaded_records = []
        self.journal = RecoveringJournal(self.storage, self.node.events, self._collect_snapshot)
        self.registers = RegisterClient(
            self.ask_keeper,
            self.node.process,
            self.node.incarnation,
            [],
            _REGISTER_TIMEOUT_S,
            self.node.random.getrandbits(32),
        )
        self.registers.update_keepers(self.acceptor.keepers)
        self.configuration_line = self._make_line_client(Line.configuration)
        self.rollouts = RolloutStore(self._make_line_client(Line.rollouts), self.node.events)
        self.part_evidence = PartEvidenceStore(
            self._make_line_client(Line.part_evidence), self.node.events
        )
        counted_s = make_bounds(settings).counted_s
        self.usage = UsageStore(Path(settings.data_folder), counted_s, self.node.events)
        self.origins = OriginStore(Path(settings.data_folder), self.node.events)
        self.replacement = KeeperReplacement(self)
        self._compressed_configuration = (0, b"")
        self._absences: dict[ProcessId, float] = {}
        # Peers whose last configuration could not be decompressed.
        self._corrupt_peers: set[ProcessId] = set()
        self._control = ControlServer(
            self.configuration_line, self.rollouts, dialect, self.node.events
        )

    def _make_line_client(self, line: Line) -> LineClient:
        return LineClient(
            self.ask_keeper,
            self.registers,
            self.install_and_announce,
            lambda: self.acceptor.decided[line],
            _LINE_TIMEOUT_S,
            line,
        )

    def _collect_snapshot(self) -> list[StoredRecord]:
        return self.acceptor.collect_snapshot(time.time(), 0.0)

    async def start(self) -> None:
        """Open the links and the control address, and start the background tasks."""
        self.node.start_event_log()
        member = self.acceptor.find_member()
        self.node.events.emit(
            "disk_opened",
            disk=self.acceptor.identity.disk_id,
            epoch=self.acceptor.epoch,
            member=member.state.value if member else "none",
            version=self.acceptor.configuration.version,
        )
        await self.node.listen(self.handle)
        await self.node.start_metrics()
        self.node.state = ProcessState.serving
        self.node.spawn_loop(self._run_contacts, "contacts")
        self.node.spawn_loop(self._run_replacement, "replacement")
        if self.node.settings.control:
            await self._control.start(parse_address(self.node.settings.control), self.node.guard)

    async def stop(self) -> None:
        """Close the control address, the links and the storage."""
        await self._control.stop()
        await self.node.close()
        self.origins.close()
        self.storage.close()

    # Messages

    async def ask_keeper(self, process: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a request to a keeper, possibly this one, and return its reply."""
        if process != self.node.process:
            return await self.node.ask(process, message, timeout_s)
        return await handle_locally(self.handle, self.node.process, message)

    def handle(
        self, peer: ProcessId, message: PeerMessage
    ) -> PeerMessage | Awaitable[PeerMessage | None] | None:
        """Handle a message from another process."""
        match message:
            case Prepare() | Accept():
                return self._handle_register(message)
            case NewestAsk():
                return self._report_newest(message)
            case ContactAsk():
                return self._handle_contact(message)
            case ConfigurationAsk(line):
                decided = self.acceptor.decided[line]
                return Learned(decided.version, decided.content, decided.line)
            case Learned(version, content, line):
                return self._install_and_acknowledge(StoredConfiguration(version, content, line))
            case RolloutAdvance():
                return self._reply_change(self.rollouts.advance(message), "rollout_unclear")
            case VersionsSeen():
                change = self.rollouts.record_versions(message)
                return self._reply_change(change, "rollout_unclear")
            case PartNews(evidence):
                change = self.part_evidence.record(evidence)
                return self._reply_change(change, "part_evidence_unclear")
            case UsageNews(usage, gateways):
                self.usage.merge(usage, gateways)
                return None
            case UsageAsk():
                return self._tell_usage(message)
            case OriginNews(groups):
                self.origins.merge(groups)
                return None
            case OriginAsk(stream):
                return OriginTold(self.origins.find(stream))
            case KeepersAsk():
                return self.acceptor.report_keepers()
            case KeepersInstall(keepers):
                return self._install_keepers(keepers)
            case CopyAsk():
                if self.journal.is_failed:
                    return Refused(int(ResultCode.STORAGE_FAILED), "writes to the disk fail")
                return self.acceptor.copy_page(message)
            case _:
                return Refused(
                    int(ResultCode.LINK_MALFORMED), "message type not handled by a keeper"
                )

    def _handle_register(self, message: Prepare | Accept) -> PeerMessage | Awaitable[PeerMessage]:
        if self.journal.is_failed:
            return Refused(int(ResultCode.STORAGE_FAILED), "writes to the disk fail")
        result = self.acceptor.handle(message, 0.0)
        if isinstance(result.reply, Refused):
            return result.reply
        return self._reply_after_sync(result.reply, result.records)

    async def _reply_after_sync(
        self, reply: PeerMessage, records: list[StoredRecord]
    ) -> PeerMessage:
        # A reply without records also waits, since it may depend on earlier unsynced ones.
        await self.journal.write(records)
        return reply

    def _report_newest(self, ask: NewestAsk) -> PeerMessage:
        if self.journal.is_failed:
            return Refused(int(ResultCode.STORAGE_FAILED), "writes to the disk fail")
        return self.acceptor.report_newest(ask)

    async def _reply_change(self, change: Awaitable[PeerMessage], failure: str) -> PeerMessage:
        """Return the result of a change, or log under a name that it is not known."""
        try:
            return await change
        except TroutstandError as error:
            self.node.events.emit(failure, code=error.code, detail=error.detail)
            return Refused(int(error.code), error.detail)

    async def _install_keepers(self, keepers: object) -> PeerMessage:
        await self.replacement.install(keepers)  # type: ignore[arg-type]
        return Acknowledged()

    # Decided contents

    async def install_and_announce(self, record: StoredConfiguration) -> None:
        """Install the decided content of a line and send it to the other keepers."""
        if not await self._install_decided(record):
            return
        for process in self.node.contacts.list_by_role(RoutingRole.keeper.value):
            if process != self.node.process:
                self.node.send(process, Learned(record.version, record.content, record.line))

    async def _install_decided(self, record: StoredConfiguration) -> bool:
        records = self.acceptor.install_decided(record)
        if not records:
            return False
        self.node.events.emit(f"{record.line.value}_learned", version=record.version)
        # Not awaited, since a majority has already stored the content.
        self.journal.write(records)
        return True

    async def _install_and_acknowledge(self, record: StoredConfiguration) -> PeerMessage:
        await self._install_decided(record)
        return Acknowledged()

    # Contacts

    def _make_contact(self) -> Contact:
        version = self.acceptor.configuration.version
        return self.node.make_contact(version, self.acceptor.identity.disk_id, self.acceptor.epoch)

    def _handle_contact(self, ask: ContactAsk) -> ContactReply:
        self._update_contacts(ask.contact, ask.known)
        current = self.acceptor.configuration
        is_behind = ask.contact.version < current.version
        rollouts = self.acceptor.rollouts
        parts = self.acceptor.decided[Line.part_evidence]
        now_s = read_clock_s()
        digest = self.node.contacts.digest(_SHARED_ROLES)
        # Keepers send no digest, since they need the current ages of the contacts.
        is_unchanged = digest == ask.known_digest
        return ContactReply(
            contact=self._make_contact(),
            known=[] if is_unchanged else self.node.contacts.export(_SHARED_ROLES, now_s),
            known_digest=digest,
            version=current.version if is_behind else 0,
            content=self._compress_configuration() if is_behind else b"",
            rollouts_version=rollouts.version,
            rollouts=decode_book(rollouts) if ask.rollouts_version < rollouts.version else None,
            part_evidence_version=parts.version,
            part_evidence=(
                decode_stored(parts) if ask.part_evidence_version < parts.version else None
            ),
            is_backed=self._has_recent_majority(now_s),
        )

    def _has_recent_majority(self, now_s: float) -> bool:
        """Return whether a majority of voters, including this keeper, had recent contact.

        Any earlier decision is known to at least one of them, which sent it with its contact.
        """
        voters = list_voters(self.acceptor.keepers)
        recent = [
            voter
            for voter in voters
            if voter == self.node.process
            or self.node.contacts.get_age_s(voter, now_s) < _VOTER_CONTACT_MAX_AGE_S
        ]
        return len(recent) > len(voters) // 2

    def _compress_configuration(self) -> bytes:
        """Return the compressed configuration, cached by version."""
        current = self.acceptor.configuration
        if self._compressed_configuration[0] != current.version:
            self._compressed_configuration = (current.version, compress(current.content))
        return self._compressed_configuration[1]

    def _tell_usage(self, ask: UsageAsk) -> UsageTold:
        known = self.usage
        usage = known.list_usage() if ask.is_whole else known.list_usage_for(ProcessId(ask.process))
        absent_s = self._measure_absence(ask.process, ask.incarnation)
        return UsageTold(usage, absent_s, known.gateway_count, known.is_restored)

    def _measure_absence(self, process: str, incarnation: str) -> float:
        """Return for how long a process was not heard from before its start, below 0 if unknown."""
        known = self.node.contacts.find(process)
        if known is not None and known.contact.incarnation != incarnation:
            return read_clock_s() - known.last_heard_s
        return self._absences.get(ProcessId(process), -1.0)

    def _record_absence(self, contact: Contact, now_s: float) -> None:
        """Record how long a process that has just restarted was not heard from."""
        known = self.node.contacts.find(contact.process)
        if known is None:
            self._absences.pop(ProcessId(contact.process), None)
        elif known.contact.incarnation != contact.incarnation:
            self._absences[ProcessId(contact.process)] = now_s - known.last_heard_s

    def _update_contacts(self, contact: Contact, known: list[Contact]) -> None:
        now_s = read_clock_s()
        self._record_absence(contact, now_s)
        for peer in (contact, *known):
            if peer.process != self.node.process and self.node.contacts.update(peer, now_s):
                self.node.events.emit("contact_found", peer=peer.process, host=peer.host)

    async def _run_contacts(self) -> None:
        last_s = read_clock_s()
        while True:
            now_s = read_clock_s()
            if now_s - last_s > _STALL_S:
                self.replacement.reset_silence()
            last_s = now_s
            self.node.expire_contacts(now_s)
            for process in self._list_other_keepers():
                self.node.spawn(self._exchange_contacts(process), f"contact {process}")
            await asyncio.sleep(_CONTACT_PERIOD_S * (0.75 + 0.5 * self.node.random.random()))

    def _list_other_keepers(self) -> set[ProcessId]:
        role = RoutingRole.keeper
        seeds = {
            self.node.make_peer_id(role, parse_address(seed).ip)
            for seed in self.node.settings.seeds
        }
        known = set(self.node.contacts.list_by_role(role.value))
        return (seeds | known) - {self.node.process}

    async def _exchange_contacts(self, process: ProcessId) -> None:
        now_s = read_clock_s()
        ask = ContactAsk(
            self._make_contact(),
            self.node.contacts.export(_SHARED_ROLES, now_s),
            rollouts_version=self.acceptor.rollouts.version,
            part_evidence_version=self.acceptor.decided[Line.part_evidence].version,
        )
        try:
            reply = await self.node.ask(process, ask, _CONTACT_TIMEOUT_S)
        except TroutstandError:
            # The link logs a lost peer, and contact_forgotten a silent one.
            return
        if not isinstance(reply, ContactReply):
            return
        content = self._decompress_content(process, reply.content)
        if content is None:
            return
        self._update_contacts(reply.contact, reply.known)
        if reply.version:
            await self._install_decided(StoredConfiguration(reply.version, content))
        if reply.rollouts is not None:
            data = encode_record(reply.rollouts)
            await self._install_decided(
                StoredConfiguration(reply.rollouts_version, data, Line.rollouts)
            )
        if reply.part_evidence is not None:
            data = encode_record(reply.part_evidence)
            await self._install_decided(
                StoredConfiguration(reply.part_evidence_version, data, Line.part_evidence)
            )
        if reply.contact.epoch > self.acceptor.epoch:
            await self.replacement.fetch(process)

    def _decompress_content(self, process: ProcessId, data: bytes) -> bytes | None:
        """Return the decompressed content, or None if it is corrupt, which is logged once."""
        try:
            content = decompress(data)
        except TroutstandError as error:
            if process not in self._corrupt_peers:
                self._corrupt_peers.add(process)
                self.node.events.emit(
                    "contact_unreadable", code=error.code, peer=process, detail=error.detail
                )
            return None
        self._corrupt_peers.discard(process)
        return content

    # The keeper set

    async def _run_replacement(self) -> None:
        while True:
            await asyncio.sleep(_CONTACT_PERIOD_S * (0.75 + 0.5 * self.node.random.random()))
            try:
                await self.journal.recover()
                if not self.journal.is_failed:
                    await self.replacement.run_step()
                self.usage.write()
                if self.storage.log_bytes > _SNAPSHOT_BYTES:
                    self.journal.write_snapshot()
            except OSError as error:
                self.node.events.emit("disk_failed", detail=str(error))
            except TroutstandError as error:
                self.node.events.emit("keeper_set_waits", code=error.code, detail=error.detail)

    async def become_spare(self) -> None:
        """Restart with a new disk id after this disk was removed from the keeper set."""
        if not self.acceptor.registers and self.acceptor.identity.disk_id != INITIAL_DISK_ID:
            return
        identity = StoredIdentity(
            self.node.settings.site, self.node.process, secrets.token_hex(_DISK_ID_BYTES)
        )
        replace_identity(Path(self.node.settings.data_folder), identity)
        self.acceptor.reset(identity)
        self.journal.write_snapshot()
        self.node.events.emit("disk_renewed", disk=identity.disk_id, epoch=self.acceptor.epoch)
