"""Define the interface of target adapters and the records that they exchange."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from troutstand.generated.messages import TargetNotice
    from troutstand.generated.table import Target


@dataclass(frozen=True)
class Call:
    """Describe a request to a target.

    `resume_after` is the number of the last event received; None starts from the first.
    """

    request: str
    method: str
    path: str
    body: bytes
    content_type: str
    priority: int
    timeout_s: float
    resume_after: int | None = None


@dataclass(frozen=True)
class Reply:
    """Hold a complete response, with the notice from its headers."""

    status: int
    content_type: str
    body: bytes
    notice: TargetNotice


class TargetRejection(TroutstandError):
    """Report that a target rejected a request.

    Parameters
    ----------
    notice
        Target state from the headers of the response.
    """

    def __init__(self, detail: str, notice: TargetNotice) -> None:
        super().__init__(ResultCode.TARGET_FAULT, detail, Run.UNKNOWN)
        self.notice = notice


@dataclass(frozen=True)
class LoadReport:
    """Hold the load that an engine reports; it may be stale."""

    running: int
    waiting: int
    at_s: float


@dataclass(frozen=True)
class Order:
    """Describe an order to load a model or change role, fenced by an epoch."""

    epoch: int
    action: str
    name: str
    version: str = ""


@dataclass(frozen=True)
class CacheEvents:
    """Hold delayed cache events of an engine; `lost` marks a gap in them."""

    next: int
    lost: bool
    evicted: list[str] = field(default_factory=list)


class Backend(ABC):
    """Adapt the protocol of one target.

    Methods raise TroutstandError: TARGET_UNREACHABLE only if nothing was sent,
    otherwise TARGET_FAULT, TARGET_TIMEOUT or ANSWER_CUT.
    """

    def __init__(self, row: Target) -> None:
        self.row = row

    @abstractmethod
    def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Send a call and yield the response body in chunks as they arrive."""

    @abstractmethod
    async def request(self, call: Call) -> Reply:
        """Send a call and return its complete response."""

    @abstractmethod
    async def is_gone(self) -> bool:
        """Return whether the target's process has ended (its address refuses connections)."""

    @abstractmethod
    async def cancel(self, request: str) -> None:
        """Cancel a running request."""
