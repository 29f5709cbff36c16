"""Feed the scheduler events on a virtual clock."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.prefix import hash_prefixes
from troutstand.core.scheduler import Scheduler
from troutstand.core.table import Row, Table, get_row_id
from troutstand.generated.messages import Finished, Grant, PlacementAsk, Preempt, Shed
from troutstand.generated.table import (
    Model,
    Protocol,
    Target,
    TargetState,
    Tier,
    Workspace,
)

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.core.shedding import Send

_MODEL = "m"
_SEED = 5


class Driver:
    """Drive a scheduler and keep what it sent."""

    def __init__(self, rows: list[Row]) -> None:
        self.table = Table()
        self.now_s = 0.0
        self.sent: list[Send] = []
        self.asks: dict[str, PlacementAsk] = {}
        self.granted: dict[str, str] = {}
        self.shed: dict[str, Shed] = {}
        self.preempted: list[str] = []
        self.finals: Counter[str] = Counter()
        self.order: list[str] = []
        self.inversions: list[str] = []
        self.scheduler = Scheduler("north", 10_000, _SEED, -10.0)
        self.set_rows(rows)

    def set_rows(self, rows: list[Row]) -> None:
        """Apply table rows."""
        for row in rows:
            self.table.rows[get_row_id(row)] = row
        self.scheduler.update_table(self.table)

    def submit(self, request: str, rank: int, workspace: str = "w", **fields: object) -> None:
        """Submit a request."""
        plain = {"prompt_tokens": 100, "answer_tokens": 50, "wait_ms": 60_000, **fields}
        ask = PlacementAsk(
            request=request, workspace=workspace, tier=f"t{rank}", serves=_MODEL, **plain
        )
        self.asks[request] = ask
        self.take(self.scheduler.submit("north-0.entry", ask, self.now_s))

    def finish(self, request: str, **fields: object) -> None:
        """End a granted request."""
        target = self.granted.pop(request)
        self.finals[request] += 1
        finished = Finished(request, target, **{"ok": True, **fields})
        self.take(self.scheduler.finish(finished, self.now_s))

    def advance(self, seconds: float) -> None:
        """Advance the clock in ticks."""
        for _ in range(round(seconds / 0.05)):
            self.now_s += 0.05
            self.take(self.scheduler.tick(self.now_s))

    def take(self, sends: list[Send]) -> None:
        """Record the messages of the scheduler, one by one."""
        for send in sends:
            match send.message:
                case Grant(request, target):
                    self.granted[request] = target
                    self.order.append(request)
                case Shed(request):
                    self.finals[request] += 1
                    self.shed[request] = send.message
                case Preempt(request):
                    self.preempted.append(request)
        # The decisions of one call are sent at the same time.
        for send in sends:
            if isinstance(send.message, Shed):
                self.check_inversion(send.message.request)

    def rank(self, request: str) -> int:
        """Return a request's rank."""
        return int(self.asks[request].tier[1:])

    def check_inversion(self, request: str) -> None:
        """Record whether lower tiers were served when a request was shed."""
        running = [other for other in self.granted if other not in self.preempted]
        waiting = [other for other in self.asks if self.scheduler.is_waiting(other)]
        lower = [o for o in running + waiting if self.rank(o) > self.rank(request)]
        if lower:
            self.inversions.append(f"{request} before {lower}")


def make_target(name: str, state: TargetState = TargetState.live) -> Target:
    """Make a target."""
    return Target(
        name, "north", Protocol.engine, "http://127.0.0.1:1", [_MODEL], slots=2, state=state
    )


@given("a scheduler with 2 targets of 2 slots and tiers of rank 0 to 3")
def make_scheduler(context: Context) -> None:
    tiers = [Tier(f"t{rank}", rank, 2.0, 0.5, 30.0) for rank in range(4)]
    workspace = Workspace("w", "0" * 64, "t0")
    rows = [*tiers, workspace, Model(_MODEL), make_target("a"), make_target("b")]
    context.driver = Driver(rows)


@given("all slots run requests of rank {rank:d}")
def fill_slots(context: Context, rank: int) -> None:
    for number in range(4):
        context.driver.submit(f"run{number}", rank)
    assert len(context.driver.granted) == 4


