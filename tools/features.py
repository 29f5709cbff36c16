"""Run every feature file in a separate process, several in parallel, and sum up the results."""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
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
_LONGEST = ("failure", "soak", "routed", "models", "serving", "callers")
_DEFAULT_JOBS = 4


@dataclass(frozen=True)
class Outcome:
    """Hold the output and the counts of one feature file's run."""

    name: str
    text: str
    status: int
    passed: int
    failed: int
    skipped: int


def run_feature(path: Path) -> Outcome:
    """Run one feature file; count an undefined step or a missing summary as a failure."""
    command = [sys.executable, "-m", "behave", "-f", "plain", "--no-timings", str(path)]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    text = completed.stdout + completed.stderr
    summaries = _COUNTS.findall(text)
    if not summaries or _UNDEFINED.search(text):
        return Outcome(path.name, text, completed.returncode or 1, 0, 1, 0)
    passed, failed, errors, skipped = (int(group or 0) for group in summaries[-1])
    return Outcome(path.name, text, completed.returncode, passed, failed + errors, skipped)


def _rank(path: Path) -> tuple[int, str]:
    stem = path.stem
    return (_LONGEST.index(stem) if stem in _LONGEST else len(_LONGEST), stem)


def _list_failing(text: str) -> list[str]:
    sections = re.split(r"^(?:Failing|Errored) scenarios:$", text, flags=re.MULTILINE)[1:]
    return [line for section in sections for line in section.splitlines() if line.startswith("  ")]


def main(jobs: int) -> int:
    """Run all feature files; print the output of those that failed, and the total counts."""
    paths = sorted(TESTS.glob("*.feature"), key=_rank)
    with ThreadPoolExecutor(jobs) as pool:
        outcomes = list(pool.map(run_feature, paths))
    failing: list[str] = []
    for outcome in outcomes:
        print(f"{outcome.name}: {outcome.passed} passed, {outcome.failed} failed")
        if outcome.status or outcome.failed:
            print(outcome.text)
            failing.extend(_list_failing(outcome.text))
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
