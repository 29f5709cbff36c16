"""Parse the command line of a process and run it from its settings file."""

from __future__ import annotations

import asyncio
import gc
import secrets
import signal
import sys
from pathlib import Path

from cyclopts import App

from troutstand.core.codes import ResultCode, describe_code
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.core.ids import name_process
from troutstand.daemon.admin import AdminApi
from troutstand.daemon.callerapi import CallerApi
from troutstand.daemon.entry import EntryProcess
from troutstand.daemon.keeper import KeeperProcess
from troutstand.daemon.startup import load_settings
from troutstand.daemon.storage import format_folder, read_identity
from troutstand.generated.messages import StoredIdentity
from troutstand.generated.settings import Role, Settings
from troutstand.util.clientguard import ClientLimits, make_guard
from troutstand.util.clock import ClockLoop
from troutstand.util.listening import ServerTimeouts, listen

app = App(name="troutstandd", help="Run one process of troutstand.")

_DISK_ID_BYTES = 12
_SERVER_TIMEOUTS = ServerTimeouts(keep_alive_s=3630.0, shutdown_s=1.0)
_CLIENT_LIMITS = ClientLimits(idle_s=3630.0)
_MEMORY_MB = 256.0
# Requests create few reference cycles, so collecting at Python's default
# threshold costs more than it frees.
GC_ALLOCATIONS = 50_000


async def _run_process(settings: Settings) -> int:
    process = EntryProcess(settings) if settings.role is Role.entry else KeeperProcess(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await process.start()
    admin = AdminApi(process, stopping.set)
    guard = make_guard(_MEMORY_MB, 0, _CLIENT_LIMITS, process.node.events)
    runners = [await listen(admin.make_app(), settings.admin, "admin", guard, _SERVER_TIMEOUTS)]
    if isinstance(process, EntryProcess) and settings.callers:
        callers = CallerApi(process).make_app()
        runners.append(await listen(callers, settings.callers, "callers", guard, _SERVER_TIMEOUTS))
    # Exclude long-lived objects from collections, which would delay token streams.
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
    await stopping.wait()
    is_drained = await process.drain() if isinstance(process, EntryProcess) else True
    for runner in runners:
        await runner.cleanup()
    await process.stop()
    return 0 if is_drained else describe_code(ResultCode.DRAINING).exit_code


def _format_data_folder(settings: Settings) -> None:
    if settings.data_folder is None:
        raise TroutstandError(
            ResultCode.SETTINGS_ROLE, "--format requires data_folder in the settings"
        )
    process = name_process(settings.host, settings.role.value)
    disk_id = secrets.token_hex(_DISK_ID_BYTES)
    format_folder(Path(settings.data_folder), StoredIdentity(settings.site, process, disk_id))
    print(f"formatted {settings.data_folder} for {process}, disk {disk_id}")


def _check_data_folder(settings: Settings) -> None:
    if settings.data_folder is not None:
        read_identity(Path(settings.data_folder))


def _print_errors(error: BaseException) -> int:
    """Print every error of a group and return the exit code of the first."""
    errors = [e for e in flatten_group(error) if isinstance(e, TroutstandError)]
    for single in errors:
        print(f"troutstandd: {single}", file=sys.stderr)
    return describe_code(errors[0].code).exit_code


def start_routed(settings: Path, check: bool) -> None:
    """Run a process of a routed site, or only check its settings."""
    from troutstand.routing.dialect import Dialect
    from troutstand.routing.main import run_process
    from troutstand.routing.startup import load_routing_settings

    if not check:
        run_process(settings, Dialect())
        return
    exit_code = 0
    try:
        load_routing_settings(settings)
        print(f"{settings.name}: in order")
    except* TroutstandError as group:
        exit_code = _print_errors(group)
    sys.exit(exit_code)


@app.default
def start(
    settings: Path, *, check: bool = False, format: bool = False, routed: bool = False
) -> None:
    """Run the process that a settings file describes.

    Parameters
    ----------
    settings
        The JSON settings file.
    check
        Only check the settings and the data folder.
    format
        Only create the data folder of a new disk.
    routed
        The settings file is that of a routed site's process; its keepers create
        their data folders themselves.
    """
    if routed:
        start_routed(settings, check)
        return
    exit_code = 0
    try:
        loaded = load_settings(settings)
        if format:
            _format_data_folder(loaded)
        elif check:
            _check_data_folder(loaded)
            print(f"{settings.name}: in order")
        else:
            with asyncio.Runner(loop_factory=ClockLoop) as runner:
                exit_code = runner.run(_run_process(loaded))
    except* TroutstandError as group:
        exit_code = _print_errors(group)
    sys.exit(exit_code)
