"""Read and replace the content of a line by a majority of the keepers.

A line is the configuration or the rollout book. Each version has a register of its
own, so that one number can only ever have one content; the highest version decided is
in force. A keeper that knows a version to be decided refuses all that is at or below it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.acceptor import LineVersion, list_voters, name_line_register
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import (
    ConfigurationAsk,
    Learned,
    Line,
    Newest,
    NewestAsk,
    PeerMessage,
    Refused,
    StoredConfiguration,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from troutstand.core.ids import ProcessId
    from troutstand.daemon.registers import RegisterClient

    Ask = Callable[[str, PeerMessage, float], Awaitable[PeerMessage]]
    Learn = Callable[[StoredConfiguration], Awaitable[None]]

_ASK_S = 0.6
_PAUSE_S = 0.03


class LineClient:
    """Drive reads and replacements from one keeper.

    Parameters
    ----------
    ask
        Asks a keeper, which may be this one.
    learn
        Makes a decided content known here and at the other keepers.
    held
        Returns the newest content known to be decided here.
    line
        Which line is read and replaced.
    timeout_s
        How long a read or a replacement may take.
    """

    def __init__(
        self,
        ask: Ask,
        registers: RegisterClient,
        learn: Learn,
        held: Callable[[], StoredConfiguration],
        timeout_s: float,
        line: Line = Line.configuration,
    ) -> None:
        self._ask = ask
        self._registers = registers
        self._learn = learn
        self._held = held
        self._timeout_s = timeout_s
        self._line = line

    async def read(self) -> StoredConfiguration:
        """Return a content no older than any acknowledged before the call.

        Raises
        ------
        TroutstandError
            CONFIGURATION_UNKNOWN where no majority tells it in time.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._read()
        except TimeoutError as error:
            raise TroutstandError(ResultCode.CONFIGURATION_UNKNOWN, "no majority") from error

    async def replace(self, wanted: StoredConfiguration) -> StoredConfiguration:
        """Propose a content for its version and return what is in force afterwards.

        Raises
        ------
        TroutstandError
            CONFIGURATION_UNKNOWN; the content may be in force later all the same.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._replace(wanted)
        except TimeoutError as error:
            raise TroutstandError(ResultCode.CONFIGURATION_UNKNOWN, "no majority") from error

    async def _replace(self, wanted: StoredConfiguration) -> StoredConfiguration:
        while True:
            newest = await self._read()
            if newest.version >= wanted.version:
                return newest
            await self._decide(wanted.version, wanted.content)

    async def _read(self) -> StoredConfiguration:
        skipped: set[int] = set()
        while True:
            votes = await self._collect_votes()
            decided = max(vote.decided for vote in votes.values())
            accepted = max(
                (v.accepted for v in votes.values() if v.accepted not in skipped), default=0
            )
            if accepted > decided:
                # Perhaps decided without our knowing: finish it, or find it open.
                if not await self._decide(accepted, None):
                    skipped.add(accepted)
                continue
            if decided > self._held().version:
                holder = max(votes, key=lambda keeper: votes[keeper].decided)
                await self._fetch(holder)
                if decided > self._held().version:
                    await asyncio.sleep(_PAUSE_S)
                continue
            return self._held()

    async def _collect_votes(self) -> dict[ProcessId, Newest]:
        """Return the words of a majority of voters of one epoch."""
        while True:
            if self._registers.keepers is None:
                await self._registers.refresh_keepers()
            epoch = self._registers.epoch
            voters = list_voters(self._registers.keepers)
            votes = await self._ask_voters(voters, epoch) if voters else {}
            if voters and len(votes) > len(voters) // 2 and epoch == self._registers.epoch:
                return votes
            await asyncio.sleep(_PAUSE_S)

    async def _ask_voters(
        self, voters: frozenset[ProcessId], epoch: int
    ) -> dict[ProcessId, Newest]:
        quorum = len(voters) // 2 + 1
        votes: dict[ProcessId, Newest] = {}
        asks = [asyncio.create_task(self._ask_voter(voter, epoch)) for voter in sorted(voters)]
        try:
            for following in asyncio.as_completed(asks):
                voter, vote = await following
                if vote is not None:
                    votes[voter] = vote
                if len(votes) >= quorum:
                    break
        finally:
            for ask in asks:
                ask.cancel()
        return votes

    async def _ask_voter(self, voter: ProcessId, epoch: int) -> tuple[ProcessId, Newest | None]:
        try:
            reply = await self._ask(voter, NewestAsk(epoch, self._line), _ASK_S)
        except TroutstandError:
            # A silent voter has no vote; a missed majority raises its own error.
            return voter, None
        if isinstance(reply, Refused):
            self._registers.learn_keepers(reply.keepers)
        return voter, reply if isinstance(reply, Newest) else None

    async def _decide(self, version: int, content: bytes | None) -> bool:
        """Decide a version's content; without one, only finish what was begun.

        Return whether the version is decided.
        """
        register = name_line_register(LineVersion(self._line, version))
        decision = asyncio.create_task(
            self._registers.read(register)
            if content is None
            else self._registers.decide(register, content)
        )
        try:
            decided = await self._wait_decision(decision, version)
        finally:
            decision.cancel()
        if decided is None:
            return self._held().version >= version
        await self._learn(StoredConfiguration(version, decided, self._line))
        return True

    async def _wait_decision(
        self, decision: asyncio.Task[bytes] | asyncio.Task[bytes | None], version: int
    ) -> bytes | None:
        """Wait for a decision, or until a version as high is known to be in force.

        Keepers that know one refuse the register, which the ballots then
        never get a majority for.
        """
        while not decision.done():
            await asyncio.wait([decision], timeout=_ASK_S / 2)
            if not decision.done() and await self._is_settled(version):
                return None
        try:
            return decision.result()
        except TroutstandError:
            # The caller tries again until its own time is up, and then tells of it.
            return None

    async def _is_settled(self, version: int) -> bool:
        epoch = self._registers.epoch
        votes = await self._ask_voters(list_voters(self._registers.keepers), epoch)
        settled = [keeper for keeper, vote in votes.items() if vote.decided >= version]
        if settled:
            await self._fetch(settled[0])
        return self._held().version >= version

    async def _fetch(self, keeper: ProcessId) -> None:
        try:
            reply = await self._ask(keeper, ConfigurationAsk(self._line), _ASK_S)
        except TroutstandError:
            # The keeper has gone since it voted; the caller sees that nothing came.
            return
        if isinstance(reply, Learned):
            await self._learn(StoredConfiguration(reply.version, reply.content, reply.line))
