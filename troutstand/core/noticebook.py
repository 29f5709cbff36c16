"""Keep what targets said of themselves to one gateway."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.lives import is_same_life
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


class KeptBack(Enum):
    """Say why nothing may be sent to a target."""

    RESTING = "resting"
    LEAVING = "leaving"


@dataclass
class _Known:
    """Hold what one life of a target said; times in seconds."""

    born_ms: int
    is_leaving: bool = False
    rests_until_s: float = float("-inf")
    limit_per_s: float | None = None
    # When an answer last named the limit.
    limit_named_s: float = float("-inf")
    # When a list first confirmed that the target leaves.
    confirmed_s: float | None = None

    def take(self, notice: TargetNotice, asked_s: float, now_s: float) -> bool:
        """Take what an answer said; tell whether it is news."""
        is_news = notice.rest_s > 0.0 or (notice.is_leaving and not self.is_leaving)
        self.is_leaving = self.is_leaving or notice.is_leaving
        self.rests_until_s = max(self.rests_until_s, now_s + notice.rest_s)
        if notice.limit_per_s is None:
            return self.end_limit(asked_s) or is_news
        is_changed = notice.limit_per_s != self.limit_per_s
        self.limit_per_s, self.limit_named_s = notice.limit_per_s, now_s
        return is_news or is_changed

    def end_limit(self, asked_s: float) -> bool:
        """End the limit where a request sent after it was named got an answer without it."""
        if self.limit_per_s is None or asked_s <= self.limit_named_s:
            return False
        self.limit_per_s = None
        return True


class NoticeBook:
    """Hold which targets a gateway must leave alone, whoever decides.

    The decider knows the same, but it may have just taken over, or decide by a message that
    is on its way: what is kept here is asked right before a request is sent.
    """

    def __init__(self) -> None:
        self._known: OrderedDict[str, _Known] = OrderedDict()

    def note(self, notice: TargetNotice, asked_s: float, now_s: float) -> bool:
        """Take what the answer to a request said; tell whether it is news.

        Parameters
        ----------
        asked_s
            When the request was sent, in seconds.
        """
        known = self._find(notice.target, notice.born_ms)
        says_nothing = not notice.is_leaving and notice.rest_s <= 0.0
        if says_nothing and notice.limit_per_s is None:
            return known is not None and known.end_limit(asked_s)
        if known is None:
            known = self._known[notice.target] = _Known(notice.born_ms)
        self._known.move_to_end(notice.target)
        while len(self._known) > _MAX_KNOWN:
            self._known.popitem(last=False)
        return known.take(notice, asked_s, now_s)

    def judge(self, target: str, born_ms: int, now_s: float) -> KeptBack | None:
        """Return why nothing may be sent to a target now, or None."""
        known = self._find(target, born_ms)
        if known is None:
            return None
        if known.is_leaving:
            return KeptBack.LEAVING
        return KeptBack.RESTING if now_s < known.rests_until_s else None

    def _find(self, target: str, born_ms: int) -> _Known | None:
        """Return what is known of a target's present life."""
        known = self._known.get(target)
        if known is None:
            return None
        return known if is_same_life(known.born_ms, born_ms) else None

    def describe(self, target: str, now_s: float) -> TargetNotice:
        """Return what a decider is told of a target."""
        known = self._known.get(target) or _Known(0)
        rest_s = max(0.0, known.rests_until_s - now_s)
        return TargetNotice(
            target, known.born_ms, known.is_leaving, rest_s, limit_per_s=known.limit_per_s
        )

    def list_notices(self, now_s: float) -> list[TargetNotice]:
        """Return all that still binds, for a decider that does not know it."""
        return [
            self.describe(target, now_s)
            for target, known in self._known.items()
            if known.is_leaving or now_s < known.rests_until_s or known.limit_per_s is not None
        ]

    def follow_list(self, listed: Iterable[ListedTarget], now_s: float) -> None:
        """Forget rests that are over, and targets that are long gone or back in service."""
        states = {entry.target: entry.state for entry in listed}
        for target, known in list(self._known.items()):
            if known.is_leaving:
                is_over = _is_leaving_over(known, states.get(target), now_s)
            else:
                is_over = now_s >= known.rests_until_s and known.limit_per_s is None
            if is_over:
                del self._known[target]


def _is_leaving_over(known: _Known, listed: ListedState | None, now_s: float) -> bool:
    """Tell whether a target that left cannot be meant any more; None is not listed."""
    if known.confirmed_s is None and listed is ListedState.ready:
        # The list lags behind what the target says.
        return False
    known.confirmed_s = now_s if known.confirmed_s is None else known.confirmed_s
    return listed is not ListedState.draining and now_s - known.confirmed_s > _BACK_AFTER_S
