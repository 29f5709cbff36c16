"""Track which versions of each service's targets are listed, and since when."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.streamorigins import GENERATION_S
from troutstand.generated.messages import ListedState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import ListedTarget

# As long as the origin of a stream may be remembered.
RETENTION_S = 2.0 * GENERATION_S


@dataclass
class _Sighting:
    """Hold when a version was listed first, and when it left; times in seconds.

    Parameters
    ----------
    others
        Ready targets of other versions when it was listed first.
    """

    first_s: float
    others: int
    left_s: float | None = None


class VersionWatch:
    """Track the versions in the lists that one process has read."""

    def __init__(self) -> None:
        self._began_s: float | None = None
        self._services: dict[str, dict[str, _Sighting]] = {}
        # Ready targets of each service and version in the last list.
        self._ready: dict[str, Counter[str]] = {}

    def update(self, listed: Iterable[ListedTarget], now_s: float) -> None:
        """Apply a list of targets."""
        if self._began_s is None:
            self._began_s = now_s
        present: dict[str, set[str]] = {}
        self._ready = {}
        for entry in listed:
            present.setdefault(entry.service, set()).add(entry.version)
            if entry.state is ListedState.ready:
                self._ready.setdefault(entry.service, Counter())[entry.version] += 1
        for service, versions in present.items():
            sightings = self._services.setdefault(service, {})
            for version in versions:
                others = self._count_others(service, version)
                sightings.setdefault(version, _Sighting(now_s, others)).left_s = None
        for service, sightings in self._services.items():
            self._expire(sightings, present.get(service, set()), now_s)

    def _count_others(self, service: str, version: str) -> int:
        ready = self._ready.get(service, Counter())
        return ready.total() - ready[version]

    def _expire(self, sightings: dict[str, _Sighting], present: set[str], now_s: float) -> None:
        for version, sighting in list(sightings.items()):
            if version in present:
                continue
            if sighting.left_s is None:
                sighting.left_s = now_s
            elif now_s - sighting.left_s > RETENTION_S:
                del sightings[version]

    def is_complete(self, now_s: float) -> bool:
        """Return whether lists were read for as long as streams may be resumed."""
        return self._began_s is not None and now_s - self._began_s >= RETENTION_S

    def list_recent(self, service: str, now_s: float) -> set[str]:
        """Return the versions that are listed, or were while streams of today began."""
        return {
            version
            for version, sighting in self._services.get(service, {}).items()
            if sighting.left_s is None or now_s - sighting.left_s <= RETENTION_S
        }

    def list_settled(self, service: str, delay_s: float, now_s: float) -> set[str]:
        """Return the recent versions that were listed first a time ago, or that replace others.

        A version that waits for an order stands beside the others, which all stay.
        """
        sightings = self._services.get(service, {})
        return {
            version
            for version in self.list_recent(service, now_s)
            if now_s - sightings[version].first_s >= delay_s
            or self._count_others(service, version) < sightings[version].others
        }

    def has_left(self, service: str, version: str, delay_s: float, now_s: float) -> bool:
        """Return whether a version has not been listed for a time."""
        sighting = self._services.get(service, {}).get(version)
        if sighting is not None:
            return sighting.left_s is not None and now_s - sighting.left_s >= delay_s
        return self._began_s is not None and now_s - self._began_s >= delay_s

    def is_mixed(self, now_s: float) -> bool:
        """Return whether any service has several recent versions."""
        return any(len(self.list_recent(service, now_s)) > 1 for service in self._services)
