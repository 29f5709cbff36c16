"""Measure how long a keeper takes to load its files after many changes."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from benchmarks.report import report
from troutstand.core.acceptor import Acceptor
from troutstand.core.codec import encode_record
from troutstand.daemon.keeper import MAX_LOG_RECORDS
from troutstand.daemon.storage import Storage, format_folder
from troutstand.generated.messages import (
    Ballot,
    RegisterState,
    StoredChange,
    StoredIdentity,
    StoredRegister,
)
from troutstand.generated.table import Change, Model

_IDENTITY = StoredIdentity("bench", "a.keeper", "disk")
_BATCH = 500
_RETENTION_S = 1e9


def _make_records(version: int) -> list[StoredRegister | StoredChange]:
    """Return the records that a keeper writes for one change."""
    change = Change(f"edit-{version}", version - 1, [Model("m", version=str(version))], [])
    value = encode_record(change)
    ballot = Ballot(1, "a.entry:0123456789abcdef:1")
    name = f"table/{version}"
    promised = RegisterState(name, ballot)
    accepted = RegisterState(name, ballot, ballot, value)
    return [
        StoredRegister(promised),
        StoredRegister(accepted),
        StoredChange(version, value),
    ]


def _write(folder: Path, changes: int) -> None:
    format_folder(folder, _IDENTITY)
    storage, acceptor = Storage(folder), Acceptor(_IDENTITY)
    for first in range(1, changes + 1, _BATCH):
        versions = range(first, min(changes, first + _BATCH - 1) + 1)
        records = [record for version in versions for record in _make_records(version)]
        for record in records:
            acceptor.load_record(record)
        storage.append(records)
        if storage.log_record_count > MAX_LOG_RECORDS:
            storage.write_snapshot(acceptor.collect_snapshot(time.time(), _RETENTION_S))
    storage.close()


def run(quick: bool) -> None:
    """Measure after 500, 5,000 and 50,000 changes."""
    for changes in (500, 5000) if quick else (500, 5000, 50_000):
        with tempfile.TemporaryDirectory(prefix="troutstand-bench-") as scratch:
            folder = Path(scratch) / "data"
            _write(folder, changes)
            start_s = time.perf_counter()
            storage, acceptor = Storage(folder), Acceptor(_IDENTITY)
            for record in storage.loaded_records:
                acceptor.load_record(record)
            taken_s = time.perf_counter() - start_s
            assert acceptor.follower.version == changes
            size = sum(path.stat().st_size for path in folder.iterdir())
            storage.close()
        report("restart", "loading a keeper's files", taken_s, "s", changes=changes)
        report("restart", "size of a keeper's files", size / 1e6, "MB", changes=changes)
