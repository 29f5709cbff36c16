"""Run non-repeatable commands at most once, using the registers and the peer links."""

from __future__ import annotations

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from troutstand.core.codec import decode_record, encode_record
from troutstand.core.codes import ResultCode
from troutstand.core.command import (
    NO_OWNER,
    Answer,
    AskOwner,
    ClaimBlank,
    ClaimDecided,
    Command,
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
    name_outcome_register,
)
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import Claim, Outcome, OutcomeAsk, OutcomeReply, PeerMessage
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.core.ids import CommandKey, ProcessId
    from troutstand.daemon.node import Node
    from troutstand.daemon.registers import RegisterClient

# Sends the command to a target once and returns the outcome.
SendOnce = Callable[[], Awaitable[Outcome]]

_NONCE_BYTES = 8
_MS_PER_S = 1000
_RETRY_AFTER_S = 2.0
# Latest attempts whose outcome other processes can ask for.
MAX_ATTEMPTS = 10_000


class AttemptRegistry:
    """Hold the futures of the attempts that this process owns, in memory only."""

    def __init__(self) -> None:
        self._futures: OrderedDict[str, asyncio.Future[Outcome]] = OrderedDict()

    def open(self, register: str, nonce: str) -> asyncio.Future[Outcome]:
        """Register an attempt and return the future of its outcome."""
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._futures[f"{register}#{nonce}"] = future
        while len(self._futures) > MAX_ATTEMPTS:
            self._futures.popitem(last=False)
        return future

    def find(self, ask: OutcomeAsk) -> asyncio.Future[Outcome] | None:
        """Return the future of the attempt that a peer asks about."""
        return self._futures.get(f"{ask.register}#{ask.nonce}")


class CommandRunner:
    """Execute the actions that the state machine `Command` returns."""

    def __init__(self, node: Node, registers: RegisterClient) -> None:
        self._node = node
        self._registers = registers
        self._attempts = AttemptRegistry()
        self.running_count = 0

    async def handle_ask(self, ask: OutcomeAsk) -> OutcomeReply:
        """Reply with the outcome of an attempt that this process owns."""
        future = self._attempts.find(ask)
        if future is None:
            return OutcomeReply(False)
        try:
            async with asyncio.timeout(ask.wait_ms / _MS_PER_S):
                return OutcomeReply(True, await asyncio.shield(future))
        except TimeoutError:
            # The attempt is still running; the peer can ask again.
            return OutcomeReply(True)

    async def run(
        self,
        key: CommandKey,
        digest: str,
        is_key_generated: bool,
        attempt: int,
        wait_s: float,
        send_once: SendOnce,
    ) -> Outcome:
        """Run a command at most once and return its outcome.

        Parameters
        ----------
        attempt
            The attempt that the caller numbered, from 1.
        wait_s
            The maximum time to wait for an attempt that another process runs.

        Raises
        ------
        TroutstandError
            Its `run` states whether the command may have run.
        """
        nonce = secrets.token_hex(_NONCE_BYTES)
        command = Command(
            key,
            self._node.process,
            self._node.incarnation,
            nonce,
            digest,
            is_key_generated,
            attempt,
        )
        execution = _CommandExecution(self, command, nonce, wait_s, send_once)
        self.running_count += 1
        try:
            return await execution.run()
        finally:
            self.running_count -= 1

    async def propose_claim(self, action: ProposeClaim, is_fresh: bool) -> Event:
        """Propose a claim and return the decided one."""
        try:
            data = await self._registers.decide(
                action.register, encode_record(action.claim), is_fresh
            )
        except TroutstandError:
            # Logged with the command's outcome or as command_refused.
            return RegisterUnreachable()
        return ClaimDecided(decode_record(data, Claim))

    async def read_claim(self, action: ReadClaim) -> Event:
        """Read the claim of an attempt."""
        try:
            data = await self._registers.read(action.register)
        except TroutstandError:
            # Logged when the command ends as refused or unknown.
            return RegisterUnreachable()
        return ClaimBlank() if data is None else ClaimDecided(decode_record(data, Claim))

    async def propose_outcome(self, action: ProposeOutcome) -> Event:
        """Propose an outcome and return the decided one."""
        try:
            data = await self._registers.decide(
                action.register, encode_record(action.outcome), action.is_owner
            )
        except TroutstandError:
            # Logged when the command ends as refused or unknown.
            return RegisterUnreachable()
        return OutcomeDecided(decode_record(data, Outcome))

    async def ask_owner(self, action: AskOwner, wait_s: float) -> Event:
        """Poll the claim's owner for the outcome until the wait time ends or it stops answering."""
        end_s = read_clock_s() + wait_s
        while True:
            # Waiting at most one lease per request detects a hung owner early.
            timeout_s = min(self._node.settings.limits.lease_s, end_s - read_clock_s())
            ask = OutcomeAsk(action.register, action.nonce, int(max(0, timeout_s) * _MS_PER_S))
            try:
                reply = await self._ask_once(action.owner, ask)
            except TroutstandError:
                # An unreachable owner counts as gone; the registers decide the outcome.
                return OwnerGone()
            if not isinstance(reply, OutcomeReply) or not reply.known:
                return OwnerGone()
            if reply.outcome is not None or read_clock_s() >= end_s:
                return OwnerAnswered(reply.outcome)

    async def _ask_once(self, owner: ProcessId, ask: OutcomeAsk) -> PeerMessage:
        if owner == self._node.process:
            return await self.handle_ask(ask)
        margin_s = self._node.settings.limits.heartbeat_s
        return await self._node.peers.ask(owner, ask, ask.wait_ms / _MS_PER_S + margin_s)

    def open_attempt(self, register: str, nonce: str) -> asyncio.Future[Outcome]:
        """Register an attempt and return the future of its outcome."""
        return self._attempts.open(register, nonce)


