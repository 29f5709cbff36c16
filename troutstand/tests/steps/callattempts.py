"""Play the attempts of a call in which one target is silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.generated.messages import Declined, Ending, Placed
from troutstand.testing.attemptscript import (
    OBJECTIVE_S,
    ScriptedAttempts,
    ScriptedResponse,
    make_placed,
)
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from behave.runner import Context

_LIMIT_S = 3.0
_BREAK_S = 0.5


async def _place_in_turn(number: int, running_at: list[str]) -> Placed | Declined:
    return make_placed("first" if number == 1 else "second")


def _set(context: Context, first: ScriptedResponse, second: ScriptedResponse) -> None:
    context.responses = {"first": first, "second": second}
    context.place = _place_in_turn


@given("a call whose first target has lost its path, and whose second one answers")
def set_path_lost(context: Context) -> None:
    _set(
        context,
        ScriptedResponse(is_path_lost=True),
        ScriptedResponse(head_s=0.0, data_s=0.1),
    )


@given("a call whose silent attempt breaks while another placement waits")
def set_waiting(context: Context) -> None:
    _set(
        context,
        ScriptedResponse(head_s=_BREAK_S, failure=Ending.broken),
        ScriptedResponse(),
    )

    async def place(number: int, running_at: list[str]) -> Placed | Declined:
        if number == 1:
            return make_placed("first")
        if running_at:
            await asyncio.get_running_loop().create_future()
        context.responses["first"] = ScriptedResponse(head_s=0.0, data_s=0.0)
        return make_placed("first")

    context.place = place


@given("a call whose silent attempt is {ending} while another placement waits")
def set_ending(context: Context, ending: str) -> None:
    first = ScriptedResponse(head_s=_BREAK_S, failure=Ending(ending))
    _set(context, first, ScriptedResponse())
    context.steps = []

    async def place(number: int, running_at: list[str]) -> Placed | Declined:
        context.steps.append(f"asked {number}")
        if running_at:
            try:
                await asyncio.get_running_loop().create_future()
            finally:
                context.steps.append(f"given up {number}")
        if number > 1:
            context.responses["first"] = ScriptedResponse(head_s=0.0, data_s=0.0)
        return make_placed("first")

    context.place = place


@then("the placement that waited was given up before the last one was asked for")
def check_order(context: Context) -> None:
    assert context.steps == ["asked 1", "asked 2", "given up 2", "asked 3"], context.steps


@given(
    "a call whose silent attempt goes on after {after_s:g} s and whose other targets refuse "
    "connections"
)
def set_refusing(context: Context, after_s: float) -> None:
    _set(
        context,
        ScriptedResponse(head_s=after_s, data_s=after_s),
        ScriptedResponse(head_s=0.0, failure=Ending.unsent),
    )


@given("a call whose silent attempt goes on and whose second target ends its response without data")
def set_empty(context: Context) -> None:
    _set(
        context,
        ScriptedResponse(head_s=1.0, data_s=1.0),
        ScriptedResponse(head_s=0.0, data_s=0.0, data=None, is_framed=False),
    )


@given("a call whose silent attempt sends only a head, and whose second target sends data later")
def set_bare_head(context: Context) -> None:
    _set(
        context,
        ScriptedResponse(head_s=OBJECTIVE_S + 0.3),
        ScriptedResponse(head_s=0.0, data_s=0.6),
    )


@given("a call whose second attempt breaks just before the silent one goes on")
def set_breaking(context: Context) -> None:
    _set(
        context,
        ScriptedResponse(head_s=0.6, data_s=0.6),
        ScriptedResponse(head_s=0.55 - OBJECTIVE_S, failure=Ending.broken),
    )


@given("a call whose silent attempt goes on while the second one has no connection yet")
def set_unsent(context: Context) -> None:
    _set(context, ScriptedResponse(head_s=0.5, data_s=0.5), ScriptedResponse(is_written=False))


@when("its attempts are played")
def play(context: Context) -> None:
    async def run() -> None:
        context.call = ScriptedAttempts(context.responses, lambda n, at: context.place(n, at))
        context.began_s = read_clock_s()
        attempt = await context.call.receive(_LIMIT_S)
        context.answered_s = read_clock_s() - context.began_s
        context.answered = attempt.placed.target if attempt is not None else ""
        context.allows_other = attempt is not None and context.call.attempts.may_fail_over(attempt)
        await context.call.close()

    asyncio.run(run())


@then("the {name} target answers")
def check_answered(context: Context, name: str) -> None:
    assert context.answered == name, f"{context.answered or 'no target'} answered"


@then("the first target answers a new attempt")
def check_new_attempt(context: Context) -> None:
    check_answered(context, "first")
    assert context.answered_s < _LIMIT_S, context.answered_s


@then("the first target answers within {most_s:g} s of its data")
def check_time(context: Context, most_s: float) -> None:
    check_answered(context, "first")
    late_s = context.answered_s - context.responses["first"].data_s
    assert late_s <= most_s, f"{late_s:.3f} s late"


@then("the first attempt is reported as silent with its path lost")
def check_path_lost(context: Context) -> None:
    ended = context.call.find_ending("first")
    assert (ended.ending, ended.is_path_lost) == (Ending.silent, True), ended


@then("the last placement leaves out no target")
def check_left_out(context: Context) -> None:
    assert context.call.works[-1] == [], context.call.works


@then("at most {most:d} placements were made")
def check_placements(context: Context, most: int) -> None:
    assert len(context.call.works) <= most, len(context.call.works)


@then("another attempt is still allowed")
def check_allowed(context: Context) -> None:
    assert context.allows_other


@then("the second attempt is reported as not sent")
def check_unsent(context: Context) -> None:
    ended = context.call.find_ending("second")
    assert ended.ending is Ending.kept_back, ended
