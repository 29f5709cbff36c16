"""Change the rollout book: which version of each service serves, and which is on trial.

The book is one of the lines that the keepers decide. Each function returns the next
book, or the same one where nothing changes, so that a repeated order does no harm.
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

# Which states an order may go to from each state.
_FOLLOWING = {
    RolloutState.in_progress: (RolloutState.switching, RolloutState.rolled_back),
    RolloutState.switching: (RolloutState.completed, RolloutState.rolled_back),
    RolloutState.completed: (),
    RolloutState.rolled_back: (),
}
_MOST_REJECTED = 1000


@dataclass(frozen=True)
class RolloutRequest:
    """Ask for a service to be moved to a version within some seconds."""

    service: str
    version: str
    duration_s: float


def is_active(rollout: ServiceRollout | None) -> bool:
    """Tell whether an order is under way."""
    if rollout is None or rollout.order is None:
        return False
    return rollout.order.state in (RolloutState.in_progress, RolloutState.switching)


def find_rollout(book: RolloutBook, service: str) -> ServiceRollout | None:
    """Return what the book says of a service."""
    return next((entry for entry in book.services if entry.service == service), None)


def begin(book: RolloutBook, ask: RolloutRequest, number: int, now_s: float) -> RolloutBook:
    """Take an order; one that was taken already changes nothing.

    Parameters
    ----------
    number
        The number that the next book gets.
    now_s
        The time of day, in seconds.

    Raises
    ------
    TroutstandError
        ROLLOUT_UNDER_WAY where another order for the service is under way.
    """
    held = find_rollout(book, ask.service) or ServiceRollout(ask.service)
    if held.order is not None and _is_repeated(held.order, ask):
        return book
    if held.order is not None and is_active(held):
        detail = (
            f"service {ask.service!r} is moved to {held.order.version!r}: wait until that has ended"
        )
        raise TroutstandError(ResultCode.ROLLOUT_UNDER_WAY, detail)
    is_there = held.in_force == ask.version
    state = RolloutState.completed if is_there else RolloutState.in_progress
    order = RolloutOrder(number, ask.version, ask.duration_s, now_s, state)
    rejected = [version for version in held.rejected if version != ask.version]
    return _put(book, msgspec.structs.replace(held, order=order, rejected=rejected))


def _is_repeated(order: RolloutOrder, ask: RolloutRequest) -> bool:
    return order.version == ask.version and order.duration_s == ask.duration_s


def advance(
    book: RolloutBook, service: str, number: int, state: RolloutState, detail: str
) -> RolloutBook:
    """Take an order to its next state; one that cannot go there stays as it is."""
    held = find_rollout(book, service)
    if held is None or held.order is None or held.order.number != number:
        return book
    if state not in _FOLLOWING[held.order.state]:
        return book
    order = msgspec.structs.replace(held.order, state=state, detail=detail)
    changed = msgspec.structs.replace(held, order=order)
    match state:
        case RolloutState.completed:
            changed = msgspec.structs.replace(changed, in_force=order.version)
        case RolloutState.rolled_back:
            rejected = [v for v in held.rejected if v != order.version]
            rejected = [*rejected, order.version][-_MOST_REJECTED:]
            changed = msgspec.structs.replace(changed, rejected=rejected)
        case _:
            pass
    return _put(book, changed)


def abort(book: RolloutBook, service: str) -> RolloutBook:
    """Roll the order under way back, as an operator wishes.

    Raises
    ------
    TroutstandError
        ROLLOUT_UNKNOWN where no order is under way.
    """
    held = find_rollout(book, service)
    if held is None or held.order is None or not is_active(held):
        detail = f"service {service!r} has no rollout under way"
        raise TroutstandError(ResultCode.ROLLOUT_UNKNOWN, detail)
    return advance(book, service, held.order.number, RolloutState.rolled_back, "by the operator")


def record_versions(book: RolloutBook, seen: Iterable[ServiceRollout]) -> RolloutBook:
    """Note which version serves, for services of which that is not known yet."""
    for entry in seen:
        held = find_rollout(book, entry.service) or ServiceRollout(entry.service)
        ordered = held.order.version if held.order is not None else ""
        if held.in_force or not entry.in_force or entry.in_force == ordered:
            continue
        book = _put(book, msgspec.structs.replace(held, in_force=entry.in_force))
    return book


def _put(book: RolloutBook, changed: ServiceRollout) -> RolloutBook:
    others = [entry for entry in book.services if entry.service != changed.service]
    return RolloutBook(sorted([*others, changed], key=lambda entry: entry.service))
