"""Record the targets tried by keyed requests in all entry processes of a failure domain.

A caller can resend through any entry host, so each target is recorded at every live
peer before the request is sent and the record outlives the sending process.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import TriedAsk, TriedReply
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.core.ids import ProcessId
    from troutstand.daemon.node import Node

# The least recently recorded keys are evicted first.
MAX_KEYS = 100_000
MAX_TARGETS = 64
_ASK_TIMEOUT_S = 0.25


class TriedTargets:
    """Store the targets of keyed requests and share them with the domain's peers."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._targets: OrderedDict[str, list[str]] = OrderedDict()
        self._unreachable: set[ProcessId] = set()

    def handle_ask(self, ask: TriedAsk) -> TriedReply:
        """Reply with the targets recorded for a key, and record the message's target, if any."""
        recorded = list(self._targets.get(ask.key, []))
        if ask.target and ask.target not in recorded:
            self._targets[ask.key] = [*recorded, ask.target][-MAX_TARGETS:]
            self._targets.move_to_end(ask.key)
            if len(self._targets) > MAX_KEYS:
                self._targets.popitem(last=False)
        return TriedReply(recorded)

    async def collect(self, key: str) -> set[str]:
        """Return the targets that this process and its peers recorded for a key."""
        return await self._query_domain(TriedAsk(key))

    async def record(self, key: str, target: str) -> set[str]:
        """Record a target for a key and return those recorded before."""
        return await self._query_domain(TriedAsk(key, target))

    async def _query_domain(self, ask: TriedAsk) -> set[str]:
        recorded = set(self.handle_ask(ask).targets)
        replies = await asyncio.gather(
            *(self._ask_peer(peer, ask) for peer in self._list_live_peers())
        )
        return recorded.union(*replies)

    async def _ask_peer(self, peer: ProcessId, ask: TriedAsk) -> set[str]:
        try:
            reply = await self._node.peers.ask(peer, ask, _ASK_TIMEOUT_S)
        except TroutstandError as error:
            self._log_unreachable(peer, error)
            return set()
        self._unreachable.discard(peer)
        return set(reply.targets) if isinstance(reply, TriedReply) else set()

    def _log_unreachable(self, peer: ProcessId, error: TroutstandError) -> None:
        """Log a peer whose records are missing, once until it answers again."""
        if peer not in self._unreachable:
            self._unreachable.add(peer)
            self._node.events.emit("tried_unknown", code=error.code, peer=peer)

    def _list_live_peers(self) -> list[ProcessId]:
        peers, lease_s = self._node.peers, self._node.settings.limits.lease_s
        now_s = read_clock_s()
        others = peers.domain_entries - {self._node.process}
        return [peer for peer in others if peers.is_live(peer, now_s, lease_s)]
