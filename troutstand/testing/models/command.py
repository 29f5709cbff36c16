"""Model one command with resubmissions, crashes, lost connections and delayed messages.

Registers are write-once, which `register` checks. A process may pause between
any two of its steps, so a pause needs no step of its own.
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
class Submission:
    """Hold the state of one submission of the command at an entry process."""

    number: int
    process: str
    attempt: int = 1
    state: CommandState = CommandState.CLAIMING
    is_dispatched: bool = False
    outcome: Outcome | None = None
    action: Action | None = None
    is_in_flight: bool = False
    is_alive: bool = True


@dataclass(frozen=True)
class World:
    """Hold the registers, the submissions, the run count and the reported results."""

    registers: Registers = ()
    delayed_writes: frozenset[tuple[str, Claim | Outcome]] = frozenset()
    submissions: tuple[Submission, ...] = ()
    runs: int = 0
    reported_not_run: bool = False
    reported_done: bool = False


@dataclass(frozen=True)
class CommandModel:
    """Configure the submissions, the processes and the command implementation.

    Parameters
    ----------
    attempts
        The attempt number that the caller gives each submission.
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
                "'not run' is true": lambda world: not (world.reported_not_run and world.runs > 0),
                "'done' is true": lambda world: not (world.reported_done and world.runs == 0),
            },
        )

    def _list_steps(self, world: World) -> list[Step[World]]:
        steps: list[Step[World]] = []
        if len(world.submissions) < len(self.attempts):
            steps.append(self._submit(world))
        for write in world.delayed_writes:
            steps.append(_apply_delayed_write(world, write))
        for submission in world.submissions:
            if submission.is_in_flight:
                steps += self._run(world, submission)
            if submission.is_alive and submission.state is not CommandState.ENDED:
                steps += self._advance(world, submission)
        if self.crashes:
            names = {s.process for s in world.submissions if s.is_alive}
            steps += [_crash(world, name) for name in sorted(names)]
        return steps

    def _submit(self, world: World) -> Step[World]:
        """Submit the command again after abandoning all earlier submissions."""
        number = len(world.submissions)
        submission = Submission(number, f"p{number % self.processes}")
        command = self._load(submission)
        submission = _store(submission, command, command.start())
        submissions = (*world.submissions, submission)
        return Step(
            f"submit {number}", replace(world, submissions=submissions, reported_not_run=False)
        )

    def _load(self, submission: Submission) -> Command:
        command = self.command_class(
            _KEY,
            ProcessId(submission.process),
            Incarnation(str(submission.number)),
            str(submission.number),
            "digest",
            is_key_generated=False,
            last_attempt=self.attempts[submission.number],
        )
        command.attempt, command.state = submission.attempt, submission.state
        command.is_dispatched, command._outcome = submission.is_dispatched, submission.outcome
        return copy.copy(command)

    def _advance(self, world: World, submission: Submission) -> list[Step[World]]:
        match submission.action:
            case ProposeClaim(register, claim):
                return self._propose(world, submission, register, claim)
            case ReadClaim(register):
                return self._read(world, submission, register)
            case ProposeOutcome(register, outcome, _):
                return self._propose(world, submission, register, outcome)
            case AskOwner(_, register, nonce):
                return self._ask_owner(world, submission, register, nonce)
            case Dispatch() if not submission.is_in_flight:
                return self._dispatch(world, submission)
            case _:
                return []

    def _propose(
        self, world: World, submission: Submission, register: str, value: Claim | Outcome
    ) -> list[Step[World]]:
        registers = dict(world.registers)
        decided = registers.setdefault(register, value)
        after_write = replace(world, registers=tuple(sorted(registers.items(), key=lambda i: i[0])))
        event = ClaimDecided(decided) if isinstance(decided, Claim) else OutcomeDecided(decided)
        steps = [self._deliver(after_write, submission, event, f"{register} decided")]
        late = replace(world, delayed_writes=world.delayed_writes | {(register, value)})
        unreachable = RegisterUnreachable()
        steps.append(self._deliver(world, submission, unreachable, f"{register} unreachable"))
        steps.append(
            self._deliver(late, submission, unreachable, f"{register} unreachable, accept late")
        )
        return steps

    def _read(self, world: World, submission: Submission, register: str) -> list[Step[World]]:
        claim = dict(world.registers).get(register)
        event = ClaimDecided(claim) if isinstance(claim, Claim) else ClaimBlank()
        return [
            self._deliver(world, submission, event, f"{register} read"),
            self._deliver(world, submission, RegisterUnreachable(), f"{register} unreachable"),
        ]

    def _ask_owner(
        self, world: World, submission: Submission, register: str, nonce: str
    ) -> list[Step[World]]:
        steps = [self._deliver(world, submission, OwnerGone(), "owner does not respond")]
        owner = world.submissions[int(nonce)]
        if not owner.is_alive or not register.endswith(f"/{owner.attempt}"):
            return steps
        response = OwnerAnswered(_get_owner_reply(owner))
        return [*steps, self._deliver(world, submission, response, "owner responds")]

    def _dispatch(self, world: World, submission: Submission) -> list[Step[World]]:
        in_flight = replace(submission, is_in_flight=True)
        dispatched = Step(
            f"{submission.number} sends to the target", _replace_submission(world, in_flight)
        )
        ended = DispatchEnded(_NOT_RUN)
        return [dispatched, self._deliver(world, submission, ended, "target unreachable")]

    def _run(self, world: World, submission: Submission) -> list[Step[World]]:
        """Run the request at the target, even if its sender has crashed."""
        delivered = replace(submission, is_in_flight=False)
        ran = replace(_replace_submission(world, delivered), runs=world.runs + 1)
        if not submission.is_alive:
            return [Step(f"target runs {submission.number}", ran)]
        return [
            self._deliver(ran, delivered, DispatchEnded(_DONE), "target runs and responds"),
            self._deliver(
                ran, delivered, DispatchEnded(UNKNOWN_OUTCOME), "target runs, response lost"
            ),
        ]

    def _deliver(
        self, world: World, submission: Submission, event: Event, label: str
    ) -> Step[World]:
        command = self._load(submission)
        action = command.receive(event)
        after = _replace_submission(world, _store(submission, command, action))
        is_latest = submission.number == len(world.submissions) - 1
        if is_latest and isinstance(action, Refuse) and action.run is Run.NO:
            after = replace(after, reported_not_run=True)
        if isinstance(action, Answer):
            after = replace(after, reported_done=True)
        return Step(f"{submission.number}: {label}", after)


