"""Run each day of a site file with subsets of its faults, to measure the cost of each group.

Every day runs with its load alone, with its load and one further group of faults, and with
all of them. causes.json lists the groups by the names of the benchmark program. That program
and the site file are not part of this repository; their paths are arguments.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
_GROUPS = Path(__file__).resolve().parent / "causes.json"
_DAY = "[[day]]"
_ALWAYS = "load"
# Changes of configuration cost little and are left in every variant.
_CLOSING = "closing"
_KIND = re.compile(r'\bkind = "(\w+)"')
_LIMIT_S = 900


@dataclass(frozen=True)
class Variant:
    """Describe a day with some groups of its faults."""

    day: str
    groups: str
    text: str


def split_days(site: str) -> dict[str, str]:
    """Return the text of each day of a site file, by name."""
    blocks = [_DAY + block for block in site.split(_DAY)[1:]]
    days = {}
    for block in blocks:
        text = block.split("\n[[", 1)[0] if "\n[[" in block[len(_DAY) :] else block
        days[tomllib.loads(text)["day"][0]["name"]] = text
    return days


def remove_kinds(day: str, dropped: set[str]) -> str:
    """Return a day without the faults of some kinds; each line has at most one entry."""
    kept = []
    for line in day.splitlines():
        kind = _KIND.search(line)
        is_closing = line.startswith(_CLOSING)
        if is_closing and _CLOSING in dropped:
            continue
        if kind and not is_closing and line.lstrip().startswith("{") and kind[1] in dropped:
            continue
        kept.append(line)
    return "\n".join(kept) + "\n"


def derive_variants(site: str, groups: dict[str, list[str]]) -> list[Variant]:
    """Return the variants of all days with faults."""
    variants = []
    others = [name for name in groups if name != _ALWAYS]
    for name, text in split_days(site).items():
        every = {kind for other in others for kind in groups[other]}
        variants.append(Variant(name, _ALWAYS, remove_kinds(text, every)))
        for other in others:
            dropped = every - set(groups[other])
            variants.append(Variant(name, f"{_ALWAYS}, {other}", remove_kinds(text, dropped)))
        variants.append(Variant(name, "all", text))
    return variants


def run_variant(bench: Path, site: Path, variant: Variant, folder: Path, extra: list[str]) -> str:
    """Run a variant and return its score and the rules that it broke."""
    stem = re.sub(r"\W+", "-", f"{variant.day}-{variant.groups}")
    day, report = folder / f"{stem}.toml", folder / f"{stem}.json"
    day.write_text(variant.text)
    why = f"causes: {variant.day} with {variant.groups}"
    command = [str(bench), "run", str(site), str(day), "--report", str(report), "--why", why]
    done = subprocess.run(
        [*command, *extra], cwd=ROOT, capture_output=True, text=True, timeout=_LIMIT_S, check=False
    )
    if not report.exists():
        return f"not run: {(done.stdout + done.stderr).strip()[-200:]}"
    result = json.loads(report.read_text())
    broken = " ".join(f"{rule} {count}" for rule, count in result["breaks"].items())
    return f"{result['G']:.3f} {broken}".strip()


def main() -> int:
    """Run all variants of a site's days and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("site", type=Path)
    parser.add_argument("--days", nargs="*", help="names; all days with faults by default")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--no-cpu", action="store_true")
    arguments = parser.parse_args()
    extra = ["--no-cpu"] if arguments.no_cpu else []
    if arguments.seed is not None:
        extra += ["--seed", str(arguments.seed)]
    groups = json.loads(_GROUPS.read_text())
    variants = derive_variants(arguments.site.read_text(), groups)
    wanted = arguments.days or sorted({v.day for v in variants if not v.day.startswith("quiet")})
    variants = [variant for variant in variants if variant.day in wanted]
    with tempfile.TemporaryDirectory() as scratch, ThreadPoolExecutor(arguments.jobs) as pool:
        folder = Path(scratch)
        worths = list(
            pool.map(
                lambda v: run_variant(arguments.bench, arguments.site, v, folder, extra), variants
            )
        )
    columns = list(dict.fromkeys(variant.groups for variant in variants))
    table = {(v.day, v.groups): worth for v, worth in zip(variants, worths, strict=True)}
    print("| day | " + " | ".join(columns) + " |")
    print("| --- |" + " --- |" * len(columns))
    for day in wanted:
        print(f"| {day} | " + " | ".join(table[day, column] for column in columns) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
