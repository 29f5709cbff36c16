"""Queue the waiting requests of a tier and share it fairly between workspaces."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.ids import RequestId
from troutstand.core.scheduling.shares import Shares

if TYPE_CHECKING:
    from collections.abc import Iterator

    from troutstand.core.prefix import Prefixes
    from troutstand.generated.messages import PlacementAsk


@dataclass
class WaitingRequest:
    """Hold a request that waits for a target."""

    ask: PlacementAsk
    process: str
    rank: int
    prefixes: Prefixes
    submitted_s: float
    latest_start_s: float
    expected_s: float

    @property
    def request(self) -> RequestId:
        """Return the id of the request."""
        return RequestId(self.ask.request)


@dataclass
class FairQueue:
    """Queue the requests of one tier for one model or service by weighted fair queueing."""

    expected_s: float = 0.0
    _queues: dict[str, deque[WaitingRequest]] = field(default_factory=dict)
    _shares: Shares = field(default_factory=Shares)
    _count: int = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[WaitingRequest]:
        for queue in self._queues.values():
            yield from queue

    def push(self, waiting: WaitingRequest) -> None:
        """Append a request to the queue of its workspace."""
        name = waiting.ask.workspace
        queue = self._queues.setdefault(name, deque())
        if not queue:
            self._shares.advance_idle(name)
        queue.append(waiting)
        self._count += 1
        self.expected_s += waiting.expected_s

    def order_workspaces(self) -> list[str]:
        """Return the workspaces with waiting requests, the smallest start tag first."""
        return sorted(self._queues, key=self._shares.get_start_tag)

    def peek(self, workspace: str, limit: int) -> list[WaitingRequest]:
        """Return the oldest requests of a workspace, at most limit."""
        queue = self._queues[workspace]
        return [queue[index] for index in range(min(limit, len(queue)))]

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a waiting request."""
        name = waiting.ask.workspace
        queue = self._queues[name]
        if queue[0] is waiting:
            queue.popleft()
        else:
            queue.remove(waiting)
        if not queue:
            del self._queues[name]
        self._count -= 1
        self.expected_s = max(0.0, self.expected_s - waiting.expected_s) if self._count else 0.0

    def charge(self, waiting: WaitingRequest, weight: float) -> None:
        """Charge the expected run time of a granted request to its workspace."""
        start_s = self._shares.charge(waiting.ask.workspace, waiting.expected_s / weight)
        self._shares.advance_virtual_time(start_s)
