"""Share service between workspaces with start-time fair queueing.

Goyal, Vin and Cheng, 1996: each request gets a start tag, and the request with the smallest
tag is served first. An idle workspace resumes at the virtual time and earns no credit. The
algorithm is work-conserving.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Shares:
    """Track the finish tag of each workspace, in seconds of service at a weight of 1."""

    virtual_time_s: float = 0.0
    _finish_tags_s: dict[str, float] = field(default_factory=dict)

    def advance_idle(self, workspace: str) -> None:
        """Raise the finish tag of an idle workspace to the virtual time."""
        self._finish_tags_s[workspace] = max(
            self._finish_tags_s.get(workspace, 0.0), self.virtual_time_s
        )

    def get_start_tag(self, workspace: str) -> float:
        """Return the start tag of the next request of a workspace."""
        return self._finish_tags_s.get(workspace, self.virtual_time_s)

    def charge(self, workspace: str, amount_s: float) -> float:
        """Charge service, already divided by the weight, and return its start tag."""
        start_s = self.get_start_tag(workspace)
        self._finish_tags_s[workspace] = start_s + amount_s
        return start_s

    def refund(self, workspace: str, amount_s: float) -> None:
        """Refund all or part of a charge for service that was not used."""
        self._finish_tags_s[workspace] = self.get_start_tag(workspace) - amount_s

    def advance_virtual_time(self, start_s: float) -> None:
        """Advance the virtual time to the start tag of a request that starts service."""
        self.virtual_time_s = max(self.virtual_time_s, start_s)

    def list_leads(self) -> dict[str, float]:
        """Return the lead over the virtual time, in seconds, of each workspace that has one."""
        time_s = self.virtual_time_s
        return {
            name: tag_s - time_s for name, tag_s in self._finish_tags_s.items() if tag_s > time_s
        }

    def drop_idle(self) -> None:
        """Drop the workspaces that are not ahead of the virtual time."""
        ahead = {
            name: tag_s
            for name, tag_s in self._finish_tags_s.items()
            if tag_s > self.virtual_time_s
        }
        self._finish_tags_s = ahead
