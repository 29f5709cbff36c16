"""Keep how fast targets were seen to be, to pass it on to whoever decides next."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from troutstand.core.speed import MovingAverage, PrefillSums
from troutstand.generated.messages import TargetSpeed

# What was seen longer ago than this is not passed on, in seconds (chosen, not measured).
_FRESH_S = 20.0
# Only the targets seen last are passed on, since many gateways attach at the same moment.
_MOST_TARGETS = 16
_KEPT_WEIGHT = 0.95


@dataclass
class ObservedSpeed:
    """Hold what one process saw of one target."""

    service: str
    # When the target says that it began; 0 is not told.
    born_ms: int = 0
    last_seen_s: float = 0.0
    prefill: PrefillSums = field(default_factory=PrefillSums)
    token_s: MovingAverage = field(default_factory=MovingAverage)
    service_s: MovingAverage = field(default_factory=MovingAverage)


class ObservedSpeeds:
    """Hold what a gateway saw of the targets that it sent requests to."""

    def __init__(self) -> None:
        self._seen: OrderedDict[str, ObservedSpeed] = OrderedDict()

    def _touch(self, service: str, target: str, born_ms: int, now_s: float) -> ObservedSpeed:
        seen = self._seen.get(target)
        if seen is None or seen.born_ms != born_ms:
            seen = self._seen[target] = ObservedSpeed(service, born_ms)
        seen.last_seen_s = now_s
        self._seen.move_to_end(target)
        return seen

    def record_first_byte(
        self,
        service: str,
        target: str,
        born_ms: int,
        tokens: float,
        first_s: float,
        now_s: float,
    ) -> None:
        """Note a first byte, and the prompt tokens that the target read until then."""
        seen = self._touch(service, target, born_ms, now_s)
        seen.prefill.scale(_KEPT_WEIGHT)
        seen.prefill.add(tokens, first_s)

    def record_token_time(
        self, service: str, target: str, born_ms: int, token_s: float, now_s: float
    ) -> None:
        """Note the seconds between two tokens of a whole answer."""
        self._touch(service, target, born_ms, now_s).token_s.add_sample(token_s)

    def record_service_time(
        self, service: str, target: str, born_ms: int, total_s: float, now_s: float
    ) -> None:
        """Note the seconds that a target took for a whole answer without a prompt."""
        self._touch(service, target, born_ms, now_s).service_s.add_sample(total_s)

    def list_recent(self, now_s: float) -> list[TargetSpeed]:
        """Return what was seen lately, the latest first; forget what is old."""
        while self._seen and now_s - next(iter(self._seen.values())).last_seen_s > _FRESH_S:
            self._seen.popitem(last=False)
        latest = list(reversed(self._seen.items()))[:_MOST_TARGETS]
        return [_export(target, seen) for target, seen in latest]


def _export(target: str, seen: ObservedSpeed) -> TargetSpeed:
    return TargetSpeed(
        service=seen.service,
        target=target,
        reading=seen.prefill.to_list() if seen.prefill.weight else [],
        token_s=seen.token_s.value or 0.0,
        token_samples=seen.token_s.samples,
        service_s=seen.service_s.value or 0.0,
        service_samples=seen.service_s.samples,
        born_ms=seen.born_ms,
    )
