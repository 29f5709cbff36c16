"""Handle SIGHUP, the signal to reload settings, from the start to the end of a process."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


def ignore_reload() -> None:
    """Ignore the signal while the process starts or stops; by default it ends the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def install_reload_handler(loop: asyncio.AbstractEventLoop, reload: Callable[[], None]) -> None:
    """Call a function in the event loop at each signal.

    A handler of the loop itself would be removed when the loop closes, and the signal would
    end the process again.
    """
    signal.signal(signal.SIGHUP, lambda _number, _frame: loop.call_soon_threadsafe(reload))
