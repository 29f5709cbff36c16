"""Read and replace the content of a line through a quorum of the keepers.

A line is a replicated, versioned document: the configuration or the rollout book. Each
version has its own consensus register, so it has at most one content; the highest decided
version is in force. Keepers refuse ballots for versions up to the highest known as decided.
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
    Install = Callable[[StoredConfiguration], Awaitable[None]]

_REQUEST_TIMEOUT_S = 0.6
_RETRY_INTERVAL_S = 0.03


class LineClient:
    """Read and replace a line on behalf of one keeper.

    Parameters
    ----------
    ask
        Sends a message to a keeper, which may be this one, and returns the reply.
    install
        Installs a decided content here and sends it to the other keepers.
    get_current
        Returns the newest decided content known here.
    timeout_s
        Timeout of a read or a replacement, in seconds.
    line
        The line to read and replace.
    """

    def __init__(
        self,
        ask: Ask,
        registers: RegisterClient,
        install: Install,
        get_current: Callable[[], StoredConfiguration],
        timeout_s: float,
        line: Line = Line.configuration,
    ) -> None:
        self._ask = ask
        self._registers = registers
        self._install = install
        self._get_current = get_current
        self._timeout_s = timeout_s
        self._line = line

    async def read(self) -> StoredConfiguration:
        """Return a content no older than any acknowledged before the call.

        Raises
        ------
        TroutstandError
            CONFIGURATION_UNKNOWN if no quorum replies in time.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._read()
        except TimeoutError as error:
            raise TroutstandError(
                ResultCode.CONFIGURATION_UNKNOWN, "no quorum of the keepers replied in time"
            ) from error

    async def replace(self, proposal: StoredConfiguration) -> StoredConfiguration:
        """Propose a content for its version and return what is in force afterwards.

        Raises
        ------
        TroutstandError
            CONFIGURATION_UNKNOWN; the proposed content may still be decided later.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._replace(proposal)
        except TimeoutError as error:
            raise TroutstandError(
                ResultCode.CONFIGURATION_UNKNOWN, "no quorum of the keepers replied in time"
            ) from error

    async def _replace(self, proposal: StoredConfiguration) -> StoredConfiguration:
        while True:
            newest = await self._read()
            if newest.version >= proposal.version:
                return newest
            await self._decide(proposal.version, proposal.content)

    async def _read(self) -> StoredConfiguration:
        undecided: set[int] = set()
        while True:
            votes = await self._collect_votes()
            decided = max(vote.decided for vote in votes.values())
            accepted = max(
                (v.accepted for v in votes.values() if v.accepted not in undecided), default=0
            )
            if accepted > decided:
                # The accepted version may be decided: complete its ballot or skip it.
                if not await self._decide(accepted, None):
                    undecided.add(accepted)
                continue
            if decided > self._get_current().version:
                source = max(votes, key=lambda keeper: votes[keeper].decided)
                await self._fetch(source)
                if decided > self._get_current().version:
                    await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            return self._get_current()

    async def _collect_votes(self) -> dict[ProcessId, Newest]:
        """Return the votes of a quorum of the voters of one epoch."""
        while True:
            if self._registers.keepers is None:
                await self._registers.refresh_keepers()
            epoch = self._registers.epoch
            voters = list_voters(self._registers.keepers)
            votes = await self._ask_voters(voters, epoch) if voters else {}
            if voters and len(votes) > len(voters) // 2 and epoch == self._registers.epoch:
                return votes
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _ask_voters(
        self, voters: frozenset[ProcessId], epoch: int
    ) -> dict[ProcessId, Newest]:
        quorum = len(voters) // 2 + 1
        votes: dict[ProcessId, Newest] = {}
        tasks = [asyncio.create_task(self._ask_voter(voter, epoch)) for voter in sorted(voters)]
        try:
            for future in asyncio.as_completed(tasks):
                voter, vote = await future
                if vote is not None:
                    votes[voter] = vote
                if len(votes) >= quorum:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return votes

    async def _ask_voter(self, voter: ProcessId, epoch: int) -> tuple[ProcessId, Newest | None]:
        try:
            reply = await self._ask(voter, NewestAsk(epoch, self._line), _REQUEST_TIMEOUT_S)
        except TroutstandError:
            # A voter that does not reply has no vote; the caller checks the quorum.
            return voter, None
        if isinstance(reply, Refused):
            self._registers.update_keepers(reply.keepers)
        return voter, reply if isinstance(reply, Newest) else None

    async def _decide(self, version: int, content: bytes | None) -> bool:
        """Decide a version's content; without a content, only complete an earlier ballot.

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
            return self._get_current().version >= version
        await self._install(StoredConfiguration(version, decided, self._line))
        return True

    async def _wait_decision(
        self, decision: asyncio.Task[bytes] | asyncio.Task[bytes | None], version: int
    ) -> bytes | None:
        """Wait for a decision, or until this or a later version is known as decided.

        Keepers that know such a version refuse the register, so its ballots get no quorum.
        """
        while not decision.done():
            await asyncio.wait([decision], timeout=_REQUEST_TIMEOUT_S / 2)
            if not decision.done() and await self._is_decided_elsewhere(version):
                return None
        try:
            return decision.result()
        except TroutstandError:
            # The caller retries until its own timeout.
            return None

    async def _is_decided_elsewhere(self, version: int) -> bool:
        epoch = self._registers.epoch
        votes = await self._ask_voters(list_voters(self._registers.keepers), epoch)
        sources = [keeper for keeper, vote in votes.items() if vote.decided >= version]
        if sources:
            await self._fetch(sources[0])
        return self._get_current().version >= version

    async def _fetch(self, keeper: ProcessId) -> None:
        try:
            reply = await self._ask(keeper, ConfigurationAsk(self._line), _REQUEST_TIMEOUT_S)
        except TroutstandError:
            # The keeper did not reply; the caller checks the installed version.
            return
        if isinstance(reply, Learned):
            await self._install(StoredConfiguration(reply.version, reply.content, reply.line))
