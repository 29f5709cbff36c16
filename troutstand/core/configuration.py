"""Validate a configuration and look up routes, services and workspaces in it."""

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

_HASH_RANGE = 1 << 64


def check_configuration(configuration: Configuration) -> None:
    """Check the constraints that the schema cannot express.

    Raises
    ------
    ExceptionGroup
        Of TroutstandError with CONFIGURATION_INVALID, one for each violation.
    """
    problems = [
        *_list_split_problems(configuration),
        *_list_duplicate_routes(configuration),
        *_list_shared_keys(configuration),
    ]
    if problems:
        errors = [
            TroutstandError(ResultCode.CONFIGURATION_INVALID, problem) for problem in problems
        ]
        raise ExceptionGroup("invalid configuration", errors)


def _list_split_problems(configuration: Configuration) -> list[str]:
    services = {service.name for service in configuration.services}
    problems: list[str] = []
    for route in configuration.routes:
        unknown = [part.service for part in route.split if part.service not in services]
        problems.extend(f"route {route.name!r}: unknown service {name!r}" for name in unknown)
        if sum(part.weight for part in route.split) <= 0:
            problems.append(f"route {route.name!r}: the weights sum to 0, but must sum to more")
    return problems


def _list_duplicate_routes(configuration: Configuration) -> list[str]:
    route_counts = Counter((_normalize_host(r.host), r.prefix) for r in configuration.routes)
    return [
        f"{count} routes with host {host!r} and prefix {prefix!r}, only one is allowed"
        for (host, prefix), count in route_counts.items()
        if count > 1
    ]


def _list_shared_keys(configuration: Configuration) -> list[str]:
    owners: dict[str, set[str]] = {}
    for workspace in configuration.workspaces:
        for key in workspace.keys:
            owners.setdefault(key, set()).add(workspace.name)
    return [
        f"workspaces {', '.join(sorted(names))} share a key, only one may own it"
        for names in owners.values()
        if len(names) > 1
    ]


def _normalize_host(host: str) -> str:
    return host.partition(":")[0].lower()


class RouteTable:
    """Look up routes, services and workspaces in one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services: dict[str, RoutedService] = {s.name: s for s in configuration.services}
        self.workspaces: dict[str, RoutedWorkspace] = {w.name: w for w in configuration.workspaces}
        self._owners = {key: w for w in configuration.workspaces for key in w.keys}
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(_normalize_host(route.host), {})[route.prefix] = route

    @property
    def version(self) -> int:
        """Return the version that the operator gave the configuration."""
        return self.configuration.version

    @property
    def requires_keys(self) -> bool:
        """Return whether requests must carry a workspace key."""
        return bool(self.configuration.workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of a path."""
        prefixes = self._routes.get(_normalize_host(host))
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            # Prefixes end with a slash, so only these positions can match.
            end = path.rfind("/", 0, end - 1) + 1
        return prefixes.get("")

    def find_workspace(self, key: str) -> RoutedWorkspace | None:
        """Return the workspace that owns a key."""
        return self._owners.get(key)


def pick_service(route: Route, request: str) -> str:
    """Choose a service by weight; the same request id always yields the same service."""
    if len(route.split) == 1:
        return route.split[0].service
    total = sum(part.weight for part in route.split)
    point = xxhash.xxh3_64_intdigest(request.encode()) / _HASH_RANGE * total
    for part in route.split:
        if point < part.weight:
            return part.service
        point -= part.weight
    return next(part.service for part in reversed(route.split) if part.weight > 0)
