"""Respond with event streams that are silent after their first event and then go on."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.testing.standins import make_body, make_event

if TYPE_CHECKING:
    from troutstand.testing.partition import GatedWriter
    from troutstand.testing.standins import Head

EVENT_COUNT = 4
# Silence of a target that never goes on.
FOREVER_S = 60.0
_EVENT_DELAY_S = 0.02
_POLL_S = 0.01


class OtherAttempt(Enum):
    """Name what a target does with a request that resumes a stream."""

    ANSWERS = "answer"
    REJECTS = "are rejected"
    FAILS = "get a server error"
    BREAKS = "break before their head"
    BREAKS_AFTER_HEAD = "break after their head"
    IS_SILENT = "are silent after their head"


@dataclass
class SilentStreams:
    """Write the responses of targets; those to first attempts are silent for a while.

    Parameters
    ----------
    silence_s
        Silence of a target after the first event of a stream, in seconds.
    before_head_s
        Silence before the head of a response, in seconds.
    silent_targets
        Names of the targets that fall silent; None for all.
    """

    silence_s: float
    before_head_s: float = 0.0
    silent_targets: frozenset[str] | None = None
    other_attempts: OtherAttempt = OtherAttempt.ANSWERS
    # Seconds between the head and the first event of a resumed stream.
    resumed_delay_s: float = 0.0
    # When the gateway closed the connection of a first attempt, on the steady clock.
    closed_s: dict[str, float] = field(default_factory=dict)
    # When a target sent the first event of a resumed stream.
    resumed_s: dict[str, float] = field(default_factory=dict)
    # Responses whose first event was written.
    started_count: int = 0

    async def answer(self, target: str, head: Head, writer: GatedWriter) -> bool:
        """Write one response and return whether the connection stays open."""
        request = head.headers["x-request-id"]
        after = int(head.headers.get("last-event-id") or 0)
        if after:
            return await self._answer_other(target, request, after, writer)
        is_silent = self.silent_targets is None or target in self.silent_targets
        if is_silent:
            await asyncio.sleep(self.before_head_s)
        writer.write(_make_head(target, request))
        await _write_event(writer, make_event(request, 1))
        self.started_count += 1
        if is_silent and not await self._wait(request, writer):
            return False
        return await _write_events(writer, request, 1)

    async def _wait(self, request: str, writer: GatedWriter) -> bool:
        """Be silent; return whether the connection is still open after it."""
        end_s = time.monotonic() + self.silence_s
        while time.monotonic() < end_s:
            if writer.is_left:
                self.closed_s[request] = time.monotonic()
                return False
            await asyncio.sleep(_POLL_S)
        return True

    async def _answer_other(
        self, target: str, request: str, after: int, writer: GatedWriter
    ) -> bool:
        match self.other_attempts:
            case OtherAttempt.REJECTS:
                writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                return True
            case OtherAttempt.FAILS:
                writer.write(_make_head(target, request, "500 Fault") + b"0\r\n\r\n")
                return True
            case OtherAttempt.BREAKS:
                return False
            case OtherAttempt.BREAKS_AFTER_HEAD:
                writer.write(_make_head(target, request))
                await writer.drain()
                return False
            case OtherAttempt.IS_SILENT:
                writer.write(_make_head(target, request))
                await self._wait(f"{request} resumed", writer)
                return False
            case OtherAttempt.ANSWERS:
                writer.write(_make_head(target, request))
                await asyncio.sleep(self.resumed_delay_s)
                self.resumed_s[request] = time.monotonic()
                return await _write_events(writer, request, after)


@dataclass
class SilentBodies:
    """Write responses with a length that are silent within their body, in seconds."""

    silence_s: float

    async def answer(self, target: str, head: Head, writer: GatedWriter) -> bool:
        """Write one response and return whether the connection stays open."""
        request = head.headers["x-request-id"]
        body = make_body(request, b"x")
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request}",
            f"X-Answer-Seal: {target}",
            f"Content-Length: {len(body)}",
        ]
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + body[:3])
            await writer.drain()
            await asyncio.sleep(self.silence_s)
            writer.write(body[3:])
            await writer.drain()
        except OSError:
            return False
        return True


def make_events(request: str) -> bytes:
    """Return the expected events of a request's stream."""
    return b"".join(make_event(request, number) for number in range(1, EVENT_COUNT + 1))


def _make_head(target: str, request: str, status: str = "200 OK") -> bytes:
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {request}",
        f"X-Answer-Seal: {target}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def _write_events(writer: GatedWriter, request: str, after: int) -> bool:
    """Write the events after a number and the end; return whether the connection stays open."""
    for number in range(after + 1, EVENT_COUNT + 1):
        await _write_event(writer, make_event(request, number))
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def _write_event(writer: GatedWriter, event: bytes) -> None:
    writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
    await writer.drain()
    await asyncio.sleep(_EVENT_DELAY_S)
