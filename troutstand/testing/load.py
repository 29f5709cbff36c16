"""Send requests to a site's entry processes and check every response."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from troutstand.daemon.errorresponse import ErrorBody, ErrorEnvelope
from troutstand.testing.site import MODEL, SERVICE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from troutstand.generated.settings import Address
    from troutstand.testing.mixes import DrawnRequest

_OK = 200
_DONE = b"data: [DONE]"
_DATA = b"data: "
_TIMEOUT_S = 60.0
_RETRY_DELAY_S = 0.2


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    error: ErrorBody | None = None


class ChatCallMessage(msgspec.Struct):
    """Encode one chat message."""

    role: str
    content: str


class ChatCall(msgspec.Struct):
    """Encode a chat completion request."""

    model: str
    messages: list[ChatCallMessage]
    max_tokens: int
    stream: bool = True


@dataclass
class Result:
    """Record how one request ended for its caller.

    `is_complete` means that the stream ended regularly, `is_correct` that its text also matches
    the request.
    """

    drawn: DrawnRequest
    sent_s: float
    first_token_s: float | None = None
    longest_gap_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    refusal: ErrorBody | None = None
    is_complete: bool = False
    is_correct: bool = False
    connection_error: str = ""
    attempts: int = 1


def make_expected_answer(drawn: DrawnRequest) -> str:
    """Return the text that the simulated engine generates for a request."""
    return "".join(f"{drawn.nonce}-{number} " for number in range(drawn.answer_tokens))


@dataclass
class LoadGenerator:
    """Send requests at their times to the entry processes, round robin.

    Parameters
    ----------
    max_resends
        How often a command, or a request whose connection failed, is retried
        with the same idempotency key at the next entry process.
    """

    entries: Sequence[Address]
    max_resends: int = 0
    results: list[Result] = field(default_factory=list)
    _round_robin: itertools.count[int] = field(default_factory=itertools.count)

    async def run(self, drawn: list[DrawnRequest]) -> list[Result]:
        """Send all requests and return their results."""
        start_s = time.monotonic()
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            tasks: list[asyncio.Task[Result]] = []
            for item in drawn:
                await asyncio.sleep(max(0.0, start_s + item.at_s - time.monotonic()))
                tasks.append(asyncio.create_task(self._send(session, item)))
            return list(await asyncio.gather(*tasks))

    def _next_url(self) -> str:
        entry = self.entries[next(self._round_robin) % len(self.entries)]
        return f"http://{entry.ip}:{entry.port}"

    async def _send(self, session: aiohttp.ClientSession, drawn: DrawnRequest) -> Result:
        result = Result(drawn, time.monotonic())
        while True:
            result.connection_error, result.refusal = "", None
            try:
                if drawn.is_command:
                    await self._send_command(session, result)
                else:
                    await self._send_chat(session, result)
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                result.connection_error = type(error).__name__
            if not self._should_retry(result):
                break
            result.attempts += 1
            await asyncio.sleep(_RETRY_DELAY_S)
        result.ended_s = time.monotonic()
        self.results.append(result)
        return result

    def _should_retry(self, result: Result) -> bool:
        if result.is_complete or result.attempts > self.max_resends:
            return False
        refusal = result.refusal
        return bool(result.connection_error) or (
            refusal is not None and refusal.retry_after_s is not None
        )

    async def _send_chat(self, session: aiohttp.ClientSession, result: Result) -> None:
        drawn = result.drawn
        message = ChatCallMessage("user", drawn.prompt)
        body = msgspec.json.encode(ChatCall(MODEL, [message], drawn.answer_tokens))
        headers = {"Authorization": f"Bearer token-{drawn.workspace}"}
        if self.max_resends:
            headers["Idempotency-Key"] = f"chat-{drawn.nonce}"
        url = self._next_url() + "/v1/chat/completions"
        async with session.post(url, data=body, headers=headers) as response:
            result.status = response.status
            if response.status != _OK:
                data = await response.read()
                result.refusal = msgspec.json.decode(data, type=ErrorEnvelope).error
                return
            await self._read_stream(response, result)

    async def _read_stream(self, response: aiohttp.ClientResponse, result: Result) -> None:
        text: list[str] = []
        last_s = time.monotonic()
        done = False
        async for line in response.content:
            if not line.startswith(_DATA):
                continue
            if line.startswith(_DONE):
                done = True
                continue
            now_s = time.monotonic()
            if result.first_token_s is None:
                result.first_token_s = now_s
            else:
                result.longest_gap_s = max(result.longest_gap_s, now_s - last_s)
            last_s = now_s
            chunk = msgspec.json.decode(line[len(_DATA) :], type=_Chunk)
            if chunk.error:
                result.refusal = chunk.error
            text += [c.delta.content or "" for c in chunk.choices if c.delta]
        result.is_complete = done and result.refusal is None
        result.is_correct = result.is_complete and "".join(text) == make_expected_answer(
            result.drawn
        )

    async def _send_command(self, session: aiohttp.ClientSession, result: Result) -> None:
        drawn = result.drawn
        headers = {
            "Authorization": f"Bearer token-{drawn.workspace}",
            "Idempotency-Key": f"command-{drawn.nonce}",
            "Content-Type": "text/plain",
            "X-Attempt": str(result.attempts),
        }
        url = f"{self._next_url()}/services/{SERVICE}/valves/{drawn.nonce}/shut"
        async with session.post(url, data=drawn.nonce.encode(), headers=headers) as response:
            result.status = response.status
            data = await response.read()
            if response.status != _OK:
                result.refusal = msgspec.json.decode(data, type=ErrorEnvelope).error
                return
            result.is_complete = True
            result.is_correct = drawn.nonce.encode() in data
