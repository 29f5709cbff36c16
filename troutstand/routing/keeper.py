"""Run a keeper of a routed site: durable configuration, and the directory of processes."""

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
from troutstand.core.membership import INITIAL_DISK_ID, make_initial_set
from troutstand.daemon.links import ask_oneself
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
    PeerMessage,
    Prepare,
    ProcessState,
    Refused,
    RolloutAdvance,
    RolloutsTold,
    StoredConfiguration,
    StoredIdentity,
    StoredKeepers,
    VersionsSeen,
)
from troutstand.generated.routing import RoutingRole
from troutstand.routing.controlserver import ControlServer
from troutstand.routing.keeperreplacement import KeeperReplacement
from troutstand.routing.lineclient import LineClient
from troutstand.routing.node import RoutingNode, make_process_id, parse_address
from troutstand.routing.recoveringjournal import RecoveringJournal
from troutstand.routing.rolloutstore import RolloutStore, decode_book
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from troutstand.core.ids import ProcessId
    from troutstand.core.stored import StoredRecord
    from troutstand.generated.routing import RoutingSettings
    from troutstand.routing.dialect import Dialect

_CONTACT_S = 0.3
_ASK_S = 0.6
_REGISTER_S = 2.5
_LINE_S = 2.5
_HELD_UP_S = 1.0
# A voter counts as heard for so long, in seconds: four of the pauses between contacts.
_BACKED_S = 1.2
_SNAPSHOT_BYTES = 8 << 20
_DISK_ID_BYTES = 12
_SHARED_ROLES = (RoutingRole.keeper.value, RoutingRole.scheduler.value)


