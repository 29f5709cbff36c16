"""Log what a decider counts of the limits of workspaces."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.gatewayregistry import LimitShare
    from troutstand.core.limits.quota import LimitUsage, Quotas
    from troutstand.core.limits.usagebook import HeldSnapshot
    from troutstand.generated.messages import UsageSnapshot
    from troutstand.util.events import EventBus

_PERIOD_S = 1.0
_MAX_LINES = 32
_SHARE_PERIOD_S = 0.25


def _get_fill(usage: LimitUsage) -> float:
    return usage.used / usage.max_tokens if usage.max_tokens else 0.0


@dataclass
class UsageLog:
    """Write a line a second for each of the fullest limits that are asked for."""

    events: EventBus
    decider: str
    _logged_s: float = float("-inf")
    _share: LimitShare | None = None
    _share_logged_s: float = float("-inf")

    def emit_share(self, share: LimitShare, now_s: float) -> None:
        """Log the share of the limits that this decider may use, if it has changed."""
        if share == self._share or now_s - self._share_logged_s < _SHARE_PERIOD_S:
            return
        self._share, self._share_logged_s = share, now_s
        self.events.emit(
            "limit_share_changed",
            share=share.value,
            counted=share.counted,
            told=share.told,
            ended=share.ended,
            gateways=share.gateways,
            decider=self.decider,
        )

    def emit_assumed(self, assumed: Iterable[UsageSnapshot], absent_s: float) -> None:
        """Log what this process may have used before its start without telling anybody."""
        for snapshot in assumed:
            fullest = max(snapshot.levels, key=lambda level: sum(level.taken))
            self.events.emit(
                "limit_usage_assumed",
                absent_s=absent_s,
                share=snapshot.share,
                only_excess=snapshot.is_assumed,
                workspaces=len(snapshot.levels),
                workspace=fullest.workspace,
                tokens=sum(fullest.taken),
                decider=self.decider,
            )

    def emit_withdrawn(
        self, told: Iterable[UsageSnapshot], counted: Iterable[UsageSnapshot], absent_s: float
    ) -> None:
        """Log the usage that a gateway assumed and that does not count, since it had ended."""
        for before, after in zip(told, counted, strict=True):
            if before is not after:
                self.events.emit(
                    "limit_usage_withdrawn",
                    counted_by=before.source,
                    absent_s=absent_s,
                    tokens=sum(sum(level.taken) for level in before.levels),
                    decider=self.decider,
                )

    def emit_held_back(self, length_s: float, reason: str) -> None:
        """Log for how long no excess is admitted; what the limits allow still is."""
        self.events.emit(
            "limit_excess_held_back", length_s=length_s, reason=reason, decider=self.decider
        )

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
                assumed=limit.assumed,
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
            if not snapshot.levels:
                continue
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
