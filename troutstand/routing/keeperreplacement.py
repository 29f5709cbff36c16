"""Keep the keeper set whole without an operator.

`core/membership.py` says who takes whose place; the keepers' own registers
decide each change, so that rivals and late words do no harm.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.acceptor import list_voters
from troutstand.core.codec import decode_record, encode_record
from troutstand.core.errors import TroutstandError
from troutstand.core.membership import (
    CONTACT_MAX_AGE_S,
    count_copy_quorum,
    name_keepers_register,
    plan_change,
    promote_member,
)
from troutstand.generated.messages import (
    CopyAsk,
    CopyPage,
    KeepersAsk,
    KeeperSet,
    KeepersInstall,
    KeepersReply,
    Member,
    MemberState,
    Refused,
)
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.core.ids import ProcessId
    from troutstand.routing.keeper import RoutingKeeper

_ASK_S = 0.6
_COPY_S = 2.0


class KeeperReplacement:
    """Follow and change the keeper set from one keeper."""

    def __init__(self, keeper: RoutingKeeper) -> None:
        self._keeper = keeper
        self._watching_since_s = read_clock_s()

    def reset_silence(self) -> None:
        """Note that this process was held up, so that silence proves nothing yet."""
        self._watching_since_s = read_clock_s()

    async def run_step(self) -> None:
        """Take the next step that the set needs, if it is this keeper's to take."""
        acceptor = self._keeper.acceptor
        if acceptor.keepers is None:
            return
        member = acceptor.find_member()
        if member is None:
            await self._keeper.become_spare()
        elif member.state is MemberState.copying:
            await self._copy_and_join(acceptor.keepers)
        elif self._is_first_voter(acceptor.keepers):
            await self._change(acceptor.keepers)

    def _is_first_voter(self, keepers: KeeperSet) -> bool:
        """Tell whether no live voter stands before this one; rivals are harmless but slow."""
        now_s = read_clock_s()
        for member in sorted(keepers.members, key=lambda member: member.process):
            if member.process == self._keeper.node.process:
                return True
            if member.state is MemberState.voting and self._is_live(member, now_s):
                return False
        return False

    def _is_live(self, member: Member, now_s: float) -> bool:
        """Tell whether a member was heard lately with the disk that the set names."""
        known = self._keeper.node.contacts.find(member.process)
        if known is None or now_s - known.last_heard_s > CONTACT_MAX_AGE_S:
            return False
        return known.contact.disk_id == member.disk_id

    async def _change(self, keepers: KeeperSet) -> None:
        size = 2 * self._keeper.node.settings.disks_lost + 1
        now_s = read_clock_s()
        book = self._keeper.node.contacts
        following = plan_change(
            keepers, self._keeper.node.process, book, now_s, self._watching_since_s, size
        )
        if following is not None:
            await self._decide(following)

    async def _decide(self, wanted: KeeperSet) -> None:
        data = await self._keeper.registers.decide(
            name_keepers_register(wanted.epoch), encode_record(wanted)
        )
        # Another's set may have won this epoch; whichever did is in force.
        decided = decode_record(data, KeeperSet)
        await self.install(decided)
        members = ",".join(f"{m.process}/{m.state.value}" for m in decided.members)
        is_own = decided == wanted
        self._keeper.node.events.emit(
            "keeper_set_decided", epoch=decided.epoch, members=members, own=is_own
        )
        names = {m.process for m in decided.members} - {self._keeper.node.process}
        await asyncio.gather(*(self._tell(name, decided) for name in names))

    async def _tell(self, process: str, keepers: KeeperSet) -> None:
        try:
            await self._keeper.node.ask(process, KeepersInstall(keepers), _ASK_S)
        except TroutstandError:
            # It hears of the epoch with the next contact.
            return

    async def install(self, keepers: KeeperSet) -> None:
        """Make a decided keeper set durable here."""
        records = self._keeper.acceptor.install_keepers(keepers)
        self._keeper.registers.learn_keepers(keepers)
        if records:
            await self._keeper.journal.write(records)
            self._keeper.node.events.emit("keeper_set_installed", epoch=keepers.epoch)

    async def fetch(self, process: str) -> None:
        """Take the newer keeper set that a keeper told of."""
        try:
            reply = await self._keeper.node.ask(process, KeepersAsk(), _ASK_S)
        except TroutstandError:
            # The next contact tells of the newer set again.
            return
        if isinstance(reply, KeepersReply) and reply.keepers:
            await self.install(reply.keepers)

    async def _copy_and_join(self, keepers: KeeperSet) -> None:
        needed = count_copy_quorum(keepers)
        voters = sorted(list_voters(keepers))
        copies = [self._copy_from(voter, keepers.epoch) for voter in voters]
        wholes = await asyncio.gather(*copies)
        done = sum(wholes)
        if done < needed or self._keeper.acceptor.epoch != keepers.epoch:
            missing = [voter for voter, whole in zip(voters, wholes, strict=True) if not whole]
            self._keeper.node.events.emit(
                "keeper_copy_waits", have=done, needed=needed, missing=",".join(missing)
            )
            return
        await self._decide(promote_member(keepers, self._keeper.node.process))

    async def _copy_from(self, voter: ProcessId, epoch: int) -> bool:
        """Copy all of a voter's state; tell whether it came whole and in this epoch."""
        after = ""
        while True:
            try:
                reply = await self._keeper.node.ask(voter, CopyAsk(epoch, after), _COPY_S)
            except TroutstandError:
                # keeper_copy_waits names it.
                return False
            if isinstance(reply, Refused):
                await self._learn_refusal(voter, reply)
            if not isinstance(reply, CopyPage):
                return False
            acceptor = self._keeper.acceptor
            records = [out for record in reply.records for out in acceptor.merge_record(record)]
            if records:
                await self._keeper.journal.write(records)
            if reply.last:
                return True
            after = reply.next

    async def _learn_refusal(self, voter: ProcessId, refusal: Refused) -> None:
        """Bring whichever of the two is behind to the newer keeper set."""
        own = self._keeper.acceptor.keepers
        if refusal.keepers is not None and own is not None:
            if refusal.keepers.epoch > own.epoch:
                await self.install(refusal.keepers)
            elif refusal.keepers.epoch < own.epoch:
                await self._tell(voter, own)
