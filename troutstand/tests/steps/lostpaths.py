"""Lose paths from gateways to targets on a virtual clock."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.crashes.crashtracker import Suspicion
from troutstand.core.gatewayregistry import GATEWAY_TIMEOUT_S, GatewayRegistry
from troutstand.core.ids import ProcessId
from troutstand.core.paths import PathTable
from troutstand.core.peers import make_peers_version
from troutstand.generated.messages import AttachAsk, Ended, Ending, PlacedWork, RoutedWork

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.core.targetstate import TargetState

_GATEWAY = "gateway-1"
_TOLERANCE_S = 1e-9
_ORDINALS = ("first", "second", "third", "fourth")


def _get_state(context: Context, target: str) -> TargetState:
    return context.desk.dispatcher.pools["work"].targets[target]


@when("{count:d} requests of a gateway whose path is lost end as {ending} at the first target")
def lose_path(context: Context, count: int, ending: str) -> None:
    desk = context.desk
    for number in range(count):
        work = RoutedWork(
            request=f"lost-{number}",
            service="work",
            objective_s=1.0,
            remaining_s=8.0,
            failure_domain="south",
            fingerprint="same",
            excluded=["t2"],
        )
        desk.dispatcher.place(work, _GATEWAY, desk.now_s)
        ended = Ended(
            work.request, "t1", Ending(ending), total_s=0.1, is_path_lost=True, fingerprint="same"
        )
        desk.dispatcher.finish(ended, desk.now_s)
    desk.dispatcher.drain_decisions()


@then("the first target takes as many requests at once as the second")
def check_not_ejected(context: Context) -> None:
    for _ in range(8):
        context.desk.arrive("gateway-2")
    assert context.desk.count("t1") == context.desk.count("t2") == 4, context.desk.placed


@then("no request is suspected of crashing targets")
def check_not_suspected(context: Context) -> None:
    desk = context.desk
    assert desk.dispatcher.crashes.get_suspicion("same", desk.now_s) is Suspicion.NONE


@then("no link between failure domains is blocked")
def check_links(context: Context) -> None:
    assert not context.desk.dispatcher.reach.drain_changes()


@when("a request runs and its gateway reports that the path is lost")
def run_lost(context: Context) -> None:
    request = context.desk.arrive()
    context.desk.dispatcher.mark_path_lost(request, "t1")


@when("a request whose path is lost is taken over")
def adopt_lost(context: Context) -> None:
    desk = context.desk
    work = RoutedWork(request="adopted", service="work", objective_s=1.0, remaining_s=8.0)
    placed = PlacedWork(work, "t1", elapsed_s=0.1, has_first=False, is_path_lost=True)
    desk.dispatcher.adopt(placed, _GATEWAY, desk.now_s)


@then("the target takes as many requests at once as it has slots")
def check_slot_free(context: Context) -> None:
    state = _get_state(context, "t1")
    assert not state.running, state.running
    assert not state.consecutive_losses
    assert context.desk.arrive("gateway-2") in context.desk.placed


# Paths


def _name_address(word: str) -> str:
    return f"target-{_ORDINALS.index(word)}"


@given("a gateway with paths to {count:d} targets")
def use_paths(context: Context, count: int) -> None:
    context.paths = PathTable()
    context.now_s = 100.0
    context.addresses = [f"target-{number}" for number in range(count)]
    for address in context.addresses:
        context.paths.record_direct(address, context.now_s)


@when("only a peer reaches the {which} one")
def cut_path(context: Context, which: str) -> None:
    context.now_s += 0.1
    context.paths.record_cut(_name_address(which), True, context.now_s)


@when("the {which} one is reached directly")
def restore_path(context: Context, which: str) -> None:
    context.now_s += 0.1
    assert context.paths.record_direct(_name_address(which), context.now_s)


@when("the {which} one answers on an open connection")
def hear(context: Context, which: str) -> None:
    context.now_s += 0.1
    context.paths.heard.record(_name_address(which), context.now_s)


@when("a connection is dropped {age_s:g} s after it opened")
def drop_connection(context: Context, age_s: float) -> None:
    context.paths.dropped.record(age_s, context.now_s)


@then("new connections are watched for {for_s:g} s")
def check_settle(context: Context, for_s: float) -> None:
    found = context.paths.dropped.get_settle_s(context.now_s)
    assert abs(found - for_s) < _TOLERANCE_S, found


@then("{later_s:g} s later for {for_s:g} s")
def check_settle_later(context: Context, later_s: float, for_s: float) -> None:
    context.now_s += later_s
    check_settle(context, for_s)


@when("{length_s:g} s pass without a request")
def pass_unused(context: Context, length_s: float) -> None:
    context.now_s += length_s
    context.paths.take_due_probe(context.now_s)


@then("new connections to the {cut} go through peers, to the {direct} directly")
def check_one_cut(context: Context, cut: str, direct: str) -> None:
    assert context.paths.prefers_tunnel(_name_address(cut), context.now_s)
    assert not context.paths.prefers_tunnel(_name_address(direct), context.now_s)


@then("new connections to all go through peers")
def check_all_cut(context: Context) -> None:
    assert all(context.paths.prefers_tunnel(a, context.now_s) for a in context.addresses)


@then("{count:d} probes are due in {length_s:d} s")
def check_probes(context: Context, count: int, length_s: int) -> None:
    due: list[str] = []
    for _ in range(length_s * 20):
        context.now_s += 0.05
        address = context.paths.take_due_probe(context.now_s)
        due += [address] if address is not None else []
    assert len(due) == count, due
    assert len(set(due)) == 2, due


@then("the {which} is probed at once")
def check_probed(context: Context, which: str) -> None:
    assert context.paths.list_probes_after_success() == [_name_address(which)]


@then("no path is cut")
def check_none_cut(context: Context) -> None:
    assert len(context.paths) == 0


# Peers


def _make_heartbeat(process: str, domain: str, is_isolated: bool = False) -> AttachAsk:
    return AttachAsk(
        process, "one", is_attached=True, failure_domain=domain, is_isolated=is_isolated
    )


@given("{count:d} gateways in {domains:d} failure domains")
def use_gateways(context: Context, count: int, domains: int) -> None:
    context.registry = GatewayRegistry()
    context.gateways = [ProcessId(f"10.0.{n // 250}.{n % 250}:7602") for n in range(count)]
    context.domains = {p: f"domain-{n % domains}" for n, p in enumerate(context.gateways)}
    for process in context.gateways:
        heartbeat = _make_heartbeat(process, context.domains[process])
        context.registry.record_heartbeat(process, heartbeat, 100.0)


@then(
    "each has {local:d} peers of its own failure domain and {remote:d} of others, "
    "none of them itself"
)
def check_peers(context: Context, local: int, remote: int) -> None:
    for process in context.gateways:
        peers = context.registry.choose_peers(process).peers
        own = [peer for peer in peers if peer.failure_domain == context.domains[process]]
        assert (len(own), len(peers) - len(own)) == (local, remote), peers
        names = {peer.process for peer in peers}
        assert len(names) == len(peers) and process not in names, peers


@then("none is the peer of more than {most:d} others")
def check_balance(context: Context, most: int) -> None:
    counts = Counter(
        p.process for g in context.gateways for p in context.registry.choose_peers(g).peers
    )
    assert max(counts.values()) <= most, counts.most_common(3)


@when("the first one reports that it is isolated")
def isolate(context: Context) -> None:
    first = context.gateways[0]
    heartbeat = _make_heartbeat(first, context.domains[first], is_isolated=True)
    context.registry.record_heartbeat(first, heartbeat, 100.1)


@when("the second one is silent for {length_s:g} s")
def fall_silent(context: Context, length_s: float) -> None:
    second = context.gateways[1]
    for process in context.gateways:
        if process != second:
            is_isolated = process == context.gateways[0]
            heartbeat = _make_heartbeat(process, context.domains[process], is_isolated)
            context.registry.record_heartbeat(process, heartbeat, 100.0 + length_s)
    context.registry.detach_silent(100.0 + length_s, GATEWAY_TIMEOUT_S)


@then("neither is a peer of any other")
def check_unusable(context: Context) -> None:
    for process in context.gateways:
        names = {peer.process for peer in context.registry.choose_peers(process).peers}
        assert not names & set(context.gateways[:2]), names


@then("a gateway without peers is sent some, and none the next time")
def check_version(context: Context) -> None:
    assigned = context.registry.choose_peers(context.gateways[0])
    assert make_peers_version([]) == ""
    assert assigned.version not in ("", make_peers_version(assigned.peers[1:]))
    assert make_peers_version(assigned.peers) == assigned.version
