"""Compute differences between target lists, and limit how many full lists are sent."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import ListedTarget

# Covers the usual time for which a gateway is disconnected: 50 s and more, since the list is
# read every 0.9 s.
_MAX_KEPT_DIFFS = 64
# Rate and burst of entries sent in full lists, 20 lists of 3,000 targets (6 MB) a second;
# bounds the memory used when many gateways attach at the same time. Without it a scheduler
# queued 72 MB for 270 gateways and was killed at its memory limit.
_ENTRIES_PER_S = 60_000.0


@dataclass(frozen=True)
class TargetListDiff:
    """Represent the difference between two target lists."""

    updated: list[ListedTarget]
    removed: list[str]

    def apply(self, targets: Iterable[ListedTarget]) -> list[ListedTarget]:
        """Return the list that results from applying the difference, sorted by target name."""
        removed = set(self.removed)
        entries = {t.target: t for t in targets if t.target not in removed}
        entries.update((entry.target, entry) for entry in self.updated)
        return sorted(entries.values(), key=lambda entry: entry.target)


def diff_target_lists(
    before: Iterable[ListedTarget], after: Iterable[ListedTarget]
) -> TargetListDiff:
    """Compute the difference between two target lists."""
    old = {entry.target: entry for entry in before}
    new = {entry.target: entry for entry in after}
    updated = [entry for name, entry in new.items() if old.get(name) != entry]
    return TargetListDiff(updated, [name for name in old if name not in new])


class TargetListHistory:
    """Keep the differences between recent versions of a target list."""

    def __init__(self) -> None:
        self._diffs: OrderedDict[str, TargetListDiff] = OrderedDict()

    def record(self, version: str, diff: TargetListDiff) -> None:
        """Record the difference between a version and its successor."""
        self._diffs.pop(version, None)
        self._diffs[version] = diff
        while len(self._diffs) > _MAX_KEPT_DIFFS:
            self._diffs.popitem(last=False)

    def find_diff_since(self, version: str) -> TargetListDiff | None:
        """Return the combined difference since a version, or None if it is no longer kept."""
        if version not in self._diffs:
            return None
        entries: dict[str, ListedTarget | None] = {}
        is_later = False
        for diff_version, diff in self._diffs.items():
            is_later = is_later or diff_version == version
            if is_later:
                entries.update((name, None) for name in diff.removed)
                entries.update((entry.target, entry) for entry in diff.updated)
        updated = [entry for entry in entries.values() if entry is not None]
        return TargetListDiff(updated, [name for name, entry in entries.items() if entry is None])


class FullListLimiter:
    """Limit the rate of entries sent in full target lists, as a token bucket.

    A gateway that is refused a full list continues with the list it has.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = _ENTRIES_PER_S
        self._refilled_at_s = now_s

    def try_acquire(self, entries: int, now_s: float) -> bool:
        """Return whether a full list with this number of entries may be sent now."""
        self.refill(max(0.0, now_s - self._refilled_at_s))
        self._refilled_at_s = now_s
        if self._tokens <= 0.0:
            return False
        self._tokens -= entries
        return True

    def refill(self, elapsed_s: float) -> None:
        """Add the tokens for an elapsed time."""
        self._tokens = min(_ENTRIES_PER_S, self._tokens + elapsed_s * _ENTRIES_PER_S)
