"""Find out which silent gateways have ended, since nobody uses their shares of the limits."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from troutstand.core.gatewayregistry import ProbeResult
from troutstand.routing.node import parse_address
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from troutstand.core.gatewayregistry import GatewayRegistry
    from troutstand.core.ids import ProcessId
    from troutstand.routing.node import RoutingNode

_PERIOD_S = 0.25
_TIMEOUT_S = 0.2
# Bounds the connections that are open at once.
_MAX_PROBES = 64


class GatewayProbes:
    """Connect to silent gateways: only a host whose process has ended refuses at once.

    A host that is cut off or without power answers nothing; its gateway may decide alone.

    Parameters
    ----------
    get_lease_s
        Returns the seconds of silence after which a gateway may decide alone.
    on_change
        Called when a gateway has ended, or may have started again.
    """

    def __init__(
        self,
        node: RoutingNode,
        gateways: GatewayRegistry,
        get_lease_s: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._node = node
        self._gateways = gateways
        self._get_lease_s = get_lease_s
        self._on_change = on_change
        self._next = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            # A standby scheduler uses no share.
            if not self._gateways.count_attached():
                continue
            silent = self._gateways.list_silent(read_clock_s(), self._get_lease_s())
            if silent:
                await asyncio.gather(*(self._probe(gateway) for gateway in self._choose(silent)))

    def _choose(self, silent: list[ProcessId]) -> list[ProcessId]:
        """Return the gateways of this round, all in turn."""
        start = self._next % len(silent)
        chosen = [*silent[start:], *silent[:start]][:_MAX_PROBES]
        self._next = start + len(chosen)
        return chosen

    async def _probe(self, gateway: ProcessId) -> None:
        state = self._gateways.find(gateway)
        if state is None:
            return
        heard_s = state.last_heard_s
        began_s = read_clock_s()
        result = await self._connect(gateway)
        now_s = read_clock_s()
        if self._gateways.record_probe(gateway, heard_s, result, began_s, now_s):
            self._node.events.emit(
                "gateway_ended" if result is ProbeResult.REFUSED else "gateway_unclear",
                peer=gateway,
                result=result.value,
                silent_s=now_s - heard_s,
            )
            self._on_change()

    async def _connect(self, gateway: ProcessId) -> ProbeResult:
        address = parse_address(gateway)
        bind_ip = self._node.settings.bind_ip
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    address.ip, address.port, local_addr=(bind_ip, 0) if bind_ip else None
                )
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except OSError:
            # Silence, also as TimeoutError, does not tell whether the process has ended.
            return ProbeResult.UNANSWERED
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        return ProbeResult.ACCEPTED
