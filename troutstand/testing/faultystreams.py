"""Respond with event streams that are cut off or resumed incorrectly."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.testing.standins import make_event

if TYPE_CHECKING:
    from troutstand.testing.partition import GatedWriter
    from troutstand.testing.standins import Head

EVENT_COUNT = 4
# The bytes of the incomplete event at the end of a stream that was cut off.
PARTIAL_EVENT = b"id: 9"
_PAUSE_S = 0.9
_CHUNK_DELAY_S = 0.03
_EVENTS_TYPE = "text/event-stream"
_CHUNKED = "Transfer-Encoding: chunked"


class StreamFault(Enum):
    """Name the fault of a site's event streams."""

    CUT_ONCE = "break off once"
    PAUSE = "pause for 0.9 s"
    START_AGAIN = "begin from the first event when asked to go on"
    NO_IDS = "number no events and break off once"
    ENDS_WITHIN_EVENT = "end without a length within an event"
    EMPTY_NEXT = "break off once and go on with 204 of the same type"
    OTHER_CASE = "break off once and go on with the type in capitals"


class FaultyStreams:
    """Write the responses of a site's targets; some faults affect only the first."""

    def __init__(self, fault: StreamFault) -> None:
        self._fault = fault
        self._response_count = 0

    async def answer(self, target: str, head: Head, writer: GatedWriter) -> bool:
        """Write one response and return whether the connection stays open."""
        self._response_count += 1
        is_first = self._response_count == 1
        request = head.headers["x-request-id"]
        events = self._make_events(request, head, is_first)
        match self._fault:
            case StreamFault.ENDS_WITHIN_EVENT:
                self._write_head(writer, target, request, framing="")
                writer.write(events[0] + PARTIAL_EVENT)
                await writer.drain()
                return False
            case StreamFault.EMPTY_NEXT if not is_first:
                self._write_head(writer, target, request, "204 No Content", framing="")
                await writer.drain()
                return True
            case StreamFault.OTHER_CASE if not is_first:
                self._write_head(writer, target, request, content_type="Text/Event-Stream")
            case _:
                self._write_head(writer, target, request)
        await _write_chunk(writer, events[0])
        if self._fault is StreamFault.PAUSE:
            await asyncio.sleep(_PAUSE_S)
        elif is_first:
            await _write_chunk(writer, PARTIAL_EVENT)
            return False
        await _write_chunk(writer, b"".join(events[1:]))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _make_events(self, request: str, head: Head, is_first: bool) -> list[bytes]:
        last_event = int(head.headers.get("last-event-id") or 0)
        after = 0 if self._fault is StreamFault.START_AGAIN else last_event
        events = [make_event(request, number) for number in range(after + 1, EVENT_COUNT + 1)]
        if self._fault is StreamFault.NO_IDS:
            return [event.partition(b"\n")[2] for event in events]
        return events

    def _write_head(
        self,
        writer: GatedWriter,
        target: str,
        request: str,
        status: str = "200 OK",
        content_type: str = _EVENTS_TYPE,
        framing: str = _CHUNKED,
    ) -> None:
        lines = [
            f"HTTP/1.1 {status}",
            f"X-Request-Id: {request}",
            f"X-Answer-Seal: {target}",
            f"Content-Type: {content_type}",
        ]
        if framing:
            lines.append(framing)
        writer.write("\r\n".join([*lines, "", ""]).encode())


async def _write_chunk(writer: GatedWriter, data: bytes) -> None:
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
    await writer.drain()
    await asyncio.sleep(_CHUNK_DELAY_S)
