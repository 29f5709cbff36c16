"""Run a command that may not be repeated at most once, whoever resends it.

Each attempt has two write-once registers. The claim names the one process that
may dispatch; the outcome holds the final answer. "Not run" is said only by the
claim's owner, which then never dispatches: a dispatcher that froze between its
last check and its send still holds the claim, so that everybody else can close
the attempt only as "unknown" (issue 4).

A sending uses the one attempt that its caller numbered, once all lower ones
are closed. Otherwise an earlier sending, long given up, could open the next
attempt after its caller was told "not run"; the model found that.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from troutstand.core.codes import ResultCode, Run
from troutstand.core.ids import CommandKey, Incarnation, ProcessId, RegisterName
from troutstand.generated.messages import Claim, Outcome, OutcomeKind

# The owner of an attempt that was closed before anybody claimed it.
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
    """Read who claimed an attempt beyond the caller's."""

    register: RegisterName


@dataclass(frozen=True)
class ProposeOutcome:
    """Propose an outcome; the owner may use round 0."""

    register: RegisterName
    outcome: Outcome
    is_owner: bool


@dataclass(frozen=True)
class AskOwner:
    """Ask the owner how the attempt ended and wait for it."""

    owner: ProcessId
    register: RegisterName
    nonce: str


@dataclass(frozen=True)
class Dispatch:
    """Send the command to a target, once."""

    attempt: int


@dataclass(frozen=True)
class Answer:
    """Give the caller the recorded outcome."""

    outcome: Outcome


@dataclass(frozen=True)
class Refuse:
    """Refuse the caller."""

    code: ResultCode
    run: Run


Action = ProposeClaim | ReadClaim | ProposeOutcome | AskOwner | Dispatch | Answer | Refuse


@dataclass(frozen=True)
class ClaimDecided:
    """The claim register holds this claim for good."""

    claim: Claim


@dataclass(frozen=True)
class ClaimBlank:
    """A majority holds no claim of the attempt."""


@dataclass(frozen=True)
class OutcomeDecided:
    """The outcome register holds this outcome for good."""

    outcome: Outcome


@dataclass(frozen=True)
class RegisterUnreachable:
    """No majority of keepers answered."""


@dataclass(frozen=True)
class OwnerAnswered:
    """The owner told the outcome, or that the command runs still."""

    outcome: Outcome | None


@dataclass(frozen=True)
class OwnerGone:
    """The owner cannot be asked: dead, restarted or cut off."""


@dataclass(frozen=True)
class DispatchEnded:
    """The one dispatch came to an end, or never left."""

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
    """Tell how far a command has come in this process."""

    CLAIMING = "claiming"
    DISPATCHING = "dispatching"
    RECORDING = "recording"
    READING = "following"
    ASKING = "asking"
    CLOSING = "closing"
    ENDED = "ended"


UNKNOWN_OUTCOME = Outcome(
    kind=OutcomeKind.unknown,
    code=int(ResultCode.COMMAND_OUTCOME_UNKNOWN),
    status=409,
)


def make_not_run_outcome(code: ResultCode) -> Outcome:
    """Make the outcome of an attempt that its owner gave up before sending."""
    return Outcome(kind=OutcomeKind.not_run, code=int(code), status=503)


class Command:
    """Decide what one process does about one command.

    Parameters
    ----------
    key
        Names the command across resends and entry hosts.
    minted
        Whether this process made the key, so that nobody else can know it.
    last_attempt
        The attempt that the caller numbered, from 1.
    digest
        Digest of the call, to tell a resend from another call of the same key.
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
    def owns(self) -> bool:
        """Tell whether this process holds the attempt's claim."""
        return self.state in (CommandState.DISPATCHING, CommandState.RECORDING)

    def start(self) -> Action:
        """Begin with the first attempt: claim it, or close it where it is not the caller's."""
        claim = self._claim
        if self.attempt < self.last_attempt:
            claim = Claim(NO_OWNER, "", "", self._claim.digest)
        return ProposeClaim(name_claim_register(self.key, self.attempt), claim)

    def receive(self, event: Event) -> Action | None:
        """Take an event and return what to do next."""
        match (self.state, event):
            case (CommandState.CLAIMING, ClaimDecided(claim)):
                return self._handle_claim(claim)
            case (CommandState.CLAIMING, RegisterUnreachable()):
                return self._abandon_claim()
            case (CommandState.READING, ClaimDecided(claim)):
                return self._handle_read_claim(claim)
            case (CommandState.READING, ClaimBlank()):
                return self._refuse(ResultCode.COMMAND_NOT_RUN, Run.NO)
            case (CommandState.READING, RegisterUnreachable()):
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
        # A caller that began to count anew may have run a later attempt.
        self.attempt += 1
        self.state = CommandState.READING
        return ReadClaim(name_claim_register(self.key, self.attempt))

    def _ask_owner(self, claim: Claim) -> Action:
        self.state = CommandState.ASKING
        register = name_outcome_register(self.key, self.attempt)
        return AskOwner(ProcessId(claim.owner), register, claim.nonce)

    def _abandon_claim(self) -> Action:
        # The claim may yet be decided in our name; the nonce is never used
        # again, so that nothing follows from it.
        return self._refuse(
            ResultCode.COMMAND_UNAVAILABLE, Run.NO if self.is_key_generated else Run.UNKNOWN
        )

    def _propose_outcome(self, outcome: Outcome) -> Action:
        self.state = CommandState.RECORDING
        self._outcome = outcome
        return ProposeOutcome(name_outcome_register(self.key, self.attempt), outcome, is_owner=True)

    def _finish_dispatched(self) -> Action:
        # What the target told is true even where somebody closed the attempt
        # as unknown meanwhile.
        assert self._outcome is not None
        return self._finish(self._outcome)

    def _handle_owner_outcome(self, outcome: Outcome) -> Action:
        if outcome.kind is OutcomeKind.not_run:
            # Only once its end is durable may the next attempt begin, so that
            # every later resend takes the same way.
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
