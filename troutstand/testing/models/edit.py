"""Model the table versions: concurrent operators that resubmit their edits."""

from __future__ import annotations

from dataclasses import dataclass, replace

from troutstand.core.edit import (
    Action,
    Edit,
    EditAccepted,
    EditOutcomeUnknown,
    EditStale,
    EditState,
    Event,
    ProposeVersion,
    QuorumUnreachable,
    ReadVersion,
    VersionBlank,
    VersionDecided,
)
from troutstand.testing.models.check import ModelSpec, Step


@dataclass(frozen=True)
class Operator:
    """Hold one operator's edit and the replies that it received."""

    edit_id: str
    base: int
    submission_count: int = 0
    replies: frozenset[EditAccepted | EditStale] = frozenset()
    edit: tuple[EditState, int, int | None] | None = None
    action: Action | None = None


@dataclass(frozen=True)
class World:
    """Hold the version registers and the operators.

    `known_version` is the latest version known to the process that handles the
    edits, which loses it on a restart.
    """

    registers: tuple[str, ...]
    operators: tuple[Operator, ...]
    delayed_writes: frozenset[tuple[int, str]] = frozenset()
    known_version: int = 0


@dataclass(frozen=True)
class EditModel:
    """Configure the operators, their submissions and the edit implementation."""

    operators: tuple[Operator, ...] = (Operator("a", 0), Operator("b", 0))
    max_submissions: int = 2
    edit_class: type[Edit] = Edit

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        return ModelSpec(
            "edit",
            World((), self.operators),
            self._list_steps,
            {
                "an edit makes one version": _makes_one_version,
                "an edit follows its base": self._follows_base,
                "every answer is the same and true": _replies_match_registers,
            },
        )

    def _follows_base(self, world: World) -> bool:
        bases = {operator.edit_id: operator.base for operator in self.operators}
        return all(bases[edit_id] == index for index, edit_id in enumerate(world.registers))

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps = [
            _apply_delayed_write(world, write)
            for write in world.delayed_writes
            if _can_apply(world, write)
        ]
        for index, operator in enumerate(world.operators):
            # An operator exports a version before editing it.
            is_exported = operator.base <= len(world.registers)
            if operator.submission_count < self.max_submissions and is_exported:
                steps.append(self._submit(world, index))
            steps += self._advance(world, index)
        if world.known_version < len(world.registers):
            steps.append(
                Step(
                    "process applies a version",
                    replace(world, known_version=world.known_version + 1),
                )
            )
        if world.known_version:
            steps.append(Step("process restarts", replace(world, known_version=0)))
        return steps

    def _submit(self, world: World, index: int) -> Step[World]:
        operator = world.operators[index]
        accepted_version = None
        if operator.edit_id in world.registers[: world.known_version]:
            accepted_version = world.registers.index(operator.edit_id) + 1
        edit = self.edit_class(
            operator.edit_id, operator.base, world.known_version, accepted_version
        )
        operator = replace(operator, submission_count=operator.submission_count + 1)
        after = _store(world, index, operator, edit, edit.start())
        return Step(f"{operator.edit_id} submits", after)

    def _advance(self, world: World, index: int) -> list[Step[World]]:
        operator = world.operators[index]
        match operator.action:
            case ReadVersion(version):
                return [
                    self._deliver(world, index, _read(world, version), f"reads {version}"),
                    self._deliver(world, index, QuorumUnreachable(), "cannot read"),
                ]
            case ProposeVersion(version):
                return self._propose(world, index, version)
            case _:
                return []

    def _propose(self, world: World, index: int, version: int) -> list[Step[World]]:
        edit_id = world.operators[index].edit_id
        after_write = _write(world, version, edit_id)
        decided = VersionDecided(after_write.registers[version - 1])
        late = replace(world, delayed_writes=world.delayed_writes | {(version, edit_id)})
        return [
            self._deliver(after_write, index, decided, f"proposes {version}"),
            self._deliver(late, index, QuorumUnreachable(), f"proposes {version}, accept late"),
        ]

    def _deliver(self, world: World, index: int, event: Event, label: str) -> Step[World]:
        operator = world.operators[index]
        assert operator.edit is not None
        state, version, accepted_version = operator.edit
        edit = self.edit_class(operator.edit_id, operator.base, version, accepted_version)
        edit.state = state
        action = edit.receive(event)
        if isinstance(action, EditAccepted | EditStale):
            operator = replace(operator, replies=operator.replies | {action})
        after = _store(world, index, operator, edit, action)
        return Step(f"{operator.edit_id} {label}", after)


def _store(world: World, index: int, operator: Operator, edit: Edit, action: Action) -> World:
    pending = None if isinstance(action, EditAccepted | EditStale | EditOutcomeUnknown) else action
    operator = replace(
        operator, edit=(edit.state, edit._version, edit._accepted_version), action=pending
    )
    operators = (*world.operators[:index], operator, *world.operators[index + 1 :])
    return replace(world, operators=operators)


def _read(world: World, version: int) -> Event:
    if version <= len(world.registers):
        return VersionDecided(world.registers[version - 1])
    return VersionBlank()


def _write(world: World, version: int, edit_id: str) -> World:
    if version <= len(world.registers):
        return world
    return replace(world, registers=(*world.registers, edit_id))


def _can_apply(world: World, write: tuple[int, str]) -> bool:
    return write[0] == len(world.registers) + 1


def _apply_delayed_write(world: World, write: tuple[int, str]) -> Step[World]:
    after = replace(_write(world, *write), delayed_writes=world.delayed_writes - {write})
    return Step(f"late accept of {write[1]} as {write[0]}", after)


def _makes_one_version(world: World) -> bool:
    return len(set(world.registers)) == len(world.registers)


def _replies_match_registers(world: World) -> bool:
    return all(_matches_registers(world, operator) for operator in world.operators)


def _matches_registers(world: World, operator: Operator) -> bool:
    decided = None
    if operator.edit_id in world.registers:
        decided = world.registers.index(operator.edit_id) + 1
    for reply in operator.replies:
        if isinstance(reply, EditAccepted) and reply.version != decided:
            return False
        if isinstance(reply, EditStale) and decided is not None:
            return False
    return True


class SkipDuplicateCheck(Edit):
    """Ignore earlier submissions of the same edit (deliberately faulty)."""

    def _record_decided(self, edit_id: str) -> None:
        self._version += 1


class SkipBaseCheck(Edit):
    """Propose an edit without checking its base version (deliberately faulty)."""

    def _propose_or_answer(self) -> Action:
        self.state = EditState.PROPOSING
        return ProposeVersion(self._version + 1)
