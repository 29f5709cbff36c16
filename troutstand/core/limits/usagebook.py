"""Keep what deciders counted of the limits of workspaces, each source once.

A source is one decider over a span of its life. Snapshots of a source replace each other, so
that usage which several processes hand over is counted once, and none is lost while one of
them lives.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import UsageSnapshot

_MS_PER_S = 1000.0


@dataclass
class HeldSnapshot:
    """Hold a snapshot and when it was taken, in seconds on the steady clock."""

    snapshot: UsageSnapshot
    taken_s: float

    def make_message(self, now_s: float) -> UsageSnapshot:
        """Return the snapshot with its present age."""
        age_ms = max(0, int((now_s - self.taken_s) * _MS_PER_S))
        return msgspec.structs.replace(self.snapshot, age_ms=age_ms)


class UsageBook:
    """Hold the newest snapshot of each source until its usage has left the windows."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._held: dict[str, HeldSnapshot] = {}

    def __len__(self) -> int:
        return len(self._held)

    def merge(self, snapshots: Iterable[UsageSnapshot], now_s: float) -> list[HeldSnapshot]:
        """Keep the snapshots that are newer than those held, and return them.

        Of two copies of one snapshot the larger holder share stays: more processes know it.
        """
        changed: list[HeldSnapshot] = []
        for snapshot in snapshots:
            taken_s = now_s - snapshot.age_ms / _MS_PER_S
            held = self._held.get(snapshot.source)
            if now_s - taken_s >= self._window_s:
                continue
            if held is None:
                held = self._held[snapshot.source] = HeldSnapshot(snapshot, taken_s)
            elif snapshot.sequence > held.snapshot.sequence:
                held.snapshot, held.taken_s = snapshot, taken_s
            elif snapshot.share > held.snapshot.share:
                held.snapshot = msgspec.structs.replace(held.snapshot, share=snapshot.share)
            else:
                continue
            changed.append(held)
        return changed

    def raise_share(self, share: float) -> None:
        """Record that processes which hold a share of the limits are told of all usage."""
        for held in self._held.values():
            if held.snapshot.share < share and not held.snapshot.is_private:
                held.snapshot = msgspec.structs.replace(held.snapshot, share=share)

    def prune(self, now_s: float) -> list[str]:
        """Drop the snapshots that have left the windows, and return their sources."""
        expired = [s for s, h in self._held.items() if now_s - h.taken_s >= self._window_s]
        for source in expired:
            del self._held[source]
        return expired

    def list_snapshots(self, now_s: float) -> list[UsageSnapshot]:
        """Return the snapshots with their present ages."""
        self.prune(now_s)
        return [held.make_message(now_s) for held in self._held.values()]
