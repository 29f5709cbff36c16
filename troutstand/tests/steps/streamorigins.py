"""Drive what processes know of the versions that began streams, on a virtual clock."""

from __future__ import annotations

import asyncio
import re
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest import mock

from behave import given, register_type, then, when

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.rollouts.canary import RolloutView
from troutstand.core.rollouts.seenversions import list_unreported
from troutstand.core.rollouts.versionwatch import VersionWatch
from troutstand.core.streamorigins import StreamOrigins
from troutstand.generated.messages import (
    FirstByte,
    ListedState,
    ListedTarget,
    OriginAsk,
    OriginTold,
    PlacedWork,
    RolloutBook,
    RoutedWork,
    ServiceRollout,
)
from troutstand.routing.originsync import KnownOrigin, OriginFinder, UnknownOrigin
from troutstand.tests.steps.dispatch import Desk

if TYPE_CHECKING:
    from behave.runner import Context

_SERVICE = "work"
_SLOTS = 16
_STEP_S = 0.5
_LINKS_AFTER_S = 0.3
_REMAINING_S = 3.0
# Read before the stream was resumed.
_OLD_LIST_MS = 5000
_SIGHTING = re.compile(r"(\w+) from (\d+)(?: to (\d+))? s")


def _parse_outcome(text: str) -> str:
    return text


_parse_outcome.pattern = r"goes to \w+|is unknown"  # type: ignore[attr-defined]
register_type(Outcome=_parse_outcome)


# The origins


@when("{count:d} streams begin within {length_s:d} s")
def begin_streams(context: Context, count: int, length_s: int) -> None:
    context.origins, context.now_s, context.count = StreamOrigins(), float(length_s), count
    for number in range(count):
        context.origins.record(f"s{number}", "v1", length_s * number / count)


@then("at most {most:d} origins are kept, the last ones among them")
def check_bounded(context: Context, most: int) -> None:
    assert len(context.origins) <= most, len(context.origins)
    assert context.origins.find(f"s{context.count - 1}") == "v1"


@when("nothing begins for {length_s:d} s but one stream")
def begin_late(context: Context, length_s: int) -> None:
    context.now_s += length_s
    context.origins.record("late", "v2", context.now_s)


@then("the streams before it are forgotten after another {length_s:d} s")
def check_forgotten(context: Context, length_s: int) -> None:
    context.origins.record("later", "v2", context.now_s + length_s)
    assert context.origins.find(f"s{context.count - 1}") is None
    assert context.origins.find("late") == "v2"


def _use_desk(context: Context, **rollout: object) -> None:
    context.desk = Desk(0, _SLOTS)
    context.listed = [
        ListedTarget(f"{v}-1", _SERVICE, f"127.0.0.1:{n}", "north", _SLOTS, ListedState.ready, v)
        for n, v in enumerate(("v1", "v2"))
    ]
    entry = ServiceRollout(_SERVICE, "v2", versions=["v1", "v2"], **rollout)  # type: ignore[arg-type]
    context.desk.dispatcher.update_rollouts(RolloutView(RolloutBook([entry]), is_leased=True))
    context.desk.dispatcher.update_targets(context.listed, context.desk.now_s)


@when('a stream is placed at "{first}", and again at "{second}" before any event')
def place_twice(context: Context, first: str, second: str) -> None:
    _use_desk(context)
    context.stream = context.desk.arrive(
        stream="s", software_version=first, is_repeatable=True, attempts=2
    )
    context.desk.dispatcher.place(
        RoutedWork(
            request="s2",
            service=_SERVICE,
            objective_s=1.0,
            remaining_s=8.0,
            stream="s",
            software_version=second,
            is_repeatable=True,
            running_at=[f"{first}-1"],
        ),
        "gateway-1",
        context.desk.now_s,
    )


@when('its first event comes from "{version}"')
def send_first(context: Context, version: str) -> None:
    first = FirstByte(context.stream, f"{version}-1", 0.1)
    context.desk.dispatcher.record_first_byte(first, context.desk.now_s)


