"""Lose messages between gateways and a scheduler, and compare their tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.ids import ProcessId
from troutstand.core.targetstate import RunningRequest, TargetState
from troutstand.generated.messages import ListedState, ListedTarget, RoutedWork

if TYPE_CHECKING:
    from behave.runner import Context

_GATEWAY = ProcessId("gateway-1")
_SERVICE = "work"
_TARGET = "t1"


@given("a target that runs a prompt of {tokens:d} tokens")
def run_prompt(context: Context, tokens: int) -> None:
    listed = ListedTarget(_TARGET, _SERVICE, "127.0.0.1:1", "north", 4, ListedState.ready)
    context.target = TargetState(listed)
    work = RoutedWork("r1", _SERVICE, 1.0, 8.0, prompt_tokens=tokens)
    context.run = RunningRequest(work, _GATEWAY, 0.0, float(tokens), 0.1)
    context.target.start(context.run)


@when("the same request is placed there again")
def run_again(context: Context) -> None:
    run: RunningRequest = context.run
    context.target.start(RunningRequest(run.work, run.owner, 1.0, run.uncached_tokens, 0.1))


@then("the target has {count:d} request and {tokens:d} tokens before its first byte")
def check_prompt(context: Context, count: int, tokens: int) -> None:
    target: TargetState = context.target
    assert len(target.running) == count, target.running
    assert sum(target.pause_counts.values()) == count, target.pause_counts
    assert target.backlog_tokens == tokens, target.backlog_tokens
