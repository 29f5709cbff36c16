"""Propose register values to keepers in memory, some of which do not answer."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import Incarnation, ProcessId, RegisterName
from troutstand.core.register import handle_accept, handle_prepare
from troutstand.daemon.registers import RegisterClient
from troutstand.generated.messages import (
    Accept,
    KeeperSet,
    Member,
    MemberState,
    PeerMessage,
    Prepare,
    Refused,
    RegisterState,
)

if TYPE_CHECKING:
    from behave.runner import Context

_REGISTER = RegisterName("register")
_VALUE = b"value"
# Scheduling delay of the test's own process.
_MARGIN_S = 0.3


@dataclass
class _Keeper:
    """Answer the messages of proposers."""

    keepers: KeeperSet
    is_silent: bool = False
    is_lost: bool = False
    lost_answers: int = 0
    delay_s: float = 0.0
    state: RegisterState = field(default_factory=lambda: RegisterState(_REGISTER))

    async def handle(self, message: PeerMessage, timeout_s: float) -> PeerMessage:
        if self.is_silent:
            await asyncio.sleep(timeout_s)
            raise TroutstandError(ResultCode.LINK_TIMEOUT, "no answer")
        if self.is_lost or self.lost_answers > 0:
            self.lost_answers -= 1
            raise TroutstandError(ResultCode.LINK_CLOSED, "lost")
        await asyncio.sleep(self.delay_s)
        assert isinstance(message, Prepare | Accept), message
        if message.epoch < self.keepers.epoch:
            return Refused(int(ResultCode.QUORUM_UNREACHABLE), "old epoch", self.keepers)
        handle = handle_prepare if isinstance(message, Prepare) else handle_accept
        self.state, reply = handle(self.state, message)  # type: ignore[arg-type]
        return reply


def _make_keeper_set(epoch: int, names: list[str]) -> KeeperSet:
    members = [Member(ProcessId(name), f"disk-{name}", MemberState.voting) for name in names]
    return KeeperSet(epoch, members)


@given("{count:d} keepers of which the last answers nothing")
def make_keepers(context: Context, count: int) -> None:
    names = [f"keeper-{number}" for number in range(count)]
    context.known_set = _make_keeper_set(1, names)
    context.keepers = {name: _Keeper(context.known_set) for name in names}
    context.keepers[names[-1]].is_silent = True
    context.other = context.keepers[names[1]]


@given("the first answer of another keeper is lost with its link")
def lose_first(context: Context) -> None:
    context.other.lost_answers = 1


@given("the others have a newer keeper set")
def renew_set(context: Context) -> None:
    newer = _make_keeper_set(2, list(context.keepers))
    for keeper in context.keepers.values():
        keeper.keepers = newer


@given("another keeper takes {delay_s:g} s for each answer")
def slow_down(context: Context, delay_s: float) -> None:
    context.other.delay_s = delay_s


@given("another keeper is lost for good")
def lose(context: Context) -> None:
    context.other.is_lost = True


@when("a value is proposed with a timeout of {timeout_s:g} s")
def propose(context: Context, timeout_s: float) -> None:
    async def send(name: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        return await context.keepers[name].handle(message, timeout_s)

    async def decide() -> bytes | ResultCode:
        client = RegisterClient(
            send, ProcessId("proposer"), Incarnation("1"), context.keepers, timeout_s, seed=1
        )
        client.update_keepers(context.known_set)
        try:
            return await client.decide(_REGISTER, _VALUE)
        except TroutstandError as error:
            return error.code

    started_s = time.monotonic()
    context.result = asyncio.run(decide())
    context.took_s = time.monotonic() - started_s


@then("it is decided within {most_s:g} s")
def check_decided(context: Context, most_s: float) -> None:
    assert context.result == _VALUE, context.result
    assert context.took_s <= most_s, context.took_s


@then("the proposal ends after {timeout_s:g} s without a decision")
def check_undecided(context: Context, timeout_s: float) -> None:
    assert context.result is ResultCode.QUORUM_UNREACHABLE, context.result
    assert timeout_s <= context.took_s <= timeout_s + _MARGIN_S, context.took_s
