"""Run one process of a routed site until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codes import ResultCode, describe_code
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.generated.routing import RoutingRole, RoutingSettings

if TYPE_CHECKING:
    from pathlib import Path

    from troutstand.routing.dialect import Dialect
    from troutstand.routing.gateway import Gateway
    from troutstand.routing.keeper import RoutingKeeper
    from troutstand.routing.scheduler import RoutingScheduler

    Process = Gateway | RoutingKeeper | RoutingScheduler

# Requests make few cycles; looking for them after every 700 allocations, the
# default, costs more than it frees.
_GC_ALLOCATIONS = 50_000
_NEEDED = {
    RoutingRole.gateway: ("callers", "readiness", "target_list"),
    RoutingRole.scheduler: ("target_list",),
    RoutingRole.keeper: ("data_folder",),
}


def load_routing_settings(path: Path) -> RoutingSettings:
    """Read and check a settings file.

    Raises
    ------
    TroutstandError
        SETTINGS_UNREADABLE, SETTINGS_INVALID or SETTINGS_ROLE.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=RoutingSettings)
    except msgspec.ValidationError as error:
        raise TroutstandError(ResultCode.SETTINGS_INVALID, str(error)) from error
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise TroutstandError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
    missing = [name for name in _NEEDED[settings.role] if not getattr(settings, name)]
    if missing:
        detail = f"role {settings.role.value} needs {', '.join(missing)}"
        raise TroutstandError(ResultCode.SETTINGS_ROLE, detail)
    return settings


def make_process(settings: RoutingSettings, dialect: Dialect) -> Process:
    """Make the process of a role; only that role's modules are loaded."""
    match settings.role:
        case RoutingRole.gateway:
            from troutstand.routing.gateway import Gateway

            return Gateway(settings, dialect)
        case RoutingRole.scheduler:
            from troutstand.routing.scheduler import RoutingScheduler

            return RoutingScheduler(settings, dialect)
        case RoutingRole.keeper:
            from troutstand.routing.keeper import RoutingKeeper

            return RoutingKeeper(settings, dialect)


async def _run(process: Process, path: Path) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, process, path)
    await process.start()
    gc.freeze()
    gc.set_threshold(_GC_ALLOCATIONS)
    watching = asyncio.create_task(_watch_settings(process, path))
    await stopping.wait()
    watching.cancel()
    await process.stop()


def _reload(process: Process, path: Path) -> None:
    """Take what may change while running: the seeds."""
    try:
        settings = load_routing_settings(path)
    except TroutstandError as error:
        process.node.events.emit("settings_refused", code=error.code, detail=error.detail)
        return
    if settings == process.node.settings:
        return
    process.node.settings = settings
    process.node.events.emit("settings_reloaded", seeds=",".join(settings.seeds))


_WATCH_S = 3.0


async def _watch_settings(process: Process, path: Path) -> None:
    """Notice settings that change without a signal."""
    while True:
        await asyncio.sleep(_WATCH_S)
        _reload(process, path)


def run_process(path: Path, dialect: Dialect) -> None:
    """Run the process that a settings file describes, and exit."""
    # What is loaded at the start stays, so that looking for cycles in it is in vain.
    gc.disable()
    try:
        settings = load_routing_settings(path)
        process = make_process(settings, dialect)
        gc.enable()
        asyncio.run(_run(process, path))
    except* TroutstandError as group:
        errors = [e for e in flatten_group(group) if isinstance(e, TroutstandError)]
        for error in errors:
            print(f"troutstandd: {error}", file=sys.stderr)
        sys.exit(describe_code(errors[0].code).exit_code)
