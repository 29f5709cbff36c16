"""Run an event loop in a background thread that outlives single test steps."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")

_RUN_TIMEOUT_S = 90.0


class BackgroundLoop:
    """Run an event loop in a thread until it is closed."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine: Coroutine[None, None, T]) -> T:
        """Run a coroutine on the loop and return its result; raise TimeoutError if it hangs."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(_RUN_TIMEOUT_S)

    def close(self) -> None:
        """Stop the loop and join its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()
