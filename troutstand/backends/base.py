"""Define what an adapter to a target offers."""

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
    """Carry a request to a target.

    `resume_after` is the number of the last event already held.
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
    """Carry a whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes
    notice: TargetNotice


class TargetRejection(TroutstandError):
    """Report a target that turned a request away.

    Parameters
    ----------
    notice
        What its answer says of the target.
    """

    def __init__(self, detail: str, notice: TargetNotice) -> None:
        super().__init__(ResultCode.TARGET_FAULT, detail, Run.UNKNOWN)
        self.notice = notice


@dataclass(frozen=True)
class LoadReport:
    """Carry what an engine says of its load, stale as it may be."""

    running: int
    waiting: int
    at_s: float


@dataclass(frozen=True)
class Order:
    """Order an engine to load something or change role, fenced by an epoch."""

    epoch: int
    action: str
    name: str
    version: str = ""


@dataclass(frozen=True)
class CacheEvents:
    """Carry an engine's late cache events; `lost` tells of a gap."""

    next: int
    lost: bool
    evicted: list[str] = field(default_factory=list)


class Backend(ABC):
    """Speak one target's protocol.

    Every method raises TroutstandError: TARGET_UNREACHABLE only where nothing
    was sent, TARGET_FAULT, TARGET_TIMEOUT or ANSWER_CUT otherwise.
    """

    def __init__(self, row: Target) -> None:
        self.row = row

    @abstractmethod
    def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Send a call and yield the answer's bytes as they come."""

    @abstractmethod
    async def request(self, call: Call) -> Reply:
        """Send a call and return its whole answer."""

    @abstractmethod
    async def is_gone(self) -> bool:
        """Tell whether the target's process has ended: its address refuses connections."""

    @abstractmethod
    async def cancel(self, request: str) -> None:
        """Stop a running request."""
