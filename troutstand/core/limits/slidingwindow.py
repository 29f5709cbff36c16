"""Sum amounts over a sliding time window."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Number of equal parts of an exported window.
PART_COUNT = 9
_THOUSANDTHS = 1000
# Amounts within this span share a bucket, which bounds the length of the deque; they
# expire up to this much late.
_BUCKET_SPAN_S = 0.02


@dataclass(slots=True)
class _Bucket:
    """Sum the amounts of one bucket span; times in seconds."""

    first_s: float
    last_s: float
    amount: float


@dataclass
class SlidingWindow:
    """Sum amounts that expire after the window's length."""

    length_s: float
    total: float = 0.0
    _buckets: deque[_Bucket] = field(default_factory=deque)

    def __len__(self) -> int:
        return len(self._buckets)

    def advance(self, now_s: float) -> None:
        """Drop the expired buckets."""
        while self._buckets and self._buckets[0].last_s <= now_s - self.length_s:
            self.total -= self._buckets.popleft().amount

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        newest = self._buckets[-1] if self._buckets else None
        if newest is not None and newest.first_s <= now_s < newest.first_s + _BUCKET_SPAN_S:
            newest.last_s = max(newest.last_s, now_s)
            newest.amount += amount
        else:
            self._buckets.append(_Bucket(now_s, now_s, amount))
        self.total += amount

    def remove(self, amount: float, added_s: float) -> None:
        """Subtract an amount from the bucket it was added to, so that both expire together."""
        for bucket in reversed(self._buckets):
            if bucket.first_s <= added_s:
                bucket.amount -= amount
                self.total -= amount
                return

    def scale(self, factor: float) -> None:
        """Multiply all amounts by a factor."""
        for bucket in self._buckets:
            bucket.amount *= factor
        self.total *= factor

    def compute_wait(self, amount: float, max_total: float, now_s: float) -> float:
        """Return the seconds until an amount fits within a maximum total."""
        excess = self.total + amount - max_total
        if excess <= 0:
            return 0.0
        for bucket in self._buckets:
            excess -= bucket.amount
            if excess <= 0:
                return max(0.0, bucket.last_s + self.length_s - now_s)
        return self.length_s

    def export_parts(self, unit: float, now_s: float) -> list[int]:
        """Return the sums of the window's parts, newest first, in thousandths of a unit.

        Sums are rounded up, and an import dates a part to its newest time, so that a
        handover never frees capacity.
        """
        sums = [0.0] * PART_COUNT
        part_s = self.length_s / PART_COUNT
        for bucket in self._buckets:
            age = int((now_s - bucket.last_s) / part_s)
            sums[min(PART_COUNT - 1, max(0, age))] += bucket.amount
        return [max(0, math.ceil(_THOUSANDTHS * part / unit)) for part in sums]

    def import_parts(self, parts: Sequence[int], unit: float, now_s: float) -> None:
        """Add the exported parts of another window."""
        part_s = self.length_s / PART_COUNT
        added = [
            _Bucket(now_s - index * part_s, now_s - index * part_s, part * unit / _THOUSANDTHS)
            for index, part in enumerate(parts[:PART_COUNT])
            if part
        ]
        self._buckets = _merge_buckets(sorted([*self._buckets, *added], key=_get_last_s))
        self.total = sum(bucket.amount for bucket in self._buckets)


_get_last_s = attrgetter("last_s")


def _merge_buckets(ordered: list[_Bucket]) -> deque[_Bucket]:
    """Return ordered buckets with those of one bucket span merged."""
    merged: deque[_Bucket] = deque()
    for bucket in ordered:
        newest = merged[-1] if merged else None
        if newest is not None and bucket.last_s < newest.first_s + _BUCKET_SPAN_S:
            newest.last_s = bucket.last_s
            newest.amount += bucket.amount
        else:
            merged.append(bucket)
    return merged
