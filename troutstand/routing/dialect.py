"""Name what callers, targets and operators of a routed site put on the wire.

The product's own names are the defaults; a deployment that speaks otherwise
hands the processes a `Dialect` of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.configuration import check_configuration
from troutstand.core.errors import TroutstandError
from troutstand.generated.configuration import Configuration
from troutstand.generated.messages import ListedTarget

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True)
class HeaderNames:
    """Name the headers of requests and answers, in lower case."""

    request: str = "x-request-id"
    deadline_ms: str = "x-deadline-ms"
    key: str = "x-workspace-key"
    workspace: str = "x-workspace"
    model: str = "x-model"
    tokens: str = "x-tokens"
    parts: str = "x-prompt-parts"
    output_estimate: str = "x-output-estimate"
    resume: str = "last-event-id"
    expected_target: str = "x-expected-target"
    not_run: str = "x-not-run"
    seal: str = "x-answer-seal"
    # Orders to a target, such as to reserve memory: what a caller writes there is dropped.
    reserved: frozenset[str] = frozenset({"x-target-order"})


@dataclass(frozen=True)
class TargetPage:
    """Hold one page of the list of targets and the token of the next."""

    targets: list[ListedTarget]
    next_token: str | None


class _Page(msgspec.Struct):
    targets: list[ListedTarget]
    next: str | None = None


def decode_own_configuration(data: bytes) -> Configuration:
    """Decode and check a configuration in the product's own form.

    Raises
    ------
    TroutstandError
        CONFIGURATION_INVALID where it cannot be read.
    ExceptionGroup
        Of TroutstandError, one for each fault of one that can be read.
    """
    try:
        configuration = msgspec.json.decode(data, type=Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise TroutstandError(ResultCode.CONFIGURATION_INVALID, str(error)) from error
    check_configuration(configuration)
    return configuration


def decode_own_targets(data: bytes) -> TargetPage:
    """Decode a page of the list of targets in the product's own form."""
    try:
        page = msgspec.json.decode(data, type=_Page)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise TroutstandError(ResultCode.FIELD_INVALID, str(error)) from error
    return TargetPage(page.targets, page.next)


def name_own_targets_path(token: str | None) -> str:
    """Return the path of a page of the list of targets."""
    return "/targets" if token is None else f"/targets?page={quote(token)}"


@dataclass(frozen=True)
class Dialect:
    """Tell how a deployment writes what the processes exchange with others."""

    headers: HeaderNames = field(default_factory=HeaderNames)
    readiness_path: str = "/ready"
    configuration_write: tuple[str, str] = ("PUT", "/configuration")
    configuration_read: tuple[str, str] = ("GET", "/configuration")
    decode_configuration: Callable[[bytes], Configuration] = decode_own_configuration
    name_targets_path: Callable[[str | None], str] = name_own_targets_path
    decode_targets: Callable[[bytes], TargetPage] = decode_own_targets
