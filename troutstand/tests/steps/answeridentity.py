"""Send requests again to targets whose answers come twice, late, in part or without an id."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as draw
from hypothesis import strategies as st

from troutstand.generated.messages import Ending, Placed
from troutstand.routing.attempthistory import AttemptHistory
from troutstand.routing.calls import add_resume_header
from troutstand.routing.connectionpool import ConnectionPool
from troutstand.routing.dialect import HeaderNames
from troutstand.routing.dialer import Dialer
from troutstand.routing.relay import OutgoingRequest, Sender, SendError
from troutstand.testing.faultyanswers import Extra, FaultyTarget, Outcome, Step
from troutstand.tests.steps.relay import NoticeWatch
from troutstand.tests.steps.tunnels import Peer, TunnelScene, pick_ports

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from behave.runner import Context

_LIMIT_S = 5.0
# A caller of a drawn target leaves after this time; longer than any whole answer takes.
_PATIENCE_S = 0.25
_MAX_ARRIVALS = 3
# Faults that need several steps in a row are drawn more often.
_OUTCOMES = [
    *(Outcome.RUNS, Outcome.RUNS, Outcome.FAILS, Outcome.FULL, Outcome.FULL, Outcome.FULL),
    *(Outcome.MISDIRECTED, Outcome.VANISHES, Outcome.VANISHES),
]
_EXTRAS = [*Extra, Extra.NONE, Extra.LATE, Extra.PART, Extra.PART]
_LATE = Step(Outcome.FULL, Extra.LATE)
_NAMES = HeaderNames()
_SURPLUS = {
    "rejection": b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request-Id: first\r\n"
    b"Content-Length: 0\r\n\r\n",
    "rejection cut within a header": b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nServer: s",
    "rejection cut within its status line": b"HTTP/1.1 421 Mis",
    "success": b"HTTP/1.1 200 OK\r\nX-Answer-Seal: 0\r\nX-Request-Id: first\r\n"
    b"Content-Length: 5\r\n\r\nfirst",
    "success cut within a header": b"HTTP/1.1 200 OK\r\nX-Answer-Seal: 0\r\nServer: s",
}


T = TypeVar("T")


@dataclass
class Result:
    """Hold what a caller got, and whether its request was reported as not run."""

    answer: tuple[int, str, bytes] | None
    is_not_run: bool


@dataclass
class Bench:
    """Send requests to one target over connections that are kept."""

    target: FaultyTarget
    sender: Sender
    pool: ConnectionPool
    max_arrivals: int = _MAX_ARRIVALS

    async def attempt(self, outgoing: OutgoingRequest) -> tuple[int, str, bytes]:
        """Send a request once; return the status, seal and body of its answer."""
        placed = Placed(outgoing.request, "t1", self.target.address)
        deadline_s = time.monotonic() + _LIMIT_S
        sent = await self.sender.send(outgoing, placed, deadline_s, lambda: None)
        body = await self.sender.read_body(sent)
        return sent.head.status, sent.head.get(_NAMES.seal) or "", body

    async def call(
        self,
        outgoing: OutgoingRequest,
        between: Callable[[], Awaitable[object]] | None = None,
        patience_s: float = _LIMIT_S,
    ) -> Result:
        """Send a request as a gateway does: again after a failure that allows it."""
        history = AttemptHistory(self.max_arrivals, outgoing.is_repeatable)
        while True:
            placed = Placed(outgoing.request, "t1", self.target.address)
            try:
                async with asyncio.timeout(patience_s):
                    answer = await self.attempt(outgoing)
            except TimeoutError:
                return Result(None, False)
            except SendError as error:
                history.record_failure(placed, error)
                if not history.allows_retry(error):
                    return Result(None, not history.may_have_run)
                if between is not None:
                    await between()
                continue
            if answer[0] >= 500 and history.can_repeat:
                history.record_failure(placed, SendError(Ending.failed, "a server error"))
                continue
            return Result(answer, False)


def _make_outgoing(request: str, is_repeatable: bool = False) -> OutgoingRequest:
    headers = [("X-Request-Id", request)]
    return OutgoingRequest(request, "POST", "/x", headers, b"", is_repeatable)


def _play(steps: list[Step], play: Callable[[Bench], Awaitable[T]]) -> tuple[FaultyTarget, T]:
    async def run() -> tuple[FaultyTarget, T]:
        target = FaultyTarget(steps)
        await target.start()
        pool = ConnectionPool(Dialer(1.0))
        try:
            return target, await play(Bench(target, Sender(pool, _NAMES, NoticeWatch()), pool))
        finally:
            pool.close()
            await target.stop()

    return asyncio.run(run())


def _find_connections(target: FaultyTarget, request: str) -> list[int]:
    return [connection for arrived, connection in target.arrivals if arrived == request]


@given("a faulty target that is full and sends {extra}, then runs requests")
def use_full(context: Context, extra: str) -> None:
    context.steps = [Step(Outcome.FULL, Extra(extra), part=0.45)]


@given("a faulty target that is full twice with a late copy each time, then runs requests")
def use_full_twice(context: Context) -> None:
    context.steps = [_LATE, _LATE]


@given("a faulty target that fails and sends {extra}, then runs requests")
def use_failing(context: Context, extra: str) -> None:
    context.steps = [Step(Outcome.FAILS, Extra(extra))]


@given("a faulty target that is full with a late copy, then resets, then runs requests")
def use_stale(context: Context) -> None:
    warm = [Step(Outcome.RUNS), Step(Outcome.RUNS)]
    context.steps = [*warm, _LATE, Step(Outcome.VANISHES)]


@given("a faulty target that is full, leaves out the id and sends a late copy, then runs requests")
def use_nameless(context: Context) -> None:
    context.steps = [Step(Outcome.FULL, Extra.LATE, has_id=False)]


@given("a faulty target that answers a request and sends {surplus} in front of the next answer")
def use_surplus(context: Context, surplus: str) -> None:
    context.steps = [Step(Outcome.RUNS, surplus=_SURPLUS[surplus]), Step(Outcome.FAILS)]


@given("a faulty target that runs a request and resets its reused connection, then is full")
def use_reset(context: Context) -> None:
    full = [Step(Outcome.FULL)] * _MAX_ARRIVALS
    context.steps = [Step(Outcome.RUNS), Step(Outcome.VANISHES), *full]


@when("a command is sent, and sent again while it has not run")
def send_command(context: Context) -> None:
    context.faulty, context.result = _play(context.steps, lambda b: b.call(_make_outgoing("c")))


@when("a command is sent, its path is checked, and it is sent again")
def send_after_check(context: Context) -> None:
    async def play(bench: Bench) -> Result:
        check = bench.sender.check
        return await bench.call(_make_outgoing("c"), lambda: check(bench.target.address))

    context.faulty, context.result = _play(context.steps, play)


@when("a command is sent through a peer, and sent again while it has not run")
def send_through_peer(context: Context) -> None:
    async def run() -> None:
        peer = Peer(pick_ports(1)[0])
        await peer.start()
        target = FaultyTarget(context.steps)
        await target.start()
        scene = TunnelScene(target, False, [peer])  # type: ignore[arg-type]
        sender, _, pool = scene.make_sender()
        pool.dialer.paths.record_cut(target.address, True, time.monotonic())
        try:
            context.result = await Bench(target, sender, pool).call(_make_outgoing("c"))
            context.direct = pool.list_direct_addresses()
        finally:
            peer.close()
            pool.close()
            await target.stop()
        context.faulty = target

    asyncio.run(run())


@then("both attempts went through a peer")
def check_peer(context: Context) -> None:
    assert not context.direct, context.direct


@then("it has run once, and its own answer was returned")
def check_run_once(context: Context) -> None:
    assert context.faulty.runs["c"] == 1, context.faulty.runs
    _check_result(context.faulty, "c", context.result)
    assert context.result.answer is not None, context.result


def _check_result(target: FaultyTarget, request: str, result: Result) -> None:
    if result.is_not_run:
        assert not target.runs[request], (target.runs, "reported as not run")
    if result.answer is not None:
        assert result.answer in target.made[request], (result, target.made)


@when("a repeatable request is sent, and resumed after the failure")
def resume(context: Context) -> None:
    async def play(bench: Bench) -> None:
        outgoing = _make_outgoing("c", is_repeatable=True)
        await bench.attempt(outgoing)
        await bench.attempt(add_resume_header(outgoing, _NAMES, "7"))

    context.faulty, _ = _play(context.steps, play)


@when("a repeatable request fails, and is sent twice at once")
def send_beside(context: Context) -> None:
    async def play(bench: Bench) -> None:
        outgoing = _make_outgoing("c", is_repeatable=True)
        await bench.attempt(outgoing)
        await asyncio.gather(bench.attempt(outgoing), bench.attempt(outgoing))

    context.faulty, _ = _play(context.steps, play)


@when("a repeatable request is sent after others, and sent again while it has not run")
def send_stale(context: Context) -> None:
    async def play(bench: Bench) -> Result:
        await asyncio.gather(*(bench.attempt(_make_outgoing(f"w{n}")) for n in range(2)))
        return await bench.call(_make_outgoing("c", is_repeatable=True))

    context.faulty, context.result = _play(context.steps, play)
    assert len(_find_connections(context.faulty, "c")) == 3, context.faulty.arrivals


@then("the resumed request was sent on another connection")
@then("each attempt was sent on another connection")
def check_connections(context: Context) -> None:
    used = _find_connections(context.faulty, "c")
    assert len(used) > 1 and len(used) == len(set(used)), context.faulty.arrivals


@when("a command is sent, and another one after its rejection")
def send_another(context: Context) -> None:
    async def play(bench: Bench) -> Result:
        try:
            await bench.attempt(_make_outgoing("c"))
        except SendError as error:
            assert error.ending is Ending.turned_away, error
        return await bench.call(_make_outgoing("d"))

    context.faulty, context.result = _play(context.steps, play)


@then("both arrived on {count} connection, and the second was answered")
@then("both arrived on {count} connections, and the second was answered")
def check_shared(context: Context, count: str) -> None:
    used = {connection for _, connection in context.faulty.arrivals}
    assert len(used) == {"one": 1, "two": 2}[count], context.faulty.arrivals
    assert context.faulty.runs["d"] == 1, context.faulty.runs
    _check_result(context.faulty, "d", context.result)
    assert context.result.answer is not None


@when("that request and then a command are sent")
def send_behind_surplus(context: Context) -> None:
    async def play(bench: Bench) -> Result:
        await bench.attempt(_make_outgoing("first"))
        return await bench.call(_make_outgoing("c"))

    context.faulty, context.result = _play(context.steps, play)
    assert len({connection for _, connection in context.faulty.arrivals}) == 1


@then("the command is not reported as not run, and no answer of another is returned")
def check_behind_surplus(context: Context) -> None:
    assert context.faulty.runs["c"] == 1, context.faulty.runs
    _check_result(context.faulty, "c", context.result)


@when("a surplus {surplus}, cut at each of its bytes, is sent in front of the answer to a command")
def cut_everywhere(context: Context, surplus: str) -> None:
    data = _SURPLUS[surplus]
    context.cuts = []

    async def play(bench: Bench) -> Result:
        await bench.attempt(_make_outgoing("first"))
        return await bench.call(_make_outgoing("c"), patience_s=_PATIENCE_S)

    for position in range(1, len(data)):
        steps = [Step(Outcome.RUNS, surplus=data[:position]), Step(Outcome.FAILS)]
        context.cuts.append(_play(steps, play))


@then("no command was reported as not run, and no answer of another was returned")
def check_cuts(context: Context) -> None:
    assert len(context.cuts) > 50
    for target, result in context.cuts:
        assert target.runs["c"] == 1, target.runs
        _check_result(target, "c", result)


@when("a repeatable request is sent after another one")
def send_repeatable(context: Context) -> None:
    async def play(bench: Bench) -> Result:
        await bench.attempt(_make_outgoing("w"))
        return await bench.call(_make_outgoing("c", is_repeatable=True))

    context.faulty, context.result = _play(context.steps, play)


@then("it is not reported as not run")
def check_may_have_run(context: Context) -> None:
    assert context.faulty.runs["c"], context.faulty.arrivals
    assert not context.result.is_not_run


def _draw_steps() -> st.SearchStrategy[list[Step]]:
    step = st.builds(
        Step,
        outcome=st.sampled_from(_OUTCOMES),
        extra=st.sampled_from(_EXTRAS),
        has_id=st.sampled_from([True, True, True, False]),
        part=st.floats(0.0, 1.0),
    )
    return st.lists(step, min_size=3, max_size=8)


@when("{count:d} drawn targets get commands and repeatable requests over kept connections")
def draw_targets(context: Context, count: int) -> None:
    context.plays = 0

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @draw(
        _draw_steps(),
        st.lists(st.booleans(), min_size=2, max_size=5),
        st.integers(2, _MAX_ARRIVALS),
    )
    def check(steps: list[Step], kinds: list[bool], max_arrivals: int) -> None:
        async def play(bench: Bench) -> list[Result]:
            bench.max_arrivals = max_arrivals
            return [
                await bench.call(_make_outgoing(f"r{n}", kind), patience_s=_PATIENCE_S)
                for n, kind in enumerate(kinds)
            ]

        target, results = _play(steps, play)
        context.plays += 1
        for number, (is_repeatable, result) in enumerate(zip(kinds, results, strict=True)):
            request = f"r{number}"
            assert is_repeatable or target.runs[request] <= 1, target.runs
            _check_result(target, request, result)

    check()


@then("no command ran twice, none that ran was reported as not run, and each got its own answer")
def check_drawn(context: Context) -> None:
    # Each play was checked while it was drawn.
    assert context.plays >= 100, context.plays
