"""Play the standard days of the chosen sites and say what fell below the kept figures.

The figures stand in regression.json by site and day, with the snapshot that gave them.
The bench and its site files are no part of this repository; their paths are arguments.
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
_KEPT = Path(__file__).resolve().parent / "regression.json"
# A site's mean may fall by so much: two runs differ by less where nothing changed.
_MOST_FALL = 0.03
_LIMIT_S = 1800


@dataclass(frozen=True)
class Outcome:
    """Hold what one day came to beside the kept figure."""

    site: str
    day: str
    kept: float
    worth: float | None
    broken: str

    @property
    def is_kept(self) -> bool:
        """Tell whether the day was played and broke no rule."""
        return self.worth is not None and not self.broken


def find_site(folder: Path, name: str) -> Path:
    """Return a site's file below a folder.

    Raises
    ------
    FileNotFoundError
        Where there is none of that name.
    """
    for path in sorted(folder.rglob(f"{name}.toml")):
        return path
    raise FileNotFoundError(f"no {name}.toml below {folder}")


def play_day(bench: Path, path: Path, day: str, kept: float, extra: list[str]) -> Outcome:
    """Play one day and return its worth beside the kept one."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [str(bench), "run", str(path), day, "--report", str(report)]
        command += ["--why", "regression run", *extra]
        subprocess.run(command, cwd=ROOT, capture_output=True, timeout=_LIMIT_S, check=False)
        if not report.exists():
            return Outcome(path.stem, day, kept, None, "not played")
        told = json.loads(report.read_text())
    broken = " ".join(f"{rule} {count}" for rule, count in told["breaks"].items())
    return Outcome(path.stem, day, kept, told["G"], broken)


def judge_site(outcomes: list[Outcome]) -> list[str]:
    """Return what is wrong with a site's days; nothing where they hold."""
    faults = [f"{o.site} {o.day}: {o.broken}" for o in outcomes if not o.is_kept]
    played = [o for o in outcomes if o.worth is not None]
    if not played:
        return faults
    fall = fmean(o.kept for o in played) - fmean(o.worth or 0.0 for o in played)
    if fall > _MOST_FALL:
        faults.append(f"{played[0].site}: the mean fell by {fall:.3f}, {_MOST_FALL} is accepted")
    return faults


def main() -> int:
    """Play the sites and return an exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("folder", type=Path, help="where the site files lie")
    parser.add_argument("--sites", nargs="*", help="names; all that figures are kept of otherwise")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--no-cpu", action="store_true")
    arguments = parser.parse_args()
    extra = ["--no-cpu"] if arguments.no_cpu else []
    kept = json.loads(_KEPT.read_text())
    faults: list[str] = []
    for site in arguments.sites or kept:
        path = find_site(arguments.folder, site)
        days = kept[site]["worth"]
        with ThreadPoolExecutor(arguments.jobs) as pool:
            played = [
                pool.submit(play_day, arguments.bench, path, day, worth, extra)
                for day, worth in days.items()
            ]
        outcomes = [future.result() for future in played]
        for outcome in outcomes:
            print(f"{site:24} {outcome.day:10} {outcome.kept:.3f} {outcome.worth} {outcome.broken}")
        faults += judge_site(outcomes)
    print("\n".join(faults) if faults else "all hold")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
