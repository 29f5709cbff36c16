"""Hold the tiers, workspaces, targets and running requests of one failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.limits.workspaceusage import WorkspaceUsage
from troutstand.core.runningload import RunningLoad
from troutstand.core.targetestimate import Running, TargetEstimate
from troutstand.generated.table import Target, Tier, Workspace

if TYPE_CHECKING:
    from troutstand.core.table import Table
    from troutstand.generated.messages import PlacementAsk


class DomainView:
    """Follow the table and the platform's target list for one failure domain."""

    def __init__(self, failure_domain: str) -> None:
        self.failure_domain = failure_domain
        self.targets: dict[str, TargetEstimate] = {}
        self._tiers: dict[str, Tier] = {}
        self._workspaces: dict[str, WorkspaceUsage] = {}
        self._pools: dict[str, list[TargetEstimate]] = {}
        self._load = RunningLoad()
        self._leaving: frozenset[str] = frozenset()
        self._started_s = float("-inf")

    def update_table(self, table: Table) -> None:
        """Apply a newer version of the table."""
        self._tiers = table.select(Tier)
        self._update_workspaces(table.select(Workspace))
        self._update_targets(table.select(Target))

    def update_leaving(self, names: frozenset[str]) -> None:
        """Apply the set of targets that the platform's list shows as leaving."""
        self._leaving = names
        for name, target in self.targets.items():
            target.update_listed_leaving(name in names)

    def _update_workspaces(self, rows: dict[str, Workspace]) -> None:
        for name, row in rows.items():
            usage = self._workspaces.setdefault(name, WorkspaceUsage(row, self._started_s))
            usage.row = row
        for name in set(self._workspaces) - set(rows):
            del self._workspaces[name]

    def _update_targets(self, rows: dict[str, Target]) -> None:
        own = {n: row for n, row in rows.items() if row.failure_domain == self.failure_domain}
        for name, row in own.items():
            estimate = self.targets.get(name)
            if estimate is None:
                self.targets[name] = TargetEstimate(row, name in self._leaving)
            else:
                estimate.update_row(row)
        for name in set(self.targets) - set(own):
            for run in self.targets.pop(name).running.values():
                self._count_run(run, -1)
        self._pools = {}
        for target in self.targets.values():
            for serves in target.row.serves:
                self._pools.setdefault(serves, []).append(target)

    def _list_usable(self, ask: PlacementAsk) -> list[TargetEstimate]:
        pool = self._pools.get(ask.serves, [])
        excluded = ask.exclude
        return [t for t in pool if not t.is_leaving and t.row.name not in excluded]

    def _has_usable(self, ask: PlacementAsk) -> bool:
        pool = self._pools.get(ask.serves, [])
        return any(not t.is_leaving and t.row.name not in ask.exclude for t in pool)

    def _measure_backoff(self, ask: PlacementAsk, now_s: float) -> float:
        """Return the seconds until the first usable target leaves backoff; 0 if one has."""
        ends = (target.backoff_until_s for target in self._list_usable(ask))
        return max(0.0, min(ends, default=0.0) - now_s)

    def _is_rate_limited(self, ask: PlacementAsk) -> bool:
        """Return whether all usable targets have a rate limit."""
        usable = self._list_usable(ask)
        return bool(usable) and all(target.report.rate_limiter is not None for target in usable)

    def _find_rank(self, ask: PlacementAsk) -> int:
        tier = self._tiers.get(ask.tier)
        return tier.rank if tier else 0

    def _count_run(self, run: Running, change: int) -> None:
        """Add (1) or remove (-1) a granted request for its workspace and its target."""
        usage = self._workspaces.get(run.ask.workspace)
        if usage:
            usage.running += change
        self._load.update(run, change)
