"""Corrupt entries of the target list."""

from __future__ import annotations

import json
import re
import time
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as draw
from hypothesis import strategies as st

from troutstand.core.codec import decode_record, encode_record
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.daemon.links import Frame, decode_frame, encode_frame
from troutstand.generated.messages import Learned, ListedState, ListedTarget
from troutstand.generated.routing import RoutingRole
from troutstand.routing.dialect import DEFAULT_PAGE, decode_default_targets
from troutstand.routing.targetpages import InvalidEntry, PageFormat, TargetPage, ValidEntryCache
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import wait_until
from troutstand.testing.standins import StandInTarget
from troutstand.tests.environment import make_folder, next_subnet
from troutstand.tests.steps.platform import LISTED, load_folder

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

_DEPTH = 20_000
_NESTED = b"[" * _DEPTH + b"]" * _DEPTH
_OWN = {
    "target": "a",
    "service": "work",
    "address": "127.0.0.1:80",
    "failure_domain": "north",
    "slots": 2,
    "state": "ready",
}


class PageWriter:
    """Write pages in one deployment's form."""

    def __init__(self, form: str) -> None:
        targets = load_folder()[2]
        is_own = form == "own"
        self.form: PageFormat = DEFAULT_PAGE if is_own else targets.PAGE_FORMAT
        self.entry: dict[str, object] = dict(_OWN if is_own else LISTED)
        self.decode: Callable[[bytes], TargetPage]
        self.decode = decode_default_targets if is_own else targets.decode_targets

    def make(self, **fields: object) -> dict[str, object]:
        """Make a valid entry with other values."""
        return {**self.entry, **fields}

    def write(self, entries: list[bytes], token: str | None = "p-2") -> bytes:
        """Write a page."""
        listed = b",".join(entries)
        tail = json.dumps({self.form.next_token: token})[1:].encode()
        return b'{"' + self.form.entries.encode() + b'":[' + listed + b"]," + tail

    def write_between(self, odd: bytes) -> bytes:
        """Write a page with something between two valid entries."""
        return self.write([self.encode("a"), odd, self.encode("b")])

    def encode(self, name: str) -> bytes:
        """Write a valid entry."""
        return json.dumps(self.make(**{self.form.target: name})).encode()


def _spoil(writer: PageWriter, fault: str) -> bytes:
    entry = writer.make(**{writer.form.target: "odd"})
    match fault:
        case "a missing field":
            del entry["address"]
        case "slots as a text":
            entry["slots"] = "two"
        case "no slots":
            entry["slots"] = 0
        case "slots below any number":
            entry["slots"] = -(10**400)
        case "slots above any number":
            entry["slots"] = "many"
            return json.dumps(entry).encode().replace(b'"many"', b"1e999")
        case "slots that are not finite":
            entry["slots"] = float("inf")
        case "an unknown state":
            entry["state"] = "resting"
        case "an empty id":
            entry[writer.form.target] = ""
        case "an address that is none":
            entry["address"] = "nowhere"
        case "bytes that are no text":
            return json.dumps(entry).encode().replace(b"odd", b"\xff\xfe")
        case "a number in its place":
            return b"17"
        case "null in its place":
            return b"null"
        case "a list in its place":
            return b"[]"
        case "its end cut off":
            return json.dumps(entry).encode()[:-9]
        case "an escaped lone surrogate":
            return json.dumps(entry).encode().replace(b"odd", rb"odd\ud800")
        case "no text in its failure domain":
            entry["zone" if "zone" in entry else "failure_domain"] = "nowhere"
            return json.dumps(entry).encode().replace(b"nowhere", b"\xff\xfe")
        case "a value nested too deeply":
            return _NESTED
        case "an unused field nested too deeply":
            return json.dumps(entry).encode()[:-1] + b',"other":' + _NESTED + b"}"
        case "an id too long for messages":
            entry[writer.form.target] = "odd" * 100
        case _:
            raise AssertionError(fault)
    return json.dumps(entry).encode()


@given("a page in the {form} form with two valid entries")
def use_form(context: Context, form: str) -> None:
    context.writer = PageWriter(form)


@when("an entry with {fault} stands between them")
def write_fault(context: Context, fault: str) -> None:
    context.page = context.writer.write_between(_spoil(context.writer, fault))


