"""Check the record of a soak for violated guarantees.

The checks use only what callers, operators and targets observe.
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
from troutstand.testing.crashparts import CrashParts
from troutstand.testing.standins import make_body, make_event

if TYPE_CHECKING:
    from troutstand.testing.arrivals import Arrival, LimitNotice
    from troutstand.testing.routedcaller import CallResult
    from troutstand.testing.standins import RunRecord
    from troutstand.testing.versionedstreams import Stream

REJECTION_STATUSES = (408, 421, 429, 503)
_DRAIN_TIMEOUT_S = 4.0
# A process may act on stale state for this time after a suspension or a restart.
_DISRUPTION_MARGIN_S = 0.5
# Longest time for which a target announces its limit.
_LIMIT_MAX_AGE_S = 4.0
_READ_MAX_LAG_S = 2.5
_OK = 200
_MIN_SERVED_SHARE = 0.9
_LIMITED = 429
# From this time after the last fault a workspace below its limit is hardly refused.
_RETURN_S = 4.0
_MAX_MODEST_REFUSED_SHARE = 0.02
# From this time after gateways were cut from all targets, their callers are served at least
# this share as often as the others', unless few requests fail there.
_CUT_GRACE_S = 3.0
_MIN_CUT_SERVED_SHARE = 2 / 3
_MAX_CUT_FAILURES = 10
_MAX_CUT_FAILED_SHARE = 1 / 50
# A prompt part that crashes targets reaches no more than a few of them, from this time after its
# fifth crash on, if no process was disrupted for as long.
CRASHING_PART = "crashing"
_CRASHES_TO_LEARN = 5
_PART_CONTACT_S = 3.0
_MAX_LATE_PARTS = 3
# A version receives no request later than this after its rollback.
_ROLLBACK_TIMEOUT_S = 5.0
# An acknowledged order ends within this time, including faults and recovery.
_ROLLOUT_TIMEOUT_S = 40.0


@dataclass(frozen=True)
class ConfigurationWrite:
    """Record one write of a configuration; status 0 is an unknown outcome."""

    version: int
    content: bytes
    started_s: float
    ended_s: float
    status: int


@dataclass(frozen=True)
class ConfigurationRead:
    """Record one read of the configuration; the content is None after a failed read."""

    keeper: str
    started_s: float
    content: bytes | None


@dataclass(frozen=True)
class DrainInterval:
    """Record the interval in which a target was listed as draining."""

    target: str
    from_s: float
    to_s: float


@dataclass(frozen=True)
class Disruption:
    """Record the interval in which a process was suspended or restarted."""

    process: str
    from_s: float
    to_s: float


@dataclass(frozen=True)
class GatewayCut:
    """Record the interval in which gateways were cut from all targets."""

    gateways: frozenset[str]
    from_s: float
    to_s: float


@dataclass(frozen=True)
class TokenLimit:
    """Limit the tokens that a workspace may use in any window."""

    workspace: str
    window_s: float
    max_tokens: float


@dataclass(frozen=True)
class RolloutStateRead:
    """Record one read of a rollout's state."""

    started_s: float
    state: str


@dataclass
class RolloutRecord:
    """Record one rollout; times are read from the steady clock."""

    service: str
    version: str
    is_faulty: bool
    ordered_s: float
    acknowledged_s: float = float("inf")
    ended_s: float = float("inf")
    reads: list[RolloutStateRead] = field(default_factory=list)
    # Requests in flight at the old targets when they were stopped.
    aborted_count: int = 0

    @property
    def final_state(self) -> str:
        """Return the final state, or an empty string while the rollout is in progress."""
        return self.reads[-1].state if self.reads and self.ended_s < float("inf") else ""


@dataclass
class SoakRecord:
    """Hold the observations of one soak; times are read from the steady clock."""

    calls: list[CallResult] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    writes: list[ConfigurationWrite] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    drains: list[DrainInterval] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    limit_notices: list[LimitNotice] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    gateway_cuts: list[GatewayCut] = field(default_factory=list)
    limits: list[TokenLimit] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    list_outages: list[tuple[float, float]] = field(default_factory=list)
    rollouts: list[RolloutRecord] = field(default_factory=list)
    crash_parts: CrashParts = field(default_factory=lambda: CrashParts({CRASHING_PART}))
    # Requests of the workspace that asks for more than its limit.
    limited_calls: set[str] = field(default_factory=set)
    # Requests of a workspace that asks for half of its limit.
    modest_calls: set[str] = field(default_factory=set)
    # Requests with a prompt part that crashes targets.
    crashing_calls: list[CallResult] = field(default_factory=list)
    # Streams that are left and resumed while two versions serve.
    streams: list[Stream] = field(default_factory=list)
    events_per_stream: int = 4
    faults_ended_s: float = float("inf")
    recovered_s: float = float("inf")


