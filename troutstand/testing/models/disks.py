"""Share what the models of keepers' disks have in common: disks, ballots, the network."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Generic, TypeVar

from troutstand.core.acceptor import Acceptor, list_voters
from troutstand.core.ids import ProcessId
from troutstand.core.register import Broadcast, Decided, Proposer
from troutstand.generated.messages import Accepted as AcceptedReply
from troutstand.generated.messages import CopyAsk, CopyPage, Promise, RegisterState, StoredIdentity
from troutstand.testing.models.check import Step
from troutstand.testing.models.register import Bid, freeze_bid

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.ids import RegisterName
    from troutstand.generated.messages import Accept, KeeperSet, Prepare


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
class DiskWorld:
    """Hold the disks, the decided epoch, the ballots and the network."""

    disks: tuple[Disk, ...]
    proposals: tuple[Proposal, ...]
    decided_epoch: int = 1
    copied_from: frozenset[str] = frozenset()
    network: frozenset[Prepare | Accept] = frozenset()
    decided: frozenset[bytes] = frozenset()
    is_second_lost: bool = False


W = TypeVar("W", bound=DiskWorld)


def put_disk(world: W, number: int, disk: Disk) -> W:
    """Return the world with another disk at one keeper."""
    disks = (*world.disks[:number], disk, *world.disks[number + 1 :])
    return replace(world, disks=disks)


@dataclass(frozen=True)
class DiskModel(Generic[W]):
    """Run the daemon's acceptors and proposers over the disks of a world.

    Parameters
    ----------
    names
        The keepers, in the order of the world's disks.
    find_set
        Returns the keeper set of an epoch as a world has it decided.
    """

    names: tuple[str, ...]
    register: RegisterName
    find_set: Callable[[W, int], KeeperSet]

    def load(self, world: W, number: int) -> Acceptor:
        """Start the daemon's acceptor from a disk."""
        disk = world.disks[number]
        acceptor = Acceptor(StoredIdentity("model", self.names[number], disk.disk_id))
        acceptor.keepers = self.find_set(world, disk.epoch) if disk.epoch else None
        if disk.state.promised is not None:
            acceptor.registers[self.register] = disk.state
        return acceptor

    def save(self, world: W, number: int, acceptor: Acceptor) -> W:
        """Return the world with what an acceptor holds now on its disk."""
        state = acceptor.registers.get(self.register, RegisterState(self.register))
        return put_disk(world, number, replace(world.disks[number], state=state))

    def copy(self, world: W, copier: int, source: int, epoch: int) -> Step[W] | None:
        """Copy all records of one keeper to another, unless the source refuses the epoch."""
        page = self.load(world, source).copy_page(CopyAsk(epoch))
        if not isinstance(page, CopyPage):
            return None
        acceptor = self.load(world, copier)
        for record in page.records:
            acceptor.merge_record(record)
        name = self.names[source]
        after = self.save(world, copier, acceptor)
        after = replace(after, copied_from=after.copied_from | {name})
        return Step(f"{self.names[copier]} copies {name}", after)

    def start(self, world: W, index: int, epoch: int) -> Step[W]:
        """Begin a ballot in an epoch."""
        proposal = replace(world.proposals[index], epoch=epoch)
        proposer = self._make_proposer(world, proposal)
        after = _apply(world, index, proposal, proposer, proposer.start())
        return Step(f"{proposal.bid.ballot.proposer} starts in epoch {epoch}", after)

    def list_deliveries(self, world: W) -> list[Step[W]]:
        """Return the steps in which some keeper takes some message."""
        return [
            step
            for message in world.network
            for number in range(len(self.names))
            for step in self._handle(world, message, number)
        ]

    def _handle(self, world: W, message: Prepare | Accept, number: int) -> list[Step[W]]:
        """Let one keeper take a message; its reply arrives or is lost."""
        acceptor = self.load(world, number)
        reply = acceptor.handle(message, 0.0).reply
        if not isinstance(reply, Promise | AcceptedReply):
            return []
        handled = self.save(world, number, acceptor)
        name = self.names[number]
        label = f"{name} takes {type(message).__name__} of {message.ballot.proposer}"
        index = next(i for i, p in enumerate(world.proposals) if p.bid.ballot == message.ballot)
        proposal = world.proposals[index]
        proposer = self._make_proposer(world, proposal)
        step = proposer.receive(ProcessId(name), reply)
        answered = _apply(handled, index, proposal, proposer, step)
        return [Step(f"{label}, reply lost", handled), Step(label, answered)]

    def _make_proposer(self, world: W, proposal: Proposal) -> Proposer:
        bid = proposal.bid
        return Proposer(
            self.register,
            bid.value,
            bid.ballot,
            proposal.epoch,
            list_voters(self.find_set(world, proposal.epoch)),
            dict(bid.promises),
            set(bid.accepted),
            bid.accepting,
        )


def _apply(world: W, index: int, proposal: Proposal, proposer: Proposer, step: object) -> W:
    kept = replace(proposal, bid=freeze_bid(proposal.bid, proposer))
    proposals = (*world.proposals[:index], kept, *world.proposals[index + 1 :])
    world = replace(world, proposals=proposals)
    match step:
        case Broadcast(message):
            return replace(world, network=world.network.union([message]))
        case Decided(value):
            return replace(world, decided=world.decided | {value})
        case _:
            return world
