"""Publish what happens in a process to its log, its metrics and its readers."""

from __future__ import annotations

import asyncio
import logging as std_logging
import re
from collections import deque
from dataclasses import dataclass
from logging.handlers import WatchedFileHandler
from typing import TYPE_CHECKING

import statsd
from absl import logging
from reactivex import operators as ops
from reactivex.subject import Subject

from troutstand.core.codes import ResultCode
from troutstand.util.linewriter import LineWriter

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.clock import HybridClock, Stamp
    from troutstand.core.ids import ProcessId
    from troutstand.generated.settings import Address

Field = str | int | float | bool | None

# Events that `troutstandctl explain` can look back on.
MAX_RECENT_EVENTS = 20_000
_STANDARD_OUTPUT = 1
_PLAIN = re.compile(r"^[^\s\"=]+$")
METRIC_PREFIX = "troutstand"


@dataclass(frozen=True)
class Event:
    """Tell one thing that happened."""

    name: str
    stamp: Stamp
    process: str
    request: str
    code: ResultCode
    fields: dict[str, Field]


def format_value(value: Field) -> str:
    """Write a value so that a line splits again at its blanks."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if _PLAIN.match(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def format_event(event: Event) -> str:
    """Write an event as one line of key=value pairs, without the fields that are None."""
    host = event.process.partition(".")[0]
    parts = [
        f"at={event.stamp.wall_ms}.{event.stamp.counter}",
        f"host={host}",
        f"process={event.process}",
        f"event={event.name}",
    ]
    if event.request:
        parts.append(f"request={event.request}")
    if event.code is not ResultCode.OK:
        parts.append(f"code={event.code.value}")
    known = {key: value for key, value in event.fields.items() if value is not None}
    parts.extend(f"{key}={format_value(value)}" for key, value in known.items())
    return " ".join(parts)


def open_standard_output() -> LineWriter:
    """Send absl's log lines to standard output without ever waiting for it."""
    logger = logging.get_absl_logger()
    logging.set_verbosity(logging.INFO)
    writer = LineWriter(_STANDARD_OUTPUT)
    logger.handlers = [writer]
    logger.propagate = False
    return writer


def open_log(path: str | None) -> None:
    """Send absl's log lines to a file, which an operator's tools may rotate."""
    logger = logging.get_absl_logger()
    logging.set_verbosity(logging.INFO)
    handler: std_logging.Handler
    handler = WatchedFileHandler(path) if path else std_logging.StreamHandler()
    handler.setFormatter(std_logging.Formatter("%(message)s"))
    logger.handlers = [handler]
    logger.propagate = False


class EventBus:
    """Stamp events and hand them to every subscriber."""

    def __init__(self, process: ProcessId, clock: HybridClock) -> None:
        self.process = process
        self.clock = clock
        self.recent: deque[Event] = deque(maxlen=MAX_RECENT_EVENTS)
        self._lines: list[str] = []
        self._subject: Subject[Event] = Subject()
        self._subject.subscribe(self.recent.append)

    def emit(
        self, name: str, request: str = "", code: ResultCode = ResultCode.OK, **fields: Field
    ) -> None:
        """Publish an event."""
        stamp = self.clock.tick()
        self._subject.on_next(Event(name, stamp, self.process, request, code, fields))

    def subscribe(self, reader: Callable[[Event], None]) -> None:
        """Hand every event to a reader."""
        self._subject.subscribe(reader)

    def enable_log(self) -> None:
        """Write every event as a log line."""
        self._subject.subscribe(self._keep_line)

    def _keep_line(self, event: Event) -> None:
        """Keep a line until the turn of the loop ends; outside a loop, write it."""
        self._lines.append(format_event(event))
        if len(self._lines) > 1:
            return
        try:
            asyncio.get_running_loop().call_soon(self._write_lines)
        except RuntimeError:
            self._write_lines()

    def _write_lines(self) -> None:
        # One call of the logging library for all lines of a turn: its records
        # cost more than the lines do.
        lines, self._lines = self._lines, []
        logging.info("%s", "\n".join(lines))

    def enable_metrics(self, address: Address) -> None:
        """Count events, and time those that carry `*_ms`, by statsd."""
        client = statsd.StatsClient(address.ip, address.port, prefix=METRIC_PREFIX)
        self._subject.pipe(ops.do_action(lambda event: client.incr(_name_metric(event)))).subscribe(
            lambda event: _send_timings(client, event)
        )

    def find_request(self, request: str) -> list[Event]:
        """Return the kept events of one request."""
        return [event for event in self.recent if event.request == request]


def _name_metric(event: Event) -> str:
    tier = event.fields.get("tier")
    name = f"{event.name}.{tier}" if tier else event.name
    return f"{name}.{event.code.value}" if event.code is not ResultCode.OK else name


def _send_timings(client: statsd.StatsClient, event: Event) -> None:
    for key, value in event.fields.items():
        if key.endswith("_ms") and isinstance(value, int | float):
            client.timing(f"{_name_metric(event)}.{key}", value)
        elif key.endswith("_gauge") and isinstance(value, int | float):
            client.gauge(f"{_name_metric(event)}.{key}", value)
