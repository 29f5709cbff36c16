"""Read what a target's answer says of the target itself."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from troutstand.core.retryafter import read_retry_after

if TYPE_CHECKING:
    from troutstand.routing.dialect import HeaderNames
    from troutstand.routing.exchange import AnswerHead

_LEAVING = "1"


@dataclass(frozen=True)
class AnswerNotice:
    """Tell what an answer says of its target.

    Parameters
    ----------
    rest_s
        How long the target wants no request from this host, in seconds; 0 is not asked.
    is_leaving
        Whether the target takes no new work for the rest of its life.
    """

    rest_s: float = 0.0
    is_leaving: bool = False


def read_notice(head: AnswerHead, names: HeaderNames) -> AnswerNotice:
    """Read the headers in which a target speaks of itself."""
    is_leaving = (head.get(names.leaving) or "").strip() == _LEAVING
    return AnswerNotice(_read_rest(head, names), is_leaving)


def _read_rest(head: AnswerHead, names: HeaderNames) -> float:
    """Return the seconds of rest that a refusal asks for."""
    is_not_run = head.get(names.not_run) is not None
    is_refusal = head.status == HTTPStatus.SERVICE_UNAVAILABLE or (
        head.status == HTTPStatus.TOO_MANY_REQUESTS and is_not_run
    )
    return read_retry_after(head.get("retry-after")) if is_refusal else 0.0
