"""Name what callers, targets and operators of a routed site put on the wire.

The product's own names are the defaults; a deployment that speaks otherwise
hands the processes a `Dialect` of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.configuration import check_configuration
from troutstand.core.errors import TroutstandError
from troutstand.core.notices import LEAVING_HEADER, LIMIT_HEADER
from troutstand.core.rollouts.state import RolloutRequest
from troutstand.generated.configuration import Configuration
from troutstand.generated.messages import ListedTarget, RolloutOrder, RolloutState
from troutstand.routing.targetpages import PageForm, TargetPage, decode_page

if TYPE_CHECKING:
    from collections.abc import Callable


B = TypeVar("B")

# Where operators order rollouts in the product's own form.
ROLLOUTS_PATH = "/rollouts"
# A version names software, such as a tag or a digest.
_MAX_VERSION = 128
# The longest time that an order may give, in seconds: a week.
_MAX_DURATION_S = 604800.0


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
    # Says in any answer that its target takes no new work.
    leaving: str = LEAVING_HEADER
    # Says in any answer how many requests a second its target takes from all hosts together.
    limit: str = LIMIT_HEADER
    # Orders to a target, such as to reserve memory: what a caller writes there is dropped.
    reserved: frozenset[str] = frozenset({"x-target-order"})


DEFAULT_PAGE = PageForm(entries="targets", next_token="next", target="target")


def decode_default_configuration(data: bytes) -> Configuration:
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


def decode_default_targets(data: bytes) -> TargetPage:
    """Decode a page of the list of targets in the product's own form."""
    return decode_page(data, DEFAULT_PAGE, ListedTarget, lambda target: target)


def get_default_targets_path(token: str | None) -> str:
    """Return the path of a page of the list of targets."""
    return "/targets" if token is None else f"/targets?page={quote(token)}"


class _RolloutBody(msgspec.Struct, forbid_unknown_fields=True):
    service: str
    version: str
    duration_s: float


def decode_rollout_body(data: bytes, kind: type[B]) -> B:
    """Decode an operator's order in one deployment's form.

    Raises
    ------
    TroutstandError
        FIELD_INVALID.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise TroutstandError(ResultCode.FIELD_INVALID, f"rollout: {error}") from error


def decode_default_rollout(data: bytes) -> RolloutRequest:
    """Decode an operator's order in the product's own form.

    Raises
    ------
    TroutstandError
        FIELD_INVALID.
    """
    body = decode_rollout_body(data, _RolloutBody)
    return check_rollout(RolloutRequest(body.service, body.version, body.duration_s))


def check_rollout(ask: RolloutRequest) -> RolloutRequest:
    """Return an order whose version and time can be used.

    Raises
    ------
    TroutstandError
        FIELD_INVALID.
    """
    if not 0 < len(ask.version) <= _MAX_VERSION:
        detail = f"rollout: version {ask.version!r}, 1 to {_MAX_VERSION} characters are accepted"
        raise TroutstandError(ResultCode.FIELD_INVALID, detail)
    if not 0.0 < ask.duration_s <= _MAX_DURATION_S:
        detail = (
            f"rollout: {ask.duration_s} s, more than 0 and up to {_MAX_DURATION_S} are accepted"
        )
        raise TroutstandError(ResultCode.FIELD_INVALID, detail)
    return ask


def get_public_state(order: RolloutOrder) -> str:
    """Return an order's state as operators see it: a switch is still in progress."""
    is_switching = order.state is RolloutState.switching
    return RolloutState.in_progress.value if is_switching else order.state.value


def encode_default_rollout(order: RolloutOrder) -> bytes:
    """Write how far an order has come in the product's own form."""
    told = {"state": get_public_state(order), "version": order.version, "detail": order.detail}
    return msgspec.json.encode(told)


@dataclass(frozen=True)
class Dialect:
    """Tell how a deployment writes what the processes exchange with others."""

    headers: HeaderNames = field(default_factory=HeaderNames)
    readiness_path: str = "/ready"
    configuration_write: tuple[str, str] = ("PUT", "/configuration")
    configuration_read: tuple[str, str] = ("GET", "/configuration")
    rollout_begin: tuple[str, str] = ("POST", ROLLOUTS_PATH)
    rollout_read: tuple[str, str] = ("GET", f"{ROLLOUTS_PATH}/{{service}}")
    decode_configuration: Callable[[bytes], Configuration] = decode_default_configuration
    get_targets_path: Callable[[str | None], str] = get_default_targets_path
    decode_targets: Callable[[bytes], TargetPage] = decode_default_targets
    decode_rollout: Callable[[bytes], RolloutRequest] = decode_default_rollout
    encode_rollout: Callable[[RolloutOrder], bytes] = encode_default_rollout
