"""Request targets from the failure domain's scheduler and apply its decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.crashes.crashtracker import CrashTracker
from troutstand.core.crashes.partevidence import shift_times
from troutstand.core.crashes.partrecords import make_evidence, make_stored
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

_MS_PER_S = 1000
# The scheduler replies within a request's wait time; this much later it counts as unreachable.
_REPLY_GRACE_S = 0.5
_RETRY_AFTER_S = 1.0


@dataclass
class _PendingRequest:
    ask: PlacementAsk
    grant: asyncio.Future[Grant]


@dataclass
class _PlacedRequest:
    request: RunningRequest
    on_preempt: OnPreempt


@dataclass
class Placement:
    """Track this process's waiting and running requests and report them to the scheduler.

    Parameters
    ----------
    deliver
        Sends a message to a scheduler's process, which may be this one; returns whether it
        was queued.
    """

    process: ProcessId
    events: EventBus
    deliver: Deliver
    scheduler: ProcessId | None = None
    # Crash histories from rejections, kept for the next scheduler.
    _crashes: CrashTracker = field(default_factory=CrashTracker)
    # Notices of the targets, kept for the next scheduler.
    _notices: NoticeStore = field(default_factory=NoticeStore)
    _pending: dict[str, _PendingRequest] = field(default_factory=dict)
    _running: dict[str, _PlacedRequest] = field(default_factory=dict)

    @property
    def running_count(self) -> int:
        """Return the number of granted requests that are in flight."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait for a grant."""
        return len(self._pending)

    def switch_scheduler(self, scheduler: ProcessId | None) -> None:
        """Switch to another scheduler and resend all requests to it."""
        if scheduler == self.scheduler:
            return
        self.scheduler = scheduler
        self.events.emit("scheduler_followed", scheduler=scheduler)
        if scheduler is not None:
            self.resend_requests()

    def resend_requests(self) -> None:
        """Send the running requests, crash histories and notices, then the waiting requests."""
        running = [run.request for run in self._running.values()]
        now_s = read_clock_s()
        crashes = self._crashes.list_histories(now_s)
        notices = self._notices.list_notices(now_s)
        evidence = shift_times(self._crashes.parts.evidence, -now_s, 0.0)
        report = RunningReport(
            self.process,
            running,
            crashes=crashes,
            notices=notices,
            part_evidence=None if evidence.is_empty else make_stored(evidence),
        )
        self._send(report)
        for pending in self._pending.values():
            self._send(pending.ask)

    def _send(self, message: PeerMessage) -> bool:
        return self.scheduler is not None and self.deliver(self.scheduler, message)

    async def place(self, ask: PlacementAsk, on_preempt: OnPreempt) -> Grant:
        """Request a target and wait for it; the caller must `finish` the grant.

        Raises
        ------
        TroutstandError
            The scheduler's rejection, or NO_SCHEDULER if it does not reply.
        """
        reply: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        self._pending[ask.request] = _PendingRequest(ask, reply)
        self._send(ask)
        try:
            async with asyncio.timeout(ask.wait_ms / _MS_PER_S + _REPLY_GRACE_S):
                grant = await reply
        except TimeoutError as error:
            self._send(Withdraw(ask.request))
            detail = f"scheduler {self.scheduler or 'unknown'} did not reply"
            raise TroutstandError(
                ResultCode.NO_SCHEDULER, detail, retry_after_s=_RETRY_AFTER_S
            ) from error
        except asyncio.CancelledError:
            self._send(Withdraw(ask.request))
            if reply.done() and not reply.cancelled() and reply.exception() is None:
                self._return_grant(reply.result())
            raise
        finally:
            self._pending.pop(ask.request, None)
        self._running[ask.request] = _PlacedRequest(RunningRequest(ask, grant.target), on_preempt)
        return grant

    def finish(self, finished: Finished) -> None:
        """Report to the scheduler that a granted request ended."""
        self._running.pop(finished.request, None)
        self._send(finished)

    def handle_notice(self, request: str, notice: TargetNotice, asked_s: float) -> None:
        """Store a target's notice from the answer to a request and forward it to the scheduler.

        `asked_s` is the time at which the request was sent. A new notice, or one with a rate
        limit, is forwarded before the answer ends, because a stream may take long.
        """
        now_s = read_clock_s()
        is_new = self._notices.record(notice, asked_s, now_s)
        if is_new:
            emit_notice_received(self.events, request, notice)
        if is_new or notice.limit_per_s is not None:
            aged_notice = msgspec.structs.replace(notice, asked_age_s=now_s - asked_s)
            self._send(TargetNotices([aged_notice]))

    def _return_grant(self, grant: Grant) -> None:
        self._send(Finished(grant.request, grant.target, False))

    def receive(self, message: Grant | Shed | Preempt) -> None:
        """Handle a grant, rejection or preemption from the scheduler."""
        match message:
            case Grant():
                self._handle_grant(message)
            case Shed():
                self._handle_shed(message)
            case Preempt(request, retry_after_ms):
                run = self._running.get(request)
                if run:
                    run.on_preempt(retry_after_ms / _MS_PER_S)

    def _handle_grant(self, grant: Grant) -> None:
        pending = self._pending.get(grant.request)
        if pending is None or pending.grant.done():
            # The request was withdrawn, so the grant is returned to free its slot.
            if grant.request not in self._running:
                self._return_grant(grant)
            return
        self._notices.clear_leaving(grant.target)
        pending.grant.set_result(grant)

    def _handle_shed(self, shed: Shed) -> None:
        now_s = read_clock_s()
        self._crashes.merge(shed.crashes, now_s)
        if shed.part_evidence is not None:
            evidence = make_evidence(shed.part_evidence)
            self._crashes.parts.merge(shift_times(evidence, now_s, now_s))
        pending = self._pending.get(shed.request)
        if pending is None or pending.grant.done():
            return
        retry_s = shed.retry_after_ms / _MS_PER_S
        error = TroutstandError(ResultCode(shed.code), shed.detail, retry_after_s=retry_s)
        pending.grant.set_exception(error)
