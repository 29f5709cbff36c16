"""Hold one attempt of a request at a target."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.generated.messages import Ending
from troutstand.routing.eventstreams import EventBoundaryTracker
from troutstand.routing.httpclient import ExchangeError
from troutstand.routing.relay import SendError
from troutstand.util.clock import SuspendWatch, read_clock_s

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from troutstand.generated.messages import Placed
    from troutstand.routing.relay import SentRequest


@dataclass(eq=False)
class Attempt:
    """Hold an attempt in flight and what has come of its response; times in seconds."""

    placed: Placed
    # Time after which a target that has sent no head counts as silent.
    timeout_s: float
    started_s: float = field(default_factory=read_clock_s)
    # Since when data of the target is awaited, on the steady clock.
    waiting_since_s: float = field(default_factory=read_clock_s)
    # Whether the target may have received the request.
    was_written: bool = False
    sent: SentRequest | None = None
    # Data that was received and is not relayed yet.
    chunk: bytes | None = None
    has_chunk: bool = False
    # Time to the first byte of the response; negative if unknown.
    first_byte_s: float = -1.0
    has_data: bool = False
    event_count: int = 0
    longest_pause_s: float = 0.0
    # Whether the target has sent nothing for so long that other attempts may be started.
    is_silent: bool = False
    # Resolved if the path to the target is found cut.
    path_lost: asyncio.Future[None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    boundary: EventBoundaryTracker = field(default_factory=EventBoundaryTracker)
    suspend_watch: SuspendWatch = field(default_factory=SuspendWatch)
    # Ends when there is something to relay, or with the error of the attempt.
    progress: asyncio.Task[None] = field(init=False)

    def start(self, begin: Coroutine[None, None, None]) -> None:
        """Start to send the request and to receive its response."""
        self.progress = asyncio.create_task(begin)

    def start_listening(self) -> None:
        """Receive the next data of a started response without a timeout."""
        self.progress = asyncio.create_task(self.receive())

    async def receive(self) -> None:
        """Receive the next data of the response into `chunk`, None at its end.

        Raises
        ------
        SendError
            If the response is incomplete.
        """
        assert self.sent is not None
        if self.has_chunk:
            return
        try:
            self.chunk = await self.sent.connection.receive_chunk()
        except ExchangeError as error:
            self.sent.connection.abort()
            raise SendError(Ending.broken, str(error)) from error
        self.has_chunk = True
        if self.has_data:
            self.longest_pause_s = max(self.longest_pause_s, self.measure_silence_s())

    def take_chunk(self) -> bytes | None:
        """Return the received data, None at the end of the response."""
        chunk, self.chunk, self.has_chunk = self.chunk, None, False
        return chunk

    def get_error(self) -> SendError | None:
        """Return the error with which the attempt ended, or None.

        Raises
        ------
        BaseException
            If it ended with an unexpected error.
        """
        error = self.progress.exception()
        if error is not None and not isinstance(error, SendError):
            raise error
        return error

    def record_path_lost(self) -> None:
        """Record that the path to the target was found cut."""
        if not self.path_lost.done():
            self.path_lost.set_result(None)

    def record_written(self) -> None:
        """Record that the request is written."""
        self.was_written = True

    def measure_silence_s(self) -> float:
        """Return the seconds for which data of the target has been awaited."""
        return read_clock_s() - self.waiting_since_s

    def drop(self) -> None:
        """Close the connection, so that the target stops the request."""
        if self.sent is not None:
            self.sent.connection.abort()
        if not self.progress.done():
            self.progress.cancel()
        elif not self.progress.cancelled():
            # An error is of no interest any more.
            self.progress.exception()
