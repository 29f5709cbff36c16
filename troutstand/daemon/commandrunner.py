"""Run commands that may not be repeated over the registers and the links."""

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

# Sends the command to a target once and tells how that ended.
SendOnce = Callable[[], Awaitable[Outcome]]

_NONCE_BYTES = 8
_MILLISECONDS = 1000
_RETRY_S = 2.0
# Attempts whose outcome a resend may still ask of this process.
KEPT_ATTEMPTS = 10_000


class Attempts:
    """Keep the attempts that this process owns, while it lives."""

    def __init__(self) -> None:
        self._kept: OrderedDict[str, asyncio.Future[Outcome]] = OrderedDict()

    def open(self, register: str, nonce: str) -> asyncio.Future[Outcome]:
        """Begin an attempt that others may ask about."""
        ended: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._kept[f"{register}#{nonce}"] = ended
        while len(self._kept) > KEPT_ATTEMPTS:
            self._kept.popitem(last=False)
        return ended

    def find(self, ask: OutcomeAsk) -> asyncio.Future[Outcome] | None:
        """Return the attempt that a peer asks about."""
        return self._kept.get(f"{ask.register}#{ask.nonce}")


class CommandRunner:
    """Carry out what `Command` decides."""

    def __init__(self, node: Node, registers: RegisterClient) -> None:
        self._node = node
        self._registers = registers
        self._attempts = Attempts()
        self.running_count = 0

    async def handle_ask(self, ask: OutcomeAsk) -> OutcomeReply:
        """Tell a resend's entry process how an attempt of ours ended."""
        ended = self._attempts.find(ask)
        if ended is None:
            return OutcomeReply(False)
        try:
            async with asyncio.timeout(ask.wait_ms / _MILLISECONDS):
                return OutcomeReply(True, await asyncio.shield(ended))
        except TimeoutError:
            # It runs still; whoever asked may ask again.
            return OutcomeReply(True)

    async def run(
        self,
        key: CommandKey,
        digest: str,
        minted: bool,
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
            How long to wait for an attempt that another process runs.

        Raises
        ------
        TroutstandError
            With `run` told truly.
        """
        nonce = secrets.token_hex(_NONCE_BYTES)
        command = Command(
            key, self._node.process, self._node.incarnation, nonce, digest, minted, attempt
        )
        driver = _Driver(self, command, nonce, wait_s, send_once)
        self.running_count += 1
        try:
            return await driver.run()
        finally:
            self.running_count -= 1

    async def propose_claim(self, action: ProposeClaim, fresh: bool) -> Event:
        """Propose a claim and tell what was decided."""
        try:
            data = await self._registers.decide(action.register, encode_record(action.claim), fresh)
        except TroutstandError:
            # What the command makes of it ends up in command_refused or its outcome.
            return RegisterUnreachable()
        return ClaimDecided(decode_record(data, Claim))

    async def read_claim(self, action: ReadClaim) -> Event:
        """Read who claimed an attempt."""
        try:
            data = await self._registers.read(action.register)
        except TroutstandError:
            # The command ends as refused or unknown, which is logged.
            return RegisterUnreachable()
        return ClaimBlank() if data is None else ClaimDecided(decode_record(data, Claim))

    async def propose_outcome(self, action: ProposeOutcome) -> Event:
        """Propose an outcome and tell what was decided."""
        try:
            data = await self._registers.decide(
                action.register, encode_record(action.outcome), action.is_owner
            )
        except TroutstandError:
            # The command ends as refused or unknown, which is logged.
            return RegisterUnreachable()
        return OutcomeDecided(decode_record(data, Outcome))

    async def ask_owner(self, action: AskOwner, wait_s: float) -> Event:
        """Ask the claim's owner how the attempt ended, as long as it answers."""
        end_s = read_clock_s() + wait_s
        while True:
            # Short asks tell a frozen owner from one that waits for its target.
            slice_s = min(self._node.settings.limits.lease_s, end_s - read_clock_s())
            ask = OutcomeAsk(action.register, action.nonce, int(max(0, slice_s) * _MILLISECONDS))
            try:
                reply = await self._ask_once(action.owner, ask)
            except TroutstandError:
                # A silent owner counts as gone; the registers tell what became of it.
                return OwnerGone()
            if not isinstance(reply, OutcomeReply) or not reply.known:
                return OwnerGone()
            if reply.outcome is not None or read_clock_s() >= end_s:
                return OwnerAnswered(reply.outcome)

    async def _ask_once(self, owner: ProcessId, ask: OutcomeAsk) -> PeerMessage:
        if owner == self._node.process:
            return await self.handle_ask(ask)
        margin_s = self._node.settings.limits.heartbeat_s
        return await self._node.peers.ask(owner, ask, ask.wait_ms / _MILLISECONDS + margin_s)

    def open_attempt(self, register: str, nonce: str) -> asyncio.Future[Outcome]:
        """Let others ask about an attempt."""
        return self._attempts.open(register, nonce)


class _Driver:
    """Drive one command from action to event to action."""

    def __init__(
        self,
        commands: CommandRunner,
        command: Command,
        nonce: str,
        wait_s: float,
        send_once: SendOnce,
    ) -> None:
        self._commands = commands
        self._command = command
        self._nonce = nonce
        self._wait_s = wait_s
        self._send_once = send_once
        self._ended: asyncio.Future[Outcome] | None = None

    async def run(self) -> Outcome:
        action = self._command.start()
        while True:
            match action:
                case Answer(outcome):
                    return outcome
                case Refuse(code, run):
                    self._resolve_unsent()
                    raise TroutstandError(code, run=run, retry_after_s=_get_retry_s(code))
                case _:
                    event = await self._carry_out(action)
            following = self._command.receive(event)
            assert following is not None
            action = following

    async def _carry_out(
        self, action: ProposeClaim | ReadClaim | ProposeOutcome | AskOwner | Dispatch
    ) -> Event:
        match action:
            case ProposeClaim():
                register = name_outcome_register(self._command.key, self._command.attempt)
                self._ended = self._commands.open_attempt(register, self._nonce)
                fresh = self._command.is_key_generated and action.claim.owner != NO_OWNER
                return await self._commands.propose_claim(action, fresh)
            case ReadClaim():
                return await self._commands.read_claim(action)
            case ProposeOutcome():
                return await self._commands.propose_outcome(action)
            case AskOwner():
                return await self._commands.ask_owner(action, self._wait_s)
            case Dispatch():
                outcome = await self._send_once()
                self._resolve(outcome)
                return DispatchEnded(outcome)

    def _resolve(self, outcome: Outcome) -> None:
        if self._ended and not self._ended.done():
            self._ended.set_result(outcome)

    def _resolve_unsent(self) -> None:
        """Tell those who ask that this process never sent, and never will."""
        if self._ended and not self._ended.done() and not self._command.is_dispatched:
            self._ended.set_result(make_not_run_outcome(ResultCode.COMMAND_NOT_RUN))


def _get_retry_s(code: ResultCode) -> float | None:
    if code is ResultCode.COMMAND_OUTCOME_UNKNOWN or code is ResultCode.KEY_REUSED:
        return None
    return _RETRY_S
