"""Define the exception that carries a result code."""

from __future__ import annotations

from troutstand.core.codes import ResultCode, Run, describe_code


class TroutstandError(Exception):
    """Report a failure with its result code.

    Parameters
    ----------
    code
        The result code reported to callers and operators.
    detail
        The invalid value and what is accepted; the text of the code if empty.
    run
        Whether the request was run.
    retry_after_s
        Seconds after which to retry; None if a retry is useless.
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
    """List the leaf exceptions of a nested exception group."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    leaves: list[BaseException] = []
    for nested in error.exceptions:
        leaves.extend(flatten_group(nested))
    return leaves
