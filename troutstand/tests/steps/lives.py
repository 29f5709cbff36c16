"""Restart targets under the same ids."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.core.observedspeeds import ObservedSpeeds
from troutstand.generated.messages import Ending, Part, PlacedWork, RoutedWork, TargetSpeed
from troutstand.tests.steps.dispatch import Desk
from troutstand.tests.steps.platform import LISTED, load_folder

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.core.targetstate import TargetState

_BORN_MS = 1_768_089_512_914
_LATER_MS = _BORN_MS + 60_000
_SERVICE = "work"


@given("a service whose 2 targets tell when they were born")
def make_desk(context: Context) -> None:
    desk = context.desk = Desk(2, 4)
    desk.listed = [msgspec.structs.replace(t, born_ms=_BORN_MS) for t in desk.listed]
    desk.dispatcher.update_targets(desk.listed, desk.now_s)


def _first(context: Context) -> TargetState:
    return context.desk.dispatcher.pools[_SERVICE].targets["t1"]


@given("the first target runs 2 requests, has prompt parts cached and known speeds")
def use_first(context: Context) -> None:
    desk = context.desk
    while desk.count("t1") < 2:
        desk.arrive()
    state = _first(context)
    state.add_cached_parts("m", [Part("p", 100)])
    state.service_s.add_sample(0.05)
    state.token_s.add_sample(0.01)


@given("the first target is ejected")
def hold_off(context: Context) -> None:
    desk = context.desk
    while not desk.count("t1"):
        desk.arrive()
    for request in [r for r, target in desk.placed.items() if target == "t1"]:
        desk.end(request, Ending.broken)
    assert _first(context).is_ejected(desk.now_s)


@when("the list shows {what} of the first target")
def tell(context: Context, what: str) -> None:
    born_ms = {
        "a new incarnation": _LATER_MS,
        "the same incarnation": _BORN_MS,
        "no time": 0,
        "a new incarnation with an earlier time": _BORN_MS - 5_000,
    }[what]
    _use(context, born_ms, is_from_peer=False)


@when("a peer's list shows an older incarnation of the first target")
def tell_older(context: Context) -> None:
    _use(context, _BORN_MS - 60_000, is_from_peer=True)


def _use(context: Context, born_ms: int, is_from_peer: bool) -> None:
    desk = context.desk
    first = msgspec.structs.replace(desk.listed[0], born_ms=born_ms)
    listed = [first, *desk.listed[1:]]
    desk.dispatcher.update_targets(listed, desk.now_s, is_from_peer=is_from_peer)
    desk.collect()


@then("the first target runs nothing, caches nothing and its speeds are unknown")
def check_unknown(context: Context) -> None:
    state = _first(context)
    assert not state.running, state.running
    assert not state.cached_parts, state.cached_parts
    assert state.token_s.value is None and state.service_s.value is None
    assert not state.consecutive_losses


@then("the first target runs {count:d} requests, and its speeds are known")
def check_known(context: Context, count: int) -> None:
    state = _first(context)
    assert len(state.running) == count, state.running
    assert state.token_s.value is not None
    assert state.listed.born_ms == _BORN_MS, state.listed


@then("the first target gets a request")
def check_gets(context: Context) -> None:
    desk = context.desk
    for _ in range(2):
        desk.arrive()
    assert desk.count("t1"), desk.placed


@when("a gateway reports a request and speeds of {which} incarnation of the first target")
def bring(context: Context, which: str) -> None:
    desk = context.desk
    born_ms = _BORN_MS - 60_000 if which == "an earlier" else _BORN_MS
    work = RoutedWork(request="brought", service=_SERVICE, objective_s=1.0, remaining_s=8.0)
    desk.dispatcher.adopt(PlacedWork(work, "t1", 0.1, born_ms=born_ms), "gateway-9", desk.now_s)
    speed = TargetSpeed(_SERVICE, "t1", token_s=0.01, token_samples=5, born_ms=born_ms)
    desk.dispatcher.merge_speeds([speed])


@given("a gateway that measured speeds of two incarnations of a target")
def see_two(context: Context) -> None:
    context.seen = ObservedSpeeds()
    context.seen.record_token_time(_SERVICE, "t1", _BORN_MS, 0.04, 100.0)
    context.seen.record_token_time(_SERVICE, "t1", _LATER_MS, 0.01, 101.0)


@then("it reports those of the later incarnation only")
def check_passed(context: Context) -> None:
    (speed,) = context.seen.list_recent(102.0)
    assert (speed.born_ms, speed.token_s, speed.token_samples) == (_LATER_MS, 0.01, 1), speed


@when("an entry of the platform's list has the start time {born}")
def write_born(context: Context, born: str) -> None:
    targets = load_folder()[2]
    entry = {**LISTED, "born": json.loads(born)}
    data = json.dumps(
        {targets.PAGE_FORMAT.entries: [entry], targets.PAGE_FORMAT.next_token: None}
    ).encode()
    context.page = targets.decode_targets(data)


@then("its target has the start time {told:d}")
def check_born(context: Context, told: int) -> None:
    assert [entry.born_ms for entry in context.page.targets] == [told], context.page
