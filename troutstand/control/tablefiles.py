"""Read and write the operators' table as CSV files, one per kind of row."""

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


def _format_cell(value: Any) -> str:
    if isinstance(value, list):
        return _LIST_SEPARATOR.join(value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def write_table(folder: Path, version: int, rows: Iterable[Row]) -> list[Path]:
    """Write a table's rows, sorted by name, and its version; return the paths of the CSV files."""
    folder.mkdir(parents=True, exist_ok=True)
    written: list[Path] = []
    by_id = {get_row_id(row): row for row in rows}
    for kind in RowKind:
        fields = _list_fields(kind)
        text = io.StringIO()
        writer = csv.writer(text, lineterminator="\n")
        writer.writerow(fields)
        for row_id in sorted(row_id for row_id in by_id if row_id.kind is kind):
            values = msgspec.to_builtins(by_id[row_id])
            writer.writerow([_format_cell(values[field]) for field in fields])
        path = folder / f"{kind.value}s.csv"
        path.write_text(text.getvalue())
        written.append(path)
    (folder / VERSION_FILE).write_text(f"{version}\n")
    return written


def read_version(folder: Path) -> int:
    """Read the table version that the files were exported from.

    Raises
    ------
    TroutstandError
        TABLE_INVALID if the version file is missing or malformed.
    """
    try:
        return int((folder / VERSION_FILE).read_text())
    except (OSError, ValueError) as error:
        detail = f"{folder.name}/{VERSION_FILE} must contain the exported version: {error}"
        raise TroutstandError(ResultCode.TABLE_INVALID, detail) from error


def _parse_cell(text: str, row_class: type[Row], field: str) -> object:
    info = next(item for item in msgspec.structs.fields(row_class) if item.name == field)
    default = info.default if info.default is not msgspec.NODEFAULT else None
    is_list = field in ("serves", "unrepeatable")
    if is_list:
        return [part for part in text.split(_LIST_SEPARATOR) if part]
    if text == "" and default is not None:
        return default.value if hasattr(default, "value") else default
    return text


def _parse_row(
    location: str, kind: RowKind, header: list[str], cells: list[str]
) -> Row | TroutstandError:
    row_class = ROW_CLASSES[kind]
    if len(cells) != len(header):
        detail = f"{location}: {len(cells)} cells, but {len(header)} columns"
        return TroutstandError(ResultCode.TABLE_INVALID, detail)
    values = {f: _parse_cell(c, row_class, f) for f, c in zip(header, cells, strict=True)}
    try:
        return msgspec.convert({"kind": kind.value, **values}, row_class, strict=False)
    except msgspec.ValidationError as error:
        return TroutstandError(ResultCode.TABLE_INVALID, f"{location}: {error}")


def _read_file(path: Path, kind: RowKind) -> list[Row | TroutstandError]:
    if not path.exists():
        return [TroutstandError(ResultCode.TABLE_INVALID, f"{path.name} is missing")]
    with path.open(newline="", encoding="utf-8-sig") as file:
        lines = list(csv.reader(file))
    header = lines[0] if lines else []
    unknown = [field for field in header if field not in _list_fields(kind)]
    if unknown or "name" not in header:
        accepted = ", ".join(_list_fields(kind))
        detail = (
            f"{path.name}: unknown or missing column {unknown or 'name'}; columns are {accepted}"
        )
        return [TroutstandError(ResultCode.TABLE_INVALID, detail)]
    return [
        _parse_row(f"{path.name} line {number}", kind, header, cells)
        for number, cells in enumerate(lines[1:], start=2)
        if cells
    ]


def read_table(folder: Path) -> dict[RowId, Row]:
    """Read and validate a table's files.

    Raises
    ------
    ExceptionGroup
        One TroutstandError TABLE_INVALID for each error in the files.
    """
    rows: dict[RowId, Row] = {}
    errors: list[TroutstandError] = []
    for kind in RowKind:
        for item in _read_file(folder / f"{kind.value}s.csv", kind):
            if isinstance(item, TroutstandError):
                errors.append(item)
                continue
            row_id = get_row_id(item)
            if row_id in rows:
                detail = f"{kind.value} {item.name} is defined twice"
                errors.append(TroutstandError(ResultCode.TABLE_INVALID, detail))
            rows[row_id] = item
    errors += [TroutstandError(ResultCode.TABLE_INVALID, text) for text in check_rows(rows)]
    if errors:
        raise ExceptionGroup("the table is invalid", errors)
    return rows
