"""Cut the network between failure domains, as seen in the endings of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.dispatch import Dispatcher
from troutstand.core.limits.quota import QuotaBounds, Quotas
from troutstand.core.limits.retrybudget import RetryBudget
from troutstand.core.reachability import Link
from troutstand.generated.messages import (
    Ended,
    Ending,
    ListedState,
    ListedTarget,
    Placed,
    RoutedWork,
)

if TYPE_CHECKING:
    from behave.runner import Context

_SERVICE = "work"
_SLOTS = 2
_DOMAINS = ("north", "south")


class Cut:
    """Hold a dispatcher of two failure domains and its clock."""

    def __init__(self, targets: int, domains: tuple[str, ...] = _DOMAINS) -> None:
        self.now_s = 100.0
        self.count = 0
        self.dispatcher = Dispatcher(Quotas(QuotaBounds()), RetryBudget(0.2, 50, 10.0))
        listed = [
            ListedTarget(
                f"{domain}-{n}", _SERVICE, f"{domain}:{n}", domain, _SLOTS, ListedState.ready
            )
            for domain in domains
            for n in range(targets)
        ]
        self.dispatcher.update_targets(listed, self.now_s)

    def place(
        self, source: str, excluded: list[str], is_repeatable: bool = False
    ) -> tuple[str, str]:
        """Place a request and return it and its target; an empty string is none."""
        self.count += 1
        request = f"r{self.count}"
        work = RoutedWork(
            request=request,
            service=_SERVICE,
            objective_s=1.0,
            remaining_s=8.0,
            failure_domain=source,
            excluded=excluded,
            is_repeatable=is_repeatable,
        )
        self.dispatcher.place(work, "gateway", self.now_s)
        answers = [d.answer for d in self.dispatcher.drain_decisions()]
        placed = [a.target for a in answers if isinstance(a, Placed)]
        return request, placed[0] if placed else ""

    def end(
        self, request: str, target: str, ending: Ending, is_target_gone: bool = False
    ) -> list[str]:
        """End a request and return the targets of those that waited."""
        ended = Ended(request, target, ending, 0.05, 0.1, is_target_gone=is_target_gone)
        self.dispatcher.finish(ended, self.now_s)
        answers = [d.answer for d in self.dispatcher.drain_decisions()]
        return [a.target for a in answers if isinstance(a, Placed)]

    def send(self, source: str, target: str, ending: Ending, is_target_gone: bool = False) -> None:
        """Send a request to one target, with a given ending."""
        others = [t for t in self.dispatcher.pools[_SERVICE].targets if t != target]
        request, got = self.place(source, others)
        assert got == target, got
        self.end(request, got, ending, is_target_gone)
        self.now_s += 0.1

    def fill(self, source: str, count: int) -> list[tuple[str, str]]:
        """Place many requests and return them with their targets."""
        return [self.place(source, []) for _ in range(count)]


@given("{count:d} targets in each of the failure domains north and south")
def use_cut(context: Context, count: int) -> None:
    context.cut = Cut(count)


@given("{count:d} targets in each of the failure domains north, south, east and west")
def use_four(context: Context, count: int) -> None:
    context.cut = Cut(count, ("north", "south", "east", "west"))


@when("the targets in south and east cannot be reached from north")
def lose_others(context: Context) -> None:
    context.cut.send("north", "south-0", Ending.unsent)
    context.cut.send("north", "east-0", Ending.unsent)


@when("two targets in south cannot be reached from north")
def lose_two(context: Context) -> None:
    context.cut.send("north", "south-0", Ending.unsent)
    context.cut.send("north", "south-1", Ending.silent)


@when("two targets in south refuse connections from north")
def refuse_two(context: Context) -> None:
    context.cut.send("north", "south-0", Ending.unsent, is_target_gone=True)
    context.cut.send("north", "south-1", Ending.unsent, is_target_gone=True)


@when("one target in south cannot be reached from north")
def lose_one(context: Context) -> None:
    context.cut.send("north", "south-0", Ending.unsent)


@when("another one in south answers a request from north")
def answer_other(context: Context) -> None:
    context.cut.send("north", "south-1", Ending.whole)


@when("the connection to a second one in south breaks")
def break_second(context: Context) -> None:
    context.cut.send("north", "south-1", Ending.broken)


@when("a third one in south cannot be reached from north")
def lose_third(context: Context) -> None:
    context.cut.send("north", "south-2", Ending.unsent)


@when("{length_s:g} s pass there")
def pass_time(context: Context, length_s: float) -> None:
    context.cut.now_s += length_s


@then("requests from north go to targets in north only")
def check_held_off(context: Context) -> None:
    got = [target for _, target in context.cut.fill("north", 12)]
    placed = [target for target in got if target]
    assert placed, got
    assert all(target.startswith("north") for target in placed), got


@then("requests from south still go to targets in south")
def check_other_way(context: Context) -> None:
    _, target = context.cut.place("south", [])
    assert target.startswith("south"), target


@then("requests from north may go to the others in south")
def check_open(context: Context) -> None:
    got = [target for _, target in context.cut.fill("north", 16)]
    assert [target for target in got if target.startswith("south")], got


@then("one request from north goes to south, others do not")
def check_probe(context: Context) -> None:
    got = context.cut.fill("north", 16)
    context.probes = [(r, target) for r, target in got if target.startswith("south")]
    assert len(context.probes) == 1, got


@when("that request is answered")
def answer_probe(context: Context) -> None:
    request, target = context.probes[0]
    context.then_placed = context.cut.end(request, target, Ending.whole)


@then("the requests that wait go to south")
def check_waiting_placed(context: Context) -> None:
    placed = context.then_placed
    assert len(placed) > 1, placed
    assert all(target.startswith("south") for target in placed), placed


@then("the link from {source} to {destination} is reported as {state}")
def check_reported(context: Context, source: str, destination: str, state: str) -> None:
    changes = {c.link: c for c in context.cut.dispatcher.reach.drain_changes()}
    change = changes[Link(source, destination)]
    assert change.is_open == (state == "regained"), change
    assert change.is_open or len(change.targets) == 2, change


@when("the targets in south, east and west cannot be reached from north")
def lose_three(context: Context) -> None:
    cut = context.cut
    sent = [(cut.place("north", ["north-0"])) for _ in range(3)]
    assert sorted(target for _, target in sent) == ["east-0", "south-0", "west-0"], sent
    for request, target in sent:
        cut.end(request, target, Ending.unsent)


def _count_probes(cut: Cut, source: str) -> int:
    """Place repeatable requests and count those at ejected targets."""
    got = [cut.place(source, [], is_repeatable=True)[1] for _ in range(4)]
    placed = [target for target in got if target]
    assert placed, got
    targets = cut.dispatcher.pools[_SERVICE].targets
    return sum(1 for target in placed if targets[target].is_ejected(cut.now_s))


@then("{count:d} repeatable requests from {source} go to targets that are ejected")
def check_probes(context: Context, count: int, source: str) -> None:
    assert _count_probes(context.cut, source) == count
