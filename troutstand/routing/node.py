"""Hold what every process of a routed site has: identity, links, contacts, events."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from typing import TYPE_CHECKING

from troutstand.core.clock import HybridClock
from troutstand.core.codes import ResultCode
from troutstand.core.contacts import ContactRegistry
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import Incarnation, ProcessId, name_process
from troutstand.core.scheduling.options import LoadOptions
from troutstand.daemon.links import Identity, Link, LinkServer, Traffic
from troutstand.generated.messages import Contact, PeerMessage, ProcessState, Refused
from troutstand.generated.routing import RoutingRole
from troutstand.generated.settings import Address, Limits
from troutstand.routing.metrics import NodeMetrics
from troutstand.util.clock import read_clock_s, watch_suspends
from troutstand.util.events import EventBus, open_standard_output

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from aiohttp import web

    from troutstand.daemon.links import Handler
    from troutstand.generated.routing import RoutingSettings

_INCARNATION_BYTES = 8
_LINK_S = 0.8
_LINK_LIMITS = Limits(lease_s=_LINK_S, link_queue_messages=4000, message_bytes=16 << 20)
# Where several keepers and schedulers may be lost at once there are more of them
# to turn to, and each process has more links: probes of links at rest were half of
# an idle gateway's wake-ups.
_MANY_LOST = 2
_MANY_LINKS_PROBE_S = 4 * _LINK_S
_CONNECT_S = 0.25
_PORT_OFFSETS = {RoutingRole.keeper: 0, RoutingRole.scheduler: 1, RoutingRole.gateway: 2}


def parse_address(text: str) -> Address:
    """Split IP:PORT; an IPv6 number may stand in brackets."""
    ip, _, port = text.rpartition(":")
    return Address(ip.removeprefix("[").removesuffix("]"), int(port))


def make_process_id(role: RoutingRole, ip: str, first_port: int) -> ProcessId:
    """Name the process that plays a role at an IP number: the address of its links."""
    return ProcessId(f"{ip}:{first_port + _PORT_OFFSETS[role]}")


class RoutingNode:
    """Hold one process's identity, links and what it knows of the others.

    A process is named by the address of its links, IP:PORT: whoever knows a
    seed's address can reach it before knowing anything else.
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
        self._metrics_runner: web.AppRunner | None = None
        # Called with each peer whose address refuses a link, so that its process has ended.
        self.on_refused: Callable[[ProcessId], None] | None = None
        self._links: dict[ProcessId, tuple[Link, asyncio.Task[None]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: LinkServer | None = None
        # When the host was last seen to be awake again after it was suspended.
        self.resumed_s = float("-inf")

    def make_peer_id(self, role: RoutingRole, ip: str) -> ProcessId:
        """Name the process that plays a role at an IP number."""
        return make_process_id(role, ip, self.settings.first_port)

    @property
    def load_options(self) -> LoadOptions:
        """Return which decisions under load the settings switch on."""
        settings = self.settings
        return LoadOptions(settings.protect_tiers, settings.share_fairly)

    def make_contact(self, version: int, disk_id: str = "", epoch: int = 0) -> Contact:
        """Tell others what this process is."""
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
        """Begin to log, on standard output."""
        open_standard_output()
        self.events.enable_log()
        self.events.emit("process_started", incarnation=self.incarnation, address=self.process)

    async def start_metrics(self) -> None:
        """Serve metrics, where the settings name a port."""
        self.spawn(self.metrics.measure_loop_lag(), "loop lag")
        self.spawn(watch_suspends(self._note_suspended), "suspends")
        port = self.settings.metrics_port
        if port:
            address = Address(self.settings.bind_ip or self.settings.ip, port)
            self._metrics_runner = await self.metrics.serve(address)

    def _note_suspended(self, length_s: float) -> None:
        self.resumed_s = read_clock_s()
        self.events.emit("host_suspended", length_s=length_s)

    async def listen(self, handler: Handler) -> None:
        """Take links from the other processes."""
        self._server = LinkServer(self.identity, None, _LINK_LIMITS, self.events, handler)
        try:
            await self._server.start(self._find_own_address())
        except OSError as error:
            detail = f"link {self.process}: {error}"
            raise TroutstandError(ResultCode.ADDRESS_IN_USE, detail) from error

    def _find_own_address(self) -> Address:
        address = parse_address(self.process)
        return Address(self.settings.bind_ip or address.ip, address.port)

    async def close(self) -> None:
        """Cancel what runs and close the links."""
        self.state = ProcessState.stopped
        for task in [*self._tasks, *(task for _, task in self._links.values())]:
            task.cancel()
        if self._server:
            await self._server.stop()
        if self._metrics_runner:
            await self._metrics_runner.cleanup()
        self.events.emit("process_stopped")

    def spawn(self, coroutine: Coroutine[None, None, None], name: str) -> asyncio.Task[None]:
        """Run a coroutine until the process stops, and report it if it fails."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._report_task)
        return task

    def _report_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        detail = f"{task.get_name()}: {task.exception()!r}"
        self.events.emit("task_failed", code=ResultCode.INTERNAL, detail=detail)

    # Links

    def _open_link(self, process: ProcessId) -> Link:
        held = self._links.get(process)
        if held is not None:
            return held[0]
        address = parse_address(process)
        link = Link(
            self.identity,
            process,
            address,
            _LINK_LIMITS,
            self.events,
            self.traffic,
            from_ip=self.settings.bind_ip,
            probe_s=_MANY_LINKS_PROBE_S if self.settings.disks_lost >= _MANY_LOST else None,
            on_refused=self._note_refused,
        )
        task = asyncio.create_task(link.run(), name=f"link {process}")
        self._links[process] = (link, task)
        return link

    def _note_refused(self, process: ProcessId) -> None:
        if self.on_refused is not None:
            self.on_refused(process)

    def close_link(self, process: ProcessId) -> None:
        """Close the link to a process that is forgotten."""
        held = self._links.pop(process, None)
        if held is not None:
            held[1].cancel()

    def expire_contacts(self, now_s: float) -> None:
        """Drop the contacts and links of processes that were silent for long."""
        for process in self.contacts.expire(now_s):
            self.close_link(process)
            self.events.emit("contact_forgotten", peer=process)

    def send(self, process: str, message: PeerMessage) -> bool:
        """Send a message without an answer; tell whether it was queued."""
        return self._open_link(ProcessId(process)).send(message)

    async def ask(self, process: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Ask a process and return its answer.

        Raises
        ------
        TroutstandError
            Those of `Link.ask`.
        """
        await self.wait_for_link(process)
        return await self._open_link(ProcessId(process)).ask(message, timeout_s)

    async def wait_for_link(self, process: str) -> bool:
        """Wait a moment for a link that was just opened or lost; tell whether it is up."""
        link = self._open_link(ProcessId(process))
        if not link.is_up:
            # The caller is told by what this returns.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CONNECT_S):
                    await link.wait_up()
        return link.is_up

    async def ask_for(
        self, process: str, message: PeerMessage, kind: type, timeout_s: float
    ) -> PeerMessage:
        """Ask a process and require one kind of answer.

        Raises
        ------
        TroutstandError
            Those of `ask`, what the process refused with, or LINK_MALFORMED.
        """
        reply = await self.ask(process, message, timeout_s)
        if isinstance(reply, Refused):
            raise TroutstandError(ResultCode(reply.code), f"{process}: {reply.detail}")
        if not isinstance(reply, kind):
            detail = f"{process} answered {type(reply).__name__}, {kind.__name__} is accepted"
            raise TroutstandError(ResultCode.LINK_MALFORMED, detail)
        return reply
