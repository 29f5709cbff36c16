"""Decode and validate pages of the list of targets, entry by entry.

The list has several writers. An invalid entry is reported and skipped, and does not affect
the other entries of its page.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from troutstand.core.codec import decode_json
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import ListedState, ListedTarget
from troutstand.routing.startup import ADDRESS_FORMAT, is_address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

T = TypeVar("T", bound=msgspec.Struct)

_MAX_CAUSE_LENGTH = 200
_MAX_ID_LENGTH = 128
# Time for which a target stays known after its last valid entry: two reads of the list,
# which is no longer than the list itself may lag.
_RETENTION_S = 2.0
_BRACKET_OR_STRING = re.compile(r'"(?:[^"\\]|\\.)*"|[][{}]', re.DOTALL)
_UNREADABLE = msgspec.Raw(b"")


@dataclass(frozen=True)
class InvalidEntry:
    """Describe an entry that was rejected; the target is empty if its id cannot be read."""

    target: str
    cause: str


@dataclass(frozen=True)
class TargetPage:
    """Hold the entries of one page and the token of the next page."""

    targets: list[ListedTarget]
    next_token: str | None
    invalid: list[InvalidEntry] = field(default_factory=list)


@dataclass(frozen=True)
class PageFormat:
    """Name the fields of a page in a deployment's format."""

    entries: str
    next_token: str
    target: str


def decode_page(
    data: bytes,
    page_format: PageFormat,
    entry_type: type[T],
    translate: Callable[[T], ListedTarget],
) -> TargetPage:
    """Decode a page and separate its invalid entries.

    Raises
    ------
    TroutstandError
        FIELD_INVALID if the token of the next page cannot be determined.
    """
    entries, next_token = _split_page(data, page_format)
    targets: list[ListedTarget] = []
    invalid: list[InvalidEntry] = []
    for entry in entries:
        try:
            decoded = decode_json(entry, entry_type, ResultCode.FIELD_INVALID)
            targets.append(_check_target(translate(decoded)))
        except TroutstandError as error:
            target_id = _read_target_id(entry, page_format.target)
            invalid.append(InvalidEntry(target_id, error.detail[:_MAX_CAUSE_LENGTH]))
    return TargetPage(targets, next_token, invalid)


def _check_target(target: ListedTarget) -> ListedTarget:
    if not target.target:
        raise TroutstandError(ResultCode.FIELD_INVALID, "the id of the target is empty")
    if not target.service:
        raise TroutstandError(ResultCode.FIELD_INVALID, "the service is empty")
    if not is_address(target.address):
        detail = f"address {target.address!r}: {ADDRESS_FORMAT}"
        raise TroutstandError(ResultCode.FIELD_INVALID, detail)
    if target.slots < 1:
        raise TroutstandError(ResultCode.FIELD_INVALID, f"slots {target.slots}: must be at least 1")
    return _check_sendable(target)


def _check_sendable(target: ListedTarget) -> ListedTarget:
    """Raise if a message with this target would be refused by its receiver."""
    try:
        return decode_json(msgspec.json.encode(target), ListedTarget, ResultCode.FIELD_INVALID)
    except (UnicodeEncodeError, OverflowError) as error:
        raise TroutstandError(ResultCode.FIELD_INVALID, str(error)) from error


def _read_target_id(entry: msgspec.Raw, id_field: str) -> str:
    """Return the target id of an invalid entry, or an empty string if it has none."""
    try:
        plain = decode_json(entry, Any, ResultCode.FIELD_INVALID)
    except TroutstandError:
        # Reported as an entry without an id.
        return ""
    value = plain.get(id_field) if isinstance(plain, dict) else None
    return value[:_MAX_ID_LENGTH] if isinstance(value, str) else ""


@dataclass(frozen=True)
class _CachedEntry:
    """Hold a target's last valid entry and the time at which it was read."""

    entry: ListedTarget
    read_s: float


