"""Comparison of target incarnations by their start times."""

from __future__ import annotations


def is_same_incarnation(known_ms: int, reported_ms: int) -> bool:
    """Return whether two start times may belong to one incarnation; 0 means unknown.

    They are only compared for equality, since the target's clock may have jumped.
    """
    return not known_ms or not reported_ms or known_ms == reported_ms
