"""Model the replacement of a keeper that lost its disk, and a second loss right after.

The keeper sets are decided in order here, as `register` shows registers to be;
each keeper learns them when it likes. Proposers may use any set decided so far.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from troutstand.core.acceptor import Acceptor, list_voters
from troutstand.core.ids import ProcessId, RegisterName
from troutstand.core.register import Broadcast, Decided, Proposer
from troutstand.daemon.membership import promote_member, replace_member
from troutstand.generated.messages import (
    Accept,
    CopyAsk,
    CopyPage,
    KeeperSet,
    Member,
    MemberState,
    Prepare,
    Promise,
    RegisterState,
    StoredIdentity,
)
from troutstand.generated.messages import Accepted as AcceptedReply
from troutstand.testing.models.check import ModelSpec, Step
from troutstand.testing.models.register import Bid, freeze_bid, make_bid

_REGISTER = RegisterName("claim/w/key/1")
_NAMES = ("k0", "k1", "k2")
_LOST = "k2"
_FIRST = KeeperSet(1, [Member(name, f"{name}-old", MemberState.voting) for name in _NAMES])
_SECOND = replace_member(_FIRST, _LOST, f"{_LOST}-new")
_THIRD = promote_member(_SECOND, _LOST)
_SETS = (_FIRST, _SECOND, _THIRD)


@dataclass(frozen=True)
class Disk:
    """Keep what one keeper's disk holds."""

    disk_id: str
    epoch: int
    state: RegisterState


@dataclass(frozen=True)
class Proposal:
    """Keep one ballot and the epoch it was begun in."""

    bid: Bid
    epoch: int = 0


@dataclass(frozen=True)
class World:
    """Hold the disks, the decided sets, the ballots and the network."""

    disks: tuple[Disk, ...]
    proposals: tuple[Proposal, ...]
    decided_epoch: int = 1
    copied_from: frozenset[str] = frozenset()
    network: frozenset[Prepare | Accept] = frozenset()
    decided: frozenset[bytes] = frozenset()
    is_second_lost: bool = False


@dataclass(frozen=True)
class ReplacementModel:
    """Choose which guard is taken out.

    Parameters
    ----------
    copies
        Whether the new disk copies from every voter before it votes.
    checks_epoch
        Whether voters refuse a copy until they know the second set.
    """

    copies: bool = True
    checks_epoch: bool = True

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        blank = RegisterState(_REGISTER)
        disks = tuple(Disk(f"{name}-old", 1, blank) for name in _NAMES)
        proposals = (Proposal(make_bid("a", 1)), Proposal(make_bid("b", 2)))
        return ModelSpec(
            "replacement",
            World(disks, proposals),
            self._list_steps,
            {"one value is decided": lambda world: len(world.decided) <= 1},
        )

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        for index, proposal in enumerate(world.proposals):
            if not proposal.bid.started:
                # The first begins before the repair, the second during or after it.
                epochs = (1,) if index == 0 else range(2, world.decided_epoch + 1)
                steps += [_start(world, index, epoch) for epoch in epochs]
        for message in world.network:
            for number in range(len(_NAMES)):
                steps += _handle(world, message, number)
        return steps + self._list_changes(world)

    def _list_changes(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        lost = world.disks[2]
        if lost.disk_id.endswith("old"):
            fresh = Disk(f"{_LOST}-new", 0, RegisterState(_REGISTER))
            steps.append(Step("k2 loses its disk", _put(world, 2, fresh)))
            return steps
        if world.decided_epoch == 1:
            steps.append(Step("second set decided", replace(world, decided_epoch=2)))
        for number, disk in enumerate(world.disks):
            if disk.epoch < world.decided_epoch:
                later = replace(disk, epoch=disk.epoch + 1)
                steps.append(Step(f"k{number} learns a set", _put(world, number, later)))
        if lost.epoch == 2:
            steps += [s for number in (0, 1) if (s := self._copy(world, number))]
        is_copied = world.copied_from == {"k0", "k1"} or not self.copies
        if world.decided_epoch == 2 and lost.epoch == 2 and is_copied:
            steps.append(Step("third set decided", replace(world, decided_epoch=3)))
        if world.decided_epoch == 3 and not world.is_second_lost:
            gone = Disk("k0-new", 0, RegisterState(_REGISTER))
            after = replace(_put(world, 0, gone), is_second_lost=True)
            steps.append(Step("k0 loses its disk", after))
        return steps

    def _copy(self, world: World, number: int) -> Step[World] | None:
        voter = _load(world, number)
        epoch = 2 if self.checks_epoch else voter.epoch
        page = voter.copy_page(CopyAsk(epoch))
        if not isinstance(page, CopyPage):
            return None
        copier = _load(world, 2)
        for record in page.records:
            copier.merge_copy(record)
        after = _put(world, 2, _save(world.disks[2], copier))
        name = _NAMES[number]
        return Step(f"k2 copies {name}", replace(after, copied_from=after.copied_from | {name}))


def _load(world: World, number: int) -> Acceptor:
    disk = world.disks[number]
    acceptor = Acceptor(StoredIdentity("model", _NAMES[number], disk.disk_id))
    acceptor.keepers = _SETS[disk.epoch - 1] if disk.epoch else None
    if disk.state.promised is not None:
        acceptor.registers[_REGISTER] = disk.state
    return acceptor


def _save(disk: Disk, acceptor: Acceptor) -> Disk:
    state = acceptor.registers.get(_REGISTER, RegisterState(_REGISTER))
    return replace(disk, state=state)


def _put(world: World, number: int, disk: Disk) -> World:
    disks = (*world.disks[:number], disk, *world.disks[number + 1 :])
    return replace(world, disks=disks)


def _make_proposer(proposal: Proposal) -> Proposer:
    bid = proposal.bid
    return Proposer(
        _REGISTER,
        bid.value,
        bid.ballot,
        proposal.epoch,
        list_voters(_SETS[proposal.epoch - 1]),
        dict(bid.promises),
        set(bid.accepted),
        bid.accepting,
    )


def _start(world: World, index: int, epoch: int) -> Step[World]:
    proposal = replace(world.proposals[index], epoch=epoch)
    proposer = _make_proposer(proposal)
    after = _update(world, index, proposal, proposer, proposer.start())
    return Step(f"{proposal.bid.ballot.proposer} starts in epoch {epoch}", after)


def _handle(world: World, message: Prepare | Accept, number: int) -> list[Step[World]]:
    acceptor = _load(world, number)
    reply = acceptor.handle(message, 0.0).reply
    if not isinstance(reply, Promise | AcceptedReply):
        return []
    handled = _put(world, number, _save(world.disks[number], acceptor))
    label = f"k{number} takes {type(message).__name__} of {message.ballot.proposer}"
    index = next(i for i, p in enumerate(world.proposals) if p.bid.ballot == message.ballot)
    proposal = world.proposals[index]
    proposer = _make_proposer(proposal)
    step = proposer.receive(ProcessId(_NAMES[number]), reply)
    answered = _update(handled, index, proposal, proposer, step)
    return [Step(f"{label}, reply lost", handled), Step(label, answered)]


def _update(
    world: World, index: int, proposal: Proposal, proposer: Proposer, step: object
) -> World:
    bid = freeze_bid(proposal.bid, proposer)
    kept = replace(proposal, bid=bid)
    proposals = (*world.proposals[:index], kept, *world.proposals[index + 1 :])
    world = replace(world, proposals=proposals)
    match step:
        case Broadcast(message):
            return replace(world, network=world.network.union([message]))
        case Decided(value):
            return replace(world, decided=world.decided | {value})
        case _:
            return world
