"""Define the JSON bodies of the administration API."""

from __future__ import annotations

import msgspec

from troutstand.generated.table import Change, Model, Service, Target, Tier, Workspace


class HostReport(msgspec.Struct):
    """Report the state of a peer, as one process knows it."""

    process: str
    state: str
    version: int
    heard_s: float | None
    scheduling: bool = False
    is_behind: bool = False


class StatusReport(msgspec.Struct):
    """Report the state of a process."""

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
    """Report the state of a target, as its scheduler knows it."""

    name: str
    protocol: str
    state: str
    health: str
    running: int
    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


class TargetsReport(msgspec.Struct):
    """Report all targets of a scheduler's failure domain."""

    failure_domain: str
    waiting: int
    inversions: int
    targets: list[TargetReport]


class TableReport(msgspec.Struct):
    """Report the complete table."""

    version: int
    rows: list[Workspace | Tier | Target | Service | Model]


class AcceptReport(msgspec.Struct):
    """Report the version that an accepted edit created."""

    version: int
    edit_id: str


class AcceptCall(msgspec.Struct):
    """Submit an operator's edit."""

    change: Change


class DrainReport(msgspec.Struct):
    """Report the progress of a drain."""

    state: str
    open: int


class EventReport(msgspec.Struct):
    """Report the log lines of one request."""

    lines: list[str]


class KeepersReport(msgspec.Struct):
    """Report the keeper set."""

    epoch: int
    members: list[str]


class ReplaceCall(msgspec.Struct):
    """Request that a keeper's new disk replaces its lost one."""

    process: str
