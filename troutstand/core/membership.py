"""Make the keeper sets, and decide when one takes in a new disk and in whose place.

A set holds `2 * losses + 1` members, so that as many disks may be lost at
once. A member gives its place up when its process reports another disk, or
when it was silent for `GONE_S` while a keeper without a place waits. A wrong
guess costs a copy and no data: the member that comes back finds a newer
epoch, votes on nothing, and waits for a place itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import RegisterName
from troutstand.generated.messages import KeeperSet, Member, MemberState

if TYPE_CHECKING:
    from troutstand.core.contacts import ContactRegistry
    from troutstand.generated.messages import Contact, KeepersReply

MEMBER_TIMEOUT_S = 2.5
CONTACT_MAX_AGE_S = 1.0
INITIAL_EPOCH = 1
INITIAL_DISK_ID = "first"
KEEPER_ROLE = "keeper"


def name_keepers_register(epoch: int) -> RegisterName:
    """Name the register that holds the keeper set of an epoch."""
    return RegisterName(f"keepers/{epoch}")


def make_initial_set(processes: list[str]) -> KeeperSet:
    """Make the set that all seeds agree on without a word at the first start."""
    members = [Member(p, INITIAL_DISK_ID, MemberState.voting) for p in sorted(set(processes))]
    return KeeperSet(INITIAL_EPOCH, members)


def make_set(replies: list[KeepersReply]) -> KeeperSet:
    """Make the first keeper set.

    Keepers that hold this very set already are no obstacle: the call that formed it did not
    reach all of them, and its caller was told to repeat it. The same set at one keeper more
    decides nothing anew.

    Raises
    ------
    TroutstandError
        KEEPER_CHANGE_REFUSED where a keeper belongs to another set.
    """
    ordered = sorted(replies, key=lambda reply: reply.process)
    members = [Member(r.process, r.disk_id, MemberState.voting) for r in ordered]
    keepers = KeeperSet(INITIAL_EPOCH, members)
    for reply in ordered:
        if reply.keepers not in (None, keepers):
            raise TroutstandError(
                ResultCode.KEEPER_CHANGE_REFUSED,
                f"{reply.process} belongs to a keeper set already; replace it instead",
            )
    return keepers


def count_copy_quorum(keepers: KeeperSet) -> int:
    """Return how many voters a copying disk must read before it votes.

    A majority of all members, itself counted as one that has nothing: whatever
    was decided stands at one of them, also after as many disks were lost as
    the set bears.
    """
    return len(keepers.members) // 2 + 1


def plan_change(
    keepers: KeeperSet,
    own: str,
    book: ContactRegistry,
    now_s: float,
    watching_since_s: float,
    size: int,
) -> KeeperSet | None:
    """Return the set that should follow, or None while nothing should change.

    Parameters
    ----------
    own
        The asking process, which its own book does not hold.
    watching_since_s
        Since when the asking process has heard others without a gap of its own.
    size
        How many members the set should have.
    """
    for member in keepers.members:
        contact = _find_fresh(book, member.process, now_s)
        if contact is not None and contact.disk_id not in ("", member.disk_id):
            return _put_member(keepers, member.process, contact)
    is_watching = now_s - watching_since_s > MEMBER_TIMEOUT_S
    others = [m for m in keepers.members if m.process != own]
    gone = [m for m in others if book.get_age_s(m.process, now_s) > MEMBER_TIMEOUT_S]
    copying = [m for m in keepers.members if m.state is MemberState.copying]
    if any(member not in gone for member in copying):
        return None
    candidate = _find_candidate(keepers, own, book, now_s)
    if candidate is None:
        return None
    if len(keepers.members) < size:
        return _put_member(keepers, None, candidate)
    if gone and is_watching:
        # A member that was copying had no word yet, so it goes first.
        leaving = copying[0] if copying else gone[0]
        return _put_member(keepers, leaving.process, candidate)
    return None


def replace_member(keepers: KeeperSet, process: str, disk_id: str) -> KeeperSet:
    """Make the set in which a new disk copies in a lost one's place.

    Raises
    ------
    TroutstandError
        KEEPER_CHANGE_REFUSED for an unknown keeper or the disk that votes now.
    """
    held = [m for m in keepers.members if m.process == process]
    if not held or held[0].disk_id == disk_id:
        raise TroutstandError(
            ResultCode.KEEPER_CHANGE_REFUSED,
            f"{process} with disk {disk_id} is no replacement in epoch {keepers.epoch}",
        )
    joining = Member(process, disk_id, MemberState.copying)
    members = [joining if m.process == process else m for m in keepers.members]
    return KeeperSet(keepers.epoch + 1, members)


def promote_member(keepers: KeeperSet, process: str) -> KeeperSet:
    """Make the set in which a complete copy votes."""
    members = [
        Member(m.process, m.disk_id, MemberState.voting) if m.process == process else m
        for m in keepers.members
    ]
    return KeeperSet(keepers.epoch + 1, members)


def _find_fresh(book: ContactRegistry, process: str, now_s: float) -> Contact | None:
    known = book.find(process)
    if known is None or now_s - known.last_heard_s > CONTACT_MAX_AGE_S:
        return None
    return known.contact


def _find_candidate(
    keepers: KeeperSet, own: str, book: ContactRegistry, now_s: float
) -> Contact | None:
    held = {own, *(member.process for member in keepers.members)}
    for process in book.list_by_role(KEEPER_ROLE):
        contact = _find_fresh(book, process, now_s)
        if process not in held and contact is not None and contact.disk_id:
            return contact
    return None


def _put_member(keepers: KeeperSet, leaving: str | None, contact: Contact) -> KeeperSet:
    kept = [m for m in keepers.members if m.process != leaving]
    joining = Member(contact.process, contact.disk_id, MemberState.copying)
    members = sorted([*kept, joining], key=lambda member: member.process)
    return KeeperSet(keepers.epoch + 1, members)
