"""Detect requests that crash targets, and quarantine them.

Requests are identified by fingerprint. A crash counts against all requests that ran at the
target, so suspicion rises in steps: repeated crashes isolate a request from other suspects,
then quarantine it, and a single answer clears it. Parts of prompts are tracked likewise,
for requests that differ in everything else.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from operator import attrgetter
from typing import TYPE_CHECKING

from troutstand.core.crashes.partcrashes import PartTracker
from troutstand.generated.messages import CrashHistory, TargetCrash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from troutstand.core.crashes.partevidence import PartQuarantine
    from troutstand.core.ids import PartId

# Crashes after which a request runs isolated from other suspects, and after which it is
# refused. A lower quarantine threshold would refuse healthy requests that twice shared a
# target with a crashing one.
_ISOLATION_CRASH_COUNT = 2
_QUARANTINE_CRASH_COUNT = 3
# Retry-After while another request with the same fingerprint runs isolated.
_ISOLATION_RETRY_S = 1.0
# Initial quarantine, doubled with each further crash; also the lifetime of a suspicion. A
# repair of the targets' software takes minutes; the end lets a wrongly refused caller in again.
_QUARANTINE_S = 600.0
# A broken answer and a refused connection within this time are one crash. Shorter than the
# restart of a target.
_CRASH_WINDOW_S = 2.0
# Reports of one target's crash by several processes differ by less than this.
_SAME_CRASH_S = 1.0
# Isolated requests with one fingerprint that may run or wait; one runs at a time. A limit
# keeps them from filling the queue.
MAX_ISOLATED = 3
# Newest crashes kept per fingerprint.
_MAX_CRASHES = 8
_MAX_HISTORIES = 2000
# Histories shared with other processes.
_MAX_SHARED = 64
_MAX_RECENT_TARGETS = 256
_VERSION_BYTES = 8
# Length limit of a reason in a message.
_MAX_REASON = 256


_get_time = attrgetter("at_s")


class Suspicion(Enum):
    """Say how strongly a request is suspected of crashing targets."""

    NONE = "none"
    SUSPECTED = "suspected"
    ISOLATED = "on_trial"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class SuspicionChange:
    """Report for the log that the suspicion of a request rose or was cleared."""

    fingerprint: str
    target: str
    crash_count: int
    suspicion: Suspicion


@dataclass(frozen=True)
class Quarantine:
    """Say why a request is refused, and for how many seconds."""

    wait_s: float
    reason: str
    # Missing where a part of the prompt is the cause.
    history: CrashHistory | None


@dataclass
class _Crash:
    """Hold one crash of a target while a request ran; times in seconds.

    Parameters
    ----------
    at_s
        When the broken answer was reported.
    started_s, ended_s
        When the request ran; its end may have been reported later.
    """

    target: str
    at_s: float
    started_s: float
    ended_s: float
    # Shared parts of the request; empty if they are not known here.
    parts: frozenset[PartId] = frozenset()


@dataclass
class _BrokenAnswer:
    """Hold an answer that broke off at a target not yet known to have crashed.

    Parameters
    ----------
    parts
        The parts of the request that may have crashed the target.
    is_isolated
        Whether nothing else that ran there can have done so.
    """

    fingerprint: str
    started_s: float
    ended_s: float
    at_s: float
    parts: Sequence[PartId] = ()
    is_isolated: bool = False


@dataclass
class _RecentFailures:
    """Hold the recent failures of one target."""

    updated_s: float
    gone_s: float = float("-inf")
    broken: list[_BrokenAnswer] = field(default_factory=list)


class CrashTracker:
    """Track target crashes by the fingerprints and parts of the requests that ran there."""

    def __init__(self) -> None:
        self.parts = PartTracker()
        self._crashes: OrderedDict[str, list[_Crash]] = OrderedDict()
        self._recent: dict[str, _RecentFailures] = {}
        self._changes: list[SuspicionChange] = []
        self._version: str | None = ""

    # Queries

    def get_suspicion(self, fingerprint: str, now_s: float) -> Suspicion:
        """Return the suspicion level of a request."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return Suspicion.NONE
        if len(crashes) >= _QUARANTINE_CRASH_COUNT:
            is_quarantined = now_s < _get_quarantine_end_s(crashes)
            return Suspicion.QUARANTINED if is_quarantined else Suspicion.ISOLATED
        if now_s - crashes[-1].at_s > _QUARANTINE_S:
            self._forget(fingerprint)
            return Suspicion.NONE
        return Suspicion.ISOLATED if len(crashes) >= _ISOLATION_CRASH_COUNT else Suspicion.SUSPECTED

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a target crashed while running a request, with no answer since."""
        return fingerprint in self._crashes

    def may_run_isolated(self, running: Iterable[str]) -> bool:
        """Return whether an isolated request may run beside others, none of which is suspected."""
        return not any(fingerprint in self._crashes for fingerprint in running)

    def describe_quarantine(self, fingerprint: str, now_s: float) -> Quarantine:
        """Describe why a quarantined request, or one too many isolated ones, is refused."""
        crashes = self._crashes[fingerprint]
        wait_s = max(_ISOLATION_RETRY_S, _get_quarantine_end_s(crashes) - now_s)
        reason = f"fingerprint={fingerprint} targets_ended={len(crashes)}"
        return Quarantine(wait_s, reason, _describe(fingerprint, crashes, now_s))

    def describe_part_quarantine(self, quarantine: PartQuarantine, now_s: float) -> Quarantine:
        """Describe why a request with quarantined parts is refused."""
        wait_s = max(_ISOLATION_RETRY_S, quarantine.until_s - now_s)
        parts = "+".join(sorted(quarantine.parts))
        reason = f"parts={parts} targets_crashed={quarantine.crash_count}"
        return Quarantine(wait_s, reason[:_MAX_REASON], None)

    def describe_suspects(self, suspects: Iterable[PartId]) -> Quarantine:
        """Describe why one too many requests with suspected parts is refused."""
        reason = f"suspected_parts={'+'.join(sorted(suspects))}"
        return Quarantine(_ISOLATION_RETRY_S, reason[:_MAX_REASON], None)

    def drain_changes(self) -> list[SuspicionChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # Events

    def record_broken(
        self,
        fingerprint: str,
        target: str,
        started_s: float,
        run_s: float,
        now_s: float,
        parts: Sequence[PartId] = (),
        is_isolated: bool = False,
    ) -> None:
        """Record that a target's answer broke off after the request had run for `run_s`.

        The report may arrive long after that.

        Parameters
        ----------
        parts
            The parts of the request that may have crashed the target.
        is_isolated
            Whether nothing else that ran there can have done so.
        """
        ended_s = min(now_s, started_s + run_s) if run_s >= 0.0 else now_s
        broken = _BrokenAnswer(fingerprint, started_s, ended_s, now_s, parts, is_isolated)
        recent = self._get_recent(target, now_s)
        if now_s - recent.gone_s <= _CRASH_WINDOW_S:
            self._add_crash(broken, target)
        else:
            recent.broken.append(broken)

    def record_target_gone(self, target: str, now_s: float) -> None:
        """Record that a target's address refuses connections."""
        recent = self._get_recent(target, now_s)
        recent.gone_s = now_s
        for broken in recent.broken:
            self._add_crash(broken, target)
        recent.broken.clear()

    def record_answer(self, fingerprint: str) -> None:
        """Clear the suspicion of a request that a target answered."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return
        if len(crashes) >= _ISOLATION_CRASH_COUNT:
            self._changes.append(SuspicionChange(fingerprint, "", len(crashes), Suspicion.NONE))
        self._forget(fingerprint)

    def _get_recent(self, target: str, now_s: float) -> _RecentFailures:
        if len(self._recent) > _MAX_RECENT_TARGETS:
            active = {
                t: r for t, r in self._recent.items() if now_s - r.updated_s <= _CRASH_WINDOW_S
            }
            self._recent = active
        recent = self._recent.setdefault(target, _RecentFailures(now_s))
        recent.updated_s = now_s
        recent.broken = [b for b in recent.broken if now_s - b.at_s <= _CRASH_WINDOW_S]
        return recent

    def _add_crash(self, broken: _BrokenAnswer, target: str) -> None:
        self._count_crash(broken, target)
        quarantines = self.parts.evidence.quarantines
        self.parts.record_crash(
            target, broken.parts, broken.fingerprint, broken.ended_s, broken.is_isolated
        )
        if self.parts.evidence.quarantines != quarantines:
            self.drop_explained()

    def drop_explained(self) -> None:
        """Drop the crashes that quarantined parts of other requests caused."""
        for fingerprint, crashes in list(self._crashes.items()):
            kept = [crash for crash in crashes if not self._has_other_cause(crash)]
            if len(kept) == len(crashes):
                continue
            self._crashes[fingerprint] = kept
            if not kept:
                self._forget(fingerprint)
            if len(kept) < _ISOLATION_CRASH_COUNT <= len(crashes):
                self._changes.append(SuspicionChange(fingerprint, "", len(kept), Suspicion.NONE))
            self._version = None

    def _has_other_cause(self, crash: _Crash) -> bool:
        cause = self.parts.find_cause(crash.target, crash.at_s)
        return cause is not None and not cause.parts <= crash.parts

    def _count_crash(self, broken: _BrokenAnswer, target: str) -> None:
        crashes = self._crashes.setdefault(broken.fingerprint, [])
        crash = _Crash(
            target, broken.at_s, broken.started_s, broken.ended_s, frozenset(broken.parts)
        )
        if any(_overlaps(crash, other) or _is_one_crash(crash, other) for other in crashes):
            # The runs overlapped or ended by the same crash, so this is no further evidence.
            return
        # Crashes may be reported out of order.
        crashes.append(crash)
        crashes.sort(key=_get_time)
        del crashes[:-_MAX_CRASHES]
        self._crashes.move_to_end(broken.fingerprint)
        self._evict_excess()
        self._version = None
        suspicion = self.get_suspicion(broken.fingerprint, broken.at_s)
        self._changes.append(SuspicionChange(broken.fingerprint, target, len(crashes), suspicion))

    def _evict_excess(self) -> None:
        if len(self._crashes) <= _MAX_HISTORIES:
            return
        # Evicts the oldest history that affects no decision, if there is one.
        oldest = next(
            (f for f, crashes in self._crashes.items() if len(crashes) < _ISOLATION_CRASH_COUNT),
            None,
        )
        self._forget(oldest if oldest is not None else next(iter(self._crashes)))

    def _forget(self, fingerprint: str) -> None:
        del self._crashes[fingerprint]
        self._version = None

    # Exchange between processes

    @property
    def version(self) -> str:
        """Return a digest of the shared histories, equal in processes with equal histories."""
        if self._version is None:
            self._version = _compute_version(self._list_shared())
        return self._version

    def _list_shared(self) -> list[tuple[str, list[_Crash]]]:
        shared = [
            (f, crashes)
            for f, crashes in self._crashes.items()
            if len(crashes) >= _ISOLATION_CRASH_COUNT
        ]
        return shared[-_MAX_SHARED:]

    def list_histories(self, now_s: float) -> list[CrashHistory]:
        """Return the histories that other processes need."""
        return [_describe(f, crashes, now_s) for f, crashes in self._list_shared()]

    def merge(self, histories: Iterable[CrashHistory], now_s: float) -> None:
        """Merge the histories of another process."""
        for history in histories:
            if not history.crashes:
                continue
            crashes = self._crashes.setdefault(history.fingerprint, [])
            for reported in history.crashes:
                at_s = now_s - reported.age_s
                crash = _Crash(reported.target, at_s, started_s=at_s, ended_s=at_s)
                if not any(_is_same_crash(crash, other) for other in crashes):
                    crashes.append(crash)
            crashes.sort(key=_get_time)
            del crashes[:-_MAX_CRASHES]
            self._evict_excess()
            self._version = None

    def replace(self, histories: Iterable[CrashHistory], now_s: float) -> None:
        """Replace all histories by those of the scheduler."""
        self._crashes.clear()
        self._version = None
        self.merge(histories, now_s)


def _get_quarantine_end_s(crashes: list[_Crash]) -> float:
    """Return the end of the quarantine; with too few crashes it is in the past."""
    if len(crashes) < _QUARANTINE_CRASH_COUNT:
        return crashes[-1].at_s
    return crashes[-1].at_s + _QUARANTINE_S * 2.0 ** (len(crashes) - _QUARANTINE_CRASH_COUNT)


def _describe(fingerprint: str, crashes: list[_Crash], now_s: float) -> CrashHistory:
    target_crashes = [TargetCrash(crash.target, now_s - crash.at_s) for crash in crashes]
    return CrashHistory(fingerprint, target_crashes)


def _overlaps(crash: _Crash, other: _Crash) -> bool:
    return crash.started_s <= other.ended_s and other.started_s <= crash.ended_s


def _is_one_crash(crash: _Crash, other: _Crash) -> bool:
    """Return whether answers broke off too closely at a target for two crashes."""
    return crash.target == other.target and abs(crash.at_s - other.at_s) <= _CRASH_WINDOW_S


def _is_same_crash(crash: _Crash, other: _Crash) -> bool:
    return crash.target == other.target and abs(crash.at_s - other.at_s) < _SAME_CRASH_S


def _compute_version(shared: list[tuple[str, list[_Crash]]]) -> str:
    if not shared:
        return ""
    digest = blake2b(digest_size=_VERSION_BYTES)
    for fingerprint, crashes in sorted(shared, key=lambda entry: entry[0]):
        digest.update(f"{fingerprint}:{len(crashes)};".encode())
    return digest.hexdigest()
