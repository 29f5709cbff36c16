"""Check the log lines of one link."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from unittest.mock import patch

from behave import then, when

from troutstand.core.clock import HybridClock
from troutstand.core.ids import ProcessId
from troutstand.daemon.links import Identity, Link, Traffic
from troutstand.generated.messages import Withdraw
from troutstand.generated.settings import Address, Limits
from troutstand.tests.environment import next_subnet
from troutstand.util.events import EventBus

if TYPE_CHECKING:
    from behave.runner import Context

_PORT = 7700
_QUEUE_MESSAGES = 16
_TRIES = 3
_LIMIT_S = 10.0


def make_link(context: Context) -> Link:
    """Make a link to an address where nothing listens."""
    context.events = EventBus(ProcessId("a"), HybridClock(time.time))
    return Link(
        Identity("demo", ProcessId("a"), bytes(16)),
        ProcessId("b"),
        Address(f"127.{next_subnet(context)}.1", _PORT),
        Limits(link_queue_messages=_QUEUE_MESSAGES),
        context.events,
        Traffic(),
    )


@when("a link is opened again and again where nothing listens")
def open_in_vain(context: Context) -> None:
    link = make_link(context)
    tried: list[str] = []
    has_tried = asyncio.Event()

    def connect(uri: str, **_: object) -> None:
        tried.append(uri)
        if len(tried) == _TRIES:
            has_tried.set()
        raise ConnectionRefusedError

    async def run() -> None:
        running = asyncio.create_task(link.run())
        async with asyncio.timeout(_LIMIT_S):
            await has_tried.wait()
        running.cancel()

    with patch("troutstand.daemon.links.connect", connect):
        asyncio.run(run())
    assert link.is_refused


@when("{count:d} messages are sent over a link whose queue takes 16")
def fill_queue(context: Context, count: int) -> None:
    link = make_link(context)
    link.is_up = True
    context.queued = [link.send(Withdraw(f"r-{number}")) for number in range(count)]


@then("{count:d} of them are not queued")
def check_queued(context: Context, count: int) -> None:
    assert context.queued.count(False) == count, context.queued


@then('its log holds "{name}" once')
def check_once(context: Context, name: str) -> None:
    found = [event for event in context.events.recent if event.name == name]
    assert len(found) == 1, found


@when("a link to {ip} is told where its peer listens")
def address_link(context: Context, ip: str) -> None:
    link = make_link(context)
    link.address = Address(ip, _PORT)
    tried: list[str] = []

    def connect(uri: str, **_: object) -> None:
        tried.append(uri)
        raise ConnectionRefusedError

    async def run() -> None:
        running = asyncio.create_task(link.run())
        await asyncio.sleep(0)
        running.cancel()

    with patch("troutstand.daemon.links.connect", connect):
        asyncio.run(run())
    context.tried = tried


@then('it connects to "{uri}"')
def check_uri(context: Context, uri: str) -> None:
    assert context.tried == [uri], context.tried
