"""Log and count what a scheduler has corrected in its state of the gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter

from troutstand.core.gatewaystates import StateTable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.gatewaystates import Correction
    from troutstand.routing.node import RoutingNode

# A scheduler that takes over a gateway learns these for the first time.
_TAKEN_OVER = frozenset({StateTable.RUNNING, StateTable.NOTICES})


class CorrectionLog:
    """Log one line a table, and count the corrected entries."""

    def __init__(self, node: RoutingNode) -> None:
        self._events = node.events
        self._corrected = Counter(
            "troutstand_state_corrected",
            "Entries of a gateway's state that its scheduler has corrected",
            ["table"],
            registry=node.metrics.registry,
        )

    def emit(self, peer: str, corrections: Iterable[Correction]) -> None:
        """Report the corrections after a difference."""
        for correction in corrections:
            table = correction.table.value
            self._corrected.labels(table).inc(correction.count)
            self._events.emit(
                "state_corrected",
                peer=peer,
                table=table,
                count=correction.count,
                oldest_s=correction.oldest_s,
            )

    def emit_attached(self, peer: str, corrections: Iterable[Correction]) -> None:
        """Report the corrections by the state of a gateway that has attached."""
        self.emit(peer, [c for c in corrections if c.table not in _TAKEN_OVER])
