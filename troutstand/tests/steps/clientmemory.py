"""Drive the account of clients' memory and the turns of parsing without connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.clientmemory import Client, ClientMemory, Phase
from troutstand.core.parseturns import ParseTurns

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context


@given("an account of {size:d} bytes for {count:d} clients")
def open_account(context: Context, size: int, count: int) -> None:
    context.memory = ClientMemory(size, count)
    context.clients = []
    context.evicted = []


def _connect(context: Context) -> Client:
    client = Client(lambda: context.evicted.append(client))
    context.is_accepted = context.memory.add(client, 0.0)
    return client


@given("a client that is {phase} and holds {count:d} bytes")
def add_client(context: Context, phase: str, count: int) -> None:
    client = _connect(context)
    context.memory.set_phase(client, Phase[phase], 1.0)
    assert context.memory.hold(client, count)
    context.clients.append(client)


@when("another client asks for {count:d} bytes")
def ask(context: Context, count: int) -> None:
    context.other = _connect(context)
    context.memory.set_phase(context.other, Phase.RECEIVING, 2.0)
    context.is_held = context.memory.hold(context.other, count)


@when("another client connects")
def connect(context: Context) -> None:
    _connect(context)


@when("the first client has closed")
def close(context: Context) -> None:
    context.memory.remove(context.clients[0])


@then("it is refused")
def check_refused(context: Context) -> None:
    assert not context.is_held


@then("the new connection is {answer}")
def check_accepted(context: Context, answer: str) -> None:
    assert context.is_accepted is (answer == "accepted")


@then("the first client is evicted")
@then("only the first client is evicted")
def check_evicted(context: Context) -> None:
    assert context.evicted == [context.clients[0]], context.evicted


@then("the first client is not evicted")
def check_stays(context: Context) -> None:
    assert not context.evicted


@then("the other client gets {count:d} bytes")
def check_held(context: Context, count: int) -> None:
    assert context.memory.hold(context.other, count)


@then("the {which} client {may} receive a response of {count:d} bytes")
def check_response(context: Context, which: str, may: str, count: int) -> None:
    client = context.clients[("first", "second").index(which)]
    assert context.memory.hold_response(client, count) is (may == "may")


# Turns


@dataclass
class _Loop:
    """Hold the functions that the next turn of an event loop calls."""

    due: list[Callable[[], None]] = field(default_factory=list)

    def run_turn(self) -> None:
        """Call what is due."""
        due, self.due = self.due, []
        for function in due:
            function()


@given("the turns of a parser")
def open_turns(context: Context) -> None:
    context.loop = _Loop()
    # The list is replaced each turn.
    context.turns = ParseTurns(lambda function: context.loop.due.append(function))
    context.parsed = 0


@when("{count:d} connections ask for {lines:d} lines each")
def ask_turns(context: Context, count: int, lines: int) -> None:
    def parse() -> None:
        context.parsed += 1

    for _ in range(count):
        if context.turns.take(lines):
            context.parsed += 1
        else:
            context.turns.wait(lines, parse)


@then("{count:d} of them may parse now")
def check_now(context: Context, count: int) -> None:
    assert context.parsed == count, context.parsed


@then("after one turn {count:d} of them have parsed")
def check_turn(context: Context, count: int) -> None:
    context.loop.run_turn()
    assert context.parsed == count, context.parsed


@then("{lines:d} lines may be parsed at once")
def check_few(context: Context, lines: int) -> None:
    assert context.turns.take(lines)
