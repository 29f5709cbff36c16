"""Track a gateway's requests that run at targets, and the speeds that their answers show."""

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
    """Describe a request that was placed at a target; times in seconds on the steady clock."""

    work: RoutedWork
    target: str
    started_s: float
    # When its run was last charged to its workspace's limit.
    charged_s: float
    # Prompt tokens that the target processes before its first byte.
    prefill_tokens: float = 0.0
    has_first_byte: bool = False
    # Start time that the target reports; 0 if unknown.
    born_ms: int = 0
    # Whether the path on which the response would come is cut.
    is_path_lost: bool = False


class PlacedRequests:
    """Track the requests of one gateway that run at targets.

    A request runs at several targets while some of them are silent.
    """

    def __init__(self) -> None:
        # By request and target.
        self._requests: dict[tuple[str, str], PlacedRequest] = {}
        self._speeds = ObservedSpeeds()

    def __len__(self) -> int:
        return len(self._requests)

    def start(self, work: RoutedWork, placed: Placed, now_s: float) -> None:
        """Add a request that was placed at a target."""
        self._requests[work.request, placed.target] = PlacedRequest(
            work, placed.target, now_s, now_s, placed.to_read, born_ms=placed.born_ms
        )

    def record_first_byte(
        self, request: str, target: str, first_s: float, now_s: float
    ) -> FirstByte | None:
        """Record the first byte of a response; return the message for the decider."""
        placed = self._requests.get((request, target))
        if placed is None:
            return None
        placed.has_first_byte = True
        if placed.work.prompt_tokens and first_s >= 0.0:
            self._speeds.record_first_byte(
                placed.work.service,
                placed.target,
                placed.born_ms,
                placed.prefill_tokens,
                first_s,
                now_s,
            )
        return FirstByte(request, placed.target, first_s)

    def find_work(self, request: str, target: str) -> RoutedWork | None:
        """Return a request that runs at a target, or None if it is unknown."""
        placed = self._requests.get((request, target))
        return placed.work if placed is not None else None

    def get_charge_age_s(self, request: str, target: str, now_s: float) -> float:
        """Return the seconds since a request's run was charged, 0 if it is unknown."""
        placed = self._requests.get((request, target))
        return now_s - placed.charged_s if placed is not None else 0.0

    def record_charge(self, request: str, target: str, now_s: float) -> None:
        """Record that a further run of a request was charged."""
        placed = self._requests.get((request, target))
        if placed is not None:
            placed.charged_s = now_s

    def mark_path_lost(self, request: str, target: str, is_lost: bool = True) -> None:
        """Record whether the path is cut on which the response to a request would come."""
        placed = self._requests.get((request, target))
        if placed is not None:
            placed.is_path_lost = is_lost

    def finish(self, ended: Ended, table: RouteTable | None, now_s: float) -> None:
        """Remove a request; record its target's speed if the answer is complete."""
        placed = self._requests.pop((ended.request, ended.target), None)
        if placed is None:
            return
        if ended.ending is not Ending.whole or ended.total_s < 0.0:
            return
        service = placed.work.service
        if not placed.work.prompt_tokens:
            self._speeds.record_service_time(
                service, placed.target, placed.born_ms, ended.total_s, now_s
            )
        elif ended.produced_events > 1 and ended.first_s >= 0.0:
            tokens = ended.produced_events * _get_tokens_per_event(table, service)
            token_s = (ended.total_s - ended.first_s) / tokens
            self._speeds.record_token_time(service, placed.target, placed.born_ms, token_s, now_s)

    def list_running(self, now_s: float) -> list[PlacedWork]:
        """Return the running requests, for a decider that does not know them."""
        return [
            PlacedWork(
                placed.work,
                placed.target,
                now_s - placed.started_s,
                placed.has_first_byte,
                placed.born_ms,
                placed.is_path_lost,
            )
            for placed in self._requests.values()
        ]

    def list_speeds(self, now_s: float) -> list[TargetSpeed]:
        """Return the recently observed speeds of targets."""
        return self._speeds.list_recent(now_s)


def _get_tokens_per_event(table: RouteTable | None, service: str) -> int:
    """Return the number of tokens per event in a service's streams."""
    config = table.services.get(service) if table is not None else None
    engine = config.engine if config is not None else None
    return engine.stride if engine is not None else 1
