"""Hold a request of a gateway that waits for a decision."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    import asyncio

    from troutstand.generated.messages import Declined, Placed, RoutedWork
    from troutstand.routing.schedulerwatch import Decider


@dataclass
class PendingPlacement:
    """Hold one request that waits for a decision."""

    work: RoutedWork
    since_s: float
    answer: asyncio.Future[Placed | Declined]
    asked: Decider | None = None
    task: asyncio.Task[None] | None = None


def update_remaining_time(work: RoutedWork, spent_s: float) -> RoutedWork:
    """Return the work with the time left that it has now.

    Without what is spent a request that moves to another scheduler seems to have just
    come, and goes behind others that are due later.
    """
    return msgspec.structs.replace(
        work,
        remaining_s=max(0.0, work.remaining_s - spent_s),
        spent_s=work.spent_s + spent_s,
    )
