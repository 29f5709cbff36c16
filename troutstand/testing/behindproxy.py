"""Route the links of a routed site's processes through fault proxies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from troutstand.generated.routing import RoutingRole
from troutstand.testing.faultproxy import FaultProxy
from troutstand.testing.routedsite import FIRST_PORT

if TYPE_CHECKING:
    from troutstand.testing.routedsite import HostProcess, RoutedSite

# Added to the last octet of a process's address to form the address that it advertises.
_PROXY_OCTET_OFFSET = 100
_LINK_PORTS = {
    RoutingRole.keeper: FIRST_PORT,
    RoutingRole.scheduler: FIRST_PORT + 1,
    RoutingRole.gateway: FIRST_PORT + 2,
}


async def put_behind_proxy(process: HostProcess) -> FaultProxy:
    """Put the link address of a process behind a proxy of its own."""
    settings = process.settings
    network, _, last = settings.bind_ip.rpartition(".")
    advertised_ip = f"{network}.{int(last) + _PROXY_OCTET_OFFSET}"
    process.settings = msgspec.structs.replace(settings, ip=advertised_ip)
    port = _LINK_PORTS[settings.role]
    proxy = FaultProxy((advertised_ip, port), (settings.bind_ip, port))
    await proxy.start()
    return proxy


async def put_all_behind_proxies(site: RoutedSite) -> dict[str, FaultProxy]:
    """Put all processes of a site behind proxies, before the site is started."""
    proxies: dict[str, FaultProxy] = {}
    for process in site.processes.values():
        proxies[process.name] = await put_behind_proxy(process)
    keepers = site.list_role(RoutingRole.keeper)[:3]
    site.seeds = [f"{process.settings.ip}:1" for process in keepers]
    for process in site.processes.values():
        process.settings = msgspec.structs.replace(process.settings, seeds=site.seeds)
    return proxies
