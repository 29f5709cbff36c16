"""Read the list of targets, which lags and takes few calls."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.targetlistdiff import (
    FullListLimiter,
    TargetListDiff,
    TargetListHistory,
    diff_target_lists,
)
from troutstand.generated.messages import ListedState
from troutstand.routing.httpclient import ConnectionPool, ExchangeError, encode_request_head
from troutstand.routing.targetpages import InvalidEntry, TargetPage, ValidEntryCache
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.generated.messages import Attached, ListedTarget
    from troutstand.routing.dialect import Dialect
    from troutstand.util.events import EventBus

_TIMEOUT_S = 1.0
_CONNECT_S = 0.5
_STATUS_OK = 200
_MAX_PAGES = 1000
# Lines about spoiled entries that one read may cause.
_MAX_LINES = 20


class TargetListError(Exception):
    """Report that the list could not be read."""


@dataclass(frozen=True)
class TargetListUpdate:
    """Hold what a gateway is told of the list of targets.

    Parameters
    ----------
    base
        The list from which the targets are the changes; empty where they are all of it.
    """

    has_targets: bool = False
    targets: list[ListedTarget] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    base: str = ""


class TargetList:
    """Hold the newest list that was read, with a digest that tells lists apart."""

    def __init__(self, address: str, dialect: Dialect) -> None:
        self.targets: list[ListedTarget] = []
        self.version = ""
        self.full_list_limiter = FullListLimiter(read_clock_s())
        self._history = TargetListHistory()
        self._address = address
        self._dialect = dialect
        self._pool = ConnectionPool(_CONNECT_S)
        self._sound = ValidEntryCache()
        self._spoiled: frozenset[InvalidEntry] = frozenset()
        self._spoiled_news: list[InvalidEntry] = []
        self._read_s = read_clock_s()

    def install(self, targets: list[ListedTarget], version: str) -> None:
        """Take a list of another version."""
        if self.version and version != self.version:
            self._history.record(self.version, diff_target_lists(self.targets, targets))
        self.targets, self.version = targets, version

    def apply_update(self, told: Attached) -> bool:
        """Take the list that a scheduler tells, or what changed; tell whether it fits."""
        if not told.targets_base:
            self.install(told.targets, told.targets_version)
            return True
        if told.targets_base != self.version:
            # Another list came meanwhile; the next heartbeat tells what has changed since.
            return False
        change = TargetListDiff(told.targets, told.gone)
        self.install(change.apply(self.targets), told.targets_version)
        return True

    def make_update(self, version: str, now_s: float) -> TargetListUpdate:
        """Return what a gateway is told that holds the list of a version.

        Told whole at each change, 270 gateways got 72 MB for one of 3,000 targets that left,
        and 0.2 MB with what had changed alone.
        """
        if version == self.version:
            return TargetListUpdate()
        change = self._history.find_diff_since(version)
        if change is not None:
            return TargetListUpdate(True, change.updated, change.removed, version)
        if self.full_list_limiter.try_acquire(len(self.targets), now_s):
            return TargetListUpdate(True, self.targets)
        # It goes by the list that it has, and asks again with its next heartbeat.
        return TargetListUpdate()

    def list_leaving(self) -> list[str]:
        """Return the targets that the held list shows as leaving."""
        return [entry.target for entry in self.targets if entry.state is ListedState.draining]

    async def read(self) -> bool:
        """Read the whole list; tell whether it changed.

        Raises
        ------
        ListUnreadError
            The held list stays as it is.
        """
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                pages = await self._read_pages()
        except (TimeoutError, ExchangeError, TroutstandError) as error:
            raise TargetListError(str(error) or type(error).__name__) from error
        self._read_s = read_clock_s()
        self._record_invalid_entries(pages)
        targets = self._sound.merge(pages, self._read_s)
        targets.sort(key=lambda entry: entry.target)
        version = _digest(targets)
        changed = version != self.version
        self.install(targets, version)
        return changed

    @property
    def age_s(self) -> float:
        """Return how long ago the list was read here, in seconds."""
        return read_clock_s() - self._read_s

    def _record_invalid_entries(self, pages: list[TargetPage]) -> None:
        spoiled = frozenset(entry for page in pages for entry in page.invalid)
        self._spoiled_news.extend(spoiled - self._spoiled)
        self._spoiled = spoiled

    def emit_invalid_entries(self, events: EventBus) -> None:
        """Write a line for each spoiled entry that the list before did not hold."""
        news, self._spoiled_news = self._spoiled_news, []
        for entry in news[:_MAX_LINES]:
            events.emit(
                "target_entry_spoiled",
                code=ResultCode.FIELD_INVALID,
                target=entry.target or None,
                cause=entry.cause,
                entries=len(self._spoiled),
            )

    async def _read_pages(self) -> list[TargetPage]:
        pages: list[TargetPage] = []
        token: str | None = None
        for _ in range(_MAX_PAGES):
            page = self._dialect.decode_targets(await self._get(token))
            pages.append(page)
            token = page.next_token
            if token is None:
                return pages
        raise TargetListError(f"more than {_MAX_PAGES} pages")

    async def _get(self, token: str | None) -> bytes:
        connection = await self._pool.acquire(self._address)
        try:
            head = encode_request_head(
                "GET", self._dialect.get_targets_path(token), [("Host", self._address)]
            )
            connection.send(head, b"", False)
            answer = await connection.receive_head()
            data = b"".join([chunk async for chunk in connection.receive_chunks()])
        except BaseException:
            connection.abort()
            raise
        self._pool.release(connection)
        if answer.status != _STATUS_OK:
            raise TargetListError(f"status {answer.status}")
        return data

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()


def _digest(targets: list[ListedTarget]) -> str:
    text = "\n".join(
        f"{t.target} {t.service} {t.address} {t.slots} {t.state.value} {t.version} {t.born_ms}"
        for t in targets
    )
    return xxhash.xxh3_64_hexdigest(text.encode())
