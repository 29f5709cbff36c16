"""Plot the output of `make bench`: `python -m benchmarks.plots FILE`."""

from __future__ import annotations

import sys
from pathlib import Path

import matplotlib
import msgspec

from benchmarks.report import Figure
from benchmarks.virtual import Setup, run_setup
from troutstand.core.policy import PolicyName
from troutstand.testing.mixes import MIXES

matplotlib.use("Agg")

from matplotlib import pyplot

_FOLDER = Path(__file__).resolve().parent.parent / "docs" / "plots"
_LOADS = (0.4, 0.8, 1.2, 2.0)
_POLICIES = (PolicyName.EARLIEST_FINISH, PolicyName.PREFIX_HASH, PolicyName.TWO_CHOICES)


def measure() -> list[Figure]:
    """Measure the good share by offered load, one seed."""
    figures: list[Figure] = []
    for mix in MIXES.values():
        for policy in _POLICIES:
            for load in _LOADS:
                outcome = run_setup(Setup(mix, 1, load, policy, duration_s=20.0))
                for name, value in (
                    ("good share, all tiers", outcome.good_share),
                    ("first token, 95th percentile", outcome.first_p95_s),
                ):
                    under = {"mix": mix.name, "load": load, "policy": policy.value}
                    figures.append(Figure("plots", name, value, "", under))
    return figures


def plot(figures: list[Figure], name: str, file: str, logarithmic: bool) -> None:
    """Plot one figure over the offered load, one panel per mix."""
    mixes = sorted({str(figure.under["mix"]) for figure in figures})
    canvas, panels = pyplot.subplots(1, len(mixes), figsize=(9, 3.6), sharey=True)
    for panel, mix in zip(panels, mixes, strict=True):
        for policy in _POLICIES:
            points = sorted(
                (float(f.under["load"]), f.value)
                for f in figures
                if f.name == name and f.under["mix"] == mix and f.under["policy"] == policy.value
            )
            panel.plot(*zip(*points, strict=True), marker="o", label=policy.value)
        panel.set_title(mix)
        panel.set_xlabel("offered load, of capacity")
        panel.grid(True, alpha=0.3)
        if logarithmic:
            panel.set_yscale("log")
    panels[0].set_ylabel(name)
    panels[-1].legend()
    canvas.tight_layout()
    canvas.savefig(_FOLDER / file, dpi=90)


def main() -> None:
    """Measure or read the figures, and plot them."""
    _FOLDER.mkdir(parents=True, exist_ok=True)
    if len(sys.argv) > 1:
        lines = Path(sys.argv[1]).read_bytes().splitlines()
        figures = [msgspec.json.decode(line, type=Figure) for line in lines]
    else:
        figures = measure()
        lines = [msgspec.json.encode(figure) for figure in figures]
        (_FOLDER / "lines.jsonl").write_bytes(b"\n".join(lines) + b"\n")
    plot(figures, "good share, all tiers", "good-share.png", False)
    plot(figures, "first token, 95th percentile", "first-token.png", True)


if __name__ == "__main__":
    main()
