"""Respond with event streams that are silent after their first event and then go on."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.testing.standins import make_body, make_event

if TYPE_CHECKING:
    from troutstand.testing.partition import GatedWriter
    from troutstand.testing.standins import Head

EVENT_COUNT = 4
# Silence of a target that never goes on.
FOREVER_S = 60.0
_EVENT_DELAY_S = 0.02


@dataclass
class SilentStreams:
    """Write the responses of targets; the responses to first attempts are silent for a while.

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
    # Requests whose response was cut by the gateway, with the target.
    cut: list[tuple[str, str]] = field(default_factory=list)
    # Streams that targets were asked to resume.
    resumed: list[str] = field(default_factory=list)
    # Responses whose first event was written.
    started_count: int = 0

    async def answer(self, target: str, head: Head, writer: GatedWriter) -> bool:
        """Write one response and return whether the connection stays open."""
        request = head.headers["x-request-id"]
        after = int(head.headers.get("last-event-id") or 0)
        if after:
            self.resumed.append(request)
        is_silent = self.silent_targets is None or target in self.silent_targets
        try:
            if is_silent and not after:
                await asyncio.sleep(self.before_head_s)
            writer.write(_make_head(target, request))
            for number in range(after + 1, EVENT_COUNT + 1):
                await _write_event(writer, make_event(request, number))
                self.started_count += number == after + 1
                if is_silent and number == 1:
                    await asyncio.sleep(self.silence_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except (ConnectionError, OSError):
            self.cut.append((request, target))
            return False
        return True


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


def _make_head(target: str, request: str) -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {request}",
        f"X-Answer-Seal: {target}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def _write_event(writer: GatedWriter, event: bytes) -> None:
    writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
    await writer.drain()
    await asyncio.sleep(_EVENT_DELAY_S)
