"""Write docs/RESULT-CODES.md from the enum of result codes."""

from __future__ import annotations

import sys
from pathlib import Path

from troutstand.core.codes import ResultCode, describe_code

PAGE = Path(__file__).resolve().parent.parent / "docs" / "RESULT-CODES.md"
_HEAD = """# Result codes

Written by `make generate` from `troutstand/core/codes.py`; a test compares the two.

A refusal carries the number as `error.number`, the name as `error.code`, and
`error.run`: `no` where the request was not run, `unknown` where it may have
been. `Retry-After` tells when to come back; without it, coming back is of no
use. `troutstandctl` and `troutstandd` exit with the code in the last column.

| number | name | meaning | HTTP status | exit code |
| --- | --- | --- | --- | --- |
"""


def make_page() -> str:
    """Make the page's text."""
    rows = []
    for code in ResultCode:
        meaning = describe_code(code)
        cells = [code.value, code.name, meaning.text, meaning.http_status, meaning.exit_code]
        rows.append("| " + " | ".join(map(str, cells)) + " |")
    return _HEAD + "\n".join(rows) + "\n"


if __name__ == "__main__":
    if "--check" in sys.argv:
        sys.exit(0 if PAGE.read_text() == make_page() else "docs/RESULT-CODES.md is out of date")
    PAGE.write_text(make_page())
