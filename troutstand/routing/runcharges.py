"""Charge the further runs of a gateway's requests to the limits of their workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.limits.quota import WINDOW_MARGIN_S
from troutstand.generated.messages import Acknowledged, ChargeAsk
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from troutstand.core.dispatch import Dispatcher
    from troutstand.core.ids import ProcessId
    from troutstand.generated.messages import RoutedWork
    from troutstand.routing.node import RoutingNode
    from troutstand.routing.placedrequests import PlacedRequests
    from troutstand.routing.usagehandover import UsageHandover

_TIMEOUT_S = 0.3


class RunCharges:
    """Ask for the charge of a run that is not the one for which a request was placed."""

    def __init__(self, node: RoutingNode, placed: PlacedRequests, usage: UsageHandover) -> None:
        self._node = node
        self._placed = placed
        self._usage = usage

    def is_current(self, request: str, target: str) -> bool:
        """Return whether a request may be sent now by the charge that its decider made.

        A charge that was made long ago, as before a suspension of this host, leaves its window
        sooner than the run.
        """
        return self._placed.get_charge_age_s(request, target, read_clock_s()) <= WINDOW_MARGIN_S

    async def charge(
        self, request: str, target: str, decider: ProcessId | Dispatcher, is_repeat: bool
    ) -> bool:
        """Charge a further run of a request; return whether its limits allow it.

        Parameters
        ----------
        is_repeat
            Whether the request has been written before, so that it counts as a retry.
        """
        work = self._placed.find_work(request, target)
        if work is None or (work.charge <= 0 and not is_repeat):
            return True
        if not await self._ask(work, decider, is_repeat):
            return False
        self._placed.record_charge(request, target, read_clock_s())
        return True

    async def _ask(
        self, work: RoutedWork, decider: ProcessId | Dispatcher, is_repeat: bool
    ) -> bool:
        repeated = work if is_repeat else None
        if not isinstance(decider, str):
            now_s = read_clock_s()
            code = decider.charge_resend(work.workspace, work.charge, repeated, now_s)
            return code is ResultCode.OK
        ask = ChargeAsk(work.request, work.workspace, work.charge, repeated)
        try:
            reply = await self._node.ask(decider, ask, _TIMEOUT_S)
        except TroutstandError as error:
            self._node.events.emit(
                "charge_unclear", work.request, code=error.code, peer=decider, detail=error.detail
            )
            return False
        if not isinstance(reply, Acknowledged):
            return False
        self._usage.record_sent(work.workspace, work.charge, read_clock_s())
        return True