def is_repeatable(route: str) -> bool:
    """Return whether requests of a test route may run more than once."""
    return route.startswith(("/get/", "/stream/resume/", "/stream/resume-once/"))


def check_record(record: SoakRecord) -> list[str]:
    """Return one message for each violated guarantee."""
    return [
        *_check_at_most_once(record),
        *_check_rejections(record),
        *_check_responses(record),
        *_check_draining(record),
        *_check_backoffs(record),
        *_check_leaving(record),
        *_check_target_limits(record),
        *_check_workspace_limits(record),
        *_check_configuration_reads(record),
        *_check_recovery(record),
        *_check_modest_workspace(record),
        *_check_gateway_cuts(record),
        *_check_crashing_part(record),
        *_check_rollouts(record),
        *_check_versions(record),
        *(f"a process ended by itself: {line}" for line in record.unexpected_exits),
    ]


def _group_runs(record: SoakRecord) -> dict[str, list[RunRecord]]:
    runs: dict[str, list[RunRecord]] = defaultdict(list)
    for run in record.runs:
        runs[run.request].append(run)
    return runs


def _check_at_most_once(record: SoakRecord) -> list[str]:
    runs = _group_runs(record)
    known = {call.request for call in [*record.calls, *record.crashing_calls]}
    known.update(request for stream in record.streams for request in stream.requests)
    repeated = [
        f"{call.request} {call.route} ran {len(runs[call.request])} times"
        for call in record.calls
        if not is_repeatable(call.route) and len(runs.get(call.request, [])) > 1
    ]
    unknown = [f"{name} ran and nobody sent it" for name in runs if name not in known]
    return repeated + unknown


def _check_rejections(record: SoakRecord) -> list[str]:
    runs = _group_runs(record)
    return [
        f"{call.request} {call.route} was refused with {call.status} and ran"
        for call in record.calls
        if call.status in REJECTION_STATUSES
        and not is_repeatable(call.route)
        and call.request in runs
    ]


def _check_responses(record: SoakRecord) -> list[str]:
    violations = [
        f"{call.request} {call.route} got a response that is no HTTP: {call.detail[:80]}"
        for call in record.calls
        if call.is_malformed
    ]
    for call in record.calls:
        if call.status != _OK:
            continue
        if call.route.startswith("/stream"):
            numbers = range(1, record.events_per_stream + 1)
            expected = b"".join(make_event(call.request, number) for number in numbers)
        else:
            expected = make_body(call.request, b"x")
        if call.body != expected:
            violations.append(f"{call.request} {call.route} got another answer: {call.body[:80]!r}")
    return violations


def _check_draining(record: SoakRecord) -> list[str]:
    return [
        f"{run.request} reached {run.target} {run.started_s - drain.from_s:.1f} s after the list"
        for drain in record.drains
        for run in record.runs
        if run.target == drain.target
        and drain.from_s + _DRAIN_TIMEOUT_S < run.started_s < drain.to_s
        and _measure_list_outage_s(record, drain.from_s, run.started_s) == 0
    ]


def _was_disrupted(record: SoakRecord, process: str, from_s: float, to_s: float) -> bool:
    """Return whether a process was suspended or restarted in an interval or just before it."""
    return any(
        disruption.process == process
        and disruption.from_s < to_s
        and disruption.to_s > from_s - _DISRUPTION_MARGIN_S
        for disruption in record.disruptions
    )


def _check_crashing_part(record: SoakRecord) -> list[str]:
    crashes = sorted(crash.at_s for crash in record.crash_parts.crashes)
    if len(crashes) < _CRASHES_TO_LEARN:
        return []
    from_s = crashes[_CRASHES_TO_LEARN - 1] + _PART_CONTACT_S
    late = [
        arrival
        for arrival in record.crash_parts.arrivals
        if arrival.at_s > from_s and not _was_any_disrupted(record, arrival.at_s)
    ]
    if len(late) <= _MAX_LATE_PARTS:
        return []
    return [f"a part reached {len(late)} targets too late, {len(crashes)} crashed in all"]


