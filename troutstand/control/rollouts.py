"""Start, abort and show rollouts through the keepers of a routed site."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec
from cyclopts import App, Parameter

from troutstand.control.client import HttpResponse, fetch
from troutstand.control.printing import AsJson, print_columns, print_json
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.routing.dialect import ROLLOUTS_PATH
from troutstand.routing.node import parse_address
from troutstand.routing.startup import ADDRESS_FORMAT, is_address

if TYPE_CHECKING:
    from collections.abc import Sequence

    from troutstand.generated.settings import Address

rollout = App(name="rollout", help="Move a service of a routed site to another version.")

Keepers = Annotated[
    list[str],
    Parameter(name="--keeper", help="Control address of a keeper as IP:PORT; repeatable."),
]
_OK = 200
_MIN_CLIENT_ERROR, _MIN_SERVER_ERROR = 400, 500


class RolloutReport(msgspec.Struct):
    """Hold the state of a rollout and the reason for it."""

    state: str
    version: str
    detail: str = ""


class _ErrorEntry(msgspec.Struct):
    code: int
    detail: str = ""


class _ErrorBody(msgspec.Struct):
    errors: list[_ErrorEntry]


def parse_keepers(texts: Sequence[str]) -> list[Address]:
    """Parse keeper addresses of the form IP:PORT.

    Raises
    ------
    TroutstandError
        USAGE if an address is malformed or none is given.
    """
    malformed = [text for text in texts if not is_address(text)]
    if malformed or not texts:
        detail = f"--keeper {', '.join(malformed) or 'is missing'}: {ADDRESS_FORMAT}"
        raise TroutstandError(ResultCode.USAGE, detail)
    return [parse_address(text) for text in texts]


def begin_rollout(
    keepers: Sequence[Address], service: str, version: str, duration_s: float
) -> None:
    """Order a rollout that moves a service to a version within `duration_s`.

    Raises
    ------
    TroutstandError
        The error that a keeper returned, or PROCESS_UNREACHABLE if no keeper responded.
    """
    order = {"service": service, "version": version, "duration_s": duration_s}
    _call(keepers, "POST", ROLLOUTS_PATH, msgspec.json.encode(order))


def read_rollout(keepers: Sequence[Address], service: str) -> RolloutReport:
    """Fetch the state of a service's rollout.

    Raises
    ------
    TroutstandError
        As `begin_rollout`.
    """
    response = _call(keepers, "GET", f"{ROLLOUTS_PATH}/{service}/evidence")
    return msgspec.json.decode(response.body, type=RolloutReport)


def abort_rollout(keepers: Sequence[Address], service: str) -> None:
    """Abort a service's rollout and roll it back.

    Raises
    ------
    TroutstandError
        As `begin_rollout`.
    """
    _call(keepers, "DELETE", f"{ROLLOUTS_PATH}/{service}")


def _call(keepers: Sequence[Address], method: str, path: str, body: bytes = b"") -> HttpResponse:
    """Try the keepers in order until one succeeds or returns a client error."""
    failure = "no keeper responded"
    for keeper in keepers:
        try:
            response = fetch(keeper, method, path, body)
        except OSError as error:
            failure = f"{keeper.ip}:{keeper.port}: {error}"
            continue
        if response.status == _OK:
            return response
        keeper_error = _decode_error(response)
        if _MIN_CLIENT_ERROR <= response.status < _MIN_SERVER_ERROR:
            raise keeper_error
        failure = keeper_error.detail
    raise TroutstandError(ResultCode.PROCESS_UNREACHABLE, failure)


def _decode_error(response: HttpResponse) -> TroutstandError:
    try:
        first = msgspec.json.decode(response.body, type=_ErrorBody).errors[0]
        return TroutstandError(ResultCode(first.code), first.detail)
    except (msgspec.DecodeError, IndexError, ValueError):
        detail = f"status {response.status}"
        return TroutstandError(ResultCode.PROCESS_UNREACHABLE, detail)


@rollout.command
def begin(service: str, version: str, *, within_s: float, keeper: Keepers) -> None:
    """Order a rollout that moves a service to a version within a time in seconds."""
    begin_rollout(parse_keepers(keeper), service, version, within_s)
    print(f"{service}: moving to {version} within {within_s:g} s")


@rollout.command
def status(service: str, *, keeper: Keepers, json: AsJson = False) -> None:
    """Show the state of a service's rollout and the reason for it."""
    report = read_rollout(parse_keepers(keeper), service)
    if json:
        print_json(report)
        return
    row = [service, report.version, report.state, report.detail or "-"]
    print_columns([["SERVICE", "VERSION", "STATE", "DETAIL"], row])


@rollout.command
def abort(service: str, *, keeper: Keepers) -> None:
    """Abort a service's rollout and roll it back."""
    abort_rollout(parse_keepers(keeper), service)
    print(f"{service}: rolled back")
