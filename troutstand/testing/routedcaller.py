"""Call a routed site as its callers do, and record the result of each call."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from troutstand.testing.routedsite import HOST, KEY

if TYPE_CHECKING:
    from troutstand.testing.routedsite import HostProcess

_TIMEOUT_MARGIN_S = 1.0


@dataclass(frozen=True)
class CallResult:
    """Record how a call ended; status 0 means that the response failed or is missing.

    Parameters
    ----------
    is_malformed
        Whether the response bytes are not valid HTTP; an early end does not count.
    """

    request: str
    route: str
    gateway: str
    status: int
    body: bytes
    retry_after: str
    began_s: float
    ended_s: float
    detail: str = ""
    is_malformed: bool = False

    @property
    def duration_s(self) -> float:
        """Return the duration of the call."""
        return self.ended_s - self.began_s


class RoutedCaller:
    """Send requests with unique ids and record their results."""

    def __init__(self, session: aiohttp.ClientSession, prefix: str = "call") -> None:
        self.results: list[CallResult] = []
        self._session = session
        self._prefix = prefix
        self._numbers = itertools.count(1)

    async def call(
        self,
        gateway: HostProcess,
        route: str,
        body: bytes = b"",
        key: str = KEY,
        tokens: str = "",
        deadline_s: float = 3.0,
        parts: str = "",
    ) -> CallResult:
        """Send one request and wait for its response.

        Parameters
        ----------
        parts
            The parts of its prompt, as ID:TOKENS,...; empty sends none.
        """
        request = f"{self._prefix}-{next(self._numbers)}"
        method = "GET" if route.startswith("/get") else "POST"
        headers = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Workspace-Key": key,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        if tokens or route.startswith("/stream"):
            headers["X-Tokens"] = tokens or "10,10"
        if parts:
            headers["X-Prompt-Parts"] = parts
        url = f"http://{gateway.settings.callers}{route}x"
        began_s = time.monotonic()
        status, data, retry_after, detail = 0, b"", "", ""
        is_malformed = False
        timeout = aiohttp.ClientTimeout(total=deadline_s + _TIMEOUT_MARGIN_S)
        try:
            async with self._session.request(
                method, url, headers=headers, data=body or None, timeout=timeout
            ) as response:
                data = await response.read()
                status = response.status
                retry_after = response.headers.get("Retry-After", "")
        except aiohttp.ClientResponseError as error:
            # The client's parser failed; an early end raises another error.
            detail, is_malformed = f"{type(error).__name__}: {error}", True
        except (aiohttp.ClientError, TimeoutError, OSError, RuntimeError) as error:
            detail = f"{type(error).__name__}: {error}"
        except asyncio.CancelledError:
            detail = "left"
            raise
        finally:
            result = CallResult(
                request,
                route,
                gateway.name,
                status,
                data,
                retry_after,
                began_s,
                time.monotonic(),
                detail,
                is_malformed,
            )
            self.results.append(result)
        return result
