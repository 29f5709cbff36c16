"""Run a target that answers twice, late, in part or without an id, and count what it runs."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.testing.scriptedtarget import reset_connection

if TYPE_CHECKING:
    from collections.abc import Sequence

_HEAD_END = b"\r\n\r\n"
# More than a response head or body of a test, and little enough to be sent at once.
_ENDLESS_BYTES = 100_000
# Long, so that an answer that is cut anywhere is often cut within a header's value.
_SERVER = "Server: a-target-that-runs-on-loopback-in-tests\r\n"


class Outcome(Enum):
    """Name what the target does with a request; the value is the status line."""

    RUNS = "200 OK"
    FAILS = "500 Fault"
    FULL = "503 Full"
    MISDIRECTED = "421 Misdirected"
    # Runs it, and resets the connection without a byte.
    VANISHES = ""


class Extra(Enum):
    """Name what is sent besides the answer."""

    NONE = "nothing"
    AT_ONCE = "a copy at once"
    LATE = "a copy before the next answer"
    PART = "a part of a copy before the next answer"
    ENDLESS = "bytes without an end"
    CUT = "half of the answer, then the end"


@dataclass(frozen=True)
class Step:
    """Describe what the target does with one request that arrives.

    Parameters
    ----------
    has_id
        Whether the answer carries the id of its request.
    part
        The share of the answer's bytes in a copy in part.
    surplus
        Bytes in front of the next answer on the connection, beside those of `extra`.
    """

    outcome: Outcome
    extra: Extra = Extra.NONE
    has_id: bool = True
    part: float = 0.5
    surplus: bytes = b""


@dataclass
class FaultyTarget:
    """Take the steps in order for the requests that arrive; run all others soundly."""

    steps: Sequence[Step]
    # How often each request has run, by its id.
    runs: Counter[str] = field(default_factory=Counter)
    # The connection of each request that arrived.
    arrivals: list[tuple[str, int]] = field(default_factory=list)
    # Answers that were made for each request, as status, seal and body.
    made: dict[str, set[tuple[int, str, bytes]]] = field(default_factory=dict)
    address: str = ""
    _connections: int = 0
    _server: asyncio.Server | None = None
    _serving: dict[asyncio.Task[None], asyncio.StreamWriter] = field(default_factory=dict)

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server:
            self._server.close()
        for writer in self._serving.values():
            writer.transport.abort()
        await asyncio.gather(*self._serving)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._serving[task] = writer
        connection = self._connections
        late = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(_HEAD_END)).decode("latin-1")
                answered = self._answer(head, connection, writer, late)
                if answered is None:
                    break
                late = answered
                await writer.drain()
        writer.close()

    def _answer(
        self, head: str, connection: int, writer: asyncio.StreamWriter, late: bytes
    ) -> bytes | None:
        """Answer a request; return the surplus bytes that are due, or None at the end."""
        request = _find_id(head)
        number = len(self.arrivals)
        step = self.steps[number] if number < len(self.steps) else Step(Outcome.RUNS)
        self.arrivals.append((request, connection))
        if step.outcome not in (Outcome.FULL, Outcome.MISDIRECTED):
            self.runs[request] += 1
        if step.outcome is Outcome.VANISHES:
            reset_connection(writer)
            return None
        answer = self._make_answer(request, number, step)
        if step.extra is Extra.CUT:
            writer.write(late + answer[: len(answer) // 2])
            return None
        writer.write(late + answer)
        match step.extra:
            case Extra.AT_ONCE:
                writer.write(answer)
            case Extra.ENDLESS:
                writer.write(b"x" * _ENDLESS_BYTES)
            case Extra.LATE:
                return answer
            case Extra.PART:
                return answer[: int(len(answer) * step.part)]
            case _:
                pass
        return step.surplus

    def _make_answer(self, request: str, number: int, step: Step) -> bytes:
        body = f"{request} run {number}".encode()
        status = step.outcome.value
        self.made.setdefault(request, set()).add((int(status.split()[0]), str(number), body))
        was_run = step.outcome in (Outcome.RUNS, Outcome.FAILS)
        mark = f"X-Answer-Seal: {number}\r\n" if was_run else "X-Not-Run: 1\r\n"
        echo = f"X-Request-Id: {request}\r\n" if step.has_id else ""
        length = f"Content-Length: {len(body)}\r\n"
        return f"HTTP/1.1 {status}\r\n{mark}{length}{_SERVER}{echo}\r\n".encode() + body


def _find_id(head: str) -> str:
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "x-request-id":
            return value.strip()
    return ""
