"""Damage a keeper's files and read them back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.errors import TroutstandError
from troutstand.daemon.storage import Storage, format_folder, frame_record
from troutstand.generated.messages import RegisterState, StoredIdentity, StoredRegister
from troutstand.tests.environment import make_folder

if TYPE_CHECKING:
    from behave.runner import Context


def make_record(number: int) -> StoredRegister:
    """Make a record."""
    return StoredRegister(RegisterState(f"claim/{number:04d}", value=b"x" * 50))


@given("a data folder with {count:d} records")
def fill_folder(context: Context, count: int) -> None:
    context.folder = make_folder(context)
    format_folder(context.folder, StoredIdentity("demo", "a.keeper", "disk"))
    context.storage = Storage(context.folder)
    context.storage.append(make_record(number) for number in range(count))
    context.log = context.folder / "records.log"


@when("the last record is {damage}")
def damage_last(context: Context, damage: str) -> None:
    context.storage.close()
    data = context.log.read_bytes()
    if damage == "torn short":
        context.log.write_bytes(data[:-7])
    else:
        context.log.write_bytes(data[:-7] + b"garbage")


@when("record {number:d} is overwritten")
def damage_middle(context: Context, number: int) -> None:
    context.storage.close()
    data = bytearray(context.log.read_bytes())
    size = len(frame_record(make_record(0)))
    place = number * size + size // 2
    data[place : place + 4] = b"\x00\x01\x02\x03"
    context.log.write_bytes(bytes(data))


@when("the records are replaced by a snapshot of {count:d}")
def snapshot(context: Context, count: int) -> None:
    context.storage.write_snapshot([make_record(number) for number in range(count)])


def reopen(context: Context) -> list[StoredRegister]:
    """Open the folder anew and return its registers."""
    context.storage.close()
    context.storage = Storage(context.folder)
    return [item for item in context.storage.loaded_records if isinstance(item, StoredRegister)]


@then("{count:d} records are read back")
def assert_read(context: Context, count: int) -> None:
    assert reopen(context) == [make_record(number) for number in range(count)]


@then("records written after it are read back too")
def assert_written_after(context: Context) -> None:
    before = len(reopen(context))
    context.storage.append([make_record(99)])
    found = reopen(context)
    assert len(found) == before + 1 and found[-1] == make_record(99)


@then("the count of records written is {count:d}")
def assert_count(context: Context, count: int) -> None:
    assert context.storage.sequence == count, context.storage.sequence


@then("opening the folder fails with {code:d}")
@then("opening the folder again fails with {code:d}")
def assert_open_fails(context: Context, code: int) -> None:
    try:
        Storage(context.folder)
    except TroutstandError as error:
        assert error.code == code, error
    else:
        raise AssertionError("the folder opened")
