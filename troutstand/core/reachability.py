"""Find out from failed sends which failure domains cannot reach each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from troutstand.generated.messages import Ending

if TYPE_CHECKING:
    from troutstand.generated.messages import Ended

# Ends of sends that may tell of a way that is cut, and those that tell it is open; a
# connection that broke may have been dropped at either end.
_UNREACHED = frozenset({Ending.unsent, Ending.silent})
_REACHED = frozenset({Ending.whole, Ending.failed, Ending.turned_away})
# So many targets of a failure domain must fail, with no sign of any other between: one
# may have crashed (chosen, not measured).
_MIN_TARGETS = 2
# Failures count together for so long, in seconds: a target takes 0.2 to 0.5 s to fail.
_TOGETHER_S = 1.5
# A failure domain that seems cut off is tried again with one request after so long, in
# seconds; the request loses the time in which it finds no connection (chosen, not measured).
_HOLD_S = 1.0

# Stands for every other failure domain.
ANY = "*"


class Link(NamedTuple):
    """Name the way from a gateway's failure domain to a target's, or to all others."""

    source: str
    destination: str


@dataclass
class LinkState:
    """Follow one way; times in seconds."""

    failed: dict[str, float] = field(default_factory=dict)
    blocked_until_s: float = float("-inf")

    @property
    def is_blocked(self) -> bool:
        """Tell whether the way was held off since the last answer."""
        return self.blocked_until_s > float("-inf")


@dataclass(frozen=True)
class LinkChange:
    """Tell that a way is held off, or open again, for the log."""

    link: Link
    is_open: bool
    targets: tuple[str, ...] = ()


class Reachability:
    """Hold off targets that gateways of a failure domain cannot reach.

    Without it a failure domain that is cut off finds each target of the others out by
    itself, at 0.3 s a request: 17 and 23 sends in vain in two cuts of 6 s on a site of 11
    targets, and 4 with it (counted in the logs).
    """

    def __init__(self) -> None:
        self._ways: dict[Link, LinkState] = {}
        self._changes: list[LinkChange] = []

    def drain_changes(self) -> list[LinkChange]:
        """Return the ways held off or opened since the last call."""
        taken, self._changes = self._changes, []
        return taken

    def record_ending(self, way: Link, ended: Ended, now_s: float) -> None:
        """Take what the end of a request tells of its way."""
        if ended.is_target_gone:
            # A refused connection comes from the target's own host. Taken for a way that is
            # cut, the ends of five engines closed ways 12 times in 7 s (from the logs).
            self.record_reachable(way)
        elif ended.ending in _UNREACHED:
            self.record_unreachable(way, ended.target, now_s)
        elif ended.ending in _REACHED:
            self.record_reachable(way)

    def record_reachable(self, way: Link) -> None:
        """Take any answer that came by a way as a sign that it is open."""
        if not self._ways or way.source == way.destination:
            return
        for known in (way, _find_any(way)):
            state = self._ways.pop(known, None)
            if state is not None and state.is_blocked:
                self._changes.append(LinkChange(known, is_open=True))

    def record_unreachable(self, way: Link, target: str, now_s: float) -> None:
        """Note a target that could not be reached, or from which nothing came."""
        if way.source == way.destination:
            return
        for known in (way, _find_any(way)):
            self._note_failed(known, target, now_s)

    def _note_failed(self, way: Link, target: str, now_s: float) -> None:
        state = self._ways.setdefault(way, LinkState())
        state.failed = {t: at_s for t, at_s in state.failed.items() if now_s - at_s < _TOGETHER_S}
        state.failed[target] = now_s
        if not state.is_blocked and len(state.failed) < _MIN_TARGETS:
            return
        if not state.is_blocked:
            self._changes.append(LinkChange(way, is_open=False, targets=tuple(state.failed)))
        state.blocked_until_s = now_s + _HOLD_S

    def is_open(self, way: Link, now_s: float) -> bool:
        """Tell whether requests may go a way."""
        if not self._ways or way.source == way.destination:
            return True
        states = (self._ways.get(way), self._ways.get(_find_any(way)))
        return all(state is None or now_s >= state.blocked_until_s for state in states)

    def record_sent(self, way: Link, now_s: float) -> None:
        """Let one request alone try a way that was held off."""
        if not self._ways or way.source == way.destination:
            return
        for known in (way, _find_any(way)):
            state = self._ways.get(known)
            if state is not None and state.is_blocked:
                state.blocked_until_s = now_s + _HOLD_S


def _find_any(way: Link) -> Link:
    """Return the way from the same source to all others, which its own cut closes."""
    return Link(way.source, ANY)
