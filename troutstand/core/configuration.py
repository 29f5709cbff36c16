"""Check a whole configuration and answer what it says of a request."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import xxhash

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from troutstand.generated.configuration import (
        Configuration,
        Route,
        RoutedService,
        RoutedWorkspace,
    )

_HASH_SPAN = 1 << 64


def check_configuration(configuration: Configuration) -> None:
    """Check what the schema cannot say.

    Raises
    ------
    ExceptionGroup
        Of TroutstandError with CONFIGURATION_INVALID, one for each fault.
    """
    faults = [
        *_list_split_faults(configuration),
        *_list_place_faults(configuration),
        *_list_key_faults(configuration),
    ]
    if faults:
        errors = [TroutstandError(ResultCode.CONFIGURATION_INVALID, fault) for fault in faults]
        raise ExceptionGroup("the configuration is wrong", errors)


def _list_split_faults(configuration: Configuration) -> list[str]:
    services = {service.name for service in configuration.services}
    faults: list[str] = []
    for route in configuration.routes:
        unknown = [part.service for part in route.split if part.service not in services]
        faults.extend(f"route {route.name!r}: no service {name!r}" for name in unknown)
        if sum(part.weight for part in route.split) <= 0:
            faults.append(f"route {route.name!r}: the weights sum to 0, more is needed")
    return faults


def _list_place_faults(configuration: Configuration) -> list[str]:
    places = Counter((_fold_host(r.host), r.prefix) for r in configuration.routes)
    return [
        f"{count} routes at host {host!r} and prefix {prefix!r}, one is accepted"
        for (host, prefix), count in places.items()
        if count > 1
    ]


def _list_key_faults(configuration: Configuration) -> list[str]:
    owners: dict[str, set[str]] = {}
    for workspace in configuration.workspaces:
        for key in workspace.keys:
            owners.setdefault(key, set()).add(workspace.name)
    return [
        f"workspaces {', '.join(sorted(names))} share a key, one owner is accepted"
        for names in owners.values()
        if len(names) > 1
    ]


def _fold_host(host: str) -> str:
    return host.partition(":")[0].lower()


class RouteTable:
    """Answer look-ups in one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services: dict[str, RoutedService] = {s.name: s for s in configuration.services}
        self.workspaces: dict[str, RoutedWorkspace] = {w.name: w for w in configuration.workspaces}
        self._owners = {key: w for w in configuration.workspaces for key in w.keys}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(_fold_host(route.host), {})[route.prefix] = route

    @property
    def version(self) -> int:
        """Return the operator's number of this configuration."""
        return self.configuration.version

    @property
    def requires_keys(self) -> bool:
        """Tell whether requests carry keys at all."""
        return bool(self.configuration.workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        prefixes = self._routes.get(_fold_host(host))
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            # Prefixes end with a slash, so only those places are looked at.
            end = path.rfind("/", 0, end - 1) + 1
        return prefixes.get("")

    def find_workspace(self, key: str) -> RoutedWorkspace | None:
        """Return the workspace that owns a key."""
        return self._owners.get(key)


def pick_service(route: Route, request: str) -> str:
    """Choose a service by its weight; one request always gets the same."""
    if len(route.split) == 1:
        return route.split[0].service
    total = sum(part.weight for part in route.split)
    point = xxhash.xxh3_64_intdigest(request.encode()) / _HASH_SPAN * total
    for part in route.split:
        if point < part.weight:
            return part.service
        point -= part.weight
    return next(part.service for part in reversed(route.split) if part.weight > 0)
