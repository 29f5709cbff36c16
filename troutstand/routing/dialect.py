"""Define the wire formats between a routed site and its callers, targets and operators.

A deployment with other header names, paths or formats passes its own `Dialect`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import msgspec

from troutstand.core.codec import decode_json
from troutstand.core.codes import ResultCode
from troutstand.core.configuration import check_configuration
from troutstand.core.errors import TroutstandError
from troutstand.core.notices import LEAVING_HEADER, LIMIT_HEADER
from troutstand.core.rollouts.state import RolloutRequest
from troutstand.generated.configuration import Configuration
from troutstand.generated.messages import ListedTarget, RolloutOrder, RolloutState
from troutstand.routing.targetpages import PageFormat, TargetPage, decode_page

if TYPE_CHECKING:
    from collections.abc import Callable


B = TypeVar("B")

ROLLOUTS_PATH = "/rollouts"
# Long enough for a tag or a digest.
_MAX_VERSION_LENGTH = 128
# One week.
_MAX_DURATION_S = 604800.0


@dataclass(frozen=True)
class HeaderNames:
    """Define the header names of requests and responses, in lower case."""

    request: str = "x-request-id"
    deadline_ms: str = "x-deadline-ms"
    key: str = "x-workspace-key"
    workspace: str = "x-workspace"
    model: str = "x-model"
    tokens: str = "x-tokens"
    parts: str = "x-prompt-parts"
    output_estimate: str = "x-output-estimate"
    # The last event that the caller has of a stream.
    resume: str = "last-event-id"
    # The request that brought the first event of a stream which the caller resumes.
    resumed_request: str = "x-resumed-request"
    expected_target: str = "x-expected-target"
    not_run: str = "x-not-run"
    seal: str = "x-answer-seal"
    # Set in a response when the target accepts no new requests.
    leaving: str = LEAVING_HEADER
    # The target's limit of requests per second over all hosts, in a response.
    limit: str = LIMIT_HEADER
    # Instructions to targets; dropped from callers' requests.
    reserved: frozenset[str] = frozenset({"x-target-order"})


DEFAULT_PAGE = PageFormat(entries="targets", next_token="next", target="target")


def decode_default_configuration(data: bytes) -> Configuration:
    """Decode and check a configuration in the default format.

    Raises
    ------
    TroutstandError
        CONFIGURATION_INVALID if it cannot be decoded.
    ExceptionGroup
        Of TroutstandError, one for each invalid part of a decoded configuration.
    """
    configuration = decode_json(data, Configuration, ResultCode.CONFIGURATION_INVALID)
    check_configuration(configuration)
    return configuration


def decode_default_targets(data: bytes) -> TargetPage:
    """Decode a page of the list of targets in the default format."""
    return decode_page(data, DEFAULT_PAGE, ListedTarget, lambda target: target)


def get_default_targets_path(token: str | None) -> str:
    """Return the path of a page of the list of targets."""
    return "/targets" if token is None else f"/targets?page={quote(token)}"


class _RolloutBody(msgspec.Struct, forbid_unknown_fields=True):
    service: str
    version: str
    duration_s: float


def decode_rollout_body(data: bytes, kind: type[B]) -> B:
    """Decode an operator's rollout order of the given type.

    Raises
    ------
    TroutstandError
        FIELD_INVALID.
    """
    return decode_json(data, kind, ResultCode.FIELD_INVALID, "rollout")


def decode_default_rollout(data: bytes) -> RolloutRequest:
    """Decode and check an operator's rollout order in the default format.

    Raises
    ------
    TroutstandError
        FIELD_INVALID.
    """
    body = decode_rollout_body(data, _RolloutBody)
    return check_rollout(RolloutRequest(body.service, body.version, body.duration_s))


def check_rollout(order: RolloutRequest) -> RolloutRequest:
    """Return the order if its version and duration are valid.

    Raises
    ------
    TroutstandError
        FIELD_INVALID.
    """
    if not 0 < len(order.version) <= _MAX_VERSION_LENGTH:
        detail = (
            f"rollout: version {order.version!r} must have 1 to {_MAX_VERSION_LENGTH} characters"
        )
        raise TroutstandError(ResultCode.FIELD_INVALID, detail)
    if not 0.0 < order.duration_s <= _MAX_DURATION_S:
        detail = (
            f"rollout: duration {order.duration_s} s must be above 0 and up to {_MAX_DURATION_S}"
        )
        raise TroutstandError(ResultCode.FIELD_INVALID, detail)
    return order


def get_public_state(order: RolloutOrder) -> str:
    """Return an order's state for operators, who see `switching` as `in_progress`."""
    is_switching = order.state is RolloutState.switching
    return RolloutState.in_progress.value if is_switching else order.state.value


def encode_default_rollout(order: RolloutOrder) -> bytes:
    """Encode an order's progress in the default format."""
    body = {"state": get_public_state(order), "version": order.version, "detail": order.detail}
    return msgspec.json.encode(body)


@dataclass(frozen=True)
class Dialect:
    """Define the wire formats of one deployment."""

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