def _was_any_disrupted(record: SoakRecord, at_s: float) -> bool:
    """Return whether a process was disrupted at a time or in the last seconds before."""
    return any(
        disruption.from_s <= at_s and disruption.to_s > at_s - _PART_CONTACT_S
        for disruption in record.disruptions
    )


def _check_backoffs(record: SoakRecord) -> list[str]:
    results = {call.request: call for call in record.calls}
    return [
        f"{over.gateway} sent {over.arrivals} to {over.target} in {over.backoff_s:.1f} s of rest"
        for over in find_backoff_violations(record.arrivals, results)
        if not _was_disrupted(record, over.gateway, over.started_s, over.started_s + over.backoff_s)
    ]


def _check_leaving(record: SoakRecord) -> list[str]:
    results = {call.request: call for call in record.calls}
    announced_s = {
        (results[a.request].gateway, a.target, a.born_ms): a.at_s
        for a in reversed(record.arrivals)
        if a.is_leaving and a.request in results
    }
    violations: list[str] = []
    for late in find_late_sends(record.arrivals, results, _DRAIN_TIMEOUT_S):
        gateway = results[late.request].gateway
        since_s = announced_s[gateway, late.target, late.born_ms]
        if not _was_disrupted(record, gateway, since_s, late.at_s):
            violations.append(
                f"{gateway} sent {late.request} to {late.target} that had said it leaves"
            )
    return violations


def _check_target_limits(record: SoakRecord) -> list[str]:
    results = {call.request: call for call in record.calls}
    # Ignores gateways that were suspended or restarted within the window.
    undisrupted = [
        arrival
        for arrival in record.arrivals
        if arrival.request in results
        and not _was_disrupted(
            record, results[arrival.request].gateway, arrival.at_s - _LIMIT_MAX_AGE_S, arrival.at_s
        )
    ]
    return [
        f"{over.target} got {over.count} in a window of its limit, {over.allowed} allowed"
        for over in find_limit_violations(undisrupted, record.limit_notices, results)
    ]


def _measure_list_outage_s(record: SoakRecord, from_s: float, to_s: float) -> float:
    """Return how many seconds of an interval the target list was unavailable."""
    return sum(
        max(0.0, min(end_s, to_s) - max(start_s, from_s)) for start_s, end_s in record.list_outages
    )


def _check_workspace_limits(record: SoakRecord) -> list[str]:
    violations: list[str] = []
    for limit in record.limits:
        runs = sorted(
            (run.started_s, run.tokens) for run in record.runs if run.workspace == limit.workspace
        )
        start, total = 0, 0
        for at_s, tokens in runs:
            total += tokens
            while runs[start][0] < at_s - limit.window_s:
                total -= runs[start][1]
                start += 1
            if total > limit.max_tokens:
                violations.append(
                    f"{limit.workspace} used {total} of {limit.max_tokens:g} tokens in a window"
                )
                break
    return violations


def _check_configuration_reads(record: SoakRecord) -> list[str]:
    versions: dict[bytes, int] = {write.content: write.version for write in record.writes}
    violations: list[str] = []
    contents: dict[int, bytes] = {}
    for read in sorted(record.reads, key=lambda read: read.started_s):
        if read.content is None:
            continue
        version = versions.get(read.content)
        if version is None:
            violations.append(f"{read.keeper} returned a content that nobody sent")
            continue
        if contents.setdefault(version, read.content) != read.content:
            violations.append(f"version {version} was returned with two contents")
        acknowledged = [
            write.version
            for write in record.writes
            if write.status == _OK and write.ended_s + _READ_MAX_LAG_S < read.started_s
        ]
        if acknowledged and version < max(acknowledged):
            violations.append(
                f"{read.keeper} returned {version} after {max(acknowledged)} was taken"
            )
    return violations


