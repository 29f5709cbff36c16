"""Model one command: its caller's resends, crashes, cuts, freezes and late messages.

Registers are write-once here, as `register` shows them to be. A freeze is no
step of its own: any process may stand still between any two of its steps, the
last check before a send and the send itself included.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, replace

from troutstand.core.codes import ResultCode, Run
from troutstand.core.command import (
    UNKNOWN_OUTCOME,
    Action,
    Answer,
    AskOwner,
    ClaimBlank,
    ClaimDecided,
    Command,
    CommandState,
    Dispatch,
    DispatchEnded,
    Event,
    OutcomeDecided,
    OwnerAnswered,
    OwnerGone,
    ProposeClaim,
    ProposeOutcome,
    ReadClaim,
    Refuse,
    RegisterUnreachable,
    make_not_run_outcome,
)
from troutstand.core.ids import CommandKey, Incarnation, ProcessId
from troutstand.generated.messages import Claim, Outcome, OutcomeKind
from troutstand.testing.models.check import ModelSpec, Step

_KEY = CommandKey("w/key")
_DONE = Outcome(OutcomeKind.done, 0, 200)
_NOT_RUN = make_not_run_outcome(ResultCode.TARGET_UNREACHABLE)
Registers = tuple[tuple[str, Claim | Outcome], ...]


@dataclass(frozen=True)
class Sending:
    """Keep one sending of the command at the entry process that took it."""

    number: int
    process: str
    attempt: int = 1
    state: CommandState = CommandState.CLAIMING
    sent: bool = False
    outcome: Outcome | None = None
    action: Action | None = None
    is_flying: bool = False
    alive: bool = True


@dataclass(frozen=True)
class World:
    """Hold the registers, the sendings and what ran."""

    registers: Registers = ()
    ghosts: frozenset[tuple[str, Claim | Outcome]] = frozenset()
    sendings: tuple[Sending, ...] = ()
    runs: int = 0
    told_not_run: bool = False
    told_done: bool = False


@dataclass(frozen=True)
class CommandModel:
    """Choose how often the caller sends, and which guard is taken out.

    Parameters
    ----------
    attempts
        The attempt that the caller numbers each of its sendings with.
    """

    attempts: tuple[int, ...] = (1, 2, 3)
    processes: int = 2
    crashes: bool = True
    command_class: type[Command] = Command

    def make_spec(self) -> ModelSpec[World]:
        """Make the specification to check."""
        return ModelSpec(
            "command",
            World(),
            self._list_steps,
            {
                "runs at most once": lambda world: world.runs <= 1,
                "'not run' is true": lambda world: not (world.told_not_run and world.runs > 0),
                "'done' is true": lambda world: not (world.told_done and world.runs == 0),
            },
        )

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        if len(world.sendings) < len(self.attempts):
            steps.append(self._send(world))
        for ghost in world.ghosts:
            steps.append(_write_ghost(world, ghost))
        for sending in world.sendings:
            if sending.is_flying:
                steps += self._run(world, sending)
            if sending.alive and sending.state is not CommandState.ENDED:
                steps += self._advance(world, sending)
        if self.crashes:
            names = {s.process for s in world.sendings if s.alive}
            steps += [_crash(world, name) for name in sorted(names)]
        return steps

    def _send(self, world: World) -> Step[World]:
        """Let the caller send, having given up on every earlier sending."""
        number = len(world.sendings)
        sending = Sending(number, f"p{number % self.processes}")
        command = self._load(sending)
        sending = _store(sending, command, command.start())
        sendings = (*world.sendings, sending)
        return Step(f"send {number}", replace(world, sendings=sendings, told_not_run=False))

    def _load(self, sending: Sending) -> Command:
        command = self.command_class(
            _KEY,
            ProcessId(sending.process),
            Incarnation(str(sending.number)),
            str(sending.number),
            "digest",
            is_key_generated=False,
            last_attempt=self.attempts[sending.number],
        )
        command.attempt, command.state = sending.attempt, sending.state
        command.is_dispatched, command._outcome = sending.sent, sending.outcome
        return copy.copy(command)

    def _advance(self, world: World, sending: Sending) -> list[Step[World]]:
        match sending.action:
            case ProposeClaim(register, claim):
                return self._propose(world, sending, register, claim)
            case ReadClaim(register):
                return self._read(world, sending, register)
            case ProposeOutcome(register, outcome, _):
                return self._propose(world, sending, register, outcome)
            case AskOwner(_, register, nonce):
                return self._ask_owner(world, sending, register, nonce)
            case Dispatch() if not sending.is_flying:
                return self._dispatch(world, sending)
            case _:
                return []

    def _propose(
        self, world: World, sending: Sending, register: str, value: Claim | Outcome
    ) -> list[Step[World]]:
        registers = dict(world.registers)
        decided = registers.setdefault(register, value)
        written = replace(world, registers=tuple(sorted(registers.items(), key=lambda i: i[0])))
        event = ClaimDecided(decided) if isinstance(decided, Claim) else OutcomeDecided(decided)
        steps = [self._take(written, sending, event, f"{register} decided")]
        late = replace(world, ghosts=world.ghosts | {(register, value)})
        unreachable = RegisterUnreachable()
        steps.append(self._take(world, sending, unreachable, f"{register} unreachable"))
        steps.append(self._take(late, sending, unreachable, f"{register} unreachable, accept late"))
        return steps

    def _read(self, world: World, sending: Sending, register: str) -> list[Step[World]]:
        claim = dict(world.registers).get(register)
        event = ClaimDecided(claim) if isinstance(claim, Claim) else ClaimBlank()
        return [
            self._take(world, sending, event, f"{register} read"),
            self._take(world, sending, RegisterUnreachable(), f"{register} unreachable"),
        ]

    def _ask_owner(
        self, world: World, sending: Sending, register: str, nonce: str
    ) -> list[Step[World]]:
        steps = [self._take(world, sending, OwnerGone(), "owner silent")]
        owner = world.sendings[int(nonce)]
        if not owner.alive or not register.endswith(f"/{owner.attempt}"):
            return steps
        answered = OwnerAnswered(_tell_outcome(owner))
        return [*steps, self._take(world, sending, answered, "owner answers")]

    def _dispatch(self, world: World, sending: Sending) -> list[Step[World]]:
        flying = replace(sending, is_flying=True)
        sent = Step(f"{sending.number} sends to the target", _put(world, flying))
        ended = DispatchEnded(_NOT_RUN)
        return [sent, self._take(world, sending, ended, "target unreachable")]

    def _run(self, world: World, sending: Sending) -> list[Step[World]]:
        """Let the target run a call, whether or not its sender still lives."""
        landed = replace(sending, is_flying=False)
        ran = replace(_put(world, landed), runs=world.runs + 1)
        if not sending.alive:
            return [Step(f"target runs {sending.number}", ran)]
        return [
            self._take(ran, landed, DispatchEnded(_DONE), "target runs and answers"),
            self._take(ran, landed, DispatchEnded(UNKNOWN_OUTCOME), "target runs, answer lost"),
        ]

    def _take(self, world: World, sending: Sending, event: Event, label: str) -> Step[World]:
        command = self._load(sending)
        action = command.receive(event)
        after = _put(world, _store(sending, command, action))
        is_heard = sending.number == len(world.sendings) - 1
        if is_heard and isinstance(action, Refuse) and action.run is Run.NO:
            after = replace(after, told_not_run=True)
        if isinstance(action, Answer):
            after = replace(after, told_done=True)
        return Step(f"{sending.number}: {label}", after)


def _store(sending: Sending, command: Command, action: Action | None) -> Sending:
    return replace(
        sending,
        attempt=command.attempt,
        state=command.state,
        sent=command.is_dispatched,
        outcome=command._outcome,
        action=action,
    )


def _put(world: World, sending: Sending) -> World:
    index = sending.number
    sendings = (*world.sendings[:index], sending, *world.sendings[index + 1 :])
    return replace(world, sendings=sendings)


def _tell_outcome(owner: Sending) -> Outcome | None:
    """Tell what the owner's process answers about its attempt."""
    if owner.outcome is not None:
        return owner.outcome
    if owner.state is CommandState.ENDED and not owner.sent:
        return make_not_run_outcome(ResultCode.COMMAND_NOT_RUN)
    return None


