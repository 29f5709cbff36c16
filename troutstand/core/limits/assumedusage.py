"""Withdraw usage that a returning gateway assumes, if it is known to have ended meanwhile."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import UsageSnapshot

# A gateway that may have decided alone for longer before its start, cut off from all others,
# may have used its share of the limits without telling anybody.
MAX_RESTART_S = 1.5


def name_continued(source: str) -> str:
    """Return the source of usage that a decider is assumed to have gone on with."""
    return f"{source}.continued"


def name_assumed(source: str) -> str:
    """Return the source of usage that a decider may have added, which takes from the excess."""
    return f"{source}.assumed"


def withdraw_assumed(
    usage: Iterable[UsageSnapshot], source: str, absent_s: float
) -> list[UsageSnapshot]:
    """Return usage in which a decider's assumptions are empty if it cannot have used much.

    The empty snapshots are newer and public, so that they replace all copies.

    Parameters
    ----------
    source
        The decider that assumed usage before its start.
    absent_s
        Seconds before its start for which it may have decided alone.
    """
    if absent_s > MAX_RESTART_S:
        return list(usage)
    names = {name_continued(source), name_assumed(source)}
    return [_empty(u) if u.source in names and u.levels else u for u in usage]


def _empty(snapshot: UsageSnapshot) -> UsageSnapshot:
    number = snapshot.sequence + 1
    return msgspec.structs.replace(snapshot, sequence=number, levels=[], is_private=False)
