"""Check models exhaustively."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import then, when

from troutstand.testing.models.catalogue import list_broken_models, list_models
from troutstand.testing.models.check import check_model

if TYPE_CHECKING:
    from behave.runner import Context


@when('the model "{name}" is searched to its end')
def search_model(context: Context, name: str) -> None:
    specs = {**list_models(), **list_broken_models()}
    context.result = check_model(specs[name])


@then("every property holds")
def assert_holds(context: Context) -> None:
    assert context.result.state_count > 1, context.result
    assert context.result.holds, context.result.violations


@then('the property "{name}" is violated')
def assert_violated(context: Context, name: str) -> None:
    assert name in context.result.violations, context.result
