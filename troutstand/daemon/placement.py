"""Ask the failure domain's scheduler for targets and take its orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.crashtracker import CrashTracker
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import ProcessId
from troutstand.core.noticestore import NoticeStore
from troutstand.generated.messages import (
    Finished,
    Grant,
    PeerMessage,
    PlacementAsk,
    Preempt,
    RunningReport,
    RunningRequest,
    Shed,
    TargetNotice,
    TargetNotices,
    Withdraw,
)
from troutstand.util.clock import read_clock_s
from troutstand.util.noticelog import emit_notice_received

if TYPE_CHECKING:
    from troutstand.util.events import EventBus

Deliver = Callable[[ProcessId, PeerMessage], bool]
OnPreempt = Callable[[float], None]

_MILLISECONDS = 1000
# The scheduler answers within a request's patience; beyond it, it is gone.
_GRACE_S = 0.5
_RETRY_S = 1.0


@dataclass
class _Pending:
    ask: PlacementAsk
    answer: asyncio.Future[Grant]


@dataclass
class _Running:
    item: RunningRequest
    on_preempt: OnPreempt


@dataclass
class Placement:
    """Keep this process's waiting and running requests known to the scheduler.

    Parameters
    ----------
    deliver
        Sends a message to the scheduler's process, which may be this one.
    """

    process: ProcessId
    events: EventBus
    deliver: Deliver
    scheduler: ProcessId | None = None
    # What callers here were refused for, so that it outlives the scheduler.
    _crashes: CrashTracker = field(default_factory=CrashTracker)
    # What targets said of themselves, for the same reason.
    _notices: NoticeStore = field(default_factory=NoticeStore)
    _pending: dict[str, _Pending] = field(default_factory=dict)
    _running: dict[str, _Running] = field(default_factory=dict)

    @property
    def running_count(self) -> int:
        """Return how many granted requests run."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for a grant."""
        return len(self._pending)

    def switch_scheduler(self, scheduler: ProcessId | None) -> None:
        """Turn to another scheduler: tell it what runs, then what waits."""
        if scheduler == self.scheduler:
            return
        self.scheduler = scheduler
        self.events.emit("scheduler_followed", scheduler=scheduler)
        if scheduler is not None:
            self.resend_requests()

    def resend_requests(self) -> None:
        """Tell the scheduler everything that runs and waits here."""
        running = [run.item for run in self._running.values()]
        now_s = read_clock_s()
        crashes = self._crashes.list_histories(now_s)
        notices = self._notices.list_notices(now_s)
        self._send(RunningReport(self.process, running, crashes=crashes, notices=notices))
        for pending in self._pending.values():
            self._send(pending.ask)

    def _send(self, message: PeerMessage) -> bool:
        return self.scheduler is not None and self.deliver(self.scheduler, message)

    async def place(self, ask: PlacementAsk, on_preempt: OnPreempt) -> Grant:
        """Wait for a target; the caller must `finish` the grant.

        Raises
        ------
        TroutstandError
            The scheduler's refusal, or NO_SCHEDULER.
        """
        answer: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        self._pending[ask.request] = _Pending(ask, answer)
        self._send(ask)
        try:
            async with asyncio.timeout(ask.wait_ms / _MILLISECONDS + _GRACE_S):
                grant = await answer
        except TimeoutError as error:
            self._send(Withdraw(ask.request))
            detail = f"scheduler {self.scheduler or 'unknown'} did not answer"
            raise TroutstandError(
                ResultCode.NO_SCHEDULER, detail, retry_after_s=_RETRY_S
            ) from error
        except asyncio.CancelledError:
            self._send(Withdraw(ask.request))
            if answer.done() and not answer.cancelled() and answer.exception() is None:
                self._give_back(answer.result())
            raise
        finally:
            self._pending.pop(ask.request, None)
        self._running[ask.request] = _Running(RunningRequest(ask, grant.target), on_preempt)
        return grant

    def finish(self, finished: Finished) -> None:
        """Tell the scheduler that a granted request ended."""
        self._running.pop(finished.request, None)
        self._send(finished)

    def handle_notice(self, request: str, notice: TargetNotice, asked_s: float) -> None:
        """Take what the answer to a request, sent at a time, says of its target.

        The scheduler is told at once: the end of a stream may be far off.
        """
        now_s = read_clock_s()
        is_news = self._notices.record(notice, asked_s, now_s)
        if is_news:
            emit_notice_received(self.events, request, notice)
        if is_news or notice.limit_per_s is not None:
            told = msgspec.structs.replace(notice, asked_age_s=now_s - asked_s)
            self._send(TargetNotices([told]))

    def _give_back(self, grant: Grant) -> None:
        self._send(Finished(grant.request, grant.target, False))

    def receive(self, message: Grant | Shed | Preempt) -> None:
        """Take an answer or order of the scheduler."""
        match message:
            case Grant():
                self._take_grant(message)
            case Shed():
                self._take_shed(message)
            case Preempt(request, retry_after_ms):
                run = self._running.get(request)
                if run:
                    run.on_preempt(retry_after_ms / _MILLISECONDS)

    def _take_grant(self, grant: Grant) -> None:
        pending = self._pending.get(grant.request)
        if pending is None or pending.answer.done():
            # Nobody waits for it any more; without this its slot were lost.
            if grant.request not in self._running:
                self._give_back(grant)
            return
        self._notices.clear_leaving(grant.target)
        pending.answer.set_result(grant)

    def _take_shed(self, shed: Shed) -> None:
        self._crashes.merge(shed.crashes, read_clock_s())
        pending = self._pending.get(shed.request)
        if pending is None or pending.answer.done():
            return
        retry_s = shed.retry_after_ms / _MILLISECONDS
        error = TroutstandError(ResultCode(shed.code), shed.detail, retry_after_s=retry_s)
        pending.answer.set_exception(error)
