"""Convert evidence on prompt parts to messages and back."""

from __future__ import annotations

from troutstand.core.crashes.partevidence import (
    PartClearance,
    PartCrash,
    PartEvidence,
    PartQuarantine,
)
from troutstand.core.ids import PartId
from troutstand.generated.messages import (
    PartSuspect,
    StoredPartClearance,
    StoredPartCrash,
    StoredPartEvidence,
    StoredPartQuarantine,
)


def make_evidence(stored: StoredPartEvidence) -> PartEvidence:
    """Return the evidence that a message holds."""
    crashes = [
        PartCrash(
            crash.target,
            crash.at_s,
            {PartId(suspect.part): suspect.fingerprint for suspect in crash.suspects},
            frozenset(map(PartId, crash.isolated)),
        )
        for crash in stored.crashes
    ]
    quarantines = [
        PartQuarantine(frozenset(map(PartId, q.parts)), q.crash_count, q.at_s, q.until_s)
        for q in stored.quarantines
    ]
    clearances = [PartClearance(PartId(c.part), c.at_s) for c in stored.clearances]
    return PartEvidence(tuple(crashes), tuple(quarantines), tuple(clearances))


def make_stored(evidence: PartEvidence) -> StoredPartEvidence:
    """Return the message that holds evidence."""
    crashes = [
        StoredPartCrash(
            crash.target,
            crash.at_s,
            [PartSuspect(part, crash.suspects[part]) for part in sorted(crash.suspects)],
            sorted(crash.isolated),
        )
        for crash in evidence.crashes
    ]
    quarantines = [
        StoredPartQuarantine(sorted(q.parts), q.crash_count, q.at_s, q.until_s)
        for q in evidence.quarantines
    ]
    clearances = [StoredPartClearance(c.part, c.at_s) for c in evidence.clearances]
    return StoredPartEvidence(crashes, quarantines, clearances)
