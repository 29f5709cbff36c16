"""Store the operators' table and apply accepted changes to it."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple, TypeVar

from troutstand.core.codec import decode_record, encode_record
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import RegisterName, Version
from troutstand.generated.table import (
    Change,
    Model,
    RowKey,
    RowKind,
    Service,
    Target,
    Tier,
    Workspace,
)

Row = Workspace | Tier | Target | Service | Model
R = TypeVar("R", Workspace, Tier, Target, Service, Model)

ROW_CLASSES: dict[RowKind, type[Row]] = {
    RowKind.workspace: Workspace,
    RowKind.tier: Tier,
    RowKind.target: Target,
    RowKind.service: Service,
    RowKind.model: Model,
}
_KINDS = {row_class: kind for kind, row_class in ROW_CLASSES.items()}
# Number of edit ids kept to recognize edits that are sent again.
MAX_EDIT_IDS = 100_000


class RowId(NamedTuple):
    """Identify a row."""

    kind: RowKind
    name: str


def get_row_id(row: Row) -> RowId:
    """Return the identifier of a row."""
    return RowId(_KINDS[type(row)], row.name)


def name_version_register(version: int) -> RegisterName:
    """Return the name of the register that stores a version's change."""
    return RegisterName(f"table/{version}")


class RowDifference(NamedTuple):
    """Represent a row before and after a change; None where it does not exist."""

    row_id: RowId
    before: Row | None
    after: Row | None


def diff_rows(before: dict[RowId, Row], after: dict[RowId, Row]) -> list[RowDifference]:
    """List the rows that differ, sorted by identifier."""
    names = sorted(set(before) | set(after))
    return [
        RowDifference(name, before.get(name), after.get(name))
        for name in names
        if before.get(name) != after.get(name)
    ]


def _check_workspace(row: Workspace, rows: dict[RowId, Row]) -> str | None:
    if RowId(RowKind.tier, row.tier) in rows:
        return None
    return f"workspace {row.name}: tier {row.tier!r} does not exist in the table"


def _check_target(row: Target, rows: dict[RowId, Row]) -> str | None:
    kind = RowKind.model if row.protocol.value == "engine" else RowKind.service
    missing = [name for name in row.serves if RowId(kind, name) not in rows]
    if not missing:
        return None
    return f"target {row.name}: {kind.value} {missing[0]!r} does not exist in the table"


def _check_ranks(rows: dict[RowId, Row]) -> list[str]:
    ranks: dict[int, str] = {}
    problems: list[str] = []
    for row in rows.values():
        if not isinstance(row, Tier):
            continue
        if row.rank in ranks:
            problems.append(f"tiers {ranks[row.rank]} and {row.name} share rank {row.rank}")
        ranks[row.rank] = row.name
    return problems


def check_rows(rows: dict[RowId, Row]) -> list[str]:
    """List the violated constraints between the rows of a complete table."""
    problems = _check_ranks(rows)
    tokens: dict[str, str] = {}
    for row in rows.values():
        problem: str | None = None
        match row:
            case Workspace():
                problem = _check_workspace(row, rows)
                if row.token_sha256 in tokens:
                    problem = f"workspaces {tokens[row.token_sha256]} and {row.name} share a token"
                tokens[row.token_sha256] = row.name
            case Target():
                problem = _check_target(row, rows)
            case _:
                pass
        if problem:
            problems.append(problem)
    return problems


class Table:
    """Store the latest applied version of the table; versions only increase."""

    def __init__(self) -> None:
        self.version = Version(0)
        self.rows: dict[RowId, Row] = {}
        self._edits: OrderedDict[str, int] = OrderedDict()

    def select(self, row_class: type[R]) -> dict[str, R]:
        """Return the rows of one kind by name."""
        return {row.name: row for row in self.rows.values() if isinstance(row, row_class)}

    def find_edit(self, edit_id: str) -> Version | None:
        """Return the version that an edit created, if it was accepted."""
        version = self._edits.get(edit_id)
        return None if version is None else Version(version)

    def preview(self, change: Change) -> dict[RowId, Row]:
        """Return the rows that a change would produce.

        Raises
        ------
        ExceptionGroup
            Of TroutstandError TABLE_INVALID, one for each violation.
        """
        rows = dict(self.rows)
        _apply_to_rows(rows, change)
        problems = check_rows(rows)
        if problems:
            errors = [TroutstandError(ResultCode.TABLE_INVALID, text) for text in problems]
            raise ExceptionGroup("the change would make the table invalid", errors)
        return rows

    def apply(self, version: int, change: Change) -> bool:
        """Apply a change and return True, or return False if it is not the next version."""
        if version != self.version + 1:
            return False
        _apply_to_rows(self.rows, change)
        self.version = Version(version)
        self._edits[change.edit_id] = version
        while len(self._edits) > MAX_EDIT_IDS:
            self._edits.popitem(last=False)
        return True

    def pack(self) -> bytes:
        """Encode the complete table with its edit ids."""
        change = Change("snapshot", 0, list(self.rows.values()), [])
        edits = [Change(edit, version, [], []) for edit, version in self._edits.items()]
        return encode_record([change, *edits])

    def unpack(self, version: int, packed: bytes) -> bool:
        """Replace the table by an encoded one and return True if that is newer."""
        if version <= self.version:
            return False
        snapshot, *edits = decode_record(packed, list[Change])
        self.rows = {get_row_id(row): row for row in snapshot.upserts}
        self._edits = OrderedDict((edit.edit_id, edit.base) for edit in edits)
        self.version = Version(version)
        return True


def _apply_to_rows(rows: dict[RowId, Row], change: Change) -> None:
    for key in change.deletes:
        rows.pop(RowId(key.kind, key.name), None)
    for row in change.upserts:
        rows[get_row_id(row)] = row


def make_change(edit_id: str, base: int, differences: list[RowDifference]) -> Change:
    """Build the change that produces the given differences."""
    upserts = [item.after for item in differences if item.after is not None]
    deletes = [
        RowKey(item.row_id.kind, item.row_id.name) for item in differences if item.after is None
    ]
    return Change(edit_id, base, upserts, deletes)
