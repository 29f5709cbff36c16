"""Provide the parts that entry and keeper processes share."""

from __future__ import annotations

import asyncio
import secrets
import time
from functools import partial
from typing import TYPE_CHECKING

from troutstand.core.clock import HybridClock
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import Incarnation, ProcessId, name_process
from troutstand.daemon.links import Identity, LinkServer
from troutstand.daemon.peers import Peers, ReceivedHeartbeat
from troutstand.generated.messages import Heartbeat, Outcome, ProcessState
from troutstand.util.backgroundloop import keep_running
from troutstand.util.clock import read_clock_s, watch_suspends
from troutstand.util.events import EventBus, open_log

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from troutstand.daemon.links import Handler
    from troutstand.generated.settings import Settings

_INCARNATION_BYTES = 8


class Node:
    """Hold a process's identity, events, links and background tasks."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.process: ProcessId = name_process(settings.host, settings.role.value)
        self.incarnation = Incarnation(secrets.token_hex(_INCARNATION_BYTES))
        self.seed = secrets.randbits(32)
        self.state = ProcessState.starting
        self.started_s = read_clock_s()
        self.events = EventBus(self.process, HybridClock(time.time))
        self.identity = Identity(settings.site, self.process, bytes.fromhex(settings.link_key_hex))
        self.peers = Peers(settings, self.identity, self.events)
        self.make_heartbeat: Callable[[ProcessId], Heartbeat] = self._make_default_heartbeat
        self._tasks: set[asyncio.Task[None]] = set()
        self._commands: set[asyncio.Task[Outcome]] = set()
        self._server: LinkServer | None = None

    def _make_default_heartbeat(self, peer: ProcessId) -> Heartbeat:
        return Heartbeat(self.process, self.incarnation, self.state, 0)

    async def start(self, handler: Handler) -> None:
        """Open the log, the link server and the links.

        Raises
        ------
        TroutstandError
            ADDRESS_IN_USE.
        """
        open_log(self.settings.log_file)
        self.events.enable_log()
        if self.settings.statsd:
            self.events.enable_metrics(self.settings.statsd)
        limits = self.settings.limits
        self._server = LinkServer(
            self.identity, self.peers.process_ids, limits, self.events, handler
        )
        try:
            await self._server.start(self.settings.link)
        except OSError as error:
            detail = f"link {self.settings.link.ip}:{self.settings.link.port}: {error}"
            raise TroutstandError(ResultCode.ADDRESS_IN_USE, detail) from error
        for task in self.peers.start_links():
            self.track_task(task)
        self.spawn_loop(partial(watch_suspends, self._log_suspend), "suspends")
        self.events.emit("process_started", incarnation=self.incarnation)

    def _log_suspend(self, length_s: float) -> None:
        self.events.emit("host_suspended", length_s=length_s)

    def spawn(self, coroutine: Coroutine[None, None, None], name: str) -> None:
        """Run a coroutine as a task that is cancelled on stop; log its failure."""
        self.track_task(asyncio.create_task(coroutine, name=name))

    def spawn_loop(self, run: Callable[[], Coroutine[None, None, None]], name: str) -> None:
        """Run a background loop that is cancelled on stop; log a failure and start it again."""
        self.spawn(keep_running(run, partial(self._log_failure, name)), name)

    def track_task(self, task: asyncio.Task[None]) -> None:
        """Hold a reference to a task until it ends, and log its failure."""
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def track_command(self, task: asyncio.Task[Outcome]) -> None:
        """Hold a reference to a command's task until it ends, and log an unexpected failure."""
        self._commands.add(task)
        task.add_done_callback(self._finish_command)

    def _finish_command(self, task: asyncio.Task[Outcome]) -> None:
        self._commands.discard(task)
        if task.cancelled():
            return
        # A TroutstandError is already logged as command_refused.
        error = task.exception()
        if error is not None and not isinstance(error, TroutstandError):
            self._log_failure(task.get_name(), error)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log_failure(task.get_name(), error)

    def _log_failure(self, name: str, error: BaseException) -> None:
        detail = f"{name}: {error!r}"
        self.events.emit("task_failed", code=ResultCode.INTERNAL, detail=detail)

    async def stop(self) -> None:
        """Cancel the tasks and close the link server."""
        self.state = ProcessState.stopped
        for task in list(self._tasks):
            task.cancel()
        if self._server:
            await self._server.stop()
        self.events.emit("process_stopped")

    def send_heartbeats(self) -> None:
        """Send this process's heartbeat to every peer."""
        for peer in self.peers.process_ids:
            self.peers.send(peer, self.make_heartbeat(peer))

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store a peer's heartbeat with the time of its arrival."""
        process = ProcessId(heartbeat.process)
        self.peers.heartbeats[process] = ReceivedHeartbeat(heartbeat, read_clock_s())
