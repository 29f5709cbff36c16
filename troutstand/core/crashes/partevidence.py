"""Hold the evidence on parts of prompts that crash targets, and join that of several processes.

Joining is commutative and idempotent, so that evidence may arrive in any order and repeatedly.
Times are in seconds on one clock of the caller's choice.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from troutstand.core.ids import PartId

# Reports of one crash differ by less than this: answers may break off before it, and the times
# of several processes differ. Shorter than the restart of a target.
_SAME_CRASH_S = 2.0
_MAX_CRASHES = 16
_MAX_QUARANTINES = 64
_MAX_CLEARANCES = 64


@dataclass(frozen=True)
class PartCrash:
    """Hold one crash of a target.

    Parameters
    ----------
    suspects
        The parts that may have caused it, each with the fingerprint of a request that had it.
    isolated
        The parts of the request that ran there isolated; empty if none did.
    """

    target: str
    at_s: float
    suspects: dict[PartId, str]
    isolated: frozenset[PartId] = frozenset()


@dataclass(frozen=True)
class PartQuarantine:
    """Hold parts that crash targets where a prompt has all of them."""

    parts: frozenset[PartId]
    crash_count: int
    at_s: float
    until_s: float


@dataclass(frozen=True)
class PartClearance:
    """Say that an answer to a request with a part began at a time."""

    part: PartId
    at_s: float


@dataclass(frozen=True)
class PartEvidence:
    """Hold crashes, and what was found out from them."""

    crashes: tuple[PartCrash, ...] = ()
    quarantines: tuple[PartQuarantine, ...] = ()
    clearances: tuple[PartClearance, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether there is neither a crash nor a quarantine."""
        return not self.crashes and not self.quarantines

    def list_crashes(self, part: PartId) -> list[PartCrash]:
        """Return the crashes that a part may have caused, the oldest first."""
        return [crash for crash in self.crashes if part in crash.suspects]


_get_time = attrgetter("at_s")


def is_same_crash(crash: PartCrash, other: PartCrash) -> bool:
    """Return whether two reports are of one crash."""
    return crash.target == other.target and abs(crash.at_s - other.at_s) < _SAME_CRASH_S


def add_crash(evidence: PartEvidence, crash: PartCrash) -> PartEvidence:
    """Add a crash, or what another report tells of a known one."""
    others = [c for c in evidence.crashes if not is_same_crash(c, crash)]
    for known in evidence.crashes:
        if is_same_crash(known, crash):
            crash = replace(
                known,
                at_s=min(known.at_s, crash.at_s),
                suspects={**crash.suspects, **known.suspects},
                isolated=known.isolated | crash.isolated,
            )
    crashes = sorted([*others, crash], key=_get_time)[-_MAX_CRASHES:]
    return _settle(replace(evidence, crashes=tuple(crashes)))


def add_quarantine(evidence: PartEvidence, quarantine: PartQuarantine) -> PartEvidence:
    """Add a quarantine; of those with the same parts the newest is kept, else the narrowest."""
    kept = [q for q in evidence.quarantines if not quarantine.parts <= q.parts]
    rivals = [q for q in evidence.quarantines if q.parts <= quarantine.parts]
    chosen = max([*rivals, quarantine], key=lambda q: (-len(q.parts), q.at_s))
    quarantines = sorted({*kept, chosen}, key=_get_time)[-_MAX_QUARANTINES:]
    return _settle(replace(evidence, quarantines=tuple(quarantines)))


def add_clearance(evidence: PartEvidence, clearance: PartClearance) -> PartEvidence:
    """Clear a part of the crashes and the quarantines before a time."""
    others = [c for c in evidence.clearances if c.part != clearance.part]
    known = [c for c in evidence.clearances if c.part == clearance.part]
    newest = max([*known, clearance], key=_get_time)
    clearances = sorted([*others, newest], key=_get_time)[-_MAX_CLEARANCES:]
    return _settle(replace(evidence, clearances=tuple(clearances)))


def merge_evidence(known: PartEvidence, news: PartEvidence) -> PartEvidence:
    """Join the evidence of two processes."""
    for clearance in news.clearances:
        known = add_clearance(known, clearance)
    for quarantine in news.quarantines:
        known = add_quarantine(known, quarantine)
    for crash in news.crashes:
        known = add_crash(known, crash)
    return known


def clear_part(evidence: PartEvidence, part: PartId, at_s: float) -> PartEvidence:
    """Clear a part of earlier crashes and quarantines, without keeping the clearance."""
    crashes = [
        replace(c, suspects=_drop(c.suspects, {part})) if c.at_s < at_s else c
        for c in evidence.crashes
    ]
    quarantines = [
        replace(q, parts=q.parts - {part}) if q.at_s < at_s else q for q in evidence.quarantines
    ]
    return replace(
        evidence,
        crashes=tuple(c for c in crashes if c.suspects),
        quarantines=tuple(q for q in quarantines if q.parts),
    )


def keep_suspects(evidence: PartEvidence, parts: Collection[PartId]) -> PartEvidence:
    """Keep only the given suspects, and the crashes that have one of them."""
    crashes = [
        replace(crash, suspects=_drop(crash.suspects, crash.suspects.keys() - parts))
        for crash in evidence.crashes
    ]
    return replace(evidence, crashes=tuple(crash for crash in crashes if crash.suspects))


def expire_crashes(evidence: PartEvidence, before_s: float) -> PartEvidence:
    """Drop the crashes before a time."""
    return replace(evidence, crashes=tuple(c for c in evidence.crashes if c.at_s >= before_s))


def shift_times(evidence: PartEvidence, offset_s: float, latest_s: float) -> PartEvidence:
    """Convert all times to another clock; times after `latest_s` become that time."""

    def shift(at_s: float) -> float:
        return min(at_s + offset_s, latest_s)

    return PartEvidence(
        tuple(replace(c, at_s=shift(c.at_s)) for c in evidence.crashes),
        tuple(
            replace(q, at_s=shift(q.at_s), until_s=q.until_s + offset_s)
            for q in evidence.quarantines
        ),
        tuple(replace(c, at_s=shift(c.at_s)) for c in evidence.clearances),
    )


def _settle(evidence: PartEvidence) -> PartEvidence:
    """Apply the clearances, and drop the other suspects of crashes that a quarantine explains."""
    for clearance in evidence.clearances:
        evidence = clear_part(evidence, clearance.part, clearance.at_s)
    crashes = [_attribute(crash, evidence.quarantines) for crash in evidence.crashes]
    return replace(evidence, crashes=tuple(crashes))


def _attribute(crash: PartCrash, quarantines: Iterable[PartQuarantine]) -> PartCrash:
    for quarantine in quarantines:
        if quarantine.parts <= crash.suspects.keys():
            others = crash.suspects.keys() - quarantine.parts
            return replace(crash, suspects=_drop(crash.suspects, others)) if others else crash
    return crash


def _drop(suspects: dict[PartId, str], parts: Iterable[PartId]) -> dict[PartId, str]:
    return {part: fingerprint for part, fingerprint in suspects.items() if part not in parts}
