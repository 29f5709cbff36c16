"""Implement the acceptor state of a keeper: promises, accepted values and decided contents."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.follower import Follower
from troutstand.core.ids import ProcessId, RegisterName
from troutstand.core.register import handle_accept, handle_prepare, rank_ballot
from troutstand.generated.messages import (
    Accept,
    Accepted,
    CopyAsk,
    CopyPage,
    KeeperSet,
    KeepersReply,
    Line,
    Member,
    MemberState,
    Newest,
    NewestAsk,
    Prepare,
    Promise,
    Refused,
    RegisterState,
    StoredChange,
    StoredConfiguration,
    StoredIdentity,
    StoredKeepers,
    StoredRegister,
    StoredSequence,
    StoredTable,
)

if TYPE_CHECKING:
    from troutstand.core.stored import StoredRecord

TABLE_PREFIX = "table/"
CLAIM_PREFIXES = ("claim/", "outcome/")
# Registers of older table versions reject proposals; the table holds their changes.
RETAINED_TABLE_REGISTERS = 1000
_LINE_NAMES = frozenset(line.value for line in Line)


@dataclass(frozen=True)
class AcceptorResult:
    """Hold a reply and the records to sync to disk before it is sent."""

    reply: Promise | Accepted | Refused | CopyPage
    records: list[StoredRecord] = field(default_factory=list)


class Acceptor:
    """Hold one keeper's registers, keeper set, table and decided contents.

    Parameters
    ----------
    identity
        Identifies the disk; only disks in the keeper set vote.
    """

    def __init__(self, identity: StoredIdentity) -> None:
        self.identity = identity
        self.keepers: KeeperSet | None = None
        self.registers: dict[str, RegisterState] = {}
        self.follower = Follower()
        self.decided = {line: StoredConfiguration(0, b"", line) for line in Line}

    @property
    def configuration(self) -> StoredConfiguration:
        """Return the newest decided configuration."""
        return self.decided[Line.configuration]

    @property
    def rollouts(self) -> StoredConfiguration:
        """Return the newest decided rollout book."""
        return self.decided[Line.rollouts]

    @property
    def epoch(self) -> int:
        """Return the epoch of the known keeper set; 0 if there is none."""
        return self.keepers.epoch if self.keepers else 0

    def find_member(self) -> Member | None:
        """Return the member of the keeper set that is this disk, if any."""
        members = self.keepers.members if self.keepers else []
        own = [m for m in members if m.process == self.identity.process]
        return own[0] if own and own[0].disk_id == self.identity.disk_id else None

    @property
    def is_voting(self) -> bool:
        """Tell whether this disk is a voting member."""
        member = self.find_member()
        return member is not None and member.state is MemberState.voting

    def report_keepers(self) -> KeepersReply:
        """Return the known keeper set and this disk's identity."""
        return KeepersReply(self.identity.process, self.identity.disk_id, self.keepers)

    def load_record(self, record: StoredRecord) -> None:
        """Apply a record read from the disk or copied from another keeper."""
        match record:
            case StoredRegister(state):
                self.registers[state.register] = state
            case StoredKeepers(keepers):
                if self.keepers is None or keepers.epoch > self.keepers.epoch:
                    self.keepers = keepers
            case StoredChange(version, change):
                self.follower.apply(version, change)
            case StoredTable(version, table):
                self.follower.install(version, table)
            case StoredConfiguration():
                self.install_decided(record)
            case StoredIdentity() | StoredSequence():
                pass

    def handle(self, message: Prepare | Accept, now_s: float) -> AcceptorResult:
        """Handle a message of a proposer."""
        refusal = self._check_voter(message)
        if refusal:
            return AcceptorResult(refusal)
        state = self.registers.get(message.register) or RegisterState(message.register)
        match message:
            case Prepare():
                changed, reply = handle_prepare(state, message)
            case Accept():
                changed, reply = handle_accept(state, message)
        if changed is state or changed == state:
            return AcceptorResult(reply)
        changed = _stamp_state(changed, now_s)
        self.registers[message.register] = changed
        return AcceptorResult(reply, [StoredRegister(changed)])

    def _check_voter(self, message: Prepare | Accept) -> Refused | None:
        if not self.is_voting:
            return Refused(int(ResultCode.KEEPER_NOT_VOTING), "", self.keepers)
        if message.epoch != self.epoch:
            return Refused(int(ResultCode.KEEPER_EPOCH), "", self.keepers)
        version = _parse_table_version(message.register)
        oldest = self.follower.version - RETAINED_TABLE_REGISTERS
        if version is not None and version <= oldest:
            return Refused(
                int(ResultCode.TABLE_STALE),
                f"version {version} is decided and its register no longer retained",
            )
        if self._is_superseded(message.register):
            detail = f"{message.register}: the same or a later version is already decided"
            return Refused(int(ResultCode.CONFIGURATION_STALE), detail)
        return None

    def _is_superseded(self, register: str) -> bool:
        """Tell whether the register's version, or a later one, is known to be decided."""
        line_version = parse_line_register(register)
        return (
            line_version is not None
            and line_version.version <= self.decided[line_version.line].version
        )

    def install_decided(self, record: StoredConfiguration) -> list[StoredRecord]:
        """Install a newer decided content of a line and drop the registers it supersedes."""
        if record.version <= self.decided[record.line].version:
            return []
        self.decided[record.line] = record
        for name in [name for name in self.registers if self._is_superseded(name)]:
            del self.registers[name]
        return [record]

    def report_newest(self, ask: NewestAsk) -> Newest | Refused:
        """Return the newest decided and accepted versions of a line, if this disk votes."""
        if not self.is_voting or ask.epoch != self.epoch:
            return Refused(int(ResultCode.KEEPER_EPOCH), "", self.keepers)
        versions = [
            parse_line_register(name)
            for name, state in self.registers.items()
            if state.accepted is not None
        ]
        accepted = [v.version for v in versions if v is not None and v.line is ask.line]
        return Newest(self.decided[ask.line].version, max(accepted, default=0))

    def reset(self, identity: StoredIdentity) -> None:
        """Continue as a new disk without registers; decided contents stay."""
        self.identity = identity
        self.registers = {}

    def install_keepers(self, keepers: KeeperSet) -> list[StoredRecord]:
        """Install a keeper set of a newer epoch; ignore others."""
        if keepers.epoch <= self.epoch:
            return []
        self.keepers = keepers
        return [StoredKeepers(keepers)]

    def copy_page(self, ask: CopyAsk) -> CopyPage | Refused:
        """Return a page of this keeper's state for a new member to copy."""
        if ask.epoch != self.epoch or not self.is_voting:
            return Refused(int(ResultCode.KEEPER_EPOCH), "", self.keepers)
        names = sorted(name for name in self.registers if name > ask.after)
        page = names[: ask.limit]
        records: list[StoredRecord] = [StoredRegister(self.registers[name]) for name in page]
        if not ask.after:
            version = self.follower.version
            records.insert(0, StoredTable(version, self.follower.table.pack()))
            records[1:1] = self.decided.values()
        return CopyPage(records, len(page) == len(names), page[-1] if page else "")

    def merge_record(self, record: StoredRecord) -> list[StoredRecord]:
        """Merge a record copied from another keeper; return the records that changed."""
        match record:
            case StoredRegister(state):
                if self._is_superseded(state.register):
                    return []
                current = self.registers.get(state.register)
                if current is not None and _is_newer(current, state):
                    return []
                self.registers[state.register] = _merge_states(current, state)
                return [StoredRegister(self.registers[state.register])]
            case StoredTable(version, table):
                return [record] if self.follower.install(version, table) else []
            case StoredConfiguration():
                return self.install_decided(record)
            case _:
                return []

    def collect_snapshot(self, now_s: float, retention_s: float) -> list[StoredRecord]:
        """Drop expired registers and return all records that remain."""
        oldest = self.follower.version - RETAINED_TABLE_REGISTERS
        expired = [
            name
            for name, state in self.registers.items()
            if _is_expired(state, now_s - retention_s, oldest)
        ]
        for name in expired:
            del self.registers[name]
        records: list[StoredRecord] = []
        if self.keepers:
            records.append(StoredKeepers(self.keepers))
        records.append(StoredTable(self.follower.version, self.follower.table.pack()))
        records.extend(decided for decided in self.decided.values() if decided.version)
        records.extend(StoredRegister(state) for state in self.registers.values())
        return records


