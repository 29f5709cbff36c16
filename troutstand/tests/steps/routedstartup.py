"""Check the settings of a routed site's processes with the real daemon."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

import msgspec
from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedsite import RoutedPlan, RoutedSite
from troutstand.testing.standins import StandInList
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from behave.runner import Context


_LOG_S = 30.0
_POLL_S = 0.05


def prepare(context: Context) -> RoutedSite:
    """Prepare a site without starting it."""
    targets = StandInList([])
    targets.address = "127.0.0.1:80"
    plan = RoutedPlan(subnet=next_subnet(context))
    site = RoutedSite(make_folder(context), plan, targets)
    site.prepare()
    return site


def make_settings(context: Context, role: str) -> dict[str, Any]:
    """Make valid settings."""
    process = prepare(context).list_role(RoutingRole(role))[0]
    plain = msgspec.to_builtins(process.settings)
    plain["seeds"] = plain["seeds"][:1]
    return plain


def spoil(plain: dict[str, Any], field: str, value: str) -> None:
    """Set a field, or append to the seeds."""
    if field.startswith("seeds"):
        plain["seeds"].append(value)
    else:
        plain[field] = value


def write_settings(context: Context, plain: dict[str, Any]) -> None:
    """Write the settings that the daemon reads."""
    context.settings = make_folder(context) / "settings.json"
    context.settings.write_text(json.dumps(plain))
    context.is_routed = True


@given("the settings of a routed {role} whose {field} is {value}")
def make_spoilt(context: Context, role: str, field: str, value: str) -> None:
    plain = make_settings(context, role)
    spoil(plain, field, value)
    write_settings(context, plain)


@given("the settings of a routed {role} with")
def make_spoilt_fields(context: Context, role: str) -> None:
    plain = make_settings(context, role)
    for row in context.table:
        spoil(plain, row["field"], row["value"])
    write_settings(context, plain)


@given("the settings of a routed {role} without {field}")
def make_short(context: Context, role: str, field: str) -> None:
    plain = make_settings(context, role)
    del plain[field]
    write_settings(context, plain)


@given("a routed gateway that runs")
def run_gateway(context: Context) -> None:
    site = prepare(context)
    context.sites.append(site)
    context.process = site.list_role(RoutingRole.gateway)[0]
    site.start(context.process.name)
    wait_logged(context, "event=process_started")


def wait_logged(context: Context, text: str) -> str:
    """Return the first line of the process's log that contains a text."""
    end_s = time.monotonic() + _LOG_S
    while time.monotonic() < end_s:
        for line in context.process.log.read_text().splitlines():
            if text in line:
                return line
        time.sleep(_POLL_S)
    raise AssertionError(f"{text} is not in {context.process.log.read_text()}")


@when("its settings get a bad seed and a bad target list")
def spoil_running(context: Context) -> None:
    plain = msgspec.to_builtins(context.process.settings)
    plain["seeds"] = ["keeper.example:7702"]
    plain["target_list"] = "127.0.0.1"
    context.process.path.write_text(json.dumps(plain))


@then("it logs settings_refused with {code:d} and both fields")
def assert_refused(context: Context, code: int) -> None:
    line = wait_logged(context, "event=settings_refused")
    assert f"code={code}" in line, line
    assert "keeper.example:7702" in line, line
    assert "target_list" in line, line


@then("it is still running")
def assert_running(context: Context) -> None:
    assert context.process.is_running, context.process.log.read_text()


@then("it has logged nothing")
def assert_silent(context: Context) -> None:
    assert "event=" not in context.printed, context.printed
