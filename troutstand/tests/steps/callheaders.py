"""Parse the optional headers of a caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.configuration import RouteTable
from troutstand.routing.calls import parse_call
from troutstand.routing.dialect import Dialect
from troutstand.tests.steps.configuration import make_configuration, make_route

if TYPE_CHECKING:
    from behave.runner import Context

_MS_PER_S = 1000.0


@given("a call with {prompt:d} prompt tokens and at most {output:d} output tokens")
def use_call(context: Context, prompt: int, output: int) -> None:
    context.route = make_route("r", "/")
    context.names = Dialect().headers
    context.headers = {
        "host": context.route.host,
        context.names.request: "one",
        context.names.tokens: f"{prompt},{output}",
    }


def _parse(context: Context, name: str, value: str) -> None:
    table = RouteTable(make_configuration([context.route]))
    headers = {**context.headers, name: value}
    context.call = parse_call(table, context.names, headers, "/")


@when("its output estimate is {value}")
def send_estimate(context: Context, value: str) -> None:
    _parse(context, context.names.output_estimate, value)


@when("its deadline is {value}")
def send_deadline(context: Context, value: str) -> None:
    _parse(context, context.names.deadline_ms, value)


@then("{count:d} output tokens are expected")
def check_expected_output(context: Context, count: int) -> None:
    assert context.call.expected_output == count, context.call.expected_output


@then("its deadline is the timeout of its route")
def check_deadline(context: Context) -> None:
    left_s = context.call.deadline_s - context.call.arrived_s
    assert abs(left_s - context.route.timeout_ms / _MS_PER_S) < 1e-6, left_s
