"""Remember which targets had a keyed request, over all entry processes of a domain.

A caller may resend through any entry host. Before a keyed request goes out,
its target is noted at every live peer of the domain, so that the memory
outlives the process that dispatched it (issue 4).
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

# Keys that are remembered; the oldest go first.
KEPT_KEYS = 100_000
MAX_TARGETS = 64
_ASK_S = 0.25


class TriedTargets:
    """Keep the targets of keyed requests."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._targets: OrderedDict[str, list[str]] = OrderedDict()
        self._silent: set[ProcessId] = set()

    def handle_ask(self, ask: TriedAsk) -> TriedReply:
        """Tell the targets that had a key before, and note another."""
        known = list(self._targets.get(ask.key, []))
        if ask.target and ask.target not in known:
            self._targets[ask.key] = [*known, ask.target][-MAX_TARGETS:]
            self._targets.move_to_end(ask.key)
            if len(self._targets) > KEPT_KEYS:
                self._targets.popitem(last=False)
        return TriedReply(known)

    async def collect(self, key: str) -> set[str]:
        """Return the targets that had a key."""
        return await self._exchange(TriedAsk(key))

    async def note(self, key: str, target: str) -> set[str]:
        """Note a target and return those that had the key before."""
        return await self._exchange(TriedAsk(key, target))

    async def _exchange(self, ask: TriedAsk) -> set[str]:
        known = set(self.handle_ask(ask).targets)
        replies = await asyncio.gather(*(self._ask(peer, ask) for peer in self._list_live()))
        return known.union(*replies)

    async def _ask(self, peer: ProcessId, ask: TriedAsk) -> set[str]:
        try:
            reply = await self._node.peers.ask(peer, ask, _ASK_S)
        except TroutstandError as error:
            self._note_silent(peer, error)
            return set()
        self._silent.discard(peer)
        return set(reply.targets) if isinstance(reply, TriedReply) else set()

    def _note_silent(self, peer: ProcessId, error: TroutstandError) -> None:
        """Log once that the targets a peer knows of are left out, until it answers again."""
        if peer not in self._silent:
            self._silent.add(peer)
            self._node.events.emit("tried_unknown", code=error.code, peer=peer)

    def _list_live(self) -> list[ProcessId]:
        peers, lease_s = self._node.peers, self._node.settings.limits.lease_s
        now_s = read_clock_s()
        others = peers.domain_entries - {self._node.process}
        return [peer for peer in others if peers.is_live(peer, now_s, lease_s)]
