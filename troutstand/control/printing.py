"""Print values as JSON or in columns."""

from __future__ import annotations

from typing import Annotated

import msgspec
from cyclopts import Parameter

AsJson = Annotated[bool, Parameter(name="--json", negative="")]


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def print_columns(rows: list[list[str]]) -> None:
    """Print rows in left-aligned columns."""
    widths = [max(len(row[index]) for row in rows) for index in range(len(rows[0]))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())
