"""Grant one process at a time the scheduler's role of a failure domain.

A lease is held by the votes of a majority of keepers, or, where the domain is
cut off from them, of every entry process of the domain. A holder always votes
for itself, and no voter votes for two, so that two holders cannot be: two
majorities meet, and every unanimous vote needs the other holder's own.
The gap is time: a vote ends by the voter's clock, a lease by the holder's,
counted from before the ask; bounded drift of clock rates is assumed, as in
Gray and Cheriton, "Leases" (SOSP 1989).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.generated.messages import LeaseAsk, LeaseRelease, LeaseVote

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.ids import ProcessId

_MILLISECONDS = 1000
# Holders give up this share of a lease early, for drift of clock rates.
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
        A voter that restarted forgot its votes; it casts none until every
        earlier one has run out.
    """

    abstain_until_s: float
    _votes: dict[str, _Vote] = field(default_factory=dict)

    def handle_ask(self, ask: LeaseAsk, now_s: float) -> LeaseVote:
        """Vote for the asker unless another's vote still runs."""
        vote = self._votes.get(ask.resource)
        if now_s < self.abstain_until_s:
            return LeaseVote(False, "", _to_ms(self.abstain_until_s - now_s))
        if vote and vote.until_s > now_s and not _is_same(vote, ask):
            return LeaseVote(False, vote.holder, _to_ms(vote.until_s - now_s))
        until_s = now_s + ask.lease_ms / _MILLISECONDS
        self._votes[ask.resource] = _Vote(ask.holder, ask.incarnation, until_s)
        return LeaseVote(True, ask.holder, ask.lease_ms)

    def handle_release(self, release: LeaseRelease) -> None:
        """Take the vote back that a holder no longer needs."""
        vote = self._votes.get(release.resource)
        if vote and vote.holder == release.holder and vote.incarnation == release.incarnation:
            del self._votes[release.resource]

    def drop_ended_holders(self, is_ended: Callable[[str], bool]) -> None:
        """Take votes back from processes that have surely ended."""
        ended = [name for name, vote in self._votes.items() if is_ended(vote.holder)]
        for name in ended:
            del self._votes[name]


def _is_same(vote: _Vote, ask: LeaseAsk) -> bool:
    return vote.holder == ask.holder and vote.incarnation == ask.incarnation


def _to_ms(seconds: float) -> int:
    return max(0, int(seconds * _MILLISECONDS))


@dataclass
class LeaseHolder:
    """Count votes and tell whether the lease is held.

    Parameters
    ----------
    keepers
        Voters of which a majority suffices.
    domain
        Entry processes of the failure domain, all of which suffice.
    """

    holder: ProcessId
    lease_s: float
    keepers: frozenset[ProcessId]
    domain_members: frozenset[ProcessId]
    _votes: dict[ProcessId, float] = field(default_factory=dict)

    def record_vote(self, voter: ProcessId, vote: LeaseVote, asked_s: float) -> None:
        """Count a vote from the moment before it was asked for."""
        if vote.granted:
            self._votes[voter] = asked_s + self.lease_s * (1 - CLOCK_DRIFT_SHARE)
        else:
            self._votes.pop(voter, None)

    def clear_votes(self) -> None:
        """Forget all votes: the lease was given back."""
        self._votes.clear()

    def is_held(self, now_s: float) -> bool:
        """Tell whether the votes that still run suffice."""
        running = {voter for voter, until_s in self._votes.items() if until_s > now_s}
        if self.holder not in running:
            return False
        votes = len(running & self.keepers)
        has_majority = bool(self.keepers) and votes >= len(self.keepers) // 2 + 1
        return has_majority or self.domain_members <= running
