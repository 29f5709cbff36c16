"""Model a rollout with delayed proposals and with stale or restarted deciders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from troutstand.core.rollouts.admission import Admission, ServiceRolloutView, admit_versions
from troutstand.core.rollouts.state import advance, find_rollout
from troutstand.generated.messages import (
    RolloutBook,
    RolloutOrder,
    RolloutState,
    ServiceRollout,
)
from troutstand.testing.models.check import ModelSpec, Step

_SERVICE = "work"
_OLD, _NEW = "v1", "v2"
_NUMBER = 1
_LEASE_S = 2
# Bounds the search when `advance` allows changes after a final state.
_MAX_CHANGES = 3
_FINAL_STATES = (RolloutState.completed, RolloutState.rolled_back)

Advance = Callable[[RolloutBook, str, int, RolloutState, str], RolloutBook]


@dataclass(frozen=True)
class Decider:
    """Hold the rollout state that a decider knows and when it was confirmed.

    Parameters
    ----------
    clock_lag_s
        Suspended time that its clock missed.
    """

    known_state: RolloutState | None = None
    confirmed_s: int = -_LEASE_S
    clock_lag_s: int = 0


@dataclass(frozen=True)
class World:
    """Hold the time, the decided states and the deciders.

    Parameters
    ----------
    history
        The decided states and their times.
    proposed
        The states that a scheduler proposed and that no keeper has received.
    """

    now_s: int = 0
    history: tuple[tuple[RolloutState, int], ...] = ((RolloutState.in_progress, 0),)
    proposed: frozenset[RolloutState] = frozenset()
    deciders: tuple[Decider, ...] = ()
    restart_count: int = 0

    @property
    def state(self) -> RolloutState:
        """Return the latest decided state."""
        return self.history[-1][0]


def advance_unchecked(
    book: RolloutBook, service: str, number: int, state: RolloutState, detail: str
) -> RolloutBook:
    """Move an order to any state, even after a final state (deliberately faulty)."""
    current = find_rollout(book, service)
    assert current is not None
    assert current.order is not None
    order = msgspec.structs.replace(current.order, state=state, detail=detail)
    return RolloutBook([msgspec.structs.replace(current, order=order)])


def _make_rollout(state: RolloutState) -> ServiceRollout:
    in_force = _NEW if state is RolloutState.completed else _OLD
    rejected = [_NEW] if state is RolloutState.rolled_back else []
    replaced = [_OLD] if state is RolloutState.completed else []
    order = RolloutOrder(_NUMBER, _NEW, 12.0, 0.0, state)
    return ServiceRollout(_SERVICE, in_force, order, rejected, [_OLD, _NEW], replaced)


@dataclass(frozen=True)
class RolloutModel:
    """Configure the bounds of the search and the safeguards.

    Parameters
    ----------
    advance
        Moves an order to its next state.
    requires_lease
        Whether a canary version needs a recent confirmation by a keeper.
    suspends_host
        Whether the host of the first decider may be suspended.
    counts_suspended_time
        Whether the clocks of the deciders include the suspended time.
    """

    decider_count: int = 1
    end_s: int = 5
    max_restarts: int = 1
    advance: Advance = advance
    requires_lease: bool = True
    suspends_host: bool = False
    counts_suspended_time: bool = True

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        return ModelSpec(
            "rollout",
            World(deciders=(Decider(),) * self.decider_count),
            self._list_steps,
            {
                "one end at most": _has_at_most_one_end,
                "nothing goes to a version that was rolled back": self._excludes_rolled_back,
                "deciders aware of completion close the old version": self._excludes_replaced,
            },
        )

    def _admit(self, world: World, decider: Decider) -> dict[str, Admission]:
        age_s = world.now_s - decider.clock_lag_s - decider.confirmed_s
        is_leased = not self.requires_lease or age_s < _LEASE_S
        rollout = _make_rollout(decider.known_state) if decider.known_state is not None else None
        return admit_versions(ServiceRolloutView(rollout, is_leased, may_sample=True), [_OLD, _NEW])

    def _excludes_rolled_back(self, world: World) -> bool:
        """Return whether a rolled-back version is closed once earlier leases have expired."""
        state, decided_s = world.history[-1]
        if state is not RolloutState.rolled_back or world.now_s < decided_s + _LEASE_S:
            return True
        informed = [d for d in world.deciders if d.known_state is not None]
        return all(self._admit(world, d)[_NEW] is Admission.CLOSED for d in informed)

    def _excludes_replaced(self, world: World) -> bool:
        informed = [d for d in world.deciders if d.known_state is RolloutState.completed]
        closed = (Admission.CLOSED, Admission.RESUMED)
        return all(self._admit(world, d)[_OLD] in closed for d in informed)

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        if world.now_s < self.end_s:
            steps.append(Step("time passes", replace(world, now_s=world.now_s + 1)))
            if self.suspends_host:
                steps.append(self._suspend(world))
        for state in RolloutState:
            if state is not RolloutState.in_progress and state not in world.proposed:
                proposed = world.proposed | {state}
                steps.append(Step(f"{state.value} is proposed", replace(world, proposed=proposed)))
        if len(world.history) <= _MAX_CHANGES:
            steps += [self._decide(world, state) for state in world.proposed]
        for number in range(self.decider_count):
            clock_lag_s = world.deciders[number].clock_lag_s
            updated = Decider(world.state, world.now_s - clock_lag_s, clock_lag_s)
            steps.append(
                Step(f"decider {number} updates", _replace_decider(world, number, updated))
            )
            if world.restart_count < self.max_restarts:
                reset = Decider(clock_lag_s=clock_lag_s)
                restarted = _replace_decider(
                    replace(world, restart_count=world.restart_count + 1), number, reset
                )
                steps.append(Step(f"decider {number} restarts", restarted))
        return steps

    def _suspend(self, world: World) -> Step[World]:
        """Advance the time by one second while the first decider's host is suspended."""
        after = replace(world, now_s=world.now_s + 1)
        if not self.counts_suspended_time:
            first = world.deciders[0]
            after = _replace_decider(after, 0, replace(first, clock_lag_s=first.clock_lag_s + 1))
        return Step("decider 0 is suspended while time passes", after)

    def _decide(self, world: World, state: RolloutState) -> Step[World]:
        """Deliver a proposal to the keepers, possibly late."""
        book = RolloutBook([_make_rollout(world.state)])
        rollout = find_rollout(self.advance(book, _SERVICE, _NUMBER, state, ""), _SERVICE)
        assert rollout is not None
        assert rollout.order is not None
        history = world.history
        if rollout.order.state is not world.state:
            history = (*history, (rollout.order.state, world.now_s))
        after = replace(world, proposed=world.proposed - {state}, history=history)
        return Step(f"{state.value} reaches the keepers", after)


def _has_at_most_one_end(world: World) -> bool:
    return sum(state in _FINAL_STATES for state, _ in world.history) <= 1


def _replace_decider(world: World, number: int, decider: Decider) -> World:
    deciders = tuple(decider if n == number else d for n, d in enumerate(world.deciders))
    return replace(world, deciders=deciders)