@when('a stream of "{version}" that {case} is taken over')
def take_over(context: Context, version: str, case: str) -> None:
    _use_desk(context)
    work = RoutedWork("s", _SERVICE, 1.0, 8.0, is_repeatable=True, stream="s")
    placed = PlacedWork(work, f"{version}-1", 0.1, has_first=case == "has sent events")
    context.desk.dispatcher.adopt(placed, "gateway-1", context.desk.now_s)


@then("its origin is not known")
def check_no_origin(context: Context) -> None:
    assert context.desk.dispatcher.origins.find("s") is None


@then('its origin is "{version}"')
def check_origin(context: Context, version: str) -> None:
    assert context.desk.dispatcher.origins.find("s") == version


@when('{count:d} streams begin at "{version}" while one version is listed')
def begin_untold(context: Context, count: int, version: str) -> None:
    context.origins = StreamOrigins()
    for number in range(count):
        context.origins.record(f"{version}-{number}", version, 1.0)


@when('a second version is listed, and {count:d} streams begin at "{version}"')
def begin_told(context: Context, count: int, version: str) -> None:
    context.origins.set_telling(True)
    for number in range(count):
        context.origins.record(f"{version}-{number}", version, 2.0)


@then("{count:d} streams are told")
def check_told(context: Context, count: int) -> None:
    groups = context.origins.drain_untold()
    assert sum(len(group.streams) for group in groups) == count, groups
    for group in groups:
        assert all(name.startswith(group.software_version) for name in group.streams), group


# Placement


@given('a scheduler with targets of "v1" and "v2", of which "v1" is {admission}')
def use_admission(context: Context, admission: str) -> None:
    lists = {"open": {}, "replaced": {"replaced": ["v1"]}, "rolled back": {"rejected": ["v1"]}}
    _use_desk(context, **lists[admission])


@when('a stream of "{version}" is resumed {count:d} times')
def resume(context: Context, version: str, count: int) -> None:
    context.names = [
        context.desk.arrive(stream="s", software_version=version, is_repeatable=True)
        for _ in range(count)
    ]


@when("{count:d} new streams come")
def arrive_new(context: Context, count: int) -> None:
    context.names = [context.desk.arrive(is_repeatable=True) for _ in range(count)]


@then("it gets refused {code:d}")
def check_refused(context: Context, code: int) -> None:
    assert [context.desk.declined[name].code for name in context.names] == [code] * len(
        context.names
    )


@then("it gets {version}")
@then("they get {version}")
def check_version(context: Context, version: str) -> None:
    placed = {context.desk.placed.get(name) for name in context.names}
    assert placed == {f"{version}-1"}, (placed, context.desk.declined)


# Which versions are listed


def _list_at(context: Context, now_s: float) -> list[ListedTarget]:
    return [
        _make_entry(version, number)
        for number, (version, from_s, to_s) in enumerate(context.sightings)
        if from_s <= now_s < to_s
    ]


def _make_entry(version: str, number: int) -> ListedTarget:
    name = f"{version}-{number}"
    return ListedTarget(name, _SERVICE, "127.0.0.1:1", "north", 1, ListedState.ready, version)


@given("lists with {sightings}")
def use_lists(context: Context, sightings: str) -> None:
    context.sightings = [
        (version, float(from_s), float(to_s or "inf"))
        for version, from_s, to_s in _SIGHTING.findall(sightings)
    ]


def _watch_until(context: Context, end_s: float) -> VersionWatch:
    watch = VersionWatch()
    for step in range(int(end_s / _STEP_S) + 1):
        watch.update(_list_at(context, step * _STEP_S), step * _STEP_S)
    return watch


@then("at {at_s:d} s the versions of streams may be {versions}")
def check_recent(context: Context, at_s: int, versions: str) -> None:
    recent = _watch_until(context, at_s).list_recent(_SERVICE, at_s)
    assert ", ".join(sorted(recent)) == versions, recent


@given("a rollout book with {book}")
def use_book(context: Context, book: str) -> None:
    context.book = RolloutBook()
    if book != "nothing":
        in_force, *versions = book.split(", ")
        entry = ServiceRollout(_SERVICE, in_force.split()[0], versions=versions)
        context.book = RolloutBook([entry])


