"""Play the attempts of one call against scripted targets, without connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from troutstand.core.paths import Reach
from troutstand.generated.configuration import RouteKind
from troutstand.generated.messages import Declined, Ended, Ending, Placed
from troutstand.routing.bodymemory import HeldBodies
from troutstand.routing.callattempts import CallAttempts
from troutstand.routing.httpclient import ResponseHead
from troutstand.routing.relay import OutgoingRequest, SendError, SentRequest
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from troutstand.core.codes import ResultCode
    from troutstand.routing.attempt import Attempt
    from troutstand.routing.callerresponse import CallerResponse
    from troutstand.routing.calls import Call
    from troutstand.routing.gateway import Gateway

OBJECTIVE_S = 0.2
_REQUEST = "scripted"
_CHECK_S = 0.3


@dataclass
class ScriptedResponse:
    """Define what comes of one attempt; times in seconds from its start, None for never.

    Parameters
    ----------
    failure
        How the attempt fails at `head_s` instead of a head.
    data
        The first part of the body; None for its end.
    """

    head_s: float | None = None
    data_s: float | None = None
    data: bytes | None = b"data: x\n\n"
    failure: Ending | None = None
    is_framed: bool = True
    is_path_lost: bool = False
    is_written: bool = True


class ScriptedConnection:
    """Stand for the connection of an attempt whose head has arrived."""

    peer = ""

    def __init__(self, response: ScriptedResponse, started_s: float) -> None:
        self.is_framed = response.is_framed
        self.is_aborted = False
        self._response = response
        self._started_s = started_s

    async def receive_chunk(self) -> bytes | None:
        """Return the first data of the body."""
        await wait_for(self._started_s, self._response.data_s)
        return self._response.data

    def abort(self) -> None:
        """Record that the connection was closed."""
        self.is_aborted = True


async def wait_for(started_s: float, after_s: float | None) -> None:
    """Wait until a time after a start; forever for None."""
    if after_s is None:
        await asyncio.get_running_loop().create_future()
        return
    await asyncio.sleep(max(0.0, started_s + after_s - read_clock_s()))


@dataclass
class ScriptedAttempts:
    """Stand for the gateway of a call: place its attempts and play their responses in order.

    Parameters
    ----------
    place
        Returns the decision on the placement with the given number, from 1.
    """

    responses: dict[str, ScriptedResponse]
    place: Callable[[int, list[str]], Awaitable[Placed | Declined]]
    has_started: bool = True
    works: list[list[str]] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)
    connections: dict[str, ScriptedConnection] = field(default_factory=dict)
    attempts: CallAttempts = field(init=False)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        gateway = SimpleNamespace(
            settings=SimpleNamespace(failure_domain="north"),
            placement=SimpleNamespace(
                place=self._place,
                finish=self.ended.append,
                report_silence=_ignore,
                report_path_lost=_ignore,
                record_first_byte=_ignore,
            ),
            sender=SimpleNamespace(
                send=self._send,
                check=self._check,
                is_checking=lambda _: False,
                is_path_lost=lambda _: False,
            ),
            metrics=SimpleNamespace(wait_s=_Metric(), endings=_Metric()),
            dialect=SimpleNamespace(headers=SimpleNamespace(resume="last-event-id")),
            node=SimpleNamespace(events=SimpleNamespace(emit=_ignore), spawn=self._spawn),
        )
        call = SimpleNamespace(
            request=_REQUEST,
            route=SimpleNamespace(attempts=2, kind=RouteKind.idempotent, tier=0),
            is_repeatable=True,
            is_resumed=False,
            create_work=_create_work,
            objective_s=OBJECTIVE_S,
            arrived_s=read_clock_s(),
            deadline_s=read_clock_s() + 5.0,
            fingerprint="",
            shared_parts=[],
            identify_broken=lambda ended: ended,
        )
        response = SimpleNamespace(
            has_started=self.has_started,
            can_resume=True,
            last_id="1",
            started_s=None,
            is_continued_by=lambda _: True,
        )
        self.attempts = CallAttempts(
            cast("Gateway", gateway),
            cast("Call", call),
            OutgoingRequest(_REQUEST, "POST", "/", [], b"", True),
            cast("CallerResponse", response),
            HeldBodies(None),
        )

    def find_ending(self, target: str) -> Ended:
        """Return the only reported ending of the attempt at a target."""
        (ended,) = [ended for ended in self.ended if ended.target == target]
        return ended

    async def receive(self, timeout_s: float) -> Attempt | None:
        """Return the attempt that answers first, or None without one in time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.attempts.receive()
        except TimeoutError:
            return None

    async def close(self) -> None:
        """Drop all attempts and wait for their reports."""
        self.attempts.close()
        await asyncio.sleep(0)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _place(self, work: SimpleNamespace) -> Placed | Declined:
        self.works.append(work.running_at)
        return await self.place(len(self.works), work.running_at)

    async def _send(
        self,
        outgoing: OutgoingRequest,
        placed: Placed,
        deadline_s: float,
        on_path_lost: Callable[[], None],
        on_written: Callable[[], None],
    ) -> SentRequest:
        response = self.responses[placed.target]
        started_s = read_clock_s()
        if response.is_written:
            on_written()
        if response.is_path_lost:
            on_path_lost()
        await wait_for(started_s, response.head_s)
        if response.failure is not None:
            raise SendError(response.failure, "scripted")
        connection = self.connections[placed.target] = ScriptedConnection(response, started_s)
        headers = [("content-type", "text/event-stream")]
        head = ResponseHead(200, headers, dict(headers))
        return SentRequest(placed, connection, head, started_s, 0.0)  # type: ignore[arg-type]

    async def _check(self, address: str) -> Reach:
        await asyncio.sleep(_CHECK_S)
        return Reach.REFUSED

    def _spawn(self, report: Awaitable[None], name: str) -> None:
        task = asyncio.ensure_future(report)
        self._tasks.add(task)  # type: ignore[arg-type]
        task.add_done_callback(self._tasks.discard)  # type: ignore[arg-type]


class _Metric:
    def labels(self, *labels: str) -> _Metric:
        """Return the metric for any labels."""
        return self

    def inc(self) -> None:
        """Ignore the count."""

    def observe(self, value: float) -> None:
        """Ignore the value."""


def _ignore(*args: object, code: ResultCode | None = None, **fields: object) -> None:
    """Ignore a report."""


def _create_work(
    now_s: float,
    attempt: int,
    excluded: list[str],
    failure_domain: str,
    has_response_begun: bool,
    running_at: list[str],
    software_version: str | None,
) -> SimpleNamespace:
    return SimpleNamespace(running_at=running_at)


def make_placed(target: str) -> Placed:
    """Return a placement at a target."""
    return Placed(_REQUEST, target, f"{target}:80", 0.0, 0.0)


def make_declined() -> Declined:
    """Return a placement that was declined."""
    return Declined(_REQUEST, 3011, 1.0, "scripted")
