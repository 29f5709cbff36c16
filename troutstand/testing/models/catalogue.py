"""Name the models that CI and `make model` search."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from troutstand.testing.models import command, edit, register, rollout
from troutstand.testing.models.command import CommandModel
from troutstand.testing.models.edit import EditModel, Operator
from troutstand.testing.models.lease import LeaseModel
from troutstand.testing.models.register import RegisterModel, make_bid
from troutstand.testing.models.replacement import ReplacementModel
from troutstand.testing.models.rollout import RolloutModel
from troutstand.testing.models.succession import SuccessionModel

if TYPE_CHECKING:
    from troutstand.testing.models.check import ModelSpec


def list_models() -> dict[str, ModelSpec[Any]]:
    """Return the models that hold and are small enough for CI."""
    fresh = (make_bid("a", 0), make_bid("b", 1))
    rivals = (make_bid("a", 1), make_bid("b", 1))
    return {
        "register, round 0 against round 1": RegisterModel(fresh).make_spec(),
        "register, round 1 against round 1": RegisterModel(rivals).make_spec(),
        "command, sent twice": CommandModel((1, 1)).make_spec(),
        "command, sent twice and numbered": CommandModel((1, 2)).make_spec(),
        "command, sent three times": CommandModel((1, 1, 1)).make_spec(),
        "edit, equal versions": EditModel().make_spec(),
        "edit, later version": EditModel((Operator("a", 0), Operator("b", 1))).make_spec(),
        "lease, one keeper": LeaseModel(keepers=("k0",), end_s=4).make_spec(),
        "lease, a host is suspended": LeaseModel(
            keepers=("k0",), end_s=4, suspended=("a",)
        ).make_spec(),
        "replacement of a keeper": ReplacementModel().make_spec(),
        "rollout": RolloutModel(end_s=4).make_spec(),
        "rollout, a host is suspended": RolloutModel(end_s=4, is_suspended=True).make_spec(),
    }


def list_large_models() -> dict[str, ModelSpec[Any]]:
    """Return the models that hold and are searched by `make model` only."""
    operators = (Operator("a", 0), Operator("b", 0), Operator("c", 1))
    return {
        "register, round 0 against rounds 1 and 2": RegisterModel(
            (make_bid("a", 0), make_bid("b", 1), make_bid("c", 2))
        ).make_spec(),
        "command, sent three times and numbered": CommandModel((1, 2, 3)).make_spec(),
        "edit, three operators": EditModel(operators).make_spec(),
        "lease, one keeper, longer": LeaseModel(keepers=("k0",), end_s=5).make_spec(),
        "succession, two rivals": SuccessionModel().make_spec(),
        "rollout, longer": RolloutModel(deciders=2, end_s=4).make_spec(),
    }


def list_large_broken_models() -> dict[str, ModelSpec[Any]]:
    """Return the models with a guard taken out that `make model` only searches."""
    return {"succession, one voter is copied": SuccessionModel(needed=1).make_spec()}


def list_broken_models() -> dict[str, ModelSpec[Any]]:
    """Return the models with a guard taken out; each must fail."""
    rivals = (make_bid("a", 1), make_bid("b", 2))
    fresh = (make_bid("a", 0), make_bid("b", 1))
    forgetful = RegisterModel(rivals, handle_prepare=register.forget_accepted)
    return {
        "register, a lost disk votes": RegisterModel(fresh, lost_disks=1).make_spec(),
        "register, promises hide what stands": forgetful.make_spec(),
        "register, promises not kept": RegisterModel(
            rivals, handle_accept=register.accept_always
        ).make_spec(),
        "command, silence closed as not run": _break_command(command.CloseAsNotRun),
        "command, dispatched without a claim": _break_command(command.DispatchUnclaimed),
        "command, next attempt on silence": _break_command(command.TakeOver),
        "command, next attempt unasked": _break_command(command.OpenNextAttempt),
        "edit, resends not looked for": EditModel(edit_class=edit.ForgetEdits).make_spec(),
        "edit, base ignored": EditModel(edit_class=edit.IgnoreBase).make_spec(),
        "lease, a restarted voter votes at once": LeaseModel(
            keepers=("k0",), end_s=3, silence=False
        ).make_spec(),
        "lease, a clock that a suspend stops": LeaseModel(
            keepers=("k0",), end_s=3, suspended=("a",), counts_suspends=False
        ).make_spec(),
        "lease, a holder without its own vote": LeaseModel(
            keepers=("k0",), end_s=2, own_vote=False
        ).make_spec(),
        "replacement, no copy": ReplacementModel(copies=False).make_spec(),
        "rollout, ends are overturned": RolloutModel(end_s=2, advance=rollout.overturn).make_spec(),
        "rollout, without a lease": RolloutModel(has_lease=False).make_spec(),
        "rollout, a clock that a suspend stops": RolloutModel(
            end_s=4, is_suspended=True, counts_suspends=False
        ).make_spec(),
        "replacement, copies from an older set": ReplacementModel(checks_epoch=False).make_spec(),
    }


def _break_command(command_class: type[command.Command]) -> ModelSpec[Any]:
    return CommandModel((1, 1), command_class=command_class).make_spec()