@then("at {at_s:d} s with a delay of {delay_s:d} s the report is {report}")
def check_report(context: Context, at_s: int, delay_s: int, report: str) -> None:
    watch = _watch_until(context, at_s)
    found = list_unreported(context.book, _list_at(context, at_s), watch, delay_s, at_s)
    parts = []
    for seen in found:
        parts = [*seen.versions]
        if seen.in_force:
            after = f" after {seen.left}" if seen.left else ""
            parts.append(f"{seen.in_force} in force{after}")
        parts += ["whole"] if seen.is_whole else []
    assert (", ".join(parts) or "nothing") == report, found


# What a gateway knows


@given("a gateway that has known its list for {known:d} s, last read {age:d} s ago, with {lists}")
def use_gateway(context: Context, known: int, age: int, lists: str) -> None:
    use_lists(context, lists)
    context.now_s, context.known_s, context.age_s = 1000.0, float(known), float(age)


@given("the keepers, {lease}, have a rollout book with {book}")
def use_leased_book(context: Context, book: str, lease: str) -> None:
    use_book(context, book)
    context.lease = lease


@given("the list is read anew by {reader} once the stream is resumed")
def use_reader(context: Context, reader: str) -> None:
    context.reader, _, more = reader.partition(", with ")
    context.new_versions = [more.rstrip(",")] if more else []


class _Node:
    """Stand for a gateway's links to two processes."""

    def __init__(self, asked: str, told: list[str] | None) -> None:
        self._asked = asked
        self._began_s = time.monotonic()
        # The versions that a scheduler lists as of each question; None for a list of before.
        self._told = told
        self.contacts = SimpleNamespace(list_by_role=lambda _: ["one", "two"])
        self.events = SimpleNamespace(emit=lambda *_, **__: None)

    async def ask(self, process: str, _: OriginAsk, __: float) -> OriginTold:
        is_late = "within" in self._asked and time.monotonic() < self._began_s + _LINKS_AFTER_S
        if is_late or "do not open" in self._asked:
            raise TroutstandError(ResultCode.LINK_CLOSED, process)
        versions = {
            "no process knows": {},
            "one of two processes knows": {"one": "v1"},
            "one of two processes knows at v2": {"one": "v2"},
            "two processes know at different versions": {"one": "v1", "two": "v2"},
        }.get(self._asked, {"one": "v1", "two": "v1"})
        if self._told is None:
            return OriginTold(versions.get(process), _OLD_LIST_MS, ["v1"])
        return OriginTold(versions.get(process), 0, self._told)


@then("a stream that {asked} {outcome:Outcome}")
def check_found(context: Context, asked: str, outcome: str) -> None:
    began_s = time.monotonic()

    def is_leased(_: float) -> bool:
        is_late = time.monotonic() - began_s < _LINKS_AFTER_S
        return context.lease == "confirmed" or (context.lease == "late" and not is_late)

    rollouts = SimpleNamespace(book=context.book, is_leased=is_leased)
    follower = SimpleNamespace(rollouts=rollouts, list_keepers=list)
    read_s = context.now_s - context.age_s
    listed: list[ListedTarget] = []
    versions = sorted({e.version for e in _list_at(context, context.known_s)})
    is_told = context.reader == "a scheduler"

    def read_list() -> None:
        if context.reader == "the gateway":
            listed.extend(_make_entry(version, 100) for version in context.new_versions)
            finder.record_read(context.now_s + time.monotonic() - began_s)

    finder = OriginFinder(
        _Node(asked, [*versions, *context.new_versions] if is_told else None),  # type: ignore[arg-type]
        follower,  # type: ignore[arg-type]
        StreamOrigins(),
        lambda: listed,
        read_list,
    )
    with mock.patch("troutstand.routing.originsync.read_clock_s") as clock:
        for step in range(int(context.known_s / _STEP_S) + 1) if context.sightings else ():
            clock.return_value = read_s - context.known_s + step * _STEP_S
            listed[:] = _list_at(context, step * _STEP_S)
            finder.confirm_list()
        clock.side_effect = lambda: context.now_s + time.monotonic() - began_s
        found = asyncio.run(finder.find(_SERVICE, "unknown-1", _REMAINING_S))
    match found:
        case KnownOrigin(version):
            assert outcome == f"goes to {version}", found
        case UnknownOrigin():
            assert outcome == "is unknown", found
