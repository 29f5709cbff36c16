"""Count the attempts of one request and decide whether another one is allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.generated.messages import Ending

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
        self._last_failed: Placed | None = None
        self._is_exhausted = False

    @property
    def can_repeat(self) -> bool:
        """Return whether the request may run again."""
        return self._is_repeatable and self.arrived_count < self._max_arrivals

    @property
    def can_repeat_after_next(self) -> bool:
        """Return whether the request may run again if the next attempt fails."""
        return self._is_repeatable and self.arrived_count + 1 < self._max_arrivals

    def record_failure(self, placed: Placed, error: SendError) -> None:
        """Count a failed attempt; one that was overdue and then failed counts once."""
        self.may_have_run = self.may_have_run or error.may_have_run
        if placed is self._last_failed:
            # No other target was found while the response was overdue.
            self._is_exhausted = error.ending is Ending.silent
            return
        self._last_failed = placed
        if error.may_have_arrived:
            self.arrived_count += 1
        else:
            self._unsent_count += 1
        self.excluded = [*self.excluded, placed.target][-_MAX_EXCLUDED:]

    def allows_retry(self, error: SendError) -> bool:
        """Return whether the request may be sent again after a failed attempt."""
        if self._is_exhausted:
            return False
        if not error.may_have_arrived:
            return self._unsent_count <= _MAX_UNSENT_ATTEMPTS
        if not error.may_have_run and not self.may_have_run:
            return self.arrived_count < self._max_arrivals
        return self.can_repeat
