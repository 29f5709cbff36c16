"""Keep what targets said of themselves to one gateway."""

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

# Targets that are remembered; those heard of longest ago are forgotten first.
_MAX_KNOWN = 10_000
# A target that a list showed as leaving or gone and shows as ready so much later, in
# seconds, is back in service under its name. Lists of other processes are up to 6 s old
# (a standby reads its list each 5 s, and the platform's lags).
_BACK_AFTER_S = 15.0
# The book is one gateway's.
_OWN = ""


@dataclass
class _Known:
    """Hold what one life of a target said; times in seconds."""

    born_ms: int
    report: SelfReport = field(default_factory=SelfReport)
    # When a list first confirmed that the target leaves.
    confirmed_s: float | None = None


class NoticeStore:
    """Hold what targets said to a gateway, for whoever decides.

    The decider knows the same, but it may have just taken over, or decide by a message that
    is on its way: whether a target wants to be left alone is asked here right before a
    request is sent, and each decider that comes is told all of it.
    """

    def __init__(self) -> None:
        self._known: OrderedDict[str, _Known] = OrderedDict()

    def record(self, notice: TargetNotice, asked_s: float, now_s: float) -> bool:
        """Take what the answer to a request said; tell whether it is news.

        Parameters
        ----------
        asked_s
            When the request was sent, in seconds.
        """
        known = self._find(notice.target, notice.born_ms)
        says_limit = notice.limit_per_s is not None
        is_ended = known is not None and not says_limit and known.report.clear_stale_limit(asked_s)
        if not notice.is_leaving and notice.rest_s <= 0.0 and not says_limit:
            return is_ended
        if known is None:
            known = self._known[notice.target] = _Known(notice.born_ms)
        self._known.move_to_end(notice.target)
        while len(self._known) > _MAX_KNOWN:
            self._known.popitem(last=False)
        return known.report.apply_notice(_OWN, notice, now_s) or is_ended

    def get_block_reason(self, target: str, born_ms: int, now_s: float) -> BlockReason | None:
        """Return why nothing may be sent to a target now, or None."""
        known = self._find(target, born_ms)
        return None if known is None else known.report.get_block_reason(_OWN, now_s)

    def _find(self, target: str, born_ms: int) -> _Known | None:
        """Return what is known of a target's present life."""
        known = self._known.get(target)
        if known is None:
            return None
        return known if is_same_incarnation(known.born_ms, born_ms) else None

    def build_notice(self, target: str, now_s: float) -> TargetNotice:
        """Return what a decider is told of a target."""
        known = self._known.get(target) or _Known(0)
        return known.report.build_notice(target, known.born_ms, _OWN, now_s)

    def clear_leaving(self, target: str) -> None:
        """Note that whoever decides gives a target work again, though it said that it leaves."""
        known = self._known.get(target)
        if known is not None:
            known.report.is_leaving = False

    def list_notices(self, now_s: float) -> list[TargetNotice]:
        """Return all that still binds, for a decider that does not know it."""
        return [
            self.build_notice(target, now_s)
            for target, known in self._known.items()
            if known.report.has_restrictions(_OWN, now_s)
        ]

    def prune(self, listed: Iterable[ListedTarget], now_s: float) -> None:
        """Forget what binds no more, and targets that are long gone or back in service."""
        states = {entry.target: entry.state for entry in listed}
        for target, known in list(self._known.items()):
            if known.report.is_leaving:
                is_over = _is_leaving_over(known, states.get(target), now_s)
            else:
                is_over = not known.report.has_restrictions(_OWN, now_s) or (
                    # Its end, or its return under another name, lets nothing be told of it.
                    target not in states and known.report.get_block_reason(_OWN, now_s) is None
                )
            if is_over:
                del self._known[target]


def _is_leaving_over(known: _Known, listed: ListedState | None, now_s: float) -> bool:
    """Tell whether a target that left cannot be meant any more; None is not listed."""
    if known.confirmed_s is None and listed is ListedState.ready:
        # The list lags behind what the target says.
        return False
    known.confirmed_s = now_s if known.confirmed_s is None else known.confirmed_s
    return listed is not ListedState.draining and now_s - known.confirmed_s > _BACK_AFTER_S
