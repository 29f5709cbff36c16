"""Guarantee lower tiers a minimum of service while higher tiers exceed the capacity.

Strict priority starves the lowest tier under a lasting overload. A tier that was served less
than a set part as often as the tiers above it has requests promoted to the highest
tier, as long as promoted requests take no more than a set part of the slots.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.core.scheduling.tierservice import TierService

# Served share that a tier is guaranteed, relative to that of the tiers above it.
MIN_RELATIVE_SHARE = 0.25
# Part of the slots that promoted requests may take on average.
MAX_SLOT_SHARE = 0.1
# Slot time that a tier may save up, in seconds of the part of the slots.
_BUDGET_WINDOW_S = 1.0
# A tier that requested no promotion for this long gets no part of the budget.
_MAX_IDLE_S = 1.0


@dataclass
class _Budget:
    """Hold the slot time left for promoted requests of one tier, in seconds.

    It is negative after a request longer than the budget.
    """

    left_s: float = 0.0
    requested_s: float = 0.0


@dataclass
class TierMinimum:
    """Decide which requests of a service are promoted; times in seconds."""

    service: TierService
    _budgets: dict[int, _Budget] = field(default_factory=dict)
    _refilled_s: float = 0.0

    def is_below_minimum(self, tier: int, now_s: float) -> bool:
        """Return whether a tier is served less often than it is guaranteed."""
        share_above = self.service.compute_share_above(tier, now_s)
        if share_above is None:
            return False
        return self.service.get_share(tier, now_s) < MIN_RELATIVE_SHARE * share_above

    def promote(self, tier: int, slot_time_s: float, slots: int, now_s: float) -> bool:
        """Return whether a request of a tier below its minimum is promoted.

        Charges its slot time if so; the request counts as placed from now on.
        """
        budget = self._budgets.setdefault(tier, _Budget())
        budget.requested_s = now_s
        self._refill(slots, now_s)
        if budget.left_s < 0.0:
            return False
        budget.left_s -= slot_time_s
        self.service.record_placed(tier, now_s)
        return True

    def _refill(self, slots: int, now_s: float) -> None:
        """Divide the slot time since the last refill between the tiers that requested some."""
        elapsed_s = min(now_s - self._refilled_s, _BUDGET_WINDOW_S)
        self._refilled_s = now_s
        active = [b for b in self._budgets.values() if now_s - b.requested_s <= _MAX_IDLE_S]
        slot_rate = MAX_SLOT_SHARE * slots
        for budget in active:
            budget.left_s = min(
                slot_rate * _BUDGET_WINDOW_S,
                budget.left_s + slot_rate * elapsed_s / len(active),
            )

    def cancel(self, tier: int, slot_time_s: float, now_s: float) -> None:
        """Return the slot time of a promoted request that got no slot."""
        self._budgets[tier].left_s += slot_time_s
        self.service.cancel_placed(tier, now_s)
