"""Tell the keepers which versions of the targets' software began streams, and ask for it."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.errors import TroutstandError
from troutstand.core.rollouts.state import find_rollout
from troutstand.core.rollouts.versionwatch import RETENTION_S, VersionWatch
from troutstand.generated.messages import OriginAsk, OriginNews, OriginTold
from troutstand.generated.routing import RoutingRole
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.ids import ProcessId
    from troutstand.core.streamorigins import StreamOrigins
    from troutstand.generated.messages import ListedTarget, OriginGroup
    from troutstand.routing.follower import Follower
    from troutstand.routing.node import RoutingNode
    from troutstand.routing.rolloutcache import RolloutCache

# Joins streams that begin together into one message.
_TELL_DELAY_S = 0.01
_TELL_AGAIN_PERIOD_S = 0.1
# Targets of a version may come and go unseen in a longer time without a current list.
_MAX_LIST_GAP_S = 3.0
# A gateway that has just started opens its links first, while the caller waits.
_MAX_ASK_S = 1.5
_ASK_SHARE = 0.3
_ASK_AGAIN_S = 0.1
# Processes that cannot be reached must not take all of the time.
_ROUND_TIMEOUT_S = 0.4
_UNREAD_LOG_PERIOD_S = 1.0
# Processes that have to agree before the others have answered.
_AGREEING = 2
_MS_PER_S = 1000.0


class OriginSync:
    """Tell the keepers which streams began, while a service has several versions.

    A message may be lost with its link, and a keeper may have been away, so that all that is known
    is told again over each link that is opened anew.

    Parameters
    ----------
    is_mixed
        Returns whether any service has several versions.
    """

    def __init__(
        self,
        node: RoutingNode,
        follower: Follower,
        origins: StreamOrigins,
        is_mixed: Callable[[], bool],
    ) -> None:
        self._node = node
        self._follower = follower
        self._origins = origins
        self._is_mixed = is_mixed
        # The opening of each keeper's link since which all is told over it.
        self._told_since: dict[ProcessId, int] = {}
        # What is still to be told again.
        self._owed: dict[ProcessId, deque[OriginGroup]] = {}
        origins.on_untold = self._schedule

    def set_telling(self, is_telling: bool) -> None:
        """Begin or stop to tell of each stream that this process places."""
        self._origins.set_telling(is_telling and self._is_mixed())

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_later(_TELL_DELAY_S, self._send)

    def _send(self) -> None:
        for group in self._origins.drain_untold():
            for keeper in self._follower.list_keepers():
                self._node.send(keeper, OriginNews([group]))

    async def run(self) -> None:
        """Tell again what keepers may have missed, until cancelled."""
        while True:
            await asyncio.sleep(_TELL_AGAIN_PERIOD_S)
            self.tell_again()

    def tell_again(self) -> None:
        """Send each keeper that may have missed something the next part of what is known."""
        is_mixed = self._is_mixed()
        for keeper in self._follower.list_keepers():
            opening = self._node.count_openings(keeper)
            if not opening:
                continue
            if not is_mixed:
                self._owed.pop(keeper, None)
            elif self._told_since.get(keeper) != opening:
                self._owed[keeper] = deque(self._origins.list_groups())
            self._told_since[keeper] = opening
            if owed := self._owed.get(keeper):
                self._node.send(keeper, OriginNews([owed.popleft()]))


@dataclass(frozen=True)
class KnownOrigin:
    """Name the version that a resumed stream needs, None for any, and how it was learnt."""

    software_version: str | None
    source: str


@dataclass(frozen=True)
class UnknownOrigin:
    """Say why the version that began a stream is not known, and whether that may still change."""

    reason: str
    is_final: bool


@dataclass(frozen=True)
class _Answer:
    """Hold what a process told, and when it was asked."""

    told: OriginTold
    asked_s: float


@dataclass
class _Answers:
    """Collect what processes tell of a stream."""

    unanswered: int
    versions: set[str] = field(default_factory=set)
    # The versions that schedulers list, and the latest time at which one began to read its list.
    listed: set[str] = field(default_factory=set)
    listed_s: float = float("-inf")
    _telling: int = 0

    def add(self, answer: _Answer | None) -> None:
        """Add one answer; None if the process gave none."""
        if answer is None:
            return
        self.unanswered -= 1
        told = answer.told
        if told.software_version is not None:
            self._telling += 1
            self.versions.add(told.software_version)
        if told.list_age_ms >= 0:
            self.listed.update(told.versions)
            self.listed_s = max(self.listed_s, answer.asked_s - told.list_age_ms / _MS_PER_S)

    @property
    def are_agreed(self) -> bool:
        """Return whether several processes name the same version, and none another one."""
        return self._telling >= _AGREEING and len(self.versions) == 1


class OriginFinder:
    """Find the version that began a stream which a caller resumes at this gateway.

    Others may have read a newer list and begun streams at a version that this process does not
    know. So the only version that it knows is taken for a stream's own only once a list that was
    read after the caller's request arrived names no other.

    Parameters
    ----------
    list_targets
        Returns the list of targets.
    request_list
        Called when this process should read the list, if it reads it itself.
    """

    def __init__(
        self,
        node: RoutingNode,
        follower: Follower,
        origins: StreamOrigins,
        list_targets: Callable[[], list[ListedTarget]],
        request_list: Callable[[], None],
    ) -> None:
        self._node = node
        self._follower = follower
        self._origins = origins
        self._list_targets = list_targets
        self._request_list = request_list
        self._watch = VersionWatch()
        # When the list of targets was last known to be current, and since when without a gap.
        self._confirmed_s = float("-inf")
        self._watched_since_s = float("inf")
        # When this process last began to read the list itself.
        self._read_s = float("-inf")
        self._has_read = asyncio.Event()
        self._unread_logged_s = float("-inf")

    @property
    def is_mixed(self) -> bool:
        """Return whether any service has several versions."""
        return self._watch.is_mixed(read_clock_s())

    def confirm_list(self) -> None:
        """Record the versions of the list of targets, which is current."""
        now_s = read_clock_s()
        if now_s - self._confirmed_s > _MAX_LIST_GAP_S:
            self._watched_since_s = now_s
        self._confirmed_s = now_s
        self._watch.update(self._list_targets(), now_s)

    def record_read(self, began_s: float) -> None:
        """Record the list of targets that this process began to read at a time."""
        self.confirm_list()
        self._read_s = began_s
        self._has_read.set()
        self._has_read = asyncio.Event()

    async def find(
        self, service: str, stream: str, remaining_s: float
    ) -> KnownOrigin | UnknownOrigin:
        """Return the version that began a stream of a service.

        Parameters
        ----------
        stream
            The request that brought the stream's first event; empty if its caller names none.
        remaining_s
            Time to the request's deadline, a part of which may pass.
        """
        version = self._origins.find(stream)
        if version is not None:
            return KnownOrigin(version, "own")
        arrived_s = read_clock_s()
        end_s = arrived_s + min(_MAX_ASK_S, _ASK_SHARE * remaining_s)
        while True:
            found = await self._find_once(service, stream, arrived_s, end_s)
            is_over = read_clock_s() + _ASK_AGAIN_S >= end_s
            if isinstance(found, KnownOrigin) or found.is_final or is_over:
                return found
            await asyncio.sleep(_ASK_AGAIN_S)

    async def _find_once(
        self, service: str, stream: str, arrived_s: float, end_s: float
    ) -> KnownOrigin | UnknownOrigin:
        if self._read_s < arrived_s:
            self._request_list()
        timeout_s = min(_ROUND_TIMEOUT_S, end_s - read_clock_s())
        answers = await self._ask_all(service, stream, arrived_s, timeout_s)
        if len(answers.versions) == 1:
            return KnownOrigin(answers.versions.pop(), "peers")
        only = self._find_only_version(service, answers, arrived_s)
        if only is not None:
            return KnownOrigin(only, "only version")
        listed = self._list_candidates(service, read_clock_s()) | answers.listed
        is_mixed, names = len(listed) > 1, ",".join(sorted(listed))
        if not stream:
            return UnknownOrigin(f"the request names no stream; versions={names}", is_mixed)
        told = ",".join(sorted(answers.versions))
        reason = f"versions={names} told={told} unanswered={answers.unanswered}"
        is_final = bool(answers.versions) or (is_mixed and not answers.unanswered)
        return UnknownOrigin(reason, is_final)

    def _find_only_version(self, service: str, answers: _Answers, arrived_s: float) -> str | None:
        """Return the version that began a stream if no other one can have, or None."""
        now_s = read_clock_s()
        if answers.versions or not self._is_certain(now_s):
            return None
        if max(self._read_s, answers.listed_s) < arrived_s:
            return None
        candidates = self._list_candidates(service, now_s) | answers.listed
        return candidates.pop() if len(candidates) == 1 else None

    def _list_candidates(self, service: str, now_s: float) -> set[str]:
        """Return the versions that may have begun streams which are still resumed."""
        candidates = self._watch.list_recent(service, now_s)
        entry = find_rollout(self._rollouts.book, service)
        if entry is not None and not self._is_watch_complete(now_s):
            candidates.update(v for v in (entry.in_force, *entry.versions) if v)
        return candidates

    def _is_certain(self, now_s: float) -> bool:
        """Return whether no other version can have begun a stream unseen."""
        if now_s - self._confirmed_s > _MAX_LIST_GAP_S:
            return False
        return self._is_watch_complete(now_s) or self._rollouts.is_leased(now_s)

    def _is_watch_complete(self, now_s: float) -> bool:
        """Return whether lists were read without a gap for as long as streams may be resumed."""
        return now_s - self._watched_since_s >= RETENTION_S

    @property
    def _rollouts(self) -> RolloutCache:
        return self._follower.rollouts

    async def _ask_all(
        self, service: str, stream: str, arrived_s: float, timeout_s: float
    ) -> _Answers:
        """Ask each process once, until some agree or this process itself is sure."""
        schedulers = self._node.contacts.list_by_role(RoutingRole.scheduler.value)
        processes = [*schedulers, *self._follower.list_keepers()]
        answers = _Answers(len(processes))
        ask = OriginAsk(stream, service)
        asking = {asyncio.create_task(self._ask(p, ask, timeout_s)) for p in processes}
        reading = asyncio.create_task(self._has_read.wait())
        pending = set(asking)
        try:
            while pending and not answers.are_agreed:
                done, _ = await asyncio.wait(
                    {*pending, reading}, return_when=asyncio.FIRST_COMPLETED
                )
                for task in [task for task in pending if task in done]:
                    pending.remove(task)
                    answers.add(task.result())
                if reading in done:
                    if self._find_only_version(service, answers, arrived_s) is not None:
                        break
                    reading = asyncio.create_task(self._has_read.wait())
        finally:
            for task in (*asking, reading):
                task.cancel()
        return answers

    async def _ask(self, process: ProcessId, ask: OriginAsk, timeout_s: float) -> _Answer | None:
        asked_s = read_clock_s()
        try:
            reply = await self._node.ask(process, ask, timeout_s)
        except TroutstandError as error:
            self._log_unread(process, error)
            return None
        return _Answer(reply, asked_s) if isinstance(reply, OriginTold) else None

    def _log_unread(self, process: ProcessId, error: TroutstandError) -> None:
        """Log that a process did not answer, at most once per log period."""
        now_s = read_clock_s()
        if now_s - self._unread_logged_s < _UNREAD_LOG_PERIOD_S:
            return
        self._unread_logged_s = now_s
        self._node.events.emit(
            "stream_origin_unread", code=error.code, peer=process, detail=error.detail
        )
