"""Share the account of usage between deciders, each source counted once.

Whoever decides with a share of the limits counts, of usage that is known to holders of a larger
share, the part that falls to it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.limits.foreignusage import ForeignUsage, weigh_usage
from troutstand.core.limits.slidingwindow import SlidingWindow
from troutstand.core.limits.usagebook import UsageBook
from troutstand.generated.messages import Level, UsageSnapshot

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from troutstand.core.limits.slidingwindow import Expiry
    from troutstand.core.limits.usagebook import HeldSnapshot

# Gateways that leave one by one start no more spans than one in this time.
_MIN_SPAN_S = 0.5
_MS_PER_S = 1000.0


@dataclass
class UsageSource:
    """Hold the windows that this decider counted over a span of its life.

    Parameters
    ----------
    share
        The share of the limits that the processes which know this usage hold together.
    """

    share: float
    sequence: int = 0
    windows: dict[str, SlidingWindow] = field(default_factory=dict)
    # When it last held usage that was told.
    told_s: float = float("-inf")


@dataclass(frozen=True)
class WorkspaceTotal:
    """Hold the tokens of a workspace that count here.

    Parameters
    ----------
    used
        All that deciders counted.
    of_others
        The part of it that other deciders counted.
    assumed
        What gateways may have used beyond it without telling anybody.
    """

    used: float = 0.0
    of_others: float = 0.0
    assumed: float = 0.0


def sum_tokens(snapshots: Iterable[UsageSnapshot]) -> dict[str, float]:
    """Return the tokens of each workspace in all snapshots, each source counted once."""
    newest: dict[str, UsageSnapshot] = {}
    for snapshot in snapshots:
        known = newest.get(snapshot.source)
        if known is None or snapshot.sequence > known.sequence:
            newest[snapshot.source] = snapshot
    totals: dict[str, float] = {}
    for level in (level for snapshot in newest.values() for level in snapshot.levels):
        totals[level.workspace] = totals.get(level.workspace, 0.0) + sum(level.taken)
    return totals


class SharedUsage:
    """Count what workspaces use, here and by other deciders.

    Parameters
    ----------
    counted_s
        Seconds for which usage counts.
    name
        Names this decider among all that ever count usage.
    is_private
        Whether this decider is a gateway, which hands over its usage itself.
    """

    def __init__(self, counted_s: float, name: str, is_private: bool = False) -> None:
        self.share = 1.0
        self._told_share = 1.0
        self._is_private = is_private
        self._counted_s = counted_s
        self._name = name
        self._span = 0
        self._split_s = float("-inf")
        self._sources: dict[str, UsageSource] = {}
        self._own = self._start_span()
        self._foreign = ForeignUsage(counted_s)
        self._book = UsageBook(counted_s)

    def _start_span(self) -> UsageSource:
        """Count own usage under a new source from now on."""
        self._span += 1
        source = UsageSource(self._told_share)
        self._sources[f"{self._name}.{self._span}"] = source
        return source

    def set_share(self, share: float, told_until_s: float, told_share: float) -> None:
        """Set the share of all limits that this decider may use.

        Parameters
        ----------
        told_until_s
            If the share falls: the time until which those who leave know this decider's usage.
            They count their part of it; later usage counts here alone.
        told_share
            The part of the share whose holders are known to be told of usage.
        """
        falls = share < self.share
        self.share = share
        self._told_share = min(share, told_share)
        if falls and told_until_s - self._split_s >= _MIN_SPAN_S:
            self._split_span(told_until_s)
            if math.isfinite(told_until_s):
                self._split_s = told_until_s
        # What was told of a span that is not split counts as a whole here, and after this decider.
        self._own.share = self._told_share

    def _split_span(self, told_until_s: float) -> None:
        """Start a span for the usage that was not told to others until a time."""
        before = self._own
        self._own = self._start_span()
        for name, window in before.windows.items():
            self._own.windows[name] = window.split_off(told_until_s)

    # Usage

    def add(self, workspace: str, amount: float, now_s: float) -> None:
        """Count usage of this decider."""
        window = self._own.windows.get(workspace)
        if window is None:
            window = self._own.windows[workspace] = SlidingWindow(self._counted_s)
        window.add(amount, now_s)

    def subtract(self, workspace: str, amount: float, added_s: float, now_s: float) -> bool:
        """Take back usage of this decider; return whether it still counted."""
        for source in reversed(list(self._sources.values())):
            window = source.windows.get(workspace)
            if window is None:
                continue
            window.advance(now_s)
            if window.holds(added_s):
                window.remove(amount, added_s)
                return True
        return False

    def count(self, workspace: str, now_s: float | None = None) -> WorkspaceTotal:
        """Return the usage that counts here.

        Parameters
        ----------
        now_s
            Time to which the windows are advanced; None leaves them.
        """
        used = of_others = assumed = 0.0
        for source in self._sources.values():
            window = source.windows.get(workspace)
            if window is None:
                continue
            if now_s is not None:
                window.advance(now_s)
            used += self._weigh(source) * window.total
        for group, tokens in self._foreign.sum_groups(workspace, now_s):
            weighed = weigh_usage(self.share, group.share) * tokens
            if group.is_assumed:
                assumed += weighed
            else:
                of_others += weighed
        return WorkspaceTotal(used + of_others, of_others, assumed)

    def list_expiries(self, workspace: str, with_assumed: bool) -> list[Iterator[Expiry]]:
        """Return for each source when its usage leaves, soonest first."""
        own = [
            source.windows[workspace].list_expiries(self._weigh(source))
            for source in self._sources.values()
            if workspace in source.windows
        ]
        return own + self._foreign.list_expiries(workspace, with_assumed, self.share)

    def _weigh(self, source: UsageSource) -> float:
        """Return the part of an own source's usage that counts here.

        What is not told to others for certain counts here as a whole.
        """
        return 1.0 if source is self._own else weigh_usage(self.share, source.share)

    # Handover between deciders

    def export(self, now_s: float) -> list[UsageSnapshot]:
        """Return the usage that is known here, for those who share the limits with this decider."""
        self.prune(now_s)
        for source in self._sources.values():
            source.share = max(source.share, self._told_share)
        self._foreign.raise_share(self._told_share)
        self._book.raise_share(self._told_share)
        own: list[UsageSnapshot] = []
        for name, source in self._sources.items():
            source.sequence += 1
            levels = [
                Level(workspace, window.export_parts(now_s))
                for workspace, window in source.windows.items()
                if window.total > 0
            ]
            if levels:
                source.told_s = now_s
            # Without levels it replaces what was told of usage that has moved to another source.
            if self._is_told(source, now_s):
                snapshot = UsageSnapshot(name, source.sequence, source.share, levels=levels)
                own.append(msgspec.structs.replace(snapshot, is_private=self._is_private))
        return own + [s for s in self._book.list_snapshots(now_s) if not s.is_private]

    def _is_told(self, source: UsageSource, now_s: float) -> bool:
        """Return whether others may still count what they were told of a source."""
        return now_s - source.told_s < self._counted_s

    def merge(self, snapshots: Iterable[UsageSnapshot], now_s: float) -> list[HeldSnapshot]:
        """Count the usage that other deciders counted; return what was not known."""
        foreign: list[UsageSnapshot] = []
        for snapshot in snapshots:
            own = self._sources.get(snapshot.source)
            if own is None:
                foreign.append(snapshot)
            elif snapshot.share > own.share:
                # Others count a part of what they were told of this decider's usage.
                if own is self._own:
                    self._split_span(now_s - snapshot.age_ms / _MS_PER_S)
                own.share = snapshot.share
        changed = self._book.merge(foreign, now_s)
        for held in changed:
            self._foreign.merge(held)
        return changed

    def prune(self, now_s: float) -> None:
        """Drop the sources whose usage has left the windows."""
        for name in self._book.prune(now_s):
            self._foreign.forget(name)
        self._foreign.prune(now_s)
        for name, source in list(self._sources.items()):
            for workspace, window in list(source.windows.items()):
                window.advance(now_s)
                if not len(window):
                    del source.windows[workspace]
            is_past = source is not self._own and not source.windows
            if is_past and not self._is_told(source, now_s):
                del self._sources[name]
