"""Log what a decider counts of the limits of workspaces."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.limits.quota import LimitUsage, Quotas
    from troutstand.core.limits.usagebook import HeldSnapshot
    from troutstand.util.events import EventBus

_PERIOD_S = 1.0
_MAX_LINES = 32


def _get_fill(usage: LimitUsage) -> float:
    return usage.used / usage.max_tokens if usage.max_tokens else 0.0


@dataclass
class UsageLog:
    """Write a line a second for each of the fullest limits that are asked for."""

    events: EventBus
    decider: str
    _logged_s: float = float("-inf")

    def emit_usage(self, quotas: Quotas, now_s: float) -> None:
        """Log the usage, unless it was logged within the last second."""
        if now_s - self._logged_s < _PERIOD_S:
            return
        self._logged_s = now_s
        usage = sorted(quotas.drain_usage(now_s), key=_get_fill, reverse=True)
        for limit in usage[:_MAX_LINES]:
            self.events.emit(
                "limit_usage",
                workspace=limit.workspace,
                used=limit.used,
                of_others=limit.of_others,
                reserved=limit.reserved,
                most=limit.max_tokens,
                share=limit.share,
                charged=limit.counts.charged,
                charged_again=limit.counts.charged_again,
                refunded=limit.counts.refunded,
                refused=limit.counts.refused,
                decider=self.decider,
            )
        if len(usage) > _MAX_LINES:
            self.events.emit("limit_usage_left_out", limits=len(usage) - _MAX_LINES)

    def emit_merged(self, changed: Iterable[HeldSnapshot], source: str, now_s: float) -> None:
        """Log the usage of other deciders that counts here from now on."""
        for held in changed:
            snapshot = held.snapshot
            fullest = max(snapshot.levels, key=lambda level: sum(level.taken))
            self.events.emit(
                "limit_usage_taken_over",
                counted_by=snapshot.source,
                sequence=snapshot.sequence,
                share=snapshot.share,
                age_s=now_s - held.taken_s,
                workspaces=len(snapshot.levels),
                workspace=fullest.workspace,
                tokens=sum(fullest.taken),
                told_by=source,
                decider=self.decider,
            )
