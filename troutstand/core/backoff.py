"""Back-off periods that a target requested, by gateway."""

from __future__ import annotations

from dataclasses import dataclass, field

# Minimum time between a rejection and the next probe by another gateway, since each
# rejected probe costs a request one of its attempts.
_PROBE_AFTER_S = 0.2
# Suspect period after a rejection without Retry-After; doubles until the next answer.
_INITIAL_SUSPECT_S = 0.05
_MAX_SUSPECT_S = 0.8
_NEVER_S = float("-inf")


@dataclass
class Backoff:
    """Track the back-off periods that one target requested; times in seconds.

    A back-off is binding for the gateway that received it. For other gateways the target is
    suspect: it gets single probes until it answers again or the period ends.
    """

    _end_s_by_gateway: dict[str, float] = field(default_factory=dict)
    _last_rejection_s: float = _NEVER_S
    _requested_until_s: float = _NEVER_S
    _suspect_until_s: float = _NEVER_S
    _next_suspect_s: float = _INITIAL_SUSPECT_S

    def start(self, gateway: str, duration_s: float, now_s: float) -> None:
        """Start a back-off for a gateway."""
        end_s = max(self.get_end_s(gateway), now_s + duration_s)
        self._end_s_by_gateway = {
            g: until_s for g, until_s in self._end_s_by_gateway.items() if until_s > now_s
        }
        self._end_s_by_gateway[gateway] = end_s
        self._last_rejection_s = now_s
        self._requested_until_s = max(self._requested_until_s, end_s)
        self._suspect_until_s = max(self._suspect_until_s, end_s)

    def suspect(self, now_s: float) -> float:
        """Mark the target as suspect after a rejection; return the duration in seconds."""
        suspect_s = self._next_suspect_s
        self._next_suspect_s = min(_MAX_SUSPECT_S, 2.0 * suspect_s)
        self._last_rejection_s = now_s
        self._suspect_until_s = max(self._suspect_until_s, now_s + suspect_s)
        return suspect_s

    def get_end_s(self, gateway: str) -> float:
        """Return the end of a gateway's back-off."""
        return self._end_s_by_gateway.get(gateway, _NEVER_S)

    def is_active(self, gateway: str, now_s: float) -> bool:
        """Return whether a gateway must not send requests now."""
        return now_s < self.get_end_s(gateway)

    def is_suspect(self, now_s: float) -> bool:
        """Return whether the target is likely to reject requests of any gateway."""
        return now_s < self._suspect_until_s

    def is_requested(self, now_s: float) -> bool:
        """Return whether a back-off of any gateway is in effect, with no answer since."""
        return now_s < self._requested_until_s

    def is_after_last_rejection(self, started_s: float) -> bool:
        """Return whether a request was sent after the last rejection."""
        return started_s > self._last_rejection_s

    def may_probe(self, now_s: float) -> bool:
        """Return whether a suspect target may be probed now."""
        return now_s - self._last_rejection_s >= _PROBE_AFTER_S

    def record_answer(self, started_s: float) -> None:
        """Clear the suspicion if the answered request was sent after the last rejection."""
        if self.is_after_last_rejection(started_s):
            self._requested_until_s = _NEVER_S
            self._suspect_until_s = _NEVER_S
            self._next_suspect_s = _INITIAL_SUSPECT_S
