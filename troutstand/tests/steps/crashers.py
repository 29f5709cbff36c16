"""Run a body that ends the targets which run it, beside sound ones."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import wait_until
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from behave.runner import Context

DEADLY = b"deadly"
_ROUTE = "/stream/resume/"


def open_deadly(context: Context, engines: int) -> Scene:
    """Start a site whose engines end as they run one body."""
    scene = Scene(make_folder(context), engines=engines)
    context.scene = scene
    context.sites.append(scene)
    scene.open(next_subnet(context))
    for target in scene.targets:
        target.deadly_body = DEADLY
    return scene


@given("a routed site with {engines:d} engines that one body ends")
def open_site(context: Context, engines: int) -> None:
    open_deadly(context, engines)


@when("the deadly body is called once at each gateway")
def call_each(context: Context) -> None:
    scene = context.scene

    async def call() -> list[str]:
        gateways = scene.site.list_role(RoutingRole.gateway)
        return [(await scene.caller.call(g, _ROUTE, DEADLY)).request for g in gateways]

    context.requests = scene.background.run(call())


@when("{count:d} calls of {route} with bodies of their own are made")
def call_own(context: Context, count: int, route: str) -> None:
    scene = context.scene
    gateway = scene.site.list_role(RoutingRole.gateway)[0]

    async def call() -> list[str]:
        bodies = [f"body {number}".encode() for number in range(count)]
        return [(await scene.caller.call(gateway, route, body)).request for body in bodies]

    context.requests = scene.background.run(call())


def _read_failed(scene: Scene, requests: list[str]) -> list[dict[str, str]]:
    """Return the fields of the failed attempts of some requests."""
    lines = scene.site.read_logs().splitlines()
    found = [dict(re.findall(r"(\w+)=(\S+)", li)) for li in lines if "event=attempt_failed" in li]
    return [fields for fields in found if fields["request"] in requests]


def _wait_ended(scene: Scene, requests: list[str]) -> None:
    """Wait until the last line of each request is written."""

    async def is_written() -> bool:
        text = scene.site.read_logs()
        ends = r"event=(request_answered|request_refused|stream_broken_off) request={} "
        return all(re.search(ends.format(request), text) for request in requests)

    scene.background.run(wait_until(is_written, "the calls' ends are logged"))


@then("the logs name one fingerprint for both calls, and their targets as gone")
def check_gone(context: Context) -> None:
    _wait_ended(context.scene, context.requests)
    failed = _read_failed(context.scene, context.requests)
    assert len({fields["request"] for fields in failed}) == 2, failed
    assert len({fields["fingerprint"] for fields in failed}) == 1, failed
    broken = [fields for fields in failed if fields["ending"] == "broken"]
    assert len(broken) >= 2, failed
    assert all(fields["target_gone"] == "True" for fields in broken), broken


@then("the logs name a fingerprint for each call, and no target as gone")
def check_cut(context: Context) -> None:
    _wait_ended(context.scene, context.requests)
    failed = _read_failed(context.scene, context.requests)
    assert failed
    calls = {fields["request"] for fields in failed}
    assert len({fields["fingerprint"] for fields in failed}) == len(calls), failed
    assert all(fields["target_gone"] == "False" for fields in failed), failed
