"""Name the ids that travel between processes."""

from __future__ import annotations

from typing import NewType

ProcessId = NewType("ProcessId", str)
Incarnation = NewType("Incarnation", str)
RequestId = NewType("RequestId", str)
CommandKey = NewType("CommandKey", str)
RegisterName = NewType("RegisterName", str)
Version = NewType("Version", int)


def name_process(host: str, role: str) -> ProcessId:
    """Name the process that plays a role on a host."""
    return ProcessId(f"{host}.{role}")
