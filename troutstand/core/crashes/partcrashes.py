"""Find shared parts of prompts that crash targets, from the crashes and answers of requests.

Every crash is evidence against the shared parts of the requests that ran there. An answer that
begins after a crash clears the parts of its request of that crash. Requests with suspected parts
run isolated; a crash of such a run leads to a quarantine of the parts that remain. A request is
refused if it has all parts of a quarantine, so that parts that were never told apart are refused
together only.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.crashes.partevidence import (
    PartClearance,
    PartCrash,
    PartEvidence,
    PartQuarantine,
    add_clearance,
    add_crash,
    add_quarantine,
    clear_part,
    expire_crashes,
    is_same_crash,
    keep_suspects,
    merge_evidence,
)
from troutstand.core.ids import PartId

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

# Crashes after which requests with a part run isolated, and after which they are refused.
_ISOLATION_CRASH_COUNT = 2
_QUARANTINE_CRASH_COUNT = 3
# One request may crash targets by itself, so its parts are refused only if another one did too.
_MIN_FINGERPRINTS = 2
# Isolated crashes that a quarantine takes, for a part that was never answered and for others.
_MIN_ISOLATED = 1
_MIN_ISOLATED_IF_ANSWERED = 3
# Further ones for each time that answers cleared the part: targets seem to crash by themselves.
_MIN_ISOLATED_PER_CLEARANCE = 2
# Answers after which a part without any is known to be rare; before, a process has just started.
_MIN_ANSWERS_IN_ALL = 50
# Time in which answers may clear such a part before requests with it run isolated.
_CLEARING_S = 0.3
# Crashes without an answer after which such a part is handled as one that was never answered.
_RISKY_CRASH_COUNT = 4
# A response that has gone on for this long after its first byte did not crash its target.
SETTLED_S = 0.3
# An isolated run keeps other requests away for this long at most.
MAX_EXCLUSIVE_S = 0.5
# Longer than the time between two requests with a rarely used part.
_CRASH_TTL_S = 120.0
# Initial quarantine, and its growth with each further crash. A repair takes minutes; the end
# lets wrongly refused callers in again, soon if the parts were answered before.
_QUARANTINE_S = 60.0
_QUARANTINE_FACTOR = 4.0
_QUARANTINE_IF_ANSWERED_S = 5.0
_QUARANTINE_FACTOR_IF_ANSWERED = 2.0
_MAX_QUARANTINE_S = 960.0
_MAX_ANSWERED_PARTS = 4096


class PartVerdict(Enum):
    """Name what was found out about parts."""

    SUSPECTED = "part_suspected"
    QUARANTINED = "part_quarantined"
    CLEARED = "part_cleared"


@dataclass(frozen=True)
class PartChange:
    """Report for the log what was found out about parts, and from how many crashes."""

    verdict: PartVerdict
    parts: tuple[PartId, ...]
    crash_count: int
    target: str = ""


@dataclass
class _Answers:
    """Hold the answers to requests with a part.

    Parameters
    ----------
    begun_s
        When the newest one began.
    clearance_count
        How often answers cleared the part after several crashes.
    """

    begun_s: float = float("-inf")
    clearance_count: int = 0


def make_part_ids(service: str, parts: Iterable[str]) -> list[PartId]:
    """Return the ids of prompt parts that the targets of a service read."""
    return [PartId(f"{service}/{part}") for part in parts]


class PartTracker:
    """Track the evidence of one process on the parts of prompts; times are on its steady clock."""

    def __init__(self) -> None:
        # Changes whenever another request may be placed or refused.
        self.revision = 0
        self._evidence = PartEvidence()
        # Parts under which several targets crashed, with these crashes.
        self._repeated: dict[PartId, list[PartCrash]] = {}
        # All parts in the evidence.
        self._involved: set[PartId] = set()
        self._answers: OrderedDict[PartId, _Answers] = OrderedDict()
        self._answer_count = 0
        self._changes: list[PartChange] = []
        self._has_news = False

    # Queries

    @property
    def is_idle(self) -> bool:
        """Return whether no part is suspected at all."""
        return self._evidence.is_empty

    @property
    def has_repeated(self) -> bool:
        """Return whether several targets crashed under a part that was not answered since."""
        return bool(self._repeated)

    def find_quarantine(self, parts: Iterable[PartId], now_s: float) -> PartQuarantine | None:
        """Return the quarantine for which a prompt with these parts is refused, if any."""
        names = frozenset(parts)
        return next(
            (q for q in self._evidence.quarantines if now_s < q.until_s and q.parts <= names), None
        )

    def list_suspects(self, parts: Iterable[PartId], now_s: float) -> frozenset[PartId]:
        """Return the parts of a prompt for which it must run isolated."""
        if self.is_idle:
            return frozenset()
        return frozenset(
            part for part in parts if part in self._involved and self._is_suspect(part, now_s)
        )

    def _is_suspect(self, part: PartId, now_s: float) -> bool:
        if any(part in quarantine.parts for quarantine in self._evidence.quarantines):
            return True
        crashes = self._repeated.get(part)
        if crashes is None:
            return False
        return not self._was_answered(part) or now_s - crashes[0].at_s > _CLEARING_S

    @property
    def has_history(self) -> bool:
        """Return whether enough was answered for a part without answers to be unusual."""
        return self._answer_count >= _MIN_ANSWERS_IN_ALL

    def list_unanswered(self, suspects: Iterable[PartId]) -> frozenset[PartId]:
        """Return the suspects that were never answered; none before there is a history."""
        if not self.has_history:
            return frozenset()
        return frozenset(part for part in suspects if not self._was_answered(part))

    def list_risky(self, suspects: Iterable[PartId]) -> frozenset[PartId]:
        """Return the suspects whose next run will probably crash its target."""
        return frozenset(part for part in suspects if self._is_risky(part))

    def _is_risky(self, part: PartId) -> bool:
        crash_count = len(self._repeated.get(part, []))
        return not self._was_answered(part) or crash_count >= _RISKY_CRASH_COUNT

    def _was_answered(self, part: PartId) -> bool:
        """Return whether a part was answered, so that it is sound in all likelihood."""
        return part in self._answers

    def find_cause(self, target: str, at_s: float) -> PartQuarantine | None:
        """Return the quarantine whose parts caused a crash, if any."""
        if not self._evidence.quarantines:
            return None
        crash = PartCrash(target, at_s, {})
        known = next((c for c in self._evidence.crashes if is_same_crash(c, crash)), None)
        if known is None:
            return None
        quarantines = self._evidence.quarantines
        return next((q for q in quarantines if q.parts <= known.suspects.keys()), None)

    def drain_changes(self) -> list[PartChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # Events

    def record_crash(
        self,
        target: str,
        parts: Sequence[PartId],
        fingerprint: str,
        at_s: float,
        is_isolated: bool = False,
    ) -> None:
        """Record that a target crashed while it ran a request with these parts."""
        suspects = {part: fingerprint for part in parts if not self._is_cleared(part, at_s)}
        if not suspects:
            return
        isolated = frozenset(parts) if is_isolated else frozenset()
        crash = PartCrash(target, at_s, suspects, isolated)
        is_new = not any(is_same_crash(crash, known) for known in self._evidence.crashes)
        self.expire(at_s)
        quarantines = self._evidence.quarantines
        repeated = self._repeated.keys()
        self._update(add_crash(self._evidence, crash))
        self._has_news = True
        known = next((q for q in quarantines if q.parts <= suspects.keys()), None)
        if known is not None:
            if is_new:
                self._quarantine(known.parts, known.crash_count + 1, crash)
            return
        new = (self._repeated.keys() - repeated) & suspects.keys()
        if new:
            self._log(PartVerdict.SUSPECTED, new, _ISOLATION_CRASH_COUNT, target)
        if is_isolated:
            self._evaluate(suspects, crash)

    def _is_cleared(self, part: PartId, at_s: float) -> bool:
        answers = self._answers.get(part)
        return answers is not None and answers.begun_s > at_s

    def _update(self, evidence: PartEvidence) -> None:
        if evidence == self._evidence:
            return
        self._evidence = evidence
        parts = {part for crash in evidence.crashes for part in crash.suspects}
        self._involved = parts.union(*(q.parts for q in evidence.quarantines))
        crashes = {part: evidence.list_crashes(part) for part in parts}
        self._repeated = {p: c for p, c in crashes.items() if len(c) >= _ISOLATION_CRASH_COUNT}
        self.revision += 1

    def _evaluate(self, parts: Iterable[PartId], crash: PartCrash) -> None:
        """Quarantine the parts of an isolated request that have crashed enough targets."""
        causes = frozenset(part for part in parts if self._must_quarantine(part))
        if causes:
            crash_count = min(len(self._evidence.list_crashes(part)) for part in causes)
            self._quarantine(causes, crash_count, crash)

    def _must_quarantine(self, part: PartId) -> bool:
        crashes = self._evidence.list_crashes(part)
        isolated_count = sum(part in crash.isolated for crash in crashes)
        return (
            len(crashes) >= _QUARANTINE_CRASH_COUNT
            and len({crash.suspects[part] for crash in crashes}) >= _MIN_FINGERPRINTS
            and isolated_count >= self._count_needed(part)
        )

    def _count_needed(self, part: PartId) -> int:
        """Return the number of isolated crashes that a quarantine of a part takes."""
        if self.has_history and not self._was_answered(part):
            return _MIN_ISOLATED
        answers = self._answers.get(part)
        clearance_count = answers.clearance_count if answers is not None else 0
        return _MIN_ISOLATED_IF_ANSWERED + _MIN_ISOLATED_PER_CLEARANCE * clearance_count

    def _quarantine(self, parts: frozenset[PartId], crash_count: int, crash: PartCrash) -> None:
        length_s = self._compute_quarantine_s(parts, crash_count)
        quarantine = PartQuarantine(parts, crash_count, crash.at_s, crash.at_s + length_s)
        self._update(add_quarantine(self._evidence, quarantine))
        self._log(PartVerdict.QUARANTINED, parts, crash_count, crash.target)

    def _compute_quarantine_s(self, parts: frozenset[PartId], crash_count: int) -> float:
        first_s, factor = _QUARANTINE_S, _QUARANTINE_FACTOR
        needed = _QUARANTINE_CRASH_COUNT
        if all(self._was_answered(part) for part in parts):
            first_s, factor = _QUARANTINE_IF_ANSWERED_S, _QUARANTINE_FACTOR_IF_ANSWERED
            needed = min(self._count_needed(part) for part in parts)
        return min(_MAX_QUARANTINE_S, first_s * factor ** max(0, crash_count - needed))

    def expire(self, now_s: float) -> None:
        """Drop old crashes; quarantines stay until an answer clears their parts."""
        crashes = self._evidence.crashes
        if crashes and now_s - crashes[0].at_s > _CRASH_TTL_S:
            self._update(expire_crashes(self._evidence, now_s - _CRASH_TTL_S))

    def record_answer(self, parts: Iterable[PartId], begun_s: float) -> None:
        """Record an answer; it clears its parts of crashes before it began."""
        self._answer_count += 1
        for part in parts:
            answers = self._answers.setdefault(part, _Answers())
            self._answers.move_to_end(part)
            answers.begun_s = max(answers.begun_s, begun_s)
            if part in self._involved:
                self._clear(part, begun_s)
        while len(self._answers) > _MAX_ANSWERED_PARTS:
            self._answers.popitem(last=False)

    def _clear(self, part: PartId, begun_s: float) -> None:
        crash_count = sum(c.at_s < begun_s for c in self._evidence.list_crashes(part))
        quarantines = self._evidence.quarantines
        was_quarantined = any(part in q.parts and q.at_s < begun_s for q in quarantines)
        if not was_quarantined and crash_count < _ISOLATION_CRASH_COUNT:
            self._update(clear_part(self._evidence, part, begun_s))
            return
        self._answers[part].clearance_count += 1
        self._update(add_clearance(self._evidence, PartClearance(part, begun_s)))
        self._log(PartVerdict.CLEARED, [part], crash_count)
        self._has_news = True

    def _log(
        self, verdict: PartVerdict, parts: Iterable[PartId], crash_count: int, target: str = ""
    ) -> None:
        self._changes.append(PartChange(verdict, tuple(sorted(parts)), crash_count, target))

    # Exchange between processes

    @property
    def evidence(self) -> PartEvidence:
        """Return all evidence."""
        return self._evidence

    def drain_news(self, includes_single: bool) -> PartEvidence | None:
        """Return what other processes should know, or None without news.

        Parameters
        ----------
        includes_single
            Whether to tell of parts under which one target crashed: a process that decides for
            a share of the site sees only a share of the crashes.
        """
        if not self._has_news:
            return None
        self._has_news = False
        news = self._evidence
        if not includes_single:
            news = keep_suspects(news, self._repeated.keys())
        return None if news.is_empty and not news.clearances else news

    def mark_unsent(self) -> None:
        """Keep the news for the next call of `drain_news`, since they were not delivered."""
        self._has_news = True

    def merge(self, evidence: PartEvidence) -> None:
        """Merge the evidence of other processes."""
        merged = merge_evidence(self._evidence, evidence)
        for part in {part for crash in evidence.crashes for part in crash.suspects}:
            answers = self._answers.get(part)
            if answers is not None:
                merged = clear_part(merged, part, answers.begun_s)
        self._update(merged)
