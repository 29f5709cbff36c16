"""Drive proposals for registers over the links to the keepers."""

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

Ask = Callable[[str, PeerMessage, float], Awaitable[PeerMessage]]

_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.2
_ASK_KEEPERS_S = 1.0


class RegisterClient:
    """Propose to and read from registers.

    Parameters
    ----------
    ask
        Sends a message to a keeper and returns the answer.
    seed
        Spreads the retries of rival proposers.
    """

    def __init__(
        self,
        ask: Ask,
        process: ProcessId,
        incarnation: Incarnation,
        known_keepers: Iterable[ProcessId],
        timeout_s: float,
        seed: int,
    ) -> None:
        self.keepers: KeeperSet | None = None
        self._ask = ask
        self._name = f"{process}:{incarnation}"
        self._known_keepers = sorted(known_keepers)
        self._timeout_s = timeout_s
        self._random = random.Random(seed)
        self._uses = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def epoch(self) -> int:
        """Return the epoch of the known keeper set."""
        return self.keepers.epoch if self.keepers else 0

    def update_keepers(self, keepers: KeeperSet | None) -> None:
        """Take a newer keeper set."""
        if keepers and keepers.epoch > self.epoch:
            self.keepers = keepers

    async def refresh_keepers(self) -> None:
        """Ask every keeper for the keeper set it knows."""
        asks = [self._ask(name, KeepersAsk(), _ASK_KEEPERS_S) for name in self._known_keepers]
        # A silent keeper tells nothing new; a missed majority raises QUORUM_UNREACHABLE.
        for reply in await asyncio.gather(*asks, return_exceptions=True):
            if isinstance(reply, KeepersReply):
                self.update_keepers(reply.keepers)

    async def decide(self, register: RegisterName, value: bytes, fresh: bool = False) -> bytes:
        """Propose a value and return the one that is decided.

        Parameters
        ----------
        fresh
            Use round 0; only for the register's designated process, once.

        Raises
        ------
        TroutstandError
            QUORUM_UNREACHABLE; the value may be decided all the same later.
        """
        result = await self._run(register, value, fresh)
        assert result is not None
        return result

    async def read(self, register: RegisterName) -> bytes | None:
        """Return the decided value, or None where there is none yet.

        Raises
        ------
        TroutstandError
            QUORUM_UNREACHABLE.
        """
        return await self._run(register, None, False)

    async def _run(self, register: RegisterName, value: bytes | None, fresh: bool) -> bytes | None:
        round_ = INITIAL_ROUND if fresh else 1
        backoff_s = _BACKOFF_S
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
                    await asyncio.sleep(backoff_s * (0.5 + self._random.random()))
                    backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
        except TimeoutError as error:
            raise TroutstandError(ResultCode.QUORUM_UNREACHABLE, register) from error

    async def _run_ballot(
        self, register: RegisterName, value: bytes | None, round_: int
    ) -> Decided | NoValue | Preempted | None:
        voters = list_voters(self.keepers)
        if not voters:
            return None
        ballot = Ballot(round_, f"{self._name}:{next(self._uses)}")
        proposer = Proposer(register, value, ballot, self.epoch, voters)
        step = proposer.start()
        while isinstance(step, Broadcast):
            step = await self._collect(proposer, step, voters)
        return step

    async def _collect(
        self, proposer: Proposer, step: Broadcast, voters: frozenset[ProcessId]
    ) -> Broadcast | Decided | NoValue | Preempted | None:
        """Send a step to the voters and return what their replies lead to."""
        replies: asyncio.Queue[tuple[ProcessId, PeerMessage | None]] = asyncio.Queue()
        for voter in voters:
            task = asyncio.create_task(self._ask_one(voter, step, replies))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        for _ in voters:
            keeper, reply = await replies.get()
            if isinstance(reply, Refused):
                self.update_keepers(reply.keepers)
            if not isinstance(reply, Promise | Accepted):
                continue
            following = proposer.receive(keeper, reply)
            if following is not None:
                return following
        return None

    async def _ask_one(
        self,
        keeper: ProcessId,
        step: Broadcast,
        replies: asyncio.Queue[tuple[ProcessId, PeerMessage | None]],
    ) -> None:
        reply: PeerMessage | None = None
        try:
            reply = await self._ask(keeper, step.message, self._timeout_s)
        except TroutstandError:
            # A silent keeper does not vote; a missed majority raises QUORUM_UNREACHABLE.
            reply = None
        replies.put_nowait((keeper, reply))
