"""Check the settings of a routed site's processes with the real daemon."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import msgspec
from behave import given, then

from troutstand.generated.routing import RoutingRole
from troutstand.testing.routedsite import RoutedPlan, RoutedSite
from troutstand.testing.standins import StandInList
from troutstand.tests.environment import make_folder, next_subnet

if TYPE_CHECKING:
    from behave.runner import Context


def make_settings(context: Context, role: str) -> dict[str, Any]:
    """Make settings in order."""
    targets = StandInList([])
    targets.address = "127.0.0.1:80"
    plan = RoutedPlan(subnet=next_subnet(context))
    site = RoutedSite(make_folder(context), plan, targets)
    site.lay_out()
    settings = site.list_role(RoutingRole(role))[0].settings
    plain = msgspec.to_builtins(settings)
    plain["seeds"] = plain["seeds"][:1]
    return plain


def spoil(plain: dict[str, Any], field: str, value: str) -> None:
    """Put a value into a field, or behind the seeds."""
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


@then("it has logged nothing")
def assert_silent(context: Context) -> None:
    assert "event=" not in context.printed, context.printed