@when("an entry with {fault} stands between them behind one whose end is cut off")
def write_fault_after_cut(context: Context, fault: str) -> None:
    writer = context.writer
    odd = [_spoil(writer, "its end cut off"), _spoil(writer, fault)]
    context.page = writer.write_between(b",".join(odd))


@then("the page names the two valid targets and no other")
def check_valid_only(context: Context) -> None:
    page = context.writer.decode(context.page)
    assert [entry.target for entry in page.targets] == ["a", "b"], page
    assert page.invalid and page.next_token == "p-2", page


@then("what the page names can be sent to another process")
def check_sent(context: Context) -> None:
    targets = context.writer.decode(context.page).targets
    message = Learned(1, encode_record(targets))
    frame = decode_frame(encode_frame(Frame(1, 1, 0, message)))
    assert isinstance(frame.message, Learned)
    assert decode_record(frame.message.content, list[ListedTarget]) == targets


@then("the page names the two valid targets, and one invalid entry")
def check_page(context: Context) -> None:
    page = context.writer.decode(context.page)
    assert [entry.target for entry in page.targets] == ["a", "b"], page
    assert len(page.invalid) == 1 and page.invalid[0].cause, page
    assert page.next_token == "p-2", page


# Random entries


def _make_settings(count: int) -> settings:
    """Make settings that generate the same cases in each run."""
    return settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


_PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)


@st.composite
def draw_entry(draw_one: Any, entry: dict[str, object], name: str) -> dict[str, object]:
    """Return a random entry with a field missing or changed."""
    odd = {**entry, name: "odd"}
    for key in draw_one(st.lists(st.sampled_from(sorted(odd)), min_size=1, max_size=4)):
        if draw_one(st.booleans()):
            odd.pop(key, None)
        else:
            odd[key] = draw_one(_PLAIN)
    return odd


@then(
    "{count:d} pages with random entries between valid ones name the valid ones and the next page"
)
def check_drawn(context: Context, count: int) -> None:
    writer = context.writer

    @_make_settings(count)
    @draw(st.lists(draw_entry(writer.entry, writer.form.target) | _PLAIN, min_size=1, max_size=4))
    def check(odd: list[object]) -> None:
        entries = [json.dumps(value, allow_nan=False, default=str) for value in _drop_nan(odd)]
        data = writer.write(
            [writer.encode("a"), *(e.encode() for e in entries), writer.encode("b")]
        )
        page = writer.decode(data)
        names = [entry.target for entry in page.targets]
        assert names[0] == "a" and names[-1] == "b", page
        assert page.next_token == "p-2", page
        assert len(page.targets) + len(page.invalid) == len(entries) + 2, page
        for entry in page.targets[1:-1]:
            assert entry.target and entry.service and entry.slots >= 1, entry
            assert isinstance(entry.state, ListedState), entry

    check()


def _drop_nan(values: list[object]) -> list[object]:
    """Return JSON values; NaN and infinity become null."""
    return json.loads(re.sub(r"-?Infinity|NaN", "null", json.dumps(values)))


@then("{count:d} random byte strings are a page or are refused with {code:d}")
def check_bytes(context: Context, count: int, code: int) -> None:
    writers = [PageWriter("own"), PageWriter("platform's")]
    start = writers[0].write([writers[0].encode("a")])

    @_make_settings(count)
    @draw(st.binary(max_size=60), st.integers(0, len(start)), st.integers(0, 20))
    def check(piece: bytes, position: int, length: int) -> None:
        spoiled = start[:position] + piece + start[position + length :]
        for data in (piece, spoiled):
            for writer in writers:
                try:
                    page = writer.decode(data)
                except TroutstandError as error:
                    assert error.code == ResultCode(code), error
                else:
                    assert isinstance(page, TargetPage)

    check()


# Entries that stay known


def _list_entry(name: str) -> ListedTarget:
    return ListedTarget(name, "work", "127.0.0.1:80", "north", 2, ListedState.ready)


@given("a list that named the targets a and b")
def make_list(context: Context) -> None:
    context.sound = ValidEntryCache()
    both = TargetPage([_list_entry("a"), _list_entry("b")], None)
    listed = context.sound.merge([both], 100.0)
    assert [entry.target for entry in listed] == ["a", "b"]


