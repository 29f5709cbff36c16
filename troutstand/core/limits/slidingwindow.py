"""Sum amounts over a sliding time window."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

# Number of equal parts of an exported window.
PART_COUNT = 9
# Amounts within this span share a bucket, which bounds the length of the deque; they
# expire up to this much late.
_BUCKET_SPAN_S = 0.02


@dataclass(slots=True)
class _Bucket:
    """Sum the amounts of one bucket span; times in seconds."""

    first_s: float
    last_s: float
    amount: float


class Expiry(NamedTuple):
    """Tell when an amount leaves a window."""

    at_s: float
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
        if not self._buckets:
            # Drops the rounding errors of the sums.
            self.total = 0.0

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

    def holds(self, added_s: float) -> bool:
        """Return whether an amount that was added at a time may still be in the window."""
        return bool(self._buckets) and self._buckets[0].first_s <= added_s

    def split_off(self, after_s: float) -> SlidingWindow:
        """Move the buckets that end later than a time into a new window, and return it."""
        newer = SlidingWindow(self.length_s)
        while self._buckets and self._buckets[-1].last_s > after_s:
            bucket = self._buckets.pop()
            newer._buckets.appendleft(bucket)
            newer.total += bucket.amount
        self.total -= newer.total
        return newer

    def list_expiries(self, weight: float = 1.0) -> Iterator[Expiry]:
        """Yield when each amount leaves, soonest first, multiplied by a weight."""
        for bucket in self._buckets:
            yield Expiry(bucket.last_s + self.length_s, weight * bucket.amount)

    def export_parts(self, now_s: float) -> list[int]:
        """Return the sums of the window's parts, newest first.

        Sums are rounded up, so that a handover never frees capacity.
        """
        sums = [0.0] * PART_COUNT
        part_s = self.length_s / PART_COUNT
        for bucket in self._buckets:
            age = int((now_s - bucket.last_s) / part_s)
            sums[min(PART_COUNT - 1, max(0, age))] += bucket.amount
        return [max(0, math.ceil(part)) for part in sums]


def spread_evenly(amount: float, length_share: float) -> list[int]:
    """Return the sums of an exported window's parts if its newest share was used evenly."""
    count = max(1, math.ceil(PART_COUNT * min(1.0, length_share)))
    return [math.ceil(amount / count)] * count
