"""Grant the scheduler role of a failure domain to one process at a time.

A lease is held by the votes of a majority of keepers or, if the domain is cut off
from them, of every entry process of the domain. A holder always votes for itself
and a voter votes for one holder at a time, so two holders cannot exist: two
majorities intersect, and a unanimous vote includes the other holder. Votes expire
by the voter's clock and leases by the holder's, counted from before the request;
this assumes bounded clock drift (Gray and Cheriton, "Leases", SOSP 1989).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.generated.messages import LeaseAsk, LeaseRelease, LeaseVote

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.ids import ProcessId

_MILLISECONDS = 1000
# Holders end a lease early by this share of its duration, to allow for clock drift.
CLOCK_DRIFT_SHARE = 0.1


@dataclass
class _Vote:
    holder: str
    incarnation: str
    until_s: float


@dataclass
class LeaseVoter:
    """Vote for at most one holder of each resource at a time.

    Parameters
    ----------
    abstain_until_s
        A restarted voter has lost its votes and casts none until all earlier ones have
        expired.
    """

    abstain_until_s: float
    _votes: dict[str, _Vote] = field(default_factory=dict)

    def handle_ask(self, ask: LeaseAsk, now_s: float) -> LeaseVote:
        """Vote for a candidate unless a vote for another one is unexpired."""
        vote = self._votes.get(ask.resource)
        if now_s < self.abstain_until_s:
            return LeaseVote(False, "", _to_ms(self.abstain_until_s - now_s))
        if vote and vote.until_s > now_s and not _is_same_holder(vote, ask):
            return LeaseVote(False, vote.holder, _to_ms(vote.until_s - now_s))
        until_s = now_s + ask.lease_ms / _MILLISECONDS
        self._votes[ask.resource] = _Vote(ask.holder, ask.incarnation, until_s)
        return LeaseVote(True, ask.holder, ask.lease_ms)

    def handle_release(self, release: LeaseRelease) -> None:
        """Withdraw the vote for a holder that releases its lease."""
        vote = self._votes.get(release.resource)
        if vote and vote.holder == release.holder and vote.incarnation == release.incarnation:
            del self._votes[release.resource]

    def drop_ended_holders(self, is_ended: Callable[[str], bool]) -> None:
        """Withdraw votes for processes that are known to have ended."""
        ended = [name for name, vote in self._votes.items() if is_ended(vote.holder)]
        for name in ended:
            del self._votes[name]


def _is_same_holder(vote: _Vote, ask: LeaseAsk) -> bool:
    return vote.holder == ask.holder and vote.incarnation == ask.incarnation


def _to_ms(seconds: float) -> int:
    return max(0, int(seconds * _MILLISECONDS))


@dataclass
class LeaseHolder:
    """Track votes and tell whether the lease is held.

    Parameters
    ----------
    keepers
        Voters; a majority suffices.
    domain_members
        Entry processes of the failure domain; all of them suffice.
    """

    holder: ProcessId
    lease_s: float
    keepers: frozenset[ProcessId]
    domain_members: frozenset[ProcessId]
    _votes: dict[ProcessId, float] = field(default_factory=dict)

    def record_vote(self, voter: ProcessId, vote: LeaseVote, requested_s: float) -> None:
        """Record a vote, valid from the time of the request."""
        if vote.granted:
            self._votes[voter] = requested_s + self.lease_s * (1 - CLOCK_DRIFT_SHARE)
        else:
            self._votes.pop(voter, None)

    def clear_votes(self) -> None:
        """Drop all votes after the lease was released."""
        self._votes.clear()

    def is_held(self, now_s: float) -> bool:
        """Tell whether the unexpired votes suffice."""
        valid = {voter for voter, until_s in self._votes.items() if until_s > now_s}
        if self.holder not in valid:
            return False
        votes = len(valid & self.keepers)
        has_majority = bool(self.keepers) and votes >= len(self.keepers) // 2 + 1
        return has_majority or self.domain_members <= valid
