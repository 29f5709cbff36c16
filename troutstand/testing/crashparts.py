"""Record how the prompt parts that crash simulated targets arrive there."""

from __future__ import annotations

import time
from dataclasses import dataclass, field


@dataclass(frozen=True)
class PartEvent:
    """Record that a part arrived at a target or crashed it; the time is on the steady clock."""

    part: str
    target: str
    at_s: float


@dataclass
class CrashParts:
    """Hold the parts that crash the targets of a site, and what they did."""

    parts: set[str] = field(default_factory=set)
    arrivals: list[PartEvent] = field(default_factory=list)
    crashes: list[PartEvent] = field(default_factory=list)

    def find(self, header: str) -> str:
        """Return the crashing part among all but the last of a prompt's, or an empty string."""
        names = [entry.partition(":")[0].strip() for entry in header.split(",")]
        return next((name for name in names[:-1] if name in self.parts), "")

    def record_arrival(self, part: str, target: str) -> None:
        """Record that a request with a crashing part arrived at a target."""
        self.arrivals.append(PartEvent(part, target, time.monotonic()))

    def record_crash(self, part: str, target: str) -> None:
        """Record that a part crashed a target."""
        self.crashes.append(PartEvent(part, target, time.monotonic()))
