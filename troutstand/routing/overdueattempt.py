"""Keep an attempt whose response is overdue until another target takes its request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.generated.messages import Ending
from troutstand.routing.relay import SendError
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.generated.messages import Declined, Placed
    from troutstand.routing.relay import SentRequest

# A target that is silent this many times longer is probably frozen; its caller can come back.
_MAX_OVERDUE_FACTOR = 3.0


@dataclass(frozen=True)
class OverdueAttempt:
    """Hold an attempt in flight whose response can become overdue; times in seconds.

    Parameters
    ----------
    started_s
        Time when the attempt started, on the steady clock.
    timeout_s
        Time after which the response is overdue.
    """

    placed: Placed
    sending: asyncio.Task[SentRequest]
    started_s: float
    timeout_s: float

    @property
    def has_response(self) -> bool:
        """Return whether the response head has arrived."""
        return self.sending.done() and not self.sending.cancelled() and not self.sending.exception()

    async def wait_until_overdue(self) -> SentRequest | None:
        """Return the request with its response head, or None if the response is overdue."""
        return await self._wait_until(self.started_s + self.timeout_s)

    async def receive(self) -> SentRequest:
        """Return the request with its response head.

        Raises
        ------
        SendError
            If the attempt failed or its response is overdue for too long.
        """
        sent = await self._wait_until(self.started_s + _MAX_OVERDUE_FACTOR * self.timeout_s)
        if sent is not None:
            return sent
        self.abort()
        raise SendError(Ending.silent, "the target sent no response, and no other was found")

    async def _wait_until(self, end_s: float) -> SentRequest | None:
        timeout_s = max(0.0, end_s - read_clock_s())
        try:
            await asyncio.wait({self.sending}, timeout=timeout_s)
        except asyncio.CancelledError:
            self.abort()
            raise
        return await self.sending if self.sending.done() else None

    async def wait_for_either(self, placing: asyncio.Task[Placed | Declined]) -> None:
        """Wait until the response head has arrived or another placement is decided."""
        await asyncio.wait({placing, self.sending}, return_when=asyncio.FIRST_COMPLETED)
        if not self.has_response:
            await asyncio.wait({placing})

    def abort(self) -> None:
        """Close the connection, so that the target stops the request."""
        if self.has_response:
            self.sending.result().connection.abort()
        self.sending.cancel()
