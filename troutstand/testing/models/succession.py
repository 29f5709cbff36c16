"""Model two rival replacements of a keeper that may only seem gone.

Four keepers: k0, k1 and k2 form the first set, k3 waits with an empty disk.
Two keepers propose the second set at once, one in k1's place and one in k2's;
the register decides either, as `register` shows. Whoever is replaced may live
on and answer in the first epoch until it learns of the second. After the new
disk votes, another disk is lost.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from troutstand.core.acceptor import Acceptor, list_voters
from troutstand.core.contacts import ContactBook
from troutstand.core.ids import ProcessId, RegisterName
from troutstand.core.register import Broadcast, Decided, Proposer
from troutstand.core.succession import count_needed, form_first_set, plan_change, promote
from troutstand.generated.messages import (
    Accept,
    Contact,
    CopyAsk,
    CopyPage,
    KeeperSet,
    Prepare,
    ProcessState,
    Promise,
    RegisterState,
    StoredIdentity,
)
from troutstand.generated.messages import Accepted as AcceptedReply
from troutstand.testing.models.check import ModelSpec, Step
from troutstand.testing.models.register import Bid, freeze_bid, make_bid

_REGISTER = RegisterName("configuration/7")
_NAMES = ("k0", "k1", "k2", "k3")
_SPARE = 3
_NOW_S = 100.0
_SILENT_MS = 9000
_FIRST_DISK = "first"
_SPARE_DISK = "spare"
_SIZE = 3


def _plan_second(first: KeeperSet, gone: str) -> KeeperSet:
    """Return the set that the daemon's own rule plans where one keeper is silent."""
    book = ContactBook()
    for name in _NAMES:
        contact = Contact(
            process=name,
            host=name,
            role="keeper",
            failure_domain="",
            incarnation="1",
            state=ProcessState.serving,
            age_ms=_SILENT_MS if name == gone else 0,
            disk_id=_SPARE_DISK if name == _NAMES[_SPARE] else _FIRST_DISK,
        )
        book.hear(contact, _NOW_S)
    planned = plan_change(first, "k0", book, _NOW_S, 0.0, _SIZE)
    assert planned is not None
    return planned


def _make_chains() -> tuple[tuple[KeeperSet, ...], ...]:
    first = form_first_set(list(_NAMES[:3]))
    seconds = [_plan_second(first, gone) for gone in ("k1", "k2")]
    return tuple((first, second, promote(second, _NAMES[_SPARE])) for second in seconds)


_CHAINS = _make_chains()


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
    """Hold the disks, which rival won, the ballots and the network."""

    disks: tuple[Disk, ...]
    proposals: tuple[Proposal, ...]
    chain: int = 0
    decided_epoch: int = 1
    copied_from: frozenset[str] = frozenset()
    network: frozenset[Prepare | Accept] = frozenset()
    decided: frozenset[bytes] = frozenset()
    is_second_lost: bool = False


@dataclass(frozen=True)
class SuccessionModel:
    """Choose which guard is taken out.

    Parameters
    ----------
    needed
        How many voters the new disk copies from; None is the daemon's own rule.
    """

    needed: int | None = None

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        blank = RegisterState(_REGISTER)
        disks = tuple(Disk(_FIRST_DISK, 1, blank) for _ in _NAMES[:3])
        spare = Disk(_SPARE_DISK, 0, blank)
        proposals = (Proposal(make_bid("a", 1)), Proposal(make_bid("b", 2)))
        return ModelSpec(
            "succession",
            World((*disks, spare), proposals),
            self._list_steps,
            {"one value is decided": lambda world: len(world.decided) <= 1},
        )

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        for index, proposal in enumerate(world.proposals):
            if not proposal.bid.started:
                epochs = (1,) if index == 0 else range(2, world.decided_epoch + 1)
                steps += [_start(world, index, epoch) for epoch in epochs]
        for message in world.network:
            for number in range(len(_NAMES)):
                steps += _handle(world, message, number)
        return steps + self._list_changes(world)

    def _list_changes(self, world: World) -> list[Step[World]]:
        if world.decided_epoch == 1:
            return [
                Step(f"rival {n} wins", replace(world, chain=n, decided_epoch=2))
                for n in range(len(_CHAINS))
            ]
        steps: list[Step[World]] = []
        for number, disk in enumerate(world.disks):
            if disk.epoch < world.decided_epoch and disk.disk_id in (_FIRST_DISK, _SPARE_DISK):
                later = replace(disk, epoch=world.decided_epoch)
                steps.append(Step(f"k{number} learns the set", _put(world, number, later)))
        steps += self._list_copies(world)
        if world.decided_epoch == 3 and not world.is_second_lost:
            # k0 is in every set; its disk is lost right after the repair.
            gone = Disk("lost", 0, RegisterState(_REGISTER))
            after = replace(_put(world, 0, gone), is_second_lost=True)
            steps.append(Step("k0 loses its disk", after))
        return steps

    def _list_copies(self, world: World) -> list[Step[World]]:
        copier = world.disks[_SPARE]
        if world.decided_epoch != 2 or copier.epoch != 2:
            return []
        second = _CHAINS[world.chain][1]
        needed = count_needed(second) if self.needed is None else self.needed
        steps = [
            step
            for number in range(_SPARE)
            if _NAMES[number] in list_voters(second) and (step := _copy(world, number)) is not None
        ]
        if len(world.copied_from) >= needed:
            steps.append(Step("the new disk votes", replace(world, decided_epoch=3)))
        return steps


def _copy(world: World, number: int) -> Step[World] | None:
    page = _load(world, number).copy_page(CopyAsk(2))
    if not isinstance(page, CopyPage):
        return None
    copier = _load(world, _SPARE)
    for record in page.records:
        copier.merge_copy(record)
    after = _put(world, _SPARE, _save(world.disks[_SPARE], copier))
    name = _NAMES[number]
    return Step(f"k3 copies {name}", replace(after, copied_from=after.copied_from | {name}))


def _load(world: World, number: int) -> Acceptor:
    disk = world.disks[number]
    acceptor = Acceptor(StoredIdentity("model", _NAMES[number], disk.disk_id))
    acceptor.keepers = _CHAINS[world.chain][disk.epoch - 1] if disk.epoch else None
    if disk.state.promised is not None:
        acceptor.registers[_REGISTER] = disk.state
    return acceptor


def _save(disk: Disk, acceptor: Acceptor) -> Disk:
    return replace(disk, state=acceptor.registers.get(_REGISTER, RegisterState(_REGISTER)))


def _put(world: World, number: int, disk: Disk) -> World:
    disks = (*world.disks[:number], disk, *world.disks[number + 1 :])
    return replace(world, disks=disks)


def _make_proposer(world: World, proposal: Proposal) -> Proposer:
    bid = proposal.bid
    return Proposer(
        _REGISTER,
        bid.value,
        bid.ballot,
        proposal.epoch,
        list_voters(_CHAINS[world.chain][proposal.epoch - 1]),
        dict(bid.promises),
        set(bid.accepted),
        bid.accepting,
    )


def _start(world: World, index: int, epoch: int) -> Step[World]:
    proposal = replace(world.proposals[index], epoch=epoch)
    proposer = _make_proposer(world, proposal)
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
    proposer = _make_proposer(world, proposal)
    step = proposer.receive(ProcessId(_NAMES[number]), reply)
    answered = _update(handled, index, proposal, proposer, step)
    return [Step(f"{label}, reply lost", handled), Step(label, answered)]


def _update(
    world: World, index: int, proposal: Proposal, proposer: Proposer, step: object
) -> World:
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
