"""Tell the keepers which versions of the targets' software began streams, and ask for it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.errors import TroutstandError
from troutstand.core.rollouts.state import find_rollout
from troutstand.core.rollouts.versionwatch import VersionWatch
from troutstand.generated.messages import OriginAsk, OriginNews, OriginTold
from troutstand.generated.routing import RoutingRole
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.ids import ProcessId
    from troutstand.core.streamorigins import StreamOrigins
    from troutstand.generated.messages import ListedTarget
    from troutstand.routing.follower import Follower
    from troutstand.routing.node import RoutingNode
    from troutstand.routing.rolloutcache import RolloutCache

# Joins streams that begin together into one message; shorter than the time to a first event, so
# that the keepers know of a stream before its caller does.
_TELL_DELAY_S = 0.01
# A version of an older list may have been replaced meanwhile.
_LIST_MAX_AGE_S = 3.0
# A gateway that has just started opens its links first, while the caller waits.
_MAX_ASK_S = 1.5
_ASK_SHARE = 0.3
_ASK_AGAIN_S = 0.1
_UNREAD_LOG_PERIOD_S = 1.0
# Processes that have to agree before the others have answered.
_AGREEING = 2


class OriginSync:
    """Tell the keepers which streams began, while a service has several versions."""

    def __init__(self, node: RoutingNode, follower: Follower, origins: StreamOrigins) -> None:
        self._node = node
        self._follower = follower
        self._origins = origins
        origins.on_untold = self._schedule

    def set_mixed(self, is_mixed: bool) -> None:
        """Begin or stop to tell, by whether a service has several versions."""
        self._origins.set_telling(is_mixed)

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_later(_TELL_DELAY_S, self._send)

    def _send(self) -> None:
        groups = self._origins.drain_untold()
        if not groups:
            return
        for keeper in self._follower.list_keepers():
            self._node.send(keeper, OriginNews(groups))


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


@dataclass
class _Answers:
    """Collect what processes tell of a stream."""

    unanswered: int
    versions: set[str] = field(default_factory=set)
    _telling: int = 0

    def add(self, told: OriginTold | None) -> None:
        """Add one answer; None if the process gave none."""
        if told is None:
            return
        self.unanswered -= 1
        if told.software_version is not None:
            self._telling += 1
            self.versions.add(told.software_version)

    @property
    def are_agreed(self) -> bool:
        """Return whether several processes name the same version, and none another one."""
        return self._telling >= _AGREEING and len(self.versions) == 1


class OriginFinder:
    """Find the version that began a stream which a caller resumes at this gateway."""

    def __init__(
        self,
        node: RoutingNode,
        follower: Follower,
        origins: StreamOrigins,
        list_targets: Callable[[], list[ListedTarget]],
    ) -> None:
        self._node = node
        self._follower = follower
        self._origins = origins
        self._list_targets = list_targets
        self._watch = VersionWatch()
        # When the list of targets was last known to be current.
        self._confirmed_s = float("-inf")
        self._unread_logged_s = float("-inf")

    @property
    def is_mixed(self) -> bool:
        """Return whether any service has several versions."""
        return self._watch.is_mixed(read_clock_s())

    def confirm_list(self) -> None:
        """Record the versions of the list of targets, which is current."""
        self._confirmed_s = read_clock_s()
        self._watch.update(self._list_targets(), self._confirmed_s)

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
        end_s = read_clock_s() + min(_MAX_ASK_S, _ASK_SHARE * remaining_s)
        while True:
            found = await self._find_once(service, stream, end_s)
            is_over = read_clock_s() + _ASK_AGAIN_S >= end_s
            if isinstance(found, KnownOrigin) or found.is_final or is_over:
                return found
            await asyncio.sleep(_ASK_AGAIN_S)

    async def _find_once(
        self, service: str, stream: str, end_s: float
    ) -> KnownOrigin | UnknownOrigin:
        now_s = read_clock_s()
        candidates = self._list_candidates(service, now_s)
        if len(candidates) == 1 and self._is_certain(now_s):
            return KnownOrigin(candidates.pop(), "only version")
        is_mixed, listed = len(candidates) > 1, ",".join(sorted(candidates))
        if not stream:
            return UnknownOrigin(f"the request names no stream; versions={listed}", is_mixed)
        answers = await self._ask_all(stream, end_s - now_s)
        if len(answers.versions) == 1:
            return KnownOrigin(answers.versions.pop(), "peers")
        told = ",".join(sorted(answers.versions))
        reason = f"versions={listed} told={told} unanswered={answers.unanswered}"
        is_final = bool(answers.versions) or (is_mixed and not answers.unanswered)
        return UnknownOrigin(reason, is_final)

    def _list_candidates(self, service: str, now_s: float) -> set[str]:
        """Return the versions that may have begun streams which are still resumed."""
        candidates = self._watch.list_recent(service, now_s)
        entry = find_rollout(self._rollouts.book, service)
        if entry is not None and not self._watch.is_complete(now_s):
            candidates.update(v for v in (entry.in_force, *entry.versions) if v)
        return candidates

    def _is_certain(self, now_s: float) -> bool:
        """Return whether no other version can have begun a stream unseen."""
        if now_s - self._confirmed_s > _LIST_MAX_AGE_S:
            return False
        return self._watch.is_complete(now_s) or self._rollouts.is_leased(now_s)

    @property
    def _rollouts(self) -> RolloutCache:
        return self._follower.rollouts

    async def _ask_all(self, stream: str, timeout_s: float) -> _Answers:
        """Ask each process once; those that are slow are left once others agree."""
        schedulers = self._node.contacts.list_by_role(RoutingRole.scheduler.value)
        processes = [*schedulers, *self._follower.list_keepers()]
        answers = _Answers(unanswered=len(processes))
        asking = [asyncio.create_task(self._ask(p, stream, timeout_s)) for p in processes]
        try:
            for asked in asyncio.as_completed(asking):
                answers.add(await asked)
                if answers.are_agreed:
                    break
        finally:
            for task in asking:
                task.cancel()
        return answers

    async def _ask(self, process: ProcessId, stream: str, timeout_s: float) -> OriginTold | None:
        try:
            reply = await self._node.ask(process, OriginAsk(stream), timeout_s)
        except TroutstandError as error:
            self._log_unread(process, error)
            return None
        return reply if isinstance(reply, OriginTold) else None

    def _log_unread(self, process: ProcessId, error: TroutstandError) -> None:
        """Log that a process did not answer, at most once per log period."""
        now_s = read_clock_s()
        if now_s - self._unread_logged_s < _UNREAD_LOG_PERIOD_S:
            return
        self._unread_logged_s = now_s
        self._node.events.emit(
            "stream_origin_unread", code=error.code, peer=process, detail=error.detail
        )
