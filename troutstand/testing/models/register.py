"""Model one register: rival proposers, and keepers that crash or lose a disk.

A message stays in the network once sent, so that it may be handled late, out
of order, twice or never. A reply is taken at once or lost: taking it later
differs from that only in steps that the network can delay anyway.
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
class Bid:
    """Keep one proposer's ballot between steps."""

    value: bytes
    ballot: Ballot
    promises: frozenset[tuple[ProcessId, Promise]] = frozenset()
    accepted: frozenset[ProcessId] = frozenset()
    accepting: bytes | None = None
    started: bool = False


@dataclass(frozen=True)
class World:
    """Hold the keepers' durable states, the ballots and the network."""

    keepers: tuple[RegisterState, ...]
    bids: tuple[Bid, ...]
    network: frozenset[Prepare | Accept]
    decided: frozenset[bytes] = frozenset()
    lost_disks: int = 0


@dataclass(frozen=True)
class RegisterModel:
    """Choose the rivals, and which guards are taken out.

    Parameters
    ----------
    lost_disks
        How many keepers may come back empty and vote as if they remembered.
    """

    bids: tuple[Bid, ...]
    lost_disks: int = 0
    handle_prepare: HandlePrepare = handle_prepare
    handle_accept: HandleAccept = handle_accept

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        blank = RegisterState(REGISTER)
        initial = World((blank,) * len(_KEEPERS), self.bids, frozenset())
        return ModelSpec(
            "register",
            initial,
            self._list_steps,
            {"one value is decided": lambda world: len(world.decided) <= 1},
        )

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps = [self._start(world, i) for i, bid in enumerate(world.bids) if not bid.started]
        for message in world.network:
            for number in range(len(_KEEPERS)):
                steps += self._handle(world, message, number)
        if world.lost_disks < self.lost_disks:
            steps += [self._lose_disk(world, number) for number in range(len(_KEEPERS))]
        return steps

    def _start(self, world: World, index: int) -> Step[World]:
        bid = replace(world.bids[index], started=True)
        proposer = _make_proposer(bid)
        step = proposer.start()
        assert isinstance(step, Broadcast)
        return Step(f"start {bid.ballot.proposer}", _update(world, index, proposer, step))

    def _handle(self, world: World, message: Prepare | Accept, number: int) -> list[Step[World]]:
        state = world.keepers[number]
        match message:
            case Prepare():
                changed, reply = self.handle_prepare(state, message)
            case Accept():
                changed, reply = self.handle_accept(state, message)
        keepers = (*world.keepers[:number], changed, *world.keepers[number + 1 :])
        handled = replace(world, keepers=keepers)
        kind = type(message).__name__.lower()
        label = f"k{number} takes {kind} of {message.ballot.proposer}"
        steps = [Step(f"{label}, reply lost", handled)]
        index = next(i for i, bid in enumerate(world.bids) if bid.ballot == message.ballot)
        proposer = _make_proposer(world.bids[index])
        step = proposer.receive(_KEEPERS[number], reply)
        steps.append(Step(label, _update(handled, index, proposer, step)))
        return steps

    def _lose_disk(self, world: World, number: int) -> Step[World]:
        blank = RegisterState(REGISTER)
        keepers = (*world.keepers[:number], blank, *world.keepers[number + 1 :])
        lost = replace(world, keepers=keepers, lost_disks=world.lost_disks + 1)
        return Step(f"k{number} loses its disk and votes", lost)


def _make_proposer(bid: Bid) -> Proposer:
    return Proposer(
        REGISTER,
        bid.value,
        bid.ballot,
        _EPOCH,
        frozenset(_KEEPERS),
        dict(bid.promises),
        set(bid.accepted),
        bid.accepting,
    )


def freeze_bid(bid: Bid, proposer: Proposer) -> Bid:
    """Keep a proposer's state as a bid."""
    return replace(
        bid,
        started=True,
        promises=frozenset(proposer._promises.items()),
        accepted=frozenset(proposer._accepted),
        accepting=proposer._proposed,
    )


def _update(world: World, index: int, proposer: Proposer, step: object) -> World:
    bid = freeze_bid(world.bids[index], proposer)
    bids = (*world.bids[:index], bid, *world.bids[index + 1 :])
    world = replace(world, bids=bids)
    match step:
        case Broadcast(message):
            return replace(world, network=world.network.union([message]))
        case Decided(value):
            return replace(world, decided=world.decided | {value})
        case _:
            return world


def make_bid(name: str, round_: int) -> Bid:
    """Make a ballot whose value is its proposer's name."""
    return Bid(name.encode(), Ballot(round_, name))


def accept_always(state: RegisterState, message: Accept) -> tuple[RegisterState, Accepted]:
    """Accept without regard to promises: the guard taken out."""
    unpromised = RegisterState(state.register, None, state.accepted, state.value)
    return handle_accept(unpromised, message)


def forget_accepted(state: RegisterState, message: Prepare) -> tuple[RegisterState, Promise]:
    """Promise without telling what was accepted: the guard taken out."""
    changed, reply = handle_prepare(state, message)
    return changed, Promise(reply.register, reply.ballot, reply.granted, reply.promised)
