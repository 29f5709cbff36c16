"""Check every model exhaustively, including those too large for CI."""

from __future__ import annotations

import sys

from benchmarks.report import report
from troutstand.testing.models.catalogue import (
    list_broken_models,
    list_large_broken_models,
    list_large_models,
    list_models,
)
from troutstand.testing.models.check import check_model


def main() -> int:
    """Report the states of each model and return an exit code."""
    failed = 0
    for name, spec in {**list_models(), **list_large_models()}.items():
        result = check_model(spec)
        failed += not result.holds
        report("model", name, result.state_count, "states", holds=str(result.holds))
    for name, spec in {**list_broken_models(), **list_large_broken_models()}.items():
        result = check_model(spec)
        failed += result.holds
        steps = min((len(trace) for trace in result.violations.values()), default=0)
        report("model", name, steps, "steps to the failure", holds=str(result.holds))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
