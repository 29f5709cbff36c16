"""Parse the response headers in which a target reports its own state.

Each supported header has a field in `TargetNotice`. `core.selfreport` applies the rules.
"""

from __future__ import annotations

import math
import re
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from troutstand.core.retryafter import parse_retry_after
from troutstand.generated.messages import TargetNotice

if TYPE_CHECKING:
    from collections.abc import Callable

# Default header names, in lower case.
LEAVING_HEADER = "x-target-leaving"
LIMIT_HEADER = "x-target-limit"

_LEAVING_VALUE = "1"
_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+")


class NoticeHeaders(Protocol):
    """Names of the headers that carry target notices, in lower case."""

    @property
    def leaving(self) -> str:
        """Return the header by which a target announces that it accepts no new requests."""
        ...

    @property
    def limit(self) -> str:
        """Return the header that carries the rate limit, in requests per second."""
        ...

    @property
    def not_run(self) -> str:
        """Return the header that marks a request as not executed; may be empty."""
        ...


def parse_notice(
    status: int,
    get_header: Callable[[str], str | None],
    names: NoticeHeaders,
    target: str = "",
    born_ms: int = 0,
) -> TargetNotice:
    """Parse the notice headers of a target's answer.

    Parameters
    ----------
    born_ms
        Incarnation of the target that the request was sent to; 0 if unknown.
    """
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        # Another target has taken over the address; its headers don't apply to this one.
        return TargetNotice(target, born_ms)
    return TargetNotice(
        target,
        born_ms,
        is_leaving=(get_header(names.leaving) or "").strip() == _LEAVING_VALUE,
        rest_s=_parse_backoff(status, get_header, names.not_run),
        limit_per_s=_parse_limit(get_header(names.limit)),
    )


def _parse_backoff(status: int, get_header: Callable[[str], str | None], not_run: str) -> float:
    """Return the back-off that a 429 or 503 response requests, in seconds."""
    is_not_run = not not_run or get_header(not_run) is not None
    is_rejection = status == HTTPStatus.SERVICE_UNAVAILABLE or (
        status == HTTPStatus.TOO_MANY_REQUESTS and is_not_run
    )
    return parse_retry_after(get_header("retry-after")) if is_rejection else 0.0


def _parse_limit(text: str | None) -> float | None:
    """Return the rate limit in requests per second, or None if missing or malformed."""
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    limit_per_s = float(text)
    return limit_per_s if math.isfinite(limit_per_s) else None
