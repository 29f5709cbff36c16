"""Check the results of regression runs without running any."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from benchmarks.regression import Outcome, list_problems

if TYPE_CHECKING:
    from behave.runner import Context


@given("recorded scores of {recorded:g} for two days")
def use_recorded(context: Context, recorded: float) -> None:
    context.recorded = recorded


@when("the days come to {worth:g} less {fall:g}")
def use_scores(context: Context, worth: float, fall: float) -> None:
    days = ("calm", "busy")
    context.outcomes = [Outcome("site", day, context.recorded, worth - fall, "") for day in days]


@when("a day comes to {worth:g} with a rule broken")
def break_rule(context: Context, worth: float) -> None:
    context.outcomes = [Outcome("site", "calm", context.recorded, worth, "SOME-RULE 1")]


@then("the run holds")
def check_holds(context: Context) -> None:
    assert not list_problems(context.outcomes), list_problems(context.outcomes)


@then("the run fails")
def check_fails(context: Context) -> None:
    assert list_problems(context.outcomes)
