"""Keep background loops of a process running."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_MIN_RESTART_DELAY_S = 0.2
# A loop that fails at once each time is logged at most this often.
_MAX_RESTART_DELAY_S = 2.0


async def keep_running(
    run: Callable[[], Coroutine[None, None, None]], on_failure: Callable[[Exception], None]
) -> None:
    """Run a loop until it returns; start it again, with a growing delay, whenever it fails.

    Parameters
    ----------
    on_failure
        Called with each error.
    """
    delay_s = _MIN_RESTART_DELAY_S
    while True:
        started_s = read_clock_s()
        try:
            await run()
            return
        except Exception as error:
            on_failure(error)
        if read_clock_s() - started_s > _MAX_RESTART_DELAY_S:
            delay_s = _MIN_RESTART_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(_MAX_RESTART_DELAY_S, 2.0 * delay_s)
