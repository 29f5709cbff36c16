"""Read what a target's answer says of the target itself.

A `TargetNotice` is all that a target may say of itself. What another header is to mean has
a field there, is read here, and is kept to in `core.selfreport`.
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

# The product's own names, in lower case.
LEAVING_HEADER = "x-target-leaving"
LIMIT_HEADER = "x-target-limit"

_LEAVING = "1"
_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+")


class NoticeHeaders(Protocol):
    """Name the headers in which a target speaks of itself, in lower case."""

    @property
    def leaving(self) -> str:
        """Name the header that says that the target takes no new work."""
        ...

    @property
    def limit(self) -> str:
        """Name the header that says how many requests a second the target takes."""
        ...

    @property
    def not_run(self) -> str:
        """Name the header that says that the target did not run the request; may be empty."""
        ...


def parse_notice(
    status: int,
    get_header: Callable[[str], str | None],
    names: NoticeHeaders,
    target: str = "",
    born_ms: int = 0,
) -> TargetNotice:
    """Read the headers of an answer in which its target speaks of itself.

    Parameters
    ----------
    born_ms
        Which life of the target was asked, where that is known.
    """
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        # Another target has the address now, and speaks of itself.
        return TargetNotice(target, born_ms)
    return TargetNotice(
        target,
        born_ms,
        is_leaving=(get_header(names.leaving) or "").strip() == _LEAVING,
        rest_s=_read_rest(status, get_header, names.not_run),
        limit_per_s=_read_limit(get_header(names.limit)),
    )


def _read_rest(status: int, get_header: Callable[[str], str | None], not_run: str) -> float:
    """Return the seconds of rest that a refusal asks for."""
    is_not_run = not not_run or get_header(not_run) is not None
    is_refusal = status == HTTPStatus.SERVICE_UNAVAILABLE or (
        status == HTTPStatus.TOO_MANY_REQUESTS and is_not_run
    )
    return parse_retry_after(get_header("retry-after")) if is_refusal else 0.0


def _read_limit(text: str | None) -> float | None:
    """Return how many requests a second are taken; what cannot be read says nothing."""
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    limit_per_s = float(text)
    return limit_per_s if math.isfinite(limit_per_s) else None
