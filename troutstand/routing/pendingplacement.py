"""Describe a gateway's request that waits for a placement decision."""

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
    """Describe a request that waits for a decision; times in seconds on the steady clock."""

    work: RoutedWork
    started_s: float
    answer: asyncio.Future[Placed | Declined]
    decider: Decider | None = None
    task: asyncio.Task[None] | None = None


def update_remaining_time(work: RoutedWork, spent_s: float) -> RoutedWork:
    """Return the work with its remaining and spent time updated.

    Otherwise a request that moves to another scheduler would queue as if it had just arrived.
    """
    return msgspec.structs.replace(
        work,
        remaining_s=max(0.0, work.remaining_s - spent_s),
        spent_s=work.spent_s + spent_s,
    )
