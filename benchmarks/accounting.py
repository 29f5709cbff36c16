"""Copy a site file so that its days are accounted for as the users now value service.

Worth then counts from a caller's first try, waiting that ends unserved costs more the
longer it is, and a failed retry counts as a second refusal. The bench and its site
files are no part of this repository; both paths are arguments, and the copy goes into
a folder that is not committed.
"""

from __future__ import annotations

import argparse
import shutil
import sys
from pathlib import Path

# The keys that make a site file use the newer accounting, by table.
_KEYS = {
    "[bounds]": "closes = true\nattends = true\neven = true\n",
    "[timing]": "truthful = true\n",
}


def derive_site(text: str) -> str:
    """Return a site file's text with the newer accounting.

    Raises
    ------
    ValueError
        Where a table that must be there is missing.
    """
    for table, keys in _KEYS.items():
        if text.count(f"\n{table}\n") != 1:
            raise ValueError(f"one table {table} is accepted, {text.count(table)} found")
        text = text.replace(f"\n{table}\n", f"\n{table}\n{keys}")
    return text


def main() -> int:
    """Write the copy, with the files that lie beside a site file."""
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
