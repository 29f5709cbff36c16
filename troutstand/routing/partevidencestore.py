"""Change the evidence on prompt parts that crash targets through a quorum of the keepers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codec import decode_record, encode_record
from troutstand.core.crashes.partevidence import merge_evidence
from troutstand.core.crashes.partrecords import make_evidence, make_stored
from troutstand.generated.messages import (
    Line,
    PartEvidenceTold,
    StoredConfiguration,
    StoredPartEvidence,
)

if TYPE_CHECKING:
    from troutstand.routing.lineclient import LineClient
    from troutstand.util.events import EventBus


def decode_stored(stored: StoredConfiguration) -> StoredPartEvidence:
    """Decode stored evidence; return an empty one if nothing is stored yet."""
    return (
        decode_record(stored.content, StoredPartEvidence)
        if stored.version
        else StoredPartEvidence()
    )


class PartEvidenceStore:
    """Add evidence to what the keepers hold."""

    def __init__(self, line: LineClient, events: EventBus) -> None:
        self._line = line
        self._events = events

    async def record(self, news: StoredPartEvidence) -> PartEvidenceTold:
        """Add evidence by compare-and-set, and return all that is decided.

        Raises
        ------
        TroutstandError
            CONFIGURATION_UNKNOWN if no quorum replies in time.
        """
        while True:
            current = await self._line.read()
            known = decode_stored(current)
            merged = make_stored(merge_evidence(make_evidence(known), make_evidence(news)))
            if merged == known:
                return PartEvidenceTold(current.version, known)
            proposal = StoredConfiguration(
                current.version + 1, encode_record(merged), Line.part_evidence
            )
            decided = await self._line.replace(proposal)
            if decided == proposal:
                self._events.emit(
                    "part_evidence_decided",
                    crashes=len(merged.crashes),
                    quarantines=len(merged.quarantines),
                    version=decided.version,
                )
                return PartEvidenceTold(decided.version, merged)
