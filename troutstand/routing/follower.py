"""Follow the configuration and the directory of processes from the keepers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.compression import decompress
from troutstand.core.configuration import RouteTable
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.core.rollouts.admission import ExposureLimit
from troutstand.generated.messages import Contact, ContactAsk, ContactReply
from troutstand.generated.routing import RoutingRole
from troutstand.routing.node import RoutingNode, parse_address
from troutstand.routing.rolloutcache import RolloutCache
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.ids import ProcessId
    from troutstand.routing.dialect import Dialect

_PERIOD_S = 0.3
_ASK_S = 0.4
# An answer with a large configuration may take longer on a slow link. Asking the
# next keeper at once would only send it once more, so that patience doubles.
_MOST_ASK_S = 1.6
_LOST_AFTER_S = 1.5


class Follower:
    """Ask the keepers in turn, one a period.

    Parameters
    ----------
    on_table
        Is called with each newer configuration, in the order of versions.
    """

    def __init__(
        self, node: RoutingNode, dialect: Dialect, on_table: Callable[[RouteTable], None]
    ) -> None:
        self.table: RouteTable | None = None
        settings = node.settings
        bound = ExposureLimit(settings.exposure_share, settings.exposure_extra)
        self.rollouts = RolloutCache(node.events, settings.rollback_s, bound)
        self._node = node
        self._dialect = dialect
        self._on_table = on_table
        self._turn = node.random.randrange(1 << 16)
        self._answered_s = read_clock_s()
        self._is_lost = False
        self._patience_s = _ASK_S
        self._unreadable_version = 0
        self._digest = ""
        self._listed: list[str] = []

    @property
    def version(self) -> int:
        """Return the version in force here; 0 before there is one."""
        return self.table.version if self.table else 0

    @property
    def is_fresh(self) -> bool:
        """Tell whether a keeper answered since the host was last suspended."""
        return self._answered_s >= self._node.resumed_s

    async def run(self) -> None:
        """Stay in touch until cancelled."""
        while True:
            self._node.expire_contacts(read_clock_s())
            answered = await self.ask_next_keeper()
            self._record_contact(answered)
            pause_s = _PERIOD_S * (0.75 + 0.5 * self._node.random.random())
            await asyncio.sleep(pause_s if answered else pause_s / 6)

    def _record_contact(self, answered: bool) -> None:
        now_s = read_clock_s()
        if answered:
            self._answered_s = now_s
            if self._is_lost:
                self._node.events.emit("keepers_regained", version=self.version)
            self._is_lost = False
        elif not self._is_lost and now_s - self._answered_s > _LOST_AFTER_S:
            self._is_lost = True
            self._node.events.emit("keepers_lost", version=self.version)

    def _list_keepers(self) -> list[ProcessId]:
        role = RoutingRole.keeper
        known = self._node.contacts.list_by_role(role.value)
        if known:
            return known
        ips = {parse_address(seed).ip for seed in self._node.settings.seeds}
        return sorted(self._node.make_peer_id(role, ip) for ip in ips)

    async def ask_next_keeper(self) -> bool:
        """Ask one keeper; tell whether it answered in time."""
        keepers = self._list_keepers()
        if not keepers:
            return False
        self._turn += 1
        keeper = keepers[self._turn % len(keepers)]
        ask = ContactAsk(
            self._node.make_contact(self.version),
            known_digest=self._digest,
            rollouts_version=self.rollouts.version,
        )
        asked_s = read_clock_s()
        try:
            reply = await self._node.ask(keeper, ask, self._patience_s)
        except TroutstandError as error:
            if error.code is ResultCode.LINK_TIMEOUT:
                self._patience_s = min(_MOST_ASK_S, 2 * self._patience_s)
            # keepers_lost tells of it when no other answers either. A process that only
            # its silence is known of must not hide the seeds.
            self._revive_seeds()
            return False
        if not isinstance(reply, ContactReply):
            return False
        self._patience_s = _ASK_S
        self._hear(reply.contact, reply.known)
        self.rollouts.handle_reply(reply, asked_s)
        if reply.known_digest != self._digest:
            self._digest = reply.known_digest
            self._listed = [contact.process for contact in reply.known]
        self._node.contacts.refresh(self._listed, read_clock_s())
        if reply.version > self.version:
            self._use(reply.version, reply.content)
        return True

    def _revive_seeds(self) -> None:
        now_s = read_clock_s()
        for seed in self._node.settings.seeds:
            process = self._node.make_peer_id(RoutingRole.keeper, parse_address(seed).ip)
            if self._node.contacts.find(process) is None:
                contact = Contact(
                    process=process,
                    host="",
                    role=RoutingRole.keeper.value,
                    failure_domain="",
                    incarnation="",
                    state=self._node.state,
                    age_ms=0,
                )
                self._node.contacts.update(contact, now_s)

    def _hear(self, contact: Contact, known: list[Contact]) -> None:
        now_s = read_clock_s()
        for heard in (contact, *known):
            if heard.process != self._node.process and self._node.contacts.update(heard, now_s):
                self._node.events.emit("contact_found", peer=heard.process, host=heard.host)

    def _note_unreadable(self, version: int, group: BaseExceptionGroup) -> None:
        """Log once a version why it cannot be used; every contact brings it again."""
        if version == self._unreadable_version:
            return
        self._unreadable_version = version
        self._node.events.emit(
            "configuration_unreadable",
            code=ResultCode.CONFIGURATION_INVALID,
            version=version,
            detail="; ".join(str(error) for error in flatten_group(group)),
        )

    def _use(self, version: int, content: bytes) -> None:
        try:
            table = RouteTable(self._dialect.decode_configuration(decompress(content)))
        except* TroutstandError as group:
            self._note_unreadable(version, group)
        else:
            self._node.events.emit(
                "configuration_in_force",
                version=version,
                before=self.version,
                routes=len(table.configuration.routes),
                workspaces=len(table.configuration.workspaces),
            )
            self.table = table
            self._on_table(table)
