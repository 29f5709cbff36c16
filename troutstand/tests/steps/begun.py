"""Break streams that have begun, and read what their callers get byte for byte."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.rawcaller import RawAnswer, call_raw
from troutstand.testing.routedsite import wait_until
from troutstand.testing.standins import ContinuedAnswer, make_event
from troutstand.tests.steps.routed import open_scene

if TYPE_CHECKING:
    from behave.runner import Context

_REQUEST = "begun-1"
_LIMIT_S = 8.0
_TEXT = "text/plain"
_ANSWERS = {
    "500 with a text": ContinuedAnswer("500 Fault", _TEXT, b"broken"),
}


@given("a routed site whose engines break streams and answer {answer} when asked to go on")
def open_continued(context: Context, answer: str) -> None:
    open_scene(context)
    for target in context.scene.targets:
        target.continued = _ANSWERS[answer]


@when("a stream of {route} is read to the end of its connection")
def read_stream(context: Context, route: str) -> None:
    scene = context.scene
    gateway = scene.site.list_role(RoutingRole.gateway)[0]
    reading = call_raw(gateway.settings.callers, route, _REQUEST, _LIMIT_S)
    context.answer = scene.background.run(reading)


@then("the caller has read one head, only whole events, and no end of the answer")
def check_answer(context: Context) -> None:
    _check_cut(context.answer, make_event(_REQUEST, 1))


def _check_cut(answer: RawAnswer, body: bytes) -> None:
    assert not answer.error, answer
    assert (answer.heads, answer.status) == (1, 200), answer
    assert answer.body == body, answer
    assert not answer.is_complete, answer


@then("the gateway's log tells that the stream broke off")
def check_log(context: Context) -> None:
    scene = context.scene

    async def is_told() -> bool:
        lines = [line for line in scene.site.read_logs().splitlines() if _REQUEST in line]
        assert not [line for line in lines if "event=request_answered" in line], lines
        return any("event=stream_broken_off" in line for line in lines)

    scene.background.run(wait_until(is_told, "the stream's end is logged"))
