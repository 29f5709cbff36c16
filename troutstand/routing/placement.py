"""Get targets for a gateway's requests, whoever decides.

The live scheduler that most gateways ask decides, so that all gateways that
reach each other ask the same one. When it falls silent, those that wait ask
another; without any, the gateway decides alone, over the targets it last
knew and with its part of the limits.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.dispatch import Dispatcher
from troutstand.core.errors import TroutstandError
from troutstand.core.quota import QuotaBounds, Quotas
from troutstand.core.retries import RetryBudget
from troutstand.generated.messages import (
    Abandon,
    AttachAsk,
    Attached,
    Declined,
    Ended,
    FirstByte,
    Hold,
    Level,
    Place,
    Placed,
    PlacedWork,
    RoutedWork,
)
from troutstand.generated.routing import RoutingRole
from troutstand.routing.decisions import ALONE, emit_decision
from troutstand.routing.node import parse_address
from troutstand.routing.schedulerwatch import (
    BEAT_S,
    PROBE_AFTER_S,
    SILENT_S,
    STALL_S,
    Alone,
    Decider,
    Watch,
    choose_decider,
    space_standbys,
)
from troutstand.routing.targetlist import ListUnreadError

if TYPE_CHECKING:
    from troutstand.core.configuration import RouteTable
    from troutstand.core.ids import ProcessId
    from troutstand.generated.messages import PeerMessage
    from troutstand.routing.node import RoutingNode
    from troutstand.routing.targetlist import TargetList

_WATCH_S = 0.1
_TICK_S = 0.05
_ALONE_LIST_S = 1.0
_FIRST_GATEWAYS = 8
# The least time that an ask is given, in seconds: some round trips.
_MIN_ASK_S = 0.05


@dataclass
class Placing:
    """Hold one request that waits for a decision."""

    work: RoutedWork
    since_s: float
    answer: asyncio.Future[Placed | Declined]
    asked: Decider | None = None
    task: asyncio.Task[None] | None = None


@dataclass
class Held:
    """Hold one request that has a target."""

    work: RoutedWork
    target: str
    started_s: float
    has_first: bool = False


class Placement:
    """Ask for targets and tell how they did."""

    def __init__(self, node: RoutingNode, targets: TargetList) -> None:
        self._node = node
        self._targets = targets
        self._table: RouteTable | None = None
        self._watches: dict[ProcessId, Watch] = {}
        self._current: Decider = Alone.ALONE
        self._placing: dict[str, Placing] = {}
        self._held: dict[str, Held] = {}
        self._gateways = _FIRST_GATEWAYS
        self._went_alone = asyncio.Event()
        self._went_alone.set()
        self._judge_now = asyncio.Event()
        node.on_refused = self._note_refused
        self._attachment = 0
        self._levels: list[Level] = []
        self._holds: list[Hold] = []
        self._local = self._make_local()

    def _make_local(self) -> Dispatcher:
        settings = self._node.settings
        share = 1.0 / max(1, self._gateways)
        quotas = Quotas(
            QuotaBounds(settings.quota_window_s, settings.quota_excess, settings.quota_extra)
        )
        retries = RetryBudget(settings.retry_ratio, settings.retry_extra, settings.retry_window_s)
        quotas.share = retries.share = share
        local = Dispatcher(quotas, retries, self._node.random)
        now_s = time.monotonic()
        if self._table is not None:
            local.use_table(self._table, now_s)
        for level in self._levels:
            quotas.inherit(level.workspace, level.taken, share, now_s)
        local.inherit_holds(self._holds)
        local.use_targets(self._targets.targets, now_s)
        for run in self._list_running(now_s):
            local.adopt(run, self._node.process, now_s)
        return local

    @property
    def is_served(self) -> bool:
        """Tell whether requests can get targets at all."""
        return self._current is not Alone.ALONE or bool(self._targets.targets)

    @property
    def decider(self) -> str:
        """Name who decides now."""
        return ALONE if isinstance(self._current, Alone) else str(self._current)

    def use_table(self, table: RouteTable) -> None:
        """Take a configuration for decisions made alone."""
        self._table = table
        self._local.use_table(table, time.monotonic())

    def start(self) -> None:
        """Begin to watch the schedulers."""
        self._node.spawn(self._run_watch(), "watch schedulers")
        self._node.spawn(self._run_ticks(), "placement ticks")
        self._node.spawn(self._run_list_alone(), "list alone")

    # Requests

    async def place(self, work: RoutedWork) -> Placed | Declined:
        """Return a request's target, or its refusal."""
        loop = asyncio.get_running_loop()
        placing = Placing(work, time.monotonic(), loop.create_future())
        self._placing[work.request] = placing
        self._ask(placing)
        try:
            answer = await placing.answer
        except asyncio.CancelledError:
            self._withdraw(placing)
            raise
        finally:
            self._placing.pop(work.request, None)
            if placing.task is not None:
                placing.task.cancel()
        if isinstance(answer, Placed):
            self._held[work.request] = Held(work, answer.target, time.monotonic())
        return answer

    def _ask(self, placing: Placing) -> None:
        """Ask whoever decides now."""
        if placing.task is not None:
            placing.task.cancel()
            placing.task = None
        placing.asked = self._current
        spent_s = time.monotonic() - placing.since_s
        work = _shorten(placing.work, spent_s)
        if isinstance(self._current, Alone):
            self._local.place(work, self._node.process, time.monotonic())
            self._deliver_local()
            return
        placing.task = asyncio.create_task(self._ask_scheduler(placing, self._current, work))

    async def _ask_scheduler(
        self, placing: Placing, scheduler: ProcessId, work: RoutedWork
    ) -> None:
        limit_s = max(_MIN_ASK_S, work.remaining_s)
        probe = asyncio.get_running_loop().call_later(PROBE_AFTER_S, self._probe, scheduler)
        watch = self._watches.get(scheduler)
        if watch is not None:
            watch.note_asked(time.monotonic())
        try:
            reply = await self._node.ask(scheduler, Place(work), limit_s)
        except TroutstandError as error:
            if error.code is not ResultCode.LINK_CLOSED:
                self._miss(scheduler)
                return
            reply = await self._repeat_ask(scheduler, work, limit_s)
        finally:
            probe.cancel()
        if watch is not None and reply is not None:
            watch.note_answered()
        if isinstance(reply, Placed | Declined) and not placing.answer.done():
            placing.answer.set_result(reply)

    def _probe(self, scheduler: ProcessId) -> None:
        """Send a heartbeat at once: the scheduler may be silent, or only its queue long."""
        watch = self._watches.get(scheduler)
        if watch is not None:
            watch.wake.set()

    async def _repeat_ask(
        self, scheduler: ProcessId, work: RoutedWork, limit_s: float
    ) -> PeerMessage | None:
        """Ask once more where the link was lost, since its process may live on.

        Whoever decides next is asked when that fails as well.
        """
        try:
            if await self._node.wait_link(scheduler):
                # The answer to the first ask may be lost; its slot must not be.
                self._node.send(scheduler, Abandon(work.request))
            return await self._node.ask(scheduler, Place(work), limit_s)
        except TroutstandError:
            self._miss(scheduler)
            return None

    def _withdraw(self, placing: Placing) -> None:
        request = placing.work.request
        if placing.asked is None or isinstance(placing.asked, Alone):
            self._local.abandon(request, time.monotonic())
        else:
            self._node.send(placing.asked, Abandon(request))

    def note_first(self, request: str, first_s: float) -> None:
        """Tell that a target began to answer."""
        held = self._held.get(request)
        if held is None:
            return
        held.has_first = True
        first = FirstByte(request, held.target, first_s)
        if isinstance(self._current, Alone):
            self._local.note_first(first, time.monotonic())
        else:
            self._node.send(self._current, first)

    def end(self, ended: Ended) -> None:
        """Tell how a request ended at its target."""
        self._held.pop(ended.request, None)
        if isinstance(self._current, Alone):
            self._local.end(ended, time.monotonic())
            self._deliver_local()
        else:
            self._node.send(self._current, ended)

    # Schedulers

    async def _run_watch(self) -> None:
        last_s = time.monotonic()
        while True:
            stall_s = time.monotonic() - last_s - _WATCH_S
            if stall_s > STALL_S:
                for watch in self._watches.values():
                    watch.forgive(stall_s)
            last_s = time.monotonic()
            known = self._list_schedulers()
            for process in known:
                if process not in self._watches:
                    self._watches[process] = Watch()
                    self._node.spawn(self._follow(process), f"watch {process}")
            for process in set(self._watches) - set(known):
                del self._watches[process]
                self._node.drop_link(process)
            now_s = time.monotonic()
            self._switch(choose_decider(self._watches, self._current, now_s))
            space_standbys(self._watches, self._current, now_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_WATCH_S):
                    await self._judge_now.wait()
            self._judge_now.clear()

    def _list_schedulers(self) -> list[ProcessId]:
        """Return the schedulers that are known, and those found on the seeds' hosts.

        Without the latter gateways asked a scheduler 0.44 to 0.60 s after the first was
        ready, since keepers that have just started learn of schedulers one by one
        (restart of a site of 6 gateways and 3 keepers, from its logs).
        """
        known = set(self._node.book.list_role(RoutingRole.scheduler.value))
        ips = {parse_address(seed).ip for seed in self._node.settings.seeds}
        guessed = {self._node.name_peer(RoutingRole.scheduler, ip) for ip in ips}
        found = {process for process in guessed if self._is_live(process)}
        return sorted(known | found if known else guessed)

    async def _follow(self, process: ProcessId) -> None:
        """Send heartbeats to one scheduler until it is forgotten."""
        while True:
            watch = self._watches.get(process)
            if watch is None:
                return
            await self._beat(process, watch)
            is_current = self._current == process
            period_s = watch.period_s if is_current else watch.standby_period_s
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s * (0.9 + 0.2 * self._node.random.random())):
                    await watch.wake.wait()
            watch.wake.clear()

    async def _beat(self, process: ProcessId, watch: Watch) -> None:
        is_attached = self._current == process
        is_first = is_attached and not watch.is_attached
        now_s = time.monotonic()
        ask = AttachAsk(
            process=self._node.process,
            incarnation=self._node.incarnation,
            is_attached=is_attached,
            targets_version=self._targets.version,
            is_first=is_first,
            attachment=self._attachment,
            running=self._list_running(now_s) if is_first else [],
            levels=self._levels if is_first else [],
            holds=self._holds if is_first else [],
        )
        watch.is_attached = is_attached
        if is_attached:
            watch.note_asked(now_s)
        try:
            reply = await self._node.ask(process, ask, SILENT_S if is_attached else BEAT_S)
        except TroutstandError:
            # One heartbeat that is lost on the way does not end it with one's own scheduler.
            watch.live_since_s = float("inf")
            if not is_attached:
                watch.miss()
            if is_first:
                watch.is_attached = False
            return
        if isinstance(reply, Attached):
            self._hear(process, watch, reply)

    def _list_running(self, now_s: float) -> list[PlacedWork]:
        return [
            PlacedWork(held.work, held.target, now_s - held.started_s, held.has_first)
            for held in self._held.values()
        ]

    def _hear(self, process: ProcessId, watch: Watch, reply: Attached) -> None:
        now_s = time.monotonic()
        if watch.incarnation != reply.incarnation:
            # A new process knows nothing of what runs.
            watch.incarnation = reply.incarnation
            watch.live_since_s = float("inf")
            if watch.is_attached:
                watch.is_attached = False
                self._ask_again(process)
        watch.note_answered()
        watch.heard_s = now_s
        watch.period_s = reply.period_s
        watch.is_ready = reply.is_ready
        watch.attached = reply.attached
        if reply.is_ready and watch.live_since_s == float("inf"):
            watch.live_since_s = now_s
        if not reply.is_ready:
            watch.live_since_s = float("inf")
        if reply.has_targets and (process == self._current or self._is_alone()):
            self._targets.install(reply.targets, reply.targets_version)
            self._local.use_targets(reply.targets, now_s)
            self._deliver_local()
        if process == self._current:
            self._gateways = reply.gateways
            self._levels = reply.levels
            self._holds = reply.holds

    def _is_alone(self) -> bool:
        return isinstance(self._current, Alone)

    def _is_live(self, process: ProcessId) -> bool:
        watch = self._watches.get(process)
        return watch is not None and watch.is_live(time.monotonic())

    def _miss(self, process: ProcessId) -> None:
        watch = self._watches.get(process)
        if watch is not None:
            watch.miss()
            self._judge_now.set()

    def _note_refused(self, process: ProcessId) -> None:
        """Leave a scheduler whose process has ended, whether or not it is asked now.

        Heartbeats alone need 0.55 s to tell, and with all schedulers gone at once a
        gateway went through one after the other for 0.3 to 0.8 s; this takes 0.1 s.
        """
        if process in self._watches:
            self._miss(process)

    def _switch(self, decider: Decider) -> None:
        if decider == self._current:
            return
        before = self.decider
        if isinstance(self._current, Alone):
            # What this gateway took alone counts at the scheduler that it asks next.
            held = self._local.quotas.list_taken(time.monotonic())
            self._levels = [Level(name, parts) for name, parts in held.items()]
        elif not self._is_live(self._current):
            # A standby may be silent for longer than one's own scheduler; this one was left.
            self._miss(self._current)
        self._current = decider
        self._attachment += 1
        if isinstance(decider, Alone):
            self._local = self._make_local()
            self._went_alone.set()
        else:
            watch = self._watches[decider]
            watch.is_attached = False
            # What runs is told before anything is asked, so that it counts in the answer.
            self._node.spawn(self._beat(decider, watch), f"attach {decider}")
            watch.wake.set()
        self._node.events.emit(
            "scheduler_changed",
            before=before,
            now=self.decider,
            waiting=len(self._placing),
            running=len(self._held),
        )
        for placing in list(self._placing.values()):
            self._move(placing)

    def _move(self, placing: Placing) -> None:
        if placing.answer.done():
            return
        if placing.asked is not None and not isinstance(placing.asked, Alone):
            self._node.send(placing.asked, Abandon(placing.work.request))
        self._ask(placing)

    def _ask_again(self, process: ProcessId) -> None:
        """Repeat what a scheduler's earlier life was asked."""
        for placing in list(self._placing.values()):
            if placing.asked == process and not placing.answer.done():
                self._ask(placing)

    # Alone

    def _deliver_local(self) -> None:
        for decision in self._local.take_decisions():
            answer = decision.answer
            placing = self._placing.get(answer.request)
            if placing is not None and not placing.answer.done():
                placing.answer.set_result(answer)
            elif isinstance(answer, Placed):
                self._local.abandon(answer.request, time.monotonic())
            version = self._table.version if self._table is not None else 0
            emit_decision(self._node.events, decision, ALONE, version, self._targets.version)

    async def _run_ticks(self) -> None:
        while True:
            await self._went_alone.wait()
            await asyncio.sleep(_TICK_S)
            if self._is_alone():
                self._local.tick(time.monotonic())
                self._deliver_local()
            else:
                self._went_alone.clear()

    async def _run_list_alone(self) -> None:
        """Read the list of targets while no scheduler passes it on."""
        while True:
            await asyncio.sleep(_ALONE_LIST_S * (0.75 + 0.5 * self._node.random.random()))
            if not self._is_alone() or self._table is None:
                continue
            try:
                changed = await self._targets.read()
            except ListUnreadError as error:
                self._node.events.emit("targets_unread", detail=str(error))
                continue
            if changed and self._is_alone():
                self._local.use_targets(self._targets.targets, time.monotonic())
                self._deliver_local()


def _shorten(work: RoutedWork, spent_s: float) -> RoutedWork:
    """Return the work with the time left that it has now."""
    return msgspec.structs.replace(work, remaining_s=max(0.0, work.remaining_s - spent_s))
