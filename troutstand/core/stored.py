"""Define the union of the records in a keeper's data files."""

from __future__ import annotations

from troutstand.generated.messages import (
    StoredChange,
    StoredConfiguration,
    StoredIdentity,
    StoredKeepers,
    StoredRegister,
    StoredSequence,
    StoredTable,
)

StoredRecord = (
    StoredIdentity
    | StoredRegister
    | StoredKeepers
    | StoredChange
    | StoredTable
    | StoredSequence
    | StoredConfiguration
)
