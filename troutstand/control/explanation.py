"""Explain the result of a request from the collected logs of a routed site."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.control.timeline import LogLine

# What a process believed when it decided: the newest of each before the request.
_STATE_EVENTS = (
    "process_started",
    "stop_started",
    "configuration_in_force",
    "scheduler_changed",
    "targets_changed",
    "keepers_lost",
    "keepers_regained",
)
_ENDS = ("request_answered", "request_refused", "stream_broken_off", "request_left", "request_cut")
_OVERLOAD = "3001"
_LATE_CODES = ("3002", "5005")
_LIMIT = "3003"
# A pause that is worth a word: routes ask for 200 to 300 ms between events.
_LONG_PAUSE_MS = 200.0


@dataclass(frozen=True)
class RequestExplanation:
    """Hold what the logs tell of one request.

    Parameters
    ----------
    state_lines
        The newest line of each belief at the processes that took part.
    steps
        The request's own lines, in causal order.
    cause
        One sentence that names the cause, or says what is missing.
    """

    state_lines: list[LogLine]
    steps: list[LogLine]
    cause: str


def explain_request(lines: list[LogLine], request: str) -> RequestExplanation | None:
    """Return the walk of a request, or None where no line names it."""
    steps = [line for line in lines if line.request == request]
    if not steps:
        return None
    state_lines = _find_state_lines(lines, steps)
    return RequestExplanation(state_lines, steps, _name_cause(lines, state_lines, steps))


def _find_state_lines(lines: list[LogLine], steps: list[LogLine]) -> list[LogLine]:
    processes = {step.process for step in steps}
    last = steps[-1].stamp
    newest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.process in processes and line.event in _STATE_EVENTS and line.stamp <= last:
            newest[(line.process, line.event)] = line
    return sorted(newest.values(), key=lambda line: (line.stamp, line.process))


def _name_cause(lines: list[LogLine], state_lines: list[LogLine], steps: list[LogLine]) -> str:
    ends = [step for step in steps if step.event in _ENDS]
    if not ends:
        return "no end was logged: its gateway died, or its log is not among these"
    end = ends[-1]
    match end.event:
        case "request_refused":
            return _explain_refusal(steps, end)
        case "stream_broken_off":
            return _explain_break(lines, steps, end)
        case "request_left":
            return "the caller closed its connection before the answer was whole"
        case "request_cut":
            return "its gateway was told to stop and ended before the answer was whole"
        case _:
            return _explain_answer(state_lines, steps, end)


def _explain_refusal(steps: list[LogLine], end: LogLine) -> str:
    declined = next((s for s in steps if s.event == "request_declined"), None)
    code = end.fields.get("code", "")
    if declined is not None and code == _OVERLOAD:
        return f"overload: {declined.process} expected it too late ({declined.fields['reason']})"
    if declined is not None and code == _LIMIT:
        return f"its workspace was at its limit ({declined.fields['reason']})"
    failed = _list_failures(steps)
    if failed:
        return f"code {code} after failed attempts: {failed}"
    if code in _LATE_CODES:
        return f"code {code}: its time was up while it waited or its target was silent"
    return f"code {code}: {end.fields.get('detail', '')}"


def _explain_break(lines: list[LogLine], steps: list[LogLine], end: LogLine) -> str:
    failed = _list_failures(steps)
    targets = {s.fields.get("target") for s in steps if s.event == "attempt_failed"}
    others = [
        line
        for line in lines
        if line.event == "attempt_failed"
        and line.request != end.request
        and line.fields.get("target") in targets
    ]
    begun_ms = end.fields.get("begun_ms")
    when = f", its caller had the beginning after {begun_ms} ms" if begun_ms else ""
    return (
        f"its stream broke at the target and could not go on elsewhere{when}: "
        f"{failed or end.fields.get('detail', '')}; "
        f"{len(others)} other attempts failed at the same target"
    )


def _explain_answer(state_lines: list[LogLine], steps: list[LogLine], end: LogLine) -> str:
    placed = [s for s in steps if s.event == "request_placed"]
    waited = placed[-1].fields.get("waited_ms", "?") if placed else "?"
    expected = placed[-1].fields.get("expected_ms", "?") if placed else "?"
    versions = [b for b in state_lines if b.event == "configuration_in_force"]
    held = f", {versions[-1].fields.get('version')} in force" if versions else ""
    return (
        f"answered with {end.fields.get('status')} after {end.fields.get('total_ms')} ms: "
        f"waited {waited} ms for a target, first byte expected in {expected} ms and "
        f"{_describe_first(end)}, "
        f"under version {end.fields.get('version')}{held}"
        f"{_describe_late(end)}"
        f"{_describe_failures(steps)}"
    )


def _read_ms(end: LogLine, name: str) -> float:
    """Return a time that a line carries, 0 where it carries none."""
    return float(end.fields.get(name) or 0.0)


def _describe_late(end: LogLine) -> str:
    """Name the part that made an answer late, by its own line's times."""
    objective_ms = _read_ms(end, "objective_ms")
    waited_ms, first_ms = _read_ms(end, "waited_ms"), _read_ms(end, "first_ms")
    pause_ms = _read_ms(end, "pause_ms")
    if objective_ms and waited_ms + first_ms > objective_ms:
        part = "its wait" if waited_ms > first_ms else "its first byte"
        return f"; late, its objective is {objective_ms:g} ms, mostly for {part}"
    if pause_ms > _LONG_PAUSE_MS:
        return f"; its longest pause between events was {pause_ms:g} ms"
    return ""


def _describe_first(end: LogLine) -> str:
    first_ms = end.fields.get("first_ms")
    return f"come in {first_ms} ms" if first_ms else "never come from this try"


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
