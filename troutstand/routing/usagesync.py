"""Tell the keepers what was used of the limits, and learn it from them after a start."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from troutstand.core.errors import TroutstandError
from troutstand.core.gatewayregistry import GATEWAY_TIMEOUT_S, compute_gateway_timeout
from troutstand.generated.messages import UsageAsk, UsageNews, UsageTold
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.ids import ProcessId
    from troutstand.core.limits.quota import Quotas
    from troutstand.generated.messages import UsageSnapshot
    from troutstand.routing.follower import Follower
    from troutstand.routing.node import RoutingNode

# Time for which the decider before may still use the same share of the limits, if
# heartbeats are frequent.
TAKEOVER_S = GATEWAY_TIMEOUT_S + 0.1
_PERIOD_S = 0.25
_MIN_PERIOD_S = 0.05
# A message may be lost with its link.
_REPEAT_PERIOD_S = 1.0
# Keeps the messages of large sites rare, since each holds all limits.
_PERIOD_PER_GATEWAY_S = 0.0035
# Part of a limit that may be charged before the keepers are told again.
_MAX_UNTOLD_SHARE = 0.01
# Time in which keepers answer after a start; the process decides nothing before.
_LOAD_TIMEOUT_S = 0.5
_POLL_S = 0.02


def compute_takeover(period_s: float) -> float:
    """Return the seconds for which the decider before may still use the same share."""
    return compute_gateway_timeout(period_s) + TAKEOVER_S - GATEWAY_TIMEOUT_S


@dataclass(frozen=True)
class LoadedUsage:
    """Hold what the keepers told a process that has just started.

    Parameters
    ----------
    is_complete
        Whether a keeper answered that did not start itself within the window.
    absent_s
        Seconds for which no keeper heard from the process before its start; 0 if unknown.
    gateways
        Number of gateways of the site; 0 if unknown.
    """

    is_complete: bool
    usage: list[UsageSnapshot]
    absent_s: float
    gateways: int


async def load_usage(node: RoutingNode, follower: Follower, is_whole: bool) -> LoadedUsage:
    """Return what the keepers know of the usage.

    Waits until the follower has a configuration, since no request is served before, and then for
    the keepers, at most `_LOAD_TIMEOUT_S` after the links are up.

    Parameters
    ----------
    is_whole
        Whether what other gateways counted themselves is needed too.
    """
    started_s = read_clock_s()
    while follower.table is None:
        await asyncio.sleep(_POLL_S)
    asked_s = read_clock_s()
    ask = UsageAsk(node.process, node.incarnation, is_whole)
    replies = await asyncio.gather(*(_ask(node, k, ask) for k in follower.list_keepers()))
    told = [reply for reply in replies if reply is not None]
    loaded = LoadedUsage(
        is_complete=any(not reply.is_restored for reply in told),
        usage=[snapshot for reply in told for snapshot in reply.usage],
        absent_s=min((reply.absent_s for reply in told if reply.absent_s >= 0), default=0.0),
        gateways=max((reply.gateways for reply in told), default=0),
    )
    node.events.emit(
        "limit_usage_loaded",
        keepers=len(told),
        complete=loaded.is_complete,
        sources=len({snapshot.source for snapshot in loaded.usage}),
        absent_s=loaded.absent_s,
        gateways=loaded.gateways,
        configuration_s=asked_s - started_s,
        waited_s=read_clock_s() - asked_s,
    )
    return loaded


async def _ask(node: RoutingNode, keeper: ProcessId, ask: UsageAsk) -> UsageTold | None:
    try:
        reply = await node.ask(keeper, ask, _LOAD_TIMEOUT_S)
    except TroutstandError as error:
        node.events.emit("limit_usage_unread", code=error.code, peer=keeper, detail=error.detail)
        return None
    return reply if isinstance(reply, UsageTold) else None


def should_tell(quotas: Quotas, age_s: float, gateways: int) -> bool:
    """Return whether the keepers should be told of the usage, given when they last were."""
    untold = quotas.get_untold_share()
    if untold >= _MAX_UNTOLD_SHARE:
        period_s = _MIN_PERIOD_S
    else:
        period_s = _PERIOD_S if untold else _REPEAT_PERIOD_S
    return age_s >= max(period_s, _PERIOD_PER_GATEWAY_S * gateways)


class UsageSync:
    """Tell the keepers regularly what a decider counted, so that it outlives the process.

    Parameters
    ----------
    count_gateways
        Returns the number of gateways of the site; the messages get rarer with it.
    """

    def __init__(
        self, node: RoutingNode, follower: Follower, count_gateways: Callable[[], int]
    ) -> None:
        self._node = node
        self._follower = follower
        self._count_gateways = count_gateways
        self._told_s = float("-inf")

    def tell(self, quotas: Quotas, export: Callable[[float], list[UsageSnapshot]]) -> None:
        """Tell the keepers of the usage, if it has grown and the last message is old enough.

        Parameters
        ----------
        export
            Returns the usage at a time.
        """
        now_s = read_clock_s()
        if should_tell(quotas, now_s - self._told_s, self._count_gateways()):
            self._told_s = now_s
            self.send(quotas, export(now_s))

    def send(self, quotas: Quotas, usage: list[UsageSnapshot]) -> None:
        """Tell the keepers of usage now."""
        if not usage:
            return
        news = UsageNews(usage, self._count_gateways())
        for keeper in self._follower.list_keepers():
            self._node.send(keeper, news)
        quotas.mark_told()
