"""Run a routing process until it receives a signal to stop."""

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
from troutstand.util.memory import return_large_blocks
from troutstand.util.reloadsignal import ignore_reload, install_reload_handler

if TYPE_CHECKING:
    from pathlib import Path

    from troutstand.generated.routing import RoutingSettings
    from troutstand.routing.dialect import Dialect
    from troutstand.routing.gateway import Gateway
    from troutstand.routing.keeper import RoutingKeeper
    from troutstand.routing.scheduler import RoutingScheduler

    Process = Gateway | RoutingKeeper | RoutingScheduler

# Requests create few reference cycles; collecting at the default threshold costs more than
# it frees.
_GC_THRESHOLD = 50_000


def _list_errors(error: BaseException) -> list[TroutstandError]:
    return [leaf for leaf in flatten_group(error) if isinstance(leaf, TroutstandError)]


def _report_errors(error: BaseException) -> int:
    """Print each error and return the exit code of the first."""
    errors = _list_errors(error)
    for leaf in errors:
        print(f"troutstandd: {leaf}", file=sys.stderr)
    return describe_code(errors[0].code).exit_code


def make_process(settings: RoutingSettings, dialect: Dialect) -> Process:
    """Create the process for the role in the settings; import only that role's modules."""
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
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    install_reload_handler(loop, partial(_reload_settings, process, path))
    await process.start()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    poll_task = process.node.spawn_loop(partial(_poll_settings, process, path), "settings")
    await stop_event.wait()
    poll_task.cancel()
    ignore_reload()
    await process.stop()


def _load_changed_settings(process: Process, path: Path) -> RoutingSettings:
    """Load the settings file; return the settings in use if the file is invalid."""
    settings = process.node.settings
    try:
        settings = load_routing_settings(path)
    except* TroutstandError as group:
        errors = _list_errors(group)
        detail = "; ".join(error.detail for error in errors)
        process.node.events.emit("settings_refused", code=errors[0].code, detail=detail)
    return settings


def _reload_settings(process: Process, path: Path) -> None:
    """Apply changed settings; only the seeds take effect while running."""
    settings = _load_changed_settings(process, path)
    if settings == process.node.settings:
        return
    process.node.settings = settings
    process.node.events.emit("settings_reloaded", seeds=",".join(settings.seeds))


_SETTINGS_POLL_INTERVAL_S = 3.0


async def _poll_settings(process: Process, path: Path) -> None:
    """Poll the settings file, since it may change without a signal."""
    while True:
        await asyncio.sleep(_SETTINGS_POLL_INTERVAL_S)
        _reload_settings(process, path)


def run_process(path: Path, dialect: Dialect) -> None:
    """Run the process described by a settings file; exit with an error code on failure."""
    exit_code = 0
    return_large_blocks()
    # Objects loaded at startup live until exit, so collecting them is wasted work.
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
