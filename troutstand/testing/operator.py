"""Act as an operator of a site under test, over its HTTP interface."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from typing import TypeVar

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
from troutstand.core.table import Row, name_row
from troutstand.daemon.refusals import ErrorBody, ErrorEnvelope
from troutstand.generated.settings import Address
from troutstand.generated.table import Change, RowKey

T = TypeVar("T")
_OK = 200
_TIMEOUT_S = 10.0


class RefusedCall(Exception):
    """Report a refusal that a process answered with."""

    def __init__(self, status: int, body: ErrorBody) -> None:
        super().__init__(f"{status} {body.number} {body.message}")
        self.status = status
        self.body = body


def fetch(
    address: Address, method: str, path: str, body: bytes = b"", token: str = ""
) -> tuple[int, bytes]:
    """Send one HTTP request and return the status and the body."""
    connection = http.client.HTTPConnection(address.ip, address.port, timeout=_TIMEOUT_S)
    try:
        headers = {"Authorization": f"Bearer {token}"}
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


@dataclass(frozen=True)
class Operator:
    """Call the operators' paths."""

    admins: dict[str, Address]
    token: str

    def call(self, process: str, method: str, path: str, kind: type[T], body: bytes = b"") -> T:
        """Call a process and decode its report.

        Raises
        ------
        RefusedCall
            Where the process refuses.
        """
        status, data = fetch(self.admins[process], method, path, body, self.token)
        if status != _OK:
            raise RefusedCall(status, msgspec.json.decode(data, type=ErrorEnvelope).error)
        return msgspec.json.decode(data, type=kind)

    def read_status(self, process: str) -> StatusReport:
        """Read a process's status."""
        return self.call(process, "GET", "/admin/status", StatusReport)

    def try_status(self, process: str) -> StatusReport | None:
        """Read a process's status if it answers."""
        try:
            return self.read_status(process)
        except (OSError, http.client.HTTPException, RefusedCall):
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
        keys = [RowKey(name.kind, name.name) for name in map(name_row, deletes or [])]
        call = AcceptCall(Change(edit_id, base, upserts, keys))
        body = msgspec.json.encode(call)
        return self.call(process, "POST", "/admin/table/accept", AcceptReport, body)

    def try_accept(
        self, process: str, edit_id: str, base: int, upserts: list[Row]
    ) -> AcceptReport | None:
        """Accept an edit if the process can."""
        try:
            return self.accept(process, edit_id, base, upserts)
        except (OSError, http.client.HTTPException, RefusedCall):
            return None

    def try_form(self, process: str) -> bool:
        """Form the keeper set; tell whether it is formed."""
        try:
            self.call(process, "POST", "/admin/keepers/form", KeepersReport)
        except (OSError, http.client.HTTPException):
            return False
        except RefusedCall as refusal:
            return "belongs to a keeper set" in refusal.body.message
        return True

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
            return fetch(callers, "GET", "/healthz")[0] == _OK
        except (OSError, http.client.HTTPException):
            return False

    def find_scheduler(self, processes: list[str]) -> str | None:
        """Return the process that all reachable ones follow as scheduler."""
        found = [status for status in map(self.try_status, processes) if status]
        followed = {status.scheduler for status in found}
        name = followed.pop() if len(followed) == 1 else None
        return name if name in {status.process for status in found} else None
