"""Publish the events of a process to its log, its metrics and its subscribers."""

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

# Number of events kept for `troutstandctl explain`.
MAX_RECENT_EVENTS = 20_000
# What a client sends may be quoted in a value, and is kept with the recent events.
_MAX_TEXT_CHARACTERS = 1024
_STDOUT_FD = 1
_UNQUOTED = re.compile(r"^[^\s\"=]+$")
METRIC_PREFIX = "troutstand"


@dataclass(frozen=True)
class Event:
    """Represent one logged event."""

    name: str
    stamp: Stamp
    process: str
    request: str
    code: ResultCode
    fields: dict[str, Field]


def _shorten(value: Field) -> Field:
    """Return a value without what follows the most characters that are kept of it."""
    if isinstance(value, str) and len(value) > _MAX_TEXT_CHARACTERS:
        return f"{value[:_MAX_TEXT_CHARACTERS]}..."
    return value


def format_value(value: Field) -> str:
    """Format a value, quoted if it contains blanks, quotes or equals signs."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if _UNQUOTED.match(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def format_event(event: Event) -> str:
    """Format an event as a line of key=value pairs, omitting fields that are None."""
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
    present = {key: value for key, value in event.fields.items() if value is not None}
    parts.extend(f"{key}={format_value(value)}" for key, value in present.items())
    return " ".join(parts)


def open_standard_output() -> LineWriter:
    """Route absl's log lines to standard output with non-blocking writes."""
    logger = logging.get_absl_logger()
    logging.set_verbosity(logging.INFO)
    writer = LineWriter(_STDOUT_FD)
    logger.handlers = [writer]
    logger.propagate = False
    return writer


def open_log(path: str | None) -> None:
    """Route absl's log lines to a file that may be rotated, or to standard error."""
    logger = logging.get_absl_logger()
    logging.set_verbosity(logging.INFO)
    handler: std_logging.Handler
    handler = WatchedFileHandler(path) if path else std_logging.StreamHandler()
    handler.setFormatter(std_logging.Formatter("%(message)s"))
    logger.handlers = [handler]
    logger.propagate = False


class EventBus:
    """Stamp events and pass them to all subscribers."""

    def __init__(self, process: ProcessId, clock: HybridClock) -> None:
        self.process = process
        self.clock = clock
        self.recent: deque[Event] = deque(maxlen=MAX_RECENT_EVENTS)
        self._pending_lines: list[str] = []
        self._subject: Subject[Event] = Subject()
        self._subject.subscribe(self.recent.append)

    def emit(
        self, name: str, request: str = "", code: ResultCode = ResultCode.OK, **fields: Field
    ) -> None:
        """Publish an event."""
        stamp = self.clock.tick()
        shortened = {key: _shorten(value) for key, value in fields.items()}
        request = request[:_MAX_TEXT_CHARACTERS]
        self._subject.on_next(Event(name, stamp, self.process, request, code, shortened))

    def subscribe(self, subscriber: Callable[[Event], None]) -> None:
        """Call a function with every event."""
        self._subject.subscribe(subscriber)

    def enable_log(self) -> None:
        """Write every further event to the log."""
        self._subject.subscribe(self._buffer_line)

    def _buffer_line(self, event: Event) -> None:
        """Buffer a line until the next loop iteration; without a running loop, write it now."""
        self._pending_lines.append(format_event(event))
        if len(self._pending_lines) > 1:
            return
        try:
            asyncio.get_running_loop().call_soon(self._flush_lines)
        except RuntimeError:
            self._flush_lines()

    def _flush_lines(self) -> None:
        # Logs all lines of an iteration in one call, since each call is expensive.
        lines, self._pending_lines = self._pending_lines, []
        logging.info("%s", "\n".join(lines))

    def enable_metrics(self, address: Address) -> None:
        """Send event counts, `*_ms` timings and `*_gauge` gauges to statsd."""
        client = statsd.StatsClient(address.ip, address.port, prefix=METRIC_PREFIX)
        self._subject.pipe(ops.do_action(lambda event: client.incr(_name_metric(event)))).subscribe(
            lambda event: _send_values(client, event)
        )

    def find_request(self, request: str) -> list[Event]:
        """Return the recent events of one request."""
        return [event for event in self.recent if event.request == request]


def _name_metric(event: Event) -> str:
    tier = event.fields.get("tier")
    name = f"{event.name}.{tier}" if tier else event.name
    return f"{name}.{event.code.value}" if event.code is not ResultCode.OK else name


def _send_values(client: statsd.StatsClient, event: Event) -> None:
    for key, value in event.fields.items():
        if key.endswith("_ms") and isinstance(value, int | float):
            client.timing(f"{_name_metric(event)}.{key}", value)
        elif key.endswith("_gauge") and isinstance(value, int | float):
            client.gauge(f"{_name_metric(event)}.{key}", value)
