"""Keep what a gateway has told its scheduler of its running requests, and sum it up.

Messages without a reply keep the ledger. A link that closes drops some of them, so the gateway's
heartbeats carry the same sum of what it runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntFlag
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from troutstand.generated.messages import PlacedWork, RunDigest

# Request and target; a request runs at several targets while some are silent.
RunKey = tuple[str, str]

_MODULUS = 1 << 64
_IDENTITY_BYTES = 8
# A scheduler's replies may overtake each other by a few turns of its loop.
_REPLY_MARGIN_S = 0.05
# A placement that its gateway has not got by now is probably lost.
_MAX_UNSETTLED_S = 0.25


class RunMark(IntFlag):
    """Name what a gateway tells of a request that runs."""

    NONE = 0
    FIRST_BYTE = 1
    PATH_LOST = 2
    SILENT = 4


def identify_run(request: str, target: str) -> int:
    """Return the 64-bit identity of a request at a target, equal in all processes."""
    name = f"{request}\0{target}".encode(errors="surrogatepass")
    return int.from_bytes(blake2b(name, digest_size=_IDENTITY_BYTES).digest())


def weigh_run(identity: int, marks: int) -> int:
    """Return a running request's part of the sum."""
    # An odd factor maps different identities to different weights.
    return identity * (2 * marks + 1) % _MODULUS


class RunSum:
    """Sum up running requests independently of their order."""

    def __init__(self) -> None:
        self.total = 0

    def add(self, identity: int, marks: int) -> None:
        """Add a request."""
        self.total = (self.total + weigh_run(identity, marks)) % _MODULUS

    def remove(self, identity: int, marks: int) -> None:
        """Remove a request that was added with the same marks."""
        self.total = (self.total - weigh_run(identity, marks)) % _MODULUS


def get_marks(placed: PlacedWork) -> RunMark:
    """Return what a gateway's full state tells of a request."""
    marks = RunMark.FIRST_BYTE if placed.has_first else RunMark.NONE
    marks |= RunMark.PATH_LOST if placed.is_path_lost else RunMark.NONE
    return marks | (RunMark.SILENT if placed.is_silent else RunMark.NONE)


@dataclass
class LedgerRun:
    """Describe a request that a gateway runs, as far as its scheduler knows."""

    identity: int
    # Number of its placement; 0 if another decider placed it.
    number: int
    started_s: float
    marks: RunMark = RunMark.NONE


class RunLedger:
    """Keep the running requests of one gateway.

    A placement is settled once its gateway has got it, or has got a later reply. Only settled
    ones are compared, since the gateway does not know the others yet.
    """

    def __init__(self) -> None:
        self._runs: dict[RunKey, LedgerRun] = {}
        # In the order of their numbers.
        self._unsettled: dict[RunKey, LedgerRun] = {}
        # Of the settled ones.
        self._sum = RunSum()
        self._last_number = 0

    def start(self, request: str, target: str, now_s: float) -> int:
        """Add a placement that is sent to the gateway, and return its number."""
        self.finish(request, target)
        self._last_number += 1
        run = LedgerRun(identify_run(request, target), self._last_number, now_s)
        self._runs[request, target] = self._unsettled[request, target] = run
        return run.number

    def adopt(self, placed: PlacedWork, now_s: float) -> None:
        """Add a request that the gateway has told of."""
        request, target = placed.work.request, placed.target
        self.finish(request, target)
        marks = get_marks(placed)
        run = LedgerRun(identify_run(request, target), 0, now_s - placed.elapsed_s, marks)
        self._runs[request, target] = run
        self._sum.add(run.identity, run.marks)

    def set_mark(self, request: str, target: str, mark: RunMark, is_set: bool = True) -> None:
        """Set or clear a mark of a request."""
        run = self._runs.get((request, target))
        if run is not None:
            self._set_marks(
                (request, target), run, run.marks | mark if is_set else run.marks & ~mark
            )

    def _set_marks(self, key: RunKey, run: LedgerRun, marks: RunMark) -> None:
        if key not in self._unsettled:
            self._sum.remove(run.identity, run.marks)
            self._sum.add(run.identity, marks)
        run.marks = marks

    def finish(self, request: str, target: str) -> None:
        """Remove a request, if it is known."""
        run = self._runs.pop((request, target), None)
        if run is not None and self._unsettled.pop((request, target), None) is None:
            self._sum.remove(run.identity, run.marks)

    def abandon(self, request: str, running_at: Iterable[str]) -> None:
        """Remove a request at all targets but those where earlier attempts of it go on."""
        kept = frozenset(running_at)
        for found, target in [key for key in self._runs if key[0] == request]:
            if target not in kept:
                self.finish(found, target)

    def clear(self) -> None:
        """Remove all requests of a gateway that uses another decider."""
        self._runs.clear()
        self._unsettled.clear()
        self._sum = RunSum()

    def settle(self, placed: int, replied_s: float) -> None:
        """Settle the placements that the gateway has got, or has got a later reply than.

        Parameters
        ----------
        placed
            Highest number of a placement that the gateway has got.
        replied_s
            When the reply was sent that the gateway answers, -inf if that is unknown.
        """
        while self._unsettled:
            key, run = next(iter(self._unsettled.items()))
            if run.number > placed and run.started_s > replied_s - _REPLY_MARGIN_S:
                return
            del self._unsettled[key]
            self._sum.add(run.identity, run.marks)

    def is_in_doubt(self, digest: RunDigest, now_s: float) -> bool:
        """Return whether the gateway may run other requests than this ledger holds."""
        oldest = next(iter(self._unsettled.values()), None)
        is_overdue = oldest is not None and now_s - oldest.started_s > _MAX_UNSETTLED_S
        return is_overdue or self._sum.total != digest.total

    def find(self, request: str, target: str) -> LedgerRun | None:
        """Return a request at a target, or None if it is unknown."""
        return self._runs.get((request, target))

    def list_settled(self) -> dict[RunKey, LedgerRun]:
        """Return the settled requests."""
        return {key: run for key, run in self._runs.items() if key not in self._unsettled}

    def list_keys(self) -> list[RunKey]:
        """Return the requests and their targets, settled or not."""
        return list(self._runs)
