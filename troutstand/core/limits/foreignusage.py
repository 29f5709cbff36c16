"""Sum the usage that other deciders counted, at the same cost for any number of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from troutstand.core.limits.binnedwindow import BinnedWindow
from troutstand.core.limits.slidingwindow import PART_COUNT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from troutstand.core.limits.slidingwindow import Expiry
    from troutstand.core.limits.usagebook import HeldSnapshot
    from troutstand.generated.messages import UsageSnapshot


class UsageGroup(NamedTuple):
    """Name the sources whose usage counts in the same way.

    Parameters
    ----------
    share
        The share of the limits that the processes which know the usage hold together.
    is_assumed
        Whether nobody counted it: a gateway may have used as much.
    """

    share: float
    is_assumed: bool


@dataclass
class _Counted:
    """Hold what was added for a source; the time is in seconds."""

    snapshot: UsageSnapshot
    taken_s: float
    group: UsageGroup


class ForeignUsage:
    """Hold the usage of other deciders' sources in one window a workspace and group.

    Parameters
    ----------
    counted_s
        Seconds for which usage counts.
    """

    def __init__(self, counted_s: float) -> None:
        self._counted_s = counted_s
        self._counted: dict[str, _Counted] = {}
        self._windows: dict[UsageGroup, dict[str, BinnedWindow]] = {}

    def merge(self, held: HeldSnapshot) -> None:
        """Count a snapshot in place of the one before of its source."""
        snapshot = held.snapshot
        before = self._counted.pop(snapshot.source, None)
        if before is not None:
            self._apply(before, -1.0)
        group = UsageGroup(snapshot.share, snapshot.is_assumed)
        counted = self._counted[snapshot.source] = _Counted(snapshot, held.taken_s, group)
        self._apply(counted, 1.0)

    def _apply(self, counted: _Counted, sign: float) -> None:
        windows = self._windows.setdefault(counted.group, {})
        part_s = self._counted_s / PART_COUNT
        for level in counted.snapshot.levels:
            window = windows.get(level.workspace)
            if window is None:
                window = windows[level.workspace] = BinnedWindow(self._counted_s)
            for index, amount in enumerate(level.taken[:PART_COUNT]):
                # A part is dated to its newest time, so that a handover never frees capacity.
                at_s = counted.taken_s - index * part_s
                if amount and sign > 0:
                    window.add(amount, at_s)
                elif amount:
                    window.subtract(amount, at_s)

    def raise_share(self, share: float) -> None:
        """Record that processes which hold a share of the limits are told of all public usage."""
        for counted in self._counted.values():
            if counted.group.share < share and not counted.snapshot.is_private:
                self._apply(counted, -1.0)
                counted.group = counted.group._replace(share=share)
                self._apply(counted, 1.0)

    def forget(self, source: str) -> None:
        """Forget a source whose usage has left the windows."""
        self._counted.pop(source, None)

    def prune(self, now_s: float) -> None:
        """Drop the windows that are empty."""
        for group, windows in list(self._windows.items()):
            for workspace, window in list(windows.items()):
                window.advance(now_s)
                if not len(window):
                    del windows[workspace]
            if not windows:
                del self._windows[group]

    def sum_groups(self, workspace: str, now_s: float | None) -> Iterator[tuple[UsageGroup, float]]:
        """Yield the groups in which a workspace has usage, and its tokens.

        Parameters
        ----------
        now_s
            Time to which the windows are advanced; None leaves them.
        """
        for group, windows in self._windows.items():
            window = windows.get(workspace)
            if window is None:
                continue
            if now_s is not None:
                window.advance(now_s)
            yield group, window.total

    def list_expiries(
        self, workspace: str, with_assumed: bool, share: float
    ) -> list[Iterator[Expiry]]:
        """Return for each group when its usage leaves, soonest first.

        Parameters
        ----------
        share
            The share of the limits of whoever asks, by which the usage counts.
        """
        return [
            windows[workspace].list_expiries(weigh_usage(share, group.share))
            for group, windows in self._windows.items()
            if workspace in windows and (with_assumed or not group.is_assumed)
        ]


def weigh_usage(share: float, known_share: float) -> float:
    """Return the part of usage that counts for a decider with a share of the limits.

    All who know it count it, in proportion to their shares.

    Parameters
    ----------
    known_share
        The share of all who know the usage.
    """
    return min(1.0, share / known_share)
