"""Track a gateway's requests that run at targets, and the speeds that their answers show."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.observedspeeds import ObservedSpeeds
from troutstand.core.runledger import RunMark, RunSum, identify_run
from troutstand.generated.messages import Ending, FirstByte, PlacedWork, RunDigest

if TYPE_CHECKING:
    from troutstand.core.configuration import RouteTable
    from troutstand.generated.messages import Ended, Placed, RoutedWork, TargetSpeed

# Endings kept for a scheduler that has missed them: longer than a link is away at a reset.
_ENDING_TTL_S = 5.0
_MAX_ENDINGS = 500


@dataclass
class PlacedRequest:
    """Describe a request that was placed at a target; times in seconds on the steady clock."""

    work: RoutedWork
    target: str
    started_s: float
    # When its run was last charged to its workspace's limit.
    charged_s: float
    identity: int
    # Prompt tokens that the target processes before its first byte.
    prefill_tokens: float = 0.0
    marks: RunMark = RunMark.NONE
    # Start time that the target reports; 0 if unknown.
    born_ms: int = 0


class PlacedRequests:
    """Track the requests of one gateway that run at targets.

    A request runs at several targets while some of them are silent.
    """

    def __init__(self) -> None:
        # By request and target.
        self._requests: dict[tuple[str, str], PlacedRequest] = {}
        self._speeds = ObservedSpeeds()
        self._sum = RunSum()
        # Highest number of a placement of the current scheduler.
        self._last_number = 0
        # With their times, the oldest first.
        self._endings: deque[tuple[float, Ended]] = deque(maxlen=_MAX_ENDINGS)

    def __len__(self) -> int:
        return len(self._requests)

    def start(self, work: RoutedWork, placed: Placed, now_s: float) -> None:
        """Add a request that was placed at a target."""
        identity = identify_run(work.request, placed.target)
        self._remove(work.request, placed.target)
        self._requests[work.request, placed.target] = PlacedRequest(
            work, placed.target, now_s, now_s, identity, placed.to_read, born_ms=placed.born_ms
        )
        self._sum.add(identity, RunMark.NONE)

    def _remove(self, request: str, target: str) -> PlacedRequest | None:
        placed = self._requests.pop((request, target), None)
        if placed is not None:
            self._sum.remove(placed.identity, placed.marks)
        return placed

    def _set_mark(self, placed: PlacedRequest, mark: RunMark, is_set: bool = True) -> None:
        self._sum.remove(placed.identity, placed.marks)
        placed.marks = placed.marks | mark if is_set else placed.marks & ~mark
        self._sum.add(placed.identity, placed.marks)

    def record_number(self, number: int) -> None:
        """Record that a placement of the current scheduler has arrived."""
        self._last_number = max(self._last_number, number)

    def reset_number(self) -> None:
        """Forget the numbers of the placements, since the next scheduler has its own."""
        self._last_number = 0

    def make_digest(self, notices: int) -> RunDigest:
        """Return the sum of the running requests, for the current scheduler."""
        return RunDigest(self._sum.total, self._last_number, notices)

    def list_endings(self, now_s: float) -> list[Ended]:
        """Return the recent endings, the oldest first."""
        return [ended for at_s, ended in self._endings if now_s - at_s <= _ENDING_TTL_S]

    def record_first_byte(
        self, request: str, target: str, first_s: float, now_s: float
    ) -> FirstByte | None:
        """Record the first byte of a response; return the message for the decider."""
        placed = self._requests.get((request, target))
        if placed is None:
            return None
        self._set_mark(placed, RunMark.FIRST_BYTE)
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
            self._set_mark(placed, RunMark.PATH_LOST, is_lost)

    def mark_silent(self, request: str, target: str, is_silent: bool) -> None:
        """Record whether a target is silent in the middle of a response."""
        placed = self._requests.get((request, target))
        if placed is not None:
            self._set_mark(placed, RunMark.SILENT, is_silent)

    def finish(self, ended: Ended, table: RouteTable | None, now_s: float) -> None:
        """Remove a request; record its target's speed if the answer is complete."""
        placed = self._remove(ended.request, ended.target)
        if placed is None:
            return
        self._endings.append((now_s, ended))
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
                bool(placed.marks & RunMark.FIRST_BYTE),
                placed.born_ms,
                bool(placed.marks & RunMark.PATH_LOST),
                bool(placed.marks & RunMark.SILENT),
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
