"""Keep a gateway's requests that have a target, and what their answers show of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.observedspeeds import ObservedSpeeds
from troutstand.generated.messages import Ending, FirstByte, PlacedWork

if TYPE_CHECKING:
    from troutstand.core.configuration import RouteTable
    from troutstand.generated.messages import Ended, Placed, RoutedWork, TargetSpeed


@dataclass
class PlacedRequest:
    """Hold one request that has a target."""

    work: RoutedWork
    target: str
    started_s: float
    # Prompt tokens that the target had to read before its first byte.
    to_read: float = 0.0
    has_first: bool = False
    # When the target says that it began; 0 is not told.
    born_ms: int = 0


class PlacedRequests:
    """Hold the requests of one gateway that run at targets."""

    def __init__(self) -> None:
        self._held: dict[str, PlacedRequest] = {}
        self._seen = ObservedSpeeds()

    def __len__(self) -> int:
        return len(self._held)

    def start(self, work: RoutedWork, placed: Placed, now_s: float) -> None:
        """Note that a request was given a target."""
        self._held[work.request] = PlacedRequest(
            work, placed.target, now_s, placed.to_read, born_ms=placed.born_ms
        )

    def record_first_byte(self, request: str, first_s: float, now_s: float) -> FirstByte | None:
        """Note that a target began to answer, and return what the decider is told."""
        held = self._held.get(request)
        if held is None:
            return None
        held.has_first = True
        if held.work.prompt_tokens and first_s >= 0.0:
            self._seen.record_first_byte(
                held.work.service, held.target, held.born_ms, held.to_read, first_s, now_s
            )
        return FirstByte(request, held.target, first_s)

    def finish(self, ended: Ended, table: RouteTable | None, now_s: float) -> None:
        """Forget a request, and learn from a whole answer how fast its target is."""
        held = self._held.pop(ended.request, None)
        if held is None or ended.ending is not Ending.whole or ended.total_s < 0.0:
            return
        service = held.work.service
        if not held.work.prompt_tokens:
            self._seen.record_service_time(service, held.target, held.born_ms, ended.total_s, now_s)
        elif ended.produced_events > 1 and ended.first_s >= 0.0:
            tokens = ended.produced_events * _find_stride(table, service)
            token_s = (ended.total_s - ended.first_s) / tokens
            self._seen.record_token_time(service, held.target, held.born_ms, token_s, now_s)

    def list_running(self, now_s: float) -> list[PlacedWork]:
        """Return what runs, for a decider that does not know it."""
        return [
            PlacedWork(held.work, held.target, now_s - held.started_s, held.has_first, held.born_ms)
            for held in self._held.values()
        ]

    def list_speeds(self, now_s: float) -> list[TargetSpeed]:
        """Return how fast targets were seen to be lately."""
        return self._seen.list_recent(now_s)


def _find_stride(table: RouteTable | None, service: str) -> int:
    """Return how many tokens an event of a service's streams carries."""
    described = table.services.get(service) if table is not None else None
    engine = described.engine if described is not None else None
    return engine.stride if engine is not None else 1
