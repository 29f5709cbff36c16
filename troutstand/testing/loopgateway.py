"""Run the callers' side of one gateway in this process, with a fixed target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.core.configuration import RouteTable
from troutstand.generated.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RoutedService,
    RouteKind,
    WeightedService,
)
from troutstand.generated.messages import Ended, Placed, TargetNotice
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.routing.dialect import Dialect
from troutstand.routing.gateway import Gateway
from troutstand.routing.relay import Sender
from troutstand.testing.ports import pick_ports
from troutstand.testing.routedsite import LINK_KEY_HEX

if TYPE_CHECKING:
    from troutstand.core.selfreport import BlockReason
    from troutstand.generated.messages import RoutedWork

HOST = "one.example"
_IP = "127.0.0.1"
_TIMEOUT_MS = 20000
_PAUSE_MS = 200
_OBJECTIVE_MS = 5000


class FixedPlacement:
    """Stand for the placement of a gateway: place every request at one target.

    Parameters
    ----------
    address
        Address of the target; requests wait forever if it is empty.
    """

    decider = "fixed"

    def __init__(self, address: str) -> None:
        self.ended: list[Ended] = []
        self._address = address

    async def place(self, work: RoutedWork) -> Placed:
        """Place a request at the target."""
        if not self._address:
            await asyncio.get_running_loop().create_future()
        return Placed(work.request, "t1", self._address)

    def finish(self, ended: Ended) -> None:
        """Keep how an attempt ended."""
        self.ended.append(ended)

    def record_first_byte(
        self, request: str, target: str, software_version: str, first_s: float
    ) -> None:
        """Ignore the time to the first byte."""

    def report_silence(self, request: str, target: str, is_over: bool) -> None:
        """Ignore the silence of a target."""

    def report_path_lost(self, request: str, target: str) -> None:
        """Ignore a lost path."""

    async def confirm_charge(self, request: str, target: str) -> bool:
        """Allow every run."""
        return True

    async def charge_resend(self, request: str, target: str) -> bool:
        """Allow every further run."""
        return True

    def get_block_reason(self, placed: Placed) -> BlockReason | None:
        """Allow every request."""
        return None

    def handle_notice(self, request: str, notice: TargetNotice, sent_s: float) -> None:
        """Ignore the notices of targets."""


class LoopGateway(Gateway):
    """Serve callers on loopback with one route of each kind, without links to other processes.

    Parameters
    ----------
    target
        Address of the target; requests wait for one if it is empty.
    """

    def __init__(self, target: str, stop_s: float = 8.0) -> None:
        first_port, callers_port = pick_ports(2)
        settings = RoutingSettings(
            site="test",
            host="gateway",
            failure_domain="north",
            role=RoutingRole.gateway,
            ip=_IP,
            first_port=first_port,
            link_key_hex=LINK_KEY_HEX,
            seeds=[],
            callers=f"{_IP}:{callers_port}",
            stop_s=stop_s,
        )
        super().__init__(settings, Dialect())
        self.fixed = FixedPlacement(target)
        self.placement = self.fixed  # type: ignore[assignment]
        self.sender = Sender(self.pool, self.dialect.headers, self.fixed)
        self.follower.table = RouteTable(_make_configuration())

    async def start(self) -> None:
        """Accept callers."""
        await self._listen_callers()

    async def close(self) -> None:
        """Stop without the drain of a planned stop."""
        for runner in self._runners:
            await runner.cleanup()
        self.pool.close()


def _make_configuration() -> Configuration:
    routes = [
        Route(
            name=kind.value,
            host=HOST,
            prefix=f"/{kind.value}/",
            kind=kind,
            timeout_ms=_TIMEOUT_MS,
            split=[WeightedService("work", 1.0)],
            objective_ms=_OBJECTIVE_MS,
            pause_ms=_PAUSE_MS,
            attempts=2,
            resumable=kind is RouteKind.streaming,
        )
        for kind in RouteKind
    ]
    return Configuration(
        version=1,
        limits=CallerLimits(),
        routes=routes,
        services=[RoutedService("work")],
        workspaces=[],
    )


def encode_call(route: RouteKind, request: str, body: bytes = b"", length: int = -1) -> bytes:
    """Encode a caller's request.

    Parameters
    ----------
    length
        Length of the body that the head promises, in bytes; negative for that of `body`.
    """
    lines = [
        f"POST /{route.value}/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request}",
        f"Content-Length: {length if length >= 0 else len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body
