"""List the models that CI and `make model` check."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from troutstand.testing.models import command, edit, register, rollout
from troutstand.testing.models.command import CommandModel
from troutstand.testing.models.edit import EditModel, Operator
from troutstand.testing.models.lease import LeaseModel
from troutstand.testing.models.register import RegisterModel, make_proposer
from troutstand.testing.models.replacement import ReplacementModel
from troutstand.testing.models.rivalreplacement import RivalReplacementModel
from troutstand.testing.models.rollout import RolloutModel

if TYPE_CHECKING:
    from troutstand.testing.models.check import ModelSpec


def list_models() -> dict[str, ModelSpec[Any]]:
    """Return the models whose properties hold and that are small enough for CI."""
    with_initial_round = (make_proposer("a", 0), make_proposer("b", 1))
    with_prepare = (make_proposer("a", 1), make_proposer("b", 1))
    return {
        "register, round 0 against round 1": RegisterModel(with_initial_round).make_spec(),
        "register, round 1 against round 1": RegisterModel(with_prepare).make_spec(),
        "command, sent twice": CommandModel((1, 1)).make_spec(),
        "command, sent twice and numbered": CommandModel((1, 2)).make_spec(),
        "command, sent three times": CommandModel((1, 1, 1)).make_spec(),
        "edit, equal versions": EditModel().make_spec(),
        "edit, later version": EditModel((Operator("a", 0), Operator("b", 1))).make_spec(),
        "lease, one keeper": LeaseModel(keepers=("k0",), end_s=4).make_spec(),
        "lease, a host is suspended": LeaseModel(
            keepers=("k0",), end_s=4, suspendable=("a",)
        ).make_spec(),
        "replacement of a keeper": ReplacementModel().make_spec(),
        "rollout": RolloutModel(end_s=4).make_spec(),
        "rollout, a host is suspended": RolloutModel(end_s=4, suspends_host=True).make_spec(),
    }


def list_large_models() -> dict[str, ModelSpec[Any]]:
    """Return the models whose properties hold and that only `make model` checks."""
    operators = (Operator("a", 0), Operator("b", 0), Operator("c", 1))
    return {
        "register, round 0 against rounds 1 and 2": RegisterModel(
            (make_proposer("a", 0), make_proposer("b", 1), make_proposer("c", 2))
        ).make_spec(),
        "command, sent three times and numbered": CommandModel((1, 2, 3)).make_spec(),
        "edit, three operators": EditModel(operators).make_spec(),
        "lease, one keeper, longer": LeaseModel(keepers=("k0",), end_s=5).make_spec(),
        "succession, two rivals": RivalReplacementModel().make_spec(),
        "rollout, longer": RolloutModel(decider_count=2, end_s=4).make_spec(),
    }


def list_large_broken_models() -> dict[str, ModelSpec[Any]]:
    """Return the models without a safeguard that only `make model` checks."""
    return {"succession, one voter is copied": RivalReplacementModel(copy_count=1).make_spec()}


def list_broken_models() -> dict[str, ModelSpec[Any]]:
    """Return the models without a safeguard; each must violate a property."""
    with_prepare = (make_proposer("a", 1), make_proposer("b", 2))
    with_initial_round = (make_proposer("a", 0), make_proposer("b", 1))
    without_accepted = RegisterModel(with_prepare, handle_prepare=register.promise_without_accepted)
    return {
        "register, a lost disk votes": RegisterModel(
            with_initial_round, lost_disk_count=1
        ).make_spec(),
        "register, promises hide what stands": without_accepted.make_spec(),
        "register, promises not kept": RegisterModel(
            with_prepare, handle_accept=register.accept_without_promise
        ).make_spec(),
        "command, silence closed as not run": _break_command(command.CloseAsNotRun),
        "command, dispatched without a claim": _break_command(command.DispatchUnclaimed),
        "command, next attempt on silence": _break_command(command.SkipSilentOwner),
        "command, next attempt unasked": _break_command(command.OpenUnrequestedAttempt),
        "edit, resends not looked for": EditModel(edit_class=edit.SkipDuplicateCheck).make_spec(),
        "edit, base ignored": EditModel(edit_class=edit.SkipBaseCheck).make_spec(),
        "lease, a restarted voter votes at once": LeaseModel(
            keepers=("k0",), end_s=3, abstains_after_restart=False
        ).make_spec(),
        "lease, a clock that a suspend stops": LeaseModel(
            keepers=("k0",), end_s=3, suspendable=("a",), counts_suspended_time=False
        ).make_spec(),
        "lease, a holder without its own vote": LeaseModel(
            keepers=("k0",), end_s=2, needs_own_vote=False
        ).make_spec(),
        "replacement, no copy": ReplacementModel(copies_records=False).make_spec(),
        "rollout, ends are overturned": RolloutModel(
            end_s=2, advance=rollout.advance_unchecked
        ).make_spec(),
        "rollout, without a lease": RolloutModel(requires_lease=False).make_spec(),
        "rollout, a clock that a suspend stops": RolloutModel(
            end_s=4, suspends_host=True, counts_suspended_time=False
        ).make_spec(),
        "replacement, copies from an older set": ReplacementModel(checks_epoch=False).make_spec(),
    }


def _break_command(command_class: type[command.Command]) -> ModelSpec[Any]:
    return CommandModel((1, 1), command_class=command_class).make_spec()
