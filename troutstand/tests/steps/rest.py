"""Let targets ask for a backoff or announce a shutdown, on a virtual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.core.notices import parse_notice
from troutstand.core.noticestore import NoticeStore
from troutstand.core.selfreport import BlockReason
from troutstand.generated.messages import Ending, ListedState, ListedTarget, TargetNotice
from troutstand.routing.dialect import HeaderNames
from troutstand.tests.steps.dispatch import GATEWAY, Desk

if TYPE_CHECKING:
    from behave.runner import Context

_BEGAN_S = 100.0
_PACE_S = 0.02
# Requests at once, enough to use three targets.
_TOGETHER = 3
_NEW_LIFE_MS = 1_768_089_512_914


@given("a dispatcher for {targets:d} targets of {slots:d} slots")
def make_desk(context: Context, targets: int, slots: int) -> None:
    context.desk = Desk(targets, slots)
    context.book = NoticeStore()


def tell(desk: Desk, gateway: str, *notices: TargetNotice) -> None:
    desk.dispatcher.apply_notices(gateway, notices, desk.now_s)


def _fill(desk: Desk, targets: set[str]) -> None:
    """Fill every slot of some targets, and leave the others empty."""
    for _ in range(sum(t.slots for t in desk.listed)):
        desk.arrive("gateway-9", objective_s=60.0, remaining_s=60.0)
    for request in [r for r, target in desk.placed.items() if target not in targets]:
        desk.end(request)


@given("{gateway} has a request at t1")
def give_one(context: Context, gateway: str) -> None:
    desk = context.desk
    names = [desk.arrive(gateway) for _ in range(3)]
    context.request = next(name for name in names if desk.placed[name] == "t1")


@given("every other target is full")
def fill_others(context: Context) -> None:
    _fill(context.desk, {"t2", "t3"})


@given("every target is full")
def fill_all(context: Context) -> None:
    _fill(context.desk, {"t1", "t2", "t3"})


@given("a request of gateway-1 waits")
def wait_one(context: Context) -> None:
    context.request = context.desk.arrive()
    assert context.request not in context.desk.placed


@when("{target} asks gateway-1 for a backoff of {rest_s:g} s")
def ask_rest(context: Context, target: str, rest_s: float) -> None:
    targets = [t.target for t in context.desk.listed] if target == "each target" else [target]
    tell(context.desk, GATEWAY, *(TargetNotice(name, rest_s=rest_s) for name in targets))


@when("t1 rejects {count:d} requests of gateway-1")
def turn_away(context: Context, count: int) -> None:
    desk = context.desk
    for _ in range(count):
        # Placed as a first attempt, regardless of earlier ones.
        name = desk.arrive(GATEWAY, attempts=2, excluded=["t2", "t3"])
        while name not in desk.placed:
            desk.pass_time(0.05)
        assert desk.placed[name] == "t1", desk.placed
        desk.end(name, Ending.turned_away)


@when("{target} tells gateway-1 that it is draining")
def tell_leaving(context: Context, target: str) -> None:
    tell(context.desk, GATEWAY, TargetNotice(target, is_leaving=True))


@when("the request at t1 succeeds")
def end_whole(context: Context) -> None:
    context.desk.end(context.request)


@when("the list of targets is read again")
def read_again(context: Context) -> None:
    desk = context.desk
    desk.dispatcher.update_targets(desk.listed, desk.now_s)


@when("the list of targets shows a new incarnation of t1")
def read_new_life(context: Context) -> None:
    desk = context.desk
    before = [msgspec.structs.replace(t, born_ms=_NEW_LIFE_MS - 1) for t in desk.listed]
    desk.dispatcher.update_targets(before, desk.now_s)
    first = msgspec.structs.replace(desk.listed[0], born_ms=_NEW_LIFE_MS)
    desk.dispatcher.update_targets([first, *before[1:]], desk.now_s)


@when("the list of targets shows t1 as draining")
def read_draining(context: Context) -> None:
    desk = context.desk
    first = msgspec.structs.replace(desk.listed[0], state=ListedState.draining)
    desk.dispatcher.update_targets([first, *desk.listed[1:]], desk.now_s)


@when("the list of targets shows t1 as draining, then as ready")
def read_back(context: Context) -> None:
    read_draining(context)
    read_again(context)


@when("a request at t1 succeeds")
def end_one(context: Context) -> None:
    desk = context.desk
    desk.end(next(name for name, target in desk.placed.items() if target == "t1"))


@then("the waiting request has no target")
def check_unplaced(context: Context) -> None:
    assert context.request not in context.desk.placed


@when("a gateway's own list shows t1 as draining")
def tell_listed(context: Context) -> None:
    context.desk.dispatcher.mark_leaving(["t1"])


@when("a gateway that attaches reports that t1 is draining and t2 wants a backoff of {rest_s:g} s")
def attach(context: Context, rest_s: float) -> None:
    notices = [TargetNotice("t1", is_leaving=True), TargetNotice("t2", rest_s=rest_s)]
    tell(context.desk, GATEWAY, *notices)


@when("{length_s:g} s pass at the dispatcher")
def pass_time(context: Context, length_s: float) -> None:
    context.desk.pass_time(length_s)


@when("a request of {gateway} is answered by t1")
@when("a request of {gateway} with two attempts is answered by t1")
def answer_one(context: Context, gateway: str) -> None:
    desk = context.desk
    most: dict[str, object] = {"attempts": 2, "objective_s": 60.0, "remaining_s": 60.0}
    name = desk.arrive(gateway, excluded=["t2", "t3"], **most)
    assert desk.placed[name] == "t1"
    desk.now_s += 0.05
    desk.end(name)


def _place_some(desk: Desk, gateway: str, count: int, **fields: object) -> list[str]:
    """Return the targets of a few requests that finish at once."""
    names = [desk.arrive(gateway, **fields) for _ in range(count)]
    found = [desk.placed[name] for name in names if name in desk.placed]
    for name in names:
        if name in desk.placed:
            desk.end(name)
        else:
            desk.dispatcher.abandon(name, desk.now_s)
    return found


@then("requests of {gateway} go to {targets} only for {length_s:g} s")
def check_only(context: Context, gateway: str, targets: str, length_s: float) -> None:
    desk = context.desk
    owner = GATEWAY if gateway == "that gateway" else gateway
    end_s = desk.now_s + length_s
    while desk.now_s < end_s:
        found = _place_some(desk, owner, _TOGETHER)
        assert set(found) <= set(targets.split(", ")) and found, (desk.now_s, found)
        desk.now_s += _PACE_S
        desk.dispatcher.tick(desk.now_s)


@then("after {length_s:g} s requests of {gateway} go to t1 as well")
def check_again(context: Context, length_s: float, gateway: str) -> None:
    context.desk.pass_time(length_s)
    assert "t1" in _place_some(context.desk, gateway, 4)


@then("requests of {gateway} do not go to t1")
def check_not(context: Context, gateway: str) -> None:
    assert "t1" not in _place_some(context.desk, gateway, 4)


@then("{count:d} of {asked:d} requests of {gateway} with {attempts} gets t1")
def check_tries(context: Context, count: int, asked: int, gateway: str, attempts: str) -> None:
    desk = context.desk
    most = 2 if attempts == "two attempts" else 1
    found = [
        desk.arrive(gateway, attempts=most, objective_s=60.0, remaining_s=60.0)
        for _ in range(asked)
    ]
    got = [desk.placed[name] for name in found if name in desk.placed]
    assert got == ["t1"] * count, got
    for name in found:
        desk.dispatcher.abandon(name, desk.now_s)
        desk.placed.pop(name, None)


@then(
    "a request of gateway-1 with an objective of {objective_s:g} s is refused at once "
    "with {code:d} after {retry_s:g} s"
)
def check_refused(context: Context, objective_s: float, code: int, retry_s: float) -> None:
    name = context.desk.arrive(objective_s=objective_s)
    declined = context.desk.declined[name]
    assert declined.code == code, declined
    assert abs(declined.retry_after_s - retry_s) < 0.01, declined


@then("a request of gateway-1 with an objective of {objective_s:g} s waits")
def check_waits(context: Context, objective_s: float) -> None:
    name = context.desk.arrive(objective_s=objective_s)
    assert name not in context.desk.declined and name not in context.desk.placed


@then("the request that waited is refused with {code:d}")
def check_waited(context: Context, code: int) -> None:
    assert context.desk.declined[context.request].code == code


@then("the service has no spare capacity")
def check_spare(context: Context) -> None:
    desk = context.desk
    assert not desk.dispatcher.pools["work"].has_spare_capacity(desk.now_s)


# The gateway's notices


def hear(context: Context, notice: TargetNotice, asked_s: float = _BEGAN_S) -> bool:
    """Record the notice in the answer to a request."""
    return context.book.record(notice, asked_s, max(asked_s, _BEGAN_S))


def _name_life(text: str) -> tuple[str, int]:
    target, _, life = text.partition(" of life ")
    return target, int(life or 0)


@when("the notice store learns that t1 wants a backoff of {rest_s:g} s and t2 is draining")
def hear_both(context: Context, rest_s: float) -> None:
    assert hear(context, TargetNotice("t1", rest_s=rest_s))
    assert hear(context, TargetNotice("t2", is_leaving=True))
    assert not hear(context, TargetNotice("t2", is_leaving=True)), "told twice is no news"


@when("the notice store learns that t1 wants a backoff of {first_s:g} s, then {second_s:g} s")
def hear_twice(context: Context, first_s: float, second_s: float) -> None:
    for rest_s in (first_s, second_s):
        hear(context, TargetNotice("t1", rest_s=rest_s))


@when("the notice store learns that {target} is draining")
def hear_leaving(context: Context, target: str) -> None:
    hear(context, TargetNotice(*_name_life(target), is_leaving=True))


@then("the notice store blocks t1 as in backoff for {rest_s:g} s and t2 as draining for ever")
def check_both(context: Context, rest_s: float) -> None:
    check_resting(context, rest_s)
    assert context.book.get_block_reason("t2", 0, _BEGAN_S + 1e6) is BlockReason.LEAVING


@then("the notice store blocks t1 as in backoff for {rest_s:g} s")
def check_resting(context: Context, rest_s: float) -> None:
    assert context.book.get_block_reason("t1", 0, _BEGAN_S + rest_s - 0.01) is BlockReason.BACKOFF
    assert context.book.get_block_reason("t1", 0, _BEGAN_S + rest_s + 0.01) is None


@then("it reports both to schedulers, and t2 alone after {rest_s:g} s")
def check_told(context: Context, rest_s: float) -> None:
    told = context.book.list_notices(_BEGAN_S + 0.5)
    assert [(n.target, n.is_leaving, n.rest_s) for n in told] == [
        ("t1", False, rest_s - 0.5),
        ("t2", True, 0.0),
    ], told
    assert [n.target for n in context.book.list_notices(_BEGAN_S + rest_s)] == ["t2"]


@then("the notice store allows requests to {target}")
def check_passes(context: Context, target: str) -> None:
    assert context.book.get_block_reason(*_name_life(target), _BEGAN_S) is None


@then("the notice store blocks {target} as draining")
def check_leaving(context: Context, target: str) -> None:
    assert context.book.get_block_reason(*_name_life(target), _BEGAN_S) is BlockReason.LEAVING


def _show(book: NoticeStore, shown: str, now_s: float) -> None:
    listed = []
    if shown != "gone":
        state = ListedState(shown)
        listed = [ListedTarget("t2", "work", "127.0.0.1:1", "north", 1, state)]
    book.prune(listed, now_s)


@when("lists show t2 as {first}, and {later_s:g} s later as {second}")
def show_lists(context: Context, first: str, later_s: float, second: str) -> None:
    _show(context.book, first, _BEGAN_S)
    context.judged_s = _BEGAN_S + later_s
    _show(context.book, second, context.judged_s)


@then("t2 is {judged}")
def check_judged(context: Context, judged: str) -> None:
    kept = context.book.get_block_reason("t2", 0, context.judged_s)
    assert (kept is None) == (judged == "let pass"), kept


# Headers of answers


@when("an answer has status {status:d} and the headers {headers}")
def read_answer(context: Context, status: int, headers: str) -> None:
    pairs = [part.split(": ") for part in headers.split(", ")]
    index = {name.lower(): value for name, value in pairs}
    context.notice = parse_notice(status, index.get, HeaderNames())


@then("it asks for a backoff of {rest_s:g} s and {says} that its target is draining")
def check_notice(context: Context, rest_s: float, says: str) -> None:
    assert context.notice.rest_s == rest_s, context.notice
    assert context.notice.is_leaving == (says == "says"), context.notice


@then("the second one is blocked and does not reach the target")
def check_kept_back(context: Context) -> None:
    assert context.outcomes[1] == "kept_back", context.outcomes
    assert len(context.target.received) == 1
