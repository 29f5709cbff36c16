"""Carry a numbered result as an exception."""

from __future__ import annotations

from troutstand.core.codes import ResultCode, Run, describe_code


class TroutstandError(Exception):
    """Report a failure with its result code.

    Parameters
    ----------
    code
        The number that callers and operators see.
    detail
        The bad value and what is accepted.
    run
        Whether the request was run, where that is known.
    retry_after_s
        When to come back; None where coming back is of no use.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str = "",
        run: Run = Run.NO,
        retry_after_s: float | None = None,
    ) -> None:
        text = describe_code(code).text
        super().__init__(f"{code.value} {code.name}: {detail or text}")
        self.code = code
        self.detail = detail or text
        self.run = run
        self.retry_after_s = retry_after_s


def flatten_group(error: BaseException) -> list[BaseException]:
    """List the single errors of an exception group, however nested."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    found: list[BaseException] = []
    for inner in error.exceptions:
        found.extend(flatten_group(inner))
    return found
