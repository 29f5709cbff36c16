"""Model two concurrent replacements of keepers that may still be running.

The first set is k0, k1 and k2; the spare k3 replaces k1 or k2, and the register
decides which. The replaced keeper may respond in the first epoch until it
installs the second set. Another disk is lost after the new disk votes.
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
from troutstand.testing.models.disks import Disk, DiskModel, DiskWorld, Proposal, replace_disk
from troutstand.testing.models.register import make_proposer

_REGISTER = RegisterName("configuration/7")
_NAMES = ("k0", "k1", "k2", "k3")
_SPARE = 3
_NOW_S = 100.0
_EXPIRED_AGE_MS = 9000
_FIRST_DISK = "first"
_SPARE_DISK = "spare"
_SET_SIZE = 3


def _plan_second_set(first: KeeperSet, timed_out: str) -> KeeperSet:
    """Return the keeper set that the daemon plans when one keeper times out."""
    contacts = ContactRegistry()
    for name in _NAMES:
        contact = Contact(
            process=name,
            host=name,
            role="keeper",
            failure_domain="",
            incarnation="1",
            state=ProcessState.serving,
            age_ms=_EXPIRED_AGE_MS if name == timed_out else 0,
            disk_id=_SPARE_DISK if name == _NAMES[_SPARE] else _FIRST_DISK,
        )
        contacts.update(contact, _NOW_S)
    planned = plan_change(first, "k0", contacts, _NOW_S, 0.0, _SET_SIZE)
    assert planned is not None
    return planned


def _make_set_chains() -> tuple[tuple[KeeperSet, ...], ...]:
    first = make_initial_set(list(_NAMES[:3]))
    seconds = [_plan_second_set(first, timed_out) for timed_out in ("k1", "k2")]
    return tuple((first, second, promote_member(second, _NAMES[_SPARE])) for second in seconds)


_SET_CHAINS = _make_set_chains()


@dataclass(frozen=True)
class World(DiskWorld):
    """Hold the disks and the index of the decided replacement."""

    chain: int = 0


def _get_keeper_set(world: World, epoch: int) -> KeeperSet:
    return _SET_CHAINS[world.chain][epoch - 1]


_MODEL = DiskModel(_NAMES, _REGISTER, _get_keeper_set)


@dataclass(frozen=True)
class RivalReplacementModel:
    """Configure the number of copies.

    Parameters
    ----------
    copy_count
        Number of voters that the new disk copies from; None for the daemon's rule.
    """

    copy_count: int | None = None

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        empty = RegisterState(_REGISTER)
        disks = tuple(Disk(_FIRST_DISK, 1, empty) for _ in _NAMES[:3])
        spare = Disk(_SPARE_DISK, 0, empty)
        proposals = (Proposal(make_proposer("a", 1)), Proposal(make_proposer("b", 2)))
        return ModelSpec(
            "succession",
            World((*disks, spare), proposals),
            self._list_steps,
            {"one value is decided": lambda world: len(world.decided) <= 1},
        )

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        for index, proposal in enumerate(world.proposals):
            if not proposal.state.is_started:
                epochs = (1,) if index == 0 else range(2, world.decided_epoch + 1)
                steps += [_MODEL.start_ballot(world, index, epoch) for epoch in epochs]
        return steps + _MODEL.list_deliveries(world) + self._list_changes(world)

    def _list_changes(self, world: World) -> list[Step[World]]:
        if world.decided_epoch == 1:
            return [
                Step(f"replacement {n} is decided", replace(world, chain=n, decided_epoch=2))
                for n in range(len(_SET_CHAINS))
            ]
        steps: list[Step[World]] = []
        for number, disk in enumerate(world.disks):
            if disk.epoch < world.decided_epoch and disk.disk_id in (_FIRST_DISK, _SPARE_DISK):
                later = replace(disk, epoch=world.decided_epoch)
                steps.append(
                    Step(f"k{number} installs the set", replace_disk(world, number, later))
                )
        steps += self._list_copies(world)
        if world.decided_epoch == 3 and not world.is_second_disk_lost:
            # k0 is a member of every set.
            empty = Disk("lost", 0, RegisterState(_REGISTER))
            after = replace(replace_disk(world, 0, empty), is_second_disk_lost=True)
            steps.append(Step("k0 loses its disk", after))
        return steps

    def _list_copies(self, world: World) -> list[Step[World]]:
        copier = world.disks[_SPARE]
        if world.decided_epoch != 2 or copier.epoch != 2:
            return []
        second = _SET_CHAINS[world.chain][1]
        copy_count = count_copy_quorum(second) if self.copy_count is None else self.copy_count
        steps = [
            step
            for number in range(_SPARE)
            if _NAMES[number] in list_voters(second)
            and (step := _MODEL.copy_records(world, _SPARE, number, 2)) is not None
        ]
        if len(world.copied_from) >= copy_count:
            steps.append(Step("the new disk votes", replace(world, decided_epoch=3)))
        return steps
