"""Write-once registers, decided by a majority of keepers without a leader.

Each register is one instance of single-decree Paxos (Lamport, "Paxos Made
Simple", 2001). Round 0 skips the prepare phase; only the single process that the
register's name or value designates may use it, and for one value only.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.generated.messages import (
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    RegisterState,
)

if TYPE_CHECKING:
    from troutstand.core.ids import ProcessId, RegisterName

INITIAL_ROUND = 0


def rank_ballot(ballot: Ballot | None) -> tuple[int, str]:
    """Return a sort key of a ballot; None sorts first."""
    if ballot is None:
        return (-1, "")
    return (ballot.round, ballot.proposer)


def handle_prepare(state: RegisterState, message: Prepare) -> tuple[RegisterState, Promise]:
    """Promise a ballot unless a higher one was promised."""
    granted = rank_ballot(message.ballot) >= rank_ballot(state.promised)
    if granted:
        state = _update_state(state, promised=message.ballot)
    reply = Promise(
        register=message.register,
        ballot=message.ballot,
        granted=granted,
        promised=state.promised,
        accepted=state.accepted,
        value=state.value,
    )
    return state, reply


def handle_accept(state: RegisterState, message: Accept) -> tuple[RegisterState, Accepted]:
    """Accept a value unless a higher ballot was promised."""
    granted = rank_ballot(message.ballot) >= rank_ballot(state.promised)
    if granted:
        state = _update_state(
            state, promised=message.ballot, accepted=message.ballot, value=message.value
        )
    reply = Accepted(
        register=message.register,
        ballot=message.ballot,
        granted=granted,
        promised=state.promised,
    )
    return state, reply


def _update_state(
    state: RegisterState,
    promised: Ballot,
    accepted: Ballot | None = None,
    value: bytes | None = None,
) -> RegisterState:
    return RegisterState(
        register=state.register,
        promised=promised,
        accepted=accepted or state.accepted,
        value=value if accepted else state.value,
        changed_at_s=state.changed_at_s,
    )


@dataclass(frozen=True)
class Broadcast:
    """Send a message to every keeper."""

    message: Prepare | Accept


@dataclass(frozen=True)
class Decided:
    """Report the decided value, which no later ballot can change."""

    value: bytes


@dataclass(frozen=True)
class NoValue:
    """Report that a majority had accepted no value when read."""


@dataclass(frozen=True)
class Preempted:
    """Report a higher ballot of another proposer; retry above its round."""

    round: int


Step = Broadcast | Decided | NoValue | Preempted


@dataclass
class Proposer:
    """Drive one ballot for one register.

    Parameters
    ----------
    value
        The value to propose if none was accepted; None only reads.
    voters
        The voting keepers.
    """

    register: RegisterName
    value: bytes | None
    ballot: Ballot
    epoch: int
    voters: frozenset[ProcessId]
    _promises: dict[ProcessId, Promise] = field(default_factory=dict)
    _accepted: set[ProcessId] = field(default_factory=set)
    _proposed: bytes | None = None

    @property
    def quorum(self) -> int:
        """Return the number of keepers in a majority."""
        return len(self.voters) // 2 + 1

    def start(self) -> Step:
        """Start the ballot; round 0 skips the prepare phase."""
        if self.ballot.round == INITIAL_ROUND and self.value is not None:
            return self._propose(self.value)
        return Broadcast(Prepare(self.register, self.ballot, self.epoch))

    def receive(self, keeper: ProcessId, reply: Promise | Accepted) -> Step | None:
        """Handle a keeper's reply and return the next step, if any."""
        if keeper not in self.voters or reply.ballot != self.ballot:
            return None
        if not reply.granted:
            promised = reply.promised
            return Preempted(promised.round if promised else self.ballot.round)
        match reply:
            case Promise():
                return self._receive_promise(keeper, reply)
            case Accepted():
                return self._receive_accepted(keeper)

    def _receive_promise(self, keeper: ProcessId, reply: Promise) -> Step | None:
        if self._proposed is not None:
            return None
        self._promises[keeper] = reply
        if len(self._promises) < self.quorum:
            return None
        highest = max(self._promises.values(), key=lambda promise: rank_ballot(promise.accepted))
        if highest.accepted is not None and highest.value is not None:
            return self._propose(highest.value)
        if self.value is None:
            return NoValue()
        return self._propose(self.value)

    def _receive_accepted(self, keeper: ProcessId) -> Step | None:
        if self._proposed is None:
            return None
        self._accepted.add(keeper)
        if len(self._accepted) < self.quorum:
            return None
        return Decided(self._proposed)

    def _propose(self, value: bytes) -> Step:
        self._proposed = value
        return Broadcast(Accept(self.register, self.ballot, self.epoch, value))
