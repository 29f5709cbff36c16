"""Check a soak's record for broken promises.

Only what callers, operators and targets saw is looked at.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.testing.arrivals import (
    find_backoff_violations,
    find_late_sends,
    find_limit_violations,
)
from troutstand.testing.standins import make_body, make_event

if TYPE_CHECKING:
    from troutstand.testing.arrivals import Arrival, LimitNotice
    from troutstand.testing.routedcaller import CallResult
    from troutstand.testing.standins import RunRecord

REFUSALS = (408, 421, 429, 503)
_DRAIN_S = 4.0
# For so long after a freeze or a restart a process may act on what it held before, in seconds.
_SETTLED_S = 0.5
# A target names its limit for at most so long in a soak, in seconds.
_KNOWN_S = 4.0
_READ_SLACK_S = 2.5
_OK = 200
_SERVED_SHARE = 0.9
# After a version was told to be rolled back it gets nothing more within this time.
_ROLLBACK_S = 5.0
# An order ends within so long of its acknowledgement, faults and recovery included.
_ROLLOUT_S = 40.0


@dataclass(frozen=True)
class Sent:
    """Tell of one configuration sent; status 0 stands for no clear answer."""

    version: int
    content: bytes
    began_s: float
    ended_s: float
    status: int


@dataclass(frozen=True)
class Read:
    """Tell of one configuration read; no content stands for a refusal."""

    keeper: str
    began_s: float
    content: bytes | None


@dataclass(frozen=True)
class Drained:
    """Tell from when to when a target was listed as draining."""

    target: str
    from_s: float
    to_s: float


@dataclass(frozen=True)
class Disturbed:
    """Tell from when to when a process was frozen or restarted."""

    process: str
    from_s: float
    to_s: float


@dataclass(frozen=True)
class LimitBound:
    """Tell what a workspace may take in any window."""

    workspace: str
    window_s: float
    most: float


@dataclass(frozen=True)
class RolloutRead:
    """Tell which state of a rollout was read."""

    began_s: float
    state: str


@dataclass
class RolloutSeen:
    """Tell of one rollout, from its order on; times on the steady clock."""

    service: str
    version: str
    is_bad: bool
    ordered_s: float
    acknowledged_s: float = float("inf")
    ended_s: float = float("inf")
    reads: list[RolloutRead] = field(default_factory=list)
    # Requests that ran at the old targets when they were stopped.
    cut: int = 0

    @property
    def end(self) -> str:
        """Return the final state that was told, if any."""
        return self.reads[-1].state if self.reads and self.ended_s < float("inf") else ""


@dataclass
class SoakRecord:
    """Hold all that was seen in one soak; times on one steady clock."""

    calls: list[CallResult] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    drained: list[Drained] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    limit_notices: list[LimitNotice] = field(default_factory=list)
    disturbed: list[Disturbed] = field(default_factory=list)
    limits: list[LimitBound] = field(default_factory=list)
    exits: list[str] = field(default_factory=list)
    list_down: list[tuple[float, float]] = field(default_factory=list)
    rollouts: list[RolloutSeen] = field(default_factory=list)
    events_a_stream: int = 4
    calm_from_s: float = float("inf")


def is_repeatable(route: str) -> bool:
    """Tell whether a test's route may run again."""
    return route.startswith(("/get/", "/stream/resume/", "/stream/resume-once/"))


def check_record(record: SoakRecord) -> list[str]:
    """Return a line for each broken promise."""
    return [
        *_check_once(record),
        *_check_refusals(record),
        *_check_answers(record),
        *_check_draining(record),
        *_check_rests(record),
        *_check_leaving(record),
        *_check_named_limits(record),
        *_check_limits(record),
        *_check_reads(record),
        *_check_recovery(record),
        *_check_rollouts(record),
        *(f"a process ended by itself: {line}" for line in record.exits),
    ]


def _group_runs(record: SoakRecord) -> dict[str, list[RunRecord]]:
    runs: dict[str, list[RunRecord]] = defaultdict(list)
    for run in record.runs:
        runs[run.request].append(run)
    return runs


def _check_once(record: SoakRecord) -> list[str]:
    runs = _group_runs(record)
    known = {call.request for call in record.calls}
    twice = [
        f"{call.request} {call.route} ran {len(runs[call.request])} times"
        for call in record.calls
        if not is_repeatable(call.route) and len(runs.get(call.request, [])) > 1
    ]
    strangers = [f"{name} ran and nobody sent it" for name in runs if name not in known]
    return twice + strangers


def _check_refusals(record: SoakRecord) -> list[str]:
    runs = _group_runs(record)
    return [
        f"{call.request} {call.route} was refused with {call.status} and ran"
        for call in record.calls
        if call.status in REFUSALS and not is_repeatable(call.route) and call.request in runs
    ]


def _check_answers(record: SoakRecord) -> list[str]:
    wrong = [
        f"{call.request} {call.route} got what is no HTTP: {call.detail[:80]}"
        for call in record.calls
        if call.is_malformed
    ]
    for call in record.calls:
        if call.status != _OK:
            continue
        if call.route.startswith("/stream"):
            numbers = range(1, record.events_a_stream + 1)
            expected = b"".join(make_event(call.request, number) for number in numbers)
        else:
            expected = make_body(call.request, b"x")
        if call.body != expected:
            wrong.append(f"{call.request} {call.route} got another answer: {call.body[:80]!r}")
    return wrong


