"""Model one register with concurrent proposers and keepers that crash or lose a disk.

A sent message stays in the network and may be delivered late, out of order,
repeatedly or never. A reply is delivered at once or lost.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from troutstand.core.ids import ProcessId, RegisterName
from troutstand.core.register import Broadcast, Decided, Proposer, handle_accept, handle_prepare
from troutstand.generated.messages import (
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    RegisterState,
)
from troutstand.testing.models.check import ModelSpec, Step

REGISTER = RegisterName("r")
_EPOCH = 1
_KEEPERS = tuple(ProcessId(f"k{number}") for number in range(3))

HandlePrepare = Callable[[RegisterState, Prepare], tuple[RegisterState, Promise]]
HandleAccept = Callable[[RegisterState, Accept], tuple[RegisterState, Accepted]]


@dataclass(frozen=True)
class ProposerState:
    """Hold the state of one proposer between steps."""

    value: bytes
    ballot: Ballot
    promises: frozenset[tuple[ProcessId, Promise]] = frozenset()
    accepted: frozenset[ProcessId] = frozenset()
    proposed: bytes | None = None
    is_started: bool = False


@dataclass(frozen=True)
class World:
    """Hold the durable state of the keepers, the proposers and the network."""

    keepers: tuple[RegisterState, ...]
    proposers: tuple[ProposerState, ...]
    network: frozenset[Prepare | Accept]
    decided: frozenset[bytes] = frozenset()
    lost_disk_count: int = 0


@dataclass(frozen=True)
class RegisterModel:
    """Configure the proposers, the lost disks and the message handlers.

    Parameters
    ----------
    lost_disk_count
        Number of keepers that may lose their state and keep voting.
    """

    proposers: tuple[ProposerState, ...]
    lost_disk_count: int = 0
    handle_prepare: HandlePrepare = handle_prepare
    handle_accept: HandleAccept = handle_accept

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        empty = RegisterState(REGISTER)
        initial = World((empty,) * len(_KEEPERS), self.proposers, frozenset())
        return ModelSpec(
            "register",
            initial,
            self._list_steps,
            {"one value is decided": lambda world: len(world.decided) <= 1},
        )

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps = [
            self._start(world, i) for i, state in enumerate(world.proposers) if not state.is_started
        ]
        for message in world.network:
            for number in range(len(_KEEPERS)):
                steps += self._deliver(world, message, number)
        if world.lost_disk_count < self.lost_disk_count:
            steps += [self._reset_disk(world, number) for number in range(len(_KEEPERS))]
        return steps

    def _start(self, world: World, index: int) -> Step[World]:
        state = replace(world.proposers[index], is_started=True)
        proposer = _restore_proposer(state)
        step = proposer.start()
        assert isinstance(step, Broadcast)
        return Step(f"start {state.ballot.proposer}", _update(world, index, proposer, step))

    def _deliver(self, world: World, message: Prepare | Accept, number: int) -> list[Step[World]]:
        keeper = world.keepers[number]
        match message:
            case Prepare():
                changed, reply = self.handle_prepare(keeper, message)
            case Accept():
                changed, reply = self.handle_accept(keeper, message)
        keepers = (*world.keepers[:number], changed, *world.keepers[number + 1 :])
        after_request = replace(world, keepers=keepers)
        kind = type(message).__name__.lower()
        label = f"k{number} handles {kind} of {message.ballot.proposer}"
        steps = [Step(f"{label}, reply lost", after_request)]
        index = next(i for i, state in enumerate(world.proposers) if state.ballot == message.ballot)
        proposer = _restore_proposer(world.proposers[index])
        step = proposer.receive(_KEEPERS[number], reply)
        steps.append(Step(label, _update(after_request, index, proposer, step)))
        return steps

    def _reset_disk(self, world: World, number: int) -> Step[World]:
        empty = RegisterState(REGISTER)
        keepers = (*world.keepers[:number], empty, *world.keepers[number + 1 :])
        lost = replace(world, keepers=keepers, lost_disk_count=world.lost_disk_count + 1)
        return Step(f"k{number} loses its disk and votes", lost)


def _restore_proposer(state: ProposerState) -> Proposer:
    return Proposer(
        REGISTER,
        state.value,
        state.ballot,
        _EPOCH,
        frozenset(_KEEPERS),
        dict(state.promises),
        set(state.accepted),
        state.proposed,
    )


def capture_proposer(state: ProposerState, proposer: Proposer) -> ProposerState:
    """Return the state of a proposer for the next step."""
    return replace(
        state,
        is_started=True,
        promises=frozenset(proposer._promises.items()),
        accepted=frozenset(proposer._accepted),
        proposed=proposer._proposed,
    )


def _update(world: World, index: int, proposer: Proposer, step: object) -> World:
    state = capture_proposer(world.proposers[index], proposer)
    proposers = (*world.proposers[:index], state, *world.proposers[index + 1 :])
    world = replace(world, proposers=proposers)
    match step:
        case Broadcast(message):
            return replace(world, network=world.network.union([message]))
        case Decided(value):
            return replace(world, decided=world.decided | {value})
        case _:
            return world


def make_proposer(name: str, round_: int) -> ProposerState:
    """Make a proposer whose value is its name."""
    return ProposerState(name.encode(), Ballot(round_, name))


def accept_without_promise(state: RegisterState, message: Accept) -> tuple[RegisterState, Accepted]:
    """Accept without checking the promised ballot (deliberately faulty)."""
    unpromised = RegisterState(state.register, None, state.accepted, state.value)
    return handle_accept(unpromised, message)


def promise_without_accepted(
    state: RegisterState, message: Prepare
) -> tuple[RegisterState, Promise]:
    """Promise without returning the accepted value (deliberately faulty)."""
    changed, reply = handle_prepare(state, message)
    return changed, Promise(reply.register, reply.ballot, reply.granted, reply.promised)
