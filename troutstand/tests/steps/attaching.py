"""Send heartbeats of gateways to a scheduler in memory."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.core.codec import encode_record
from troutstand.core.ids import ProcessId
from troutstand.generated.messages import AttachAsk, Attached, ListedState, ListedTarget
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.routing.dialect import Dialect
from troutstand.routing.scheduler import RoutingScheduler
from troutstand.routing.targetlist import TargetList
from troutstand.util.clock import read_clock_s

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
    # The state after the scheduler has read the list itself.
    context.scheduler._has_list = True


@given("it has read its list {age_s:g} s ago")
def age_list(context: Context, age_s: float) -> None:
    context.scheduler.targets._last_read_s = read_clock_s() - age_s


@then("the scheduler reads its list {when}")
def check_read(context: Context, when: str) -> None:
    assert context.scheduler._list_requested.is_set() is (when == "at once")


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


# Many gateways


@dataclass
class HeldList:
    """Hold the target list of one gateway."""

    name: ProcessId
    targets: TargetList


def _name(targets: list[ListedTarget]) -> str:
    """Return a list's version, derived from its entries."""
    return str(hash(tuple((t.target, t.state) for t in targets)))


@given("{count:d} gateways that ask it and hold {what}")
def make_gateways(context: Context, count: int, what: str) -> None:
    own = context.scheduler.targets
    own.install(own.targets, _name(own.targets))
    held = {"its list": own.targets, "none": [], "another": own.targets[:2]}[what]
    version = {"its list": own.version, "none": "", "another": "unknown"}[what]
    context.held = []
    for number in range(count):
        targets = TargetList("127.0.0.1:80", Dialect())
        targets.install(list(held), version)
        context.held.append(HeldList(ProcessId(f"gateway-{number}"), targets))
    context.now_s = 1000.0
    context.told = 0


@when("one target leaves, another comes and a third is gone, and nobody hears of it")
def change_list(context: Context) -> None:
    own = context.scheduler.targets
    leaving = msgspec.structs.replace(own.targets[1], state=ListedState.draining)
    come = msgspec.structs.replace(own.targets[2], target=f"new-{len(own.targets)}-{own.version}")
    changed = sorted([leaving, come, *own.targets[2:]], key=lambda t: t.target)
    own.install(changed, _name(changed))


@when("one target leaves, another comes and a third is gone, and all send a heartbeat")
def change_and_beat(context: Context) -> None:
    change_list(context)
    beat_all(context)


@when("all send a heartbeat")
def beat_all(context: Context) -> None:
    for held in context.held:
        ask = AttachAsk(
            process=held.name,
            incarnation="i1",
            is_attached=True,
            targets_version=held.targets.version,
            asks="scheduler-1",
        )
        reply = context.scheduler.handle(held.name, ask)
        context.told += len(encode_record(reply))
        if reply.has_targets:
            held.targets.apply_update(reply)


def _count_equal(context: Context) -> int:
    own = context.scheduler.targets
    return sum(
        held.targets.version == own.version and held.targets.targets == own.targets
        for held in context.held
    )


@then("they are told less than {most_mb:g} MB in all, and all hold its list again")
def check_cost(context: Context, most_mb: float) -> None:
    assert context.told < most_mb * 1e6, f"{context.told} bytes"
    assert _count_equal(context) == len(context.held)


@then("they are told less than {most_mb:g} MB in all, and some hold its list")
def check_some(context: Context, most_mb: float) -> None:
    assert context.told < most_mb * 1e6, f"{context.told} bytes"
    assert _count_equal(context) > 0


@then("within {length_s:g} s all hold its list")
def check_all_later(context: Context, length_s: float) -> None:
    for _ in range(int(length_s)):
        context.scheduler.targets.full_list_limiter.refill(1.0)
        beat_all(context)
        if _count_equal(context) == len(context.held):
            return
    raise AssertionError(f"{_count_equal(context)} of {len(context.held)}")
