"""Print measured figures, one JSON line each."""

from __future__ import annotations

import msgspec


class Figure(msgspec.Struct):
    """Hold one measured figure and the conditions of the measurement."""

    bench: str
    name: str
    value: float
    unit: str
    under: dict[str, str | int | float] = {}


def report(bench: str, name: str, value: float, unit: str, **under: str | int | float) -> Figure:
    """Print a figure and return it."""
    figure = Figure(bench, name, round(value, 6), unit, under)
    print(msgspec.json.encode(figure).decode(), flush=True)
    return figure
