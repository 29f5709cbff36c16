"""Run the benchmarks: `python -m benchmarks.run [--quick] [NAME ...]`."""

from __future__ import annotations

import sys

from cyclopts import App

from benchmarks import commands, control, decision, faults, floor, policies, restart

app = App(name="bench", help="Measure troutstand, one JSON line a figure.")

BENCHES = {
    "floor": floor.run,
    "commands": commands.run,
    "control": control.run,
    "decision": decision.run,
    "restart": restart.run,
    "policies": policies.run,
    "slowdown": policies.run_slowdown,
    "faults": faults.run,
}


@app.default
def run(*names: str, quick: bool = False) -> int:
    """Run the named benchmarks, or all."""
    unknown = [name for name in names if name not in BENCHES]
    if unknown:
        print(f"{unknown[0]!r} is not a benchmark; accepted names are {', '.join(BENCHES)}")
        return 2
    for name in names or BENCHES:
        BENCHES[name](quick)
    return 0


if __name__ == "__main__":
    sys.exit(app())
