"""Keep for how long a target wants to be left alone, and by which gateways."""

from __future__ import annotations

from dataclasses import dataclass, field

# A target that asked one gateway for rest is tried by the others no sooner than this after
# its last request for rest, in seconds: each try that is turned away costs a request one of
# its attempts (chosen, not measured).
_TRY_AFTER_S = 0.2
# A target that turned a request away without a time is doubted for so long, in seconds, and
# for twice as long each time until it answers again (chosen, not measured).
_FIRST_DOUBT_S = 0.05
_MAX_DOUBT_S = 0.8
_NEVER_S = float("-inf")


@dataclass
class Backoff:
    """Hold the rests that one target asked for; times in seconds.

    A rest binds the gateway that was asked. For the others it is a doubt: they prefer
    targets without it, and try this one with single requests until it answers again or the
    rest is over.
    """

    _until_s: dict[str, float] = field(default_factory=dict)
    _asked_s: float = _NEVER_S
    _wanted_until_s: float = _NEVER_S
    _doubted_until_s: float = _NEVER_S
    _next_doubt_s: float = _FIRST_DOUBT_S

    def start(self, gateway: str, rest_s: float, now_s: float) -> None:
        """Note that a gateway was asked for so many seconds of rest."""
        ends_s = max(self.get_end_s(gateway), now_s + rest_s)
        self._until_s = {g: until_s for g, until_s in self._until_s.items() if until_s > now_s}
        self._until_s[gateway] = ends_s
        self._asked_s = now_s
        self._wanted_until_s = max(self._wanted_until_s, ends_s)
        self._doubted_until_s = max(self._doubted_until_s, ends_s)

    def suspect(self, now_s: float) -> float:
        """Note that the target turned a request away; return the seconds of doubt."""
        doubt_s = self._next_doubt_s
        self._next_doubt_s = min(_MAX_DOUBT_S, 2.0 * doubt_s)
        self._asked_s = now_s
        self._doubted_until_s = max(self._doubted_until_s, now_s + doubt_s)
        return doubt_s

    def get_end_s(self, gateway: str) -> float:
        """Return until when a gateway must send nothing."""
        return self._until_s.get(gateway, _NEVER_S)

    def is_active(self, gateway: str, now_s: float) -> bool:
        """Tell whether a gateway must send nothing now."""
        return now_s < self.get_end_s(gateway)

    def is_suspect(self, now_s: float) -> bool:
        """Tell whether the target may turn other gateways away as well."""
        return now_s < self._doubted_until_s

    def is_requested(self, now_s: float) -> bool:
        """Tell whether the target asked any gateway for rest and answered none since."""
        return now_s < self._wanted_until_s

    def is_after_last(self, started_s: float) -> bool:
        """Tell whether a request was sent after the last rest was asked for."""
        return started_s > self._asked_s

    def may_probe(self, now_s: float) -> bool:
        """Tell whether a doubted target may be tried with a request now."""
        return now_s - self._asked_s >= _TRY_AFTER_S

    def record_answer(self, started_s: float) -> None:
        """Drop the doubt where a request that was sent after it got an answer."""
        if self.is_after_last(started_s):
            self._wanted_until_s = _NEVER_S
            self._doubted_until_s = _NEVER_S
            self._next_doubt_s = _FIRST_DOUBT_S
