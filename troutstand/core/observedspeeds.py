"""Target speeds observed by a gateway, passed on to the next scheduler."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from troutstand.core.speed import MovingAverage, PrefillSums
from troutstand.generated.messages import TargetSpeed

# Older observations are dropped.
_MAX_AGE_S = 20.0
# Bounds the attach message, since many gateways attach at the same time.
_MAX_TARGETS = 16
_DECAY = 0.95


@dataclass
class ObservedSpeed:
    """Hold the speed of one target as observed by one process."""

    service: str
    # Start time that identifies the target's incarnation; 0 if unknown.
    born_ms: int = 0
    last_seen_s: float = 0.0
    prefill: PrefillSums = field(default_factory=PrefillSums)
    token_s: MovingAverage = field(default_factory=MovingAverage)
    service_s: MovingAverage = field(default_factory=MovingAverage)


class ObservedSpeeds:
    """Hold the speeds of the targets that a gateway sent requests to."""

    def __init__(self) -> None:
        self._observed: OrderedDict[str, ObservedSpeed] = OrderedDict()

    def _get_or_create(
        self, service: str, target: str, born_ms: int, now_s: float
    ) -> ObservedSpeed:
        observed = self._observed.get(target)
        if observed is None or observed.born_ms != born_ms:
            observed = self._observed[target] = ObservedSpeed(service, born_ms)
        observed.last_seen_s = now_s
        self._observed.move_to_end(target)
        return observed

    def record_first_byte(
        self,
        service: str,
        target: str,
        born_ms: int,
        tokens: float,
        first_s: float,
        now_s: float,
    ) -> None:
        """Record a time to first byte and the prompt tokens processed until then."""
        observed = self._get_or_create(service, target, born_ms, now_s)
        observed.prefill.scale(_DECAY)
        observed.prefill.add(tokens, first_s)

    def record_token_time(
        self, service: str, target: str, born_ms: int, token_s: float, now_s: float
    ) -> None:
        """Record the mean time between tokens of a complete answer, in seconds."""
        self._get_or_create(service, target, born_ms, now_s).token_s.add_sample(token_s)

    def record_service_time(
        self, service: str, target: str, born_ms: int, total_s: float, now_s: float
    ) -> None:
        """Record the time of a complete answer to a request without a prompt, in seconds."""
        self._get_or_create(service, target, born_ms, now_s).service_s.add_sample(total_s)

    def list_recent(self, now_s: float) -> list[TargetSpeed]:
        """Return the recent speeds, latest first, and drop the expired ones."""
        while (
            self._observed and now_s - next(iter(self._observed.values())).last_seen_s > _MAX_AGE_S
        ):
            self._observed.popitem(last=False)
        latest = list(reversed(self._observed.items()))[:_MAX_TARGETS]
        return [_export(target, observed) for target, observed in latest]


def _export(target: str, observed: ObservedSpeed) -> TargetSpeed:
    return TargetSpeed(
        service=observed.service,
        target=target,
        reading=observed.prefill.to_list() if observed.prefill.weight else [],
        token_s=observed.token_s.value or 0.0,
        token_samples=observed.token_s.samples,
        service_s=observed.service_s.value or 0.0,
        service_samples=observed.service_s.samples,
        born_ms=observed.born_ms,
    )
