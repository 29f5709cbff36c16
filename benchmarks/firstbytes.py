"""Compare expected and measured times to the first byte, from the logs of a site.

Reads one file with the log lines of all processes and prints percentiles of the ratio of
measured to expected time, for the seconds with the most late responses and for the others.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

from troutstand.testing.score import compute_percentile

_FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
_MILLISECONDS = 1000.0
# Share of the seconds that is reported separately, those with the most late answers.
_WORST_SHARE = 0.2
_SHARES = (0.5, 0.9, 0.99)


@dataclass(frozen=True)
class FirstByte:
    """Hold one answer's times in milliseconds, and the second in which it came."""

    second: int
    decider: str
    expected_ms: float
    real_ms: float
    is_late: bool

    @property
    def ratio(self) -> float:
        """Return the measured time divided by the expected time."""
        return self.real_ms / max(self.expected_ms, 1.0)


def read_fields(line: str) -> dict[str, str]:
    """Return the key=value fields of a log line."""
    return {key: value.strip('"') for key, value in _FIELD.findall(line)}


def read_first_bytes(lines: list[str]) -> list[FirstByte]:
    """Join placements and answers by their request."""
    placed: dict[str, dict[str, str]] = {}
    found: list[FirstByte] = []
    for line in lines:
        if "event=request_placed" in line:
            fields = read_fields(line)
            placed[fields.get("request", "")] = fields
        elif "event=request_answered" in line:
            answered = read_fields(line)
            decision = placed.get(answered.get("request", ""))
            if decision is not None and "first_ms" in answered:
                found.append(_join(decision, answered))
    return found


def _join(decision: dict[str, str], answered: dict[str, str]) -> FirstByte:
    real_ms = float(answered["first_ms"])
    waited_ms = float(answered.get("waited_ms", 0.0))
    return FirstByte(
        second=int(float(answered["at"]) / _MILLISECONDS),
        decider=decision.get("decider", ""),
        expected_ms=float(decision["expected_ms"]),
        real_ms=real_ms,
        is_late=waited_ms + real_ms > float(answered["objective_ms"]),
    )


def find_worst_seconds(found: list[FirstByte]) -> set[int]:
    """Return the seconds with the most late answers."""
    late: dict[int, int] = defaultdict(int)
    for first in found:
        late[first.second] += first.is_late
    ordered = sorted(late, key=lambda second: -late[second])
    return set(ordered[: int(len(ordered) * _WORST_SHARE)])


def describe(name: str, found: list[FirstByte]) -> str:
    """Return a line with the number of answers and the ratio's percentiles."""
    ratios = [first.ratio for first in found]
    parts = [f"p{share * 100:g}={compute_percentile(ratios, share):.2f}" for share in _SHARES]
    late = sum(first.is_late for first in found)
    return f"{name:12} answers={len(found)} late={late} {' '.join(parts)}"


def main() -> int:
    """Print the ratios of one log file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=Path)
    arguments = parser.parse_args()
    found = read_first_bytes(arguments.log.read_text().splitlines())
    if not found:
        print("no answers with a placement and a first byte in the log")
        return 1
    worst = find_worst_seconds(found)
    groups = {
        "all": found,
        "calm": [first for first in found if first.second not in worst],
        "worst": [first for first in found if first.second in worst],
        "alone": [first for first in found if first.decider == "alone"],
    }
    for name, group in groups.items():
        if group:
            print(describe(name, group))
    return 0


if __name__ == "__main__":
    sys.exit(main())
