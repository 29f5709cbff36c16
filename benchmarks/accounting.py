"""Copy a site file and enable its stricter accounting.

Requests then count from the first attempt, waiting without an answer costs more the longer
it lasts, and a failed retry counts as a second refusal. Site files are not part of this
repository; both paths are arguments, and the copy is not committed.
"""

from __future__ import annotations

import argparse
import shutil
import sys
from pathlib import Path

# Keys that enable the accounting, by table.
_KEYS = {
    "[bounds]": "closes = true\nattends = true\neven = true\n",
    "[timing]": "truthful = true\n",
}


def derive_site(text: str) -> str:
    """Return a site file's text with the stricter accounting.

    Raises
    ------
    ValueError
        If a required table is missing or occurs more than once.
    """
    for table, keys in _KEYS.items():
        if text.count(f"\n{table}\n") != 1:
            raise ValueError(f"found {text.count(table)} tables {table}; exactly one is accepted")
        text = text.replace(f"\n{table}\n", f"\n{table}\n{keys}")
    return text


def main() -> int:
    """Write the copy and the files beside the site file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path)
    parser.add_argument("folder", type=Path)
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    for beside in ("wire.json", "CUT"):
        if (arguments.site.parent / beside).exists():
            shutil.copyfile(arguments.site.parent / beside, arguments.folder / beside)
    copy = arguments.folder / arguments.site.name
    copy.write_text(derive_site(arguments.site.read_text()))
    print(copy)
    return 0


if __name__ == "__main__":
    sys.exit(main())