@when("the entry of a {fault}")
def spoil_entry(context: Context, fault: str) -> None:
    spoiled = {
        "is unreadable": [InvalidEntry("", "cut")],
        "has an unknown state": [InvalidEntry("a", "state")],
        "is gone": [],
    }[fault]
    context.page = TargetPage([_list_entry("b")], None, spoiled)


def _find_a(context: Context, now_s: float) -> ListedState | None:
    listed = context.sound.merge([context.page], now_s)
    assert "b" in {entry.target for entry in listed}
    return next((entry.state for entry in listed if entry.target == "a"), None)


@then("a is listed as {state} for {length_s:d} s, and no longer")
def check_held(context: Context, state: str, length_s: int) -> None:
    assert _find_a(context, 100.9) is ListedState[state]
    assert _find_a(context, 100.0 + length_s) is ListedState[state]
    assert _find_a(context, 100.1 + length_s) is None


@then("a is not listed")
def check_gone(context: Context) -> None:
    assert _find_a(context, 100.9) is None


# Real processes


@given("a routed site whose list holds {count:d} invalid entries beside its targets")
def open_spoiled(context: Context, count: int) -> None:
    odd = [b'{"target":"odd-1"}', b"17", b'{"target":"\xff"}'][:count]
    scene = Scene(make_folder(context), invalid_entries=odd)
    context.scene = scene
    context.sites.append(scene)
    scene.open(next_subnet(context))


@given("a routed site whose list holds entries with {fault} from its start")
def open_with_fault(context: Context, fault: str) -> None:
    writer = PageWriter("own")
    entries = [_spoil(writer, each) for each in _OWN_FAULTS.get(fault, [fault])]
    scene = Scene(make_folder(context), invalid_entries=entries)
    context.scene = scene
    context.sites.append(scene)
    scene.open(next_subnet(context))


@then("the scheduler logs {count:d} invalid entries with their causes, each once")
def check_told(context: Context, count: int) -> None:
    scene = context.scene

    async def is_read_again() -> bool:
        return scene.list.reads > 10

    scene.background.run(wait_until(is_read_again, "the list is read some times"))
    for scheduler in scene.site.list_role(RoutingRole.scheduler):
        lines = scheduler.log.read_text().splitlines()
        told = [line for line in lines if "event=target_entry_spoiled" in line]
        assert len(told) == count, told
        assert all("cause=" in line for line in told), told


_OWN_FAULTS = {
    "a cut off end and bytes that are no text": ["its end cut off", "bytes that are no text"],
    "a cut off end and an escaped lone surrogate": ["its end cut off", "an escaped lone surrogate"],
}


@when("the list holds entries with {fault} for {length_s:d} s")
def spoil_list(context: Context, fault: str, length_s: int) -> None:
    scene, writer = context.scene, PageWriter("own")
    faults = _OWN_FAULTS.get(fault, [fault])
    scene.list.invalid_entries = [_spoil(writer, fault) for fault in faults]
    time.sleep(length_s)
    scene.list.invalid_entries = []


@when('a new target replaces the targets of the service "{service}"')
def replace_targets(context: Context, service: str) -> None:
    context.scene.background.run(_replace(context.scene, service))


async def _replace(scene: Scene, service: str) -> None:
    new = StandInTarget("new-1", service)
    await new.start()
    old = [target for target in scene.targets if target.service == service]
    scene.targets[:] = [target for target in scene.targets if target.service != service] + [new]
    for target in old:
        await target.close()


@then("within {length_s:d} s calls of {route} through each gateway get {status:d}")
def check_served(context: Context, length_s: int, route: str, status: int) -> None:
    end_s = time.monotonic() + length_s
    while True:
        results = context.scene.call_gateways(route)
        if all(result.status == status for result in results):
            return
        assert time.monotonic() < end_s, results
        time.sleep(0.2)


@then("no process logs a failed task")
def check_tasks(context: Context) -> None:
    for process in context.scene.site.processes.values():
        lines = process.log.read_text().splitlines()
        assert not [line for line in lines if "event=task_failed" in line], process.name