class _CommandExecution:
    """Execute the actions of one command until it is answered or refused."""

    def __init__(
        self,
        runner: CommandRunner,
        command: Command,
        nonce: str,
        wait_s: float,
        send_once: SendOnce,
    ) -> None:
        self._runner = runner
        self._command = command
        self._nonce = nonce
        self._wait_s = wait_s
        self._send_once = send_once
        self._future: asyncio.Future[Outcome] | None = None

    async def run(self) -> Outcome:
        action = self._command.start()
        while True:
            match action:
                case Answer(outcome):
                    return outcome
                case Refuse(code, run):
                    self._resolve_not_run()
                    raise TroutstandError(code, run=run, retry_after_s=_get_retry_after_s(code))
                case _:
                    event = await self._execute(action)
            next_action = self._command.receive(event)
            assert next_action is not None
            action = next_action

    async def _execute(
        self, action: ProposeClaim | ReadClaim | ProposeOutcome | AskOwner | Dispatch
    ) -> Event:
        match action:
            case ProposeClaim():
                register = name_outcome_register(self._command.key, self._command.attempt)
                self._future = self._runner.open_attempt(register, self._nonce)
                is_fresh = self._command.is_key_generated and action.claim.owner != NO_OWNER
                return await self._runner.propose_claim(action, is_fresh)
            case ReadClaim():
                return await self._runner.read_claim(action)
            case ProposeOutcome():
                return await self._runner.propose_outcome(action)
            case AskOwner():
                return await self._runner.ask_owner(action, self._wait_s)
            case Dispatch():
                outcome = await self._send_once()
                self._resolve(outcome)
                return DispatchEnded(outcome)

    def _resolve(self, outcome: Outcome) -> None:
        if self._future and not self._future.done():
            self._future.set_result(outcome)

    def _resolve_not_run(self) -> None:
        """Resolve the attempt as not run unless the command was dispatched."""
        if self._future and not self._future.done() and not self._command.is_dispatched:
            self._future.set_result(make_not_run_outcome(ResultCode.COMMAND_NOT_RUN))


def _get_retry_after_s(code: ResultCode) -> float | None:
    if code is ResultCode.COMMAND_OUTCOME_UNKNOWN or code is ResultCode.KEY_REUSED:
        return None
    return _RETRY_AFTER_S
