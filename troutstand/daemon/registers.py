"""Propose and read register values at the keepers by consensus."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from troutstand.core.acceptor import list_voters
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.register import INITIAL_ROUND, Broadcast, Decided, NoValue, Preempted, Proposer
from troutstand.generated.messages import (
    Accepted,
    Ballot,
    KeepersAsk,
    KeeperSet,
    KeepersReply,
    PeerMessage,
    Promise,
    Refused,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.ids import Incarnation, ProcessId, RegisterName

SendMessage = Callable[[str, PeerMessage, float], Awaitable[PeerMessage]]

_INITIAL_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.2
_KEEPER_SET_TIMEOUT_S = 1.0
# Once a keeper's answer is lost, the others have this share of the timeout before a new ballot,
# since a keeper that is cut off answers nothing at all.
_RESTART_SHARE = 0.1


class RegisterClient:
    """Run ballots for registers at the keepers.

    Parameters
    ----------
    send
        Sends a message to a keeper, with a timeout in seconds, and returns the reply.
    seed
        Seeds the jitter of the backoff between ballots.
    """

    def __init__(
        self,
        send: SendMessage,
        process: ProcessId,
        incarnation: Incarnation,
        configured_keepers: Iterable[ProcessId],
        timeout_s: float,
        seed: int,
    ) -> None:
        self.keepers: KeeperSet | None = None
        self._send = send
        self._proposer_id = f"{process}:{incarnation}"
        self._configured_keepers = sorted(configured_keepers)
        self._timeout_s = timeout_s
        self._rng = random.Random(seed)
        self._ballot_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def epoch(self) -> int:
        """Return the epoch of the known keeper set."""
        return self.keepers.epoch if self.keepers else 0

    def update_keepers(self, keepers: KeeperSet | None) -> None:
        """Use a keeper set if its epoch is newer."""
        if keepers and keepers.epoch > self.epoch:
            self.keepers = keepers

    async def refresh_keepers(self) -> None:
        """Fetch the newest keeper set from the configured keepers."""
        requests = [
            self._send(name, KeepersAsk(), _KEEPER_SET_TIMEOUT_S)
            for name in self._configured_keepers
        ]
        # Unreachable keepers are skipped; without a quorum the operation times out.
        for reply in await asyncio.gather(*requests, return_exceptions=True):
            if isinstance(reply, KeepersReply):
                self.update_keepers(reply.keepers)

    async def decide(
        self, register: RegisterName, value: bytes, use_initial_round: bool = False
    ) -> bytes:
        """Propose a value and return the decided one.

        Parameters
        ----------
        use_initial_round
            Start at round 0, which only the register's designated process may use, and only once.

        Raises
        ------
        TroutstandError
            QUORUM_UNREACHABLE; the value may still be decided later.
        """
        result = await self._run_ballots(register, value, use_initial_round)
        assert result is not None
        return result

    async def read(self, register: RegisterName) -> bytes | None:
        """Return the decided value, or None if there is none yet.

        Raises
        ------
        TroutstandError
            QUORUM_UNREACHABLE.
        """
        return await self._run_ballots(register, None, False)

    async def _run_ballots(
        self, register: RegisterName, value: bytes | None, use_initial_round: bool
    ) -> bytes | None:
        round_ = INITIAL_ROUND if use_initial_round else 1
        backoff_s = _INITIAL_BACKOFF_S
        try:
            async with asyncio.timeout(self._timeout_s):
                while True:
                    if self.keepers is None:
                        await self.refresh_keepers()
                    step = await self._run_ballot(register, value, round_)
                    match step:
                        case Decided(decided):
                            return decided
                        case NoValue():
                            return None
                        case Preempted(other):
                            round_ = max(round_, other) + 1
                    await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
                    backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
        except TimeoutError as error:
            raise TroutstandError(ResultCode.QUORUM_UNREACHABLE, register) from error

    async def _run_ballot(
        self, register: RegisterName, value: bytes | None, round_: int
    ) -> Decided | NoValue | Preempted | None:
        voters = list_voters(self.keepers)
        if not voters:
            return None
        ballot = Ballot(round_, f"{self._proposer_id}:{next(self._ballot_numbers)}")
        proposer = Proposer(register, value, ballot, self.epoch, voters)
        step = proposer.start()
        while isinstance(step, Broadcast):
            step = await self._broadcast(proposer, step, voters)
        return step

    async def _broadcast(
        self, proposer: Proposer, step: Broadcast, voters: frozenset[ProcessId]
    ) -> Broadcast | Decided | NoValue | Preempted | None:
        """Send a step to the voters and return the next step, or None without a quorum."""
        replies: asyncio.Queue[tuple[ProcessId, PeerMessage | None]] = asyncio.Queue()
        for voter in voters:
            task = asyncio.create_task(self._send_step(voter, step, replies))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        restart_s: float | None = None
        for _ in voters:
            try:
                async with asyncio.timeout(restart_s):
                    keeper, reply = await replies.get()
            except TimeoutError:
                return None
            if isinstance(reply, Refused):
                self.update_keepers(reply.keepers)
            if not isinstance(reply, Promise | Accepted):
                restart_s = _RESTART_SHARE * self._timeout_s
                continue
            next_step = proposer.receive(keeper, reply)
            if next_step is not None:
                return next_step
        return None

    async def _send_step(
        self,
        keeper: ProcessId,
        step: Broadcast,
        replies: asyncio.Queue[tuple[ProcessId, PeerMessage | None]],
    ) -> None:
        reply: PeerMessage | None = None
        try:
            reply = await self._send(keeper, step.message, self._timeout_s)
        except TroutstandError:
            # An unreachable keeper does not vote; without a quorum the operation times out.
            reply = None
        replies.put_nowait((keeper, reply))
