"""Read and validate a process's settings before it opens any port."""

from __future__ import annotations

import ipaddress
from collections import Counter
from typing import TYPE_CHECKING, Any

import msgspec

from troutstand.core.codec import decode_json
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.ids import name_process
from troutstand.generated.settings import Address, Role, Settings

if TYPE_CHECKING:
    from pathlib import Path


def decode_settings(data: bytes) -> Settings:
    """Decode settings and validate them against the schema.

    Raises
    ------
    TroutstandError
        SETTINGS_UNREADABLE or SETTINGS_INVALID, naming the field.
    """
    decoded = decode_json(data, Any, ResultCode.SETTINGS_UNREADABLE)
    try:
        return msgspec.convert(decoded, Settings)
    except msgspec.ValidationError as error:
        raise TroutstandError(ResultCode.SETTINGS_INVALID, str(error)) from error


def _check_address(field: str, address: Address | None) -> list[TroutstandError]:
    if address is None:
        return []
    try:
        ipaddress.ip_address(address.ip)
    except ValueError:
        detail = f"{field}.ip {address.ip!r} is not an IP address"
        return [TroutstandError(ResultCode.SETTINGS_INVALID, detail)]
    return []


def _check_peers(settings: Settings) -> list[TroutstandError]:
    names = Counter(name_process(peer.host, peer.role.value) for peer in settings.peers)
    errors = [
        TroutstandError(
            ResultCode.SETTINGS_DUPLICATE_HOST, f"peers: {name} is listed {count} times"
        )
        for name, count in names.items()
        if count > 1
    ]
    own_name = name_process(settings.host, settings.role.value)
    if own_name not in names:
        detail = f"peers: the process's own entry {own_name} is missing"
        errors.append(TroutstandError(ResultCode.SETTINGS_INVALID, detail))
    domains: dict[str, str] = {}
    for peer in settings.peers:
        if domains.setdefault(peer.host, peer.failure_domain) != peer.failure_domain:
            detail = f"peers: host {peer.host} is listed in two failure domains"
            errors.append(TroutstandError(ResultCode.SETTINGS_DUPLICATE_HOST, detail))
    if domains.get(settings.host, settings.failure_domain) != settings.failure_domain:
        detail = f"failure_domain {settings.failure_domain!r} differs from the host's in peers"
        errors.append(TroutstandError(ResultCode.SETTINGS_INVALID, detail))
    for index, peer in enumerate(settings.peers):
        errors.extend(_check_address(f"peers[{index}].link", peer.link))
    return errors


def _check_role(settings: Settings) -> list[TroutstandError]:
    if settings.role is Role.entry and settings.callers is None:
        return [TroutstandError(ResultCode.SETTINGS_ROLE, "callers is needed for role entry")]
    if settings.role is Role.keeper and settings.data_folder is None:
        return [TroutstandError(ResultCode.SETTINGS_ROLE, "data_folder is needed for role keeper")]
    return []


def check_settings(settings: Settings) -> None:
    """Check the constraints that the schema cannot express.

    Raises
    ------
    ExceptionGroup
        Of TroutstandError, one per invalid setting.
    """
    errors = _check_role(settings) + _check_peers(settings)
    errors += _check_address("link", settings.link)
    errors += _check_address("admin", settings.admin)
    errors += _check_address("callers", settings.callers)
    errors += _check_address("statsd", settings.statsd)
    if errors:
        raise ExceptionGroup("invalid settings", errors)


def load_settings(path: Path) -> Settings:
    """Read, decode and validate a settings file.

    Raises
    ------
    TroutstandError
        SETTINGS_UNREADABLE or SETTINGS_INVALID.
    ExceptionGroup
        Of TroutstandError, one per invalid setting.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise TroutstandError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
    settings = decode_settings(data)
    check_settings(settings)
    return settings
