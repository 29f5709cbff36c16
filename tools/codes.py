"""Generate docs/RESULT-CODES.md from the enum of result codes."""

from __future__ import annotations

import sys
from pathlib import Path

from troutstand.core.codes import ResultCode, describe_code

PAGE = Path(__file__).resolve().parent.parent / "docs" / "RESULT-CODES.md"
_HEAD = """# Result codes

Generated from `troutstand/core/codes.py` by `make generate`; a test checks that the two agree.

An error response has the number in `error.number`, the name in `error.code`, and
`error.run`: `no` if the request was not run, `unknown` if it may have been run.
`Retry-After` gives the delay before a retry; without it, a retry does not help.
`troutstandctl` and `troutstandd` exit with the code in the last column.

| number | name | meaning | HTTP status | exit code |
| --- | --- | --- | --- | --- |
"""


def make_page() -> str:
    """Return the text of the page."""
    rows = []
    for code in ResultCode:
        info = describe_code(code)
        cells = [code.value, code.name, info.text, info.http_status, info.exit_code]
        rows.append("| " + " | ".join(map(str, cells)) + " |")
    return _HEAD + "\n".join(rows) + "\n"


if __name__ == "__main__":
    if "--check" in sys.argv:
        sys.exit(0 if PAGE.read_text() == make_page() else "docs/RESULT-CODES.md is out of date")
    PAGE.write_text(make_page())
