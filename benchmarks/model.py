"""Search every model to its end, the larger ones too."""

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
        verdict = check_model(spec)
        failed += not verdict.holds
        report("model", name, verdict.states, "states", holds=str(verdict.holds))
    for name, spec in {**list_broken_models(), **list_large_broken_models()}.items():
        verdict = check_model(spec)
        failed += verdict.holds
        steps = min((len(trace) for trace in verdict.violations.values()), default=0)
        report("model", name, steps, "steps to the failure", holds=str(verdict.holds))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
