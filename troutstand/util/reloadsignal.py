"""Take the signal to read settings again, in every moment of a process's life."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


def ignore_reload() -> None:
    """Ignore the signal: settings that are not read yet will be, and others no more.

    By the system's default it ends the process: one that was told to reload in its first
    0.4 s of processor time, or within its last step, ended with signal 1 (real processes).
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def install_reload_handler(loop: asyncio.AbstractEventLoop, reload: Callable[[], None]) -> None:
    """Call a function in the loop's next step at each signal.

    The loop's own handlers are not used for it: as they are removed, the signal would end
    the process again.
    """
    signal.signal(signal.SIGHUP, lambda _number, _frame: loop.call_soon_threadsafe(reload))