@when("requests of rank 3, 1, 2 and 0 are submitted and slots become free")
def submit_ranks(context: Context) -> None:
    driver = context.driver
    for rank in (3, 1, 2, 0):
        driver.submit(f"rank{rank}", rank, answer_tokens=1, prompt_tokens=1)
    for number in range(4):
        driver.finish(f"run{number}")


@then("they are granted in the order 0, 1, 2, 3")
def assert_order(context: Context) -> None:
    assert context.driver.order[4:] == ["rank0", "rank1", "rank2", "rank3"], context.driver.order


@when("a request of rank 0 is submitted and its slack is nearly over")
def submit_pressed(context: Context) -> None:
    context.driver.submit("high", 0)
    context.driver.advance(1.9)


@then("one request of rank 3 is cancelled and none of rank 0 is shed")
def assert_preempted(context: Context) -> None:
    driver = context.driver
    assert len(driver.preempted) == 1 and "high" not in driver.shed, (driver.preempted, driver.shed)
    driver.finish(driver.preempted[0], ok=False)
    assert "high" in driver.granted


@given("requests of rank {rank:d} wait")
def wait_requests(context: Context, rank: int) -> None:
    for number in range(2):
        context.driver.submit(f"low{number}", rank, prompt_tokens=1, answer_tokens=1)


@when("more requests of rank {rank:d} are submitted than can start in time")
def submit_many(context: Context, rank: int) -> None:
    for number in range(40):
        context.driver.submit(f"more{number}", rank)


@then("every waiting request of rank 2 was shed before the first of rank 1")
def assert_shed_order(context: Context) -> None:
    shed = list(context.driver.shed)
    first = next(index for index, name in enumerate(shed) if name.startswith("more"))
    assert {"low0", "low1"} <= set(shed[:first]), shed
    assert not context.driver.inversions, context.driver.inversions


@when("200 requests of rank 0 are submitted at once")
def submit_wave(context: Context) -> None:
    for number in range(200):
        context.driver.submit(f"wave{number}", 0)


@then("those that cannot start in time are refused at once")
def assert_refused_at_once(context: Context) -> None:
    assert context.driver.now_s == 0.0
    assert len(context.driver.shed) > 100, len(context.driver.shed)


@then("their retry times differ")
def assert_spread(context: Context) -> None:
    times = {shed.retry_after_ms for shed in context.driver.shed.values()}
    assert min(times) > 0 and len(times) > len(context.driver.shed) // 2, times


# Prefixes, health and draining


def submit_prompt(driver: Driver, request: str) -> None:
    """Submit the long prompt."""
    prefixes = hash_prefixes(_MODEL, "season of bore readings " * 2000)
    driver.submit(
        request,
        0,
        prompt_tokens=12_000,
        blocks=prefixes.blocks,
        block_tokens=prefixes.block_tokens,
    )


@when("a long prompt has run on one target")
def run_prompt(context: Context) -> None:
    driver = context.driver
    driver.submit("other", 0)
    submit_prompt(driver, "first")
    context.target = driver.granted["first"]
    driver.finish("first")
    driver.finish("other")


@when("the same prompt is submitted again")
def run_prompt_again(context: Context) -> None:
    submit_prompt(context.driver, "second")


@then("it is granted the same target")
def assert_same_target(context: Context) -> None:
    assert context.driver.granted["second"] == context.target


@when("a request ends on one target with a stall")
def stall(context: Context) -> None:
    context.driver.submit("stalled", 0)
    context.target = context.driver.granted["stalled"]
    context.driver.finish("stalled", ok=False, fault="target_timeout")


@then("the next 2 requests are granted the other target")
def assert_other_target(context: Context) -> None:
    driver = context.driver
    for number in range(2):
        driver.submit(f"next{number}", 0)
        assert driver.granted[f"next{number}"] != context.target, driver.granted


@then("after the backoff one request tries it again")
def assert_probe(context: Context) -> None:
    driver = context.driver
    driver.advance(1.2)
    for number in range(4):
        driver.submit(f"later{number}", 0)
    assert list(driver.granted.values()).count(context.target) == 1, driver.granted


@when("the table lists one target as draining")
def leave_by_table(context: Context) -> None:
    context.target = "a"
    context.driver.set_rows([make_target("a", TargetState.leaving)])


@when("the platform's list shows the other target as draining")
def leave_by_list(context: Context) -> None:
    context.driver.scheduler.update_leaving(frozenset({"b"}))


