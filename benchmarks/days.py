"""Run the days in benchmarks/days with the benchmark program and print the broken rules.

The program is not part of this repository; its path is an argument.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

DAYS = Path(__file__).resolve().parent / "days"
ROOT = DAYS.parent.parent
_LIMIT_S = 900


@dataclass(frozen=True)
class DayResult:
    """Hold the output for one day."""

    day: str
    site: str
    line: str
    detail: str

    @property
    def has_passed(self) -> bool:
        """Return whether the day ran and broke no rule."""
        return bool(self.line) and "BROKEN" not in self.line


def run_day(bench: Path, site: Path, day: Path, extra: list[str]) -> DayResult:
    """Run one day and return its line of the table."""
    why = f"own day {day.stem}"
    command = [str(bench), "run", str(site), str(day), "--why", why, *extra]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=_LIMIT_S, check=False
    )
    text = done.stdout + done.stderr
    lines = [line for line in text.splitlines() if re.match(rf"{re.escape(day.stem)}\s", line)]
    first = [line for line in text.splitlines() if "the first that is wrong" in line]
    return DayResult(day.stem, site.stem, lines[0] if lines else "", "".join(first) or text[-300:])


def main() -> int:
    """Run all days on the given sites and return an exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("sites", type=Path, nargs="+")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--no-cpu", action="store_true")
    arguments = parser.parse_args()
    extra = ["--no-cpu"] if arguments.no_cpu else []
    pairs = [(site, day) for site in arguments.sites for day in sorted(DAYS.glob("*.toml"))]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(
            pool.map(lambda pair: run_day(arguments.bench, pair[0], pair[1], extra), pairs)
        )
    for result in results:
        print(f"{result.site:20} {result.line or result.day + ': not run'}")
        if not result.has_passed:
            print(f"    {result.detail}")
    broken = sum(not result.has_passed for result in results)
    print(f"{len(results) - broken} days passed, {broken} broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
