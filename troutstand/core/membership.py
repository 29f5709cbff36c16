"""Form keeper sets and plan the replacement of their members.

A set has `2 * losses + 1` members, so that it tolerates the loss of that many disks. A
member is replaced if its process reports another disk, or if it was silent for
`MEMBER_TIMEOUT_S` while a spare keeper is available. A needless replacement loses no
data: a returning member finds a newer epoch, does not vote, and becomes a spare.
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
    """Make the set that every seed derives on its own at the first start."""
    members = [Member(p, INITIAL_DISK_ID, MemberState.voting) for p in sorted(set(processes))]
    return KeeperSet(INITIAL_EPOCH, members)


def make_set(replies: list[KeepersReply]) -> KeeperSet:
    """Make the first keeper set.

    Keepers that already belong to the same set are accepted, so that a call which did not
    reach all of them can be repeated.

    Raises
    ------
    TroutstandError
        KEEPER_CHANGE_REFUSED if a keeper belongs to another set.
    """
    ordered = sorted(replies, key=lambda reply: reply.process)
    members = [Member(r.process, r.disk_id, MemberState.voting) for r in ordered]
    keepers = KeeperSet(INITIAL_EPOCH, members)
    for reply in ordered:
        if reply.keepers not in (None, keepers):
            raise TroutstandError(
                ResultCode.KEEPER_CHANGE_REFUSED,
                f"{reply.process} already belongs to another keeper set; use replace instead",
            )
    return keepers


def count_copy_quorum(keepers: KeeperSet) -> int:
    """Return how many voters a copying disk must read before it votes.

    A majority of all members, not counting itself: it includes at least one member with
    each decided value, even after the tolerated number of disk losses.
    """
    return len(keepers.members) // 2 + 1


def plan_change(
    keepers: KeeperSet,
    own_process: str,
    contacts: ContactRegistry,
    now_s: float,
    observing_since_s: float,
    size: int,
) -> KeeperSet | None:
    """Return the next keeper set, or None if nothing should change.

    Parameters
    ----------
    own_process
        The calling process, which its own contact registry does not contain.
    observing_since_s
        Time since which the calling process has received contacts without a pause.
    size
        The intended number of members.
    """
    for member in keepers.members:
        contact = _find_recent_contact(contacts, member.process, now_s)
        if contact is not None and contact.disk_id not in ("", member.disk_id):
            return _add_member(keepers, member.process, contact)
    is_observing = now_s - observing_since_s > MEMBER_TIMEOUT_S
    others = [m for m in keepers.members if m.process != own_process]
    timed_out = [m for m in others if contacts.get_age_s(m.process, now_s) > MEMBER_TIMEOUT_S]
    copying = [m for m in keepers.members if m.state is MemberState.copying]
    if any(member not in timed_out for member in copying):
        return None
    candidate = _find_candidate(keepers, own_process, contacts, now_s)
    if candidate is None:
        return None
    if len(keepers.members) < size:
        return _add_member(keepers, None, candidate)
    if timed_out and is_observing:
        # Replaces a copying member first, since it does not vote yet.
        leaving = copying[0] if copying else timed_out[0]
        return _add_member(keepers, leaving.process, candidate)
    return None


def replace_member(keepers: KeeperSet, process: str, disk_id: str) -> KeeperSet:
    """Make the set in which a new disk replaces a lost one and starts to copy.

    Raises
    ------
    TroutstandError
        KEEPER_CHANGE_REFUSED for an unknown keeper or a disk that is already a member.
    """
    current = [m for m in keepers.members if m.process == process]
    if not current or current[0].disk_id == disk_id:
        raise TroutstandError(
            ResultCode.KEEPER_CHANGE_REFUSED,
            f"{process} with disk {disk_id} cannot replace a member in epoch {keepers.epoch}",
        )
    joining = Member(process, disk_id, MemberState.copying)
    members = [joining if m.process == process else m for m in keepers.members]
    return KeeperSet(keepers.epoch + 1, members)


def promote_member(keepers: KeeperSet, process: str) -> KeeperSet:
    """Make the set in which a member that has finished copying votes."""
    members = [
        Member(m.process, m.disk_id, MemberState.voting) if m.process == process else m
        for m in keepers.members
    ]
    return KeeperSet(keepers.epoch + 1, members)


def _find_recent_contact(contacts: ContactRegistry, process: str, now_s: float) -> Contact | None:
    known = contacts.find(process)
    if known is None or now_s - known.last_heard_s > CONTACT_MAX_AGE_S:
        return None
    return known.contact


def _find_candidate(
    keepers: KeeperSet, own_process: str, contacts: ContactRegistry, now_s: float
) -> Contact | None:
    excluded = {own_process, *(member.process for member in keepers.members)}
    for process in contacts.list_by_role(KEEPER_ROLE):
        contact = _find_recent_contact(contacts, process, now_s)
        if process not in excluded and contact is not None and contact.disk_id:
            return contact
    return None


def _add_member(keepers: KeeperSet, leaving: str | None, contact: Contact) -> KeeperSet:
    remaining = [m for m in keepers.members if m.process != leaving]
    joining = Member(contact.process, contact.disk_id, MemberState.copying)
    members = sorted([*remaining, joining], key=lambda member: member.process)
    return KeeperSet(keepers.epoch + 1, members)
