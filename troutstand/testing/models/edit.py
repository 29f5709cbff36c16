"""Model the line of table versions: racing operators who resend their edits."""

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
    """Keep one operator's edit and the answers that were heard."""

    edit_id: str
    base: int
    sendings: int = 0
    heard: frozenset[EditAccepted | EditStale] = frozenset()
    edit: tuple[EditState, int, int | None] | None = None
    action: Action | None = None


@dataclass(frozen=True)
class World:
    """Hold the registers of the versions and what each operator heard.

    `known` is the version that the asked process knows; it is lost when that
    process restarts without a disk.
    """

    registers: tuple[str, ...]
    operators: tuple[Operator, ...]
    ghosts: frozenset[tuple[int, str]] = frozenset()
    known: int = 0


@dataclass(frozen=True)
class EditModel:
    """Choose the operators and which guard is taken out."""

    operators: tuple[Operator, ...] = (Operator("a", 0), Operator("b", 0))
    sends: int = 2
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
                "every answer is the same and true": _answers_truly,
            },
        )

    def _follows_base(self, world: World) -> bool:
        bases = {operator.edit_id: operator.base for operator in self.operators}
        return all(bases[edit_id] == index for index, edit_id in enumerate(world.registers))

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps = [_write_ghost(world, ghost) for ghost in world.ghosts if _may_write(world, ghost)]
        for index, operator in enumerate(world.operators):
            # An operator exports a version before editing it.
            is_exported = operator.base <= len(world.registers)
            if operator.sendings < self.sends and is_exported:
                steps.append(self._send(world, index))
            steps += self._advance(world, index)
        if world.known < len(world.registers):
            steps.append(Step("process learns", replace(world, known=world.known + 1)))
        if world.known:
            steps.append(Step("process restarts", replace(world, known=0)))
        return steps

    def _send(self, world: World, index: int) -> Step[World]:
        operator = world.operators[index]
        known = None
        if operator.edit_id in world.registers[: world.known]:
            known = world.registers.index(operator.edit_id) + 1
        edit = self.edit_class(operator.edit_id, operator.base, world.known, known)
        operator = replace(operator, sendings=operator.sendings + 1)
        after = _store(world, index, operator, edit, edit.start())
        return Step(f"{operator.edit_id} sends", after)

    def _advance(self, world: World, index: int) -> list[Step[World]]:
        operator = world.operators[index]
        match operator.action:
            case ReadVersion(version):
                return [
                    self._take(world, index, _read(world, version), f"reads {version}"),
                    self._take(world, index, QuorumUnreachable(), "cannot read"),
                ]
            case ProposeVersion(version):
                return self._propose(world, index, version)
            case _:
                return []

    def _propose(self, world: World, index: int, version: int) -> list[Step[World]]:
        edit_id = world.operators[index].edit_id
        written = _write(world, version, edit_id)
        decided = VersionDecided(written.registers[version - 1])
        late = replace(world, ghosts=world.ghosts | {(version, edit_id)})
        return [
            self._take(written, index, decided, f"proposes {version}"),
            self._take(late, index, QuorumUnreachable(), f"proposes {version}, accept late"),
        ]

    def _take(self, world: World, index: int, event: Event, label: str) -> Step[World]:
        operator = world.operators[index]
        assert operator.edit is not None
        state, version, known = operator.edit
        edit = self.edit_class(operator.edit_id, operator.base, version, known)
        edit.state = state
        action = edit.receive(event)
        if isinstance(action, EditAccepted | EditStale):
            operator = replace(operator, heard=operator.heard | {action})
        after = _store(world, index, operator, edit, action)
        return Step(f"{operator.edit_id} {label}", after)


def _store(world: World, index: int, operator: Operator, edit: Edit, action: Action) -> World:
    kept = None if isinstance(action, EditAccepted | EditStale | EditOutcomeUnknown) else action
    operator = replace(
        operator, edit=(edit.state, edit._version, edit._accepted_version), action=kept
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


def _may_write(world: World, ghost: tuple[int, str]) -> bool:
    return ghost[0] == len(world.registers) + 1


def _write_ghost(world: World, ghost: tuple[int, str]) -> Step[World]:
    after = replace(_write(world, *ghost), ghosts=world.ghosts - {ghost})
    return Step(f"late accept of {ghost[1]} as {ghost[0]}", after)


def _makes_one_version(world: World) -> bool:
    return len(set(world.registers)) == len(world.registers)


def _answers_truly(world: World) -> bool:
    return all(_is_true(world, operator) for operator in world.operators)


def _is_true(world: World, operator: Operator) -> bool:
    made = None
    if operator.edit_id in world.registers:
        made = world.registers.index(operator.edit_id) + 1
    for answer in operator.heard:
        if isinstance(answer, EditAccepted) and answer.version != made:
            return False
        if isinstance(answer, EditStale) and made is not None:
            return False
    return True


class ForgetEdits(Edit):
    """Judge a resent edit without a look for it: the guard taken out."""

    def _record_decided(self, edit_id: str) -> None:
        self._version += 1


class IgnoreBase(Edit):
    """Propose an edit whatever it was edited from: the guard taken out."""

    def _propose_or_answer(self) -> Action:
        self.state = EditState.PROPOSING
        return ProposeVersion(self._version + 1)