def list_voters(keepers: KeeperSet | None) -> frozenset[ProcessId]:
    """Return the voting members."""
    members = keepers.members if keepers else []
    return frozenset(ProcessId(m.process) for m in members if m.state is MemberState.voting)


def _stamp_state(state: RegisterState, now_s: float) -> RegisterState:
    return RegisterState(state.register, state.promised, state.accepted, state.value, now_s)


def _parse_table_version(register: str) -> int | None:
    digits = register.removeprefix(TABLE_PREFIX)
    return int(digits) if register.startswith(TABLE_PREFIX) and digits.isdigit() else None


@dataclass(frozen=True)
class LineVersion:
    """Identify one version of a line."""

    line: Line
    version: int


def name_line_register(line_version: LineVersion) -> RegisterName:
    """Name the register that holds the content of one version of a line."""
    return RegisterName(f"{line_version.line.value}/{line_version.version}")


def parse_line_register(register: str) -> LineVersion | None:
    """Return the line version of a register, or None for another kind of register."""
    name, _, digits = register.partition("/")
    if name not in _LINE_NAMES or not digits.isdigit():
        return None
    return LineVersion(Line(name), int(digits))


def _is_expired(state: RegisterState, oldest_s: float, oldest_version: int) -> bool:
    if state.register.startswith(CLAIM_PREFIXES):
        return state.changed_at_s < oldest_s
    version = _parse_table_version(state.register)
    return version is not None and version <= oldest_version


def _is_newer(current: RegisterState, other: RegisterState) -> bool:
    is_promise_newer = rank_ballot(current.promised) >= rank_ballot(other.promised)
    return is_promise_newer and rank_ballot(current.accepted) >= rank_ballot(other.accepted)


def _merge_states(current: RegisterState | None, other: RegisterState) -> RegisterState:
    if current is None:
        return other
    promised = max(current.promised, other.promised, key=rank_ballot)
    accepted = max(current, other, key=lambda state: rank_ballot(state.accepted))
    return RegisterState(
        current.register, promised, accepted.accepted, accepted.value, other.changed_at_s
    )
