"""Define the base classes of generated records.

msgspec structs stand in for the house style's data classes: they keep the
schema's ranges and lengths, and `match` works on them as on data classes.
"""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry one message; unknown fields of a newer peer are passed over."""


class StrictRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Carry settings or a table row; unknown fields are an error."""
