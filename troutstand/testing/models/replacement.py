"""Model the replacement of a keeper that lost its disk, and a second loss right after.

The keeper sets are decided in order here, as `register` shows registers to be;
each keeper learns them when it likes. Proposers may use any set decided so far.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from troutstand.core.ids import RegisterName
from troutstand.core.membership import promote_member, replace_member
from troutstand.generated.messages import (
    KeeperSet,
    Member,
    MemberState,
    RegisterState,
)
from troutstand.testing.models.check import ModelSpec, Step
from troutstand.testing.models.disks import Disk, DiskModel, DiskWorld, Proposal, put_disk
from troutstand.testing.models.register import make_bid

_REGISTER = RegisterName("claim/w/key/1")
_NAMES = ("k0", "k1", "k2")
_LOST = "k2"
_FIRST = KeeperSet(1, [Member(name, f"{name}-old", MemberState.voting) for name in _NAMES])
_SECOND = replace_member(_FIRST, _LOST, f"{_LOST}-new")
_THIRD = promote_member(_SECOND, _LOST)
_SETS = (_FIRST, _SECOND, _THIRD)


def _find_set(_: DiskWorld, epoch: int) -> KeeperSet:
    return _SETS[epoch - 1]


_MODEL = DiskModel(_NAMES, _REGISTER, _find_set)


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

    def make_spec(self) -> ModelSpec[DiskWorld]:
        """Make the specification to check."""
        blank = RegisterState(_REGISTER)
        disks = tuple(Disk(f"{name}-old", 1, blank) for name in _NAMES)
        proposals = (Proposal(make_bid("a", 1)), Proposal(make_bid("b", 2)))
        return ModelSpec(
            "replacement",
            DiskWorld(disks, proposals),
            self._list_steps,
            {"one value is decided": lambda world: len(world.decided) <= 1},
        )

    def _list_steps(self, world: DiskWorld) -> list[Step[DiskWorld]]:
        steps: list[Step[DiskWorld]] = []
        for index, proposal in enumerate(world.proposals):
            if not proposal.bid.started:
                # The first begins before the repair, the second during or after it.
                epochs = (1,) if index == 0 else range(2, world.decided_epoch + 1)
                steps += [_MODEL.start(world, index, epoch) for epoch in epochs]
        return steps + _MODEL.list_deliveries(world) + self._list_changes(world)

    def _list_changes(self, world: DiskWorld) -> list[Step[DiskWorld]]:
        steps: list[Step[DiskWorld]] = []
        lost = world.disks[2]
        if lost.disk_id.endswith("old"):
            fresh = Disk(f"{_LOST}-new", 0, RegisterState(_REGISTER))
            steps.append(Step("k2 loses its disk", put_disk(world, 2, fresh)))
            return steps
        if world.decided_epoch == 1:
            steps.append(Step("second set decided", replace(world, decided_epoch=2)))
        for number, disk in enumerate(world.disks):
            if disk.epoch < world.decided_epoch:
                later = replace(disk, epoch=disk.epoch + 1)
                steps.append(Step(f"k{number} learns a set", put_disk(world, number, later)))
        if lost.epoch == 2:
            steps += [s for number in (0, 1) if (s := self._copy(world, number))]
        is_copied = world.copied_from == {"k0", "k1"} or not self.copies
        if world.decided_epoch == 2 and lost.epoch == 2 and is_copied:
            steps.append(Step("third set decided", replace(world, decided_epoch=3)))
        if world.decided_epoch == 3 and not world.is_second_lost:
            gone = Disk("k0-new", 0, RegisterState(_REGISTER))
            after = replace(put_disk(world, 0, gone), is_second_lost=True)
            steps.append(Step("k0 loses its disk", after))
        return steps

    def _copy(self, world: DiskWorld, number: int) -> Step[DiskWorld] | None:
        epoch = 2 if self.checks_epoch else world.disks[number].epoch
        return _MODEL.copy(world, 2, number, epoch)
