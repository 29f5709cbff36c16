"""Request large configurations from a keeper, and decompress corrupt data."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.codes import ResultCode
from troutstand.core.compression import compress, decompress
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import ProcessId
from troutstand.daemon.links import Frame, encode_frame
from troutstand.generated.configuration import RouteKind
from troutstand.generated.messages import (
    Contact,
    ContactAsk,
    ContactReply,
    ProcessState,
    StoredConfiguration,
)
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.routing.dialect import Dialect
from troutstand.routing.keeper import RoutingKeeper
from troutstand.testing.routedsite import ConfigurationPlan, make_route
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from behave.runner import Context

_VERSION = 7
_SEED = 5
_SMALL_BYTES = 1000


def _make_content(count: int) -> bytes:
    """Write a configuration whose routes have names as irregular as real ones."""
    random_ = random.Random(_SEED)
    routes = [
        make_route(f"r-{random_.getrandbits(40):x}", f"/{random_.getrandbits(40):x}/", kind)
        for kind in [RouteKind.idempotent] * count
    ]
    return ConfigurationPlan(_VERSION, routes).encode()


@given("a keeper that holds a configuration of {count:d} routes")
def hold(context: Context, count: int) -> None:
    ip = f"127.{next_subnet(context)}.1"
    settings = RoutingSettings(
        site="test",
        host="keeper-1",
        failure_domain="north",
        role=RoutingRole.keeper,
        ip=ip,
        first_port=7000,
        link_key_hex="00" * 16,
        seeds=[f"{ip}:7100"],
        control=f"{ip}:7100",
        data_folder=str(make_folder(context) / "disk"),
        first_start=True,
    )
    context.content = _make_content(count)
    context.keeper = RoutingKeeper(settings, Dialect())
    context.keeper.acceptor.load_record(StoredConfiguration(_VERSION, context.content))


def _ask(context: Context, version: int) -> ContactReply:
    contact = Contact(
        process="127.0.0.9:7002",
        host="gateway-1",
        role=RoutingRole.gateway.value,
        failure_domain="north",
        incarnation="1",
        state=ProcessState.serving,
        age_ms=0,
        version=version,
    )
    reply = context.keeper.handle(ProcessId("127.0.0.9:7002"), ContactAsk(contact))
    assert isinstance(reply, ContactReply), reply
    return reply


@when("a gateway without one asks it")
def ask(context: Context) -> None:
    context.reply = _ask(context, 0)


@then("the answer takes at most {most:d} bytes of its link")
def check_size(context: Context, most: int) -> None:
    size = len(encode_frame(Frame(1, 0, 1, context.reply)))
    assert len(context.content) > 2 * most
    assert size <= most, size


@then("it expands to the keeper's configuration")
def check_expanded(context: Context) -> None:
    assert context.reply.version == _VERSION
    assert decompress(context.reply.content) == context.content


@then("one that has the version is sent nothing")
def check_nothing_sent(context: Context) -> None:
    reply = _ask(context, _VERSION)
    assert (reply.version, reply.content) == (0, b"")


@then("expanding content that is {fault} fails with {code:d}")
def check_spoiled(context: Context, fault: str, code: int) -> None:
    data = compress(b"configuration " * _SMALL_BYTES)
    match fault:
        case "cut short":
            data = data[:-3]
        case "broken":
            data = b"?" + data[1:]
    try:
        decompress(data, _SMALL_BYTES if fault == "too large" else 1 << 20)
    except TroutstandError as error:
        assert error.code == ResultCode(code), error
    else:
        raise AssertionError("it was expanded")
