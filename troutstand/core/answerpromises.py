"""Tell what a target's answer promises, and so what a gateway may make of it."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus

_FIRST_FINAL = 200
_FIRST_SERVER_ERROR = 500
_LAST_STATUS = 599
# Statuses by which a caller learns that its request has not run and never will.
_NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class AnswerKind(Enum):
    """Enumerate what an answer tells of its request.

    NOT_RUN
        The target did not run the request, which may go to another target.
    ANSWERED
        The request ran; the answer is the caller's.
    FAILED
        The request ran and failed; it may run again elsewhere, else the answer is the caller's.
    FALSE_PROMISE
        The request ran, but the answer's status would tell the caller that it has not.
    INVALID
        The status is none of a final response; the request may have run.
    """

    NOT_RUN = "not_run"
    ANSWERED = "answered"
    FAILED = "failed"
    FALSE_PROMISE = "false_promise"
    INVALID = "invalid"


def is_final_status(status: int) -> bool:
    """Return whether a number is the status of a final response."""
    return _FIRST_FINAL <= status <= _LAST_STATUS


def classify_answer(status: int, is_marked_not_run: bool, is_repeatable: bool) -> AnswerKind:
    """Return what an answer to a request tells.

    Parameters
    ----------
    is_marked_not_run
        Whether the target says that it did not run the request.
    is_repeatable
        Whether the request may run more than once, so that its caller need not rely on the
        promise of a status.
    """
    if not is_final_status(status):
        return AnswerKind.INVALID
    if is_marked_not_run or status == HTTPStatus.MISDIRECTED_REQUEST:
        return AnswerKind.NOT_RUN
    if status in _NOT_RUN_STATUSES and not is_repeatable:
        return AnswerKind.FALSE_PROMISE
    return AnswerKind.FAILED if status >= _FIRST_SERVER_ERROR else AnswerKind.ANSWERED
