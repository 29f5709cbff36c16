"""Provide the disks, ballots and network that the keeper replacement models share."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Generic, TypeVar

from troutstand.core.acceptor import Acceptor, list_voters
from troutstand.core.ids import ProcessId
from troutstand.core.register import Broadcast, Decided, Proposer
from troutstand.generated.messages import Accepted as AcceptedReply
from troutstand.generated.messages import CopyAsk, CopyPage, Promise, RegisterState, StoredIdentity
from troutstand.testing.models.check import Step
from troutstand.testing.models.register import ProposerState, capture_proposer

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.ids import RegisterName
    from troutstand.generated.messages import Accept, KeeperSet, Prepare


@dataclass(frozen=True)
class Disk:
    """Hold the contents of one keeper's disk."""

    disk_id: str
    epoch: int
    state: RegisterState


@dataclass(frozen=True)
class Proposal:
    """Hold a proposer's state and the epoch in which its ballot started."""

    state: ProposerState
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
    is_second_disk_lost: bool = False


W = TypeVar("W", bound=DiskWorld)


def replace_disk(world: W, number: int, disk: Disk) -> W:
    """Return the world with one keeper's disk replaced."""
    disks = (*world.disks[:number], disk, *world.disks[number + 1 :])
    return replace(world, disks=disks)


@dataclass(frozen=True)
class DiskModel(Generic[W]):
    """Run the acceptors and proposers of the daemon on the disks of a world.

    Parameters
    ----------
    names
        Names of the keepers, in the order of the disks.
    get_keeper_set
        Returns the keeper set that a world has decided for an epoch.
    """

    names: tuple[str, ...]
    register: RegisterName
    get_keeper_set: Callable[[W, int], KeeperSet]

    def load_acceptor(self, world: W, number: int) -> Acceptor:
        """Create an acceptor from the contents of a disk."""
        disk = world.disks[number]
        acceptor = Acceptor(StoredIdentity("model", self.names[number], disk.disk_id))
        acceptor.keepers = self.get_keeper_set(world, disk.epoch) if disk.epoch else None
        if disk.state.promised is not None:
            acceptor.registers[self.register] = disk.state
        return acceptor

    def save_acceptor(self, world: W, number: int, acceptor: Acceptor) -> W:
        """Return the world with an acceptor's state written to its disk."""
        state = acceptor.registers.get(self.register, RegisterState(self.register))
        return replace_disk(world, number, replace(world.disks[number], state=state))

    def copy_records(self, world: W, copier: int, source: int, epoch: int) -> Step[W] | None:
        """Copy all records between keepers; return None if the source rejects the epoch."""
        page = self.load_acceptor(world, source).copy_page(CopyAsk(epoch))
        if not isinstance(page, CopyPage):
            return None
        acceptor = self.load_acceptor(world, copier)
        for record in page.records:
            acceptor.merge_record(record)
        name = self.names[source]
        after = self.save_acceptor(world, copier, acceptor)
        after = replace(after, copied_from=after.copied_from | {name})
        return Step(f"{self.names[copier]} copies {name}", after)

    def start_ballot(self, world: W, index: int, epoch: int) -> Step[W]:
        """Start a ballot in an epoch."""
        proposal = replace(world.proposals[index], epoch=epoch)
        proposer = self._make_proposer(world, proposal)
        after = _apply(world, index, proposal, proposer, proposer.start())
        return Step(f"{proposal.state.ballot.proposer} starts in epoch {epoch}", after)

    def list_deliveries(self, world: W) -> list[Step[W]]:
        """Return the deliveries of each message to each keeper."""
        return [
            step
            for message in world.network
            for number in range(len(self.names))
            for step in self._deliver(world, message, number)
        ]

    def _deliver(self, world: W, message: Prepare | Accept, number: int) -> list[Step[W]]:
        """Deliver a message to one keeper; the reply arrives or is lost."""
        acceptor = self.load_acceptor(world, number)
        reply = acceptor.handle(message, 0.0).reply
        if not isinstance(reply, Promise | AcceptedReply):
            return []
        after_request = self.save_acceptor(world, number, acceptor)
        name = self.names[number]
        label = f"{name} handles {type(message).__name__} of {message.ballot.proposer}"
        index = next(i for i, p in enumerate(world.proposals) if p.state.ballot == message.ballot)
        proposal = world.proposals[index]
        proposer = self._make_proposer(world, proposal)
        step = proposer.receive(ProcessId(name), reply)
        after_reply = _apply(after_request, index, proposal, proposer, step)
        return [Step(f"{label}, reply lost", after_request), Step(label, after_reply)]

    def _make_proposer(self, world: W, proposal: Proposal) -> Proposer:
        state = proposal.state
        return Proposer(
            self.register,
            state.value,
            state.ballot,
            proposal.epoch,
            list_voters(self.get_keeper_set(world, proposal.epoch)),
            dict(state.promises),
            set(state.accepted),
            state.proposed,
        )


def _apply(world: W, index: int, proposal: Proposal, proposer: Proposer, step: object) -> W:
    updated = replace(proposal, state=capture_proposer(proposal.state, proposer))
    proposals = (*world.proposals[:index], updated, *world.proposals[index + 1 :])
    world = replace(world, proposals=proposals)
    match step:
        case Broadcast(message):
            return replace(world, network=world.network.union([message]))
        case Decided(value):
            return replace(world, decided=world.decided | {value})
        case _:
            return world
