"""Form the keeper set and replace a keeper that lost its disk.

A replacement takes two steps of the keepers' own agreement. First the lost
disk leaves and the new one copies without a vote, while every remaining
keeper must agree to all that is decided. Only when its copy is complete does
the new disk vote, so that another may be lost right after (issue 4).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TYPE_CHECKING

from troutstand.core.acceptor import list_voters
from troutstand.core.codec import decode_record, encode_record
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.membership import (
    make_set,
    name_keepers_register,
    promote_member,
    replace_member,
)
from troutstand.generated.messages import (
    Acknowledged,
    CopyAsk,
    CopyPage,
    KeepersAsk,
    KeeperSet,
    KeepersInstall,
    KeepersReply,
    MemberState,
    PeerMessage,
    Refused,
)

if TYPE_CHECKING:
    from troutstand.core.ids import ProcessId
    from troutstand.core.stored import StoredRecord
    from troutstand.daemon.keeper import KeeperProcess

_ASK_S = 5.0


class Membership:
    """Change the keeper set from one keeper process."""

    def __init__(self, keeper: KeeperProcess) -> None:
        self._keeper = keeper

    def install(self, keepers: KeeperSet) -> PeerMessage | Awaitable[PeerMessage]:
        """Make a decided keeper set durable here."""
        records = self._keeper.acceptor.install_keepers(keepers)
        self._keeper.registers.update_keepers(keepers)
        if not records:
            return Acknowledged()
        self._keeper.node.events.emit("keepers_installed", epoch=keepers.epoch)
        return self._install_synced(keepers, records)

    async def _install_synced(self, keepers: KeeperSet, records: list[StoredRecord]) -> PeerMessage:
        await self._keeper.journal.write(records)
        return Acknowledged()

    async def _ask(self, process: str, message: PeerMessage) -> PeerMessage:
        reply = await self._keeper.ask_keeper(process, message, _ASK_S)
        if isinstance(reply, Refused):
            raise TroutstandError(ResultCode(reply.code), f"{process}: {reply.detail}")
        return reply

    async def _install_everywhere(self, keepers: KeeperSet, needed: frozenset[str]) -> None:
        names = [member.process for member in keepers.members]
        asks = [self._ask(name, KeepersInstall(keepers)) for name in names]
        replies = await asyncio.gather(*asks, return_exceptions=True)
        failed = [n for n, r in zip(names, replies, strict=True) if isinstance(r, BaseException)]
        for name, reply in zip(names, replies, strict=True):
            if isinstance(reply, BaseException):
                self._keeper.node.events.emit(
                    "keepers_install_failed", peer=name, epoch=keepers.epoch, detail=repr(reply)
                )
        if needed & set(failed):
            detail = f"epoch {keepers.epoch} is not yet at {', '.join(failed)}; repeat the call"
            raise TroutstandError(ResultCode.KEEPER_CHANGE_REFUSED, detail)

    async def make_initial_set(self) -> KeeperSet:
        """Make all configured keepers the first set; each must be formatted and new."""
        names = sorted(self._keeper.node.peers.keepers | {self._keeper.node.process})
        replies = [await self._ask(name, KeepersAsk()) for name in names]
        keepers = make_set([r for r in replies if isinstance(r, KeepersReply)])
        await self._install_everywhere(keepers, frozenset(names))
        return keepers

    async def replace(self, process: str) -> KeeperSet:
        """Put a keeper's new disk in the place of its lost one."""
        reply = await self._ask(process, KeepersAsk())
        if not isinstance(reply, KeepersReply):
            raise TroutstandError(ResultCode.KEEPER_CHANGE_REFUSED, process)
        keepers = self._require_set()
        member = next((m for m in keepers.members if m.process == process), None)
        is_copying = member is not None and member.state is MemberState.copying
        if not (is_copying and member is not None and member.disk_id == reply.disk_id):
            keepers = await self._decide(replace_member(keepers, process, reply.disk_id))
        # Every remaining keeper must refuse the old epoch before the copy
        # begins; otherwise the copy could miss what the old set decides.
        others = frozenset(m.process for m in keepers.members if m.process != process)
        await self._install_everywhere(keepers, others | {process})
        return self._require_set()

    async def _decide(self, keepers: KeeperSet) -> KeeperSet:
        register = name_keepers_register(keepers.epoch)
        decided = await self._keeper.registers.decide(register, encode_record(keepers))
        winner = decode_record(decided, KeeperSet)
        if winner != keepers:
            raise TroutstandError(
                ResultCode.KEEPER_CHANGE_REFUSED, f"another change made epoch {winner.epoch}"
            )
        return winner

    def _require_set(self) -> KeeperSet:
        keepers = self._keeper.acceptor.keepers
        if keepers is None:
            raise TroutstandError(ResultCode.KEEPER_CHANGE_REFUSED, "no keeper set is formed yet")
        return keepers

    async def fetch(self, process: str) -> None:
        """Take the newer keeper set that a peer told of."""
        try:
            reply = await self._ask(process, KeepersAsk())
        except TroutstandError:
            # Its next heartbeat tells of the newer set again.
            return
        if isinstance(reply, KeepersReply) and reply.keepers:
            pending = self.install(reply.keepers)
            if isinstance(pending, Awaitable):
                await pending

    async def copy_and_join(self) -> None:
        """Copy every voter's registers to this disk, then have it vote.

        A voter that is still in an older epoch refuses; the next heartbeat
        tries again.
        """
        keepers = self._require_set()
        for voter in sorted(list_voters(keepers)):
            await self._copy_from(voter, keepers.epoch)
        promoted = await self._decide(promote_member(keepers, self._keeper.node.process))
        await self._install_everywhere(promoted, frozenset({self._keeper.node.process}))
        self._keeper.node.events.emit("keeper_joined", epoch=promoted.epoch)

    async def _copy_from(self, voter: ProcessId, epoch: int) -> None:
        after = ""
        while True:
            reply = await self._ask(voter, CopyAsk(epoch, after))
            if not isinstance(reply, CopyPage):
                raise TroutstandError(ResultCode.KEEPER_CHANGE_REFUSED, f"{voter} sent no page")
            acceptor = self._keeper.acceptor
            records = [out for record in reply.records for out in acceptor.merge_record(record)]
            if records:
                await self._keeper.journal.write(records)
            if reply.last:
                return
            after = reply.next
