"""Convert errors into HTTP responses to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.core.codes import describe_code

if TYPE_CHECKING:
    from troutstand.core.errors import TroutstandError


def make_error_response(error: TroutstandError) -> web.Response:
    """Return a response with the error's code, whether the request ran, and when to retry."""
    description = describe_code(error.code)
    body = {"code": int(error.code), "error": error.detail, "run": error.run.value}
    response = web.json_response(body, status=description.http_status)
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = f"{error.retry_after_s:.3f}"
    return response
