"""Find requests that end the targets which run them, and keep them from more targets.

A request is known by its fingerprint, whoever sends it and however often. A target's end
speaks against all that ran there, the sound ones too. So it counts only against those that
had no other end at the time, the second one makes a request run apart from others under
suspicion, and a single answer clears it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from operator import attrgetter
from typing import TYPE_CHECKING

from troutstand.generated.messages import CrashHistory, TargetCrash

if TYPE_CHECKING:
    from collections.abc import Iterable

# After so many ends of targets a request runs apart from others under suspicion, and after
# so many it is refused. With one less, sound requests that shared a target with the same
# other one twice would be refused; each more costs another target.
_TRIAL_ENDS = 2
_QUARANTINE_ENDS = 3
# When to come back while another request like it is on trial, in seconds.
_TRIAL_RETRY_S = 1.0
# How long a request is refused at first, in seconds, twice as long after each further end;
# and how long a suspicion without any further end is kept (chosen: a repair of the targets'
# software takes minutes at least, and a caller that is wronged is let in again).
_QUARANTINE_S = 600.0
# An answer that broke off and an address that refuses connections belong together for so
# long, in seconds: targets are back some seconds after they ended.
_TOGETHER_S = 2.0
# Ends of one target that are told this close to each other are one, in seconds.
_SAME_END_S = 1.0
# Requests alike that may run or wait while they are on trial; one runs at a time. More would
# fill the queue before sound ones (chosen, not measured).
MAX_ISOLATED = 3
# The newest ends kept of a request.
_MAX_ENDS = 8
_MAX_HISTORIES = 2000
# The histories that are told to others; only those that bind a decision are.
_MAX_TOLD = 64
_MAX_RECENT = 256
_VERSION_BYTES = 8


_get_time = attrgetter("at_s")


class Suspicion(Enum):
    """Say how far a request is held to end targets."""

    NONE = "none"
    SUSPECTED = "suspected"
    ISOLATED = "on_trial"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class SuspicionChange:
    """Tell, for the log, that a request is blamed more than before, or no longer."""

    fingerprint: str
    target: str
    crash_count: int
    suspicion: Suspicion


@dataclass(frozen=True)
class Quarantine:
    """Say why a request is refused, and for how long, in seconds."""

    wait_s: float
    reason: str
    history: CrashHistory


@dataclass
class _End:
    """Hold one target's end, and since when the request had run; times in seconds."""

    target: str
    at_s: float
    started_s: float


@dataclass
class _Broken:
    """Hold an answer that broke off at a target of which no more is known yet."""

    fingerprint: str
    started_s: float
    at_s: float


@dataclass
class _Recent:
    """Hold what was lately told of one target."""

    told_s: float
    gone_s: float = float("-inf")
    broken: list[_Broken] = field(default_factory=list)


