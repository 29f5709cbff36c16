"""Model the scheduler's lease: candidates that are suspended, voters that restart, slow answers."""

from __future__ import annotations

from dataclasses import dataclass, replace

from troutstand.core.ids import ProcessId
from troutstand.core.lease import LeaseHolder, LeaseVoter, _Vote
from troutstand.generated.messages import LeaseAsk, LeaseVote
from troutstand.testing.models.check import ModelSpec, Step

_RESOURCE = "scheduler/north"
_LEASE_S = 3
_MILLISECONDS = 1000


@dataclass(frozen=True)
class Ballot:
    """Keep what one voter promised, and until when it casts no vote."""

    holder: str = ""
    until_s: float = 0.0
    abstain_until_s: float = 0.0


@dataclass(frozen=True)
class World:
    """Hold the time, the voters' votes and what each candidate counted."""

    now_s: int
    voters: tuple[tuple[str, Ballot], ...]
    counted: frozenset[tuple[str, str, float]] = frozenset()
    asked: frozenset[tuple[str, int]] = frozenset()
    restarts: int = 0
    # By how many seconds each candidate's own clock is behind, since it stood still.
    behind: tuple[tuple[str, int], ...] = ()

    def read_clock(self, name: str) -> int:
        """Return the time by a candidate's own clock."""
        return self.now_s - dict(self.behind).get(name, 0)


@dataclass(frozen=True)
class LeaseModel:
    """Choose the site and which guard is taken out.

    Parameters
    ----------
    silence
        Whether a voter that restarted keeps silent for a lease's length.
    own_vote
        Whether a holder needs its own vote.
    suspended
        Candidates whose hosts may be suspended for any time.
    counts_suspends
        Whether the clock that candidates go by counts that time.
    """

    keepers: tuple[str, ...] = ("k0", "k1", "k2")
    entries: tuple[str, ...] = ("a", "b")
    end_s: int = 5
    restarts: int = 1
    silence: bool = True
    own_vote: bool = True
    suspended: tuple[str, ...] = ()
    counts_suspends: bool = True

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        voters = tuple((name, Ballot()) for name in (*self.keepers, *self.entries))
        return ModelSpec(
            "lease",
            World(0, voters),
            self._list_steps,
            {"one holder at a time": self._has_one_holder},
        )

    def _has_one_holder(self, world: World) -> bool:
        return sum(self._is_held(world, name) for name in self.entries) <= 1

    def _is_held(self, world: World, name: str) -> bool:
        votes = {ProcessId(voter): until for who, voter, until in world.counted if who == name}
        if not self.own_vote:
            votes[ProcessId(name)] = world.read_clock(name) + 1
        holder = LeaseHolder(
            ProcessId(name),
            _LEASE_S,
            frozenset(map(ProcessId, self.keepers)),
            frozenset(map(ProcessId, self.entries)),
            votes,
        )
        return holder.is_held(world.read_clock(name))

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        if world.now_s < self.end_s:
            steps.append(Step("time passes", _advance(world)))
            steps += [self._suspend(world, name) for name in self.suspended]
        for candidate in self.entries:
            if not any(who == candidate for who, _ in world.asked):
                asked = world.asked | {(candidate, world.read_clock(candidate))}
                steps.append(Step(f"{candidate} asks", replace(world, asked=asked)))
        for candidate, asked_s in world.asked:
            steps += [self._vote(world, candidate, asked_s, name) for name, _ in world.voters]
        if world.restarts < self.restarts:
            steps += [self._restart(world, name) for name in self.keepers]
        return steps

    def _suspend(self, world: World, name: str) -> Step[World]:
        """Let a second pass in which a candidate's host is suspended."""
        if not self.counts_suspends:
            behind = {**dict(world.behind), name: dict(world.behind).get(name, 0) + 1}
            world = replace(world, behind=tuple(sorted(behind.items())))
        return Step(f"{name} is suspended while time passes", _advance(world))

    def _vote(self, world: World, candidate: str, asked_s: int, name: str) -> Step[World]:
        """Let a voter take an ask, however late, and the candidate its answer."""
        voter = LeaseVoter(0.0)
        held = dict(world.voters)[name]
        voter.abstain_until_s = held.abstain_until_s
        if held.holder:
            voter._votes[_RESOURCE] = _Vote(held.holder, held.holder, held.until_s)
        ask = LeaseAsk(_RESOURCE, candidate, candidate, _LEASE_S * _MILLISECONDS)
        vote = voter.handle_ask(ask, world.now_s)
        after = replace(world, voters=_replace_voter(world, name, _keep(voter, held)))
        return Step(
            f"{name} votes on {candidate}", self._count(after, candidate, name, vote, asked_s)
        )

    def _count(
        self, world: World, candidate: str, name: str, vote: LeaseVote, asked_s: int
    ) -> World:
        kept = frozenset(c for c in world.counted if (c[0], c[1]) != (candidate, name))
        holder = LeaseHolder(ProcessId(candidate), _LEASE_S, frozenset(), frozenset())
        holder.record_vote(ProcessId(name), vote, asked_s)
        new = frozenset((candidate, voter, until) for voter, until in holder._votes.items())
        return replace(world, counted=kept | new)

    def _restart(self, world: World, name: str) -> Step[World]:
        abstain_until_s = world.now_s + _LEASE_S if self.silence else 0.0
        blank = Ballot(abstain_until_s=abstain_until_s)
        voters = _replace_voter(world, name, blank)
        return Step(f"{name} restarts", replace(world, voters=voters, restarts=world.restarts + 1))


def _keep(voter: LeaseVoter, held: Ballot) -> Ballot:
    vote = voter._votes.get(_RESOURCE)
    if vote is None:
        return held
    return Ballot(vote.holder, vote.until_s, held.abstain_until_s)


def _replace_voter(world: World, name: str, ballot: Ballot) -> tuple[tuple[str, Ballot], ...]:
    return tuple((n, ballot if n == name else b) for n, b in world.voters)


def _advance(world: World) -> World:
    """Let a second pass, and forget what has run out."""
    now_s = world.now_s + 1
    after = replace(world, now_s=now_s)
    counted = frozenset(c for c in world.counted if c[2] > after.read_clock(c[0]))
    asked = frozenset(a for a in world.asked if a[1] + _LEASE_S > after.read_clock(a[0]))
    return replace(after, counted=counted, asked=asked)
