"""Model the scheduler lease with suspended candidates, restarted voters and delayed replies."""

from __future__ import annotations

from dataclasses import dataclass, replace

from troutstand.core.ids import ProcessId
from troutstand.core.lease import LeaseHolder, LeaseVoter, _Vote
from troutstand.generated.messages import LeaseAsk, LeaseVote
from troutstand.testing.models.check import ModelSpec, Step

_RESOURCE = "scheduler/north"
_LEASE_S = 3
_MS_PER_S = 1000


@dataclass(frozen=True)
class VoterState:
    """Hold one voter's vote and the end of its abstention."""

    holder: str = ""
    until_s: float = 0.0
    abstain_until_s: float = 0.0


@dataclass(frozen=True)
class World:
    """Hold the time, the voters and the votes that each candidate counted."""

    now_s: int
    voters: tuple[tuple[str, VoterState], ...]
    counted_votes: frozenset[tuple[str, str, float]] = frozenset()
    requests: frozenset[tuple[str, int]] = frozenset()
    restart_count: int = 0
    # Seconds of suspension that each candidate's clock missed.
    clock_lag_s: tuple[tuple[str, int], ...] = ()

    def read_clock(self, name: str) -> int:
        """Return the time on a candidate's clock."""
        return self.now_s - dict(self.clock_lag_s).get(name, 0)


@dataclass(frozen=True)
class LeaseModel:
    """Configure the voters, the candidates and the safeguards.

    Parameters
    ----------
    abstains_after_restart
        Whether a voter casts no vote for one lease duration after a restart.
    needs_own_vote
        Whether the holder needs its own vote.
    suspendable
        Candidates whose hosts may be suspended.
    counts_suspended_time
        Whether the clock of the candidates includes the suspended time.
    """

    keepers: tuple[str, ...] = ("k0", "k1", "k2")
    candidates: tuple[str, ...] = ("a", "b")
    end_s: int = 5
    max_restarts: int = 1
    abstains_after_restart: bool = True
    needs_own_vote: bool = True
    suspendable: tuple[str, ...] = ()
    counts_suspended_time: bool = True

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        voters = tuple((name, VoterState()) for name in (*self.keepers, *self.candidates))
        return ModelSpec(
            "lease",
            World(0, voters),
            self._list_steps,
            {"one holder at a time": self._has_at_most_one_holder},
        )

    def _has_at_most_one_holder(self, world: World) -> bool:
        return sum(self._is_held(world, name) for name in self.candidates) <= 1

    def _is_held(self, world: World, name: str) -> bool:
        votes = {
            ProcessId(voter): until
            for holder_name, voter, until in world.counted_votes
            if holder_name == name
        }
        if not self.needs_own_vote:
            votes[ProcessId(name)] = world.read_clock(name) + 1
        holder = LeaseHolder(
            ProcessId(name),
            _LEASE_S,
            frozenset(map(ProcessId, self.keepers)),
            frozenset(map(ProcessId, self.candidates)),
            votes,
        )
        return holder.is_held(world.read_clock(name))

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        if world.now_s < self.end_s:
            steps.append(Step("time passes", _advance(world)))
            steps += [self._suspend(world, name) for name in self.suspendable]
        for candidate in self.candidates:
            if not any(holder_name == candidate for holder_name, _ in world.requests):
                requests = world.requests | {(candidate, world.read_clock(candidate))}
                steps.append(
                    Step(f"{candidate} requests the lease", replace(world, requests=requests))
                )
        for candidate, requested_s in world.requests:
            steps += [self._vote(world, candidate, requested_s, name) for name, _ in world.voters]
        if world.restart_count < self.max_restarts:
            steps += [self._restart(world, name) for name in self.keepers]
        return steps

    def _suspend(self, world: World, name: str) -> Step[World]:
        """Advance the time by one second while a candidate's host is suspended."""
        if not self.counts_suspended_time:
            clock_lag_s = {
                **dict(world.clock_lag_s),
                name: dict(world.clock_lag_s).get(name, 0) + 1,
            }
            world = replace(world, clock_lag_s=tuple(sorted(clock_lag_s.items())))
        return Step(f"{name} is suspended while time passes", _advance(world))

    def _vote(self, world: World, candidate: str, requested_s: int, name: str) -> Step[World]:
        """Deliver a request to a voter, possibly late, and its reply to the candidate."""
        voter = LeaseVoter(0.0)
        previous = dict(world.voters)[name]
        voter.abstain_until_s = previous.abstain_until_s
        if previous.holder:
            voter._votes[_RESOURCE] = _Vote(previous.holder, previous.holder, previous.until_s)
        request = LeaseAsk(_RESOURCE, candidate, candidate, _LEASE_S * _MS_PER_S)
        vote = voter.handle_ask(request, world.now_s)
        after = replace(world, voters=_replace_voter(world, name, _capture_voter(voter, previous)))
        return Step(
            f"{name} votes on {candidate}",
            self._record_vote(after, candidate, name, vote, requested_s),
        )

    def _record_vote(
        self, world: World, candidate: str, name: str, vote: LeaseVote, requested_s: int
    ) -> World:
        other_votes = frozenset(v for v in world.counted_votes if (v[0], v[1]) != (candidate, name))
        holder = LeaseHolder(ProcessId(candidate), _LEASE_S, frozenset(), frozenset())
        holder.record_vote(ProcessId(name), vote, requested_s)
        new_votes = frozenset((candidate, voter, until) for voter, until in holder._votes.items())
        return replace(world, counted_votes=other_votes | new_votes)

    def _restart(self, world: World, name: str) -> Step[World]:
        abstain_until_s = world.now_s + _LEASE_S if self.abstains_after_restart else 0.0
        initial = VoterState(abstain_until_s=abstain_until_s)
        voters = _replace_voter(world, name, initial)
        return Step(
            f"{name} restarts", replace(world, voters=voters, restart_count=world.restart_count + 1)
        )


def _capture_voter(voter: LeaseVoter, previous: VoterState) -> VoterState:
    vote = voter._votes.get(_RESOURCE)
    if vote is None:
        return previous
    return VoterState(vote.holder, vote.until_s, previous.abstain_until_s)


def _replace_voter(
    world: World, name: str, state: VoterState
) -> tuple[tuple[str, VoterState], ...]:
    return tuple((n, state if n == name else s) for n, s in world.voters)


def _advance(world: World) -> World:
    """Advance the time by one second and drop expired votes and requests."""
    now_s = world.now_s + 1
    after = replace(world, now_s=now_s)
    counted_votes = frozenset(v for v in world.counted_votes if v[2] > after.read_clock(v[0]))
    requests = frozenset(r for r in world.requests if r[1] + _LEASE_S > after.read_clock(r[0]))
    return replace(after, counted_votes=counted_votes, requests=requests)
