"""Drive the rules of the keeper set on a virtual clock."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core import membership
from troutstand.core.contacts import ContactRegistry
from troutstand.core.errors import TroutstandError
from troutstand.core.membership import count_copy_quorum, make_initial_set, plan_change
from troutstand.generated.messages import (
    Contact,
    KeeperSet,
    KeepersReply,
    Member,
    MemberState,
    ProcessState,
)

if TYPE_CHECKING:
    from behave.runner import Context

_NOW_S = 1000.0
_FIRST_DISK = "first"
_OWN = "a"


def make_contact(process: str, disk_id: str, age_s: float = 0.0) -> Contact:
    """Make a keeper's contact."""
    return Contact(
        process=process,
        host=process,
        role="keeper",
        failure_domain="north",
        incarnation="1",
        state=ProcessState.serving,
        age_ms=int(age_s * 1000),
        disk_id=disk_id,
    )


def _hear(context: Context, process: str, disk_id: str = _FIRST_DISK, age_s: float = 0.0) -> None:
    context.contacts.update(make_contact(process, disk_id, age_s), context.now_s)


@given("a set of keepers a, b and c for the loss of {losses:d} disks")
def make_set(context: Context, losses: int) -> None:
    context.keepers = make_initial_set(["a", "b", "c"])
    context.size = 2 * losses + 1
    context.now_s = _NOW_S
    context.watching_since_s = 0.0
    context.contacts = ContactRegistry()


@given("a set of {size:d} keepers")
def form_sized(context: Context, size: int) -> None:
    context.keepers = make_initial_set([f"k{n}" for n in range(size)])


@when("all are heard")
def hear_all(context: Context) -> None:
    for process in "abc":
        _hear(context, process)


@when("c is silent for {silent_s:d} s")
def silence_c(context: Context, silent_s: int) -> None:
    _hear(context, "a")
    _hear(context, "b")
    _hear(context, "c", age_s=silent_s)


@when("c is silent for {silent_s:d} s and d waits")
def silence_c_with_spare(context: Context, silent_s: int) -> None:
    silence_c(context, silent_s)
    _hear(context, "d", "spare")


@when("c returns with another disk")
def return_wiped(context: Context) -> None:
    _hear(context, "a")
    _hear(context, "b")
    _hear(context, "c", "empty")


@when("a hears all but itself and d waits")
def wait_without_own(context: Context) -> None:
    _hear(context, "b")
    _hear(context, "c")
    _hear(context, "d", "spare")


@when("d waits")
def wait_d(context: Context) -> None:
    hear_all(context)
    _hear(context, "d", "spare")


@when("all but a were silent since a stalled and d waits")
def stand_still(context: Context) -> None:
    _hear(context, "b", age_s=9)
    _hear(context, "c", age_s=9)
    _hear(context, "a")
    _hear(context, "d", "spare")
    context.watching_since_s = context.now_s - 0.5


def _plan(context: Context) -> None:
    context.following = plan_change(
        context.keepers,
        _OWN,
        context.contacts,
        context.now_s,
        context.watching_since_s,
        context.size,
    )


def _advance(context: Context) -> None:
    _plan(context)
    context.keepers = context.following


@when("the next set is in force and e waits")
def advance(context: Context) -> None:
    _advance(context)
    _hear(context, "e", "spare")


@when("the next set is in force, d is silent for {silent_s:d} s and e waits")
def advance_and_lose(context: Context, silent_s: int) -> None:
    _advance(context)
    context.now_s += silent_s
    _hear(context, "a")
    _hear(context, "b")
    _hear(context, "e", "spare")


@then("the next set is not due")
def check_none(context: Context) -> None:
    _plan(context)
    assert context.following is None, context.following


@then("the next set has {joining} copying {place}")
def check_set(context: Context, joining: str, place: str) -> None:
    _plan(context)
    assert context.following is not None
    assert context.following.epoch == context.keepers.epoch + 1
    members = {m.process: m.state.value for m in context.following.members}
    assert members[joining] == "copying", members
    leaving = re.match(r"in (\w)'s place", place)
    expected = {m.process for m in context.keepers.members} | {joining}
    if leaving and leaving.group(1) != joining:
        expected.discard(leaving.group(1))
    assert set(members) == expected, members


@then("a copying disk reads {needed:d} voters")
def check_needed(context: Context, needed: int) -> None:
    assert count_copy_quorum(context.keepers) == needed


@given("a contact last heard {age_s:d} s ago")
def hear_old(context: Context, age_s: int) -> None:
    context.contacts = ContactRegistry()
    context.now_s = _NOW_S
    context.contact_s = _NOW_S - age_s
    context.contacts.update(make_contact("a", _FIRST_DISK, age_s), context.now_s)


@when("the same contact is passed on with its age for {length_s:d} s")
def pass_on(context: Context, length_s: int) -> None:
    for _ in range(length_s):
        context.now_s += 1
        age_s = context.now_s - context.contact_s
        context.contacts.update(make_contact("a", _FIRST_DISK, age_s), context.now_s)
        context.contacts.expire(context.now_s)


@then("the contact expires")
def check_forgotten(context: Context) -> None:
    assert context.contacts.find("a") is None


# The first set


def _make_set(disks: dict[str, str], epoch: int = 1) -> KeeperSet:
    members = [Member(name, disk, MemberState.voting) for name, disk in sorted(disks.items())]
    return KeeperSet(epoch, members)


@when("a set of a, b and c is formed where {before}")
def form_again(context: Context, before: str) -> None:
    disks = {name: f"disk-{name}" for name in "abc"}
    known: dict[str, KeeperSet] = {}
    match before:
        case "a and b hold that very set":
            known = dict.fromkeys("ab", _make_set(disks))
        case "all hold that very set":
            known = dict.fromkeys("abc", _make_set(disks))
        case "a and b hold that set, and c has another disk now":
            known = dict.fromkeys("ab", _make_set({**disks, "c": "disk-lost"}))
        case "a holds a set of a and d":
            known = {"a": _make_set({"a": "disk-a", "d": "disk-d"})}
        case "a and b hold a set of epoch 2":
            known = dict.fromkeys("ab", _make_set(disks, epoch=2))
    replies = [KeepersReply(name, disks[name], known.get(name)) for name in "abc"]
    context.formed, context.refused = None, None
    try:
        context.formed = membership.make_set(replies)
    except TroutstandError as error:
        context.refused = error


@then("it holds a, b and c in epoch 1")
def check_formed(context: Context) -> None:
    assert context.formed is not None, context.refused
    assert [member.process for member in context.formed.members] == ["a", "b", "c"]
    assert context.formed.epoch == 1


@then("it is refused with {code:d}")
def check_form_refused(context: Context, code: int) -> None:
    assert context.refused is not None and context.refused.code == code, context.formed
