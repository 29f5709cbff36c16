"""Define the types of the identifiers exchanged between processes."""

from __future__ import annotations

from typing import NewType

ProcessId = NewType("ProcessId", str)
Incarnation = NewType("Incarnation", str)
RequestId = NewType("RequestId", str)
CommandKey = NewType("CommandKey", str)
RegisterName = NewType("RegisterName", str)
Version = NewType("Version", int)
# A part of prompts, with the service whose targets read it.
PartId = NewType("PartId", str)


def name_process(host: str, role: str) -> ProcessId:
    """Return the id of the process with a role on a host."""
    return ProcessId(f"{host}.{role}")
