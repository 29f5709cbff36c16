"""Poll the keepers for the configuration, rollouts, part evidence and contacts of processes."""

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
from troutstand.routing.partevidencecache import PartEvidenceCache
from troutstand.routing.rolloutcache import RolloutCache
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.ids import ProcessId
    from troutstand.routing.dialect import Dialect

_POLL_PERIOD_S = 0.3
_MIN_TIMEOUT_S = 0.4
# The timeout doubles up to this, since a large configuration takes long on a slow link.
_MAX_TIMEOUT_S = 1.6
_KEEPERS_TIMEOUT_S = 1.5


class Follower:
    """Poll the keepers in turn, one per period.

    Parameters
    ----------
    on_table
        Called with each newer configuration, in the order of versions.
    """

    def __init__(
        self, node: RoutingNode, dialect: Dialect, on_table: Callable[[RouteTable], None]
    ) -> None:
        self.table: RouteTable | None = None
        settings = node.settings
        exposure_limit = ExposureLimit(settings.exposure_share, settings.exposure_extra)
        self.rollouts = RolloutCache(node.events, settings.rollback_s, exposure_limit)
        self.part_evidence = PartEvidenceCache()
        self._node = node
        self._dialect = dialect
        self._on_table = on_table
        self._keeper_index = node.random.randrange(1 << 16)
        self._last_reply_s = read_clock_s()
        self._is_lost = False
        self._timeout_s = _MIN_TIMEOUT_S
        self._unreadable_version = 0
        self._contacts_digest = ""
        self._listed_processes: list[str] = []

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 if there is none."""
        return self.table.version if self.table else 0

    @property
    def is_fresh(self) -> bool:
        """Return whether a keeper has replied since the host last resumed from a suspend."""
        return self._last_reply_s >= self._node.resumed_s

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._node.expire_contacts(read_clock_s())
            has_reply = await self.ask_next_keeper()
            self._record_contact(has_reply)
            pause_s = _POLL_PERIOD_S * (0.75 + 0.5 * self._node.random.random())
            await asyncio.sleep(pause_s if has_reply else pause_s / 6)

    def _record_contact(self, has_reply: bool) -> None:
        now_s = read_clock_s()
        if has_reply:
            self._last_reply_s = now_s
            if self._is_lost:
                self._node.events.emit("keepers_regained", version=self.version)
            self._is_lost = False
        elif not self._is_lost and now_s - self._last_reply_s > _KEEPERS_TIMEOUT_S:
            self._is_lost = True
            self._node.events.emit("keepers_lost", version=self.version)

    def list_keepers(self) -> list[ProcessId]:
        """Return the known keepers, or those of the seeds before any is known."""
        role = RoutingRole.keeper
        known = self._node.contacts.list_by_role(role.value)
        if known:
            return known
        ips = {parse_address(seed).ip for seed in self._node.settings.seeds}
        return sorted(self._node.make_peer_id(role, ip) for ip in ips)

    async def ask_next_keeper(self) -> bool:
        """Poll the next keeper; return whether it replied in time."""
        keepers = self.list_keepers()
        if not keepers:
            return False
        self._keeper_index += 1
        keeper = keepers[self._keeper_index % len(keepers)]
        ask = ContactAsk(
            self._node.make_contact(self.version),
            known_digest=self._contacts_digest,
            rollouts_version=self.rollouts.version,
            part_evidence_version=self.part_evidence.version,
        )
        sent_s = read_clock_s()
        try:
            reply = await self._node.ask(keeper, ask, self._timeout_s)
        except TroutstandError as error:
            if error.code is ResultCode.LINK_TIMEOUT:
                self._timeout_s = min(_MAX_TIMEOUT_S, 2 * self._timeout_s)
            # Not logged here; keepers_lost reports that no keeper replies.
            self._restore_seeds()
            return False
        if not isinstance(reply, ContactReply):
            return False
        self._timeout_s = _MIN_TIMEOUT_S
        self._update_contacts(reply.contact, reply.known)
        self.rollouts.handle_reply(reply, sent_s)
        self.part_evidence.handle_reply(reply)
        if reply.known_digest != self._contacts_digest:
            self._contacts_digest = reply.known_digest
            self._listed_processes = [contact.process for contact in reply.known]
        self._node.contacts.refresh(self._listed_processes, read_clock_s())
        if reply.version > self.version:
            self._install_table(reply.version, reply.content)
        return True

    def _restore_seeds(self) -> None:
        """Add the seeds whose contact is missing, so that they are polled again."""
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

    def _update_contacts(self, contact: Contact, known: list[Contact]) -> None:
        now_s = read_clock_s()
        for peer in (contact, *known):
            if peer.process != self._node.process and self._node.contacts.update(peer, now_s):
                self._node.events.emit("contact_found", peer=peer.process, host=peer.host)

    def _log_unreadable(self, version: int, group: BaseExceptionGroup) -> None:
        """Log why a version is invalid, once per version, since every reply repeats it."""
        if version == self._unreadable_version:
            return
        self._unreadable_version = version
        self._node.events.emit(
            "configuration_unreadable",
            code=ResultCode.CONFIGURATION_INVALID,
            version=version,
            detail="; ".join(str(error) for error in flatten_group(group)),
        )

    def _install_table(self, version: int, content: bytes) -> None:
        try:
            table = RouteTable(self._dialect.decode_configuration(decompress(content)))
        except* TroutstandError as group:
            self._log_unreadable(version, group)
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
