"""Convert errors into responses to callers, in the OpenAI error format."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from troutstand.core.codes import Run, describe_code

if TYPE_CHECKING:
    from troutstand.core.errors import TroutstandError

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
_ERROR_TYPES = {400: "invalid_request_error", 401: "authentication_error", 403: "permission_error"}


class ErrorBody(msgspec.Struct, frozen=True):
    """Describe one error."""

    message: str
    type: str
    code: str
    number: int
    run: str
    param: str | None = None
    retry_after_s: float | None = None


class ErrorEnvelope(msgspec.Struct, frozen=True):
    """Wrap an error in the shape that OpenAI client libraries expect."""

    error: ErrorBody


def encode_error(error: TroutstandError) -> bytes:
    """Encode an error as JSON."""
    status = describe_code(error.code).http_status
    body = ErrorBody(
        message=error.detail,
        type=_ERROR_TYPES.get(status, "server_error"),
        code=error.code.name.lower(),
        number=error.code.value,
        run=error.run.value,
        retry_after_s=error.retry_after_s,
    )
    return msgspec.json.encode(ErrorEnvelope(body))


def make_error_response(error: TroutstandError, key: str = "") -> web.Response:
    """Return the response to an error, with its Retry-After time if known."""
    headers = {"X-Run": error.run.value}
    if key:
        headers[IDEMPOTENCY_KEY_HEADER] = key
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    if error.run is Run.UNKNOWN and error.retry_after_s is None:
        # Client libraries retry a 409 by default, but this outcome is final.
        headers["X-Should-Retry"] = "false"
    return web.Response(
        status=describe_code(error.code).http_status,
        body=encode_error(error),
        content_type="application/json",
        headers=headers,
    )
