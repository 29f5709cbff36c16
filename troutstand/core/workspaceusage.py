"""Hold workspaces to their limits over a failure domain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from troutstand.generated.table import Workspace

# An idle workspace may save up this many seconds of its rate.
BURST_S = 5.0


@dataclass
class WorkspaceUse:
    """Follow one workspace's running requests and tokens.

    A request is charged its estimate when it is submitted; at least one is
    admitted whenever the account is not overdrawn, however large it is.
    """

    row: Workspace
    running: int = 0
    _saved_tokens: float = 0.0
    _saved_at_s: float | None = None

    def is_full(self) -> bool:
        """Tell whether another request must wait for one to end."""
        return 0 < self.row.running_requests <= self.running

    def charge(self, tokens: int, now_s: float) -> float:
        """Charge tokens and return 0, or return in how many seconds to come back."""
        rate = self.row.tokens_per_s
        if rate <= 0:
            return 0.0
        self._save(now_s)
        if self._saved_tokens <= 0:
            return (1 - self._saved_tokens) / rate
        self._saved_tokens -= tokens
        return 0.0

    def _save(self, now_s: float) -> None:
        rate = self.row.tokens_per_s
        most = rate * BURST_S
        if self._saved_at_s is None:
            self._saved_tokens = most
        else:
            earned = (now_s - self._saved_at_s) * rate
            self._saved_tokens = min(most, self._saved_tokens + earned)
        self._saved_at_s = now_s
