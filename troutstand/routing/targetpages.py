"""Read pages of the list of targets, entry by entry.

Others write to the list too. An entry that cannot be read, lacks a field or holds a value
that is not accepted names no target; the other entries of its page hold.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import ListedState
from troutstand.routing.startup import ADDRESS_FORMAT, is_address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from troutstand.generated.messages import ListedTarget

T = TypeVar("T", bound=msgspec.Struct)

_MAX_CAUSE = 200
_MAX_NAME = 128
# How long a target is known whose entry cannot be read any more, in seconds: two reads of
# the list. Within that time a spoiled entry is mended or a target has left for good; a
# target that left is tried in vain for no longer than a list may lag.
_HOLD_S = 2.0


@dataclass(frozen=True)
class InvalidEntry:
    """Tell of an entry that names no target; the target is empty where it cannot be read."""

    target: str
    cause: str


@dataclass(frozen=True)
class TargetPage:
    """Hold one page of the list of targets and the token of the next."""

    targets: list[ListedTarget]
    next_token: str | None
    invalid: list[InvalidEntry] = field(default_factory=list)


@dataclass(frozen=True)
class PageFormat:
    """Name the fields of a page in one deployment's form."""

    entries: str
    next_token: str
    target: str


def decode_page(
    data: bytes, form: PageFormat, kind: type[T], translate: Callable[[T], ListedTarget]
) -> TargetPage:
    """Decode a page; entries that name no target are told apart.

    Raises
    ------
    TroutstandError
        FIELD_INVALID where neither the entries nor the next page can be found.
    """
    entries, next_token = _split_page(data, form)
    targets: list[ListedTarget] = []
    spoiled: list[InvalidEntry] = []
    for entry in entries:
        try:
            targets.append(_check_target(translate(_decode_entry(entry, kind))))
        except (msgspec.MsgspecError, UnicodeDecodeError, TroutstandError) as error:
            detail = error.detail if isinstance(error, TroutstandError) else str(error)
            name = _read_name(entry, form.target)
            spoiled.append(InvalidEntry(name, detail[:_MAX_CAUSE]))
    return TargetPage(targets, next_token, spoiled)


def _decode_entry(entry: Any, kind: type[T]) -> T:
    if isinstance(entry, msgspec.Raw):
        return msgspec.json.decode(entry, type=kind)
    return msgspec.convert(entry, type=kind)


def _check_target(target: ListedTarget) -> ListedTarget:
    if not target.target:
        raise TroutstandError(ResultCode.FIELD_INVALID, "the target's id is empty")
    if not target.service:
        raise TroutstandError(ResultCode.FIELD_INVALID, "the service is empty")
    if not is_address(target.address):
        detail = f"address {target.address!r}, {ADDRESS_FORMAT}"
        raise TroutstandError(ResultCode.FIELD_INVALID, detail)
    if target.slots < 1:
        raise TroutstandError(
            ResultCode.FIELD_INVALID, f"slots {target.slots}, 1 and more are accepted"
        )
    return target


def _read_name(entry: Any, name: str) -> str:
    """Return the id that a spoiled entry holds, or nothing."""
    try:
        plain = msgspec.json.decode(entry) if isinstance(entry, msgspec.Raw) else entry
    except (msgspec.DecodeError, UnicodeDecodeError):
        # The cause tells that the entry cannot be read.
        return ""
    value = plain.get(name) if isinstance(plain, dict) else None
    return value[:_MAX_NAME] if isinstance(value, str) else ""


@dataclass(frozen=True)
class _Seen:
    """Hold a target's last sound entry; the time in seconds."""

    entry: ListedTarget
    at_s: float


class ValidEntryCache:
    """Keep targets for a while whose entries cannot be read."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def merge(self, pages: list[TargetPage], now_s: float) -> list[ListedTarget]:
        """Return the targets that the pages name, and those that a spoiled entry may name.

        An entry that can be told to be a target's, but not what it says, gives that target
        no new work; one that cannot be told may be any target's, and changes nothing.
        """
        sound = {entry.target: entry for page in pages for entry in page.targets}
        spoiled = {entry.target for page in pages for entry in page.invalid}
        held: list[ListedTarget] = []
        for target, seen in list(self._seen.items()):
            if target in sound:
                continue
            if now_s - seen.at_s > _HOLD_S:
                del self._seen[target]
            elif target in spoiled:
                held.append(msgspec.structs.replace(seen.entry, state=ListedState.draining))
            elif "" in spoiled:
                held.append(seen.entry)
        self._seen.update({target: _Seen(entry, now_s) for target, entry in sound.items()})
        return [*sound.values(), *held]


# Taking a page apart


def _split_page(data: bytes, form: PageFormat) -> tuple[list[Any], str | None]:
    """Return a page's entries and the token of the next page."""
    try:
        page = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        entries = msgspec.json.decode(page[form.entries], type=list[msgspec.Raw])
        token = msgspec.json.decode(page.get(form.next_token, b"null"), type=str | None)
    except (msgspec.DecodeError, UnicodeDecodeError, KeyError):
        # The page is no JSON as a whole, as where one entry is cut short.
        return _salvage_page(data, form)
    return entries, token


def _salvage_page(data: bytes, form: PageFormat) -> tuple[list[Any], str | None]:
    """Read what can be read of a page that is not well-formed.

    Raises
    ------
    TroutstandError
        FIELD_INVALID where it does not tell whether another page follows.
    """
    text = data.decode("utf-8", "surrogateescape")
    tokens = re.findall(rf'"{form.next_token}"\s*:\s*(null|"(?:[^"\\]|\\.)*")', text)
    if not tokens:
        raise TroutstandError(ResultCode.FIELD_INVALID, "list of targets: no page can be found")
    begin = re.search(rf'"{form.entries}"\s*:\s*\[', text)
    entries = list(_salvage_entries(text, begin.end())) if begin else [None]
    try:
        token = json.loads(tokens[-1])
    except ValueError as error:
        detail = f"list of targets: next page {tokens[-1][:_MAX_NAME]!r}"
        raise TroutstandError(ResultCode.FIELD_INVALID, detail) from error
    return entries, token


def _salvage_entries(text: str, position: int) -> Iterator[Any]:
    """Yield the values of a list; what cannot be read is passed over up to the next object."""
    decoder = json.JSONDecoder()
    while True:
        position = _skip_blanks(text, position)
        if position >= len(text) or text[position] == "]":
            return
        try:
            value, position = decoder.raw_decode(text, position)
            yield value
        except (ValueError, RecursionError):
            yield None
            position = text.find("{", position + 1)
            if position < 0:
                return


def _skip_blanks(text: str, position: int) -> int:
    while position < len(text) and text[position] in " \t\r\n,":
        position += 1
    return position
