"""Read the list of targets from its server and distribute it to gateways."""

from __future__ import annotations

import asyncio
import contextlib
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
from troutstand.routing.bodymemory import BodyMemory
from troutstand.routing.connectionpool import ConnectionPool
from troutstand.routing.dialer import Dialer
from troutstand.routing.httpclient import ExchangeError, encode_request_head
from troutstand.routing.targetpages import InvalidEntry, TargetPage, ValidEntryCache
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.generated.messages import Attached, ListedTarget
    from troutstand.routing.dialect import Dialect
    from troutstand.util.events import EventBus

_READ_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 0.5
_STATUS_OK = 200
_MAX_PAGES = 1000
# Limit of logged invalid entries per read.
_MAX_LOGGED_ENTRIES = 20


class TargetListError(Exception):
    """Raised when the list of targets cannot be read."""


@dataclass(frozen=True)
class TargetListUpdate:
    """Describe the list of targets, or its changes, as sent to a gateway.

    Parameters
    ----------
    has_targets
        Whether there is anything to send.
    base
        The version that the changes apply to; empty for a full list.
    """

    has_targets: bool = False
    targets: list[ListedTarget] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    base: str = ""


class TargetList:
    """Hold the newest list of targets; its version is a digest of its contents."""

    def __init__(self, address: str, dialect: Dialect) -> None:
        self.targets: list[ListedTarget] = []
        self.version = ""
        self.full_list_limiter = FullListLimiter(read_clock_s())
        self._history = TargetListHistory()
        self._address = address
        self._dialect = dialect
        self._pool = ConnectionPool(Dialer(_CONNECT_TIMEOUT_S))
        self._body_memory = BodyMemory()
        self._valid_entries = ValidEntryCache()
        self._invalid: frozenset[InvalidEntry] = frozenset()
        self._new_invalid: list[InvalidEntry] = []
        self._last_read_s = read_clock_s()
        # When the last successful read began, on the steady clock.
        self.read_began_s = float("-inf")

    def install(self, targets: list[ListedTarget], version: str) -> None:
        """Replace the list and record the difference from the previous version."""
        if self.version and version != self.version:
            self._history.record(self.version, diff_target_lists(self.targets, targets))
        self.targets, self.version = targets, version

    def apply_update(self, reply: Attached) -> bool:
        """Apply a full list or its changes from a scheduler; return whether the base matched."""
        if not reply.targets_base:
            self.install(reply.targets, reply.targets_version)
            return True
        if reply.targets_base != self.version:
            # The list was replaced meanwhile; the next heartbeat asks for the changes since then.
            return False
        diff = TargetListDiff(reply.targets, reply.gone)
        self.install(diff.apply(self.targets), reply.targets_version)
        return True

    def make_update(self, version: str, now_s: float) -> TargetListUpdate:
        """Return the update for a gateway that holds a given version.

        Sends only the changes if possible, since a full list to every gateway at each change
        would use much bandwidth.
        """
        if version == self.version:
            return TargetListUpdate()
        diff = self._history.find_diff_since(version)
        if diff is not None:
            return TargetListUpdate(True, diff.updated, diff.removed, version)
        if self.full_list_limiter.try_acquire(len(self.targets), now_s):
            return TargetListUpdate(True, self.targets)
        # The gateway keeps its list and asks again with its next heartbeat.
        return TargetListUpdate()

    def list_leaving(self) -> list[str]:
        """Return the names of the targets listed as draining."""
        return [entry.target for entry in self.targets if entry.state is ListedState.draining]

    async def read(self) -> bool:
        """Read the full list and return whether it changed.

        Raises
        ------
        TargetListError
            If the read fails; the list stays unchanged.
        """
        began_s = read_clock_s()
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                pages = await self._read_pages()
        except (TimeoutError, ExchangeError, TroutstandError) as error:
            raise TargetListError(str(error) or type(error).__name__) from error
        self._last_read_s, self.read_began_s = read_clock_s(), began_s
        self._record_invalid_entries(pages)
        targets = self._valid_entries.merge(pages, self._last_read_s)
        targets.sort(key=lambda entry: entry.target)
        version = _compute_version(targets)
        changed = version != self.version
        self.install(targets, version)
        return changed

    @property
    def age_s(self) -> float:
        """Return the seconds since the last successful read, or since creation if none."""
        return read_clock_s() - self._last_read_s

    def _record_invalid_entries(self, pages: list[TargetPage]) -> None:
        invalid = frozenset(entry for page in pages for entry in page.invalid)
        self._new_invalid.extend(invalid - self._invalid)
        self._invalid = invalid

    def emit_invalid_entries(self, events: EventBus) -> None:
        """Log each invalid entry that the previous read did not contain."""
        new_entries, self._new_invalid = self._new_invalid, []
        for entry in new_entries[:_MAX_LOGGED_ENTRIES]:
            events.emit(
                "target_entry_spoiled",
                code=ResultCode.FIELD_INVALID,
                target=entry.target or None,
                cause=entry.cause,
                entries=len(self._invalid),
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
        raise TargetListError(f"the list of targets has more than {_MAX_PAGES} pages")

    async def _get(self, token: str | None) -> bytes:
        connection = await self._pool.acquire(self._address)
        try:
            head = encode_request_head(
                "GET", self._dialect.get_targets_path(token), [("Host", self._address)]
            )
            connection.send(head, b"", False)
            response = await connection.receive_head()
            with self._body_memory.track() as received:
                data = await connection.receive_body(received)
        except BaseException:
            connection.abort()
            raise
        self._pool.release(connection)
        if response.status != _STATUS_OK:
            raise TargetListError(f"the list of targets returned status {response.status}")
        return data

    def close(self) -> None:
        """Close the connections to the list's server."""
        self._pool.close()


async def wait_for_request(requested: asyncio.Event, min_s: float, max_s: float) -> None:
    """Wait until a read of the list is requested, at least and at most for a time."""
    await asyncio.sleep(min_s)
    # Without a request, the list is read all the same.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max_s - min_s):
            await requested.wait()
    requested.clear()


def _compute_version(targets: list[ListedTarget]) -> str:
    text = "\n".join(
        f"{t.target} {t.service} {t.address} {t.slots} {t.state.value} {t.version} {t.born_ms}"
        for t in targets
    )
    return xxhash.xxh3_64_hexdigest(text.encode())