def _store(submission: Submission, command: Command, action: Action | None) -> Submission:
    return replace(
        submission,
        attempt=command.attempt,
        state=command.state,
        is_dispatched=command.is_dispatched,
        outcome=command._outcome,
        action=action,
    )


def _replace_submission(world: World, submission: Submission) -> World:
    index = submission.number
    submissions = (*world.submissions[:index], submission, *world.submissions[index + 1 :])
    return replace(world, submissions=submissions)


def _get_owner_reply(owner: Submission) -> Outcome | None:
    """Return the outcome that the owner reports for its attempt, if known."""
    if owner.outcome is not None:
        return owner.outcome
    if owner.state is CommandState.ENDED and not owner.is_dispatched:
        return make_not_run_outcome(ResultCode.COMMAND_NOT_RUN)
    return None


def _apply_delayed_write(world: World, write: tuple[str, Claim | Outcome]) -> Step[World]:
    registers = dict(world.registers)
    registers.setdefault(*write)
    ordered = tuple(sorted(registers.items(), key=lambda item: item[0]))
    after = replace(world, registers=ordered, delayed_writes=world.delayed_writes - {write})
    return Step(f"late accept of {write[0]}", after)


def _crash(world: World, process: str) -> Step[World]:
    submissions = tuple(
        replace(s, is_alive=False, action=None) if s.process == process else s
        for s in world.submissions
    )
    return Step(f"{process} crashes", replace(world, submissions=submissions))


class CloseAsNotRun(Command):
    """Report "not run" for an owner that does not respond (deliberately faulty)."""

    def _close_attempt(self, outcome: Outcome) -> Action:
        return super()._close_attempt(make_not_run_outcome(ResultCode.COMMAND_NOT_RUN))


class DispatchUnclaimed(Command):
    """Dispatch without a claim when no quorum is reachable (deliberately faulty)."""

    def _abandon_claim(self) -> Action:
        self.state = CommandState.DISPATCHING
        self.is_dispatched = True
        return Dispatch(self.attempt)


class SkipSilentOwner(Command):
    """Move to the next attempt if the owner does not respond (deliberately faulty)."""

    def _close_attempt(self, outcome: Outcome) -> Action:
        return self._handle_outcome(make_not_run_outcome(ResultCode.COMMAND_NOT_RUN))


class OpenUnrequestedAttempt(Command):
    """Open an unrequested attempt after one closes as not run (deliberately faulty)."""

    def _handle_outcome(self, outcome: Outcome) -> Action:
        if outcome.kind is OutcomeKind.not_run:
            self.last_attempt = self.attempt + 1
        return super()._handle_outcome(outcome)
