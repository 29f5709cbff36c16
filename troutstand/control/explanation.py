"""Explain the result of a request from the collected logs of a routed site."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.control.timeline import LogLine

# Events that describe the state of a process when it handled the request.
_STATE_EVENTS = (
    "process_started",
    "stop_started",
    "configuration_in_force",
    "scheduler_changed",
    "targets_changed",
    "keepers_lost",
    "keepers_regained",
)
_END_EVENTS = (
    "request_answered",
    "request_refused",
    "stream_broken_off",
    "request_left",
    "request_cut",
)
_OVERLOAD_CODE = "3001"
_TIMEOUT_CODES = ("3002", "5005")
_LIMIT_CODE = "3003"
# Routes allow 200 to 300 ms between events of a stream.
_MIN_REPORTED_PAUSE_MS = 200.0


@dataclass(frozen=True)
class RequestExplanation:
    """Explain the result of one request.

    Parameters
    ----------
    state_lines
        The newest line of each state event at the processes that handled the request.
    steps
        The log lines of the request, in causal order.
    cause
        One sentence that names the cause, or the missing log lines.
    """

    state_lines: list[LogLine]
    steps: list[LogLine]
    cause: str


def explain_request(lines: list[LogLine], request: str) -> RequestExplanation | None:
    """Explain the result of a request; return None if no log line has its id."""
    steps = [line for line in lines if line.request == request]
    if not steps:
        return None
    state_lines = _find_state_lines(lines, steps)
    return RequestExplanation(state_lines, steps, _describe_cause(lines, state_lines, steps))


def _find_state_lines(lines: list[LogLine], steps: list[LogLine]) -> list[LogLine]:
    processes = {step.process for step in steps}
    last = steps[-1].stamp
    newest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.process in processes and line.event in _STATE_EVENTS and line.stamp <= last:
            newest[(line.process, line.event)] = line
    return sorted(newest.values(), key=lambda line: (line.stamp, line.process))


def _describe_cause(lines: list[LogLine], state_lines: list[LogLine], steps: list[LogLine]) -> str:
    ends = [step for step in steps if step.event in _END_EVENTS]
    if not ends:
        return "no end was logged: its gateway crashed, or its log file is missing"
    end = ends[-1]
    match end.event:
        case "request_refused":
            return _explain_refusal(steps, end)
        case "stream_broken_off":
            return _explain_broken_stream(lines, steps, end)
        case "request_left":
            return "the caller closed its connection before the response was complete"
        case "request_cut":
            return "its gateway was stopped before the response was complete"
        case _:
            return _explain_answer(state_lines, steps, end)


def _explain_refusal(steps: list[LogLine], end: LogLine) -> str:
    declined = next((s for s in steps if s.event == "request_declined"), None)
    code = end.fields.get("code", "")
    if declined is not None and code == _OVERLOAD_CODE:
        return (
            f"overload: {declined.process} expected a late response ({declined.fields['reason']})"
        )
    if declined is not None and code == _LIMIT_CODE:
        return f"its workspace was at its limit ({declined.fields['reason']})"
    failed = _list_failures(steps)
    if failed:
        return f"code {code} after failed attempts: {failed}"
    if code in _TIMEOUT_CODES:
        return f"code {code}: its deadline passed while it waited for a target or a response"
    return f"code {code}: {end.fields.get('detail', '')}"


def _explain_broken_stream(lines: list[LogLine], steps: list[LogLine], end: LogLine) -> str:
    failed = _list_failures(steps)
    targets = {s.fields.get("target") for s in steps if s.event == "attempt_failed"}
    other_failures = [
        line
        for line in lines
        if line.event == "attempt_failed"
        and line.request != end.request
        and line.fields.get("target") in targets
    ]
    begun_ms = end.fields.get("begun_ms")
    start = f", its response had started after {begun_ms} ms" if begun_ms else ""
    return (
        f"its stream broke at the target and could not be resumed at another{start}: "
        f"{failed or end.fields.get('detail', '')}; "
        f"{len(other_failures)} other attempts failed at the same target"
    )


def _explain_answer(state_lines: list[LogLine], steps: list[LogLine], end: LogLine) -> str:
    placed = [s for s in steps if s.event == "request_placed"]
    waited = placed[-1].fields.get("waited_ms", "?") if placed else "?"
    expected = placed[-1].fields.get("expected_ms", "?") if placed else "?"
    versions = [b for b in state_lines if b.event == "configuration_in_force"]
    in_force = f", {versions[-1].fields.get('version')} in force" if versions else ""
    return (
        f"answered with {end.fields.get('status')} after {end.fields.get('total_ms')} ms: "
        f"waited {waited} ms for a target, first byte expected in {expected} ms and "
        f"{_describe_first_byte(end)}, "
        f"configuration version {end.fields.get('version')}{in_force}"
        f"{_describe_late(end)}"
        f"{_describe_failures(steps)}"
    )


def _read_ms(end: LogLine, name: str) -> float:
    """Return a time field of a log line in milliseconds; 0 if missing."""
    return float(end.fields.get(name) or 0.0)


def _describe_late(end: LogLine) -> str:
    """Describe which part of a response was late, from the times in its log line."""
    objective_ms = _read_ms(end, "objective_ms")
    waited_ms, first_ms = _read_ms(end, "waited_ms"), _read_ms(end, "first_ms")
    pause_ms = _read_ms(end, "pause_ms")
    if objective_ms and waited_ms + first_ms > objective_ms:
        part = "its wait" if waited_ms > first_ms else "its first byte"
        return f"; late for its objective of {objective_ms:g} ms, mostly due to {part}"
    if pause_ms > _MIN_REPORTED_PAUSE_MS:
        return f"; its longest pause between events was {pause_ms:g} ms"
    return ""


def _describe_first_byte(end: LogLine) -> str:
    first_ms = end.fields.get("first_ms")
    return f"received after {first_ms} ms" if first_ms else "never received in this attempt"


def _list_failures(steps: list[LogLine]) -> str:
    return "; ".join(
        f"{s.fields.get('target')} {s.fields.get('ending')} ({_describe_failure(s)})"
        for s in steps
        if s.event == "attempt_failed"
    )


def _describe_failure(step: LogLine) -> str:
    status, detail = step.fields.get("status"), step.fields.get("detail", "")
    return f"status {status}, {detail}" if status else detail


def _describe_failures(steps: list[LogLine]) -> str:
    failed = _list_failures(steps)
    return f", after failed attempts: {failed}" if failed else ""
