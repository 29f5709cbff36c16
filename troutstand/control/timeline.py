"""Merge the logs of all processes into one time line in causal order."""

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
_MICROSECONDS_A_MILLISECOND = 1000


@dataclass(frozen=True)
class LogLine:
    """Carry one log line, read back."""

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
    """Read a log line back; None for what is no event."""
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
    """Merge log lines in the order of their hybrid logical clocks."""
    lines = [line for text in texts if (line := parse_line(text)) is not None]
    return sorted(lines, key=lambda line: (line.stamp, line.process))


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Merge log files."""
    return merge_logs(text for path in paths for text in path.read_text().splitlines())


class TraceEvent(msgspec.Struct, frozen=True):
    """Carry one event in the Trace Event Format that trace viewers open."""

    name: str
    ph: str
    ts: int
    pid: str
    tid: str
    args: dict[str, str]
    s: str = "p"
    dur: int = 0


class TraceFile(msgspec.Struct, frozen=True, rename="camel"):
    """Carry a whole trace."""

    trace_events: list[TraceEvent]


def make_trace(lines: list[LogLine]) -> bytes:
    """Make a trace file: events as instants, and spans where a duration is known."""
    events: list[TraceEvent] = []
    for line in lines:
        micros = line.stamp.wall_ms * _MICROSECONDS_A_MILLISECOND + line.stamp.counter
        total_ms = line.fields.get("total_ms", "")
        is_span = total_ms.isdigit()
        duration = int(total_ms) * _MICROSECONDS_A_MILLISECOND if is_span else 0
        events.append(
            TraceEvent(
                name=line.event,
                ph="X" if is_span else "i",
                ts=micros - duration,
                pid=line.process,
                tid=line.request or "process",
                args=line.fields,
                dur=duration,
            )
        )
    return msgspec.json.encode(TraceFile(events))
