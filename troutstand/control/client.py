"""Call the processes of a site as an operator."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import msgspec

from troutstand.core.reports import (
    AcceptCall,
    AcceptReport,
    DrainReport,
    KeepersReport,
    ReplaceCall,
    StatusReport,
    TableReport,
    TargetsReport,
)
from troutstand.core.table import Row, get_row_id
from troutstand.daemon.errorresponse import ErrorBody, ErrorEnvelope
from troutstand.generated.table import Change, RowKey

if TYPE_CHECKING:
    from troutstand.generated.settings import Address

T = TypeVar("T")
_OK = 200
_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class HttpResponse:
    """Carry the answer to one HTTP request."""

    status: int
    body: bytes
    headers: dict[str, str]


class AdminApiError(Exception):
    """Report a refusal that a process answered with."""

    def __init__(self, status: int, body: ErrorBody) -> None:
        super().__init__(f"{status} {body.number} {body.message}")
        self.status = status
        self.body = body


async def _fetch(
    address: Address, method: str, path: str, body: bytes, headers: dict[str, str]
) -> HttpResponse:
    url = f"http://{address.ip}:{address.port}{path}"
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(method, url, data=body or None, headers=headers) as response,
    ):
        return HttpResponse(response.status, await response.read(), dict(response.headers))


def fetch(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    token: str = "",
    headers: dict[str, str] | None = None,
) -> HttpResponse:
    """Send one HTTP request from outside any event loop.

    Raises
    ------
    OSError
        Where the process does not answer whole.
    """
    sent = {"Authorization": f"Bearer {token}", **(headers or {})}
    try:
        return asyncio.run(_fetch(address, method, path, body, sent))
    except aiohttp.ClientError as error:
        raise ConnectionError(str(error)) from error


@dataclass(frozen=True)
class AdminClient:
    """Call the operators' paths."""

    admins: dict[str, Address]
    token: str

    def call(self, process: str, method: str, path: str, kind: type[T], body: bytes = b"") -> T:
        """Call a process and decode its report.

        Raises
        ------
        AdminApiError
            Where the process refuses.
        """
        fetched = fetch(self.admins[process], method, path, body, self.token)
        if fetched.status != _OK:
            envelope = msgspec.json.decode(fetched.body, type=ErrorEnvelope)
            raise AdminApiError(fetched.status, envelope.error)
        return msgspec.json.decode(fetched.body, type=kind)

    def read_status(self, process: str) -> StatusReport:
        """Read a process's status."""
        return self.call(process, "GET", "/admin/status", StatusReport)

    def try_status(self, process: str) -> StatusReport | None:
        """Read a process's status if it answers."""
        try:
            return self.read_status(process)
        except (OSError, AdminApiError):
            return None

    def read_table(self, process: str) -> TableReport:
        """Read the table in force at a process."""
        return self.call(process, "GET", "/admin/table", TableReport)

    def read_targets(self, process: str) -> TargetsReport:
        """Read what a scheduler knows of its targets."""
        return self.call(process, "GET", "/admin/targets", TargetsReport)

    def accept(
        self,
        process: str,
        edit_id: str,
        base: int,
        upserts: list[Row],
        deletes: list[Row] | None = None,
    ) -> AcceptReport:
        """Accept an edit of the table."""
        keys = [RowKey(name.kind, name.name) for name in map(get_row_id, deletes or [])]
        return self.send_change(process, Change(edit_id, base, upserts, keys))

    def send_change(self, process: str, change: Change) -> AcceptReport:
        """Send an edit of the table."""
        body = msgspec.json.encode(AcceptCall(change))
        return self.call(process, "POST", "/admin/table/accept", AcceptReport, body)

    def try_accept(
        self, process: str, edit_id: str, base: int, upserts: list[Row]
    ) -> AcceptReport | None:
        """Accept an edit if the process can."""
        try:
            return self.accept(process, edit_id, base, upserts)
        except (OSError, AdminApiError):
            return None

    def try_form(self, process: str) -> str:
        """Form the keeper set; return why it is not formed, or nothing where it is."""
        try:
            self.call(process, "POST", "/admin/keepers/form", KeepersReport)
        except OSError as error:
            return repr(error)
        except AdminApiError as refusal:
            return refusal.body.message
        return ""

    def replace_keeper(self, process: str, lost: str) -> KeepersReport:
        """Have a keeper's new disk take the lost one's place."""
        body = msgspec.json.encode(ReplaceCall(lost))
        return self.call(process, "POST", "/admin/keepers/replace", KeepersReport, body)

    def start_drain(self, process: str) -> DrainReport:
        """Begin to drain a process."""
        return self.call(process, "POST", "/admin/drain", DrainReport)

    def is_healthy(self, callers: Address) -> bool:
        """Tell whether an entry process wants callers."""
        try:
            return fetch(callers, "GET", "/healthz").status == _OK
        except OSError:
            return False

    def find_scheduler(self, processes: list[str]) -> str | None:
        """Return the process that all reachable ones follow as scheduler."""
        found = [status for status in map(self.try_status, processes) if status]
        followed = {status.scheduler for status in found}
        name = followed.pop() if len(followed) == 1 else None
        return name if name in {status.process for status in found} else None
