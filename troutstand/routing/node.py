"""Provide the identity, links, contacts and events that every routed process needs."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from functools import partial
from typing import TYPE_CHECKING

from troutstand.core.clock import HybridClock
from troutstand.core.codes import ResultCode
from troutstand.core.contacts import ContactRegistry
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import Incarnation, ProcessId, name_process
from troutstand.core.scheduling.options import LoadOptions
from troutstand.daemon.links import Identity, Link, LinkServer, Traffic
from troutstand.daemon.pendingpeers import PendingPeers
from troutstand.generated.messages import Contact, PeerMessage, ProcessState, Refused
from troutstand.generated.routing import RoutingRole
from troutstand.generated.settings import Address, Limits
from troutstand.routing.metrics import NodeMetrics
from troutstand.util.backgroundloop import keep_running
from troutstand.util.clientguard import ClientLimits, count_usable_descriptors, make_guard
from troutstand.util.clock import read_clock_s, watch_suspends
from troutstand.util.events import EventBus, open_standard_output

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from aiohttp import web

    from troutstand.daemon.links import Handler
    from troutstand.generated.routing import RoutingSettings

_INCARNATION_BYTES = 8
_LINK_LEASE_S = 0.8
_LINK_LIMITS = Limits(lease_s=_LINK_LEASE_S, link_queue_messages=4000, message_bytes=16 << 20)
# A site that tolerates several losses has more keepers and schedulers, so that each process
# has more links; probes of idle links would be half of an idle gateway's wake-ups.
_MANY_LOST_COUNT = 2
_MANY_LINKS_PROBE_PERIOD_S = 4 * _LINK_LEASE_S
_CONNECT_TIMEOUT_S = 0.25
# Share of the descriptors for connections of peers that are not authenticated.
_PENDING_SHARE = 0.125
_PORT_OFFSETS = {RoutingRole.keeper: 0, RoutingRole.scheduler: 1, RoutingRole.gateway: 2}


def parse_address(text: str) -> Address:
    """Parse IP:PORT; an IPv6 address may be in brackets."""
    ip, _, port = text.rpartition(":")
    return Address(ip.removeprefix("[").removesuffix("]"), int(port))


def make_process_id(role: RoutingRole, ip: str, first_port: int) -> ProcessId:
    """Return the id of the process of a role at an IP address, which is its link address."""
    return ProcessId(f"{ip}:{first_port + _PORT_OFFSETS[role]}")


class RoutingNode:
    """Hold the identity and links of a process and the contacts of its peers.

    The id of a process is its link address, IP:PORT, so that a seed is reachable by its
    address alone.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.process = self.make_peer_id(settings.role, settings.ip)
        self.incarnation = Incarnation(secrets.token_hex(_INCARNATION_BYTES))
        self.random = random.Random(secrets.randbits(64))
        self.state = ProcessState.starting
        self.contacts = ContactRegistry()
        name = name_process(settings.host, settings.role.value)
        self.events = EventBus(name, HybridClock(time.time))
        self.identity = Identity(settings.site, self.process, bytes.fromhex(settings.link_key_hex))
        self.traffic = Traffic()
        self.metrics = NodeMetrics(self.events)
        # What the clients of all HTTP listeners hold together.
        self.guard = make_guard(
            settings.memory_mb, settings.max_descriptors, ClientLimits(), self.events
        )
        self.pending_peers = PendingPeers(
            int(_PENDING_SHARE * count_usable_descriptors(settings.max_descriptors))
        )
        self._metrics_runner: web.AppRunner | None = None
        # Called with each peer that refuses a connection, which means that its process has ended.
        self.on_refused: Callable[[ProcessId], None] | None = None
        # Called with each reply of a peer that nobody waits for any more.
        self.on_unawaited: Callable[[ProcessId, PeerMessage], None] | None = None
        self._links: dict[ProcessId, tuple[Link, asyncio.Task[None]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: LinkServer | None = None
        # Time at which the host was last found to have resumed from a suspend.
        self.resumed_s = float("-inf")

    def make_peer_id(self, role: RoutingRole, ip: str) -> ProcessId:
        """Return the id of the process of a role at an IP address of this site."""
        return make_process_id(role, ip, self.settings.first_port)

    @property
    def load_options(self) -> LoadOptions:
        """Return the load options that the settings enable."""
        settings = self.settings
        return LoadOptions(settings.protect_tiers, settings.share_fairly)

    def make_contact(self, version: int, disk_id: str = "", epoch: int = 0) -> Contact:
        """Return the contact that describes this process to its peers."""
        settings = self.settings
        return Contact(
            process=self.process,
            host=settings.host,
            role=settings.role.value,
            failure_domain=settings.failure_domain,
            incarnation=self.incarnation,
            state=self.state,
            version=version,
            age_ms=0,
            disk_id=disk_id,
            epoch=epoch,
        )

    def start_event_log(self) -> None:
        """Start logging events to standard output."""
        open_standard_output()
        self.events.enable_log()
        self.events.emit("process_started", incarnation=self.incarnation, address=self.process)

    async def start_metrics(self) -> None:
        """Start the loop monitors, and serve metrics if the settings name a port."""
        self.spawn_loop(self.metrics.measure_loop_lag, "loop lag")
        self.spawn_loop(partial(watch_suspends, self._record_suspend), "suspends")
        port = self.settings.metrics_port
        if port:
            address = Address(self.settings.bind_ip or self.settings.ip, port)
            self._metrics_runner = await self.metrics.serve(address, self.guard)

    def _record_suspend(self, duration_s: float) -> None:
        self.resumed_s = read_clock_s()
        self.events.emit("host_suspended", length_s=duration_s)

    async def listen(self, handler: Handler) -> None:
        """Accept links from other processes.

        Raises
        ------
        TroutstandError
            ADDRESS_IN_USE.
        """
        self._server = LinkServer(
            self.identity, None, _LINK_LIMITS, self.events, handler, self.pending_peers
        )
        try:
            await self._server.start(self.listen_address)
        except OSError as error:
            detail = f"link {self.process}: {error}"
            raise TroutstandError(ResultCode.ADDRESS_IN_USE, detail) from error

    @property
    def listen_address(self) -> Address:
        """Return the address at which this process accepts connections of its peers."""
        address = parse_address(self.process)
        return Address(self.settings.bind_ip or address.ip, address.port)

    async def close(self) -> None:
        """Cancel the tasks and close the links."""
        self.state = ProcessState.stopped
        for task in [*self._tasks, *(task for _, task in self._links.values())]:
            task.cancel()
        if self._server:
            await self._server.stop()
        if self._metrics_runner:
            await self._metrics_runner.cleanup()
        self.events.emit("process_stopped")

    def spawn(self, coroutine: Coroutine[None, None, None], name: str) -> asyncio.Task[None]:
        """Run a coroutine as a task that is cancelled on close; log its failure."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def spawn_loop(
        self, run: Callable[[], Coroutine[None, None, None]], name: str
    ) -> asyncio.Task[None]:
        """Run a background loop that is cancelled on close; log a failure and start it again."""
        return self.spawn(keep_running(run, partial(self._log_failure, name)), name)

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

    # Links

    def _get_link(self, process: ProcessId) -> Link:
        entry = self._links.get(process)
        if entry is not None:
            return entry[0]
        address = parse_address(process)
        link = Link(
            self.identity,
            process,
            address,
            _LINK_LIMITS,
            self.events,
            self.traffic,
            bind_ip=self.settings.bind_ip,
            ping_interval_s=_MANY_LINKS_PROBE_PERIOD_S
            if self.settings.disks_lost >= _MANY_LOST_COUNT
            else None,
            on_refused=self._handle_refused,
            on_unawaited=self._handle_unawaited,
        )
        task = asyncio.create_task(link.run(), name=f"link {process}")
        self._links[process] = (link, task)
        return link

    def _handle_refused(self, process: ProcessId) -> None:
        if self.on_refused is not None:
            self.on_refused(process)

    def _handle_unawaited(self, process: ProcessId, reply: PeerMessage) -> None:
        if self.on_unawaited is not None:
            self.on_unawaited(process, reply)

    def close_link(self, process: ProcessId) -> None:
        """Close the link to a process, if there is one."""
        entry = self._links.pop(process, None)
        if entry is not None:
            entry[1].cancel()

    def expire_contacts(self, now_s: float) -> None:
        """Remove the expired contacts and close their links."""
        for process in self.contacts.expire(now_s):
            self.close_link(process)
            self.events.emit("contact_forgotten", peer=process)

    def send(self, process: str, message: PeerMessage) -> bool:
        """Send a message that has no reply; return whether it was queued."""
        return self._get_link(ProcessId(process)).send(message)

    def count_openings(self, process: ProcessId) -> int:
        """Return how often the link to a process was opened, 0 if it is not open now."""
        entry = self._links.get(process)
        return entry[0].openings if entry is not None and entry[0].is_up else 0

    async def ask(self, process: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a request to a process and return its reply.

        Raises
        ------
        TroutstandError
            Those of `Link.ask`.
        """
        await self.wait_for_link(process)
        return await self._get_link(ProcessId(process)).ask(message, timeout_s)

    async def wait_for_link(self, process: str) -> bool:
        """Wait briefly for a link that is not up; return whether it is up."""
        link = self._get_link(ProcessId(process))
        if not link.is_up:
            # The return value reports the timeout.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    await link.wait_until_up()
        return link.is_up

    async def ask_for(
        self, process: str, message: PeerMessage, reply_type: type, timeout_s: float
    ) -> PeerMessage:
        """Send a request to a process and require a type of reply.

        Raises
        ------
        TroutstandError
            Those of `ask`, the code of a refusal, or LINK_MALFORMED for another type.
        """
        reply = await self.ask(process, message, timeout_s)
        if isinstance(reply, Refused):
            raise TroutstandError(ResultCode(reply.code), f"{process}: {reply.detail}")
        if not isinstance(reply, reply_type):
            detail = (
                f"{process} replied with {type(reply).__name__}, expected {reply_type.__name__}"
            )
            raise TroutstandError(ResultCode.LINK_MALFORMED, detail)
        return reply