def _write_ghost(world: World, ghost: tuple[str, Claim | Outcome]) -> Step[World]:
    registers = dict(world.registers)
    registers.setdefault(*ghost)
    ordered = tuple(sorted(registers.items(), key=lambda item: item[0]))
    after = replace(world, registers=ordered, ghosts=world.ghosts - {ghost})
    return Step(f"late accept of {ghost[0]}", after)


def _crash(world: World, process: str) -> Step[World]:
    sendings = tuple(
        replace(s, alive=False, action=None) if s.process == process else s for s in world.sendings
    )
    return Step(f"{process} crashes", replace(world, sendings=sendings))


class CloseAsNotRun(Command):
    """Say "not run" for an owner that is silent: the guard taken out."""

    def _close_attempt(self, outcome: Outcome) -> Action:
        return super()._close_attempt(make_not_run_outcome(ResultCode.COMMAND_NOT_RUN))


class DispatchUnclaimed(Command):
    """Dispatch where no majority could be reached: the guard taken out."""

    def _abandon_claim(self) -> Action:
        self.state = CommandState.DISPATCHING
        self.is_dispatched = True
        return Dispatch(self.attempt)


class TakeOver(Command):
    """Go on to the next attempt although the owner is only silent: the guard taken out."""

    def _close_attempt(self, outcome: Outcome) -> Action:
        return self._handle_outcome(make_not_run_outcome(ResultCode.COMMAND_NOT_RUN))


class OpenNextAttempt(Command):
    """Open the next attempt unasked once one is closed as not run: the guard taken out."""

    def _handle_outcome(self, outcome: Outcome) -> Action:
        if outcome.kind is OutcomeKind.not_run:
            self.last_attempt = self.attempt + 1
        return super()._handle_outcome(outcome)
