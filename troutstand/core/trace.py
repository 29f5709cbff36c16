"""Record the inputs and outputs of a scheduler, and replay them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.scheduler import Scheduler
from troutstand.core.table import Table
from troutstand.generated.messages import (
    Finished,
    Grant,
    PlacementAsk,
    Preempt,
    RunningReport,
    Shed,
    TargetNotices,
    Withdraw,
)

if TYPE_CHECKING:
    from troutstand.core.shedding import Send

SchedulerMessage = PlacementAsk | Withdraw | Finished | RunningReport | TargetNotices


class TracedSend(msgspec.Struct, frozen=True):
    """Hold one message that the scheduler sent."""

    process: str
    message: Grant | Shed | Preempt


class SchedulerStarted(msgspec.Struct, frozen=True, tag="began"):
    """Record the arguments that the scheduler was created with."""

    failure_domain: str
    waiting_limit: int
    seed: int
    started_s: float


class TableUpdated(msgspec.Struct, frozen=True, tag="table"):
    """Record a new version of the table."""

    version: int
    table: bytes


class LeavingUpdated(msgspec.Struct, frozen=True, tag="leaving"):
    """Record the targets that the platform's list shows as leaving."""

    names: list[str]


class MessageReceived(msgspec.Struct, frozen=True, tag="message"):
    """Record a message of an entry process and the messages sent in response."""

    at_s: float
    process: str
    message: SchedulerMessage
    sends: list[TracedSend]


class Ticked(msgspec.Struct, frozen=True, tag="tick"):
    """Record the messages sent by a tick."""

    at_s: float
    sends: list[TracedSend]


class ProcessEnded(msgspec.Struct, frozen=True, tag="ended"):
    """Record the end of an entry process and the messages sent in response."""

    at_s: float
    process: str
    sends: list[TracedSend]


TraceStep = (
    SchedulerStarted | TableUpdated | LeavingUpdated | MessageReceived | Ticked | ProcessEnded
)
WriteLine = Callable[[bytes], object]


def _trace_sends(sends: list[Send]) -> list[TracedSend]:
    return [TracedSend(send.process, send.message) for send in sends]


class TracedScheduler(Scheduler):
    """Scheduler that records every step as a JSON line."""

    def __init__(
        self, failure_domain: str, waiting_limit: int, seed: int, started_s: float, write: WriteLine
    ) -> None:
        super().__init__(failure_domain, waiting_limit, seed, started_s)
        self._write = write
        self._record(SchedulerStarted(failure_domain, waiting_limit, seed, started_s))

    def _record(self, step: TraceStep) -> None:
        self._write(msgspec.json.encode(step) + b"\n")

    def update_table(self, table: Table) -> None:
        """Apply a newer version of the table."""
        self._record(TableUpdated(table.version, table.pack()))
        super().update_table(table)

    def update_leaving(self, names: frozenset[str]) -> None:
        """Apply the targets that the platform's list shows as leaving."""
        self._record(LeavingUpdated(sorted(names)))
        super().update_leaving(names)

    def _record_message(
        self, process: str, message: SchedulerMessage, now_s: float, sends: list[Send]
    ) -> list[Send]:
        self._record(MessageReceived(now_s, process, message, _trace_sends(sends)))
        return sends

    def submit(self, process: str, ask: PlacementAsk, now_s: float) -> list[Send]:
        """Queue a request."""
        return self._record_message(process, ask, now_s, super().submit(process, ask, now_s))

    def withdraw(self, withdraw: Withdraw, now_s: float) -> list[Send]:
        """Remove a waiting request."""
        return self._record_message("", withdraw, now_s, super().withdraw(withdraw, now_s))

    def finish(self, finished: Finished, now_s: float) -> list[Send]:
        """Record the end of a granted request."""
        return self._record_message("", finished, now_s, super().finish(finished, now_s))

    def apply_report(self, report: RunningReport, now_s: float) -> list[Send]:
        """Apply an entry process's report of its running requests."""
        return self._record_message("", report, now_s, super().apply_report(report, now_s))

    def apply_notices(self, notices: TargetNotices, now_s: float) -> list[Send]:
        """Apply target notices."""
        return self._record_message("", notices, now_s, super().apply_notices(notices, now_s))

    def drop_process(self, process: str, now_s: float) -> list[Send]:
        """Remove the requests of an entry process."""
        sends = super().drop_process(process, now_s)
        self._record(ProcessEnded(now_s, process, _trace_sends(sends)))
        return sends

    def tick(self, now_s: float) -> list[Send]:
        """Process timeouts; only ticks that send messages are recorded."""
        sends = super().tick(now_s)
        if sends:
            self._record(Ticked(now_s, _trace_sends(sends)))
        return sends


def _replay_message(scheduler: Scheduler, step: MessageReceived) -> list[Send]:
    match step.message:
        case PlacementAsk():
            return scheduler.submit(step.process, step.message, step.at_s)
        case Withdraw():
            return scheduler.withdraw(step.message, step.at_s)
        case Finished():
            return scheduler.finish(step.message, step.at_s)
        case RunningReport():
            return scheduler.apply_report(step.message, step.at_s)
        case TargetNotices():
            return scheduler.apply_notices(step.message, step.at_s)


def _load_table(step: TableUpdated) -> Table:
    table = Table()
    table.unpack(step.version, step.table)
    return table


class Difference(msgspec.Struct, frozen=True):
    """Describe a step at which the replay sent other messages than were recorded."""

    line: int
    recorded: list[TracedSend]
    replayed: list[TracedSend]


def replay_trace(lines: Iterable[bytes]) -> tuple[int, list[Difference]]:
    """Replay a trace; return the number of steps that sent messages, and the differences."""
    scheduler: Scheduler | None = None
    differences: list[Difference] = []
    compared_steps = 0
    for number, line in enumerate(lines, start=1):
        step: TraceStep = msgspec.json.decode(line, type=TraceStep)
        sends: list[Send] = []
        match step:
            case SchedulerStarted():
                scheduler = Scheduler(
                    step.failure_domain, step.waiting_limit, step.seed, step.started_s
                )
                continue
            case _ if scheduler is None:
                raise ValueError(
                    f"line {number}: the trace does not start with the scheduler's creation"
                )
            case TableUpdated():
                scheduler.update_table(_load_table(step))
                continue
            case LeavingUpdated(names):
                scheduler.update_leaving(frozenset(names))
                continue
            case MessageReceived():
                sends = _replay_message(scheduler, step)
            case Ticked(at_s):
                sends = scheduler.tick(at_s)
            case ProcessEnded(at_s, process):
                sends = scheduler.drop_process(process, at_s)
        compared_steps += bool(step.sends)
        if _trace_sends(sends) != step.sends:
            differences.append(Difference(number, step.sends, _trace_sends(sends)))
    return compared_steps, differences
