"""Let background loops and handlers of messages fail."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import TYPE_CHECKING
from unittest import mock

from behave import given, then, when

from troutstand.core.clock import HybridClock
from troutstand.core.codes import ResultCode
from troutstand.core.ids import ProcessId
from troutstand.daemon import node as hostnode
from troutstand.daemon.links import Identity, Link, LinkServer, Traffic
from troutstand.daemon.startup import load_settings
from troutstand.generated.messages import Acknowledged, OriginAsk, Refused
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.generated.settings import Address, Limits
from troutstand.routing.node import RoutingNode
from troutstand.tests.environment import next_subnet, share_site
from troutstand.util import backgroundloop
from troutstand.util.events import EventBus

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.generated.messages import PeerMessage

_PORT = 7700
_KEY = bytes(16)
_WAIT_S = 10.0
_LOOP = "a loop"


# Background loops


def _make_routed_node() -> RoutingNode:
    settings = RoutingSettings(
        site="test",
        host="host-1",
        failure_domain="north",
        role=RoutingRole.gateway,
        ip="127.0.0.1",
        first_port=7600,
        link_key_hex=_KEY.hex(),
        seeds=[],
    )
    return RoutingNode(settings)


@given("the node of a routed process")
def use_routed_node(context: Context) -> None:
    context.make_node = _make_routed_node


@given("the node of a host's process")
def use_host_node(context: Context) -> None:
    process = next(iter(share_site(context).processes.values()))
    settings = load_settings(Path(process.command[-1]))
    context.make_node = lambda: hostnode.Node(settings)


@when("a background loop fails {count:d} times and then goes on")
def fail_loop(context: Context, count: int) -> None:
    async def run() -> None:
        node = context.make_node()
        calls = 0
        is_running = asyncio.Event()

        async def loop() -> None:
            nonlocal calls
            calls += 1
            if calls <= count:
                raise UnicodeEncodeError("utf-8", "\ud800", 0, 1, "surrogates not allowed")
            is_running.set()
            await asyncio.Event().wait()

        with mock.patch.object(backgroundloop, "_MIN_RESTART_DELAY_S", 0.001):
            node.spawn_loop(loop, _LOOP)
            async with asyncio.timeout(_WAIT_S):
                await is_running.wait()
        context.logged = [event for event in node.events.recent if event.name == "task_failed"]

    asyncio.run(run())


@then("it runs, and {count:d} failed tasks are logged under its name")
def check_failures(context: Context, count: int) -> None:
    details = [str(event.fields["detail"]) for event in context.logged]
    assert len(details) == count, details
    assert all(detail.startswith(f"{_LOOP}: ") for detail in details), details
    assert all(event.code is ResultCode.INTERNAL for event in context.logged)


# Handlers of messages


@given("two routed processes, of which one fails to handle each second message")
def use_failing_handler(context: Context) -> None:
    context.address = Address(f"127.{next_subnet(context)}.1", _PORT)


@when("{count:d} messages are sent over one link")
def send_messages(context: Context, count: int) -> None:
    handled = 0

    def handle(_: ProcessId, __: PeerMessage) -> PeerMessage:
        nonlocal handled
        handled += 1
        if handled % 2 == 0:
            raise UnicodeEncodeError("utf-8", "\ud800", 0, 1, "surrogates not allowed")
        return Acknowledged()

    async def run() -> None:
        context.server_events = EventBus(ProcessId("b"), HybridClock(time.time))
        context.events = EventBus(ProcessId("a"), HybridClock(time.time))
        server = LinkServer(
            Identity("test", ProcessId("b"), _KEY), None, Limits(), context.server_events, handle
        )
        await server.start(context.address)
        link = Link(
            Identity("test", ProcessId("a"), _KEY),
            ProcessId("b"),
            context.address,
            Limits(),
            context.events,
            Traffic(),
        )
        running = asyncio.create_task(link.run())
        async with asyncio.timeout(_WAIT_S):
            await link.wait_until_up()
            context.replies = [await link.ask(OriginAsk("s"), 2.0) for _ in range(count)]
        running.cancel()
        await server.stop()

    asyncio.run(run())


@then(
    "{answered:d} are answered, {refused:d} are refused with {code:d}, and the link is opened once"
)
def check_replies(context: Context, answered: int, refused: int, code: int) -> None:
    replies = context.replies
    assert sum(isinstance(reply, Acknowledged) for reply in replies) == answered, replies
    codes = [reply.code for reply in replies if isinstance(reply, Refused)]
    assert codes == [code] * refused, replies
    assert sum(event.name == "link_up" for event in context.events.recent) == 1


@then("{count:d} failed messages are logged")
def check_logged(context: Context, count: int) -> None:
    failed = [e for e in context.server_events.recent if e.name == "message_failed"]
    assert len(failed) == count, failed
