"""Follow keepers over simulated slow links."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.codes import ResultCode
from troutstand.core.compression import compress
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import Contact, ContactReply, PeerMessage, ProcessState
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.routing.dialect import Dialect
from troutstand.routing.follower import Follower
from troutstand.routing.node import RoutingNode
from troutstand.testing.routedsite import ConfigurationPlan

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.core.ids import ProcessId

_VERSION = 7
_IP = "127.0.0.1"


class SlowLinks:
    """Answer requests whose timeout is longer than the transfer."""

    def __init__(self, takes_s: float) -> None:
        self.takes_s = takes_s
        self.content = _make_content()
        self.waited_s: list[float] = []

    async def ask(self, process: ProcessId, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Answer like a keeper, or time out; no time passes."""
        self.waited_s.append(timeout_s)
        if timeout_s < self.takes_s:
            raise TroutstandError(ResultCode.LINK_TIMEOUT, process)
        contact = Contact(
            process=process,
            host="keeper-1",
            role=RoutingRole.keeper.value,
            failure_domain="north",
            incarnation="1",
            state=ProcessState.serving,
            age_ms=0,
            version=_VERSION,
        )
        return ContactReply(contact, version=_VERSION, content=compress(self.content))


def _make_content() -> bytes:
    return ConfigurationPlan(_VERSION).encode()


@given("a follower whose keepers' answers take {takes_s:g} s to come whole")
def use_follower(context: Context, takes_s: float) -> None:
    settings = RoutingSettings(
        site="test",
        host="gateway-1",
        failure_domain="north",
        role=RoutingRole.gateway,
        ip=_IP,
        first_port=7000,
        link_key_hex="00" * 16,
        seeds=[f"{_IP}:7100"],
    )
    node = RoutingNode(settings)
    context.slow = SlowLinks(takes_s)
    node.ask = context.slow.ask
    context.events = node.events
    context.follower = Follower(node, Dialect(), lambda table: None)


@given("a follower whose keepers send a broken configuration")
def use_broken(context: Context) -> None:
    use_follower(context, 0.0)
    context.slow.content = b"{"


@when("it asks {count:d} times")
def ask(context: Context, count: int) -> None:
    async def ask_all() -> None:
        for _ in range(count):
            await context.follower.ask_next_keeper()

    asyncio.run(ask_all())


@then("it holds the configuration")
def check_held(context: Context) -> None:
    assert context.follower.version == _VERSION, context.slow.waited_s


@then("it asks with the usual patience again")
def check_usual(context: Context) -> None:
    context.slow.takes_s = 0.0
    ask(context, 2)
    assert context.slow.waited_s[-1] == context.slow.waited_s[0], context.slow.waited_s


@then("no ask waited longer than {most_s:g} s")
def check_patience(context: Context, most_s: float) -> None:
    assert max(context.slow.waited_s) <= most_s, context.slow.waited_s


@then("it has logged once that the configuration is unreadable, and why")
def check_unreadable(context: Context) -> None:
    found = [e for e in context.events.recent if e.name == "configuration_unreadable"]
    assert len(found) == 1, found
    assert "truncated" in str(found[0].fields["detail"]), found
