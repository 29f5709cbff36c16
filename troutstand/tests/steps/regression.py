"""Judge the outcomes of regression runs without a bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from benchmarks.regression import Outcome, judge_site

if TYPE_CHECKING:
    from behave.runner import Context


@given("kept figures of {kept:g} for two days")
def use_kept(context: Context, kept: float) -> None:
    context.kept = kept


@when("the days come to {worth:g} less {fall:g}")
def play(context: Context, worth: float, fall: float) -> None:
    days = ("calm", "busy")
    context.outcomes = [Outcome("site", day, context.kept, worth - fall, "") for day in days]


@when("a day comes to {worth:g} with a rule broken")
def break_rule(context: Context, worth: float) -> None:
    context.outcomes = [Outcome("site", "calm", context.kept, worth, "SOME-RULE 1")]


@then("the run holds")
def check_holds(context: Context) -> None:
    assert not judge_site(context.outcomes), judge_site(context.outcomes)


@then("the run fails")
def check_fails(context: Context) -> None:
    assert judge_site(context.outcomes)
