"""Parse the optional headers of a caller's request."""

from __future__ import annotations

import gzip
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.codes import ResultCode
from troutstand.core.configuration import RouteTable
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import Part
from troutstand.generated.routing import RoutingRole
from troutstand.routing.calls import parse_call
from troutstand.routing.dialect import Dialect
from troutstand.testing.routedsite import HOST, KEY
from troutstand.tests.steps.configuration import make_configuration, make_route

if TYPE_CHECKING:
    from behave.runner import Context

_MS_PER_S = 1000.0
_BODY = gzip.compress(b"a command that compresses well " * 40)


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


@when("it is sent with {value}")
def send_value(context: Context, value: str) -> None:
    names = context.names
    name, text = {
        "a request ID of 129 characters": (names.request, "x" * 129),
        "a request ID of 4000 characters": (names.request, "x" * 4000),
        "a request ID outside ASCII": (names.request, "\udce9"),
        "a model of 257 characters": (names.model, "x" * 257),
        "a token count of 40 digits": (names.tokens, "9" * 40),
        "parts that do not fit and one that does": (
            names.parts,
            f"{'x' * 129}:5,\udce9:5,long:{'9' * 20},a1:5",
        ),
    }[value]
    context.refused = None
    try:
        _parse(context, name, text)
    except TroutstandError as error:
        context.refused = error


@then("it is refused as a field that is not valid")
def check_refused(context: Context) -> None:
    assert context.refused is not None, "the call was taken"
    assert context.refused.code is ResultCode.FIELD_INVALID, context.refused


@then("only the part that fits is kept")
def check_parts(context: Context) -> None:
    assert context.refused is None, context.refused
    assert context.call.parts == [Part("a1", 5)], context.call.parts


@when("{count:d} commands are sent with a compressed body")
def send_compressed(context: Context, count: int) -> None:
    scene = context.scene
    gateway = scene.site.list_role(RoutingRole.gateway)[0]
    url = f"http://{gateway.settings.callers}/do/x"

    async def send(number: int) -> int:
        headers = {
            "Host": HOST,
            "X-Request-Id": f"compressed-{number}",
            "X-Workspace-Key": KEY,
            "X-Deadline-Ms": "3000",
            "Content-Encoding": "gzip",
        }
        async with scene.session.post(url, headers=headers, data=_BODY) as response:
            await response.read()
            return response.status

    context.statuses = [scene.background.run(send(number)) for number in range(count)]


@then("each of these commands reaches its target byte for byte")
def check_bodies(context: Context) -> None:
    runs = [run for target in context.scene.targets for run in target.runs]
    assert context.statuses == [200] * len(context.statuses), context.statuses
    assert len(runs) == len(context.statuses), len(runs)
    changed = [run.request for run in runs if run.body_digest != hash(_BODY)]
    assert not changed, f"{len(changed)} of {len(runs)} bodies were changed"
