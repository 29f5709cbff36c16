"""Keep the operators' table as CSV files, one a kind of row."""

from __future__ import annotations

import csv
import io
from typing import TYPE_CHECKING, Any

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.table import ROW_CLASSES, Row, RowId, check_rows, get_row_id
from troutstand.generated.table import RowKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

_LIST_SEPARATOR = ";"
VERSION_FILE = "VERSION"


def _list_fields(kind: RowKind) -> tuple[str, ...]:
    return ROW_CLASSES[kind].__struct_fields__


def _write_cell(value: Any) -> str:
    if isinstance(value, list):
        return _LIST_SEPARATOR.join(value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def write_table(folder: Path, version: int, rows: Iterable[Row]) -> list[Path]:
    """Write a table's rows, sorted by name, and the version they are of."""
    folder.mkdir(parents=True, exist_ok=True)
    written: list[Path] = []
    by_name = {get_row_id(row): row for row in rows}
    for kind in RowKind:
        fields = _list_fields(kind)
        text = io.StringIO()
        writer = csv.writer(text, lineterminator="\n")
        writer.writerow(fields)
        for name in sorted(name for name in by_name if name.kind is kind):
            plain = msgspec.to_builtins(by_name[name])
            writer.writerow([_write_cell(plain[field]) for field in fields])
        path = folder / f"{kind.value}s.csv"
        path.write_text(text.getvalue())
        written.append(path)
    (folder / VERSION_FILE).write_text(f"{version}\n")
    return written


def read_version(folder: Path) -> int:
    """Read the version that the files were exported from.

    Raises
    ------
    TroutstandError
        TABLE_INVALID where there is none.
    """
    try:
        return int((folder / VERSION_FILE).read_text())
    except (OSError, ValueError) as error:
        detail = f"{folder.name}/{VERSION_FILE} must hold the exported version: {error}"
        raise TroutstandError(ResultCode.TABLE_INVALID, detail) from error


def _read_cell(text: str, row_class: type[Row], field: str) -> object:
    kind = next(item for item in msgspec.structs.fields(row_class) if item.name == field)
    default = kind.default if kind.default is not msgspec.NODEFAULT else None
    is_list = field in ("serves", "unrepeatable")
    if is_list:
        return [part for part in text.split(_LIST_SEPARATOR) if part]
    if text == "" and default is not None:
        return default.value if hasattr(default, "value") else default
    return text


def _read_row(
    place: str, kind: RowKind, header: list[str], cells: list[str]
) -> Row | TroutstandError:
    row_class = ROW_CLASSES[kind]
    if len(cells) != len(header):
        detail = f"{place}: {len(cells)} cells, {len(header)} columns"
        return TroutstandError(ResultCode.TABLE_INVALID, detail)
    plain = {f: _read_cell(c, row_class, f) for f, c in zip(header, cells, strict=True)}
    try:
        return msgspec.convert({"kind": kind.value, **plain}, row_class, strict=False)
    except msgspec.ValidationError as error:
        return TroutstandError(ResultCode.TABLE_INVALID, f"{place}: {error}")


def _read_file(path: Path, kind: RowKind) -> list[Row | TroutstandError]:
    if not path.exists():
        return [TroutstandError(ResultCode.TABLE_INVALID, f"{path.name} is missing")]
    with path.open(newline="", encoding="utf-8-sig") as file:
        lines = list(csv.reader(file))
    header = lines[0] if lines else []
    unknown = [field for field in header if field not in _list_fields(kind)]
    if unknown or "name" not in header:
        accepted = ", ".join(_list_fields(kind))
        detail = f"{path.name}: column {unknown or 'name'}; accepted are {accepted}"
        return [TroutstandError(ResultCode.TABLE_INVALID, detail)]
    return [
        _read_row(f"{path.name} line {number}", kind, header, cells)
        for number, cells in enumerate(lines[1:], start=2)
        if cells
    ]


def read_table(folder: Path) -> dict[RowId, Row]:
    """Read and check a table's files.

    Raises
    ------
    ExceptionGroup
        Of TroutstandError TABLE_INVALID, one for each fault.
    """
    rows: dict[RowId, Row] = {}
    errors: list[TroutstandError] = []
    for kind in RowKind:
        for item in _read_file(folder / f"{kind.value}s.csv", kind):
            if isinstance(item, TroutstandError):
                errors.append(item)
                continue
            name = get_row_id(item)
            if name in rows:
                detail = f"{kind.value} {item.name} stands twice"
                errors.append(TroutstandError(ResultCode.TABLE_INVALID, detail))
            rows[name] = item
    errors += [TroutstandError(ResultCode.TABLE_INVALID, text) for text in check_rows(rows)]
    if errors:
        raise ExceptionGroup("the table is wrong", errors)
    return rows
