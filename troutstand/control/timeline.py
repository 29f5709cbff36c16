"""Merge the logs of all processes into one timeline in causal order."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.clock import Stamp

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_US_PER_MS = 1000


@dataclass(frozen=True)
class LogLine:
    """Hold one parsed log line."""

    stamp: Stamp
    process: str
    event: str
    request: str
    fields: dict[str, str]
    text: str


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return value[1:-1].replace("\\n", "\n").replace('\\"', '"').replace("\\\\", "\\")


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it is not an event."""
    fields = {key: _unquote(value) for key, value in _PAIR.findall(text)}
    wall, _, counter = fields.get("at", "").partition(".")
    if not wall.isdigit() or not counter.isdigit() or "event" not in fields:
        return None
    return LogLine(
        stamp=Stamp(int(wall), int(counter)),
        process=fields.get("process", ""),
        event=fields["event"],
        request=fields.get("request", ""),
        fields=fields,
        text=text,
    )


def merge_logs(texts: Iterable[str]) -> list[LogLine]:
    """Parse log lines and sort them by their hybrid logical clocks."""
    lines = [line for text in texts if (line := parse_line(text)) is not None]
    return sorted(lines, key=lambda line: (line.stamp, line.process))


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Read and merge log files."""
    return merge_logs(text for path in paths for text in path.read_text().splitlines())


class TraceEvent(msgspec.Struct, frozen=True):
    """Describe one event of the Trace Event Format."""

    name: str
    ph: str
    ts: int
    pid: str
    tid: str
    args: dict[str, str]
    s: str = "p"
    dur: int = 0


class TraceFile(msgspec.Struct, frozen=True, rename="camel"):
    """Describe a trace file of the Trace Event Format."""

    trace_events: list[TraceEvent]


def make_trace(lines: list[LogLine]) -> bytes:
    """Make a trace file: spans from lines with a duration, instants from all others."""
    events: list[TraceEvent] = []
    for line in lines:
        time_us = line.stamp.wall_ms * _US_PER_MS + line.stamp.counter
        total_ms = line.fields.get("total_ms", "")
        is_span = total_ms.isdigit()
        duration_us = int(total_ms) * _US_PER_MS if is_span else 0
        events.append(
            TraceEvent(
                name=line.event,
                ph="X" if is_span else "i",
                ts=time_us - duration_us,
                pid=line.process,
                tid=line.request or "process",
                args=line.fields,
                dur=duration_us,
            )
        )
    return msgspec.json.encode(TraceFile(events))
