"""Apply state transitions to the rollout book, which the keepers agree on.

Each function returns the changed book, or the same object if nothing changes, so that
callers may retry.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import (
    RolloutBook,
    RolloutOrder,
    RolloutState,
    ServiceRollout,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import SeenVersions

# The states that an order may move to from each state.
_TRANSITIONS = {
    RolloutState.in_progress: (RolloutState.switching, RolloutState.rolled_back),
    RolloutState.switching: (RolloutState.completed, RolloutState.rolled_back),
    RolloutState.completed: (),
    RolloutState.rolled_back: (),
}
_MAX_REJECTED = 1000
_MAX_REPLACED = 1000
_MAX_VERSIONS = 1000


@dataclass(frozen=True)
class RolloutRequest:
    """Request that a service be moved to a version within a duration in seconds."""

    service: str
    version: str
    duration_s: float


def is_active(rollout: ServiceRollout | None) -> bool:
    """Tell whether a rollout is in progress or switching."""
    if rollout is None or rollout.order is None:
        return False
    return rollout.order.state in (RolloutState.in_progress, RolloutState.switching)


def find_rollout(book: RolloutBook, service: str) -> ServiceRollout | None:
    """Return a service's entry in the book."""
    return next((entry for entry in book.services if entry.service == service), None)


def begin(book: RolloutBook, request: RolloutRequest, number: int, now_s: float) -> RolloutBook:
    """Add an order; a repeated request changes nothing.

    Parameters
    ----------
    number
        The version number of the next book, which identifies the order.
    now_s
        The wall-clock time, in seconds.

    Raises
    ------
    TroutstandError
        ROLLOUT_UNDER_WAY if the service has another active order.
    """
    current = find_rollout(book, request.service) or ServiceRollout(request.service)
    if current.order is not None and _is_repeated(current.order, request):
        return book
    if current.order is not None and is_active(current):
        detail = (
            f"service {request.service!r} has an active rollout to {current.order.version!r};"
            " retry after it has ended"
        )
        raise TroutstandError(ResultCode.ROLLOUT_UNDER_WAY, detail)
    is_in_force = current.in_force == request.version
    state = RolloutState.completed if is_in_force else RolloutState.in_progress
    order = RolloutOrder(number, request.version, request.duration_s, now_s, state)
    changed = msgspec.structs.replace(
        current,
        order=order,
        versions=sorted({*current.versions, request.version})[-_MAX_VERSIONS:],
        rejected=[version for version in current.rejected if version != request.version],
        replaced=[version for version in current.replaced if version != request.version],
    )
    return _replace_entry(book, changed)


def _is_repeated(order: RolloutOrder, request: RolloutRequest) -> bool:
    return order.version == request.version and order.duration_s == request.duration_s


def advance(
    book: RolloutBook, service: str, number: int, state: RolloutState, detail: str
) -> RolloutBook:
    """Move an order to a state; return the book unchanged if the transition is not allowed."""
    current = find_rollout(book, service)
    if current is None or current.order is None or current.order.number != number:
        return book
    if state not in _TRANSITIONS[current.order.state]:
        return book
    order = msgspec.structs.replace(current.order, state=state, detail=detail)
    changed = msgspec.structs.replace(current, order=order)
    match state:
        case RolloutState.completed:
            changed = _replace_others(changed, order.version)
        case RolloutState.rolled_back:
            rejected = [v for v in current.rejected if v != order.version]
            rejected = [*rejected, order.version][-_MAX_REJECTED:]
            changed = msgspec.structs.replace(changed, rejected=rejected)
        case _:
            pass
    return _replace_entry(book, changed)


def abort(book: RolloutBook, service: str) -> RolloutBook:
    """Roll back the active order on an operator's request.

    Raises
    ------
    TroutstandError
        ROLLOUT_UNKNOWN if the service has no active order.
    """
    current = find_rollout(book, service)
    if current is None or current.order is None or not is_active(current):
        detail = f"service {service!r} has no active rollout"
        raise TroutstandError(ResultCode.ROLLOUT_UNKNOWN, detail)
    return advance(
        book, service, current.order.number, RolloutState.rolled_back, "aborted by the operator"
    )


def _replace_others(entry: ServiceRollout, version: str) -> ServiceRollout:
    """Put a version in force in place of all others that have served."""
    served = [entry.in_force, *entry.versions]
    others = [v for v in served if v and v != version]
    replaced = list(dict.fromkeys([*entry.replaced, *others]))[-_MAX_REPLACED:]
    return msgspec.structs.replace(entry, in_force=version, replaced=replaced)


def record_versions(book: RolloutBook, found: Iterable[SeenVersions]) -> RolloutBook:
    """Record the versions that are listed, and those in force where the book has none."""
    for seen in found:
        current = find_rollout(book, seen.service) or ServiceRollout(seen.service)
        changed = _record_seen(current, seen)
        if changed != current:
            book = _replace_entry(book, changed)
    return book


def _record_seen(entry: ServiceRollout, seen: SeenVersions) -> ServiceRollout:
    ordered = entry.order.version if entry.order is not None else ""
    may_set = not entry.in_force and seen.in_force != ordered
    # A version that leaves without an order makes room for the one beside it.
    has_left = seen.left != "" and entry.in_force == seen.left and not is_active(entry)
    in_force = seen.in_force if seen.in_force and (may_set or has_left) else entry.in_force
    kept = [] if seen.is_whole else entry.versions
    versions = sorted({*kept, *seen.versions})[-_MAX_VERSIONS:]
    return msgspec.structs.replace(entry, in_force=in_force, versions=versions)


def _replace_entry(book: RolloutBook, changed: ServiceRollout) -> RolloutBook:
    others = [entry for entry in book.services if entry.service != changed.service]
    return RolloutBook(sorted([*others, changed], key=lambda entry: entry.service))
