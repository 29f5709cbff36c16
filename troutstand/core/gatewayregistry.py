"""Keep which gateways a scheduler knows, and whom each of them asks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.core.ids import ProcessId
    from troutstand.generated.messages import AttachAsk

# A gateway that asks this scheduler and is silent for so long is left aside, in seconds.
GATEWAY_TIMEOUT_S = 1.2
# A gateway that stops still counts for so long, in seconds: what it took of the limits is
# within their window, and its part must not be used twice.
_GATEWAY_TTL_S = 30.0


@dataclass
class GatewayState:
    """Keep when a gateway was last heard, and whether it asks this scheduler."""

    incarnation: str
    last_heard_s: float
    is_attached: bool
    # The gateway's count of its changes of scheduler.
    attachment: int
    # The scheduler that it asks; empty where it decides alone.
    scheduler: str = ""
    # Whether what was taken of its part of the limits is counted here.
    is_usage_counted: bool = False


@dataclass(frozen=True)
class MostUsedScheduler:
    """Tell which scheduler most gateways ask, and how many do."""

    scheduler: str = ""
    gateways: int = 0


class GatewayRegistry:
    """Hold the gateways that sent heartbeats; times in seconds."""

    def __init__(self) -> None:
        self._seen: dict[ProcessId, GatewayState] = {}
        self._asked: Counter[str] = Counter()
        self._first_s = float("inf")
        self._told = 0

    def __len__(self) -> int:
        return len(self._seen)

    @property
    def gateway_count(self) -> int:
        """Return how many gateways the site has.

        A scheduler that has begun hears of them one by one. Counted by those that had come,
        each brought too large a part of the limits: the first the whole of them.
        """
        return max(1, len(self._seen), self._told)

    def find(self, gateway: ProcessId) -> GatewayState | None:
        """Return what was seen of a gateway."""
        return self._seen.get(gateway)

    def record_heartbeat(self, gateway: ProcessId, ask: AttachAsk, now_s: float) -> None:
        """Take a gateway's heartbeat."""
        seen = self._seen.get(gateway)
        self._note_asked(seen.scheduler if seen is not None else "", ask.asks)
        has_part = seen is not None and seen.is_usage_counted
        self._seen[gateway] = GatewayState(
            ask.incarnation, now_s, ask.is_attached, ask.attachment, ask.asks, has_part
        )
        self._first_s = min(self._first_s, now_s)
        # Later each gateway is known here, and those that are gone must be forgotten.
        is_young = now_s - self._first_s < _GATEWAY_TTL_S
        self._told = max(self._told, ask.gateways) if is_young else 0

    def mark_usage_counted(self, gateway: ProcessId) -> None:
        """Note that a gateway's part of the limits is counted here."""
        self._seen[gateway].is_usage_counted = True

    def release_usage(self, gateway: ProcessId) -> float:
        """Let a gateway's part go with it; return which share of those counted here it is."""
        seen = self._seen.get(gateway)
        if seen is None or not seen.is_usage_counted:
            return 0.0
        share = 1.0 / sum(other.is_usage_counted for other in self._seen.values())
        seen.is_usage_counted = False
        return share

    def _note_asked(self, before: str, now: str) -> None:
        """Count how many gateways ask each scheduler, as they tell all schedulers."""
        if before:
            self._asked[before] -= 1
        if now:
            self._asked[now] += 1

    def find_most_used_scheduler(self) -> MostUsedScheduler:
        """Return the scheduler that most gateways ask."""
        name = max(self._asked, key=self._asked.__getitem__, default="")
        return MostUsedScheduler(name, self._asked[name]) if name else MostUsedScheduler()

    def count_attached(self) -> int:
        """Return how many gateways ask this scheduler."""
        return sum(1 for seen in self._seen.values() if seen.is_attached)

    def get_attached_share(self) -> float:
        """Return the share of the site's gateways that ask this scheduler, 0 to 1."""
        return self.count_attached() / self.gateway_count

    def get_limit_share(self) -> float:
        """Return the share of all limits that is spent here, 0 to 1."""
        return max(1, self.count_attached()) / self.gateway_count

    def detach_silent(self, now_s: float) -> dict[ProcessId, float]:
        """Leave the gateways aside that fell silent; return for how long each has been."""
        silent: dict[ProcessId, float] = {}
        for gateway, seen in list(self._seen.items()):
            silent_s = now_s - seen.last_heard_s
            if seen.is_attached and silent_s > GATEWAY_TIMEOUT_S:
                seen.is_attached = False
                silent[gateway] = silent_s
            if silent_s > _GATEWAY_TTL_S:
                self._note_asked(seen.scheduler, "")
                del self._seen[gateway]
        return silent

    def reset_silence(self, now_s: float) -> None:
        """Leave out of account a time in which the scheduler itself stood still."""
        for seen in self._seen.values():
            seen.last_heard_s = now_s
