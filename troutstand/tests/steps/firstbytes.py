"""Write log lines and read first bytes from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then

from benchmarks.firstbytes import read_first_bytes

if TYPE_CHECKING:
    from behave.runner import Context

_OBJECTIVE_MS = 200


def _write_answer(request: str, real_ms: float) -> str:
    return (
        f"at=1000.0 event=request_answered request={request} "
        f"objective_ms={_OBJECTIVE_MS} waited_ms=0 first_ms={real_ms}"
    )


@given("a log in which request {request} was expected in {expected:g} ms and came in {real:g} ms")
def start_log(context: Context, request: str, expected: float, real: float) -> None:
    context.lines = []
    add_request(context, request, expected, real)


@given("request {request} was expected in {expected:g} ms and came in {real:g} ms")
def add_request(context: Context, request: str, expected: float, real: float) -> None:
    placed = f"at=900.0 event=request_placed request={request} expected_ms={expected} decider=alone"
    context.lines += [placed, _write_answer(request, real)]


@given("an answer of request {request} without a placement")
def add_answer(context: Context, request: str) -> None:
    context.lines.append(_write_answer(request, 10.0))


@then("the ratios are {first:g} and {second:g}")
def check_ratios(context: Context, first: float, second: float) -> None:
    found = read_first_bytes(context.lines)
    assert [each.ratio for each in found] == [first, second], found


@then("only the answer of request a is late for an objective of {objective:d} ms")
def check_late(context: Context, objective: int) -> None:
    assert objective == _OBJECTIVE_MS
    assert [each.is_late for each in read_first_bytes(context.lines)] == [True, False]
