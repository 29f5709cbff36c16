"""Tell one life of a target from another."""

from __future__ import annotations


def is_same_incarnation(known_ms: int, told_ms: int) -> bool:
    """Tell whether two times of start may be of one life; 0 is not told.

    They are compared only: the target's time of day may have jumped.
    """
    return not known_ms or not told_ms or known_ms == told_ms