def open_disk(settings: RoutingSettings, process: str) -> tuple[StoredIdentity, Storage]:
    """Open the data folder; format it where it is empty.

    Only at the site's first start do the seeds name the first set of voters;
    any other empty disk begins without a vote.
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
        first = StoredKeepers(make_initial_set(list(seeds)))
        storage.append([first])
        storage.loaded.append(first)
    identity = StoredIdentity(settings.site, process, disk_id)
    format_folder(folder, identity)
    return identity, storage


class RoutingKeeper:
    """Serve one keeper's durable state to a routed site."""

    def __init__(self, settings: RoutingSettings, dialect: Dialect) -> None:
        self.node = RoutingNode(settings)
        self.dialect = dialect
        identity, self.storage = open_disk(settings, self.node.process)
        self.acceptor = Acceptor(identity)
        for record in self.storage.loaded:
            self.acceptor.load_record(record)
        self.storage.loaded = []
        self.journal = RecoveringJournal(self.storage, self.node.events, self._collect_snapshot)
        self.registers = RegisterClient(
            self.ask_keeper,
            self.node.process,
            self.node.incarnation,
            [],
            _REGISTER_S,
            self.node.random.getrandbits(32),
        )
        self.registers.learn_keepers(self.acceptor.keepers)
        self.line = self._make_line(Line.configuration)
        self.rollouts = RolloutStore(self._make_line(Line.rollouts), self.node.events)
        self.replacement = KeeperReplacement(self)
        self._compressed = (0, b"")
        # The peers whose last content was broken.
        self._unreadable: set[ProcessId] = set()
        self._control = ControlServer(self.line, self.rollouts, dialect, self.node.events)

    def _make_line(self, line: Line) -> LineClient:
        return LineClient(
            self.ask_keeper,
            self.registers,
            self.learn,
            lambda: self.acceptor.decided[line],
            _LINE_S,
            line,
        )

    def _collect_snapshot(self) -> list[StoredRecord]:
        return self.acceptor.collect_snapshot(time.time(), 0.0)

    async def start(self) -> None:
        """Open the links and the operators' address, and keep in touch."""
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
        self.node.spawn(self._run_contacts(), "contacts")
        self.node.spawn(self._run_replacement(), "replacement")
        if self.node.settings.control:
            await self._control.start(parse_address(self.node.settings.control))

    async def stop(self) -> None:
        """Close everything."""
        await self._control.stop()
        await self.node.close()
        self.storage.close()

    # Messages

    async def ask_keeper(self, process: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Ask a keeper, which may be this one."""
        if process != self.node.process:
            return await self.node.ask(process, message, timeout_s)
        return await ask_oneself(self.handle, self.node.process, message)

    def handle(
        self, peer: ProcessId, message: PeerMessage
    ) -> PeerMessage | Awaitable[PeerMessage | None] | None:
        """Answer a message of another process."""
        match message:
            case Prepare() | Accept():
                return self._handle_register(message)
            case NewestAsk():
                return self._describe_newest(message)
            case ContactAsk():
                return self._handle_contact(message)
            case ConfigurationAsk(line):
                held = self.acceptor.decided[line]
                return Learned(held.version, held.content, held.line)
            case Learned(version, content, line):
                return self._learn_and_acknowledge(StoredConfiguration(version, content, line))
            case RolloutAdvance():
                return self._answer_rollout(self.rollouts.advance(message))
            case VersionsSeen():
                return self._answer_rollout(self.rollouts.record_versions(message))
            case KeepersAsk():
                return self.acceptor.report_keepers()
            case KeepersInstall(keepers):
                return self._install(keepers)
            case CopyAsk():
                if self.journal.is_failed:
                    return Refused(int(ResultCode.STORAGE_FAILED), "its disk refuses writes")
                return self.acceptor.copy_page(message)
            case _:
                return Refused(int(ResultCode.LINK_MALFORMED), "not for a keeper")

    def _handle_register(self, message: Prepare | Accept) -> PeerMessage | Awaitable[PeerMessage]:
        if self.journal.is_failed:
            return Refused(int(ResultCode.STORAGE_FAILED), "its disk refuses writes")
        handled = self.acceptor.handle(message, 0.0)
        if isinstance(handled.reply, Refused):
            return handled.reply
        return self._reply_synced(handled.reply, handled.records)

    async def _reply_synced(self, reply: PeerMessage, records: list[StoredRecord]) -> PeerMessage:
        # Also a reply without records of its own waits for those before it.
        await self.journal.write(records)
        return reply

    def _describe_newest(self, ask: NewestAsk) -> PeerMessage:
        if self.journal.is_failed:
            return Refused(int(ResultCode.STORAGE_FAILED), "its disk refuses writes")
        return self.acceptor.report_newest(ask)

    async def _answer_rollout(self, change: Awaitable[RolloutsTold]) -> PeerMessage:
        try:
            return await change
        except TroutstandError as error:
            self.node.events.emit("rollout_unclear", code=error.code, detail=error.detail)
            return Refused(int(error.code), error.detail)

    async def _install(self, keepers: object) -> PeerMessage:
        await self.replacement.install(keepers)  # type: ignore[arg-type]
        return Acknowledged()

    # Decided contents

    async def learn(self, record: StoredConfiguration) -> None:
        """Keep the decided content of a line and tell the other keepers."""
        if not await self._keep(record):
            return
        for process in self.node.contacts.list_by_role(RoutingRole.keeper.value):
            if process != self.node.process:
                self.node.send(process, Learned(record.version, record.content, record.line))

    async def _keep(self, record: StoredConfiguration) -> bool:
        records = self.acceptor.install_decided(record)
        if not records:
            return False
        self.node.events.emit(f"{record.line.value}_learned", version=record.version)
        # A majority holds it already; this copy need not be waited for.
        self.journal.write(records)
        return True

    async def _learn_and_acknowledge(self, record: StoredConfiguration) -> PeerMessage:
        await self._keep(record)
        return Acknowledged()

    # Contacts

    def _describe(self) -> Contact:
        version = self.acceptor.configuration.version
        return self.node.make_contact(version, self.acceptor.identity.disk_id, self.acceptor.epoch)

    def _handle_contact(self, ask: ContactAsk) -> ContactReply:
        self._hear(ask.contact, ask.known)
        held = self.acceptor.configuration
        is_behind = ask.contact.version < held.version
        rollouts = self.acceptor.rollouts
        now_s = read_clock_s()
        digest = self.node.contacts.digest(_SHARED_ROLES)
        # Other keepers need the ages; the rest only whom there is.
        is_known = digest == ask.known_digest
        return ContactReply(
            contact=self._describe(),
            known=[] if is_known else self.node.contacts.export(_SHARED_ROLES, now_s),
            known_digest=digest,
            version=held.version if is_behind else 0,
            content=self._compress_held() if is_behind else b"",
            rollouts_version=rollouts.version,
            rollouts=decode_book(rollouts) if ask.rollouts_version < rollouts.version else None,
            is_backed=self._is_backed(now_s),
        )

    def _is_backed(self, now_s: float) -> bool:
        """Tell whether a majority of voters was heard lately.

        Any later decision is known to one of them, and came with its contact.
        """
        voters = list_voters(self.acceptor.keepers)
        heard = [
            voter
            for voter in voters
            if voter == self.node.process or self.node.contacts.get_age_s(voter, now_s) < _BACKED_S
        ]
        return len(heard) > len(voters) // 2

    def _compress_held(self) -> bytes:
        """Compress the configuration once a version, however many processes ask."""
        held = self.acceptor.configuration
        if self._compressed[0] != held.version:
            self._compressed = (held.version, compress(held.content))
        return self._compressed[1]

    def _hear(self, contact: Contact, known: list[Contact]) -> None:
        now_s = read_clock_s()
        for heard in (contact, *known):
            if heard.process != self.node.process and self.node.contacts.update(heard, now_s):
                self.node.events.emit("contact_found", peer=heard.process, host=heard.host)

    async def _run_contacts(self) -> None:
        last_s = read_clock_s()
        while True:
            now_s = read_clock_s()
            if now_s - last_s > _HELD_UP_S:
                self.replacement.reset_silence()
            last_s = now_s
            self.node.expire_contacts(now_s)
            for process in self._list_other_keepers():
                self.node.spawn(self._contact(process), f"contact {process}")
            await asyncio.sleep(_CONTACT_S * (0.75 + 0.5 * self.node.random.random()))

    def _list_other_keepers(self) -> set[ProcessId]:
        role = RoutingRole.keeper
        seeds = {
            self.node.make_peer_id(role, parse_address(seed).ip)
            for seed in self.node.settings.seeds
        }
        known = set(self.node.contacts.list_by_role(role.value))
        return (seeds | known) - {self.node.process}

    async def _contact(self, process: ProcessId) -> None:
        now_s = read_clock_s()
        ask = ContactAsk(
            self._describe(),
            self.node.contacts.export(_SHARED_ROLES, now_s),
            rollouts_version=self.acceptor.rollouts.version,
        )
        try:
            reply = await self.node.ask(process, ask, _ASK_S)
        except TroutstandError:
            # Its link tells of a lost peer, and contact_forgotten of a silent one.
            return
        if not isinstance(reply, ContactReply):
            return
        content = self._expand(process, reply.content)
        if content is None:
            return
        self._hear(reply.contact, reply.known)
        if reply.version:
            await self._keep(StoredConfiguration(reply.version, content))
        if reply.rollouts is not None:
            book = encode_record(reply.rollouts)
            await self._keep(StoredConfiguration(reply.rollouts_version, book, Line.rollouts))
        if reply.contact.epoch > self.acceptor.epoch:
            await self.replacement.fetch(process)

    def _expand(self, process: ProcessId, data: bytes) -> bytes | None:
        """Return a contact's content, or None where it is broken, which is logged once."""
        try:
            content = decompress(data)
        except TroutstandError as error:
            if process not in self._unreadable:
                self._unreadable.add(process)
                self.node.events.emit(
                    "contact_unreadable", code=error.code, peer=process, detail=error.detail
                )
            return None
        self._unreadable.discard(process)
        return content

    # The keeper set

    async def _run_replacement(self) -> None:
        while True:
            await asyncio.sleep(_CONTACT_S * (0.75 + 0.5 * self.node.random.random()))
            try:
                await self.journal.recover()
                if not self.journal.is_failed:
                    await self.replacement.run_step()
                if self.storage.log_bytes > _SNAPSHOT_BYTES:
                    self.journal.write_snapshot()
            except OSError as error:
                self.node.events.emit("disk_failed", detail=str(error))
            except TroutstandError as error:
                self.node.events.emit("keeper_set_waits", code=error.code, detail=error.detail)

    async def become_spare(self) -> None:
        """Begin again as a new disk, once the keeper set no longer names this one."""
        if not self.acceptor.registers and self.acceptor.identity.disk_id != INITIAL_DISK_ID:
            return
        identity = StoredIdentity(
            self.node.settings.site, self.node.process, secrets.token_hex(_DISK_ID_BYTES)
        )
        replace_identity(Path(self.node.settings.data_folder), identity)
        self.acceptor.reset(identity)
        self.journal.write_snapshot()
        self.node.events.emit("disk_renewed", disk=identity.disk_id, epoch=self.acceptor.epoch)
