"""Close idle connections in the pool of a gateway."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.routing.connectionpool import ConnectionPool
from troutstand.routing.dialer import Dialer
from troutstand.routing.httpclient import TargetConnection

if TYPE_CHECKING:
    from behave.runner import Context

_ADDRESS = "127.0.0.1:1"
_IDLE_SINCE_S = -100.0


async def _make_idle() -> tuple[ConnectionPool, TargetConnection, TargetConnection]:
    dialer = Dialer(1.0)
    pool = ConnectionPool(dialer)
    through_peer, direct = TargetConnection(_ADDRESS), TargetConnection(_ADDRESS)
    through_peer.peer = "gateway-2"
    assert dialer.on_unused is not None
    for connection in (through_peer, direct):
        dialer.on_unused(connection)
        connection.idle_since_s = _IDLE_SINCE_S
    return pool, through_peer, direct


@given("an idle connection through a peer and a direct one")
def make_idle(context: Context) -> None:
    context.pool, context.through_peer, context.direct = asyncio.run(_make_idle())


@when("the direct connections to their target are closed")
def drop_direct(context: Context) -> None:
    context.pool.drop_direct(_ADDRESS)


@then("the one through the peer has been idle for as long as before")
def check_idle(context: Context) -> None:
    assert context.through_peer.idle_since_s == _IDLE_SINCE_S
    assert not context.through_peer.is_closed


@then("the direct one is closed")
def check_closed(context: Context) -> None:
    assert context.direct.is_closed
