"""Write one answer to a caller: one head, the body behind it, and one end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.util.clock import read_clock_s
from troutstand.util.listening import abort_response

if TYPE_CHECKING:
    from multidict import CIMultiDict


class CallerResponse:
    """Write an answer piece by piece.

    Parameters
    ----------
    request
        The caller's request.
    """

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None
        self._begun_s = 0.0

    @property
    def has_started(self) -> bool:
        """Tell whether the caller got the head, so that only its body may follow."""
        return self._response is not None

    @property
    def started_s(self) -> float | None:
        """Return when the head was written, in seconds on the steady clock."""
        return self._begun_s if self.has_started else None

    @property
    def response(self) -> web.StreamResponse:
        """Return the answer that has begun."""
        assert self._response is not None
        return self._response

    async def start(self, status: int, headers: CIMultiDict[str], closes_connection: bool) -> None:
        """Write the head.

        Parameters
        ----------
        is_last
            Whether the connection is closed behind this answer.
        """
        assert self._response is None, "an answer has one head"
        response = web.StreamResponse(status=status, headers=headers)
        response.enable_chunked_encoding()
        if closes_connection:
            response.force_close()
        await response.prepare(self._request)
        self._response = response
        self._begun_s = read_clock_s()

    async def write(self, data: bytes) -> None:
        """Write a piece of the body."""
        await self.response.write(data)

    async def complete(self) -> None:
        """Write the end, from which the caller takes the answer to be whole."""
        await self.response.write_eof()

    def abort(self) -> web.StreamResponse:
        """Close the connection without the end, so that the caller sees the break."""
        abort_response(self._request)
        return self.response
