"""Share service between workspaces by weighted virtual time.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each request gets a start tag, and
the least tag goes first. A workspace that asks for less than its share has tags near the
virtual time, and one that floods has tags far ahead of it. A workspace that comes back from
idleness starts at the virtual time, without credit for having been away. Nothing is held
back while room is free.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Shares:
    """Follow what each workspace was given, in seconds of service for a weight of 1."""

    virtual_time_s: float = 0.0
    _given_s: dict[str, float] = field(default_factory=dict)

    def advance_idle(self, workspace: str) -> None:
        """Bring a workspace that was idle up to the virtual time."""
        self._given_s[workspace] = max(self._given_s.get(workspace, 0.0), self.virtual_time_s)

    def get_start_tag(self, workspace: str) -> float:
        """Return the start tag of a workspace's next request."""
        return self._given_s.get(workspace, self.virtual_time_s)

    def charge(self, workspace: str, amount_s: float) -> float:
        """Charge service that is divided by the weight already; return its start tag."""
        start_s = self.get_start_tag(workspace)
        self._given_s[workspace] = start_s + amount_s
        return start_s

    def refund(self, workspace: str, amount_s: float) -> None:
        """Take back a charge, or a part of it, for service that was not given."""
        self._given_s[workspace] = self.get_start_tag(workspace) - amount_s

    def advance_virtual_time(self, start_s: float) -> None:
        """Move the virtual time on to the start tag of a request that gets its slot."""
        self.virtual_time_s = max(self.virtual_time_s, start_s)

    def list_leads(self) -> dict[str, float]:
        """Return the workspaces that are ahead of the virtual time, and by how many seconds."""
        passed_s = self.virtual_time_s
        return {name: s - passed_s for name, s in self._given_s.items() if s > passed_s}

    def drop_idle(self) -> None:
        """Drop the workspaces that would be lifted by their next request anyway."""
        ahead = {name: s for name, s in self._given_s.items() if s > self.virtual_time_s}
        self._given_s = ahead
