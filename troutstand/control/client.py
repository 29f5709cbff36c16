"""Call the admin API of a site's processes."""

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
    """Hold the response to one HTTP request."""

    status: int
    body: bytes
    headers: dict[str, str]


class AdminApiError(Exception):
    """Report an error response of a process's admin API."""

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
    """Send one HTTP request; must not be called from a running event loop.

    Raises
    ------
    OSError
        If the process can't be reached or its response is incomplete.
    """
    all_headers = {"Authorization": f"Bearer {token}", **(headers or {})}
    try:
        return asyncio.run(_fetch(address, method, path, body, all_headers))
    except aiohttp.ClientError as error:
        raise ConnectionError(str(error)) from error


@dataclass(frozen=True)
class AdminClient:
    """Call the admin API of a site's processes by process name."""

    admins: dict[str, Address]
    token: str

    def call(
        self, process: str, method: str, path: str, report_type: type[T], body: bytes = b""
    ) -> T:
        """Call a process and decode its report.

        Raises
        ------
        AdminApiError
            If the process returns an error response.
        OSError
            If the process can't be reached.
        """
        response = fetch(self.admins[process], method, path, body, self.token)
        if response.status != _OK:
            envelope = msgspec.json.decode(response.body, type=ErrorEnvelope)
            raise AdminApiError(response.status, envelope.error)
        return msgspec.json.decode(response.body, type=report_type)

    def read_status(self, process: str) -> StatusReport:
        """Fetch the status of a process."""
        return self.call(process, "GET", "/admin/status", StatusReport)

    def try_status(self, process: str) -> StatusReport | None:
        """Fetch the status of a process; return None if the call fails."""
        try:
            return self.read_status(process)
        except (OSError, AdminApiError):
            return None

    def read_table(self, process: str) -> TableReport:
        """Fetch the table in force at a process."""
        return self.call(process, "GET", "/admin/table", TableReport)

    def read_targets(self, process: str) -> TargetsReport:
        """Fetch the state of the targets that a scheduler manages."""
        return self.call(process, "GET", "/admin/targets", TargetsReport)

    def accept(
        self,
        process: str,
        edit_id: str,
        base: int,
        upserts: list[Row],
        deletes: list[Row] | None = None,
    ) -> AcceptReport:
        """Have a process accept an edit of the table, given as rows."""
        keys = [RowKey(row_id.kind, row_id.name) for row_id in map(get_row_id, deletes or [])]
        return self.send_change(process, Change(edit_id, base, upserts, keys))

    def send_change(self, process: str, change: Change) -> AcceptReport:
        """Have a process accept an edit of the table."""
        body = msgspec.json.encode(AcceptCall(change))
        return self.call(process, "POST", "/admin/table/accept", AcceptReport, body)

    def try_accept(
        self, process: str, edit_id: str, base: int, upserts: list[Row]
    ) -> AcceptReport | None:
        """Have a process accept an edit of the table; return None if the call fails."""
        try:
            return self.accept(process, edit_id, base, upserts)
        except (OSError, AdminApiError):
            return None

    def try_form(self, process: str) -> str:
        """Form the keeper set; return the reason if this fails, otherwise an empty string."""
        try:
            self.call(process, "POST", "/admin/keepers/form", KeepersReport)
        except OSError as error:
            return repr(error)
        except AdminApiError as error:
            return error.body.message
        return ""

    def replace_keeper(self, process: str, lost: str) -> KeepersReport:
        """Replace the lost disk of a keeper by its new one, through another keeper process."""
        body = msgspec.json.encode(ReplaceCall(lost))
        return self.call(process, "POST", "/admin/keepers/replace", KeepersReport, body)

    def start_drain(self, process: str) -> DrainReport:
        """Start to drain a process."""
        return self.call(process, "POST", "/admin/drain", DrainReport)

    def is_healthy(self, address: Address) -> bool:
        """Return whether the entry process with a caller address accepts calls."""
        try:
            return fetch(address, "GET", "/healthz").status == _OK
        except OSError:
            return False

    def find_scheduler(self, processes: list[str]) -> str | None:
        """Return the scheduler that all reachable processes follow, if it is reachable too."""
        statuses = [status for status in map(self.try_status, processes) if status]
        schedulers = {status.scheduler for status in statuses}
        name = schedulers.pop() if len(schedulers) == 1 else None
        return name if name in {status.process for status in statuses} else None
