"""Roll versions out on a site of separate processes."""

from __future__ import annotations

import asyncio
import json
import shutil
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import aiohttp
from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedscene import Scene
from troutstand.testing.routedsite import ConfigurationPlan, wait_until
from troutstand.testing.standins import Fault, StandInTarget
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.testing.routedcaller import CallResult

_CALLERS = 3
_PAUSE_S = 0.01
# As on sites where rollouts are ordered.
_UNORDERED_AFTER_S = 5.0
_ORDER = {"service": "work", "version": "v2", "duration_s": 60.0}


@given('a routed site whose targets run "{version}"')
def open_versions(context: Context, version: str) -> None:
    context.scene = Scene(make_folder(context), version, unordered_after_s=_UNORDERED_AFTER_S)
    context.sites.append(context.scene)
    context.scene.open(next_subnet(context))
    # The first list that a scheduler reads defines the stable version.
    context.scene.background.run(
        wait_until(lambda: _is_noted(context.scene, version), "the version in force is decided")
    )


async def _is_noted(scene: Scene, version: str) -> bool:
    lines = scene.site.read_logs().splitlines()
    noted = [line for line in lines if "rollout_in_force" in line and f"in_force={version}" in line]
    return any("service=work" in line for line in noted)


@given("calls of /get/ and /do/ run all the time")
def run_calls(context: Context) -> None:
    scene = context.scene
    context.calling = True

    async def call_on(route: str) -> None:
        gateways = scene.site.list_role(RoutingRole.gateway)
        number = 0
        while context.calling:
            number += 1
            await scene.caller.call(gateways[number % len(gateways)], route, b"x")
            await asyncio.sleep(_PAUSE_S)

    async def start() -> None:
        context.callers = [
            asyncio.create_task(call_on(route))
            for route in ("/get/", "/do/")
            for _ in range(_CALLERS)
        ]

    scene.background.run(start())


def _stop_calls(context: Context) -> list[CallResult]:
    context.calling = False

    async def finish() -> None:
        await asyncio.gather(*context.callers)

    context.scene.background.run(finish())
    return context.scene.caller.results


def _add_targets(context: Context, count: int, service: str, version: str, fault: Fault) -> None:
    scene = context.scene
    for number in range(count):
        target = StandInTarget(
            f"{service}-{version}-{number}", service, version=version, fault=fault
        )
        scene.background.run(target.start())
        scene.targets.append(target)


@given('{count:d} targets of "{service}" that run "{version}" are listed')
def add_targets(context: Context, count: int, service: str, version: str) -> None:
    _add_targets(context, count, service, version, Fault.NONE)


@given('{count:d} targets of "{service}" in "{version}" that fail half of their answers are listed')
def add_failing(context: Context, count: int, service: str, version: str) -> None:
    _add_targets(context, count, service, version, Fault.ERRORS)


@when('a rollout of "{service}" to "{version}" within {duration_s:d} s is ordered')
def order(context: Context, service: str, version: str, duration_s: int) -> None:
    scene = context.scene
    body: dict[str, object] = {"service": service, "version": version, "duration_s": duration_s}
    context.ordered_s = time.monotonic()
    assert scene.background.run(scene.site.begin_rollout(scene.session, "keeper-1", body)) == 200


@when("the old targets are stopped as soon as it is completed")
def stop_old(context: Context) -> None:
    scene = context.scene

    async def is_completed() -> bool:
        _, state = await scene.site.read_rollout(scene.session, "keeper-2", "work")
        return state == "completed"

    async def follow() -> None:
        await wait_until(is_completed, "the rollout is completed", 20.0)
        context.completed_s = time.monotonic()
        for target in [t for t in scene.targets if t.service == "work" and t.version == "v1"]:
            await target.crash()
            scene.targets.remove(target)

    scene.background.run(follow())


@then("it is {state} within {limit_s:g} s")
def check_state(context: Context, state: str, limit_s: float) -> None:
    scene = context.scene

    async def is_there() -> bool:
        _, told = await scene.site.read_rollout(scene.session, "keeper-3", "work")
        return told == state

    scene.background.run(wait_until(is_there, f"the rollout is {state}", limit_s))
    done_s = getattr(context, "completed_s", time.monotonic())
    assert done_s - context.ordered_s < limit_s, done_s - context.ordered_s


@given('a service "{service}" without targets')
def add_service(context: Context, service: str) -> None:
    scene = context.scene
    body = ConfigurationPlan(2, services=("work", "engine", service)).encode()
    scene.background.run(scene.site.write_anywhere(scene.session, body))


@then('the rollout of "{service}" is {state} within {limit_s:d} s')
def check_end(context: Context, service: str, state: str, limit_s: int) -> None:
    scene = context.scene

    async def is_there() -> bool:
        _, told = await scene.site.read_rollout(scene.session, "keeper-2", service)
        return told == state

    scene.background.run(wait_until(is_there, f"the rollout is {state}", limit_s))


@then("no call was lost")
def check_none_lost(context: Context) -> None:
    time.sleep(2.0)
    lost = [r for r in _stop_calls(context) if r.status != 200]
    assert not lost, lost[:5]


def _list_starts(context: Context, version: str) -> list[float]:
    targets = [t for t in context.scene.list.targets if t.version == version]
    return [run.started_s for target in targets for run in target.runs]


@then('targets of "{version}" got at most {share:g} of the calls before {length_s:d} s, and some')
def check_share(context: Context, version: str, share: float, length_s: int) -> None:
    until_s = context.ordered_s + length_s
    sampled = sum(1 for s in _list_starts(context, version) if s < until_s)
    calls = [r for r in context.scene.caller.results if context.ordered_s < r.began_s < until_s]
    assert 0 < sampled <= share * len(calls), (sampled, len(calls))


