"""Model a rollout: late proposals for its end, and deciders that hear late or restart."""

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
# A correct book takes no more; without its guard it would change for ever.
_MOST_CHANGES = 3
_ENDS = (RolloutState.completed, RolloutState.rolled_back)

Advance = Callable[[RolloutBook, str, int, RolloutState, str], RolloutBook]


@dataclass(frozen=True)
class Decider:
    """Hold the state that a decider knows, if any, and when it was confirmed by its clock.

    Parameters
    ----------
    behind_s
        How far its clock is behind, since its host was suspended.
    """

    known: RolloutState | None = None
    confirmed_s: int = -_LEASE_S
    behind_s: int = 0


@dataclass(frozen=True)
class World:
    """Hold the time, what the keepers decided when, and what each decider knows.

    Parameters
    ----------
    history
        The states that were decided, with the times.
    proposed
        The states that a scheduler asked for and that have not reached a keeper.
    """

    now_s: int = 0
    history: tuple[tuple[RolloutState, int], ...] = ((RolloutState.in_progress, 0),)
    proposed: frozenset[RolloutState] = frozenset()
    deciders: tuple[Decider, ...] = ()
    restarts: int = 0

    @property
    def state(self) -> RolloutState:
        """Return the newest state that was decided."""
        return self.history[-1][0]


def overturn(
    book: RolloutBook, service: str, number: int, state: RolloutState, detail: str
) -> RolloutBook:
    """Take an order to any state, whatever was decided before."""
    held = find_rollout(book, service)
    assert held is not None
    assert held.order is not None
    order = msgspec.structs.replace(held.order, state=state, detail=detail)
    return RolloutBook([msgspec.structs.replace(held, order=order)])


def _make_rollout(state: RolloutState) -> ServiceRollout:
    in_force = _NEW if state is RolloutState.completed else _OLD
    rejected = [_NEW] if state is RolloutState.rolled_back else []
    order = RolloutOrder(_NUMBER, _NEW, 12.0, 0.0, state)
    return ServiceRollout(_SERVICE, in_force, order, rejected)


@dataclass(frozen=True)
class RolloutModel:
    """Choose the size and which guard is taken out.

    Parameters
    ----------
    advance
        Takes an order to its next state.
    has_lease
        Whether a version on trial needs a keeper's word of late.
    is_suspended
        Whether the first decider's host may be suspended.
    counts_suspends
        Whether a decider's clock goes on meanwhile.
    """

    deciders: int = 1
    end_s: int = 5
    restarts: int = 1
    advance: Advance = advance
    has_lease: bool = True
    is_suspended: bool = False
    counts_suspends: bool = True

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        return ModelSpec(
            "rollout",
            World(deciders=(Decider(),) * self.deciders),
            self._list_steps,
            {
                "one end at most": _has_one_end,
                "nothing goes to a version that was rolled back": self._is_left,
                "who hears of the completion sends nothing to the old version": self._is_moved,
            },
        )

    def _judge(self, world: World, decider: Decider) -> dict[str, Admission]:
        age_s = world.now_s - decider.behind_s - decider.confirmed_s
        is_leased = not self.has_lease or age_s < _LEASE_S
        rollout = _make_rollout(decider.known) if decider.known is not None else None
        return admit_versions(ServiceRolloutView(rollout, is_leased, may_sample=True), [_OLD, _NEW])

    def _is_left(self, world: World) -> bool:
        """Tell whether no decider sends there once the lease from before has run out."""
        state, decided_s = world.history[-1]
        if state is not RolloutState.rolled_back or world.now_s < decided_s + _LEASE_S:
            return True
        knowing = [d for d in world.deciders if d.known is not None]
        return all(self._judge(world, d)[_NEW] is Admission.CLOSED for d in knowing)

    def _is_moved(self, world: World) -> bool:
        knowing = [d for d in world.deciders if d.known is RolloutState.completed]
        return all(self._judge(world, d)[_OLD] is Admission.CLOSED for d in knowing)

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        if world.now_s < self.end_s:
            steps.append(Step("time passes", replace(world, now_s=world.now_s + 1)))
            if self.is_suspended:
                steps.append(self._suspend(world))
        for state in RolloutState:
            if state is not RolloutState.in_progress and state not in world.proposed:
                proposed = world.proposed | {state}
                steps.append(Step(f"{state.value} is asked for", replace(world, proposed=proposed)))
        if len(world.history) <= _MOST_CHANGES:
            steps += [self._decide(world, state) for state in world.proposed]
        for number in range(self.deciders):
            behind_s = world.deciders[number].behind_s
            heard = Decider(world.state, world.now_s - behind_s, behind_s)
            steps.append(Step(f"decider {number} hears", _put(world, number, heard)))
            if world.restarts < self.restarts:
                blank = Decider(behind_s=behind_s)
                restarted = _put(replace(world, restarts=world.restarts + 1), number, blank)
                steps.append(Step(f"decider {number} restarts", restarted))
        return steps

    def _suspend(self, world: World) -> Step[World]:
        """Let a second pass in which the first decider's host is suspended."""
        after = replace(world, now_s=world.now_s + 1)
        if not self.counts_suspends:
            first = world.deciders[0]
            after = _put(after, 0, replace(first, behind_s=first.behind_s + 1))
        return Step("decider 0 is suspended while time passes", after)

    def _decide(self, world: World, state: RolloutState) -> Step[World]:
        """Let a proposal reach the keepers, however late."""
        book = RolloutBook([_make_rollout(world.state)])
        rollout = find_rollout(self.advance(book, _SERVICE, _NUMBER, state, ""), _SERVICE)
        assert rollout is not None
        assert rollout.order is not None
        history = world.history
        if rollout.order.state is not world.state:
            history = (*history, (rollout.order.state, world.now_s))
        after = replace(world, proposed=world.proposed - {state}, history=history)
        return Step(f"{state.value} reaches the keepers", after)


def _has_one_end(world: World) -> bool:
    return sum(state in _ENDS for state, _ in world.history) <= 1


def _put(world: World, number: int, decider: Decider) -> World:
    deciders = tuple(decider if n == number else d for n, d in enumerate(world.deciders))
    return replace(world, deciders=deciders)
