"""Count the attempts of one request and decide whether another one is allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.generated.messages import Placed
    from troutstand.routing.relay import SendError

_MAX_UNSENT_ATTEMPTS = 4
_MAX_EXCLUDED = 16


class AttemptHistory:
    """Hold the failed attempts of one request.

    Parameters
    ----------
    max_arrivals
        Number of targets that may receive the request.
    is_repeatable
        Whether the request may run more than once.
    """

    def __init__(self, max_arrivals: int, is_repeatable: bool) -> None:
        self.arrived_count = 0
        self.may_have_run = False
        # Targets that failed, newest last; the decider prefers others.
        self.excluded: list[str] = []
        self._max_arrivals = max_arrivals
        self._is_repeatable = is_repeatable
        self._unsent_count = 0
        self._counted: list[Placed] = []

    @property
    def can_repeat(self) -> bool:
        """Return whether the request may run again."""
        return self._is_repeatable and self.arrived_count < self._max_arrivals

    @property
    def can_send(self) -> bool:
        """Return whether few enough attempts ended before they were sent."""
        return self._unsent_count <= _MAX_UNSENT_ATTEMPTS

    def can_repeat_beside(self, placed: Placed) -> bool:
        """Return whether the request may run again while an attempt is in flight."""
        is_counted = any(counted is placed for counted in self._counted)
        arrived_count = self.arrived_count + (0 if is_counted else 1)
        return self._is_repeatable and arrived_count < self._max_arrivals

    def record_arrival(self, placed: Placed) -> None:
        """Count an attempt whose target may run the request; each attempt counts once."""
        self.may_have_run = True
        if any(counted is placed for counted in self._counted):
            return
        self._counted.append(placed)
        self.arrived_count += 1
        self._exclude(placed)

    def record_failure(self, placed: Placed, error: SendError) -> None:
        """Count a failed attempt."""
        self.may_have_run = self.may_have_run or error.may_have_run
        if any(counted is placed for counted in self._counted):
            return
        self._counted.append(placed)
        if error.may_have_arrived:
            self.arrived_count += 1
        else:
            self._unsent_count += 1
        self._exclude(placed)

    def _exclude(self, placed: Placed) -> None:
        self.excluded = [*self.excluded, placed.target][-_MAX_EXCLUDED:]

    def allows_retry(self, error: SendError) -> bool:
        """Return whether the request may be sent again after a failed attempt."""
        if not error.may_have_arrived:
            return self.can_send
        if not error.may_have_run and not self.may_have_run:
            return self.arrived_count < self._max_arrivals
        return self.can_repeat
