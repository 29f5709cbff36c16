"""Create the keeper set and replace a keeper that lost its disk.

A replacement takes two decided changes. The first removes the lost disk and adds the new one as
a non-voting member; until its copy is complete, decisions need every remaining keeper. The
second makes it a voter.
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

_REQUEST_TIMEOUT_S = 5.0


class Membership:
    """Change the keeper set from one keeper process."""

    def __init__(self, keeper: KeeperProcess) -> None:
        self._keeper = keeper

    def install(self, keepers: KeeperSet) -> PeerMessage | Awaitable[PeerMessage]:
        """Store a decided keeper set on this keeper."""
        records = self._keeper.acceptor.install_keepers(keepers)
        self._keeper.registers.update_keepers(keepers)
        if not records:
            return Acknowledged()
        self._keeper.node.events.emit("keepers_installed", epoch=keepers.epoch)
        return self._acknowledge_after_sync(keepers, records)

    async def _acknowledge_after_sync(
        self, keepers: KeeperSet, records: list[StoredRecord]
    ) -> PeerMessage:
        await self._keeper.journal.write(records)
        return Acknowledged()

    async def _send_request(self, process: str, message: PeerMessage) -> PeerMessage:
        reply = await self._keeper.ask_keeper(process, message, _REQUEST_TIMEOUT_S)
        if isinstance(reply, Refused):
            raise TroutstandError(ResultCode(reply.code), f"{process}: {reply.detail}")
        return reply

    async def _install_on_members(self, keepers: KeeperSet, required: frozenset[str]) -> None:
        names = [member.process for member in keepers.members]
        requests = [self._send_request(name, KeepersInstall(keepers)) for name in names]
        replies = await asyncio.gather(*requests, return_exceptions=True)
        failed = [n for n, r in zip(names, replies, strict=True) if isinstance(r, BaseException)]
        for name, reply in zip(names, replies, strict=True):
            if isinstance(reply, BaseException):
                self._keeper.node.events.emit(
                    "keepers_install_failed", peer=name, epoch=keepers.epoch, detail=repr(reply)
                )
        if required & set(failed):
            detail = (
                f"epoch {keepers.epoch} is not installed on {', '.join(failed)}; repeat the call"
            )
            raise TroutstandError(ResultCode.KEEPER_CHANGE_REFUSED, detail)

    async def make_initial_set(self) -> KeeperSet:
        """Create the first set from all configured keepers, which must be formatted and new."""
        names = sorted(self._keeper.node.peers.keepers | {self._keeper.node.process})
        replies = [await self._send_request(name, KeepersAsk()) for name in names]
        keepers = make_set([r for r in replies if isinstance(r, KeepersReply)])
        await self._install_on_members(keepers, frozenset(names))
        return keepers

    async def replace(self, process: str) -> KeeperSet:
        """Replace a keeper's lost disk by its new one."""
        reply = await self._send_request(process, KeepersAsk())
        if not isinstance(reply, KeepersReply):
            raise TroutstandError(ResultCode.KEEPER_CHANGE_REFUSED, process)
        keepers = self._require_keepers()
        member = next((m for m in keepers.members if m.process == process), None)
        is_copying = member is not None and member.state is MemberState.copying
        if not (is_copying and member is not None and member.disk_id == reply.disk_id):
            keepers = await self._decide_set(replace_member(keepers, process, reply.disk_id))
        # All remaining keepers must reject the old epoch before the copy starts; otherwise the
        # copy could miss decisions of the old set.
        others = frozenset(m.process for m in keepers.members if m.process != process)
        await self._install_on_members(keepers, others | {process})
        return self._require_keepers()

    async def _decide_set(self, keepers: KeeperSet) -> KeeperSet:
        register = name_keepers_register(keepers.epoch)
        decided = await self._keeper.registers.decide(register, encode_record(keepers))
        winner = decode_record(decided, KeeperSet)
        if winner != keepers:
            raise TroutstandError(
                ResultCode.KEEPER_CHANGE_REFUSED,
                f"a concurrent change was decided as epoch {winner.epoch}",
            )
        return winner

    def _require_keepers(self) -> KeeperSet:
        keepers = self._keeper.acceptor.keepers
        if keepers is None:
            raise TroutstandError(ResultCode.KEEPER_CHANGE_REFUSED, "there is no keeper set yet")
        return keepers

    async def fetch(self, process: str) -> None:
        """Fetch and install a peer's newer keeper set."""
        try:
            reply = await self._send_request(process, KeepersAsk())
        except TroutstandError:
            # The peer's next heartbeat triggers another fetch.
            return
        if isinstance(reply, KeepersReply) and reply.keepers:
            pending_reply = self.install(reply.keepers)
            if isinstance(pending_reply, Awaitable):
                await pending_reply

    async def copy_and_join(self) -> None:
        """Copy every voter's registers to this disk, then promote it to a voter.

        A voter in an older epoch refuses the copy; the next heartbeat retries.
        """
        keepers = self._require_keepers()
        for voter in sorted(list_voters(keepers)):
            await self._copy_from(voter, keepers.epoch)
        promoted = await self._decide_set(promote_member(keepers, self._keeper.node.process))
        await self._install_on_members(promoted, frozenset({self._keeper.node.process}))
        self._keeper.node.events.emit("keeper_joined", epoch=promoted.epoch)

    async def _copy_from(self, voter: ProcessId, epoch: int) -> None:
        after = ""
        while True:
            reply = await self._send_request(voter, CopyAsk(epoch, after))
            if not isinstance(reply, CopyPage):
                raise TroutstandError(
                    ResultCode.KEEPER_CHANGE_REFUSED, f"{voter} did not reply with a copy page"
                )
            acceptor = self._keeper.acceptor
            records = [out for record in reply.records for out in acceptor.merge_record(record)]
            if records:
                await self._keeper.journal.write(records)
            if reply.last:
                return
            after = reply.next
