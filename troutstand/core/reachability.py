"""Detect from failed requests which failure domains cannot reach each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from troutstand.generated.messages import Ending

if TYPE_CHECKING:
    from troutstand.generated.messages import Ended

# Outcomes that indicate an interrupted or a working link. A broken connection indicates
# neither, since either end may have closed it.
_UNREACHED = frozenset({Ending.unsent, Ending.silent})
_REACHED = frozenset({Ending.whole, Ending.failed, Ending.turned_away})
# A single failed target may have crashed.
_MIN_FAILED_TARGETS = 2
# Failures within this window count together.
_FAILURE_WINDOW_S = 1.5
# Interval between probes of a blocked link.
_PROBE_INTERVAL_S = 1.0

# Destination that stands for all other failure domains.
ANY_DOMAIN = "*"


class Link(NamedTuple):
    """Identify the network link from a gateway's failure domain to a target's, or to all others."""

    source: str
    destination: str


@dataclass
class LinkState:
    """Track the failures of one link; times in seconds."""

    failed_at_s: dict[str, float] = field(default_factory=dict)
    blocked_until_s: float = float("-inf")

    @property
    def is_blocked(self) -> bool:
        """Return whether the link was blocked since the last answer."""
        return self.blocked_until_s > float("-inf")


@dataclass(frozen=True)
class LinkChange:
    """Report for the log that a link was blocked or opened."""

    link: Link
    is_open: bool
    targets: tuple[str, ...] = ()


class Reachability:
    """Block links between failure domains that cannot reach each other.

    This saves requests from failing at each target of an unreachable domain in turn.
    """

    def __init__(self) -> None:
        self._links: dict[Link, LinkState] = {}
        self._changes: list[LinkChange] = []

    def drain_changes(self) -> list[LinkChange]:
        """Return the links blocked or opened since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def record_ending(self, link: Link, ended: Ended, now_s: float) -> None:
        """Update a link from the outcome of a request."""
        if ended.is_target_gone:
            # The target's host refused the connection, so the link works. Counted as a failure,
            # a few crashed targets would block links that work.
            self.record_reachable(link)
        elif ended.ending in _UNREACHED:
            self.record_unreachable(link, ended.target, now_s)
        elif ended.ending in _REACHED:
            self.record_reachable(link)

    def record_reachable(self, link: Link) -> None:
        """Open a link by which an answer came."""
        if not self._links or link.source == link.destination:
            return
        for key in (link, _get_any_link(link)):
            state = self._links.pop(key, None)
            if state is not None and state.is_blocked:
                self._changes.append(LinkChange(key, is_open=True))

    def record_unreachable(self, link: Link, target: str, now_s: float) -> None:
        """Record a target that could not be reached or did not answer."""
        if link.source == link.destination:
            return
        for key in (link, _get_any_link(link)):
            self._record_failed(key, target, now_s)

    def _record_failed(self, link: Link, target: str, now_s: float) -> None:
        state = self._links.setdefault(link, LinkState())
        state.failed_at_s = {
            t: at_s for t, at_s in state.failed_at_s.items() if now_s - at_s < _FAILURE_WINDOW_S
        }
        state.failed_at_s[target] = now_s
        if not state.is_blocked and len(state.failed_at_s) < _MIN_FAILED_TARGETS:
            return
        if not state.is_blocked:
            self._changes.append(LinkChange(link, is_open=False, targets=tuple(state.failed_at_s)))
        state.blocked_until_s = now_s + _PROBE_INTERVAL_S

    def is_open(self, link: Link, now_s: float) -> bool:
        """Return whether requests may be sent over a link."""
        if not self._links or link.source == link.destination:
            return True
        states = (self._links.get(link), self._links.get(_get_any_link(link)))
        return all(state is None or now_s >= state.blocked_until_s for state in states)

    def record_sent(self, link: Link, now_s: float) -> None:
        """Count a request over a blocked link as its probe."""
        if not self._links or link.source == link.destination:
            return
        for key in (link, _get_any_link(link)):
            state = self._links.get(key)
            if state is not None and state.is_blocked:
                state.blocked_until_s = now_s + _PROBE_INTERVAL_S


def _get_any_link(link: Link) -> Link:
    """Return the link from the same source to all other failure domains."""
    return Link(link.source, ANY_DOMAIN)
