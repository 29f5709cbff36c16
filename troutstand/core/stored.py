"""Name the union of what a keeper's files hold."""

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
