"""Run a non-repeatable command at most once, across resends by its caller.

Each attempt has two write-once registers. The claim names the only process that may
dispatch; the outcome holds the final answer. Only the claim's owner may record "not
run", and it never dispatches afterwards: a suspended owner may still send, so other
processes can close the attempt only as "unknown".

A call uses the attempt that its caller numbered, once all lower ones are closed.
Otherwise an earlier call that the caller has abandoned could open the next attempt
after the caller was told "not run".
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from troutstand.core.codes import ResultCode, Run
from troutstand.core.ids import CommandKey, Incarnation, ProcessId, RegisterName
from troutstand.generated.messages import Claim, Outcome, OutcomeKind

# The owner of an attempt that was closed before any process claimed it.
NO_OWNER = ProcessId("")


def name_claim_register(key: CommandKey, attempt: int) -> RegisterName:
    """Name the register that holds an attempt's claim."""
    return RegisterName(f"claim/{key}/{attempt}")


def name_outcome_register(key: CommandKey, attempt: int) -> RegisterName:
    """Name the register that holds an attempt's outcome."""
    return RegisterName(f"outcome/{key}/{attempt}")


@dataclass(frozen=True)
class ProposeClaim:
    """Propose this process as the attempt's owner."""

    register: RegisterName
    claim: Claim


@dataclass(frozen=True)
class ReadClaim:
    """Read the claim of an attempt after the caller's."""

    register: RegisterName


@dataclass(frozen=True)
class ProposeOutcome:
    """Propose an outcome; the owner may use round 0."""

    register: RegisterName
    outcome: Outcome
    is_owner: bool


@dataclass(frozen=True)
class AskOwner:
    """Ask the owner for the outcome of the attempt and wait for it."""

    owner: ProcessId
    register: RegisterName
    nonce: str


@dataclass(frozen=True)
class Dispatch:
    """Send the command to a target, once."""

    attempt: int


@dataclass(frozen=True)
class Answer:
    """Return the recorded outcome to the caller."""

    outcome: Outcome


@dataclass(frozen=True)
class Refuse:
    """Refuse the call."""

    code: ResultCode
    run: Run


Action = ProposeClaim | ReadClaim | ProposeOutcome | AskOwner | Dispatch | Answer | Refuse


@dataclass(frozen=True)
class ClaimDecided:
    """The claim register is decided."""

    claim: Claim


@dataclass(frozen=True)
class ClaimBlank:
    """A majority has accepted no claim of the attempt."""


@dataclass(frozen=True)
class OutcomeDecided:
    """The outcome register is decided."""

    outcome: Outcome


@dataclass(frozen=True)
class RegisterUnreachable:
    """No majority of keepers answered."""


@dataclass(frozen=True)
class OwnerAnswered:
    """The owner reported the outcome, or None if the command is still running."""

    outcome: Outcome | None


@dataclass(frozen=True)
class OwnerGone:
    """The owner has ended, restarted or is unreachable."""


@dataclass(frozen=True)
class DispatchEnded:
    """The dispatch ended, or failed before it was sent."""

    outcome: Outcome


Event = (
    ClaimDecided
    | ClaimBlank
    | OutcomeDecided
    | RegisterUnreachable
    | OwnerAnswered
    | OwnerGone
    | DispatchEnded
)


class CommandState(Enum):
    """State of a command in this process."""

    CLAIMING = "claiming"
    DISPATCHING = "dispatching"
    RECORDING = "recording"
    FOLLOWING = "following"
    ASKING = "asking"
    CLOSING = "closing"
    ENDED = "ended"


UNKNOWN_OUTCOME = Outcome(
    kind=OutcomeKind.unknown,
    code=int(ResultCode.COMMAND_OUTCOME_UNKNOWN),
    status=409,
)


def make_not_run_outcome(code: ResultCode) -> Outcome:
    """Make the outcome of an attempt that its owner ended before dispatching."""
    return Outcome(kind=OutcomeKind.not_run, code=int(code), status=503)


