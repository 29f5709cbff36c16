"""Define what processes report to operators."""

from __future__ import annotations

import msgspec

from troutstand.generated.table import Change, Model, Service, Target, Tier, Workspace


class HostReport(msgspec.Struct):
    """Tell what one process knows of a peer."""

    process: str
    state: str
    version: int
    heard_s: float | None
    scheduling: bool = False
    is_behind: bool = False


class StatusReport(msgspec.Struct):
    """Tell what a process is and knows."""

    process: str
    role: str
    failure_domain: str
    state: str
    version: int
    epoch: int
    scheduler: str | None = None
    running: int = 0
    waiting: int = 0
    voting: bool | None = None
    disk_id: str | None = None
    records: int | None = None
    syncs: int | None = None
    sent_messages: int = 0
    sent_bytes: int = 0
    uptime_s: float = 0.0
    processor_s: float = 0.0
    resident_bytes: int = 0
    hosts: list[HostReport] = []


class TargetReport(msgspec.Struct):
    """Tell what the scheduler knows of a target."""

    name: str
    protocol: str
    state: str
    health: str
    running: int
    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


class TargetsReport(msgspec.Struct):
    """Tell what the scheduler knows of all targets of its failure domain."""

    failure_domain: str
    waiting: int
    inversions: int
    targets: list[TargetReport]


class TableReport(msgspec.Struct):
    """Carry a whole table."""

    version: int
    rows: list[Workspace | Tier | Target | Service | Model]


class AcceptReport(msgspec.Struct):
    """Tell the version that an edit made."""

    version: int
    edit_id: str


class AcceptCall(msgspec.Struct):
    """Carry an operator's edit."""

    change: Change


class DrainReport(msgspec.Struct):
    """Tell how a drain goes."""

    state: str
    open: int


class EventReport(msgspec.Struct):
    """Carry the log lines of one request."""

    lines: list[str]


class KeepersReport(msgspec.Struct):
    """Tell the keeper set."""

    epoch: int
    members: list[str]


class ReplaceCall(msgspec.Struct):
    """Name the keeper whose new disk takes the lost one's place."""

    process: str
