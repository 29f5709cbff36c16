"""Compare what a scheduler believes of its gateways with what they report, and correct it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.runledger import RunLedger, RunMark, get_marks
from troutstand.generated.messages import (
    Abandon,
    Ended,
    FirstByte,
    PathLost,
    Silence,
    TargetNotices,
)

if TYPE_CHECKING:
    from troutstand.core.dispatch import Dispatcher
    from troutstand.core.runledger import LedgerRun, RunKey
    from troutstand.generated.messages import AttachAsk, PeerMessage, Placed, PlacedWork

# Recovered endings that are remembered of a gateway, for the case that they arrive late.
_MAX_RECOVERED = 1000


class StateTable(Enum):
    """Name what a scheduler keeps of a gateway by messages without a reply."""

    ENDED = "ended"
    NOT_RUNNING = "not_running"
    RUNNING = "running"
    FIRST_BYTES = "first_bytes"
    PATH_LOSSES = "path_losses"
    SILENCES = "silences"
    NOTICES = "notices"


_TABLES_BY_MARK = {
    RunMark.FIRST_BYTE: StateTable.FIRST_BYTES,
    RunMark.PATH_LOST: StateTable.PATH_LOSSES,
    RunMark.SILENT: StateTable.SILENCES,
}


@dataclass
class Correction:
    """Count the entries of one table that were corrected.

    Parameters
    ----------
    oldest_s
        Age of the oldest request concerned, or for notices the time since the last agreement.
    """

    table: StateTable
    count: int = 0
    oldest_s: float = 0.0

    def add(self, age_s: float) -> None:
        """Count an entry."""
        self.count += 1
        self.oldest_s = max(self.oldest_s, age_s)


@dataclass
class _Believed:
    """Hold what is believed of one gateway."""

    runs: RunLedger = field(default_factory=RunLedger)
    # Messages with notices since it attached.
    notices: int = 0
    agreed_s: float = float("-inf")
    # Requests whose endings a heartbeat has told.
    recovered: OrderedDict[RunKey, None] = field(default_factory=OrderedDict)

    def record_recovered(self, key: RunKey) -> None:
        """Remember a request whose ending a heartbeat has told."""
        self.recovered[key] = None
        while len(self.recovered) > _MAX_RECOVERED:
            self.recovered.popitem(last=False)


class GatewayStates:
    """Keep the running requests of the gateways and their notices equal to the gateways' own."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._believed: dict[str, _Believed] = {}

    def _get(self, gateway: str) -> _Believed:
        return self._believed.setdefault(gateway, _Believed())

    def start(self, gateway: str, placed: Placed, now_s: float) -> Placed:
        """Record a placement that is sent to a gateway, and return it with its number."""
        believed = self._get(gateway)
        believed.recovered.pop((placed.request, placed.target), None)
        number = believed.runs.start(placed.request, placed.target, now_s)
        return msgspec.structs.replace(placed, number=number)

    def abandon_placement(self, gateway: str, placed: Placed) -> None:
        """Remove a placement that its gateway did not get."""
        self._get(gateway).runs.finish(placed.request, placed.target)

    def record(self, gateway: str, message: PeerMessage) -> None:
        """Record a message of a gateway, which the dispatcher handles as well."""
        runs = self._get(gateway).runs
        match message:
            case FirstByte(request, target):
                runs.set_mark(request, target, RunMark.FIRST_BYTE)
            case PathLost(request, target):
                runs.set_mark(request, target, RunMark.PATH_LOST)
            case Silence(request, target, is_over):
                runs.set_mark(request, target, RunMark.SILENT, not is_over)
                if is_over:
                    runs.set_mark(request, target, RunMark.PATH_LOST, is_set=False)
            case Ended(request, target):
                runs.finish(request, target)
            case Abandon(request, running_at):
                runs.abandon(request, running_at)
            case TargetNotices():
                self._get(gateway).notices += 1
            case _:
                pass

    def is_late(self, gateway: str, ended: Ended) -> bool:
        """Return whether an ending arrives after a heartbeat has told it."""
        return (ended.request, ended.target) in self._get(gateway).recovered

    def count_notices(self, gateway: str) -> int:
        """Return the number of messages with notices that a gateway has sent since it attached."""
        return self._get(gateway).notices

    def drop(self, gateway: str) -> None:
        """Remove what is believed of a gateway that is gone or uses another decider."""
        believed = self._get(gateway)
        believed.runs.clear()
        believed.notices = 0

    def check(self, gateway: str, heartbeat: AttachAsk, replied_s: float, now_s: float) -> bool:
        """Return whether a gateway's heartbeat differs from what is believed of it.

        Parameters
        ----------
        replied_s
            When the reply was sent that the heartbeat answers, -inf if that is unknown.
        """
        if heartbeat.digest is None or not heartbeat.is_attached:
            return False
        believed = self._get(gateway)
        believed.runs.settle(heartbeat.digest.placed, replied_s)
        is_equal = heartbeat.digest.notices == believed.notices
        if is_equal and not believed.runs.is_in_doubt(heartbeat.digest, now_s):
            believed.agreed_s = now_s
            return False
        return True

    def correct(
        self, gateway: str, heartbeat: AttachAsk, replied_s: float, now_s: float
    ) -> list[Correction]:
        """Replace what is believed of a gateway by the state that its heartbeat carries.

        Placements that the gateway cannot know yet are kept. No charge is made or given back
        but for endings which say that the request has not run.
        """
        if heartbeat.digest is None:
            for work in heartbeat.running:
                self._adopt(gateway, work, now_s)
            return []
        believed = self._get(gateway)
        believed.runs.settle(heartbeat.digest.placed, replied_s)
        corrections = {table: Correction(table) for table in StateTable}
        self._release(gateway, heartbeat, corrections, now_s)
        for work in heartbeat.running:
            run = believed.runs.find(work.work.request, work.target)
            if run is not None:
                self._correct_marks(gateway, work, run, corrections, now_s)
                continue
            corrections[StateTable.RUNNING].add(work.elapsed_s)
            self._adopt(gateway, work, now_s)
        if heartbeat.digest.notices != believed.notices:
            corrections[StateTable.NOTICES].add(max(0.0, now_s - max(0.0, believed.agreed_s)))
            believed.notices = heartbeat.digest.notices
        self._dispatcher.apply_notices(gateway, heartbeat.notices, now_s)
        return [correction for correction in corrections.values() if correction.count]

    def _adopt(self, gateway: str, work: PlacedWork, now_s: float) -> None:
        self._get(gateway).runs.adopt(work, now_s)
        self._dispatcher.adopt(work, gateway, now_s)

    def _release(
        self,
        gateway: str,
        heartbeat: AttachAsk,
        corrections: dict[StateTable, Correction],
        now_s: float,
    ) -> None:
        """Remove the requests that the gateway does not run."""
        believed = self._get(gateway)
        runs = believed.runs
        running = {(work.work.request, work.target) for work in heartbeat.running}
        endings = {(ended.request, ended.target): ended for ended in heartbeat.endings}
        for key, run in runs.list_settled().items():
            if key in running:
                continue
            runs.finish(*key)
            ended = endings.get(key)
            table = StateTable.NOT_RUNNING if ended is None else StateTable.ENDED
            corrections[table].add(now_s - run.started_s)
            if ended is None:
                self._dispatcher.release(*key, gateway, now_s)
            else:
                believed.record_recovered(key)
                self._dispatcher.finish(ended, now_s)

    def _correct_marks(
        self,
        gateway: str,
        work: PlacedWork,
        run: LedgerRun,
        corrections: dict[StateTable, Correction],
        now_s: float,
    ) -> None:
        request, target = work.work.request, work.target
        actual = get_marks(work)
        for mark, table in _TABLES_BY_MARK.items():
            is_set = bool(actual & mark)
            if is_set is bool(run.marks & mark):
                continue
            corrections[table].add(now_s - run.started_s)
            self._get(gateway).runs.set_mark(request, target, mark, is_set)
            match mark:
                case RunMark.FIRST_BYTE:
                    # Its time is not known any more.
                    self._dispatcher.record_first_byte(FirstByte(request, target, -1.0), now_s)
                case RunMark.PATH_LOST if is_set:
                    self._dispatcher.mark_path_lost(request, target)
                case RunMark.PATH_LOST:
                    # Data came on the path again.
                    silence = Silence(request, target, is_over=True)
                    self._dispatcher.record_silence(silence, now_s)
                case RunMark.SILENT:
                    silence = Silence(request, target, is_over=not is_set)
                    self._dispatcher.record_silence(silence, now_s)