@then("a request is refused with {code:d}")
def assert_request_refused(context: Context, code: int) -> None:
    context.driver.submit("last", 0)
    assert context.driver.shed["last"].code == code, context.driver.shed


# Sharing


@given("workspaces with weights 3 and 1 that always have requests waiting")
def make_rivals(context: Context) -> None:
    driver = context.driver
    driver.set_rows(
        [Workspace("big", "1" * 64, "t0", 3.0), Workspace("small", "2" * 64, "t0", 1.0)]
    )
    driver.set_rows([Tier("t0", 0, 3000.0, 0.5, 3600.0)])
    for number in range(100):
        driver.submit(f"big-{number}", 0, "big", wait_ms=10**7)
        driver.submit(f"small-{number}", 0, "small", wait_ms=10**7)


@when("{count:d} slots become free")
def free_slots(context: Context, count: int) -> None:
    driver = context.driver
    while len(driver.order) < count:
        driver.finish(next(iter(driver.granted)))


@then("they got {big:d} and {small:d} grants, give or take {slack:d}")
def assert_shares(context: Context, big: int, small: int, slack: int) -> None:
    counts = Counter(name.split("-")[0] for name in context.driver.order[: big + small])
    assert abs(counts["big"] - big) <= slack and abs(counts["small"] - small) <= slack, counts


@given("a scheduler that took over {age_s:d} s ago")
def take_over(context: Context, age_s: int) -> None:
    driver = context.driver
    driver.scheduler = Scheduler("north", 10_000, _SEED, driver.now_s - age_s)
    driver.set_rows([])


@given("a workspace limited to 100 tokens a second")
def make_limited(context: Context) -> None:
    context.driver.set_rows([Workspace("w", "0" * 64, "t0", 1.0, 100.0)])


@when("it submits 50 requests of 100 tokens at once")
def submit_limited(context: Context) -> None:
    for number in range(50):
        context.driver.submit(f"r{number}", 0, prompt_tokens=50, answer_tokens=50)


@then("at most {most:d} are granted and the others refused with {code:d}")
def assert_limited(context: Context, most: int, code: int) -> None:
    driver = context.driver
    waiting = sum(driver.scheduler.is_waiting(name) for name in driver.asks)
    assert 0 < len(driver.granted) + waiting <= most, driver.granted
    assert {shed.code for shed in driver.shed.values()} == {code}


@given("a workspace limited to 1 running request")
def make_single(context: Context) -> None:
    context.driver.set_rows([Workspace("w", "0" * 64, "t0", running_requests=1)])


@when("a request runs on a target that is then deleted")
def delete_target(context: Context) -> None:
    driver = context.driver
    driver.submit("first", 0)
    row = driver.table.select(Target)[driver.granted["first"]]
    del driver.table.rows[get_row_id(row)]
    driver.scheduler.update_table(driver.table)


@then("the next request is granted")
def assert_next_granted(context: Context) -> None:
    context.driver.submit("second", 0)
    assert "second" in context.driver.granted, context.driver.shed


# Random load


@when("{count:d} random events are fed, seed {seed:d}")
def feed_random(context: Context, count: int, seed: int) -> None:
    driver, random_ = context.driver, random.Random(seed)
    for number in range(count):
        kind = random_.random()
        if kind < 0.5:
            tokens = random_.choice([1, 20, 400])
            driver.submit(f"r{number}", random_.randrange(4), answer_tokens=tokens)
        elif kind < 0.8 and driver.granted:
            driver.finish(random_.choice(sorted(driver.granted)), ok=random_.random() < 0.95)
        else:
            driver.advance(random_.choice([0.05, 0.3, 1.0]))
        for request in [r for r in driver.preempted if r in driver.granted]:
            driver.finish(request, ok=False)
    while driver.granted:
        driver.finish(next(iter(driver.granted)))


@then("no request was shed while a lower one waited or ran on its targets")
def assert_no_inversion(context: Context) -> None:
    assert len(context.driver.shed) > 50, len(context.driver.shed)
    assert not context.driver.inversions, context.driver.inversions[:3]
    assert context.driver.scheduler.inversions == 0


@then("every request got exactly one final answer")
def assert_finals(context: Context) -> None:
    driver = context.driver
    left = [name for name in driver.asks if driver.finals[name] != 1]
    assert not left, [(name, driver.finals[name]) for name in left[:5]]