class ValidEntryCache:
    """Retain targets for a limited time after their entries become invalid."""

    def __init__(self) -> None:
        self._cached: dict[str, _CachedEntry] = {}

    def merge(self, pages: list[TargetPage], now_s: float) -> list[ListedTarget]:
        """Return the valid entries, and retained ones that an invalid entry may stand for.

        A target with an invalid entry is returned as draining. An invalid entry without an id
        may belong to any missing target, so all of these are returned unchanged.
        """
        valid = {entry.target: entry for page in pages for entry in page.targets}
        invalid = {entry.target for page in pages for entry in page.invalid}
        retained: list[ListedTarget] = []
        for target, cached in list(self._cached.items()):
            if target in valid:
                continue
            if now_s - cached.read_s > _RETENTION_S:
                del self._cached[target]
            elif target in invalid:
                retained.append(msgspec.structs.replace(cached.entry, state=ListedState.draining))
            elif "" in invalid:
                retained.append(cached.entry)
        self._cached.update({target: _CachedEntry(entry, now_s) for target, entry in valid.items()})
        return [*valid.values(), *retained]


# Parsing


def _split_page(data: bytes, page_format: PageFormat) -> tuple[list[msgspec.Raw], str | None]:
    """Return the entries of a page and the token of the next page."""
    code = ResultCode.FIELD_INVALID
    try:
        page = decode_json(data, dict[str, msgspec.Raw], code)
        entries = decode_json(page[page_format.entries], list[msgspec.Raw], code)
        token = decode_json(page.get(page_format.next_token, b"null"), str | None, code)
    except (TroutstandError, KeyError):
        # The page as a whole is not valid JSON, for instance because an entry is truncated.
        return _salvage_page(data, page_format)
    return entries, token


def _salvage_page(data: bytes, page_format: PageFormat) -> tuple[list[msgspec.Raw], str | None]:
    """Extract the readable entries of a malformed page.

    Raises
    ------
    TroutstandError
        FIELD_INVALID if the token of the next page cannot be read.
    """
    text = data.decode("utf-8", "surrogateescape")
    tokens = re.findall(rf'"{page_format.next_token}"\s*:\s*(null|"(?:[^"\\]|\\.)*")', text)
    if not tokens:
        raise TroutstandError(
            ResultCode.FIELD_INVALID,
            "list of targets: the page has no readable token of the next page",
        )
    begin = re.search(rf'"{page_format.entries}"\s*:\s*\[', text)
    entries = list(_salvage_entries(text, begin.end())) if begin else [_UNREADABLE]
    try:
        token = decode_json(_encode_slice(tokens[-1]), str | None, ResultCode.FIELD_INVALID)
    except TroutstandError as error:
        detail = f"list of targets: invalid token of the next page {tokens[-1][:_MAX_ID_LENGTH]!r}"
        raise TroutstandError(ResultCode.FIELD_INVALID, detail) from error
    return entries, token


def _salvage_entries(text: str, position: int) -> Iterator[msgspec.Raw]:
    """Yield the values of a list; after a malformed value, continue at the next object.

    The values are found by their syntax alone; their texts may still be invalid.
    """
    decoder = json.JSONDecoder()
    while True:
        position = _skip_separators(text, position)
        if position >= len(text) or text[position] == "]":
            return
        begin = position
        try:
            _, position = decoder.raw_decode(text, begin)
            yield msgspec.Raw(_encode_slice(text[begin:position]))
        except RecursionError:
            yield _UNREADABLE
            position = _skip_nested(text, begin)
        except ValueError:
            yield _UNREADABLE
            position = text.find("{", begin + 1)
            if position < 0:
                return


def _encode_slice(text: str) -> bytes:
    """Return the bytes of a part of a page that was decoded with surrogate escapes."""
    return text.encode("utf-8", "surrogateescape")


def _skip_nested(text: str, position: int) -> int:
    """Return the position behind a list or object, or the end of the text if it is not closed."""
    depth = 0
    for match in _BRACKET_OR_STRING.finditer(text, position):
        bracket = match[0]
        if bracket in "[{":
            depth += 1
        elif bracket in "]}":
            depth -= 1
        if depth <= 0:
            return match.end()
    return len(text)


def _skip_separators(text: str, position: int) -> int:
    while position < len(text) and text[position] in " \t\r\n,":
        position += 1
    return position
