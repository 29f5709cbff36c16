"""Let schedulers place requests that their gateways no longer wait for."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.clock import HybridClock
from troutstand.core.ids import ProcessId
from troutstand.daemon.links import Frame, Identity, Link, LinkServer, Traffic, encode_frame
from troutstand.generated.messages import (
    Ended,
    Ending,
    ListedState,
    ListedTarget,
    Place,
    Placed,
    RoutedWork,
)
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.generated.settings import Address, Limits
from troutstand.routing.dialect import Dialect
from troutstand.routing.gateway import Gateway
from troutstand.routing.scheduler import RoutingScheduler
from troutstand.routing.schedulerwatch import SchedulerHealth
from troutstand.tests.environment import next_subnet
from troutstand.util.events import EventBus

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from behave.runner import Context

    from troutstand.core.targetstate import TargetState
    from troutstand.generated.messages import PeerMessage

_PORT = 7700
_KEY = bytes(16)
_WAIT_S = 10.0
_SERVICE = "work"
_TARGET = "t1"
_GATEWAY = ProcessId("gateway-1")
_PLACEMENT = 7


def _make_settings(role: RoutingRole) -> RoutingSettings:
    return RoutingSettings(
        site="test",
        host="host-1",
        failure_domain="north",
        role=role,
        ip="127.0.0.1",
        bind_ip="127.0.0.1",
        first_port=7600,
        link_key_hex=_KEY.hex(),
        seeds=["127.0.0.1:7602"],
        target_list="127.0.0.1:80",
    )


def _make_work(request: str) -> RoutedWork:
    return RoutedWork(request, _SERVICE, 1.0, 8.0, failure_domain="north")


# A scheduler whose gateway's connection closes


class ClosedConnection:
    """Connect a scheduler with a gateway that closes its connection while a request waits."""

    def __init__(self, address: Address) -> None:
        self.scheduler = RoutingScheduler(_make_settings(RoutingRole.scheduler), Dialect())
        listed = ListedTarget(_TARGET, _SERVICE, "127.0.0.1:1", "north", 1, ListedState.ready)
        self.scheduler.dispatcher.update_targets([listed], time.monotonic())
        self._events = EventBus(ProcessId("scheduler"), HybridClock(time.time))
        self._has_waiting = asyncio.Event()
        self._is_lost = asyncio.Event()
        self._events.subscribe(
            lambda event: self._is_lost.set() if event.name == "link_lost" else None
        )
        server = Identity("test", ProcessId("scheduler"), _KEY)
        self._server = LinkServer(server, None, Limits(), self._events, self._handle)
        own = Identity("test", _GATEWAY, _KEY)
        events = EventBus(_GATEWAY, HybridClock(time.time))
        self._link = Link(own, ProcessId("scheduler"), address, Limits(), events, Traffic())

    @property
    def target(self) -> TargetState:
        """Return what the scheduler knows of the target."""
        return self.scheduler.dispatcher.pools[_SERVICE].targets[_TARGET]

    def _handle(self, peer: ProcessId, message: PeerMessage) -> object:
        answer = self.scheduler.handle(peer, message)
        if isinstance(answer, asyncio.Future) and not answer.done():
            self._has_waiting.set()
        return answer

    async def run(self) -> None:
        """Fill the target, close the connection of a waiting request, and free the target."""
        await self._server.start(self._link.address)
        running = asyncio.create_task(self._link.run())
        try:
            async with asyncio.timeout(_WAIT_S):
                await self._link.wait_until_up()
                assert isinstance(await self._link.ask(Place(_make_work("r1")), _WAIT_S), Placed)
                waiting = asyncio.create_task(self._link.ask(Place(_make_work("r2")), _WAIT_S))
                await self._has_waiting.wait()
                running.cancel()
                waiting.cancel()
                await self._is_lost.wait()
            ended = Ended("r1", _TARGET, Ending.whole, 0.01, 0.02)
            self.scheduler.handle(_GATEWAY, ended)
        finally:
            running.cancel()
            await self._server.stop()


@when("a gateway's connection closes while its request waits, and its only target becomes free")
def close_connection(context: Context) -> None:
    address = Address(f"127.{next_subnet(context)}.1", _PORT)

    async def run() -> ClosedConnection:
        connection = ClosedConnection(address)
        await connection.run()
        return connection

    context.closed_connection = asyncio.run(run())


@then("the request has taken no slot of it")
def check_free(context: Context) -> None:
    running = context.closed_connection.target.running
    assert not running, sorted(running)


# A gateway that gets a placement for which nothing waits


class _Frames:
    """Yield the frames of one connection."""

    def __init__(self, messages: list[PeerMessage]) -> None:
        self._messages = messages

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for number, message in enumerate(self._messages, start=1):
            yield encode_frame(Frame(0, 0, number, message))


@given("a gateway that is attached to a scheduler")
def attach_gateway(context: Context) -> None:
    context.gateway = Gateway(_make_settings(RoutingRole.gateway), Dialect())
    context.scheduler_id = ProcessId("127.0.0.1:7601")
    heartbeats = context.gateway.placement._heartbeats
    heartbeats.current = context.scheduler_id
    heartbeats._health[context.scheduler_id] = SchedulerHealth(is_attached=True)


@when("a placement arrives that none of its requests waits for")
def receive_unawaited(context: Context) -> None:
    placed = Placed("r1", _TARGET, "127.0.0.1:1", 1.0, number=_PLACEMENT)

    async def run() -> None:
        node = context.gateway.node
        link = node._get_link(context.scheduler_id)
        await link._read_frames(_Frames([placed]))
        node.close_link(context.scheduler_id)

    asyncio.run(run())


@then("its next heartbeat is due at once and says that the placement has arrived")
def check_heartbeat(context: Context) -> None:
    placement = context.gateway.placement
    assert placement._heartbeats._health[context.scheduler_id].wake.is_set()
    heartbeat = placement.make_heartbeat(is_attached=True, is_first=False, is_whole=False)
    assert heartbeat.digest.placed == _PLACEMENT, heartbeat.digest
