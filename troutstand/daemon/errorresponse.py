"""Tell callers why a request was refused, in the OpenAI error envelope."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from troutstand.core.codes import Run, describe_code

if TYPE_CHECKING:
    from troutstand.core.errors import TroutstandError

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
_TYPES = {400: "invalid_request_error", 401: "authentication_error", 403: "permission_error"}


class ErrorBody(msgspec.Struct, frozen=True):
    """Carry one refusal."""

    message: str
    type: str
    code: str
    number: int
    run: str
    param: str | None = None
    retry_after_s: float | None = None


class ErrorEnvelope(msgspec.Struct, frozen=True):
    """Wrap a refusal as OpenAI client libraries expect it."""

    error: ErrorBody


def encode_error(error: TroutstandError) -> bytes:
    """Encode a refusal."""
    status = describe_code(error.code).http_status
    body = ErrorBody(
        message=error.detail,
        type=_TYPES.get(status, "server_error"),
        code=error.code.name.lower(),
        number=error.code.value,
        run=error.run.value,
        retry_after_s=error.retry_after_s,
    )
    return msgspec.json.encode(ErrorEnvelope(body))


def make_error_response(error: TroutstandError, key: str = "") -> web.Response:
    """Make the response of a refusal, with when to come back."""
    headers = {"X-Run": error.run.value}
    if key:
        headers[IDEMPOTENCY_KEY_HEADER] = key
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    if error.run is Run.UNKNOWN and error.retry_after_s is None:
        # Client libraries repeat a 409 by themselves; this one is final.
        headers["X-Should-Retry"] = "false"
    return web.Response(
        status=describe_code(error.code).http_status,
        body=encode_error(error),
        content_type="application/json",
        headers=headers,
    )
