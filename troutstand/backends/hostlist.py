"""Fetch the platform's list of live and leaving targets; the list may be stale."""

from __future__ import annotations

import aiohttp
import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

_TIMEOUT_S = 2.0


class ListedTarget(msgspec.Struct, frozen=True):
    """Hold one entry of the platform's list."""

    name: str
    state: str


class HostList(msgspec.Struct, frozen=True):
    """Hold the platform's list."""

    targets: list[ListedTarget]

    def list_leaving(self) -> frozenset[str]:
        """Return the names of the targets that are leaving."""
        return frozenset(item.name for item in self.targets if item.state == "leaving")


async def fetch_host_list(session: aiohttp.ClientSession, url: str) -> HostList:
    """Fetch the platform's list.

    Raises
    ------
    TroutstandError
        TARGET_FAULT if the list can't be fetched or decoded.
    """
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with session.get(url, timeout=timeout) as response:
            return msgspec.json.decode(await response.read(), type=HostList)
    except (aiohttp.ClientError, TimeoutError, ValueError, RecursionError) as error:
        raise TroutstandError(ResultCode.TARGET_FAULT, f"host list: {error!r}") from error