def _check_gateway_cuts(record: SoakRecord) -> list[str]:
    violations: list[str] = []
    for cut in record.gateway_cuts:
        from_s = cut.from_s + _CUT_GRACE_S
        calls = [
            call
            for call in record.calls
            if from_s <= call.began_s < cut.to_s
            and not _was_disrupted(record, call.gateway, cut.from_s, call.began_s)
            and not _is_cut_by_another(record, call, cut)
        ]
        own = [
            call
            for call in calls
            if call.gateway in cut.gateways and _has_undisrupted_peer(record, call, cut)
        ]
        others = [call for call in calls if call.gateway not in cut.gateways]
        if not own or not others:
            continue
        own_served = sum(call.status == _OK for call in own)
        others_served = sum(call.status == _OK for call in others)
        failed = len(own) - own_served
        max_failed = _MAX_CUT_FAILURES + _MAX_CUT_FAILED_SHARE * len(calls)
        required = _MIN_CUT_SERVED_SHARE * others_served / len(others)
        if own_served < required * len(own) and failed > max_failed:
            violations.append(
                f"cut gateways served {own_served} of {len(own)} calls, "
                f"the others {others_served} of {len(others)}"
            )
    return violations


def _has_undisrupted_peer(record: SoakRecord, call: CallResult, cut: GatewayCut) -> bool:
    """Return whether a gateway that was neither cut nor disrupted could serve a call."""
    others = {other.gateway for other in record.calls} - cut.gateways
    return any(
        not _was_disrupted(record, other, call.began_s - _CUT_GRACE_S, call.ended_s)
        for other in others
    )


def _is_cut_by_another(record: SoakRecord, call: CallResult, cut: GatewayCut) -> bool:
    """Return whether another cut concerns a call's gateway at that time."""
    return any(
        other is not cut
        and call.gateway in other.gateways
        and other.from_s <= call.began_s < other.to_s + _CUT_GRACE_S
        for other in record.gateway_cuts
    )


def _check_recovery(record: SoakRecord) -> list[str]:
    after = [call for call in record.calls if call.began_s >= record.recovered_s]
    limited = [call for call in after if call.request in record.limited_calls]
    if limited and not any(call.status == _OK for call in limited):
        return [f"after the faults none of {len(limited)} limited calls was served"]
    recovered = [c for c in after if c.request not in record.limited_calls or c.status != _LIMITED]
    served = [call for call in recovered if call.status == _OK]
    if recovered and len(served) < _MIN_SERVED_SHARE * len(recovered):
        return [f"after the faults only {len(served)} of {len(recovered)} calls were served"]
    if record.recovered_s < float("inf") and not recovered:
        return ["no call was sent after the faults"]
    return []


def _check_modest_workspace(record: SoakRecord) -> list[str]:
    """Return whether a workspace below its limit is refused after all faults have ended."""
    since_s = record.faults_ended_s + _RETURN_S
    calls = [c for c in record.calls if c.request in record.modest_calls and c.began_s >= since_s]
    refused = [call for call in calls if call.status == _LIMITED]
    if len(refused) > _MAX_MODEST_REFUSED_SHARE * len(calls):
        return [f"{len(refused)} of {len(calls)} calls below a limit were refused after the faults"]
    return []


def _check_rollouts(record: SoakRecord) -> list[str]:
    violations: list[str] = []
    for rollout in record.rollouts:
        started = [run.started_s for run in record.runs if f"-{rollout.version}-" in run.target]
        if any(started_s < rollout.ordered_s for started_s in started):
            violations.append(f"{rollout.version} got a request before it was ordered")
        if (
            rollout.final_state == "rolled_back"
            and max(started, default=0.0) > rollout.ended_s + _ROLLBACK_TIMEOUT_S
        ):
            violations.append(f"{rollout.version} got a request after it was rolled back")
        if rollout.final_state == "completed" and rollout.is_faulty:
            violations.append(f"{rollout.version} fails half of its requests and was completed")
        if (
            not rollout.final_state
            and record.recovered_s > rollout.acknowledged_s + _ROLLOUT_TIMEOUT_S
        ):
            violations.append(f"the rollout to {rollout.version} did not end")
    return violations


def _check_versions(record: SoakRecord) -> list[str]:
    mixed = [
        f"the stream {stream.name} holds events of {sorted(stream.versions)}"
        for stream in record.streams
        if len(stream.versions) > 1
    ]
    gaps = [f"the stream {s.name} has a gap" for s in record.streams if s.has_gap]
    runs = _group_runs(record)
    ran = [
        f"{request} was refused with {one.code} as not run, and ran"
        for stream in record.streams
        for request, one in zip(stream.requests, stream.tries, strict=True)
        if one.run == "no" and request in runs
    ]
    return mixed + gaps + ran