class Command:
    """Run the state machine of one command in one process.

    Parameters
    ----------
    key
        Identifies the command across resends and entry hosts.
    is_key_generated
        Whether this process generated the key, so that no other process knows it.
    last_attempt
        The attempt that the caller numbered, from 1.
    digest
        Digest of the call; distinguishes a resend from another call with the same key.
    """

    def __init__(
        self,
        key: CommandKey,
        owner: ProcessId,
        incarnation: Incarnation,
        nonce: str,
        digest: str,
        is_key_generated: bool,
        last_attempt: int = 1,
    ) -> None:
        self.key = key
        self.last_attempt = last_attempt
        self.attempt = 1
        self.state = CommandState.CLAIMING
        self.is_dispatched = False
        self._claim = Claim(owner, incarnation, nonce, digest)
        self.is_key_generated = is_key_generated
        self._outcome: Outcome | None = None

    @property
    def is_owner(self) -> bool:
        """Tell whether this process holds the attempt's claim."""
        return self.state in (CommandState.DISPATCHING, CommandState.RECORDING)

    def start(self) -> Action:
        """Claim the current attempt, or close it if it precedes the caller's."""
        claim = self._claim
        if self.attempt < self.last_attempt:
            claim = Claim(NO_OWNER, "", "", self._claim.digest)
        return ProposeClaim(name_claim_register(self.key, self.attempt), claim)

    def receive(self, event: Event) -> Action | None:
        """Handle an event and return the next action; None if the event is ignored."""
        match (self.state, event):
            case (CommandState.CLAIMING, ClaimDecided(claim)):
                return self._handle_claim(claim)
            case (CommandState.CLAIMING, RegisterUnreachable()):
                return self._abandon_claim()
            case (CommandState.FOLLOWING, ClaimDecided(claim)):
                return self._handle_read_claim(claim)
            case (CommandState.FOLLOWING, ClaimBlank()):
                return self._refuse(ResultCode.COMMAND_NOT_RUN, Run.NO)
            case (CommandState.FOLLOWING, RegisterUnreachable()):
                return self._refuse(ResultCode.COMMAND_UNAVAILABLE, Run.UNKNOWN)
            case (CommandState.DISPATCHING, DispatchEnded(outcome)):
                return self._propose_outcome(outcome)
            case (CommandState.RECORDING, OutcomeDecided(_) | RegisterUnreachable()):
                return self._finish_dispatched()
            case (CommandState.ASKING, OwnerAnswered(None)):
                return self._refuse(ResultCode.COMMAND_STILL_RUNNING, Run.UNKNOWN)
            case (CommandState.ASKING, OwnerAnswered(outcome)) if outcome is not None:
                return self._handle_owner_outcome(outcome)
            case (CommandState.ASKING, OwnerGone()):
                return self._close_attempt(UNKNOWN_OUTCOME)
            case (CommandState.CLOSING, OutcomeDecided(outcome)):
                return self._handle_outcome(outcome)
            case (CommandState.CLOSING, RegisterUnreachable()):
                return self._refuse(ResultCode.COMMAND_UNAVAILABLE, Run.UNKNOWN)
            case _:
                return None

    def _handle_claim(self, claim: Claim) -> Action:
        if claim.digest != self._claim.digest:
            return self._refuse(ResultCode.KEY_REUSED, Run.UNKNOWN)
        if claim.owner == NO_OWNER:
            return self._handle_outcome(make_not_run_outcome(ResultCode.COMMAND_NOT_RUN))
        if claim == self._claim:
            self.state = CommandState.DISPATCHING
            self.is_dispatched = True
            return Dispatch(self.attempt)
        return self._ask_owner(claim)

    def _handle_read_claim(self, claim: Claim) -> Action:
        if claim.owner == NO_OWNER:
            return self._read_next_claim()
        return self._ask_owner(claim)

    def _read_next_claim(self) -> Action:
        # A caller that restarted its numbering may have run a later attempt.
        self.attempt += 1
        self.state = CommandState.FOLLOWING
        return ReadClaim(name_claim_register(self.key, self.attempt))

    def _ask_owner(self, claim: Claim) -> Action:
        self.state = CommandState.ASKING
        register = name_outcome_register(self.key, self.attempt)
        return AskOwner(ProcessId(claim.owner), register, claim.nonce)

    def _abandon_claim(self) -> Action:
        # The claim may still be decided later; its nonce is never reused, so it has no effect.
        return self._refuse(
            ResultCode.COMMAND_UNAVAILABLE, Run.NO if self.is_key_generated else Run.UNKNOWN
        )

    def _propose_outcome(self, outcome: Outcome) -> Action:
        self.state = CommandState.RECORDING
        self._outcome = outcome
        return ProposeOutcome(name_outcome_register(self.key, self.attempt), outcome, is_owner=True)

    def _finish_dispatched(self) -> Action:
        # The target's outcome is valid even if another process closed the attempt as unknown.
        assert self._outcome is not None
        return self._finish(self._outcome)

    def _handle_owner_outcome(self, outcome: Outcome) -> Action:
        if outcome.kind is OutcomeKind.not_run:
            # The outcome must be durable before the next attempt starts, so that later
            # resends follow the same path.
            return self._close_attempt(outcome)
        return self._handle_outcome(outcome)

    def _close_attempt(self, outcome: Outcome) -> Action:
        self.state = CommandState.CLOSING
        return ProposeOutcome(
            name_outcome_register(self.key, self.attempt), outcome, is_owner=False
        )

    def _handle_outcome(self, outcome: Outcome) -> Action:
        if outcome.kind is not OutcomeKind.not_run:
            return self._finish(outcome)
        if self.attempt >= self.last_attempt:
            return self._read_next_claim()
        self.attempt += 1
        self.state = CommandState.CLAIMING
        return self.start()

    def _finish(self, outcome: Outcome) -> Action:
        self.state = CommandState.ENDED
        match outcome.kind:
            case OutcomeKind.done:
                return Answer(outcome)
            case OutcomeKind.not_run:
                return Refuse(ResultCode(outcome.code), Run.NO)
            case OutcomeKind.unknown:
                return Refuse(ResultCode.COMMAND_OUTCOME_UNKNOWN, Run.UNKNOWN)

    def _refuse(self, code: ResultCode, run: Run) -> Refuse:
        self.state = CommandState.ENDED
        return Refuse(code, run)
