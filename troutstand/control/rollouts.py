"""Order rollouts at a routed site's keepers, and show how far they are."""

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
    list[str], Parameter(name="--keeper", help="IP:PORT of a keeper's control address; repeatable.")
]
_OK = 200
_FIRST_REFUSAL, _FIRST_FAULT = 400, 500


class RolloutReport(msgspec.Struct):
    """Tell how far a rollout is, and what decided its newest state."""

    state: str
    version: str
    detail: str = ""


class _Refusal(msgspec.Struct):
    code: int
    detail: str = ""


class _Refusals(msgspec.Struct):
    errors: list[_Refusal]


def parse_keepers(texts: Sequence[str]) -> list[Address]:
    """Return the addresses that were given as IP:PORT.

    Raises
    ------
    TroutstandError
        USAGE.
    """
    wrong = [text for text in texts if not is_address(text)]
    if wrong or not texts:
        detail = f"--keeper {', '.join(wrong) or 'is missing'}: {ADDRESS_FORMAT}"
        raise TroutstandError(ResultCode.USAGE, detail)
    return [parse_address(text) for text in texts]


def begin_rollout(
    keepers: Sequence[Address], service: str, version: str, duration_s: float
) -> None:
    """Order a service to be moved to a version within some seconds.

    Raises
    ------
    TroutstandError
        What the keepers refused with, or PROCESS_UNREACHABLE.
    """
    order = {"service": service, "version": version, "duration_s": duration_s}
    _call(keepers, "POST", ROLLOUTS_PATH, msgspec.json.encode(order))


def read_rollout(keepers: Sequence[Address], service: str) -> RolloutReport:
    """Return how far a service's rollout is.

    Raises
    ------
    TroutstandError
        As `begin_rollout`.
    """
    answer = _call(keepers, "GET", f"{ROLLOUTS_PATH}/{service}/evidence")
    return msgspec.json.decode(answer.body, type=RolloutReport)


def abort_rollout(keepers: Sequence[Address], service: str) -> None:
    """Roll a service's rollout back.

    Raises
    ------
    TroutstandError
        As `begin_rollout`.
    """
    _call(keepers, "DELETE", f"{ROLLOUTS_PATH}/{service}")


def _call(keepers: Sequence[Address], method: str, path: str, body: bytes = b"") -> HttpResponse:
    """Ask the keepers in turn until one gives a clear answer."""
    told = "no keeper answers"
    for keeper in keepers:
        try:
            answer = fetch(keeper, method, path, body)
        except OSError as error:
            told = f"{keeper.ip}:{keeper.port}: {error}"
            continue
        if answer.status == _OK:
            return answer
        refusal = _read_refusal(answer)
        if _FIRST_REFUSAL <= answer.status < _FIRST_FAULT:
            raise refusal
        told = refusal.detail
    raise TroutstandError(ResultCode.PROCESS_UNREACHABLE, told)


def _read_refusal(answer: HttpResponse) -> TroutstandError:
    try:
        first = msgspec.json.decode(answer.body, type=_Refusals).errors[0]
        return TroutstandError(ResultCode(first.code), first.detail)
    except (msgspec.DecodeError, IndexError, ValueError):
        detail = f"status {answer.status}"
        return TroutstandError(ResultCode.PROCESS_UNREACHABLE, detail)


@rollout.command
def begin(service: str, version: str, *, within_s: float, keeper: Keepers) -> None:
    """Order a service to be moved to a version within some seconds."""
    begin_rollout(parse_keepers(keeper), service, version, within_s)
    print(f"{service}: moving to {version} within {within_s:g} s")


@rollout.command
def status(service: str, *, keeper: Keepers, json: AsJson = False) -> None:
    """Show how far a service's rollout is, and what decided its newest state."""
    report = read_rollout(parse_keepers(keeper), service)
    if json:
        print_json(report)
        return
    row = [service, report.version, report.state, report.detail or "-"]
    print_columns([["SERVICE", "VERSION", "STATE", "DETAIL"], row])


@rollout.command
def abort(service: str, *, keeper: Keepers) -> None:
    """Roll a service's rollout back."""
    abort_rollout(parse_keepers(keeper), service)
    print(f"{service}: rolled back")
