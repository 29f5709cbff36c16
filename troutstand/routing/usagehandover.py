"""Keep for a gateway what was used of the limits, for whoever decides next."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from troutstand.core.limits.slidingwindow import SlidingWindow
from troutstand.core.limits.usagebook import UsageBook
from troutstand.generated.messages import Level, UsageSnapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.ids import ProcessId

_MS_PER_S = 1000.0
# Covers that a placement overtakes a heartbeat's reply.
_REORDERING_S = 0.05


class SentCharge(NamedTuple):
    """Hold the charge of a request that this gateway sent; the time is in seconds."""

    at_s: float
    workspace: str
    tokens: float


def name_decider(process: ProcessId, incarnation: str, span: int = 0) -> str:
    """Return the name under which a decider counts usage."""
    return f"{process}|{incarnation}|{span}"


def is_counted_by(snapshot: UsageSnapshot, process: ProcessId) -> bool:
    """Return whether a process counted a snapshot's usage, in any of its lives."""
    return snapshot.source.startswith(f"{process}|")


class UsageHandover:
    """Hold the usage that schedulers told a gateway, and what it has sent since.

    Parameters
    ----------
    counted_s
        Seconds for which usage counts.
    """

    def __init__(self, process: ProcessId, incarnation: str, counted_s: float) -> None:
        self._process = process
        self._incarnation = incarnation
        self._counted_s = counted_s
        self._book = UsageBook(counted_s)
        self._sent: deque[SentCharge] = deque()
        self._closed_count = 0

    def record_sent(self, workspace: str, tokens: float, now_s: float) -> None:
        """Record a charge that a scheduler made for this gateway."""
        if tokens > 0:
            self._sent.append(SentCharge(now_s, workspace, tokens))

    def merge_reply(self, usage: Iterable[UsageSnapshot], now_s: float) -> None:
        """Keep what the current scheduler counted, which includes older charges of this gateway."""
        usage = list(usage)
        self._book.merge(usage, now_s)
        ages_s = [snapshot.age_ms / _MS_PER_S for snapshot in usage]
        told_s = now_s - min(ages_s) - _REORDERING_S if ages_s else now_s - self._counted_s
        while self._sent and self._sent[0].at_s < told_s:
            self._sent.popleft()

    def merge(self, usage: Iterable[UsageSnapshot], now_s: float) -> None:
        """Keep usage that others counted, or this gateway while it decided locally."""
        self._book.merge(usage, now_s)

    def list_usage(self, share: float, now_s: float) -> list[UsageSnapshot]:
        """Return all usage for the next decider.

        Parameters
        ----------
        share
            This gateway's share of the limits: nobody else knows what it has just sent.
        """
        self._close_sent(share, now_s)
        return self._book.list_snapshots(now_s)

    def _close_sent(self, share: float, now_s: float) -> None:
        """Turn the charges that no scheduler has told back into a snapshot."""
        windows: dict[str, SlidingWindow] = {}
        for charge in self._sent:
            window = windows.setdefault(charge.workspace, SlidingWindow(self._counted_s))
            window.add(charge.tokens, charge.at_s)
        self._sent.clear()
        if not windows:
            return
        self._closed_count += 1
        source = f"{name_decider(self._process, self._incarnation)}.sent{self._closed_count}"
        levels = [Level(name, window.export_parts(now_s)) for name, window in windows.items()]
        self._book.merge([UsageSnapshot(source, 1, share, levels=levels, is_private=True)], now_s)
