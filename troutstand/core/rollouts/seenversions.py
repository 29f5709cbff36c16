"""Find what the rollout book lacks of the versions that are listed."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from troutstand.core.rollouts.state import find_rollout, is_active, record_versions
from troutstand.generated.messages import ListedState, SeenVersions, ServiceRollout

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.core.rollouts.versionwatch import VersionWatch
    from troutstand.generated.messages import ListedTarget, RolloutBook

# Time without targets after which a version in force has left; a crashed one may come back.
_LEFT_AFTER_S = 5.0


def list_unreported(
    book: RolloutBook,
    listed: Iterable[ListedTarget],
    watch: VersionWatch,
    delay_s: float,
    now_s: float,
) -> list[SeenVersions]:
    """Return the services whose versions differ from those in the book.

    Parameters
    ----------
    delay_s
        Time for which a version must be listed before it is reported, while another one serves.
    """
    ready: dict[str, Counter[str]] = {}
    for entry in listed:
        if entry.version and entry.state is ListedState.ready:
            ready.setdefault(entry.service, Counter())[entry.version] += 1
    seen = [
        _describe_service(book, service, versions, watch, delay_s, now_s)
        for service, versions in sorted(ready.items())
    ]
    return [one for one in seen if record_versions(book, [one]) is not book]


def _describe_service(
    book: RolloutBook,
    service: str,
    ready: Counter[str],
    watch: VersionWatch,
    delay_s: float,
    now_s: float,
) -> SeenVersions:
    entry = find_rollout(book, service) or ServiceRollout(service)
    is_served = any(version in (entry.in_force, *entry.versions) for version in ready)
    versions = watch.list_settled(service, delay_s if is_served else 0.0, now_s) - {""}
    excluded = set(entry.rejected)
    if entry.order is not None and is_active(entry):
        excluded.add(entry.order.version)
    candidates = Counter({v: n for v, n in ready.items() if v not in excluded})
    in_force = candidates.most_common(1)[0][0] if candidates else ""
    has_left = bool(entry.in_force) and watch.has_left(
        service, entry.in_force, _LEFT_AFTER_S, now_s
    )
    return SeenVersions(
        service,
        sorted(versions),
        watch.is_complete(now_s),
        in_force if has_left or not entry.in_force else "",
        entry.in_force if has_left else "",
    )
