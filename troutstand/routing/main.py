"""Run one process of a routed site until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from functools import partial
from typing import TYPE_CHECKING

from troutstand.core.codes import describe_code
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.generated.routing import RoutingRole
from troutstand.routing.startup import load_routing_settings
from troutstand.util.clock import ClockLoop
from troutstand.util.reloadsignal import ignore_reload, install_reload_handler

if TYPE_CHECKING:
    from pathlib import Path

    from troutstand.generated.routing import RoutingSettings
    from troutstand.routing.dialect import Dialect
    from troutstand.routing.gateway import Gateway
    from troutstand.routing.keeper import RoutingKeeper
    from troutstand.routing.scheduler import RoutingScheduler

    Process = Gateway | RoutingKeeper | RoutingScheduler

# Requests make few cycles; looking for them after every 700 allocations, the
# default, costs more than it frees.
_GC_ALLOCATIONS = 50_000


def _list_errors(error: BaseException) -> list[TroutstandError]:
    return [single for single in flatten_group(error) if isinstance(single, TroutstandError)]


def _report_errors(error: BaseException) -> int:
    """Print every single error and return the exit code."""
    errors = _list_errors(error)
    for single in errors:
        print(f"troutstandd: {single}", file=sys.stderr)
    return describe_code(errors[0].code).exit_code


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
    install_reload_handler(loop, partial(_reload, process, path))
    await process.start()
    gc.freeze()
    gc.set_threshold(_GC_ALLOCATIONS)
    watching = asyncio.create_task(_watch_settings(process, path))
    await stopping.wait()
    watching.cancel()
    ignore_reload()
    await process.stop()


def _read_again(process: Process, path: Path) -> RoutingSettings:
    """Return the settings as they stand now, or those in use where they are wrong."""
    settings = process.node.settings
    try:
        settings = load_routing_settings(path)
    except* TroutstandError as group:
        errors = _list_errors(group)
        detail = "; ".join(error.detail for error in errors)
        process.node.events.emit("settings_refused", code=errors[0].code, detail=detail)
    return settings


def _reload(process: Process, path: Path) -> None:
    """Take what may change while running: the seeds."""
    settings = _read_again(process, path)
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
    exit_code = 0
    # What is loaded at the start stays, so that looking for cycles in it is in vain.
    gc.disable()
    try:
        settings = load_routing_settings(path)
        process = make_process(settings, dialect)
        gc.enable()
        with asyncio.Runner(loop_factory=ClockLoop) as runner:
            runner.run(_run(process, path))
    except* TroutstandError as group:
        exit_code = _report_errors(group)
    if exit_code:
        sys.exit(exit_code)
