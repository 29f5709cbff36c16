"""Write a streamed response to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from troutstand.util.clock import read_clock_s
from troutstand.util.listening import abort_response

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from troutstand.routing.eventstreams import EventSplitter
    from troutstand.routing.relay import SentRequest


class CallerResponse:
    """Write a response in chunks.

    Parameters
    ----------
    request
        The caller's request.
    splitter
        Splits the events of a stream that may be resumed; None for any other response.
    """

    def __init__(self, request: web.BaseRequest, splitter: EventSplitter | None) -> None:
        self.splitter = splitter
        self._request = request
        self._response: web.StreamResponse | None = None
        self._started_s = 0.0

    @property
    def has_started(self) -> bool:
        """Return whether the head was written, so that only the body may follow."""
        return self._response is not None

    @property
    def started_s(self) -> float | None:
        """Return when the head was written, in seconds on the steady clock, or None."""
        return self._started_s if self.has_started else None

    @property
    def response(self) -> web.StreamResponse:
        """Return the response, which must have been started."""
        assert self._response is not None
        return self._response

    @property
    def last_id(self) -> str:
        """Return the id of the last event that the caller has; empty without one."""
        return self.splitter.last_id if self.splitter is not None else ""

    @property
    def can_resume(self) -> bool:
        """Return whether another target can continue the response.

        A started response can only be resumed after an event with a known id; otherwise
        events would be repeated.
        """
        if not self.has_started:
            return True
        return self.splitter is not None and self.splitter.can_resume and bool(self.last_id)

    def is_continued_by(self, sent: SentRequest) -> bool:
        """Return whether a target's response can continue this one."""
        return sent.is_stream and sent.head.status == self.response.status

    async def start(self, status: int, headers: CIMultiDict[str], closes_connection: bool) -> None:
        """Write the head.

        Parameters
        ----------
        closes_connection
            Whether the connection is closed after this response.
        """
        assert self._response is None, "the response was already started"
        response = web.StreamResponse(status=status, headers=headers)
        response.enable_chunked_encoding()
        if closes_connection:
            response.force_close()
        await response.prepare(self._request)
        self._response = response
        self._started_s = read_clock_s()

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body."""
        await self.response.write(data)

    async def complete(self) -> None:
        """Write the end of the body, which marks the response as complete."""
        await self.response.write_eof()

    def abort(self) -> web.StreamResponse:
        """Close the connection without the end of the body, so that the caller sees an error."""
        abort_response(self._request)
        return self.response
