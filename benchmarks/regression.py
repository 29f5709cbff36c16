"""Run the standard days of sites and report scores that fell below the recorded ones.

regression.json has the scores by site and day, with the snapshot that they were measured on.
The benchmark program and its site files are not part of this repository; their paths are
arguments.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean

ROOT = Path(__file__).resolve().parent.parent
_RECORDED = Path(__file__).resolve().parent / "regression.json"
# Two runs of the same code differ by less in their mean.
_MAX_FALL = 0.03
_LIMIT_S = 1800


@dataclass(frozen=True)
class Outcome:
    """Hold one day's score and the recorded one."""

    site: str
    day: str
    recorded: float
    worth: float | None
    broken: str

    @property
    def has_passed(self) -> bool:
        """Return whether the day ran and broke no rule."""
        return self.worth is not None and not self.broken


def find_site(folder: Path, name: str) -> Path:
    """Return a site's file below a folder.

    Raises
    ------
    FileNotFoundError
        If there is no such file.
    """
    for path in sorted(folder.rglob(f"{name}.toml")):
        return path
    raise FileNotFoundError(f"no {name}.toml below {folder}")


def run_day(bench: Path, path: Path, day: str, recorded: float, extra: list[str]) -> Outcome:
    """Run one day and return its score and the recorded one."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [str(bench), "run", str(path), day, "--report", str(report)]
        command += ["--why", "regression run", *extra]
        subprocess.run(command, cwd=ROOT, capture_output=True, timeout=_LIMIT_S, check=False)
        if not report.exists():
            return Outcome(path.stem, day, recorded, None, "not run")
        result = json.loads(report.read_text())
    broken = " ".join(f"{rule} {count}" for rule, count in result["breaks"].items())
    return Outcome(path.stem, day, recorded, result["G"], broken)


def list_problems(outcomes: list[Outcome]) -> list[str]:
    """Return the problems of a site's days; empty if there are none."""
    problems = [f"{o.site} {o.day}: {o.broken}" for o in outcomes if not o.has_passed]
    finished = [o for o in outcomes if o.worth is not None]
    if not finished:
        return problems
    fall = fmean(o.recorded for o in finished) - fmean(o.worth or 0.0 for o in finished)
    if fall > _MAX_FALL:
        site = finished[0].site
        problems.append(f"{site}: the mean fell by {fall:.3f}; at most {_MAX_FALL} is accepted")
    return problems


def main() -> int:
    """Run the sites' days and return an exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("folder", type=Path, help="folder that contains the site files")
    parser.add_argument("--sites", nargs="*", help="names; all recorded sites by default")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--no-cpu", action="store_true")
    arguments = parser.parse_args()
    extra = ["--no-cpu"] if arguments.no_cpu else []
    recorded = json.loads(_RECORDED.read_text())
    problems: list[str] = []
    for site in arguments.sites or recorded:
        path = find_site(arguments.folder, site)
        days = recorded[site]["worth"]
        with ThreadPoolExecutor(arguments.jobs) as pool:
            futures = [
                pool.submit(run_day, arguments.bench, path, day, worth, extra)
                for day, worth in days.items()
            ]
        outcomes = [future.result() for future in futures]
        for outcome in outcomes:
            scores = f"{outcome.recorded:.3f} {outcome.worth} {outcome.broken}"
            print(f"{site:24} {outcome.day:10} {scores}")
        problems += list_problems(outcomes)
    print("\n".join(problems) if problems else "no problems")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
