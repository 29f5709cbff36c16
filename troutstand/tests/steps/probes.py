"""Eject targets for their failures, and check which ones are probed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.messages import Ending, FirstByte

if TYPE_CHECKING:
    from behave.runner import Context


@when("every running answer breaks")
def break_all(context: Context) -> None:
    desk = context.desk
    for request in list(desk.placed):
        desk.end(request, Ending.broken)
    assert not desk.placed


@when("a lone request with an objective of {objective_s:g} s arrives {length_s:g} s later")
def arrive_alone(context: Context, objective_s: float, length_s: float) -> None:
    context.desk.pass_time(length_s)
    context.lone = context.desk.arrive(objective_s=objective_s)


@then("it has a target within {length_s:g} s")
def check_lone_placed(context: Context, length_s: float) -> None:
    context.desk.pass_time(length_s)
    assert context.lone in context.desk.placed, context.desk.declined


@when("the answers at the first target break")
def break_first(context: Context) -> None:
    desk = context.desk
    for request in [r for r, target in desk.placed.items() if target == "t1"]:
        desk.end(request, Ending.broken)
    assert desk.count("t1") == 0
    state = desk.dispatcher.pools["work"].targets["t1"]
    assert state.is_ejected(desk.now_s + 0.9)


@when("its running answers break")
def break_only(context: Context) -> None:
    for _ in range(4):
        context.desk.arrive()
    break_all(context)


@when("{count:d} requests wait for {length_s:g} s while every target loses what it gets")
def lose_waiting(context: Context, count: int, length_s: float) -> None:
    _end_waiting(context, count, length_s, Ending.unsent)


@when("{count:d} requests wait for {length_s:g} s while every target turns away what it gets")
def turn_waiting_away(context: Context, count: int, length_s: float) -> None:
    _end_waiting(context, count, length_s, Ending.turned_away)


def _end_waiting(context: Context, count: int, length_s: float, ending: Ending) -> None:
    desk = context.desk
    for _ in range(count):
        desk.arrive(objective_s=20.0, remaining_s=60.0, is_repeatable=True)
    context.lost = 0
    context.most_running = 0
    end_s = desk.now_s + length_s
    while desk.now_s < end_s:
        context.most_running = max(context.most_running, len(desk.placed))
        for request in list(desk.placed):
            desk.end(request, ending)
            context.lost += 1
        desk.pass_time(0.05)


@then("{least:d} to {most:d} of them were tried, one at a time")
def check_lost(context: Context, least: int, most: int) -> None:
    assert least <= context.lost <= most, context.lost
    assert context.most_running == 1, context.most_running


@when("{length_s:g} s pass there with nothing asked")
def pass_idle(context: Context, length_s: float) -> None:
    context.desk.pass_time(length_s)


@then("no target is held off any more")
def check_none_held(context: Context) -> None:
    desk = context.desk
    targets = desk.dispatcher.pools["work"].targets.values()
    assert not any(t.is_ejected(desk.now_s) for t in targets), list(targets)


@given("all but the third target lost their answers and the third is full")
def lose_all_but_third(context: Context) -> None:
    desk = context.desk
    for _ in range(6):
        desk.arrive()
    for request in [r for r, target in desk.placed.items() if target != "t3"]:
        desk.end(request, Ending.broken)
    assert list(desk.placed.values()) == ["t3", "t3"], desk.placed


@when("a request that may not be repeated arrives {length_s:g} s later")
def arrive_unrepeatable(context: Context, length_s: float) -> None:
    context.desk.pass_time(length_s)
    context.lone = context.desk.arrive(is_repeatable=False)


@then("it waits, and gets the third target when a slot is free there")
def check_waited_for_third(context: Context) -> None:
    desk = context.desk
    desk.pass_time(0.2)
    assert context.lone not in desk.placed, desk.placed
    desk.end(next(r for r, target in desk.placed.items() if target == "t3"))
    assert desk.placed[context.lone] == "t3", desk.placed


@then("one that may be repeated is tried at a target that is held off")
def check_repeatable_tried(context: Context) -> None:
    desk = context.desk
    request = desk.arrive(is_repeatable=True)
    target = desk.placed[request]
    assert desk.dispatcher.pools["work"].targets[target].is_ejected(desk.now_s), target


@when("every running answer breaks, and every target is held off for 4 s")
def break_for_long(context: Context) -> None:
    break_all(context)
    for state in context.desk.dispatcher.pools["work"].targets.values():
        state.consecutive_losses = 4
        state.blocked_until_s = context.desk.now_s + 4.0


@when("a second one arrives {length_s:g} s later")
def arrive_second(context: Context, length_s: float) -> None:
    desk = context.desk
    desk.pass_time(length_s)
    context.second = desk.arrive(objective_s=8.0, remaining_s=20.0)


@then("the second has the other target when the first has owed its first byte for long")
def check_other_probed(context: Context) -> None:
    desk = context.desk
    assert context.lone in desk.placed
    assert context.second not in desk.placed, desk.placed
    desk.pass_time(1.5)
    assert desk.placed[context.second] != desk.placed[context.lone], desk.placed


@when("the answers at the second target break, and {length_s:g} s later those at the first")
def break_in_turn(context: Context, length_s: float) -> None:
    desk = context.desk
    for name in ("t2", "t1"):
        for request in [r for r, target in desk.placed.items() if target == name]:
            desk.end(request, Ending.broken)
        desk.pass_time(length_s)


@when("its first byte comes")
def answer_lone(context: Context) -> None:
    desk = context.desk
    first = FirstByte(context.lone, desk.placed[context.lone], 0.05)
    desk.dispatcher.record_first_byte(first, desk.now_s)


@when("a request that may not be repeated arrives {length_s:g} s later, turned away by the third")
def arrive_turned_away(context: Context, length_s: float) -> None:
    desk = context.desk
    desk.pass_time(length_s)
    context.lone = desk.arrive(is_repeatable=False, attempt=2, excluded=["t3"])
