"""Measure processor time and results of placement decisions under overload.

Replays a recorded load and one drawn with bursts on 45 engines of 4 slots, of which a quarter
is unavailable and a third is 4.4 times slower.
"""

from __future__ import annotations

import random
import time
from pathlib import Path

from troutstand.generated.routing import TierOrder
from troutstand.testing.worstload import Arrival, Replay, read_arrivals

_TRACE = Path(__file__).resolve().parent.parent / "traces" / "worst-load.csv"
_ENGINES = 45
_LENGTH_S = 14.0
_PER_S = 285.0
_BURST = 3.5
_BURSTS_S = ((3.0, 7.0), (9.0, 12.0))
_ROUTE_WEIGHTS = (68, 92, 124)
_WORKSPACE_WEIGHTS = (0.4, 0.6)


def draw_arrivals(seed: int) -> list[Arrival]:
    """Return a random load with two bursts."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    now_s = 0.0
    while now_s < _LENGTH_S:
        is_burst = any(from_s < now_s < to_s for from_s, to_s in _BURSTS_S)
        now_s += rng.expovariate(_PER_S * (_BURST if is_burst else 1.0))
        route = rng.choices((0, 1, 2), _ROUTE_WEIGHTS)[0]
        arrivals.append(Arrival(now_s, route, rng.choices((0, 1), _WORKSPACE_WEIGHTS)[0]))
    return arrivals


def measure(name: str, arrivals: list[Arrival], order: TierOrder, retries_refused: bool) -> None:
    """Replay a load and print its processor time and the results of each kind."""
    began_s = time.process_time()
    result = Replay(order, _ENGINES, retries_refused=retries_refused).play(arrivals)
    took_s = time.process_time() - began_s
    kinds = " ".join(
        f"kind {kind}: {result.share(kind):.3f} in time, {result.late[kind]} late,"
        f" {result.refused[kind] + result.refused_again[kind]} refused;"
        for kind in sorted(result.asked)
    )
    print(f"{name} {order.value}: {took_s:.2f} s, {kinds}")


def main() -> None:
    """Replay both loads with each order of tiers."""
    for order in TierOrder:
        measure("recorded", read_arrivals(_TRACE), order, retries_refused=False)
    for order in TierOrder:
        measure("drawn", draw_arrivals(3), order, retries_refused=True)


if __name__ == "__main__":
    main()
