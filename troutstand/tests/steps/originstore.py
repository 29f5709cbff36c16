"""Tell keepers of streams, end them, and let their disks and links fail."""

from __future__ import annotations

import asyncio
import errno
import os
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest import mock

from behave import given, then, when

from troutstand.core.clock import HybridClock
from troutstand.core.ids import ProcessId
from troutstand.core.streamorigins import StreamOrigins
from troutstand.generated.messages import OriginGroup, OriginNews
from troutstand.routing import originstore
from troutstand.routing.originstore import OriginStore
from troutstand.routing.originsync import OriginSync
from troutstand.tests.environment import make_folder
from troutstand.util.events import EventBus

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

_KEEPERS = ("keeper-1", "keeper-2")
_TICKS = 20


class _Clock:
    """Stand for the steady clock and the time of day."""

    def __init__(self) -> None:
        self.passed_s = 0.0
        # How far the time of day was set.
        self.set_s = 0.0

    def read_steady_s(self) -> float:
        return 1000.0 + self.passed_s

    def read_unix_s(self) -> float:
        return 1.7e9 + self.passed_s + self.set_s


def _act(context: Context, act: Callable[[], None]) -> None:
    """Run a step of a keeper on a loop, with its clocks."""
    clock = context.clock

    async def run() -> None:
        act()
        # Lets a sync that is due run.
        await asyncio.sleep(0)

    with (
        mock.patch.object(originstore, "read_clock_s", clock.read_steady_s),
        mock.patch.object(originstore, "time", SimpleNamespace(time=clock.read_unix_s)),
    ):
        asyncio.run(run())


def _start(context: Context) -> None:
    """Start a keeper on its folder, without an orderly end of the one before."""

    def start() -> None:
        context.store = OriginStore(context.folder, context.events)

    _act(context, start)


def _tell(context: Context, version: str, streams: list[str]) -> None:
    context.streams.update(dict.fromkeys(streams, version))
    _act(context, lambda: context.store.merge([OriginGroup(version, streams)]))


def _name(version: str, count: int) -> list[str]:
    return [f"{version}-{number}" for number in range(count)]


@given('a keeper that was told of {first:d} streams of "{one}" and {second:d} of "{other}"')
def make_keeper(context: Context, first: int, one: str, second: int, other: str) -> None:
    context.folder = make_folder(context)
    context.events = EventBus(ProcessId("keeper"), HybridClock(time.time))
    context.clock = _Clock()
    context.streams = {}
    _start(context)
    _tell(context, one, _name(one, first))
    _tell(context, other, _name(other, second))


@when("it is killed")
def kill(context: Context) -> None:
    _start(context)


@when("it is killed {count:d} times in a row")
def kill_often(context: Context, count: int) -> None:
    for _ in range(count):
        context.clock.passed_s += 1.0
        _start(context)


@when("it is killed, its last write torn")
def tear(context: Context) -> None:
    newest = max(context.folder.glob("origins.*"), key=lambda path: path.stat().st_size)
    with newest.open("ab") as file:
        file.write(b"TsR1\x50\x00\x00\x00torn")
    _start(context)


@when("it is killed after {length_s:d} s, with more told then")
def kill_later(context: Context, length_s: int) -> None:
    context.clock.passed_s += length_s
    _act(context, lambda: context.store.merge([OriginGroup("v9", ["late"])]))
    _start(context)


@when("its clock is set back by {length_s:d} s")
def set_back(context: Context, length_s: int) -> None:
    context.clock.set_s -= length_s


@when('the first stream is told again at "{version}", and it is killed')
def tell_again(context: Context, version: str) -> None:
    context.first = next(iter(context.streams))
    _tell(context, version, [context.first])
    _start(context)


@then('the first stream\'s version is "{version}"')
def check_first(context: Context, version: str) -> None:
    assert context.store.find(context.first) == version


@when('its disk refuses writes while it is told of {count:d} streams of "{version}"')
def fill_disk(context: Context, count: int, version: str) -> None:
    error = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
    with mock.patch.object(originstore.os, "write", side_effect=error):
        for name in _name(version, count):
            _tell(context, version, [name])


@then("the refusal is logged once")
def check_logged(context: Context) -> None:
    names = [event.name for event in context.events.recent]
    assert names.count("stream_origins_unwritten") == 1, names


@when('its disk takes writes again, it is told of {count:d} streams of "{version}" and is killed')
def free_disk(context: Context, count: int, version: str) -> None:
    _tell(context, version, [f"{version}-more{number}" for number in range(count)])
    _start(context)


@when("it is started {length_s:d} s later")
def start_later(context: Context, length_s: int) -> None:
    context.clock.passed_s += length_s
    _start(context)


@then("it knows the version of {count:d} streams")
def check_known(context: Context, count: int) -> None:
    known = {s: context.store.find(s) for s in context.streams}
    told = {s: v for s, v in known.items() if v is not None}
    assert len(told) == count, told
    assert all(context.streams[s] == v for s, v in told.items()), told


@when("it is told of {count:d} streams a second for {length_s:d} s")
def tell_long(context: Context, count: int, length_s: int) -> None:
    for second in range(length_s):
        context.clock.passed_s += 1.0
        names = [f"s{second:04}-{number:03}" for number in range(count)]
        _act(context, lambda names=names: context.store.merge([OriginGroup("v1", names)]))
    context.bytes_per_s = len(originstore.frame_record(OriginGroup("v1", names)))


@then("its files together hold at most {length_s:d} s of them")
def check_files(context: Context, length_s: int) -> None:
    held = sum(path.stat().st_size for path in context.folder.glob("origins.*"))
    # What frames a record besides its streams.
    most = (length_s + 2) * (context.bytes_per_s + 64)
    assert 0 < held <= most, (held, most)


# Links


class _Node:
    """Stand for a process's links to the keepers."""

    def __init__(self) -> None:
        self.openings = dict.fromkeys(_KEEPERS, 1)
        self.told: dict[str, list[int]] = {keeper: [] for keeper in _KEEPERS}

    def count_openings(self, process: str) -> int:
        return self.openings[process]

    def send(self, process: str, news: OriginNews) -> bool:
        self.told[process].append(sum(len(group.streams) for group in news.groups))
        return True


@given("a process that knows {count:d} streams and is linked to 2 keepers, with {versions}")
def make_process(context: Context, count: int, versions: str) -> None:
    origins = StreamOrigins()
    for number in range(count):
        origins.record(f"s{number}", f"v{number % 2 + 1}", 1.0)
    follower = SimpleNamespace(list_keepers=lambda: list(_KEEPERS))
    context.node = _Node()
    context.is_mixed = False
    context.sync = OriginSync(
        context.node,  # type: ignore[arg-type]
        follower,  # type: ignore[arg-type]
        origins,
        lambda: context.is_mixed,
    )
    context.sync.tell_again()
    context.is_mixed = versions == "two versions"
    context.sync.tell_again()


@when('the link to "{keeper}" {change}')
def change_link(context: Context, keeper: str, change: str) -> None:
    if change != "stays open":
        context.node.openings[keeper] = 0
        context.sync.tell_again()
    if change == "is opened anew":
        context.node.openings[keeper] = 2
    for _ in range(_TICKS):
        context.sync.tell_again()


@then('"{keeper}" is told of {count:d} streams, at most {most:d} at a time')
def check_told(context: Context, keeper: str, count: int, most: int) -> None:
    told = context.node.told[keeper]
    assert sum(told) == count, told
    assert all(part <= most for part in told), told