class CrashTracker:
    """Hold which requests ran at targets as those ended, by fingerprint."""

    def __init__(self) -> None:
        self._ends: OrderedDict[str, list[_End]] = OrderedDict()
        self._recent: dict[str, _Recent] = {}
        self._changes: list[SuspicionChange] = []
        self._version: str | None = ""

    # What is known

    def get_suspicion(self, fingerprint: str, now_s: float) -> Suspicion:
        """Return how far a request is blamed."""
        ends = self._ends.get(fingerprint)
        if ends is None:
            return Suspicion.NONE
        if len(ends) >= _QUARANTINE_ENDS:
            is_bound = now_s < _find_release(ends)
            return Suspicion.QUARANTINED if is_bound else Suspicion.ISOLATED
        if now_s - ends[-1].at_s > _QUARANTINE_S:
            self._forget(fingerprint)
            return Suspicion.NONE
        return Suspicion.ISOLATED if len(ends) >= _TRIAL_ENDS else Suspicion.SUSPECTED

    def is_suspected(self, fingerprint: str) -> bool:
        """Tell whether a target ended under a request, with no answer to it since."""
        return fingerprint in self._ends

    def may_run_isolated(self, running: Iterable[str]) -> bool:
        """Tell whether a request on trial may run beside others, so that an end tells of it."""
        return not any(fingerprint in self._ends for fingerprint in running)

    def describe_quarantine(self, fingerprint: str, now_s: float) -> Quarantine:
        """Return why a request is refused that is quarantined, or has others like it on trial."""
        ends = self._ends[fingerprint]
        wait_s = max(_TRIAL_RETRY_S, _find_release(ends) - now_s)
        reason = f"fingerprint={fingerprint} targets_ended={len(ends)}"
        return Quarantine(wait_s, reason, _describe(fingerprint, ends, now_s))

    def drain_changes(self) -> list[SuspicionChange]:
        """Return the changes since the last call."""
        taken, self._changes = self._changes, []
        return taken

    # What happens

    def record_broken(self, fingerprint: str, target: str, run_s: float, now_s: float) -> None:
        """Learn that a target's answer broke off after the request had run for so long."""
        broken = _Broken(fingerprint, now_s - max(0.0, run_s), now_s)
        recent = self._find_recent(target, now_s)
        if now_s - recent.gone_s <= _TOGETHER_S:
            self._count(broken, target)
        else:
            recent.broken.append(broken)

    def record_target_gone(self, target: str, now_s: float) -> None:
        """Learn that a target's address refuses connections."""
        recent = self._find_recent(target, now_s)
        recent.gone_s = now_s
        for broken in recent.broken:
            self._count(broken, target)
        recent.broken.clear()

    def record_answer(self, fingerprint: str) -> None:
        """Clear a request to which a target gave an answer of its own."""
        ends = self._ends.get(fingerprint)
        if ends is None:
            return
        if len(ends) >= _TRIAL_ENDS:
            self._changes.append(SuspicionChange(fingerprint, "", len(ends), Suspicion.NONE))
        self._forget(fingerprint)

    def _find_recent(self, target: str, now_s: float) -> _Recent:
        if len(self._recent) > _MAX_RECENT:
            kept = {t: r for t, r in self._recent.items() if now_s - r.told_s <= _TOGETHER_S}
            self._recent = kept
        recent = self._recent.setdefault(target, _Recent(now_s))
        recent.told_s = now_s
        recent.broken = [b for b in recent.broken if now_s - b.at_s <= _TOGETHER_S]
        return recent

    def _count(self, broken: _Broken, target: str) -> None:
        ends = self._ends.setdefault(broken.fingerprint, [])
        end = _End(target, broken.at_s, broken.started_s)
        if any(_overlaps(end, other) for other in ends):
            # Both runs were under way at once, as where many targets end at once under a
            # body that many callers ask for: it tells nothing that the other did not.
            return
        # An end may be told after later ones, once its address refuses connections.
        ends.append(end)
        ends.sort(key=_get_time)
        del ends[:-_MAX_ENDS]
        self._ends.move_to_end(broken.fingerprint)
        self._bound_size()
        self._version = None
        blame = self.get_suspicion(broken.fingerprint, broken.at_s)
        self._changes.append(SuspicionChange(broken.fingerprint, target, len(ends), blame))

    def _bound_size(self) -> None:
        if len(self._ends) <= _MAX_HISTORIES:
            return
        # Those that bind no decision go first, the oldest of them before the others.
        oldest = next((f for f, ends in self._ends.items() if len(ends) < _TRIAL_ENDS), None)
        self._forget(oldest if oldest is not None else next(iter(self._ends)))

    def _forget(self, fingerprint: str) -> None:
        del self._ends[fingerprint]
        self._version = None

    # Between deciders

    @property
    def version(self) -> str:
        """Name what others are told: the same wherever the same is known."""
        if self._version is None:
            self._version = _name_version(self._list_told())
        return self._version

    def _list_told(self) -> list[tuple[str, list[_End]]]:
        told = [(f, ends) for f, ends in self._ends.items() if len(ends) >= _TRIAL_ENDS]
        return told[-_MAX_TOLD:]

    def list_histories(self, now_s: float) -> list[CrashHistory]:
        """Return what others must know."""
        return [_describe(f, ends, now_s) for f, ends in self._list_told()]

    def merge(self, histories: Iterable[CrashHistory], now_s: float) -> None:
        """Add what another process knows."""
        for history in histories:
            if not history.crashes:
                continue
            known = self._ends.setdefault(history.fingerprint, [])
            for crash in history.crashes:
                at_s = now_s - crash.age_s
                end = _End(crash.target, at_s, started_s=at_s)
                if not any(_is_same(end, other) for other in known):
                    known.append(end)
            known.sort(key=_get_time)
            del known[:-_MAX_ENDS]
            self._bound_size()
            self._version = None

    def replace(self, histories: Iterable[CrashHistory], now_s: float) -> None:
        """Know what the decider knows, and nothing else."""
        self._ends.clear()
        self._version = None
        self.merge(histories, now_s)


def _find_release(ends: list[_End]) -> float:
    """Return until when a request is refused; with too few ends that is past."""
    if len(ends) < _QUARANTINE_ENDS:
        return ends[-1].at_s
    return ends[-1].at_s + _QUARANTINE_S * 2.0 ** (len(ends) - _QUARANTINE_ENDS)


def _describe(fingerprint: str, ends: list[_End], now_s: float) -> CrashHistory:
    crashes = [TargetCrash(end.target, now_s - end.at_s) for end in ends]
    return CrashHistory(fingerprint, crashes)


def _overlaps(end: _End, other: _End) -> bool:
    return end.started_s <= other.at_s and other.started_s <= end.at_s


def _is_same(end: _End, other: _End) -> bool:
    return end.target == other.target and abs(end.at_s - other.at_s) < _SAME_END_S


def _name_version(told: list[tuple[str, list[_End]]]) -> str:
    if not told:
        return ""
    digest = blake2b(digest_size=_VERSION_BYTES)
    for fingerprint, ends in sorted(told, key=lambda entry: entry[0]):
        digest.update(f"{fingerprint}:{len(ends)};".encode())
    return digest.hexdigest()