@then('all calls of the last second went to "{version}"')
def check_moved(context: Context, version: str) -> None:
    last_s = max(r.began_s for r in context.scene.caller.results) - 1.0
    calls = [r for r in context.scene.caller.results if r.began_s > last_s]
    started = [s for s in _list_starts(context, version) if s > last_s]
    assert calls and len(started) >= len(calls), (len(started), len(calls))


@then('targets of "{version}" got less than {most:d} calls and none afterwards')
def check_few(context: Context, version: str, most: int) -> None:
    known_s = time.monotonic() + 1.0
    time.sleep(3.0)
    _stop_calls(context)
    starts = _list_starts(context, version)
    assert 0 < len(starts) < most, len(starts)
    assert max(starts) < known_s, max(starts) - known_s


@when("the calls go on for {length_s:d} s")
def let_calls_go_on(context: Context, length_s: int) -> None:
    time.sleep(length_s)


@then('targets of "{version}" got no call')
def check_no_call(context: Context, version: str) -> None:
    assert len(_stop_calls(context)) > 50
    assert not _list_starts(context, version)


@when("all schedulers and gateways are killed and start again")
def restart_others(context: Context) -> None:
    site = context.scene.site
    names = [p.name for p in site.processes.values() if p.settings.role is not RoutingRole.keeper]
    for name in names:
        site.kill(name)
    for name in names:
        site.start(name)


@when("all keepers are killed, one loses its disk, and all start again")
def restart_keepers(context: Context) -> None:
    site = context.scene.site
    keepers = site.list_role(RoutingRole.keeper)
    for keeper in keepers:
        site.kill(keeper.name)
    shutil.rmtree(keepers[0].settings.data_folder)
    for keeper in keepers:
        site.start(keeper.name)


@then("every keeper eventually reports that the rollout is {state}")
def check_told(context: Context, state: str) -> None:
    scene = context.scene

    async def is_told() -> bool:
        names = [p.name for p in scene.site.list_role(RoutingRole.keeper)]
        told = [await scene.site.read_rollout(scene.session, name, "work") for name in names]
        return all(answer == (200, state) for answer in told)

    scene.background.run(wait_until(is_told, f"every keeper tells {state}"))


def _send_everywhere(context: Context, body: dict[str, object]) -> list[int]:
    scene = context.scene
    names = [p.name for p in scene.site.list_role(RoutingRole.keeper)]
    run = scene.background.run
    return [run(scene.site.begin_rollout(scene.session, name, body)) for name in names]


@then("the same order is acknowledged again at each keeper")
def check_again(context: Context) -> None:
    assert set(_send_everywhere(context, _ORDER)) == {200}


@then('an order to "{version}" is refused with {status:d} at each keeper')
def check_other(context: Context, version: str, status: int) -> None:
    assert set(_send_everywhere(context, _ORDER | {"version": version})) == {status}


@then("the rollout's state at {name} is refused with {status:d}")
def check_unsure(context: Context, name: str, status: int) -> None:
    scene = context.scene
    url = f"http://{scene.site.processes[name].settings.control}/rollouts/work"

    async def read() -> int:
        async with scene.session.get(url) as response:
            return response.status

    assert scene.background.run(read()) == status


@then("an order of {body} is refused with {status:d}")
def check_refused(context: Context, body: str, status: int) -> None:
    scene = context.scene
    url = f"http://{scene.site.processes['keeper-1'].settings.control}/rollouts"
    limit = aiohttp.ClientTimeout(total=3.0)

    async def send() -> int:
        async with scene.session.post(url, data=body.encode(), timeout=limit) as response:
            told = json.loads(await response.read())
            assert told["errors"][0]["code"] >= 1000, told
            return response.status

    assert scene.background.run(send()) == status


# The command line


def _list_keepers(context: Context) -> list[str]:
    site = context.scene.site
    return [p.settings.control for p in site.list_role(RoutingRole.keeper)]


def _run_rollout(context: Context, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run troutstandctl with an unreachable first keeper."""
    site = context.scene.site
    keepers = ["127.0.0.1:9", *_list_keepers(context)]
    options = [part for keeper in keepers for part in ("--keeper", keeper)]
    command = [sys.executable, "-m", "troutstand.control.main", "rollout", *arguments]
    return subprocess.run(
        [*command, *options], cwd=site.folder, capture_output=True, text=True, check=False
    )


@when('troutstandctl orders "{service}" to "{version}" within {within_s:d} s')
def order_by_command(context: Context, service: str, version: str, within_s: int) -> None:
    done = _run_rollout(context, "begin", service, version, "--within-s", str(within_s))
    assert done.returncode == 0, done


@then('troutstandctl shows "{version}" as {state}')
def check_shown(context: Context, version: str, state: str) -> None:
    done = _run_rollout(context, "status", "work", "--json")
    assert done.returncode == 0, done
    told = json.loads(done.stdout)
    assert (told["version"], told["state"]) == (version, state), told


@when('troutstandctl aborts the rollout of "{service}"')
def abort_by_command(context: Context, service: str) -> None:
    assert _run_rollout(context, "abort", service).returncode == 0


@then("troutstandctl refuses to abort it again with {code:d}")
def check_abort_refused(context: Context, code: int) -> None:
    done = _run_rollout(context, "abort", "work")
    assert done.returncode != 0 and str(code) in done.stderr + done.stdout, done


@then('troutstandctl refuses the keeper "{keeper}" with {code:d}')
def check_keeper_refused(context: Context, keeper: str, code: int) -> None:
    done = _run_rollout(context, "status", "work", "--keeper", keeper)
    assert done.returncode != 0 and str(code) in done.stderr + done.stdout, done
