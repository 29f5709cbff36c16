"""Call routed sites whose targets announce a rate limit."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.arrivals import find_limit_violations
from troutstand.testing.faultproxy import FaultKind, LinkFault
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import wait_until
from troutstand.testing.standins import Fault
from troutstand.tests.environment import make_folder
from troutstand.tests.steps.resting import (
    index_results,
    list_arrivals,
    list_some,
    open_scene,
)
from troutstand.tests.steps.routed import find_deciding, read_deciders

if TYPE_CHECKING:
    from behave.runner import Context

_REFUSALS = (429, 503)
# So long that targets without a limit do not suffice, in seconds.
_WORK_S = 0.2


@given("a routed site with {engines:d} engines and {plain:d} plain targets, whose links can be cut")
def open_cuttable(context: Context, engines: int, plain: int) -> None:
    open_scene(context, Scene(make_folder(context), engines=engines, plain=plain, is_proxied=True))
    for target in context.scene.targets:
        target.work_s = _WORK_S


@when("one gateway is cut off from the deciding scheduler and asks another")
def cut_one(context: Context) -> None:
    scene = context.scene

    async def cut() -> None:
        name = await find_deciding(scene)
        gateway = scene.site.list_role(RoutingRole.gateway)[0]
        for inward in (True, False):
            scene.proxies[name].set_link_fault(
                gateway.settings.bind_ip, inward, LinkFault(FaultKind.SILENCE)
            )
        await wait_until(lambda: _ask_two(scene), "the gateways ask two schedulers")

    scene.background.run(cut())


async def _ask_two(scene: Scene) -> bool:
    return len(read_deciders(scene) - {"alone"}) == 2


@then("both schedulers placed requests at a target with a limit")
def check_both(context: Context) -> None:
    site = context.scene.site
    for process in site.list_role(RoutingRole.scheduler):
        lines = process.log.read_text().splitlines()
        placed = [li for li in lines if "event=request_placed" in li and " limit_per_s=2 " in li]
        assert placed, f"{process.name} placed none"


@when("{count:d} {kind} name a limit of {limit} requests a second")
def name_limit(context: Context, count: int, kind: str, limit: str) -> None:
    for target in list_some(context, count, kind):
        target.limit = limit


@when("{count:d} {kind} name a limit of {limit} requests a second and answer with {fault}")
def name_limit_with(context: Context, count: int, kind: str, limit: str, fault: str) -> None:
    for target in list_some(context, count, kind):
        target.limit, target.fault = limit, Fault(fault)


@when("{count:d} {kind} name no limit any more")
def end_limit(context: Context, count: int, kind: str) -> None:
    name_limit(context, count, kind, "")


@then("no target got more than its limit of {limit_per_s:g} requests a second allows")
def check_limits(context: Context, limit_per_s: float) -> None:
    limit_notices = [naming for target in context.scene.targets for naming in target.limit_notices]
    assert limit_notices, "no target named a limit"
    limits = {float(naming.limit) for naming in limit_notices}
    assert limits == {limit_per_s}, limits
    over = find_limit_violations(list_arrivals(context), limit_notices, index_results(context))
    assert not over, f"{len(over)} windows: {over[:4]}"


@then("the first plain target got at least {least:d} requests in the last {length_s:g} s")
def check_used(context: Context, least: int, length_s: float) -> None:
    arrivals = list_some(context, 1, "plain targets")[0].arrivals
    ended_s = max(arrival.at_s for arrival in list_arrivals(context))
    late = [arrival for arrival in arrivals if arrival.at_s > ended_s - length_s]
    assert len(late) >= least, f"{len(late)} requests"


@then("{least:d} of these calls or more are answered")
def check_some_answered(context: Context, least: int) -> None:
    answered = sum(1 for result in context.calls if result.status == 200)
    assert answered >= least, f"{answered} of {len(context.calls)}"


@then(
    "whoever is refused within the last {length_s:g} s hears it within {most_s:g} s, "
    "and when to come back"
)
def check_refused(context: Context, length_s: float, most_s: float) -> None:
    from_s = time.monotonic() - length_s
    refused = [r for r in context.calls if r.status in _REFUSALS and r.began_s > from_s]
    assert refused, "nobody was refused"
    slow = [result for result in refused if result.duration_s > most_s]
    assert not slow, slow[:3]
    assert all(float(result.retry_after) > 0.0 for result in refused), refused[:3]
