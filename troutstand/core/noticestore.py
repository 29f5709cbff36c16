"""Target notices that one gateway received."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.incarnation import is_same_incarnation
from troutstand.core.selfreport import BlockReason, SelfReport
from troutstand.generated.messages import ListedState, TargetNotice

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import ListedTarget

# The least recently updated targets are evicted first.
_MAX_TARGETS = 10_000
# A target that is listed as ready this long after a list showed it as leaving or gone is back
# in service. Longer than the lag of the target lists of other processes, up to 6 s.
_RETURN_AFTER_S = 15.0
# The store belongs to a single gateway, which needs no name.
_OWN_GATEWAY = ""


@dataclass
class _Entry:
    """Hold the reports of one incarnation of a target; times in seconds."""

    born_ms: int
    report: SelfReport = field(default_factory=SelfReport)
    # Time when a list first confirmed that the target is leaving.
    confirmed_s: float | None = None


class NoticeStore:
    """Hold the notices that targets sent to a gateway.

    The gateway checks them again right before it sends a request, since the scheduler may have
    decided on older notices. A new scheduler receives all of them.
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def record(self, notice: TargetNotice, sent_s: float, now_s: float) -> bool:
        """Record the notice of an answer; return whether anything changed.

        Parameters
        ----------
        sent_s
            Time when the request was sent, in seconds.
        """
        entry = self._find(notice.target, notice.born_ms)
        has_limit = notice.limit_per_s is not None
        limit_ended = entry is not None and not has_limit and entry.report.clear_stale_limit(sent_s)
        if not notice.is_leaving and notice.rest_s <= 0.0 and not has_limit:
            return limit_ended
        if entry is None:
            entry = self._entries[notice.target] = _Entry(notice.born_ms)
        self._entries.move_to_end(notice.target)
        while len(self._entries) > _MAX_TARGETS:
            self._entries.popitem(last=False)
        return entry.report.apply_notice(_OWN_GATEWAY, notice, now_s) or limit_ended

    def get_block_reason(self, target: str, born_ms: int, now_s: float) -> BlockReason | None:
        """Return why no requests may be sent to a target now, or None."""
        entry = self._find(target, born_ms)
        return None if entry is None else entry.report.get_block_reason(_OWN_GATEWAY, now_s)

    def _find(self, target: str, born_ms: int) -> _Entry | None:
        """Return the entry of a target's incarnation, or None."""
        entry = self._entries.get(target)
        if entry is None:
            return None
        return entry if is_same_incarnation(entry.born_ms, born_ms) else None

    def build_notice(self, target: str, now_s: float) -> TargetNotice:
        """Return the notice that is sent to a scheduler."""
        entry = self._entries.get(target) or _Entry(0)
        return entry.report.build_notice(target, entry.born_ms, _OWN_GATEWAY, now_s)

    def clear_leaving(self, target: str) -> None:
        """Clear the leaving state of a target that the scheduler uses again."""
        entry = self._entries.get(target)
        if entry is not None:
            entry.report.is_leaving = False

    def list_notices(self, now_s: float) -> list[TargetNotice]:
        """Return the notices in effect, for a new scheduler."""
        return [
            self.build_notice(target, now_s)
            for target, entry in self._entries.items()
            if entry.report.has_restrictions(_OWN_GATEWAY, now_s)
        ]

    def prune(self, listed: Iterable[ListedTarget], now_s: float) -> None:
        """Drop expired notices and targets that are gone or back in service."""
        states = {item.target: item.state for item in listed}
        for target, entry in list(self._entries.items()):
            if entry.report.is_leaving:
                is_expired = _is_leaving_expired(entry, states.get(target), now_s)
            else:
                is_expired = not entry.report.has_restrictions(_OWN_GATEWAY, now_s) or (
                    # The target is gone, and only its rate limit is left.
                    target not in states
                    and entry.report.get_block_reason(_OWN_GATEWAY, now_s) is None
                )
            if is_expired:
                del self._entries[target]


def _is_leaving_expired(entry: _Entry, listed: ListedState | None, now_s: float) -> bool:
    """Return whether a leaving notice has expired; `listed` is None for an unlisted target."""
    if entry.confirmed_s is None and listed is ListedState.ready:
        # The list lags behind the target's own notice.
        return False
    entry.confirmed_s = now_s if entry.confirmed_s is None else entry.confirmed_s
    return listed is not ListedState.draining and now_s - entry.confirmed_s > _RETURN_AFTER_S
