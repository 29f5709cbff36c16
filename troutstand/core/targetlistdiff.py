"""Tell what changed between two lists of targets, and when a whole list may be told."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import ListedTarget

# Lists that are remembered by what has changed since: a list that is read each 0.9 s is then
# known for 50 s and more, longer than a gateway is cut off in most cases (chosen, not
# measured).
_KEPT_CHANGES = 64
# Entries that may be told a second in whole lists, and at once: 20 lists of 3,000 targets, or
# 6 MB. A scheduler that 270 gateways turn to at the same time told them 72 MB at once, and its
# memory ended at 334 of 296 MB three times within 41 s at 301 hosts.
_ENTRIES_PER_S = 60_000.0


@dataclass(frozen=True)
class TargetListDiff:
    """Tell what makes one list of targets into another."""

    updated: list[ListedTarget]
    removed: list[str]

    def apply(self, targets: Iterable[ListedTarget]) -> list[ListedTarget]:
        """Return the list that a list becomes, in the order of the targets' names."""
        gone = set(self.removed)
        entries = {t.target: t for t in targets if t.target not in gone}
        entries.update((entry.target, entry) for entry in self.updated)
        return sorted(entries.values(), key=lambda entry: entry.target)


def diff_target_lists(
    before: Iterable[ListedTarget], now: Iterable[ListedTarget]
) -> TargetListDiff:
    """Return what changed between two lists."""
    old = {entry.target: entry for entry in before}
    new = {entry.target: entry for entry in now}
    changed = [entry for name, entry in new.items() if old.get(name) != entry]
    return TargetListDiff(changed, [name for name in old if name not in new])


class TargetListHistory:
    """Hold what has changed since the lists before the newest one."""

    def __init__(self) -> None:
        self._steps: OrderedDict[str, TargetListDiff] = OrderedDict()

    def record(self, version: str, change: TargetListDiff) -> None:
        """Take what made the list of a version into the next one."""
        self._steps.pop(version, None)
        self._steps[version] = change
        while len(self._steps) > _KEPT_CHANGES:
            self._steps.popitem(last=False)

    def find_diff_since(self, version: str) -> TargetListDiff | None:
        """Return all that has changed since a version; None where that is not known."""
        if version not in self._steps:
            return None
        entries: dict[str, ListedTarget | None] = {}
        is_later = False
        for known, step in self._steps.items():
            is_later = is_later or known == version
            if is_later:
                entries.update((name, None) for name in step.removed)
                entries.update((entry.target, entry) for entry in step.updated)
        changed = [entry for entry in entries.values() if entry is not None]
        return TargetListDiff(changed, [name for name, entry in entries.items() if entry is None])


class FullListLimiter:
    """Bound how many entries of whole lists are told in a time.

    Gateways go by the list that they hold meanwhile; the decider goes by its own.
    """

    def __init__(self, now_s: float) -> None:
        self._room = _ENTRIES_PER_S
        self._at_s = now_s

    def try_acquire(self, entries: int, now_s: float) -> bool:
        """Tell whether a list of so many entries may be told now."""
        self.refill(max(0.0, now_s - self._at_s))
        self._at_s = now_s
        if self._room <= 0.0:
            return False
        self._room -= entries
        return True

    def refill(self, passed_s: float) -> None:
        """Make the room that comes in a time."""
        self._room = min(_ENTRIES_PER_S, self._room + passed_s * _ENTRIES_PER_S)
