"""Call routed sites whose targets answer after the objective of their requests."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import TYPE_CHECKING

from behave import then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedsite import wait_until
from troutstand.testing.standins import Fault
from troutstand.tests.steps.resting import list_some

_REFUSALS = (502, 504)
_DEADLINE_TOLERANCE_S = 0.25

if TYPE_CHECKING:
    from behave.runner import Context


@when("{count:d} targets take requests and do not answer")
def mute(context: Context, count: int) -> None:
    for target in list_some(context, count, "targets"):
        target.fault = Fault.MUTE


@when("a call of {route} is given up after {length_s:g} s")
def give_up(context: Context, route: str, length_s: float) -> None:
    scene = context.scene
    gateway = scene.site.list_role(RoutingRole.gateway)[0]

    async def call() -> None:
        calling = asyncio.create_task(scene.caller.call(gateway, route, b"x"))
        await asyncio.wait({calling}, timeout=length_s)
        assert not calling.done(), scene.caller.results[-1]
        calling.cancel()
        await asyncio.wait({calling})

    scene.background.run(call())


@then("its target has nothing running within {most_s:g} s")
def check_idle(context: Context, most_s: float) -> None:
    scene = context.scene
    assert scene.targets[0].runs, "the request has not run"

    async def is_idle() -> bool:
        return all(target.count_running() == 0 for target in scene.targets)

    scene.background.run(wait_until(is_idle, "the target is idle", most_s))


@then("no request ran twice at its target")
def check_once(context: Context) -> None:
    runs = [run for target in context.scene.targets for run in target.runs]
    repeated = [key for key, n in Counter((r.target, r.request) for r in runs).items() if n > 1]
    assert not repeated, repeated


@then('each of these calls is refused at its deadline of {deadline_s:g} s, and not as "not run"')
def check_refused(context: Context, deadline_s: float) -> None:
    assert context.calls, "no call was made"
    for result in context.calls:
        assert result.status in _REFUSALS, result
        assert abs(result.duration_s - deadline_s) <= _DEADLINE_TOLERANCE_S, result
        assert json.loads(result.body)["run"] != "no", result.body
