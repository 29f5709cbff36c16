"""Model the replacement of a keeper that lost its disk, followed by a second disk loss.

Keeper sets are decided in order, which `register` checks, and each keeper
installs them at any later time. Proposers may use any set decided so far.
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
from troutstand.testing.models.disks import Disk, DiskModel, DiskWorld, Proposal, replace_disk
from troutstand.testing.models.register import make_proposer

_REGISTER = RegisterName("claim/w/key/1")
_NAMES = ("k0", "k1", "k2")
_REPLACED = "k2"
_FIRST_SET = KeeperSet(1, [Member(name, f"{name}-old", MemberState.voting) for name in _NAMES])
_SECOND_SET = replace_member(_FIRST_SET, _REPLACED, f"{_REPLACED}-new")
_THIRD_SET = promote_member(_SECOND_SET, _REPLACED)
_SETS = (_FIRST_SET, _SECOND_SET, _THIRD_SET)


def _get_keeper_set(_: DiskWorld, epoch: int) -> KeeperSet:
    return _SETS[epoch - 1]


_MODEL = DiskModel(_NAMES, _REGISTER, _get_keeper_set)


@dataclass(frozen=True)
class ReplacementModel:
    """Configure the safeguards.

    Parameters
    ----------
    copies_records
        Whether the new disk copies the records of every voter before it votes.
    checks_epoch
        Whether voters reject a copy request until they have installed the second set.
    """

    copies_records: bool = True
    checks_epoch: bool = True

    def make_spec(self) -> ModelSpec[DiskWorld]:
        """Make the specification to check."""
        empty = RegisterState(_REGISTER)
        disks = tuple(Disk(f"{name}-old", 1, empty) for name in _NAMES)
        proposals = (Proposal(make_proposer("a", 1)), Proposal(make_proposer("b", 2)))
        return ModelSpec(
            "replacement",
            DiskWorld(disks, proposals),
            self._list_steps,
            {"one value is decided": lambda world: len(world.decided) <= 1},
        )

    def _list_steps(self, world: DiskWorld) -> list[Step[DiskWorld]]:
        steps: list[Step[DiskWorld]] = []
        for index, proposal in enumerate(world.proposals):
            if not proposal.state.is_started:
                # The first ballot starts before the replacement, the second during or after it.
                epochs = (1,) if index == 0 else range(2, world.decided_epoch + 1)
                steps += [_MODEL.start_ballot(world, index, epoch) for epoch in epochs]
        return steps + _MODEL.list_deliveries(world) + self._list_changes(world)

    def _list_changes(self, world: DiskWorld) -> list[Step[DiskWorld]]:
        steps: list[Step[DiskWorld]] = []
        replaced = world.disks[2]
        if replaced.disk_id.endswith("old"):
            empty = Disk(f"{_REPLACED}-new", 0, RegisterState(_REGISTER))
            steps.append(Step("k2 loses its disk", replace_disk(world, 2, empty)))
            return steps
        if world.decided_epoch == 1:
            steps.append(Step("second set decided", replace(world, decided_epoch=2)))
        for number, disk in enumerate(world.disks):
            if disk.epoch < world.decided_epoch:
                later = replace(disk, epoch=disk.epoch + 1)
                steps.append(Step(f"k{number} installs a set", replace_disk(world, number, later)))
        if replaced.epoch == 2:
            steps += [s for number in (0, 1) if (s := self._copy(world, number))]
        is_copied = world.copied_from == {"k0", "k1"} or not self.copies_records
        if world.decided_epoch == 2 and replaced.epoch == 2 and is_copied:
            steps.append(Step("third set decided", replace(world, decided_epoch=3)))
        if world.decided_epoch == 3 and not world.is_second_disk_lost:
            empty = Disk("k0-new", 0, RegisterState(_REGISTER))
            after = replace(replace_disk(world, 0, empty), is_second_disk_lost=True)
            steps.append(Step("k0 loses its disk", after))
        return steps

    def _copy(self, world: DiskWorld, number: int) -> Step[DiskWorld] | None:
        epoch = 2 if self.checks_epoch else world.disks[number].epoch
        return _MODEL.copy_records(world, 2, number, epoch)
