"""Run every feature file in a separate process, several in parallel, and sum up the results.

Each line of a feature tells its counts, the seconds that it took, its processor time, and the load
of the machine at its end, by which a failed check of times can be judged.
"""

from __future__ import annotations

import argparse
import os
import re
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TESTS = ROOT / "troutstand" / "tests"
_COUNTS = re.compile(
    r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?(?:, (\d+) skipped)?", re.MULTILINE
)
_UNDEFINED = re.compile(r"([1-9]\d*) undefined")
# Started first, since they take longest.
_LONGEST = (
    "limitreturns",
    "softwareversions",
    "limitsimulation",
    "silentstreams",
    "soak",
    "failure",
    "routed",
    "cutgateways",
    "limitrestarts",
    "cutgatewaysfaults",
    "limitruns",
    "namedlimits",
    "crashparts",
    "limitcuts",
    "models",
    "serving",
    "callers",
)
# Run after the others, one at a time: checks of the share of a target's time that several processes
# in a row leave unused, and crowds of clients that take the machine's memory.
_ALONE = ("routedload", "misbehavingclients")
# Three sites of ten processes fill eight processors when they start.
_DEFAULT_JOBS = 3


@dataclass(frozen=True)
class Outcome:
    """Hold the output and the counts of one feature file's run."""

    name: str
    text: str
    status: int
    passed: int
    failed: int
    skipped: int
    took_s: float
    processor_s: float
    load: float

    def describe(self) -> str:
        """Return its counts and what it took, as one line."""
        return (
            f"{self.name}: {self.passed} passed, {self.failed} failed in {self.took_s:.0f} s, "
            f"{self.processor_s:.0f} s of processor time, load {self.load:.1f}"
        )


def _run_measured(command: list[str]) -> tuple[int, str, float]:
    """Run a command; return its exit code, its output and the processor time of all it started."""
    with tempfile.TemporaryFile() as output:
        process = subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT)
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        output.seek(0)
        text = output.read().decode(errors="replace")
    return process.returncode, text, usage.ru_utime + usage.ru_stime


def run_feature(path: Path) -> Outcome:
    """Run one feature file; count an undefined step or a missing summary as a failure."""
    command = [sys.executable, "-m", "behave", "-f", "plain", "--no-timings", str(path)]
    began_s = time.monotonic()
    code, text, processor_s = _run_measured(command)
    took_s, load = time.monotonic() - began_s, os.getloadavg()[0]
    summaries = _COUNTS.findall(text)
    if not summaries or _UNDEFINED.search(text):
        return Outcome(path.name, text, code or 1, 0, 1, 0, took_s, processor_s, load)
    passed, failed, errors, skipped = (int(group or 0) for group in summaries[-1])
    failed += errors
    return Outcome(path.name, text, code, passed, failed, skipped, took_s, processor_s, load)


def _rank(path: Path) -> tuple[int, str]:
    stem = path.stem
    return (_LONGEST.index(stem) if stem in _LONGEST else len(_LONGEST), stem)


def _list_failing(text: str) -> list[str]:
    sections = re.split(r"^(?:Failing|Errored) scenarios:$", text, flags=re.MULTILINE)[1:]
    return [line for section in sections for line in section.splitlines() if line.startswith("  ")]


def _report(outcome: Outcome) -> Outcome:
    """Print what came of a feature, and its output if it failed."""
    print(outcome.describe(), flush=True)
    if outcome.status or outcome.failed:
        print(outcome.text, flush=True)
    return outcome


def main(jobs: int) -> int:
    """Run all feature files; print the output of those that failed, and the total counts."""
    paths = sorted(TESTS.glob("*.feature"), key=_rank)
    together = [path for path in paths if path.stem not in _ALONE]
    with ThreadPoolExecutor(jobs) as pool:
        outcomes = [_report(outcome) for outcome in pool.map(run_feature, together)]
    outcomes += [_report(run_feature(path)) for path in paths if path.stem in _ALONE]
    failing = [line for outcome in outcomes for line in _list_failing(outcome.text)]
    if failing:
        print("Failing scenarios:")
        print("\n".join(failing))
    passed = sum(outcome.passed for outcome in outcomes)
    failed = sum(outcome.failed for outcome in outcomes)
    skipped = sum(outcome.skipped for outcome in outcomes)
    print(f"{passed} scenarios passed, {failed} failed, {skipped} skipped")
    return 1 if failed or any(outcome.status for outcome in outcomes) else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=_DEFAULT_JOBS)
    sys.exit(main(parser.parse_args().jobs))
