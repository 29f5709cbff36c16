"""Compare a scheduler's tables with its gateways' after links have lost messages, by seed.

Usage: python -m benchmarks.links [FIRST_SEED [SEEDS]]
"""

from __future__ import annotations

import sys
from collections import Counter

from benchmarks.report import report
from troutstand.testing.linksimulation import draw_plan, simulate_links

_SEEDS = 1000
_MAX_NAMED = 20


def _count_unequal(seeds: range, corrects: bool) -> int:
    unequal: list[int] = []
    corrected: Counter[str] = Counter()
    placed = most_bytes = 0
    for seed in seeds:
        result = simulate_links(draw_plan(seed, corrects))
        placed += result.placed
        most_bytes = max(most_bytes, result.max_digest_bytes)
        corrected.update({table.value: count for table, count in result.corrected.items()})
        if not result.is_equal:
            unequal.append(seed)
    names = ",".join(str(seed) for seed in unequal[:_MAX_NAMED])
    counts = {table: str(count) for table, count in sorted(corrected.items())}
    name = "corrected" if corrects else "left as lost"
    report(
        "links", name, len(unequal), "seeds unequal", seeds=str(len(seeds)), first=names, **counts
    )
    report("links", name, placed, "requests placed", digest_bytes=str(most_bytes))
    return len(unequal)


def main() -> int:
    """Run the seeds and return an exit code."""
    numbers = [int(text) for text in sys.argv[1:]]
    first, count = (*numbers, *(0, _SEEDS)[len(numbers) :])[:2]
    seeds = range(first, first + count)
    _count_unequal(seeds[: max(1, count // 10)], corrects=False)
    return 1 if _count_unequal(seeds, corrects=True) else 0


if __name__ == "__main__":
    sys.exit(main())
