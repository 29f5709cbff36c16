"""Explain requests from log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.control.explanation import explain_request
from troutstand.control.timeline import merge_logs

if TYPE_CHECKING:
    from behave.runner import Context

_GATEWAY = "host=edge-1 process=edge-1.gateway"
_SCHEDULER = "host=core-1 process=core-1.scheduler"
_COMMON = [
    f"at=1.0 {_GATEWAY} event=configuration_in_force version=6 before=0",
    "at=1.1 host=edge-2 process=edge-2.gateway event=configuration_in_force version=5 before=0",
    f"at=1.2 {_GATEWAY} event=scheduler_changed before=alone now=core-1",
    f"at=1.3 {_SCHEDULER} event=targets_changed count=3 version=abc",
]
_KINDS = {
    "a refusal under load": [
        f"at=5.0 {_SCHEDULER} event=request_declined request=r1 code=3001 "
        'reason="waited_s=0 expected_s=2"',
        f"at=5.1 {_GATEWAY} event=request_refused request=r1 code=3001 status=429",
    ],
    "a limit that is reached": [
        f"at=5.0 {_SCHEDULER} event=request_declined request=r1 code=3003 "
        'reason="workspace=w charge=5"',
        f"at=5.1 {_GATEWAY} event=request_refused request=r1 code=3003 status=429",
    ],
    "a broken stream": [
        f"at=4.0 {_GATEWAY} event=attempt_failed request=r2 target=t1 ending=broken",
        f"at=4.1 {_GATEWAY} event=attempt_failed request=r3 target=t1 ending=broken",
        f"at=4.2 {_GATEWAY} event=attempt_failed request=r4 target=t2 ending=broken",
        f"at=5.0 {_GATEWAY} event=attempt_failed request=r1 target=t1 ending=broken detail=reset",
        f"at=5.1 {_GATEWAY} event=stream_broken_off request=r1 code=5003 status=200",
    ],
    "a stream that another target fails": [
        f"at=5.0 {_GATEWAY} event=attempt_failed request=r1 target=t1 ending=broken detail=reset",
        f"at=5.1 {_GATEWAY} event=attempt_failed request=r1 target=t2 ending=failed "
        'detail="no events" status=500 begun_ms=80',
        f"at=5.2 {_GATEWAY} event=stream_broken_off request=r1 code=5003 status=200",
    ],
    "a stream that began": [
        f"at=5.1 {_GATEWAY} event=stream_broken_off request=r1 code=5003 status=200 begun_ms=80",
    ],
    "a late answer": [
        f"at=4.0 {_SCHEDULER} event=request_placed request=r1 target=t1 waited_ms=700 "
        "expected_ms=50",
        f"at=4.5 {_GATEWAY} event=configuration_in_force version=7 before=6",
        f"at=5.1 {_GATEWAY} event=request_answered request=r1 status=200 total_ms=900 "
        "first_ms=60 version=6",
    ],
    "a first byte too late": [
        f"at=5.1 {_GATEWAY} event=request_answered request=r1 status=200 total_ms=900 "
        "objective_ms=300 waited_ms=60 first_ms=280 pause_ms=20 version=6",
    ],
    "a long pause": [
        f"at=5.1 {_GATEWAY} event=request_answered request=r1 status=200 total_ms=900 "
        "objective_ms=300 waited_ms=0 first_ms=80 pause_ms=340 version=6",
    ],
    "an answer without a byte": [
        f"at=4.0 {_SCHEDULER} event=request_placed request=r1 target=t1 waited_ms=0 expected_ms=9",
        f"at=5.1 {_GATEWAY} event=request_answered request=r1 status=500 total_ms=20 version=6",
    ],
    "a stop amid its answer": [
        f"at=4.0 {_GATEWAY} event=stop_started open=1",
        f"at=5.0 {_GATEWAY} event=request_cut request=r1 code=3006 status=0",
    ],
    "no end": [f"at=4.0 {_GATEWAY} event=attempt_failed request=r1 target=t1 ending=broken"],
}


@given("the logs of a gateway and a scheduler with {kind}")
def use_logs(context: Context, kind: str) -> None:
    context.lines = merge_logs([*_COMMON, *_KINDS[kind]])


@when("request {request} is explained")
def explain(context: Context, request: str) -> None:
    context.explanation = explain_request(context.lines, request)


@then("the cause holds {cause}")
def check_cause(context: Context, cause: str) -> None:
    assert cause in context.explanation.cause, context.explanation.cause


@then("the state lines hold {state} and none of other processes")
def check_state_lines(context: Context, state: str) -> None:
    texts = [line.text for line in context.explanation.state_lines]
    assert any(state in text for text in texts), texts
    assert not any("edge-2" in text for text in texts), texts


@then("there is no explanation")
def check_nothing(context: Context) -> None:
    assert context.explanation is None