def _check_draining(record: SoakRecord) -> list[str]:
    return [
        f"{run.request} came to {run.target} {run.started_s - drained.from_s:.1f} s after the list"
        for drained in record.drained
        for run in record.runs
        if run.target == drained.target
        and drained.from_s + _DRAIN_S < run.started_s < drained.to_s
        and _measure_down(record, drained.from_s, run.started_s) == 0
    ]


def _was_disturbed(record: SoakRecord, process: str, from_s: float, to_s: float) -> bool:
    """Tell whether a process was frozen or restarted within a span, or just before it."""
    return any(
        disturbed.process == process
        and disturbed.from_s < to_s
        and disturbed.to_s > from_s - _SETTLED_S
        for disturbed in record.disturbed
    )


def _check_rests(record: SoakRecord) -> list[str]:
    results = {call.request: call for call in record.calls}
    return [
        f"{rest.gateway} sent {rest.arrivals} to {rest.target} in {rest.backoff_s:.1f} s of rest"
        for rest in find_backoff_violations(record.arrivals, results)
        if not _was_disturbed(record, rest.gateway, rest.started_s, rest.started_s + rest.backoff_s)
    ]


def _check_leaving(record: SoakRecord) -> list[str]:
    results = {call.request: call for call in record.calls}
    told_s = {
        (results[a.request].gateway, a.target, a.born_ms): a.at_s
        for a in reversed(record.arrivals)
        if a.is_leaving and a.request in results
    }
    broken: list[str] = []
    for late in find_late_sends(record.arrivals, results, _DRAIN_S):
        gateway = results[late.request].gateway
        since_s = told_s[gateway, late.target, late.born_ms]
        if not _was_disturbed(record, gateway, since_s, late.at_s):
            broken.append(f"{gateway} sent {late.request} to {late.target} that had said it leaves")
    return broken


def _check_named_limits(record: SoakRecord) -> list[str]:
    results = {call.request: call for call in record.calls}
    # A gateway that was frozen or restarted within the window does not count in it.
    undisturbed = [
        arrival
        for arrival in record.arrivals
        if arrival.request in results
        and not _was_disturbed(
            record, results[arrival.request].gateway, arrival.at_s - _KNOWN_S, arrival.at_s
        )
    ]
    return [
        f"{over.target} got {over.count} in a window of its limit, {over.allowed} allowed"
        for over in find_limit_violations(undisturbed, record.limit_notices, results)
    ]


def _measure_down(record: SoakRecord, from_s: float, to_s: float) -> float:
    """Return for how long of a span nobody could read the list."""
    return sum(
        max(0.0, min(end_s, to_s) - max(start_s, from_s)) for start_s, end_s in record.list_down
    )


def _check_limits(record: SoakRecord) -> list[str]:
    broken: list[str] = []
    for bound in record.limits:
        taken = sorted(
            (run.started_s, run.tokens) for run in record.runs if run.workspace == bound.workspace
        )
        start, total = 0, 0
        for at_s, tokens in taken:
            total += tokens
            while taken[start][0] < at_s - bound.window_s:
                total -= taken[start][1]
                start += 1
            if total > bound.most:
                broken.append(f"{bound.workspace} took {total} of {bound.most:g} in a window")
                break
    return broken


def _check_reads(record: SoakRecord) -> list[str]:
    contents: dict[bytes, int] = {sent.content: sent.version for sent in record.sent}
    broken: list[str] = []
    told: dict[int, bytes] = {}
    for read in sorted(record.reads, key=lambda read: read.began_s):
        if read.content is None:
            continue
        version = contents.get(read.content)
        if version is None:
            broken.append(f"{read.keeper} told a content that nobody sent")
            continue
        if told.setdefault(version, read.content) != read.content:
            broken.append(f"version {version} was told with two contents")
        acknowledged = [
            sent.version
            for sent in record.sent
            if sent.status == _OK and sent.ended_s + _READ_SLACK_S < read.began_s
        ]
        if acknowledged and version < max(acknowledged):
            broken.append(f"{read.keeper} told {version} after {max(acknowledged)} was taken")
    return broken


def _check_recovery(record: SoakRecord) -> list[str]:
    calm = [call for call in record.calls if call.began_s >= record.calm_from_s]
    served = [call for call in calm if call.status == _OK]
    if calm and len(served) < _SERVED_SHARE * len(calm):
        return [f"after the faults only {len(served)} of {len(calm)} calls were served"]
    if record.calm_from_s < float("inf") and not calm:
        return ["no call was sent after the faults"]
    return []


def _check_rollouts(record: SoakRecord) -> list[str]:
    broken: list[str] = []
    for seen in record.rollouts:
        started = [run.started_s for run in record.runs if f"-{seen.version}-" in run.target]
        if any(started_s < seen.ordered_s for started_s in started):
            broken.append(f"{seen.version} got a request before it was ordered")
        if seen.end == "rolled_back" and max(started, default=0.0) > seen.ended_s + _ROLLBACK_S:
            broken.append(f"{seen.version} got a request after it was rolled back")
        if seen.end == "completed" and seen.is_bad:
            broken.append(f"{seen.version} fails half of its answers and was completed")
        if not seen.end and record.calm_from_s > seen.acknowledged_s + _ROLLOUT_S:
            broken.append(f"the rollout to {seen.version} did not end")
    return broken
