"""Check operators' files, log lines and pages."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from behave import given, then, when

from tools.codes import PAGE, make_page
from troutstand.control.tablefiles import read_table, write_table
from troutstand.control.timeline import merge_logs, parse_line
from troutstand.core.clock import HybridClock, Stamp
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.core.ids import ProcessId
from troutstand.core.table import get_row_id
from troutstand.generated.settings import Address
from troutstand.testing.site import Site, SitePlan
from troutstand.tests.environment import make_folder
from troutstand.util.events import Event, EventBus, format_event

if TYPE_CHECKING:
    from pathlib import Path

    from behave.runner import Context


@given("the rows of a small site")
def make_rows(context: Context) -> None:
    site = Site(make_folder(context), SitePlan(entries=(1,), engine_speeds=(1.0,)))
    site.prepare()
    context.rows = site.rows
    context.folder = make_folder(context)


@when("they are written as files and read back")
def write_and_read(context: Context) -> None:
    write_table(context.folder, 3, context.rows)
    context.read = read_table(context.folder)


@then("the rows are the same")
def assert_same(context: Context) -> None:
    assert context.read == {get_row_id(row): row for row in context.rows}


def spoil_file(folder: Path, name: str, old: str, new: str) -> None:
    """Replace text in a file."""
    path = folder / name
    text = path.read_text()
    assert old in text, text
    path.write_text(text.replace(old, new, 1))


@when("they are written as files with {fault}")
def write_spoiled(context: Context, fault: str) -> None:
    folder = context.folder
    write_table(folder, 3, context.rows)
    match fault:
        case "an unknown column":
            spoil_file(folder, "workspaces.csv", "weight", "wait")
        case "a bad number":
            spoil_file(folder, "tiers.csv", "draft,3", "draft,three")
        case "an unknown tier":
            text = (folder / "workspaces.csv").read_text().splitlines()
            lines = [t.replace(",urgent,", ",u,") if t.startswith("counter") else t for t in text]
            (folder / "workspaces.csv").write_text("\n".join(lines) + "\n")
        case "two rows of one name":
            path = folder / "models.csv"
            path.write_text(path.read_text() + path.read_text().splitlines()[1] + "\n")
        case _:
            (folder / "models.csv").unlink()


@then('reading them fails with {code:d} and "{place}"')
def assert_read_fails(context: Context, code: int, place: str) -> None:
    try:
        read_table(context.folder)
    except ExceptionGroup as group:
        errors = [e for e in flatten_group(group) if isinstance(e, TroutstandError)]
        assert all(error.code == code for error in errors), errors
        assert any(place in str(error) for error in errors), errors
    else:
        raise AssertionError("the table was read")


@given("processes whose wall clocks differ by a minute")
def make_buses(context: Context) -> None:
    context.ahead = EventBus(ProcessId("a.entry"), HybridClock(lambda: 1060.0))
    context.behind = EventBus(ProcessId("b.entry"), HybridClock(lambda: 1000.0))


@when("one sends a message that the other answers")
def exchange(context: Context) -> None:
    ahead, behind = context.ahead, context.behind
    ahead.emit("sent")
    behind.clock.receive(ahead.clock.tick().pack())
    behind.emit("received")
    ahead.clock.receive(behind.clock.tick().pack())
    ahead.emit("answered")


@then("the merged lines stand in the order in which things happened")
def assert_merged(context: Context) -> None:
    events = [*context.behind.recent, *context.ahead.recent]
    merged = merge_logs(format_event(event) for event in events)
    assert [line.event for line in merged] == ["sent", "received", "answered"], merged


@then("a line with the value 'a \"b\" = c' and a line break is read back")
def assert_read_back(context: Context) -> None:
    value = 'a "b" = c\nd'
    event = Event("e", Stamp(1, 0), "a.entry", "", ResultCode.OK, {"value": value})
    line = parse_line(format_event(event))
    assert line is not None and line.fields["value"] == value, line


@then("docs/RESULT-CODES.md is what the enum makes")
def assert_page(context: Context) -> None:
    assert PAGE.read_text() == make_page()


@given("a statsd receiver")
def open_receiver(context: Context) -> None:
    context.receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.receiver.bind(("127.0.0.1", 0))
    context.receiver.settimeout(10)


@when("events with a time and a gauge are published")
def publish(context: Context) -> None:
    bus = EventBus(ProcessId("a.entry"), HybridClock(lambda: 1000.0))
    bus.enable_metrics(Address("127.0.0.1", context.receiver.getsockname()[1]))
    bus.emit("try_ended", tier="urgent", total_ms=12)
    bus.emit("queue_gauges", tier="desk", waiting_gauge=3)


@then("it received a count, a timing and a gauge by tier")
def assert_received(context: Context) -> None:
    received = {context.receiver.recv(1000).decode() for _ in range(4)}
    context.receiver.close()
    assert received == {
        "troutstand.try_ended.urgent:1|c",
        "troutstand.try_ended.urgent.total_ms:12.000000|ms",
        "troutstand.queue_gauges.desk:1|c",
        "troutstand.queue_gauges.desk.waiting_gauge:3|g",
    }, received
