"""Replace lost keepers automatically.

`core/membership.py` plans each change. The keepers' registers decide it by consensus, so
that concurrent proposals and delayed messages are harmless.
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

_REQUEST_TIMEOUT_S = 0.6
_COPY_TIMEOUT_S = 2.0


class KeeperReplacement:
    """Maintain the keeper set from one keeper."""

    def __init__(self, keeper: RoutingKeeper) -> None:
        self._keeper = keeper
        self._observing_since_s = read_clock_s()

    def reset_silence(self) -> None:
        """Restart the observation of the peers, after this process itself was stalled."""
        self._observing_since_s = read_clock_s()

    async def run_step(self) -> None:
        """Take the next step towards a complete keeper set, if it is up to this keeper."""
        acceptor = self._keeper.acceptor
        if acceptor.keepers is None:
            return
        member = acceptor.find_member()
        if member is None:
            await self._keeper.become_spare()
        elif member.state is MemberState.copying:
            await self._copy_and_join(acceptor.keepers)
        elif self._is_first_voter(acceptor.keepers):
            await self._change_members(acceptor.keepers)

    def _is_first_voter(self, keepers: KeeperSet) -> bool:
        """Return whether this is the first live voter; concurrent proposals only cost time."""
        now_s = read_clock_s()
        for member in sorted(keepers.members, key=lambda member: member.process):
            if member.process == self._keeper.node.process:
                return True
            if member.state is MemberState.voting and self._is_live(member, now_s):
                return False
        return False

    def _is_live(self, member: Member, now_s: float) -> bool:
        """Return whether a member had recent contact with the disk in the keeper set."""
        known = self._keeper.node.contacts.find(member.process)
        if known is None or now_s - known.last_heard_s > CONTACT_MAX_AGE_S:
            return False
        return known.contact.disk_id == member.disk_id

    async def _change_members(self, keepers: KeeperSet) -> None:
        size = 2 * self._keeper.node.settings.disks_lost + 1
        now_s = read_clock_s()
        contacts = self._keeper.node.contacts
        planned = plan_change(
            keepers, self._keeper.node.process, contacts, now_s, self._observing_since_s, size
        )
        if planned is not None:
            await self._decide(planned)

    async def _decide(self, proposed: KeeperSet) -> None:
        data = await self._keeper.registers.decide(
            name_keepers_register(proposed.epoch), encode_record(proposed)
        )
        # The decided set of this epoch may be another keeper's proposal.
        decided = decode_record(data, KeeperSet)
        await self.install(decided)
        members = ",".join(f"{m.process}/{m.state.value}" for m in decided.members)
        is_own = decided == proposed
        self._keeper.node.events.emit(
            "keeper_set_decided", epoch=decided.epoch, members=members, own=is_own
        )
        names = {m.process for m in decided.members} - {self._keeper.node.process}
        await asyncio.gather(*(self._send_keepers(name, decided) for name in names))

    async def _send_keepers(self, process: str, keepers: KeeperSet) -> None:
        try:
            await self._keeper.node.ask(process, KeepersInstall(keepers), _REQUEST_TIMEOUT_S)
        except TroutstandError:
            # The peer learns the epoch with its next contact.
            return

    async def install(self, keepers: KeeperSet) -> None:
        """Store a decided keeper set."""
        records = self._keeper.acceptor.install_keepers(keepers)
        self._keeper.registers.update_keepers(keepers)
        if records:
            await self._keeper.journal.write(records)
            self._keeper.node.events.emit("keeper_set_installed", epoch=keepers.epoch)

    async def fetch(self, process: str) -> None:
        """Fetch and install the newer keeper set of another keeper."""
        try:
            reply = await self._keeper.node.ask(process, KeepersAsk(), _REQUEST_TIMEOUT_S)
        except TroutstandError:
            # Retried after the next contact.
            return
        if isinstance(reply, KeepersReply) and reply.keepers:
            await self.install(reply.keepers)

    async def _copy_and_join(self, keepers: KeeperSet) -> None:
        needed = count_copy_quorum(keepers)
        voters = sorted(list_voters(keepers))
        copies = [self._copy_from(voter, keepers.epoch) for voter in voters]
        results = await asyncio.gather(*copies)
        complete_count = sum(results)
        if complete_count < needed or self._keeper.acceptor.epoch != keepers.epoch:
            missing = [
                voter for voter, is_complete in zip(voters, results, strict=True) if not is_complete
            ]
            self._keeper.node.events.emit(
                "keeper_copy_waits", have=complete_count, needed=needed, missing=",".join(missing)
            )
            return
        await self._decide(promote_member(keepers, self._keeper.node.process))

    async def _copy_from(self, voter: ProcessId, epoch: int) -> bool:
        """Copy the state of a voter; return whether all of it arrived in this epoch."""
        after = ""
        while True:
            try:
                reply = await self._keeper.node.ask(voter, CopyAsk(epoch, after), _COPY_TIMEOUT_S)
            except TroutstandError:
                # Logged by keeper_copy_waits.
                return False
            if isinstance(reply, Refused):
                await self._handle_refusal(voter, reply)
            if not isinstance(reply, CopyPage):
                return False
            acceptor = self._keeper.acceptor
            records = [
                merged for record in reply.records for merged in acceptor.merge_record(record)
            ]
            if records:
                await self._keeper.journal.write(records)
            if reply.last:
                return True
            after = reply.next

    async def _handle_refusal(self, voter: ProcessId, refusal: Refused) -> None:
        """Bring the older of the two keeper sets up to date after a refusal."""
        own = self._keeper.acceptor.keepers
        if refusal.keepers is not None and own is not None:
            if refusal.keepers.epoch > own.epoch:
                await self.install(refusal.keepers)
            elif refusal.keepers.epoch < own.epoch:
                await self._send_keepers(voter, own)
