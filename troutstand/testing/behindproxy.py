"""Put the processes of a routed site behind proxies that can harm their links."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from troutstand.generated.routing import RoutingRole
from troutstand.testing.faultproxy import FaultProxy
from troutstand.testing.routedsite import FIRST_PORT

if TYPE_CHECKING:
    from troutstand.testing.routedsite import HostProcess, RoutedSite

# Others know a process by the number of its own address and this.
_OFFSET = 100
_LINK_PORTS = {RoutingRole.keeper: FIRST_PORT, RoutingRole.scheduler: FIRST_PORT + 1}


async def put_behind_proxy(process: HostProcess) -> FaultProxy | None:
    """Let others reach a process only through a proxy of its own; none takes no links."""
    settings = process.settings
    net, _, last = settings.bind_ip.rpartition(".")
    known_ip = f"{net}.{int(last) + _OFFSET}"
    process.settings = msgspec.structs.replace(settings, ip=known_ip)
    port = _LINK_PORTS.get(settings.role)
    if port is None:
        return None
    proxy = FaultProxy((known_ip, port), (settings.bind_ip, port))
    await proxy.start()
    return proxy


async def put_all_behind_proxies(site: RoutedSite) -> dict[str, FaultProxy]:
    """Let all processes of a site that is not started reach each other through proxies."""
    proxies: dict[str, FaultProxy] = {}
    for process in site.processes.values():
        proxy = await put_behind_proxy(process)
        if proxy is not None:
            proxies[process.name] = proxy
    keepers = site.list_role(RoutingRole.keeper)[:3]
    site.seeds = [f"{process.settings.ip}:1" for process in keepers]
    for process in site.processes.values():
        process.settings = msgspec.structs.replace(process.settings, seeds=site.seeds)
    return proxies
