"""Send heartbeats of gateways to a scheduler that does not listen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.ids import ProcessId
from troutstand.generated.messages import AttachAsk, Attached, ListedState, ListedTarget
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.routing.dialect import Dialect
from troutstand.routing.scheduler import RoutingScheduler

if TYPE_CHECKING:
    from behave.runner import Context

_VERSIONS = {"another": "v1", "the same": "v2"}
_ASKED = {
    "asks this scheduler": "scheduler-1",
    "asks another scheduler": "scheduler-2",
    "decides alone": "",
}


@given("a scheduler that knows {count:d} targets")
def make_scheduler(context: Context, count: int) -> None:
    settings = RoutingSettings(
        site="test",
        host="host-1",
        failure_domain="north",
        role=RoutingRole.scheduler,
        ip="127.0.0.1",
        bind_ip="127.0.0.1",
        first_port=7600,
        link_key_hex="00" * 16,
        seeds=["127.0.0.1:7602"],
        target_list="127.0.0.1:80",
    )
    context.scheduler = RoutingScheduler(settings, Dialect())
    listed = [
        ListedTarget(f"t{n}", "work", f"127.0.0.1:{n + 1}", "north", 4, ListedState.ready)
        for n in range(count)
    ]
    context.scheduler.targets.install(listed, "v2")


@when("a gateway that {whom} and holds {which} list sends a heartbeat")
def send_heartbeat(context: Context, whom: str, which: str) -> None:
    asks = _ASKED[whom]
    ask = AttachAsk(
        process="gateway-1",
        incarnation="i1",
        is_attached=asks == "scheduler-1",
        targets_version=_VERSIONS[which],
        asks=asks,
    )
    context.reply = context.scheduler.handle(ProcessId("gateway-1"), ask)


@then("it is told {count:d} targets")
def check_told(context: Context, count: int) -> None:
    assert isinstance(context.reply, Attached), context.reply
    assert len(context.reply.targets) == count, context.reply
