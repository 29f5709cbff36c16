"""Model two rival replacements of a keeper that may only seem gone.

Four keepers: k0, k1 and k2 form the first set, k3 waits with an empty disk.
Two keepers propose the second set at once, one in k1's place and one in k2's;
the register decides either, as `register` shows. Whoever is replaced may live
on and answer in the first epoch until it learns of the second. After the new
disk votes, another disk is lost.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from troutstand.core.acceptor import list_voters
from troutstand.core.contacts import ContactRegistry
from troutstand.core.ids import RegisterName
from troutstand.core.membership import (
    count_copy_quorum,
    make_initial_set,
    plan_change,
    promote_member,
)
from troutstand.generated.messages import (
    Contact,
    KeeperSet,
    ProcessState,
    RegisterState,
)
from troutstand.testing.models.check import ModelSpec, Step
from troutstand.testing.models.disks import Disk, DiskModel, DiskWorld, Proposal, put_disk
from troutstand.testing.models.register import make_bid

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
    book = ContactRegistry()
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
        book.update(contact, _NOW_S)
    planned = plan_change(first, "k0", book, _NOW_S, 0.0, _SIZE)
    assert planned is not None
    return planned


def _make_chains() -> tuple[tuple[KeeperSet, ...], ...]:
    first = make_initial_set(list(_NAMES[:3]))
    seconds = [_plan_second(first, gone) for gone in ("k1", "k2")]
    return tuple((first, second, promote_member(second, _NAMES[_SPARE])) for second in seconds)


_CHAINS = _make_chains()


@dataclass(frozen=True)
class World(DiskWorld):
    """Hold which of the rivals won beside what every world of disks has."""

    chain: int = 0


def _find_set(world: World, epoch: int) -> KeeperSet:
    return _CHAINS[world.chain][epoch - 1]


_MODEL = DiskModel(_NAMES, _REGISTER, _find_set)


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
                steps += [_MODEL.start(world, index, epoch) for epoch in epochs]
        return steps + _MODEL.list_deliveries(world) + self._list_changes(world)

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
                steps.append(Step(f"k{number} learns the set", put_disk(world, number, later)))
        steps += self._list_copies(world)
        if world.decided_epoch == 3 and not world.is_second_lost:
            # k0 is in every set; its disk is lost right after the repair.
            gone = Disk("lost", 0, RegisterState(_REGISTER))
            after = replace(put_disk(world, 0, gone), is_second_lost=True)
            steps.append(Step("k0 loses its disk", after))
        return steps

    def _list_copies(self, world: World) -> list[Step[World]]:
        copier = world.disks[_SPARE]
        if world.decided_epoch != 2 or copier.epoch != 2:
            return []
        second = _CHAINS[world.chain][1]
        needed = count_copy_quorum(second) if self.needed is None else self.needed
        steps = [
            step
            for number in range(_SPARE)
            if _NAMES[number] in list_voters(second)
            and (step := _MODEL.copy(world, _SPARE, number, 2)) is not None
        ]
        if len(world.copied_from) >= needed:
            steps.append(Step("the new disk votes", replace(world, decided_epoch=3)))
        return steps
