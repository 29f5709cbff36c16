"""Define the base classes of generated records.

The records are msgspec structs, which carry the ranges and lengths of the schema.
"""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent a message; unknown fields, sent by newer peers, are ignored."""


class StrictRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Represent settings or a table row; unknown fields are rejected."""
