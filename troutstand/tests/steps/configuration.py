"""Validate configurations and look up routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then

from troutstand.core.configuration import RouteTable, check_configuration, pick_service
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.generated.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RoutedService,
    RoutedWorkspace,
    RouteKind,
    WeightedService,
)

if TYPE_CHECKING:
    from behave.runner import Context


def make_route(name: str, prefix: str, *split: tuple[str, float]) -> Route:
    """Make a route at one.example."""
    shares = [WeightedService(service, weight) for service, weight in split or (("work", 1.0),)]
    return Route(
        name=name,
        host="one.example",
        prefix=prefix,
        kind=RouteKind.idempotent,
        timeout_ms=1000,
        split=shares,
    )


def make_configuration(
    routes: list[Route], workspaces: list[RoutedWorkspace] | None = None, version: int = 1
) -> Configuration:
    """Make a configuration with two services."""
    return Configuration(
        version=version,
        limits=CallerLimits(),
        routes=routes,
        services=[RoutedService("work"), RoutedService("other")],
        workspaces=workspaces or [],
    )


def _make_faulty(fault: str) -> Configuration:
    match fault:
        case "a route to an unknown service":
            return make_configuration([make_route("r", "/", ("ghost", 1.0))])
        case "two routes at one place":
            return make_configuration([make_route("r", "/a/"), make_route("s", "/a/")])
        case "weights that sum to 0":
            return make_configuration([make_route("r", "/", ("work", 0.0), ("other", 0.0))])
        case "a key of two workspaces":
            shared = [RoutedWorkspace("w", keys=["k"]), RoutedWorkspace("v", keys=["k"])]
            return make_configuration([make_route("r", "/")], shared)
    raise AssertionError(fault)


@given("a configuration with nested routes")
def use_nested(context: Context) -> None:
    routes = [make_route("outer", "/a/"), make_route("inner", "/a/b/")]
    context.route_table = RouteTable(make_configuration(routes))


@given("a configuration with a split of {first:d} and {second:d}")
def use_split(context: Context, first: int, second: int) -> None:
    context.route = make_route("split", "/", ("work", first), ("other", second))


@given("a configuration with {fault}")
def use_faulty(context: Context, fault: str) -> None:
    context.configuration = _make_faulty(fault)


@then("checking it fails with {code:d} and names {named}")
def check_fails(context: Context, code: int, named: str) -> None:
    try:
        check_configuration(context.configuration)
    except* TroutstandError as group:
        errors = flatten_group(group)
        assert all(int(error.code) == code for error in errors), errors
        assert any(named in str(error) for error in errors), errors
    else:
        raise AssertionError("the configuration passed")


@then("the path {path} at {host} goes to route {name}")
def check_route(context: Context, path: str, host: str, name: str) -> None:
    route = context.route_table.find_route(host, path.partition("?")[0])
    found = route.name if route else "none"
    assert found == name, f"{path} at {host} went to {found}"


@then("of {count:d} requests between {low:d} and {high:d} go to the first service")
def check_split(context: Context, count: int, low: int, high: int) -> None:
    context.choices = [pick_service(context.route, f"request-{n}") for n in range(count)]
    first = context.choices.count("work")
    assert low <= first <= high, first


@then("each request goes the same way again")
def check_stable(context: Context) -> None:
    again = [pick_service(context.route, f"request-{n}") for n in range(len(context.choices))]
    assert again == context.choices
