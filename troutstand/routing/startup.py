"""Load and validate the settings of a routing process."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.generated.routing import RoutingRole, RoutingSettings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

_REQUIRED_FIELDS = {
    RoutingRole.gateway: ("callers", "readiness", "target_list"),
    RoutingRole.scheduler: ("target_list",),
    RoutingRole.keeper: ("data_folder",),
}
_MAX_PORT = 65535
ADDRESS_FORMAT = f"must be IPv4:PORT or [IPv6]:PORT with a port from 1 to {_MAX_PORT}"
_IP_FORMAT = "must be an IPv4 or IPv6 address"


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdecimal() and len(text) <= len(str(_MAX_PORT))
    return is_number and 1 <= int(text) <= _MAX_PORT


def is_address(text: str) -> bool:
    """Return whether a text is IPv4:PORT or [IPv6]:PORT."""
    ip, _, port = text.rpartition(":")
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
        return ":" in ip and _is_ip(ip) and _is_port(port)
    return ":" not in ip and _is_ip(ip) and _is_port(port)


def _list_addresses(settings: RoutingSettings) -> Iterator[tuple[str, str]]:
    """Yield the name and value of each address that is set."""
    for field in ("callers", "readiness", "control", "target_list"):
        text = getattr(settings, field)
        if text:
            yield field, text
    for index, seed in enumerate(settings.seeds):
        yield f"seeds[{index}]", seed


def _check_addresses(settings: RoutingSettings) -> list[TroutstandError]:
    return [
        TroutstandError(ResultCode.SETTINGS_INVALID, f"{field} {text!r}: {ADDRESS_FORMAT}")
        for field, text in _list_addresses(settings)
        if not is_address(text)
    ]


def _check_ips(settings: RoutingSettings) -> list[TroutstandError]:
    ips = [("ip", settings.ip)]
    if settings.bind_ip:
        ips.append(("bind_ip", settings.bind_ip))
    return [
        TroutstandError(ResultCode.SETTINGS_INVALID, f"{field} {text!r}: {_IP_FORMAT}")
        for field, text in ips
        if not _is_ip(text)
    ]


def _check_role(settings: RoutingSettings) -> list[TroutstandError]:
    role = settings.role
    return [
        TroutstandError(ResultCode.SETTINGS_ROLE, f"{field} is needed for role {role.value}")
        for field in _REQUIRED_FIELDS[role]
        if not getattr(settings, field)
    ]


def check_routing_settings(settings: RoutingSettings) -> None:
    """Check constraints that the schema cannot express.

    Raises
    ------
    ExceptionGroup
        Of TroutstandError, one for each invalid setting.
    """
    errors = _check_role(settings) + _check_ips(settings) + _check_addresses(settings)
    if errors:
        raise ExceptionGroup("invalid settings", errors)


def load_routing_settings(path: Path) -> RoutingSettings:
    """Load and validate a settings file.

    Raises
    ------
    TroutstandError
        SETTINGS_UNREADABLE if the file cannot be read or is not JSON; SETTINGS_INVALID if it
        does not match the schema.
    ExceptionGroup
        Of TroutstandError, one for each invalid setting.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=RoutingSettings)
    except msgspec.ValidationError as error:
        raise TroutstandError(ResultCode.SETTINGS_INVALID, str(error)) from error
    except (OSError, ValueError, RecursionError) as error:
        raise TroutstandError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
    check_routing_settings(settings)
    return settings
