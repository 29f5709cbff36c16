"""Replay traces through the daemon's own decision code."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.core import command as commands
from troutstand.core import edit as edits
from troutstand.core.codes import ResultCode
from troutstand.core.command import UNKNOWN_OUTCOME, Command, make_not_run_outcome
from troutstand.core.edit import Edit
from troutstand.core.ids import CommandKey, Incarnation, ProcessId
from troutstand.core.trace import MessageReceived, TraceStep, replay_trace
from troutstand.generated.messages import Claim, Grant, Outcome, OutcomeKind
from troutstand.testing.load import LoadGenerator
from troutstand.testing.mixes import DONOR, RequestSampler
from troutstand.tests.environment import share_site

if TYPE_CHECKING:
    from behave.runner import Context

_TRACES = Path(__file__).resolve().parents[3] / "traces"
_SEED = 3
# Minimum steps of a trace, and the maximum number of loads to record them.
_LEAST_COMPARED = 50
_MOST_LOADS = 4
_OUTCOMES = {
    "done": Outcome(OutcomeKind.done, 0, 200),
    "not_run": make_not_run_outcome(ResultCode.TARGET_UNREACHABLE),
    "unknown": UNKNOWN_OUTCOME,
}


@when("a mixed load has run on the shared site")
def run_load(context: Context) -> None:
    site = context.site = share_site(context)
    context.scheduler = site.find_scheduler("north")
    load = LoadGenerator([site.callers[name] for name in site.entries])
    # On a busy machine more messages are batched, so one load may not be enough.
    for seed in range(_SEED, _SEED + _MOST_LOADS):
        asyncio.run(load.run(RequestSampler(DONOR, seed).draw(40.0, 2.0)))
        if replay_trace(read_trace(context))[0] > _LEAST_COMPARED:
            break


def read_trace(context: Context) -> list[bytes]:
    """Read the shared scheduler's trace."""
    path = context.site.folder / f"{context.scheduler}.trace"
    return path.read_bytes().splitlines()


@then("the scheduler's trace replays without a difference")
def assert_replays(context: Context) -> None:
    compared, differences = replay_trace(read_trace(context))
    assert compared > _LEAST_COMPARED, compared
    assert not differences, differences[:2]


def rename_granted(line: bytes) -> bytes:
    """Change the target in a step's first grant and keep its inputs."""
    plain = json.loads(line)
    plain["sends"][0]["message"]["target"] = "another"
    return json.dumps(plain).encode()


@given("a recorded trace whose last grant names another target")
def spoil_trace(context: Context) -> None:
    context.site = share_site(context)
    run_load(context)
    lines = read_trace(context)
    for index in range(len(lines) - 1, -1, -1):
        step = msgspec.json.decode(lines[index], type=TraceStep)
        if isinstance(step, MessageReceived) and step.sends:
            send = step.sends[0]
            if isinstance(send.message, Grant):
                lines[index] = rename_granted(lines[index])
                break
    context.lines = lines


@then("the replay differs in one step")
def assert_differs(context: Context) -> None:
    _, differences = replay_trace(context.lines)
    assert len(differences) == 1, differences


def make_claim(plain: dict) -> Claim:
    """Make a claim of the traces' one call."""
    return Claim(plain["owner"], "", plain["nonce"], "digest")


def begin(line: dict) -> Command | Edit:
    """Make the state machine that a trace begins with."""
    if line["begin"] == "edit":
        return Edit(line["edit"], line["base"], line["version"], None)
    owner, nonce, attempt = line["owner"], line["nonce"], line["attempt"]
    key, incarnation = CommandKey("w/key"), Incarnation("")
    return Command(key, ProcessId(owner), incarnation, nonce, "digest", False, attempt)


def make_event(line: dict) -> commands.Event | edits.Event:
    """Make the event of a line."""
    name = line["event"]
    if "claim" in line:
        return commands.ClaimDecided(make_claim(line["claim"]))
    if "outcome" in line:
        return getattr(commands, name)(_OUTCOMES[line["outcome"]])
    if "edit" in line:
        return edits.VersionDecided(line["edit"])
    return getattr(commands if hasattr(commands, name) else edits, name)()


def describe(action: object, line: dict) -> dict:
    """Describe an action as the traces state it."""
    found = {"action": type(action).__name__}
    if "code" in line:
        found |= {"code": int(action.code), "run": action.run.value}
    if "version" in line and "event" in line:
        found |= {"version": action.version}
    return found


@when('the trace "{name}" is replayed')
def replay(context: Context, name: str) -> None:
    lines = [json.loads(text) for text in (_TRACES / name).read_text().splitlines()]
    machine = begin(lines[0])
    context.pairs = [(lines[0], describe(machine.start(), lines[0]))]
    for line in lines[1:]:
        context.pairs.append((line, describe(machine.receive(make_event(line)), line)))


@then("every action is the expected one")
def assert_actions(context: Context) -> None:
    assert len(context.pairs) > 2
    for line, found in context.pairs:
        assert {key: line[key] for key in found} == found, (line, found)
