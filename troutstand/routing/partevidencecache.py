"""Exchange with the keepers what a process knows of prompt parts that crash targets."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from troutstand.core.crashes.partevidence import shift_times
from troutstand.core.crashes.partrecords import make_evidence, make_stored
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import PartEvidenceTold, PartNews
from troutstand.generated.routing import RoutingRole
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.crashes.partcrashes import PartTracker
    from troutstand.core.crashes.partevidence import PartEvidence
    from troutstand.generated.messages import ContactReply, StoredPartEvidence
    from troutstand.routing.node import RoutingNode

# Longer than a keeper waits for its quorum before it gives up.
_KEEPER_TIMEOUT_S = 3.0
_RETRY_INTERVAL_S = 0.2


class PartEvidenceCache:
    """Hold the version of the evidence that a process has from the keepers."""

    def __init__(self) -> None:
        self.version = 0
        # Called with newer evidence; its times are Unix times.
        self.on_change: Callable[[StoredPartEvidence], None] | None = None

    def handle_reply(self, reply: ContactReply) -> None:
        """Install the evidence of a keeper's reply."""
        if reply.part_evidence is not None:
            self.install(reply.part_evidence, reply.part_evidence_version)

    def install(self, evidence: StoredPartEvidence, version: int) -> None:
        """Install evidence if it is newer."""
        if version <= self.version or self.on_change is None:
            return
        self.version = version
        self.on_change(evidence)


class PartEvidenceSync:
    """Keep the evidence of a process and that of the keepers the same.

    Parameters
    ----------
    merge
        Merges evidence into that of the process; its times are on the steady clock.
    """

    def __init__(
        self,
        node: RoutingNode,
        tracker: PartTracker,
        cache: PartEvidenceCache,
        merge: Callable[[PartEvidence], None],
    ) -> None:
        self._node = node
        self._tracker = tracker
        self._cache = cache
        self._merge = merge
        # Constant, so that a change of the time of day does not make one crash two.
        self._unix_offset_s = time.time() - read_clock_s()
        self._keeper_index = node.random.randrange(1 << 16)
        self._sending: asyncio.Task[None] | None = None
        cache.on_change = self._merge_stored

    def _merge_stored(self, stored: StoredPartEvidence) -> None:
        evidence = make_evidence(stored)
        self._merge(shift_times(evidence, -self._unix_offset_s, read_clock_s()))

    def send_news(self, includes_single: bool) -> None:
        """Send what the process has found out since, unless a message is under way.

        Parameters
        ----------
        includes_single
            Whether to tell of parts under which one target crashed.
        """
        if self._sending is not None and not self._sending.done():
            return
        news = self._tracker.drain_news(includes_single)
        if news is not None:
            self._sending = self._node.spawn(self._send(news), "send part evidence")

    async def _send(self, news: PartEvidence) -> None:
        """Send evidence to the keepers in turn until one has stored it."""
        message = PartNews(make_stored(shift_times(news, self._unix_offset_s, float("inf"))))
        for keeper in self._list_keepers():
            try:
                told = await self._node.ask_for(
                    keeper, message, PartEvidenceTold, _KEEPER_TIMEOUT_S
                )
            except TroutstandError as error:
                self._node.events.emit(
                    "part_evidence_unclear", code=error.code, peer=keeper, detail=error.detail
                )
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            if isinstance(told, PartEvidenceTold):
                self._cache.install(told.evidence, told.version)
            return
        self._tracker.mark_unsent()

    def _list_keepers(self) -> list[str]:
        """Return the keepers, from another one on each time."""
        keepers = self._node.contacts.list_by_role(RoutingRole.keeper.value)
        self._keeper_index += 1
        first = self._keeper_index % len(keepers) if keepers else 0
        return [*keepers[first:], *keepers[:first]]
